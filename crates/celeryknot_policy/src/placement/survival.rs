//! Estimates how much of a context is still cached, from the cached tokens that engines report.

use celeryknot_core::DurationMs;

/// Number of age classes; the upper bound of each is four times that of the previous one.
const AGE_CLASSES: usize = 10;
/// Upper bound of the first age class.
const FIRST_AGE_CLASS_MS: u64 = 1_000;
/// Share that is assumed to survive each class before the first sample.
const PRIOR_SHARE_PER_CLASS: f64 = 0.95;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The share of a context's tokens that is still cached, by the time since its last use.
///
/// Engines evict contexts soon, and eviction events arrive late and incompletely. The counts of
/// cached tokens in responses are neither late nor incomplete.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::placement::CacheSurvival;
///
/// let mut survival = CacheSurvival::default();
/// let hour_ms = DurationMs(3_600_000);
/// (0..100).for_each(|_| survival.observe(hour_ms, 1_000, 0));
/// assert!(survival.share(hour_ms) < 0.05);
/// assert!(survival.share(DurationMs(500)) > 0.9);
/// ```
#[derive(Debug, Clone)]
pub struct CacheSurvival {
    shares: [f64; AGE_CLASSES],
}

impl Default for CacheSurvival {
    fn default() -> Self {
        let mut shares = [0.0; AGE_CLASSES];
        let mut share = PRIOR_SHARE_PER_CLASS;
        for class_share in &mut shares {
            *class_share = share;
            share *= PRIOR_SHARE_PER_CLASS;
        }
        Self { shares }
    }
}

impl CacheSurvival {
    /// Records that `found_tokens` of the `expected_tokens` were cached after `age_ms`.
    pub fn observe(&mut self, age_ms: DurationMs, expected_tokens: u32, found_tokens: u32) {
        if expected_tokens == 0 {
            return;
        }
        let found_share = f64::from(found_tokens.min(expected_tokens)) / f64::from(expected_tokens);
        let share = &mut self.shares[age_class(age_ms)];
        *share += SAMPLE_WEIGHT * (found_share - *share);
    }

    /// Returns the share expected to be cached after `age_ms`.
    pub fn share(&self, age_ms: DurationMs) -> f64 {
        self.shares[age_class(age_ms)]
    }
}

fn age_class(age_ms: DurationMs) -> usize {
    let mut upper_ms = FIRST_AGE_CLASS_MS;
    for age_class in 0..AGE_CLASSES - 1 {
        if age_ms.0 < upper_ms {
            return age_class;
        }
        upper_ms *= 4;
    }
    AGE_CLASSES - 1
}
