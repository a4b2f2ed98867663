//! Simulates the placement of a fleet in four zones, and tests each failure of it, without a network.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{
    DurationMs, EndpointName, MemberName, MonotonicMs, RequestTag, TokenCount, ZoneName,
};
use celeryknot_policy::direct::zone_overflow::{ZoneLoad, ZoneUse};
use celeryknot_policy::direct::{
    AttemptFailure, EndpointPool, ListedEndpoint, Placement, PlacementRequest, PoolLimits,
    SharedPrefix, ZoneOverflow, ZoneReason,
};
use celeryknot_settings::ZonePreference;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ZONES: usize = 4;
const LONG_PROMPT_TOKENS: TokenCount = TokenCount(8_000);
const SHORT_PROMPT_TOKENS: TokenCount = TokenCount(600);

fn zone(number: usize) -> ZoneName {
    format!("zone-{}", ["a", "b", "c", "d"][number])
        .parse()
        .unwrap()
}

fn engine(number: usize) -> EndpointName {
    format!("i-{number}").parse().unwrap()
}

fn member(number: usize) -> MemberName {
    format!("edge-{number}").parse().unwrap()
}

/// Endpoints are numbered through the zones in turn.
fn listed(number: usize, slots: u32) -> ListedEndpoint {
    ListedEndpoint {
        name: engine(number),
        started_at_ms: Some(1),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: zone(number % ZONES),
        version: "v1".parse().unwrap(),
        slots,
        accepts_requests: true,
        cold_until: None,
    }
}

fn pool_without_preference(own: usize, engines: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: member(own),
        members: (0..DAEMONS).map(member).collect(),
        members_min: 1,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: None,
    });
    pool.relist(
        MonotonicMs(0),
        (0..engines).map(|number| listed(number, SLOTS)),
    );
    pool
}

/// A pool of a daemon in zone `own % 4`.
fn pool(own: usize, engines: usize, preference: ZonePreference) -> EndpointPool {
    let mut pool = pool_without_preference(own, engines);
    pool.set_zone_preference(zone(own % ZONES), preference);
    pool
}

fn prompt(key: u64, tokens: TokenCount) -> Option<SharedPrefix> {
    // Keys of prompts are hashes.
    let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Some(SharedPrefix {
        key,
        first_key: key % 4 + 1_000_000,
        tokens,
    })
}

fn request_for(shared: Option<SharedPrefix>, draw: f64) -> PlacementRequest<'static> {
    PlacementRequest {
        shared,
        draw,
        allowed_zones: None,
        tried: &[],
        suspect: None,
        version: None,
        wait_max_ms: DurationMs(0),
    }
}

const DAEMONS: usize = 24;
const ENGINES: usize = 60;
const SLOTS: u32 = 24;
const PROMPTS: u64 = 600;
const BEGIN_MS: u64 = 5_000;
const END_MS: u64 = 13_000;
const STOP_MS: u64 = 22_000;

/// The endpoints and requests of a simulated service; in usual times they take half of the slots.
#[derive(Clone)]
struct Service {
    endpoints: usize,
    slots: u32,
    hold_ms: Range<u64>,
    zone_requests_per_s: f64,
    has_prompts: bool,
}

const MODEL: Service = Service {
    endpoints: ENGINES,
    slots: SLOTS,
    hold_ms: 500..1_500,
    zone_requests_per_s: 120.0,
    has_prompts: true,
};

const PLAIN: Service = Service {
    has_prompts: false,
    ..MODEL
};

/// One endpoint in each zone.
const SMALL_PLAIN: Service = Service {
    endpoints: ZONES,
    slots: 6,
    hold_ms: 15..60,
    zone_requests_per_s: 80.0,
    has_prompts: false,
};

/// One scenario: what changes from `BEGIN_MS` to `END_MS`.
#[derive(Clone)]
struct Scenario {
    name: &'static str,
    service: Service,
    demand: [f64; ZONES],
    /// Endpoints of the first zone that are lost, for good.
    lost: usize,
}

struct Served {
    arrived_ms: u64,
    own_zone: usize,
    first_event_ms: u64,
    is_cross_zone: bool,
}

struct Outcome {
    served: Vec<Served>,
    /// The mean fraction of the daemons of each zone, each 100 ms.
    fractions: [Vec<f64>; ZONES],
    /// Largest difference between the fractions of a zone's daemons.
    spread_max: f64,
}

struct Running {
    daemon: usize,
    engine: EndpointName,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<(usize, u64, u64, bool)>,
    cached: BTreeMap<u64, u64>,
}

impl Outcome {
    fn between(&self, from_ms: u64, to_ms: u64, zone: Option<usize>) -> Vec<&Served> {
        let is_chosen = |it: &&Served| {
            (from_ms..to_ms).contains(&it.arrived_ms) && zone.is_none_or(|zone| it.own_zone == zone)
        };
        self.served.iter().filter(is_chosen).collect()
    }

    fn cross_share(&self, from_ms: u64, to_ms: u64, zone: Option<usize>) -> f64 {
        let served = self.between(from_ms, to_ms, zone);
        served.iter().filter(|it| it.is_cross_zone).count() as f64 / served.len() as f64
    }

    /// The 95th percentile of the time to the first event.
    fn first_event_p95_ms(&self, from_ms: u64, to_ms: u64, zone: Option<usize>) -> u64 {
        let served = self.between(from_ms, to_ms, zone);
        let mut times: Vec<u64> = served.iter().map(|it| it.first_event_ms).collect();
        times.sort_unstable();
        times[times.len() * 95 / 100]
    }

    /// Number of times that a zone's fraction changes direction by more than 0.1.
    fn reversals(&self, zone: usize) -> usize {
        let (mut low, mut high) = (0.0_f64, 0.0_f64);
        let (mut is_rising, mut reversals) = (None, 0);
        for &fraction in &self.fractions[zone] {
            low = low.min(fraction);
            high = high.max(fraction);
            let next = match is_rising {
                Some(true) if high - fraction > 0.1 => false,
                Some(false) if fraction - low > 0.1 => true,
                None if fraction - low > 0.1 => true,
                _ => continue,
            };
            reversals += usize::from(is_rising.is_some());
            is_rising = Some(next);
            (low, high) = (fraction, fraction);
        }
        reversals
    }
}

fn run(scenario: &Scenario, preference: ZonePreference, seed: u64) -> Outcome {
    let service = &scenario.service;
    let listed_endpoint = |number| listed(number, service.slots);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pools: Vec<EndpointPool> = (0..DAEMONS).map(|own| pool(own, 0, preference)).collect();
    for pool in &mut pools {
        pool.relist(MonotonicMs(0), (0..service.endpoints).map(listed_endpoint));
    }
    let mut engines: BTreeMap<EndpointName, Engine> = (0..service.endpoints)
        .map(|number| (engine(number), Engine::default()))
        .collect();
    let zone_of: BTreeMap<EndpointName, usize> = (0..service.endpoints)
        .map(|number| (engine(number), number % ZONES))
        .collect();
    let mut completions: BTreeMap<(u64, usize), Running> = BTreeMap::new();
    let mut counts: VecDeque<BTreeMap<EndpointName, u32>> = VecDeque::new();
    let mut outcome = Outcome {
        served: Vec::new(),
        fractions: Default::default(),
        spread_max: 0.0,
    };
    let mut number = 0;
    for now_ms in 0..STOP_MS {
        let now = MonotonicMs(now_ms);
        let is_changed = (BEGIN_MS..END_MS).contains(&now_ms);
        if now_ms == BEGIN_MS && scenario.lost > 0 {
            let is_lost = |it: &usize| it.is_multiple_of(ZONES) && it / ZONES < scenario.lost;
            let kept: Vec<usize> = (0..service.endpoints).filter(|it| !is_lost(it)).collect();
            for pool in &mut pools {
                pool.relist(now, kept.iter().copied().map(listed_endpoint));
            }
            for lost in (0..service.endpoints).filter(is_lost) {
                engines.remove(&engine(lost));
            }
        }
        while let Some((&(at, _), _)) = completions.first_key_value()
            && at <= now_ms
        {
            let (_, running) = completions.pop_first().unwrap();
            pools[running.daemon].finish(&running.engine);
            let Some(engine) = engines.get_mut(&running.engine) else {
                continue;
            };
            engine.running -= 1;
            if let Some((daemon, arrived_ms, hold_ms, is_cross_zone)) = engine.waiting.pop_front() {
                engine.running += 1;
                outcome.served.push(Served {
                    arrived_ms,
                    own_zone: daemon % ZONES,
                    first_event_ms: now_ms - arrived_ms + 50 + u64::from(is_cross_zone) * 2,
                    is_cross_zone,
                });
                number += 1;
                let running = Running {
                    daemon,
                    engine: running.engine,
                };
                completions.insert((now_ms + hold_ms, number), running);
            }
        }
        if now_ms.is_multiple_of(100) {
            let count = |it: &Engine| it.running + it.waiting.len() as u32;
            counts.push_back(
                engines
                    .iter()
                    .map(|(name, it)| (name.clone(), count(it)))
                    .collect(),
            );
            for (zone, fractions) in outcome.fractions.iter_mut().enumerate() {
                let own = pools.iter().skip(zone).step_by(ZONES);
                let own: Vec<f64> = own.map(EndpointPool::overflow_fraction).collect();
                fractions.push(own.iter().sum::<f64>() / own.len() as f64);
                let low = own.iter().copied().fold(f64::MAX, f64::min);
                let high = own.iter().copied().fold(0.0, f64::max);
                outcome.spread_max = outcome.spread_max.max(high - low);
            }
            // Values reach the daemons 0.2 to 2 s late.
            for (own, pool) in pools.iter_mut().enumerate() {
                let lag = 2 + 18 * own / (DAEMONS - 1);
                if let Some(index) = counts.len().checked_sub(1 + lag) {
                    pool.observe_totals(now, |name| counts[index].get(name).copied().unwrap_or(0));
                }
            }
        }
        for own_zone in 0..ZONES {
            let factor = if is_changed {
                scenario.demand[own_zone]
            } else {
                1.0
            };
            if random.random::<f64>() >= service.zone_requests_per_s * factor / 1_000.0 {
                continue;
            }
            let daemon = random.random_range(0..DAEMONS / ZONES) * ZONES + own_zone;
            // Few prompts make up most requests.
            let key = (random.random::<f64>().powi(3) * PROMPTS as f64) as u64;
            let tokens = match key % 3 {
                0 => LONG_PROMPT_TOKENS,
                _ => SHORT_PROMPT_TOKENS,
            };
            let shared = prompt(key, tokens).filter(|_| service.has_prompts);
            let request = request_for(shared, random.random());
            let placement = pools[daemon].place(now, &request).unwrap();
            let name = placement.endpoint;
            let is_cross_zone = zone_of[&name] != own_zone;
            let engine = engines.get_mut(&name).unwrap();
            let cached_at = engine.cached.insert(key, now_ms);
            let is_cached = cached_at.is_some_and(|at| now_ms - at < 10_000);
            let prefill_ms = if shared.is_none() || is_cached {
                0
            } else {
                u64::from(tokens.0) / 40
            };
            let hold_ms = random.random_range(service.hold_ms.clone()) + prefill_ms;
            if engine.running == service.slots {
                engine
                    .waiting
                    .push_back((daemon, now_ms, hold_ms, is_cross_zone));
                continue;
            }
            engine.running += 1;
            outcome.served.push(Served {
                arrived_ms: now_ms,
                own_zone,
                first_event_ms: 50 + prefill_ms + u64::from(is_cross_zone) * 2,
                is_cross_zone,
            });
            number += 1;
            let running = Running {
                daemon,
                engine: name,
            };
            completions.insert((now_ms + hold_ms, number), running);
        }
    }
    outcome
}

#[test]
fn one_overloaded_zone_uses_the_others_and_no_more() {
    struct Case {
        scenario: Scenario,
        /// Share of the requests that must cross zones for equal pressures.
        cross_share: f64,
        /// Bounds of the 95th percentile of the time to the first event, in the first zone: in the first
        /// 3 s of the change, and in the rest of it.
        first_event_ms: [u64; 2],
        reversals_max: usize,
    }
    let case = |name, service, demand, lost, cross_share, first_event_ms, reversals_max| Case {
        scenario: Scenario {
            name,
            service,
            demand,
            lost,
        },
        cross_share,
        first_event_ms,
        reversals_max,
    };
    let one = [2.5, 1.0, 1.0, 1.0];
    let two = [2.5, 2.5, 1.0, 1.0];
    let cases = [
        case("one zone", MODEL, one, 0, 0.205, [650, 400], 2),
        case("two zones", MODEL, two, 0, 0.214, [800, 500], 2),
        case("endpoints lost", MODEL, [1.0; 4], 10, 0.15, [500, 500], 2),
        case("plain, one zone", PLAIN, one, 0, 0.205, [250, 100], 2),
        case("plain, two zones", PLAIN, two, 0, 0.214, [350, 100], 2),
        case("plain, lost", PLAIN, [1.0; 4], 10, 0.15, [250, 100], 2),
    ];
    for Case {
        scenario,
        cross_share,
        first_event_ms,
        reversals_max,
    } in &cases
    {
        for seed in 1..=3 {
            let outcome = run(scenario, ZonePreference::On, seed);
            let name = scenario.name;
            let adapted_ms = BEGIN_MS + 3_000;
            let usual = outcome.cross_share(1_000, BEGIN_MS, None);
            let changed = outcome.cross_share(adapted_ms, END_MS, None);
            let first = outcome.first_event_p95_ms(BEGIN_MS, adapted_ms, Some(0));
            let adapted = outcome.first_event_p95_ms(adapted_ms, END_MS, Some(0));
            let reversals = (0..ZONES).map(|zone| outcome.reversals(zone)).max();
            let off = run(scenario, ZonePreference::Off, seed);
            println!(
                "{name:18} {seed}, off: cross {:.3} {:.3}, p95 {} {} ms",
                off.cross_share(1_000, BEGIN_MS, None),
                off.cross_share(adapted_ms, END_MS, None),
                off.first_event_p95_ms(BEGIN_MS, adapted_ms, Some(0)),
                off.first_event_p95_ms(adapted_ms, END_MS, Some(0)),
            );
            println!(
                "{name:18} {seed}: cross {usual:.3} {changed:.3}, p95 {first} {adapted} ms, \
                 reversals {reversals:?}, spread {:.2}",
                outcome.spread_max
            );
            assert!(usual < 0.05, "{name} {seed}: {usual} cross in usual times");
            assert!(
                (changed - cross_share).abs() < 0.035,
                "{name} {seed}: {changed} cross, not {cross_share}"
            );
            assert!(
                first < first_event_ms[0] && adapted < first_event_ms[1],
                "{name} {seed}: first event after {first} ms, later {adapted} ms"
            );
            assert!(
                reversals <= Some(*reversals_max),
                "{name} {seed}: the fraction oscillates, {reversals:?} reversals"
            );
            let without = off.cross_share(adapted_ms, END_MS, None);
            assert!(without > 0.7, "{name} {seed}: {without} cross without");
            if scenario.lost == 0 {
                let afterwards = outcome.cross_share(END_MS + 5_000, STOP_MS, None);
                assert!(afterwards < 0.06, "{name} {seed}: {afterwards} afterwards");
            }
        }
    }
}

#[test]
fn small_plain_services_are_not_thrown_between_zones() {
    // Guards against a fraction that follows the length of queues, which end and begin in turn in
    // zones of one endpoint.
    struct Case {
        name: &'static str,
        demand: [f64; ZONES],
        cross_share_max: f64,
        /// Bound of the share of requests that wait for more than 100 ms after the first 3 s.
        late_share_max: f64,
    }
    let cases = [
        Case {
            name: "usual",
            demand: [1.0; ZONES],
            cross_share_max: 0.05,
            late_share_max: 0.01,
        },
        Case {
            name: "one zone",
            demand: [2.5, 1.0, 1.0, 1.0],
            cross_share_max: 0.25,
            late_share_max: 0.02,
        },
        Case {
            name: "all zones, 0.9 of the slots",
            demand: [1.8; ZONES],
            cross_share_max: 0.06,
            late_share_max: 0.03,
        },
    ];
    for case in &cases {
        let scenario = Scenario {
            name: case.name,
            service: SMALL_PLAIN,
            demand: case.demand,
            lost: 0,
        };
        for preference in [ZonePreference::Off, ZonePreference::On] {
            let runs = (1..=4).map(|seed| run(&scenario, preference, seed));
            let shares = runs.map(|outcome| {
                let served = outcome.between(BEGIN_MS + 3_000, END_MS, None);
                let late = served.iter().filter(|it| it.first_event_ms > 150).count();
                let cross = outcome.cross_share(BEGIN_MS + 3_000, END_MS, None);
                (cross / 4.0, late as f64 / served.len() as f64 / 4.0)
            });
            let (cross, late) = shares.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
            println!(
                "small, {}, {preference}: cross {cross:.3}, late {late:.3}",
                case.name
            );
            if preference == ZonePreference::On {
                assert!(
                    cross < case.cross_share_max,
                    "{}: {cross} cross zones",
                    case.name
                );
                assert!(late < case.late_share_max, "{}: {late} late", case.name);
            }
        }
    }
}

#[test]
fn placement_without_preference_is_that_of_a_pool_without_zones() {
    // Guards deployments that don't use zones: any difference moves cached prompts.
    for preference in [ZonePreference::Off, ZonePreference::Auto] {
        let mut pools = [pool_without_preference(0, 16), pool(0, 16, preference)];
        let mut random = SmallRng::seed_from_u64(3);
        for step in 0..3_000_u64 {
            let now = MonotonicMs(1_000 + step * 10);
            let key = random.random_range(0..40);
            let shared = match key % 4 {
                0 => prompt(key, LONG_PROMPT_TOKENS),
                1 | 2 => prompt(key, SHORT_PROMPT_TOKENS),
                _ => None,
            };
            let request = PlacementRequest {
                suspect: (key == 3).then_some(RequestTag(7)),
                ..request_for(shared, random.random())
            };
            let totals: Vec<u32> = (0..16).map(|_| random.random_range(0..30)).collect();
            let [expected, placed] = pools.each_mut().map(|pool| {
                if step % 20 == 0 {
                    pool.observe_totals(now, |name| {
                        let number: usize = name.as_str()[2..].parse().unwrap();
                        // More work in the own zone than in the others.
                        totals[number] * if number.is_multiple_of(ZONES) { 3 } else { 1 }
                    });
                }
                if step % 90 == 7 {
                    pool.observe_failure(now, &engine(key as usize % 16), AttemptFailure::NotSent);
                }
                let placement = pool.place(now, &request).unwrap();
                if step % 3 > 0 {
                    pool.finish(&placement.endpoint);
                }
                placement
            });
            assert_eq!(placed, expected, "{preference}, step {step}");
            assert_eq!(placed.zone_reason, ZoneReason::NoPreference);
        }
    }
}

#[test]
fn auto_needs_a_pace_and_for_prompts_enough_endpoints() {
    // Guards small zones against a cached copy of each prompt in every zone.
    use ZonePreference::{Auto, Off, On};
    struct Case {
        preference: ZonePreference,
        reports_pace: bool,
        own_endpoints: usize,
        expected: ZoneUse,
    }
    let case = |preference, reports_pace, own_endpoints, [plain, short, long]: [bool; 3]| Case {
        preference,
        reports_pace,
        own_endpoints,
        expected: ZoneUse {
            plain,
            short_prompts: short,
            long_prompts: long,
        },
    };
    let cases = [
        case(Off, true, 15, [false, false, false]),
        case(Auto, false, 15, [false, false, false]),
        case(Auto, true, 7, [false, false, false]),
        case(Auto, true, 8, [true, true, false]),
        case(On, false, 15, [true, true, true]),
        case(On, true, 1, [true, true, true]),
    ];
    for it in &cases {
        let found = ZoneUse::new(it.preference, it.reports_pace, it.own_endpoints);
        assert_eq!(
            found,
            it.expected,
            "{:?}",
            (it.preference, it.own_endpoints)
        );
    }
}

fn place(pool: &mut EndpointPool, now: MonotonicMs, key: u64) -> Placement {
    let placement = pool
        .place(now, &request_for(prompt(key, LONG_PROMPT_TOKENS), 0.05))
        .unwrap();
    pool.finish(&placement.endpoint);
    placement
}

/// The home of a prompt in a zone: where a daemon of that zone places it.
fn home(zone: usize, key: u64) -> EndpointName {
    let mut pool = pool(zone, ENGINES, ZonePreference::On);
    place(&mut pool, MonotonicMs(0), key).endpoint
}

/// Reports the load of each zone's endpoints to a pool each 100 ms for a time.
fn report(pool: &mut EndpointPool, from_ms: u64, to_ms: u64, work: [u32; ZONES]) {
    for now_ms in (from_ms..to_ms).step_by(100) {
        let now = MonotonicMs(now_ms);
        pool.observe_totals(now, |name| {
            let number: usize = name.as_str()[2..].parse().unwrap();
            work[number % ZONES]
        });
        pool.update_overflow(now);
    }
}

#[test]
fn a_zone_without_endpoints_sends_each_prompt_to_its_home_elsewhere() {
    // Guards against a second cached copy in the zones that take over, and against refusals.
    struct Case {
        failure: &'static str,
        fail: fn(&mut EndpointPool),
    }
    let cases = [
        Case {
            failure: "evacuated",
            fail: |pool| {
                let listed = (0..ENGINES).map(|number| ListedEndpoint {
                    accepts_requests: !number.is_multiple_of(ZONES),
                    ..listed(number, SLOTS)
                });
                pool.relist(MonotonicMs(0), listed);
            },
        },
        Case {
            failure: "lost",
            fail: |pool| {
                let kept = (0..ENGINES).filter(|number| !number.is_multiple_of(ZONES));
                pool.relist(MonotonicMs(0), kept.map(|number| listed(number, SLOTS)));
            },
        },
        Case {
            failure: "all ejected",
            fail: |pool| {
                for number in (0..ENGINES).step_by(ZONES) {
                    let failure = AttemptFailure::NotSent;
                    pool.observe_failure(MonotonicMs(0), &engine(number), failure);
                }
            },
        },
    ];
    for case in &cases {
        let mut pool = pool(0, ENGINES, ZonePreference::On);
        (case.fail)(&mut pool);
        for key in 0..50 {
            let placement = place(&mut pool, MonotonicMs(10), key);
            let failure = case.failure;
            assert_eq!(
                placement.zone_reason,
                ZoneReason::OwnUnavailable,
                "{failure}"
            );
            let homes = [1, 2, 3].map(|zone| home(zone, key));
            assert!(homes.contains(&placement.endpoint), "{failure}, {key}");
        }
        let plain = pool.place(MonotonicMs(10), &request_for(None, 0.5));
        assert_ne!(plain.unwrap().zone, zone(0), "{}", case.failure);
    }
}

#[test]
fn prompts_that_leave_go_to_the_home_of_the_other_zone() {
    // Guards the cache: each prompt has one home in a zone, whichever daemon places it, and the prompts
    // that leave at a fraction still leave at a larger one.
    let mut pool = pool(0, ENGINES, ZonePreference::On);
    let leaving = |pool: &mut EndpointPool, now_ms| {
        let placed = (0..400).map(|key| (key, place(pool, MonotonicMs(now_ms), key)));
        let mut left = Vec::new();
        for (key, placement) in placed {
            let number: usize = placement.endpoint.as_str()[2..].parse().unwrap();
            assert_eq!(placement.endpoint, home(number % ZONES, key));
            if placement.zone != zone(0) {
                assert_eq!(placement.zone_reason, ZoneReason::Overflow);
                left.push(key);
            }
        }
        left
    };
    assert!(leaving(&mut pool, 0).is_empty());
    report(&mut pool, 100, 1_500, [20, 10, 10, 10]);
    let few = leaving(&mut pool, 1_500);
    report(&mut pool, 1_500, 3_500, [30, 10, 10, 10]);
    let many = leaving(&mut pool, 3_500);
    let fraction = pool.overflow_fraction();
    assert!((many.len() as f64 / 400.0 - fraction).abs() < 0.12);
    assert!(few.len() > 10 && many.len() > few.len() + 20);
    // The edge of the fraction, in which the draw decides, may change sides.
    let lost = few.iter().filter(|key| !many.contains(key)).count();
    assert!(lost <= 4, "{lost} of {} came back", few.len());
}

#[test]
fn limits_and_tried_endpoints_hold_in_the_order_of_zones() {
    // Guards the rules of placement against the zone order.
    let now = MonotonicMs(0);
    let key = 5;
    let shared = prompt(key, LONG_PROMPT_TOKENS);
    let first = home(0, key);

    let mut pool_a = pool(0, ENGINES, ZonePreference::On);
    let request = PlacementRequest {
        tried: std::slice::from_ref(&first),
        ..request_for(shared, 0.05)
    };
    let next = pool_a.place(now, &request).unwrap();
    assert_ne!(next.endpoint, first, "tried endpoints are passed over");
    assert_eq!(next.zone, zone(0), "a retry stays in the zone");

    let allowed = [zone(2)];
    let request = PlacementRequest {
        allowed_zones: Some(&allowed),
        ..request_for(shared, 0.05)
    };
    let placed = pool_a.place(now, &request).unwrap();
    assert_eq!(placed.endpoint, home(2, key), "only allowed zones");

    // All endpoints of the zone are above the hard limit of twice the mean and 3.
    let mut pool_a = pool(0, ENGINES, ZonePreference::On);
    pool_a.observe_totals(now, |name| {
        let number: usize = name.as_str()[2..].parse().unwrap();
        if number.is_multiple_of(ZONES) { 20 } else { 1 }
    });
    for request in [request_for(shared, 0.05), request_for(None, 0.05)] {
        let placed = pool_a.place(now, &request).unwrap();
        assert_eq!(placed.zone_reason, ZoneReason::OwnFull);
        assert_ne!(placed.zone, zone(0), "the hard load limit holds");
    }
}

#[test]
fn a_partition_between_zones_keeps_requests_in_the_own_zone() {
    // Guards against requests for endpoints that can't be reached while a fraction leaves.
    let mut pool = pool(0, ENGINES, ZonePreference::On);
    report(&mut pool, 0, 3_000, [40, 10, 10, 10]);
    assert!(pool.overflow_fraction() > 0.3);
    let now = MonotonicMs(3_000);
    for number in (0..ENGINES).filter(|number| !number.is_multiple_of(ZONES)) {
        pool.observe_failure(now, &engine(number), AttemptFailure::NotSent);
    }
    for key in 0..100 {
        let placement = place(&mut pool, now, key);
        assert_eq!(placement.zone, zone(0));
        let plain = pool.place(now, &request_for(None, key as f64 / 100.0));
        assert_eq!(plain.unwrap().zone, zone(0));
    }
}

#[test]
fn old_and_missing_load_values_end_the_overflow() {
    // Guards against a fraction that stays as it was when the news from other daemons ended.
    let mut pool = pool(0, ENGINES, ZonePreference::On);
    for key in 0..100 {
        let placement = place(&mut pool, MonotonicMs(0), key);
        assert_eq!(placement.zone, zone(0), "no loads are known at the start");
    }
    report(&mut pool, 0, 3_000, [40, 10, 10, 10]);
    let begun = pool.take_overflow_change().unwrap();
    assert!(begun.is_active && begun.own_pressure > begun.others_pressure);
    let before = pool.overflow_fraction();
    assert!(before > 0.3);
    let mut previous = before;
    for now_ms in (3_000..12_000).step_by(100) {
        pool.update_overflow(MonotonicMs(now_ms));
        let fraction = pool.overflow_fraction();
        assert!(previous - fraction <= 0.05 + 1e-9, "decays in steps");
        assert!(
            fraction <= previous || now_ms < 5_000,
            "rises without values"
        );
        previous = fraction;
    }
    assert_eq!(previous, 0.0);
    let ended = pool.take_overflow_change().unwrap();
    assert!(!ended.is_active && ended.own_pressure.is_none());
}

#[test]
fn a_changed_preference_ends_the_overflow() {
    // Guards against a fraction, and its log line, that outlast the preference.
    let mut pool = pool(0, ENGINES, ZonePreference::On);
    report(&mut pool, 0, 3_000, [40, 10, 10, 10]);
    assert!(pool.take_overflow_change().unwrap().is_active);
    pool.set_zone_preference(zone(0), ZonePreference::Off);
    pool.update_overflow(MonotonicMs(3_100));
    assert_eq!(pool.overflow_fraction(), 0.0);
    assert!(!pool.take_overflow_change().unwrap().is_active);
}

#[test]
fn copies_are_fetched_from_the_nearest_holder() {
    // Guards against copies that cross zones while an endpoint in the zone has the prompt.
    struct Case {
        name: &'static str,
        /// Endpoints that peers sent the prompt to, oldest first.
        holders: Vec<EndpointName>,
        expected: EndpointName,
    }
    // A prompt for which two endpoints of the own zone rank above those of all others: the second one
    // ranks next to the home, but has never been sent the prompt.
    let ranked = |key| {
        let shared = prompt(key, LONG_PROMPT_TOKENS).unwrap();
        let mut numbers: Vec<usize> = (0..ENGINES).collect();
        numbers.sort_by_key(|it| rendezvous_score(shared.key, engine(*it).as_str()));
        numbers.reverse();
        numbers
    };
    let key = (0..)
        .find(|key| ranked(*key)[..2].iter().all(|it| it.is_multiple_of(ZONES)))
        .unwrap();
    let shared = prompt(key, LONG_PROMPT_TOKENS).unwrap();
    let own_home = home(0, key);
    let near = engine(ranked(key)[1]);
    let far_home = ranked(key)
        .into_iter()
        .find(|it| !it.is_multiple_of(ZONES))
        .unwrap();
    let cases = [
        Case {
            name: "new to the zone: from its home elsewhere",
            holders: vec![],
            expected: engine(far_home),
        },
        Case {
            name: "held in another zone alone",
            holders: vec![engine(2)],
            expected: engine(2),
        },
        Case {
            name: "held in both, the other zone's later",
            holders: vec![near.clone(), engine(2)],
            expected: near.clone(),
        },
    ];
    for case in &cases {
        let mut pool = pool(0, ENGINES, ZonePreference::On);
        for (index, holder) in case.holders.iter().enumerate() {
            let at = MonotonicMs(20_000 + index as u64);
            pool.observe_holder_from_peer(at, shared.tag(), holder);
        }
        let placement = place(&mut pool, MonotonicMs(20_100), key);
        assert_eq!(placement.endpoint, own_home);
        let expected = pool.address_of(&case.expected);
        assert_eq!(placement.fetch_from, expected, "{}", case.name);
    }
}

fn loads(pressures: &[Option<f64>]) -> Vec<ZoneLoad> {
    let load = |(number, pressure): (usize, &Option<f64>)| ZoneLoad {
        zone: zone(number),
        endpoints: 15,
        pressure: *pressure,
    };
    pressures.iter().enumerate().map(load).collect()
}

#[test]
fn the_fraction_begins_above_the_margin_and_ends_below_half_of_it() {
    // Guards against a fraction that begins and ends by chance. The margin is a quarter of the other
    // zone's pressure and 1: 3.5 here.
    struct Case {
        /// Pressure of the own zone if nothing left, before and afterwards; the other zone's is 10.
        own_demand: [f64; 2],
        is_active: bool,
    }
    let case = |before, after, is_active| Case {
        own_demand: [before, after],
        is_active,
    };
    let cases = [
        case(10.0, 10.0, false),
        case(10.0, 13.0, false),
        case(10.0, 14.0, true),
        case(20.0, 13.0, true),
        case(20.0, 12.0, true),
        case(20.0, 11.0, false),
    ];
    for it in &cases {
        let mut overflow = ZoneOverflow::default();
        let mut is_active = false;
        for step in 0..400 {
            let demand = it.own_demand[step / 200];
            let moved = demand * overflow.fraction();
            let current = loads(&[Some(demand - moved), Some(10.0 + moved)]);
            let now = MonotonicMs(step as u64 * 100);
            if let Some(change) = overflow.update(now, &zone(0), &current) {
                is_active = change.is_active;
            }
        }
        assert_eq!(is_active, it.is_active, "{:?}", it.own_demand);
        let expected = 1.0 - (it.own_demand[1] + 10.0) / 2.0 / it.own_demand[1];
        let expected = if it.is_active { expected } else { 0.0 };
        let fraction = overflow.fraction();
        assert!(
            (fraction - expected).abs() < 0.01,
            "{:?}: {fraction}, not {expected}",
            it.own_demand
        );
    }
}

proptest! {
    #[test]
    fn the_fraction_changes_in_bounded_steps_and_never_targets_the_own_zone(
        steps in proptest::collection::vec(
            (
                1_u64..5_000,
                proptest::collection::vec((0_usize..20, proptest::option::of(0.0..1e6_f64)), 0..5),
            ),
            1..40,
        ),
        keys in proptest::collection::vec(any::<u64>(), 1..10),
    ) {
        // Guards against jumps after a gap or with absurd values, which all daemons would make at once.
        let mut overflow = ZoneOverflow::default();
        let mut now = MonotonicMs(0);
        for (elapsed_ms, pressures) in steps {
            now = now + DurationMs(elapsed_ms);
            let before = overflow.fraction();
            let load = |(number, (endpoints, pressure))| ZoneLoad {
                zone: zone(number),
                endpoints,
                pressure,
            };
            let zones = pressures.into_iter().take(ZONES).enumerate();
            let current: Vec<ZoneLoad> = zones.map(load).collect();
            overflow.update(now, &zone(0), &current);
            let fraction = overflow.fraction();
            prop_assert!((0.0..=0.9).contains(&fraction));
            let step_max = 0.5 * elapsed_ms.min(500) as f64 / 1_000.0;
            prop_assert!((fraction - before).abs() <= step_max.max(0.005) + 1e-9);
            for key in &keys {
                for prompt_key in [None, Some(*key)] {
                    let draw = *key as f64 / u64::MAX as f64;
                    if let Some(to) = overflow.leaves_to(prompt_key, draw) {
                        prop_assert!(*to != zone(0));
                        let load = current.iter().find(|it| it.zone == *to);
                        prop_assert!(load.is_some_and(|it| it.pressure.is_some() && it.endpoints > 0));
                    }
                }
            }
        }
    }
}
