//! Runs real daemons under seeded faults and checks the history of what callers and
//! endpoints saw.

pub mod booking;
pub mod campaign;
pub mod check;
pub mod history;
pub mod plan;
pub mod process;
pub mod run;
pub mod site;
pub mod soak;
pub mod workload;
