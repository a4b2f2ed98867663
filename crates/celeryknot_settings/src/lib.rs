//! Typed, checked settings in INI: the daemon's own file and the values under paths.
//!
//! This crate does no I/O; callers hand it the text. Every key is declared
//! once in [`key_table`]; parsing, messages and `docs/SETTINGS.md` follow it.

mod builder;
pub mod customer;
pub mod daemon;
pub mod diagnostic;
mod fields;
pub mod fleet;
pub mod gateway;
pub mod ini;
pub mod key;
pub mod key_table;
pub mod rollout;
pub mod service;
pub mod tree;
pub mod value;
pub mod zone;

pub use customer::CustomerSettings;
pub use daemon::{DaemonSettings, DaemonSettingsBuilder, LogFormat};
pub use diagnostic::{Diagnostic, DiagnosticCode};
pub use fleet::{DaemonFile, check_fleet};
pub use gateway::{FleetBounds, GatewaySettings, GatewaySettingsBuilder};
pub use rollout::{RolloutSettings, RolloutSettingsBuilder};
pub use service::{
    RouteRule, RouteRuleError, ServiceKind, ServiceSettings, ServiceSettingsBuilder,
};
pub use tree::{ValueText, check_tree};
pub use value::{SettingValue, ValueKind, parse_value};
pub use zone::{ZoneSettings, ZoneState};
