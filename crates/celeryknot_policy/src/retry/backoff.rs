//! Exponential backoff with full jitter.

use celeryknot_core::DurationMs;
use rand::{Rng, RngExt};

/// The delays between the attempts of one submission.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::retry::Backoff;
/// use rand::SeedableRng;
///
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let backoff = Backoff::new(DurationMs(10), DurationMs(400));
/// assert!(backoff.delay_ms(3, &mut rng) <= DurationMs(80));
/// assert!(backoff.delay_ms(30, &mut rng) <= DurationMs(400));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    base_ms: DurationMs,
    max_ms: DurationMs,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(DurationMs(10), DurationMs(1_000))
    }
}

impl Backoff {
    /// Creates a backoff whose longest delay doubles with each retry from `base_ms` to `max_ms`.
    pub const fn new(base_ms: DurationMs, max_ms: DurationMs) -> Self {
        Self { base_ms, max_ms }
    }

    /// Draws the delay before retry number `retry`, counted from 0.
    pub fn delay_ms<R: Rng>(&self, retry: u32, rng: &mut R) -> DurationMs {
        let factor = 1u64.checked_shl(retry).unwrap_or(u64::MAX);
        let longest_ms = self.base_ms.0.saturating_mul(factor).min(self.max_ms.0);
        DurationMs(rng.random_range(0..=longest_ms))
    }
}
