//! The delay after which a slow idempotent request is hedged by a second copy.

use celeryknot_core::DurationMs;

/// Buckets of the histogram; each is wider than the previous one by [`RATIO`].
const BUCKETS: usize = 64;
/// Upper bound of the first bucket.
const FIRST_MS: f64 = 1.0;
/// Ratio of the upper bounds of neighbouring buckets.
const RATIO: f64 = 1.2;
/// Samples before a hedge is allowed.
const SAMPLES_MIN: f64 = 20.0;
/// Samples after which all counts are halved, to discount older ones.
const SAMPLES_MAX: f64 = 2_000.0;
/// Share of requests whose first byte arrives before a hedge is sent.
const QUANTILE: f64 = 0.95;

/// Estimates from past responses when to hedge a request.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::retry::HedgeTimer;
///
/// let mut timer = HedgeTimer::new(DurationMs(20));
/// assert_eq!(timer.hedge_after_ms(), None);
/// (0..100).for_each(|_| timer.observe(DurationMs(400)));
/// let after_ms = timer.hedge_after_ms().expect("100 samples are enough");
/// assert!((400..=480).contains(&after_ms.0));
/// ```
#[derive(Debug, Clone)]
pub struct HedgeTimer {
    min_ms: DurationMs,
    counts: [f64; BUCKETS],
    total: f64,
}

impl HedgeTimer {
    /// Creates a timer that never hedges earlier than `min_ms`.
    pub fn new(min_ms: DurationMs) -> Self {
        Self {
            min_ms,
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }

    /// Records the time to the first byte of a response.
    pub fn observe(&mut self, first_byte_ms: DurationMs) {
        if self.total >= SAMPLES_MAX {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket(first_byte_ms)] += 1.0;
        self.total += 1.0;
    }

    /// Returns the time after which a hedge is worth its cost: the 95th percentile.
    ///
    /// Returns `None` before enough responses were recorded.
    pub fn hedge_after_ms(&self) -> Option<DurationMs> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let mut cumulative = 0.0;
        let index = self.counts.iter().position(|count| {
            cumulative += count;
            cumulative >= QUANTILE * self.total
        });
        let upper_ms = FIRST_MS * RATIO.powi(index.unwrap_or(BUCKETS - 1) as i32);
        Some(DurationMs(upper_ms.ceil() as u64).max(self.min_ms))
    }
}

fn bucket(time_ms: DurationMs) -> usize {
    let steps = (time_ms.0.max(1) as f64 / FIRST_MS).ln() / RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}
