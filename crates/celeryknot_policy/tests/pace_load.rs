//! Simulates a fleet whose endpoints become slow for a time, with and without the reported pace.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::BTreeMap;

use celeryknot_core::{
    DurationMs, EndpointName, EndpointPace, MemberName, MonotonicMs, TokenCount,
};
use celeryknot_policy::direct::{
    EndpointPool, ListedEndpoint, PlacementRequest, PoolLimits, ReportedLoad, SharedPrefix,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// When the slow endpoints are slow.
const SLOW_MS: std::ops::Range<u64> = 4_000..12_000;

const RUN_MS: u64 = 16_000;

/// Time for which an endpoint reads a prompt, one after the other, and then writes the answer.
const PREFILL_MS: f64 = 25.0;
const DECODE_MS: f64 = 1_500.0;

/// Time to the first event within which a request counts as started in time.
const OBJECTIVE_MS: u64 = 400;

/// Interval and age of the totals of requests in flight.
const TOTALS_INTERVAL_MS: u64 = 250;

const SLOTS: u32 = 64;

fn member(number: usize) -> MemberName {
    format!("edge-{number}").parse().unwrap()
}

fn engine(number: usize) -> EndpointName {
    format!("i-{number}").parse().unwrap()
}

fn listed(number: usize) -> ListedEndpoint {
    ListedEndpoint {
        name: engine(number),
        started_at_ms: Some(1),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SLOTS,
        accepts_requests: true,
        cold_until: None,
    }
}

fn pool(own: usize, daemons: usize, engines: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: member(own),
        members: (0..daemons).map(member).collect(),
        members_min: 1,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: None,
    });
    pool.relist(MonotonicMs(0), (0..engines).map(listed));
    pool
}

/// What endpoints report of their pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reports {
    /// Nothing.
    Absent,
    /// The pace, up to 50 per cent too much or too little.
    Fluctuating,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    engines: usize,
    /// The number of engines that are slow in [`SLOW_MS`], and how slow.
    slow_engines: usize,
    slow_factor: f64,
    daemons: usize,
    requests_per_s_and_engine: f64,
    reports: Reports,
    /// Engines that report the shortest time that there is.
    absurd_engines: usize,
    /// Shortest and longest time until a report reaches another daemon.
    delay_ms: (u64, u64),
    /// Daemons that neither receive reports of others nor send them any.
    cut_daemons: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests and those started in time, while some engines are slow.
    slow_period: (u32, u32),
    /// Requests while some engines are slow, by engine.
    placed: Vec<u32>,
    /// Requests placed at an engine above the hard load limit.
    overloaded: u32,
    /// Highest number of requests at an engine, as a multiple of the mean, over time.
    peak_ratio: f64,
}

/// An event of the simulation; `number` tells those of the same time apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_ms: u64,
    number: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The first event of a request's answer, with the report.
    Answer {
        daemon: usize,
        engine: usize,
    },
    /// The end of its answer.
    End {
        daemon: usize,
        engine: usize,
    },
    /// A report reaches another daemon.
    Report {
        daemon: usize,
        engine: usize,
        held: u32,
        pace: Option<EndpointPace>,
        observed_at_ms: u64,
    },
    Totals,
}

impl Load {
    fn factor(&self, engine: usize, now_ms: u64) -> f64 {
        match engine < self.slow_engines && SLOW_MS.contains(&now_ms) {
            true => self.slow_factor,
            false => 1.0,
        }
    }

    fn report(&self, engine: usize, now_ms: u64, random: &mut SmallRng) -> Option<EndpointPace> {
        if engine >= self.engines - self.absurd_engines {
            return Some(EndpointPace::MIN);
        }
        match self.reports {
            Reports::Absent => None,
            Reports::Fluctuating => {
                let factor = self.factor(engine, now_ms) * random.random_range(0.5..1.5);
                Some(EndpointPace::from_factor(factor))
            }
        }
    }

    fn run(&self, seed: u64) -> Outcome {
        let mut random = SmallRng::seed_from_u64(seed);
        // Reports draw from their own numbers, so that the demand is the same whatever they are.
        let mut report_random = SmallRng::seed_from_u64(seed + 1_000);
        let mut pools: Vec<EndpointPool> = (0..self.daemons)
            .map(|own| pool(own, self.daemons, self.engines))
            .collect();
        let names: Vec<EndpointName> = (0..self.engines).map(engine).collect();
        let index: BTreeMap<&EndpointName, usize> = names
            .iter()
            .enumerate()
            .map(|(at, name)| (name, at))
            .collect();
        let mut held = vec![0_u32; self.engines];
        let mut free_at = vec![0.0_f64; self.engines];
        let mut events: BTreeMap<EventKey, Event> = BTreeMap::new();
        let mut number = 0;
        let mut push = |events: &mut BTreeMap<EventKey, Event>, at_ms, event| {
            number += 1;
            events.insert(EventKey { at_ms, number }, event);
        };
        for at_ms in (0..RUN_MS).step_by(TOTALS_INTERVAL_MS as usize) {
            push(&mut events, at_ms, Event::Totals);
        }
        let mut outcome = Outcome {
            placed: vec![0; self.engines],
            ..Outcome::default()
        };
        let mut total_counts = held.clone();
        let mut peaks = Vec::new();
        for now_ms in 0..RUN_MS {
            let now = MonotonicMs(now_ms);
            while let Some(entry) = events.first_entry()
                && entry.key().at_ms <= now_ms
            {
                match entry.remove() {
                    Event::Answer { daemon, engine } => {
                        let pace = self.report(engine, now_ms, &mut report_random);
                        let load = ReportedLoad {
                            running: held[engine],
                            waiting: 0,
                            slots: SLOTS,
                            pace,
                        };
                        pools[daemon].observe_load(now, &names[engine], load);
                        for other in (0..self.daemons).filter(|other| *other != daemon) {
                            let (shortest_ms, longest_ms) = self.delay_ms;
                            let delay_ms = report_random.random_range(shortest_ms..longest_ms);
                            let is_cut = daemon.min(other) < self.cut_daemons;
                            if report_random.random_bool(0.1) || is_cut {
                                continue;
                            }
                            let report = Event::Report {
                                daemon: other,
                                engine,
                                held: held[engine],
                                pace,
                                observed_at_ms: now_ms,
                            };
                            push(&mut events, now_ms + delay_ms, report);
                        }
                    }
                    Event::End { daemon, engine } => {
                        pools[daemon].finish(&names[engine]);
                        held[engine] -= 1;
                    }
                    Event::Report {
                        daemon,
                        engine,
                        held,
                        pace,
                        observed_at_ms,
                    } => {
                        let at = MonotonicMs(observed_at_ms);
                        if let Some(pace) = pace {
                            pools[daemon].observe_pace(at, &names[engine], pace);
                        }
                        pools[daemon].observe_load_from_peer(at, &names[engine], held);
                    }
                    Event::Totals => {
                        for pool in &mut pools {
                            pool.observe_totals(now, |name| total_counts[index[name]]);
                        }
                        total_counts.clone_from(&held);
                        if SLOW_MS.contains(&now_ms) {
                            let mean = held.iter().sum::<u32>() as f64 / self.engines as f64;
                            peaks.push(f64::from(*held.iter().max().unwrap()) / mean);
                        }
                    }
                }
            }
            let mut expected = self.requests_per_s_and_engine * self.engines as f64 / 1_000.0;
            while expected > 0.0 {
                let is_arrival = random.random_bool(expected.min(1.0));
                expected -= 1.0;
                if !is_arrival {
                    continue;
                }
                let daemon = random.random_range(0..self.daemons);
                let (kind, key) = (random.random_range(0..10), random.random_range(0..300));
                let tokens = match kind {
                    0..4 => Some(TokenCount(8_000)),
                    4..8 => Some(TokenCount(600)),
                    _ => None,
                };
                let request = PlacementRequest {
                    shared: tokens.map(|tokens| SharedPrefix {
                        key,
                        first_key: key % 4 + 1_000_000,
                        tokens,
                    }),
                    draw: random.random(),
                    allowed_zones: None,
                    tried: &[],
                    suspect: None,
                    version: None,
                    wait_max_ms: DurationMs(0),
                };
                let placement = pools[daemon].place(now, &request).unwrap();
                let engine = index[&placement.endpoint];
                let mean = held.iter().sum::<u32>() as f64 / self.engines as f64;
                outcome.overloaded += u32::from(f64::from(held[engine]) > 2.0 * mean + 3.0);
                held[engine] += 1;
                let factor = self.factor(engine, now_ms);
                let begins_at = free_at[engine].max(now_ms as f64);
                free_at[engine] = begins_at + PREFILL_MS * factor;
                let first_event_ms = free_at[engine].ceil() as u64;
                let end_ms = (free_at[engine] + DECODE_MS * factor).ceil() as u64;
                push(
                    &mut events,
                    first_event_ms,
                    Event::Answer { daemon, engine },
                );
                push(&mut events, end_ms, Event::End { daemon, engine });
                let is_in_time = u32::from(first_event_ms - now_ms <= OBJECTIVE_MS);
                if SLOW_MS.contains(&now_ms) {
                    outcome.slow_period.0 += 1;
                    outcome.slow_period.1 += is_in_time;
                    outcome.placed[engine] += 1;
                }
            }
        }
        outcome.peak_ratio = peaks.iter().sum::<f64>() / peaks.len() as f64;
        outcome
    }
}

/// The outcomes of the same demand without and with the reports of the pace.
fn compare(load: Load) -> [Vec<Outcome>; 2] {
    [Reports::Absent, Reports::Fluctuating].map(|reports| {
        (1..=3)
            .map(|seed| Load { reports, ..load }.run(seed))
            .collect()
    })
}

fn missed_share(outcomes: &[Outcome], period: impl Fn(&Outcome) -> (u32, u32)) -> f64 {
    let periods = outcomes.iter().map(period);
    let (requests, in_time) = periods.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    1.0 - f64::from(in_time) / f64::from(requests)
}

fn at_slow_share(outcomes: &[Outcome], slow_engines: usize) -> f64 {
    let sum = |engines: &[u32]| f64::from(engines.iter().sum::<u32>());
    let at_slow: f64 = outcomes
        .iter()
        .map(|it| sum(&it.placed[..slow_engines]))
        .sum();
    at_slow / outcomes.iter().map(|it| sum(&it.placed)).sum::<f64>()
}

fn mean_peak_ratio(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(|it| it.peak_ratio).sum::<f64>() / outcomes.len() as f64
}

const LOADS: [Load; 3] = [
    Load {
        engines: 8,
        slow_engines: 2,
        slow_factor: 4.5,
        daemons: 12,
        requests_per_s_and_engine: 9.0,
        reports: Reports::Absent,
        absurd_engines: 0,
        delay_ms: (50, 1_000),
        cut_daemons: 0,
    },
    Load {
        engines: 24,
        slow_engines: 5,
        slow_factor: 4.5,
        daemons: 16,
        requests_per_s_and_engine: 9.0,
        reports: Reports::Absent,
        absurd_engines: 0,
        delay_ms: (50, 1_000),
        cut_daemons: 0,
    },
    Load {
        engines: 60,
        slow_engines: 12,
        slow_factor: 4.5,
        daemons: 20,
        requests_per_s_and_engine: 9.0,
        reports: Reports::Absent,
        absurd_engines: 0,
        delay_ms: (50, 1_000),
        cut_daemons: 0,
    },
];

/// Guards against requests that wait at slow endpoints while others are idle.
///
/// Load: a fifth of the endpoints takes 4.5 times as long for 8 s.
#[test]
fn more_requests_start_in_time_with_the_reported_pace() {
    for load in LOADS {
        let [without, with] = compare(load);
        let engines = load.engines;
        let missed = |outcomes: &[Outcome]| missed_share(outcomes, |it| it.slow_period);
        let (missed_without, missed_with) = (missed(&without), missed(&with));
        let at_slow = |outcomes: &[Outcome]| at_slow_share(outcomes, load.slow_engines);
        println!(
            "{engines} engines: late {missed_without:.4} without, {missed_with:.4} with; at slow \
             ones {:.3}, {:.3}; highest load {:.2}, {:.2} times the mean",
            at_slow(&without),
            at_slow(&with),
            mean_peak_ratio(&without),
            mean_peak_ratio(&with),
        );
        assert!(
            missed_with <= missed_without / 2.0,
            "{engines} engines: {missed_with} of the requests late, {missed_without} without"
        );
        assert!(
            at_slow(&with) < at_slow(&without) * 0.75 && at_slow(&with) > 0.02,
            "{engines} engines: {} of the requests at slow ones, {} without",
            at_slow(&with),
            at_slow(&without)
        );
        assert!(
            mean_peak_ratio(&with) <= mean_peak_ratio(&without),
            "{engines} engines"
        );
    }
}

/// Guards against reports that fluctuate making all daemons choose the same endpoint.
#[test]
fn fluctuating_reports_leave_the_load_as_even_as_before() {
    for load in LOADS {
        let [without, with] = compare(Load {
            slow_engines: 0,
            ..load
        });
        let engines = load.engines;
        let (peak_without, peak_with) = (mean_peak_ratio(&without), mean_peak_ratio(&with));
        println!(
            "{engines} engines: highest load {peak_without:.3}, {peak_with:.3} times the mean"
        );
        assert!(
            peak_with <= peak_without * 1.05,
            "{engines} engines: {peak_with}, {peak_without} without"
        );
        let missed = |outcomes: &[Outcome]| missed_share(outcomes, |it| it.slow_period);
        assert!(
            missed(&with) <= missed(&without) + 0.001,
            "{engines} engines"
        );
    }
}

/// Guards against endpoints that report the shortest time being sent more than the hard load limit
/// allows.
#[test]
fn endpoint_that_reports_the_shortest_time_is_not_overloaded() {
    for load in LOADS {
        let normal = Load {
            slow_engines: 0,
            reports: Reports::Fluctuating,
            ..load
        };
        let with_absurd = Load {
            absurd_engines: 1,
            ..normal
        };
        let engines = load.engines;
        let outcome = with_absurd.run(1);
        let requests: u32 = outcome.placed.iter().sum();
        let overloaded = f64::from(outcome.overloaded) / f64::from(requests);
        let before = f64::from(normal.run(1).overloaded) / f64::from(requests);
        println!("{engines} engines: {overloaded:.4} above the hard limit, {before:.4} without it");
        assert!(
            overloaded <= before + 0.01,
            "{engines} engines: {overloaded} of the requests above the hard limit, {before} before"
        );
        let missed = missed_share(&[outcome], |it| it.slow_period);
        assert!(missed < 0.01, "{engines} engines: {missed} late");
    }
}

/// Guards against late or missing updates of peers making more requests late than without the pace.
#[test]
fn late_or_missing_updates_leave_no_more_requests_late_than_before() {
    struct Case {
        name: &'static str,
        delay_ms: (u64, u64),
        /// Divisor of the daemons that gives the number of those that are cut off.
        cut_divisor: usize,
    }
    let cases = [
        Case {
            name: "1 to 2 s late",
            delay_ms: (1_000, 2_000),
            cut_divisor: usize::MAX,
        },
        Case {
            name: "longer than reports count",
            delay_ms: (4_000, 5_000),
            cut_divisor: usize::MAX,
        },
        Case {
            name: "a third cut off",
            delay_ms: (50, 1_000),
            cut_divisor: 3,
        },
        Case {
            name: "all cut off",
            delay_ms: (50, 1_000),
            cut_divisor: 1,
        },
    ];
    for case in cases {
        for load in LOADS {
            let [without, with] = compare(Load {
                delay_ms: case.delay_ms,
                cut_daemons: load.daemons / case.cut_divisor,
                ..load
            });
            let missed = |outcomes: &[Outcome]| missed_share(outcomes, |it| it.slow_period);
            let (missed_without, missed_with) = (missed(&without), missed(&with));
            let (name, engines) = (case.name, load.engines);
            println!("{name}, {engines} engines: late {missed_without:.4}, {missed_with:.4}");
            assert!(
                missed_with <= missed_without + 0.002,
                "{name}, {engines} engines: {missed_with} late, {missed_without} without"
            );
        }
    }
}
