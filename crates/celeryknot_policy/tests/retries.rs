//! The budget of retries and hedges.

use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_policy::retry::{Backoff, HedgeTimer, RetryBudget};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn no_storm_when_a_service_goes_down_whole() {
    let mut budget = RetryBudget::new(20);
    let (mut fresh, mut sent) = (0u32, 0u32);
    for now in (0..60_000).step_by(10) {
        let now = MonotonicMs(now);
        fresh += 1;
        sent += 1;
        budget.observe_fresh(now);
        // Every attempt fails, and every caller's request asks for three retries.
        for _ in 0..3 {
            sent += u32::from(budget.try_take(now));
        }
    }
    assert!(
        sent <= fresh + fresh / 4,
        "{sent} attempts for {fresh} requests"
    );
}

#[test]
fn budget_comes_back_and_zero_is_zero() {
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
fn hedge_follows_the_slow_end_of_the_answers() {
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
    fn retries_never_pass_their_share(percent in 0..100u32, events in proptest::collection::vec((any::<bool>(), 0..500u64), 1..400)) {
        let mut budget = RetryBudget::new(percent);
        let mut now = MonotonicMs(0);
        let (mut fresh, mut retries) = (0u64, 0u64);
        for (is_fresh, ms) in events {
            now = now + DurationMs(ms);
            if is_fresh {
                budget.observe_fresh(now);
                fresh += 1;
            } else {
                retries += u64::from(budget.try_take(now));
            }
        }
        // A fresh request stands for at most its share in each window that holds it: one window
        // while it is counted and, at the edges, the least number for each window that passed.
        let windows = now.0 / 10_000 + 1;
        prop_assert!(retries <= fresh * u64::from(percent) / 100 * 2 + 3 * windows);
    }

    #[test]
    fn backoff_keeps_its_bounds(retry in 0..200u32, seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let wait_ms = Backoff::new(DurationMs(10), DurationMs(400)).wait_ms(retry, &mut rng);
        prop_assert!(wait_ms.0 <= 400.min(10u64.saturating_mul(1u64.checked_shl(retry).unwrap_or(u64::MAX))));
    }
}
