//! A daemon that routes by the platform's configuration and sends requests directly to endpoints.
//!
//! The control thread watches the platform's store and publishes an immutable view. The traffic
//! thread reads the view, places requests and forwards responses. A [`Boundary`] implements the
//! platform's wire formats.

pub mod boundary;
mod control;
pub mod counted;
pub mod daemon;
pub mod endpoint_updates;
pub mod in_flight;
pub mod listeners;
mod logs;
pub mod members;
pub mod relay_log;
pub mod run;
mod shared;
pub mod store_state;
mod traffic;
pub mod view;

pub use boundary::Boundary;
pub use daemon::Gateway;
pub use run::{ExitStatus, run};
