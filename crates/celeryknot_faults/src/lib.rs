//! Runs real daemons under seeded faults and checks the recorded history of requests and
//! responses.

pub mod booking;
pub mod campaign;
pub mod check;
pub mod history;
pub mod plan;
pub mod process;
pub mod run;
pub mod soak;
pub mod testbed;
pub mod workload;
