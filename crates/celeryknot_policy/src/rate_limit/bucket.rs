//! A token bucket for one request at a time.

use celeryknot_core::{DurationMs, MonotonicMs, RatePerS};

/// Token bucket with a capacity of one request, whose tokens can be reserved.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, RatePerS};
/// use celeryknot_policy::rate_limit::TokenBucket;
///
/// let mut bucket = TokenBucket::default();
/// let rate = RatePerS(2.0);
/// assert!(bucket.try_take(MonotonicMs(1_000), rate));
/// assert!(!bucket.try_take(MonotonicMs(1_400), rate));
/// assert_eq!(bucket.wait_ms(MonotonicMs(1_400), rate), Some(DurationMs(100)));
/// assert!(bucket.try_take(MonotonicMs(1_500), rate));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    /// When the last token was taken; in the future if it is reserved.
    taken_at: Option<MonotonicMs>,
}

impl TokenBucket {
    /// Creates a bucket whose token was taken now.
    pub fn empty(now: MonotonicMs) -> Self {
        Self {
            taken_at: Some(now),
        }
    }

    /// Takes the token for one request if the bucket has refilled.
    pub fn try_take(&mut self, now: MonotonicMs, rate: RatePerS) -> bool {
        let is_refilled = self.wait_ms(now, rate) == Some(DurationMs(0));
        if is_refilled {
            self.taken_at = Some(now);
        }
        is_refilled
    }

    /// Returns the time until the next token that isn't reserved; `None` if there will be none.
    pub fn wait_ms(&self, now: MonotonicMs, rate: RatePerS) -> Option<DurationMs> {
        if rate.0 <= 0.0 {
            return None;
        }
        let refilled_at = self.taken_at.map(|at| at + rate.time_for(1.0));
        Some(refilled_at.map_or(DurationMs(0), |at| at - now))
    }

    /// Takes the token that is available at a later time.
    pub fn reserve(&mut self, at: MonotonicMs) {
        self.taken_at = Some(at);
    }
}
