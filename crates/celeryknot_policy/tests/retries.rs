//! The retry budget, backoff and hedged requests.

use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_policy::retry::{Backoff, HedgeTimer, RetryBudget};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn budget_limits_retries_while_every_attempt_fails() {
    let mut budget = RetryBudget::new(20);
    let (mut first_attempts, mut attempts) = (0u32, 0u32);
    for now in (0..60_000).step_by(10) {
        let now = MonotonicMs(now);
        first_attempts += 1;
        attempts += 1;
        budget.observe_first_attempt(now);
        // Every attempt fails, and every request is retried up to three times.
        for _ in 0..3 {
            attempts += u32::from(budget.try_take(now));
        }
    }
    assert!(
        attempts <= first_attempts + first_attempts / 4,
        "{attempts} attempts for {first_attempts} requests"
    );
}

#[test]
fn budget_refills_after_the_window_and_a_zero_percentage_allows_none() {
    let mut budget = RetryBudget::new(20);
    let takes = |budget: &mut RetryBudget, now| {
        (0..10)
            .filter(|_| budget.try_take(MonotonicMs(now)))
            .count()
    };
    assert_eq!(takes(&mut budget, 0), 3);
    assert_eq!(takes(&mut budget, 9_000), 0);
    assert_eq!(takes(&mut budget, 10_500), 3);
    budget.set_percent_max(0);
    assert_eq!(takes(&mut budget, 60_000), 0);
    assert_eq!(budget.retry_after_ms(MonotonicMs(60_400)), DurationMs(600));
}

#[test]
fn hedge_delay_follows_the_95th_percentile_of_first_byte_times() {
    let mut timer = HedgeTimer::new(DurationMs(20));
    (0..900).for_each(|_| timer.observe(DurationMs(100)));
    (0..100).for_each(|_| timer.observe(DurationMs(2_000)));
    let slow_ms = timer.hedge_after_ms().map_or(0, |after| after.0);
    assert!((2_000..=2_400).contains(&slow_ms), "{slow_ms}");
    (0..20_000).for_each(|_| timer.observe(DurationMs(5)));
    assert_eq!(timer.hedge_after_ms(), Some(DurationMs(20)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_never_exceed_their_share(percent in 0..100u32, events in proptest::collection::vec((any::<bool>(), 0..500u64), 1..400)) {
        let mut budget = RetryBudget::new(percent);
        let mut now = MonotonicMs(0);
        let (mut first_attempts, mut retries) = (0u64, 0u64);
        for (is_first_attempt, ms) in events {
            now = now + DurationMs(ms);
            if is_first_attempt {
                budget.observe_first_attempt(now);
                first_attempts += 1;
            } else {
                retries += u64::from(budget.try_take(now));
            }
        }
        // A first attempt counts in all windows that contain it, so it may allow its share of
        // retries twice; in addition, each window allows the minimum of three.
        let windows = now.0 / 10_000 + 1;
        prop_assert!(retries <= first_attempts * u64::from(percent) / 100 * 2 + 3 * windows);
    }

    #[test]
    fn backoff_stays_below_its_doubling_limit(retry in 0..200u32, seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let delay_ms = Backoff::new(DurationMs(10), DurationMs(400)).delay_ms(retry, &mut rng);
        prop_assert!(delay_ms.0 <= 400.min(10u64.saturating_mul(1u64.checked_shl(retry).unwrap_or(u64::MAX))));
    }
}
