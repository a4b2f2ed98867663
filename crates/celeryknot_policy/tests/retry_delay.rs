//! The delay after which callers send refused requests again, and the retries that follow from it.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_policy::direct::{RetryDelay, RetryEstimate};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

struct EstimateCase {
    name: &'static str,
    /// Times of finished requests, and how many at each.
    finished: &'static [(u64, u32)],
    refused: &'static [(u64, u32)],
    waiting: u32,
    now_ms: u64,
    expected: Option<(u64, u64)>,
}

const ESTIMATE_CASES: &[EstimateCase] = &[
    EstimateCase {
        name: "a daemon that starts",
        finished: &[],
        refused: &[(1_000, 50)],
        waiting: 9,
        now_ms: 1_000,
        expected: None,
    },
    EstimateCase {
        name: "one request in eight seconds",
        finished: &[(1_000, 1)],
        refused: &[(1_000, 3)],
        waiting: 0,
        now_ms: 1_000,
        expected: None,
    },
    EstimateCase {
        name: "as many refused as finished",
        finished: &[(1_000, 40)],
        refused: &[(1_000, 40)],
        waiting: 0,
        now_ms: 1_500,
        expected: Some((1_000, 1_000)),
    },
    EstimateCase {
        name: "waiting requests count too",
        finished: &[(1_000, 40)],
        refused: &[(1_000, 20)],
        waiting: 20,
        now_ms: 1_500,
        expected: Some((1_000, 1_000)),
    },
    EstimateCase {
        name: "few refused",
        finished: &[(1_000, 100)],
        refused: &[(1_000, 1)],
        waiting: 0,
        now_ms: 1_000,
        expected: Some((1_000, 100)),
    },
    EstimateCase {
        name: "many more refused than finished",
        finished: &[(1_000, 10)],
        refused: &[(1_000, 100)],
        waiting: 0,
        now_ms: 1_000,
        expected: Some((1_000, 2_000)),
    },
    EstimateCase {
        name: "a small share of the requests",
        finished: &[(0, 3), (1_000, 3), (2_000, 3), (3_000, 3)],
        refused: &[(1_000, 3), (3_000, 3)],
        waiting: 0,
        now_ms: 3_050,
        expected: Some((4_000, 500)),
    },
    EstimateCase {
        name: "waiting requests against a rate over a longer window",
        finished: &[(0, 3), (1_000, 3), (2_000, 3), (3_000, 3)],
        refused: &[],
        waiting: 3,
        now_ms: 3_050,
        expected: Some((4_000, 1_000)),
    },
    EstimateCase {
        name: "a burst that is over",
        finished: &[(1_000, 100), (3_000, 100)],
        refused: &[(1_000, 500)],
        waiting: 0,
        now_ms: 3_000,
        expected: Some((1_000, 100)),
    },
    EstimateCase {
        name: "nothing for longer than the longest window",
        finished: &[(1_000, 100)],
        refused: &[(1_000, 100)],
        waiting: 0,
        now_ms: 9_000,
        expected: None,
    },
];

/// Guards against delays that follow from too few requests, or from old ones.
#[test]
fn delay_is_the_time_until_there_is_room() {
    for case in ESTIMATE_CASES {
        let mut events: Vec<(u64, bool, u32)> = Vec::new();
        events.extend(case.finished.iter().map(|(at, count)| (*at, true, *count)));
        events.extend(case.refused.iter().map(|(at, count)| (*at, false, *count)));
        events.sort_unstable();
        let mut delay = RetryDelay::default();
        for (at, is_finished, count) in events {
            for _ in 0..count {
                match is_finished {
                    true => delay.observe_finished(MonotonicMs(at)),
                    false => delay.observe_refused(MonotonicMs(at)),
                }
            }
        }
        let estimate = delay.estimate(MonotonicMs(case.now_ms), case.waiting);
        let actual = estimate.map(|it| (it.window_ms.0, it.expected_ms.0));
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}

proptest! {
    /// Guards against delays outside of what callers can use, whatever was counted.
    #[test]
    fn delay_stays_within_its_bounds(
        events in prop::collection::vec((0_u64..20_000, any::<bool>()), 0..300),
        waiting in any::<u32>(),
        draw in 0.0..=1.0,
    ) {
        let mut events = events;
        events.sort_unstable();
        let mut delay = RetryDelay::default();
        for (at, is_finished) in &events {
            match is_finished {
                true => delay.observe_finished(MonotonicMs(*at)),
                false => delay.observe_refused(MonotonicMs(*at)),
            }
        }
        let now = MonotonicMs(events.last().map_or(0, |it| it.0));
        if let Some(estimate) = delay.estimate(now, waiting) {
            let delay_ms = estimate.spread(draw);
            prop_assert!((DurationMs(50)..=DurationMs(3_000)).contains(&delay_ms));
        }
    }
}

/// Without values, the delay is as before.
const FIXED_DELAY_MS: u64 = 250;

/// A plain service before many daemons, each of which sees a small share of its requests.
struct LoadCase {
    name: &'static str,
    daemons: usize,
    /// Requests that the endpoints run at once.
    slots: usize,
    /// Requests that may wait at the endpoints.
    queue: usize,
    work_ms: u64,
    /// Multiples of the capacity that arrive: usually, and in a burst.
    usual_load: f64,
    burst_load: f64,
    time_limit_ms: u64,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "four plain endpoints, no overload",
        daemons: 76,
        slots: 24,
        queue: 24,
        work_ms: 40,
        usual_load: 0.6,
        burst_load: 0.6,
        time_limit_ms: 1_500,
    },
    LoadCase {
        name: "four plain endpoints, short bursts of 2.6 times the capacity",
        daemons: 76,
        slots: 24,
        queue: 24,
        work_ms: 40,
        usual_load: 0.6,
        burst_load: 2.6,
        time_limit_ms: 1_500,
    },
    LoadCase {
        name: "slower endpoints, the same",
        daemons: 76,
        slots: 24,
        queue: 12,
        work_ms: 120,
        usual_load: 0.6,
        burst_load: 2.6,
        time_limit_ms: 1_500,
    },
    LoadCase {
        name: "four plain endpoints, 1.6 times the capacity all the time",
        daemons: 76,
        slots: 24,
        queue: 24,
        work_ms: 40,
        usual_load: 1.6,
        burst_load: 1.6,
        time_limit_ms: 1_500,
    },
];

const RUN_MS: u64 = 40_000;
/// A burst begins in each of these periods, at its middle.
const PERIOD_MS: u64 = 4_000;
const BURST_MS: u64 = 300;

/// Share of the callers that send three retries at once, whatever the refusal says.
const IMPATIENT: f64 = 0.3;
const IMPATIENT_RETRIES: usize = 3;

/// Window in which retries of callers that wait count as a wave.
const WAVE_MS: u64 = 50;

#[derive(Debug, Clone, Copy)]
struct Attempt {
    arrived_at: u64,
    is_impatient: bool,
    /// The attempt is the caller's last one.
    is_retry: bool,
    caller: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    callers: usize,
    answered_in_time: usize,
    refused: usize,
    fixed_delays: usize,
    /// Retries of patient callers in the window after the begin of a burst with most, of all bursts.
    wave: usize,
}

/// Plays a case; all refusals name the fixed delay unless the estimates are used.
fn play(case: &LoadCase, uses_estimates: bool, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut delays = vec![RetryDelay::default(); case.daemons];
    let mut due: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    // When each slot becomes free; a request begins at the first one.
    let mut free_at = vec![0_u64; case.slots];
    let mut ends: BTreeMap<u64, Vec<(usize, Attempt)>> = BTreeMap::new();
    let mut held = 0;
    let mut answered = BTreeSet::new();
    let mut outcome = Outcome::default();
    let mut waves: BTreeMap<u64, usize> = BTreeMap::new();
    let capacity_per_ms = case.slots as f64 / case.work_ms as f64;
    for now in 0..RUN_MS {
        for (daemon, attempt) in ends.remove(&now).unwrap_or_default() {
            held -= 1;
            delays[daemon].observe_finished(MonotonicMs(now));
            if now <= attempt.arrived_at + case.time_limit_ms {
                answered.insert(attempt.caller);
            }
        }
        let mut attempts = due.remove(&now).unwrap_or_default();
        let patient = attempts.iter().filter(|it| !it.is_impatient).count();
        *waves.entry(now % PERIOD_MS / WAVE_MS).or_default() += patient;
        let is_burst = now % PERIOD_MS / BURST_MS == PERIOD_MS / 2 / BURST_MS;
        let load = match is_burst {
            true => case.burst_load,
            false => case.usual_load,
        };
        let mut expected = load * capacity_per_ms;
        while random.random::<f64>() < expected {
            expected -= 1.0;
            attempts.push(Attempt {
                arrived_at: now,
                is_impatient: random.random::<f64>() < IMPATIENT,
                is_retry: false,
                caller: outcome.callers,
            });
            outcome.callers += 1;
        }
        for attempt in attempts {
            let daemon = random.random_range(0..case.daemons);
            if held < case.slots + case.queue {
                held += 1;
                let slot = (0..case.slots).min_by_key(|it| free_at[*it]).unwrap();
                free_at[slot] = free_at[slot].max(now) + case.work_ms;
                ends.entry(free_at[slot])
                    .or_default()
                    .push((daemon, attempt));
                continue;
            }
            outcome.refused += 1;
            let delay = &mut delays[daemon];
            delay.observe_refused(MonotonicMs(now));
            let estimate = delay
                .estimate(MonotonicMs(now), 0)
                .filter(|_| uses_estimates);
            outcome.fixed_delays += usize::from(estimate.is_none());
            if attempt.is_retry {
                continue;
            }
            let retry = Attempt {
                is_retry: true,
                ..attempt
            };
            let (after_ms, count) = match attempt.is_impatient {
                true => (1, IMPATIENT_RETRIES),
                false => (patient_delay(case, estimate, &mut random), 1),
            };
            let retries = due.entry(now + after_ms).or_default();
            retries.extend(std::iter::repeat_n(retry, count));
        }
    }
    outcome.answered_in_time = answered.len();
    outcome.wave = waves.into_values().max().unwrap_or(0);
    outcome
}

/// Returns the time after which a caller retries: callers wait up to a third of their time.
fn patient_delay(case: &LoadCase, estimate: Option<RetryEstimate>, random: &mut SmallRng) -> u64 {
    let delay_ms = estimate.map_or(FIXED_DELAY_MS, |it| it.spread(random.random()).0);
    delay_ms.min(case.time_limit_ms / 3)
}

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Most retries in the window of the wave, as a fraction of those with the fixed delay.
const WAVE_FRACTION_MAX: f64 = 0.8;

/// Guards against waves of retries, and against fewer answers in time than with the fixed delay.
#[test]
fn retries_after_a_burst_are_spread() {
    for case in LOAD_CASES {
        let is_overloaded = case.burst_load > 1.0;
        let has_bursts = case.burst_load > case.usual_load;
        for seed in SEEDS {
            let fixed = play(case, false, seed);
            let spread = play(case, true, seed);
            let name = format!("{}, seed {seed}: {fixed:?}, {spread:?}", case.name);
            assert_eq!(spread.refused > 0, is_overloaded, "{name}");
            let in_time = |it: &Outcome| it.answered_in_time as f64 / it.callers as f64;
            let wave_max = match has_bursts {
                true => {
                    assert!(in_time(&spread) > in_time(&fixed), "{name}");
                    WAVE_FRACTION_MAX
                }
                // Retries of a lasting overload come all the time.
                false => {
                    assert!(in_time(&spread) > in_time(&fixed) - 0.01, "{name}");
                    1.0
                }
            };
            assert!(spread.wave as f64 <= fixed.wave as f64 * wave_max, "{name}");
            let fixed_share = spread.fixed_delays as f64 / spread.refused.max(1) as f64;
            assert!(fixed_share < 0.05, "{name}");
        }
    }
}
