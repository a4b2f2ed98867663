//! Tickets: server-issued idempotency keys, with which a repeated submission runs at most once.
//!
//! A ticket names its issuer and the issuer's incarnation, and only that incarnation may run it.
//! The [`TicketRegistry`] in the issuer's memory marks a ticket as used before the call is sent. A
//! ticket's call therefore runs at most once without any clock, quorum, lease or agreement about
//! members: a second run would need a second process with the same incarnation (drawn from 64
//! random bits), or the same process to lose a used mark, but the registry evicts responses only
//! and refuses tickets too old for a mark. When the issuer is gone, the outcome is unknown.

pub mod registry;
pub mod text;
pub mod used;

pub use registry::{Claim, TicketRegistry, TicketRegistryLimits};
pub use text::{Ticket, TicketError};
