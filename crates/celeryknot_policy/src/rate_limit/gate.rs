//! Admits requests to an endpoint at the rate that it states.

use celeryknot_core::{DurationMs, MonotonicMs, RatePerS};

use super::bucket::TokenBucket;
use super::fleet::FleetRateLimit;
use super::stated::{RateChange, RateStatement, StatedRateLimit};

/// What an endpoint has stated about its rate limit, and the requests admitted since.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, RatePerS};
/// use celeryknot_policy::rate_limit::{RateGate, RateStatement};
///
/// let mut gate = RateGate::default();
/// let now = MonotonicMs(1_000);
/// assert_eq!(gate.wait_ms(now, 0), DurationMs(0));
/// gate.observe(RateStatement {
///     rate: Some(RatePerS(2.0)),
///     sent_at: now,
///     arrived_at: now,
/// });
/// assert_eq!(gate.wait_ms(now, 0), DurationMs(500));
/// assert_eq!(gate.wait_ms(now, 2), DurationMs(1_500));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RateGate {
    stated: StatedRateLimit,
    pub(crate) bucket: TokenBucket,
}

impl RateGate {
    /// Applies what an answer states.
    pub fn observe(&mut self, statement: RateStatement) -> RateChange {
        let now = statement.arrived_at;
        let was_limited = self.limit(now).is_some();
        let change = self.stated.observe(statement);
        if change == RateChange::Limited && !was_limited {
            // The requests that were sent before count as well.
            self.bucket = TokenBucket::empty(now);
        }
        change
    }

    /// Returns the stated rate that is in force.
    pub fn rate(&self, now: MonotonicMs) -> Option<RatePerS> {
        self.stated.rate(now)
    }

    /// Returns the limit to keep, which outlasts the stated one by a short time.
    pub fn limit(&self, now: MonotonicMs) -> Option<FleetRateLimit> {
        self.stated.limit(now)
    }

    /// Returns the time until the only daemon that keeps the limit may admit a request, after
    /// `ahead` others.
    pub fn wait_ms(&self, now: MonotonicMs, ahead: usize) -> DurationMs {
        let Some(limit) = self.limit(now) else {
            return DurationMs(0);
        };
        let first_ms = self.bucket.wait_ms(now, limit.rate);
        let others_ms = limit.rate.time_for(ahead as f64);
        DurationMs(
            first_ms
                .map_or(0, |wait_ms| wait_ms.0)
                .saturating_add(others_ms.0),
        )
    }

    /// Records that a request is admitted.
    pub fn admit(&mut self, now: MonotonicMs) {
        self.bucket.reserve(now);
    }
}
