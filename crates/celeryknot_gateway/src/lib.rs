//! A daemon that routes by the platform's configuration and sends requests directly to endpoints.
//!
//! The control thread watches the platform's store and publishes an immutable view. The traffic
//! thread reads the view, places requests and forwards responses. A [`PlatformProtocol`] implements
//! the platform's wire formats.

pub mod clock;
mod control;
pub mod count_guard;
pub mod daemon;
pub mod in_flight;
pub mod listeners;
mod logs;
pub mod members;
pub mod peer_schedule;
pub mod platform_protocol;
pub mod rate_log;
pub mod relay_log;
pub mod run;
mod shared;
pub mod store_calls;
pub mod store_state;
mod traffic;
pub mod view;
pub mod zone_log;

pub use daemon::Gateway;
pub use platform_protocol::PlatformProtocol;
pub use run::{ExitStatus, run};
