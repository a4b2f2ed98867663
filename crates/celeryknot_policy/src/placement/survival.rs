//! How likely a context is still cached, learned from what engines found in their caches.

use celeryknot_core::DurationMs;

/// Age classes; each is four times as long as the one before.
const CLASSES: usize = 10;
/// Upper end of the first class.
const FIRST_CLASS_MS: u64 = 1_000;
/// The share that survives each class before anything was seen.
const PRIOR_PER_CLASS: f64 = 0.95;
/// Share of a new sample in the running mean.
const SAMPLE_SHARE: f64 = 0.05;

/// The share of a context's tokens that is still cached, by the time since its last use.
///
/// Cache memory is short, and events of evictions come late and with gaps. What answers say
/// about their cached tokens is neither.
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
    shares: [f64; CLASSES],
}

impl Default for CacheSurvival {
    fn default() -> Self {
        let mut shares = [0.0; CLASSES];
        let mut share = PRIOR_PER_CLASS;
        for held in &mut shares {
            *held = share;
            share *= PRIOR_PER_CLASS;
        }
        Self { shares }
    }
}

impl CacheSurvival {
    /// Takes in that `found_tokens` of the `expected_tokens` were cached after `age_ms`.
    pub fn observe(&mut self, age_ms: DurationMs, expected_tokens: u32, found_tokens: u32) {
        if expected_tokens == 0 {
            return;
        }
        let found = f64::from(found_tokens.min(expected_tokens)) / f64::from(expected_tokens);
        let share = &mut self.shares[class(age_ms)];
        *share += SAMPLE_SHARE * (found - *share);
    }

    /// Returns the share that is expected to be cached after `age_ms`.
    pub fn share(&self, age_ms: DurationMs) -> f64 {
        self.shares[class(age_ms)]
    }
}

fn class(age_ms: DurationMs) -> usize {
    let mut upper_ms = FIRST_CLASS_MS;
    for class in 0..CLASSES - 1 {
        if age_ms.0 < upper_ms {
            return class;
        }
        upper_ms *= 4;
    }
    CLASSES - 1
}
