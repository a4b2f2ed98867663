//! Open-loop load of multi-turn chats, bookings and reads, from a seeded plan.

mod plan;
mod report;
mod run;

pub use self::plan::{
    CallKind, ChatPlan, CustomerShare, LoadOptions, LoadPlan, PlannedCall, Surge,
};
pub use self::report::{BookingOutcome, LoadReport, OutcomeKind, Sample};
pub use self::run::{Balancer, ChatCall, PlacedCall, Placement, Route, run_load};
