//! Typed, checked settings in INI: the daemon's own file and the values under paths.
//!
//! This crate does no I/O; callers hand it the text.

pub mod customer;
pub mod daemon;
pub mod rollout;
pub mod service;
pub mod value;
pub mod zone;

pub use customer::CustomerSettings;
pub use daemon::{DaemonSettings, LogFormat};
pub use rollout::RolloutSettings;
pub use service::{RouteRule, ServiceKind, ServiceSettings};
pub use value::{SettingValue, ValueKind};
pub use zone::{ZoneSettings, ZoneState};
