//! Exponential backoff with jitter between attempts to reach a peer.

use crate::time::DurationMs;

/// Delays that double from a first to a maximum value, each shortened at random by up to half.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{Backoff, DurationMs};
///
/// let mut backoff = Backoff::new(DurationMs(100), DurationMs(2_000));
/// assert_eq!(backoff.next_delay(0), DurationMs(50));
/// assert_eq!(backoff.next_delay(u64::MAX), DurationMs(200));
/// backoff.reset();
/// assert_eq!(backoff.next_delay(0), DurationMs(50));
/// ```
#[derive(Debug, Clone)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    current_ms: u64,
}

impl Backoff {
    /// Builds a backoff whose delays grow from `first` to `max`.
    pub fn new(first: DurationMs, max: DurationMs) -> Self {
        Self {
            first_ms: first.0.max(2),
            max_ms: max.0.max(first.0).max(2),
            current_ms: first.0.max(2),
        }
    }

    /// Returns the next delay; `random` determines the jitter.
    pub fn next_delay(&mut self, random: u64) -> DurationMs {
        let half_ms = self.current_ms / 2;
        let jitter_ms = (u128::from(random) * u128::from(half_ms + 1)) >> u64::BITS;
        self.current_ms = self.current_ms.saturating_mul(2).min(self.max_ms);
        let jitter_ms = u64::try_from(jitter_ms).unwrap_or(half_ms);
        DurationMs(half_ms + jitter_ms)
    }

    /// Restarts from the first delay after a success.
    pub fn reset(&mut self) {
        self.current_ms = self.first_ms;
    }
}
