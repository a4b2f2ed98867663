//! Routing decisions without I/O: placement, load bounds, queues, retries, tickets.
//!
//! Each module is a state machine that takes events, the time and a seeded source of
//! randomness as arguments and returns actions. Nothing here reads a clock, opens a
//! socket, starts a thread or holds a global.

pub mod admission;
pub mod affinity;
pub mod attempt;
pub mod bound;
pub mod chat_cost;
pub mod direct;
pub mod health;
pub mod pause;
pub mod placement;
pub mod retry;
pub mod routing;
pub mod stream;
pub mod ticket;
