//! The platform's configuration service and instance list, read and watched.
