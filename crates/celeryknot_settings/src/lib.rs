//! Parses and validates INI settings: a daemon's own file and the values under settings paths.
//!
//! This crate does no I/O; callers pass in the text. [`key_table`] declares every key once;
//! parsing, error messages and `docs/SETTINGS.md` derive from it.

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
pub use gateway::{FleetBounds, GatewaySettings, GatewaySettingsBuilder, ZonePreference};
pub use rollout::{RolloutSettings, RolloutSettingsBuilder};
pub use service::{
    RouteRule, RouteRuleError, ServiceKind, ServiceSettings, ServiceSettingsBuilder,
};
pub use tree::{ValueText, check_tree};
pub use value::{SettingValue, ValueKind, parse_value};
pub use zone::{ZoneSettings, ZoneState};
