//! The daemon: a control thread, traffic threads, and the wiring between the crates.

pub mod control;
pub mod crash_guard;
pub mod daemon;
pub mod event;
pub mod feed;
pub mod listeners;
mod operators;
pub mod run;
pub mod snapshot;
mod traffic;

pub use daemon::{Daemon, ShutdownReport};
pub use feed::FleetFeed;
