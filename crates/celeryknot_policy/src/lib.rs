//! Routing decisions without I/O: placement, load bounds, queues, retries, tickets.
//!
//! Each module is a state machine that takes events, the current time and a seeded random number
//! generator as arguments and returns actions. No module reads a clock, opens a socket, spawns a
//! thread or holds global state.

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod bound;
pub mod chat_cost;
pub mod direct;
pub mod health;
pub mod placement;
pub mod rate_limit;
pub mod retry;
pub mod routing;
pub mod stall;
pub mod stream;
pub mod ticket;
