//! The daemon: one control thread, traffic threads, and the wiring between the packages.

pub mod control;
pub mod event;
pub mod snapshot;
