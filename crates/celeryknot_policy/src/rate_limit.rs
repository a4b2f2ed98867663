//! Limits on the rate of requests to an endpoint, for all daemons together.
//!
//! No I/O and no clock. [`FleetRateLimit`] divides a limit between daemons that exchange no messages
//! about it; [`TokenBucket`] enforces one daemon's share. [`RateGate`] keeps the limit that an endpoint
//! states, by [`StatedRateLimit`].

pub mod bucket;
pub mod fleet;
pub mod gate;
pub mod stated;

pub use bucket::TokenBucket;
pub use fleet::FleetRateLimit;
pub use gate::RateGate;
pub use stated::{RateChange, RateStatement, StatedRateLimit};
