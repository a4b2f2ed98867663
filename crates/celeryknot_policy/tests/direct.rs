//! Simulates the decisions of a whole fleet that sends directly to endpoints, without a network.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MemberName, MonotonicMs, RatePerS};
use celeryknot_core::{PromptTag, TokenCount};
use celeryknot_policy::direct::{
    AttemptFailure, AttemptHistory, EndpointPool, ListedEndpoint, PlacementReason,
    PlacementRequest, PoolLimits, ReportedLoad, RetryBounds, RetryShare, SharedPrefix,
};
use celeryknot_policy::rate_limit::FleetRateLimit;
use celeryknot_policy::routing::RouteKind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const LONG_PROMPT_TOKENS: TokenCount = TokenCount(8_000);
const SHORT_PROMPT_TOKENS: TokenCount = TokenCount(600);

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
        slots: 64,
        accepts_requests: true,
        cold_until: None,
    }
}

fn limits(own: usize, daemons: usize) -> PoolLimits {
    PoolLimits {
        own_name: member(own),
        members: (0..daemons).map(member).collect(),
        members_min: 1,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: Some(FleetRateLimit {
            rate: RatePerS(13.0),
            window_ms: DurationMs(1_000),
            max_per_window: 24.5,
        }),
    }
}

fn pool(own: usize, daemons: usize, engines: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(limits(own, daemons));
    pool.relist(MonotonicMs(0), (0..engines).map(listed));
    pool
}

fn prompt(key: u64, tokens: TokenCount) -> Option<SharedPrefix> {
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

/// Simulation of a fleet that sends requests and receives in-flight totals with a delay.
struct FleetSimulation {
    daemons: usize,
    engines: usize,
    requests_per_s: usize,
    seconds: u64,
    hold_ms: u64,
    update_interval_ms: u64,
    /// Draws the prompt of a request.
    draw_prompt: fn(&mut SmallRng) -> Option<SharedPrefix>,
}

struct SimulationResult {
    requests: usize,
    /// Requests placed on an engine whose load was above twice the mean plus three.
    overloaded: usize,
    /// Engines that each prompt was sent to.
    spread: BTreeMap<u64, BTreeSet<EndpointName>>,
}

impl FleetSimulation {
    fn run(&self, seed: u64) -> SimulationResult {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pools: Vec<EndpointPool> = (0..self.daemons)
            .map(|own| pool(own, self.daemons, self.engines))
            .collect();
        let mut held: BTreeMap<EndpointName, u32> = BTreeMap::new();
        let mut completions: BTreeMap<(u64, usize), (usize, EndpointName)> = BTreeMap::new();
        let mut result = SimulationResult {
            requests: 0,
            overloaded: 0,
            spread: BTreeMap::new(),
        };
        let mut number = 0;
        for now_ms in 0..self.seconds * 1_000 {
            let now = MonotonicMs(now_ms);
            while let Some(((at, _), _)) = completions.first_key_value()
                && *at <= now_ms
            {
                let (_, (daemon, name)) = completions.pop_first().unwrap();
                pools[daemon].finish(&name);
                *held.get_mut(&name).unwrap() -= 1;
            }
            if now_ms % self.update_interval_ms == 0 {
                for pool in &mut pools {
                    pool.observe_totals(now, |name| held.get(name).copied().unwrap_or(0));
                }
            }
            let arrivals = (0..self.requests_per_s)
                .filter(|_| random.random_range(0..1_000) == 0)
                .count();
            for _ in 0..arrivals {
                let daemon = random.random_range(0..self.daemons);
                let shared = (self.draw_prompt)(&mut random);
                let request = request_for(shared, random.random());
                let placement = pools[daemon].place(now, &request).unwrap();
                let mean = held.values().sum::<u32>() as f64 / self.engines as f64;
                let engine_load = held.entry(placement.endpoint.clone()).or_default();
                result.overloaded += usize::from(f64::from(*engine_load) > 2.0 * mean + 3.0);
                *engine_load += 1;
                result.requests += 1;
                if let Some(shared) = shared {
                    let engines = result.spread.entry(shared.key).or_default();
                    engines.insert(placement.endpoint.clone());
                }
                number += 1;
                let end_ms = now_ms + random.random_range(self.hold_ms / 2..self.hold_ms * 2);
                completions.insert((end_ms, number), (daemon, placement.endpoint));
            }
        }
        result
    }
}

#[test]
fn daemons_without_shared_state_choose_the_same_endpoint_for_a_prompt() {
    let mut pools: Vec<EndpointPool> = (0..5).map(|own| pool(own, 5, 9)).collect();
    for key in 0..50 {
        let chosen: BTreeSet<EndpointName> = pools
            .iter_mut()
            .map(|pool| {
                let placement = pool
                    .place(
                        MonotonicMs(0),
                        &request_for(prompt(key, LONG_PROMPT_TOKENS), 0.5),
                    )
                    .unwrap();
                pool.finish(&placement.endpoint);
                assert_eq!(placement.reason, PlacementReason::First);
                placement.endpoint
            })
            .collect();
        assert_eq!(chosen.len(), 1, "prompt {key}");
    }
}

#[test]
fn adding_an_engine_moves_only_the_prompts_that_it_now_ranks_first_for() {
    let place = |pool: &mut EndpointPool, key| {
        let placement = pool
            .place(
                MonotonicMs(0),
                &request_for(prompt(key, LONG_PROMPT_TOKENS), 0.5),
            )
            .unwrap();
        pool.finish(&placement.endpoint);
        placement.endpoint
    };
    let mut before = pool(0, 1, 9);
    let mut after = pool(0, 1, 10);
    let moved: Vec<EndpointName> = (0..1_000)
        .filter_map(|key| {
            let (from, to) = (place(&mut before, key), place(&mut after, key));
            (from != to).then_some(to)
        })
        .collect();
    assert!(
        (60..150).contains(&moved.len()),
        "expected about a tenth of 1,000 prompts to move, not {}",
        moved.len()
    );
    assert!(
        moved.iter().all(|to| *to == engine(9)),
        "prompts move only to the new engine"
    );
}

#[test]
fn a_prompt_is_fetched_from_its_draining_holder() {
    let now = MonotonicMs(0);
    let mut pool = pool(0, 1, 3);
    let first = pool
        .place(now, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
        .unwrap();
    let again = pool
        .place(now, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
        .unwrap();
    assert_eq!(again.endpoint, first.endpoint);
    assert_eq!(
        again.fetch_from, None,
        "the engine already holds the prompt"
    );
    // The engine drains: it accepts no new requests but still serves copies of its prompts.
    let draining = (0..3).map(|number| {
        let mut endpoint = listed(number);
        endpoint.accepts_requests = endpoint.name != first.endpoint;
        endpoint
    });
    pool.relist(now, draining);
    let next = pool
        .place(now, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
        .unwrap();
    assert_ne!(next.endpoint, first.endpoint);
    assert_eq!(next.fetch_from, Some(first.address));
}

#[test]
fn a_prompt_that_moves_to_a_new_engine_is_fetched_from_the_previous_first_choice() {
    let place = |pool: &mut EndpointPool, now, key| {
        pool.place(now, &request_for(prompt(key, LONG_PROMPT_TOKENS), 0.5))
            .unwrap()
    };
    // Of two daemons, only one has sent the prompts before.
    let (mut first_daemon, mut other_daemon) = (pool(0, 2, 6), pool(1, 2, 6));
    let held: Vec<_> = (0..200)
        .map(|key| place(&mut first_daemon, MonotonicMs(1_000), key).address)
        .collect();
    let later = MonotonicMs(20_000);
    other_daemon.relist(later, (0..9).map(listed));
    let mut moved = 0;
    for (key, address) in held.iter().enumerate() {
        let placement = place(&mut other_daemon, later, key as u64);
        if placement.address != *address {
            moved += 1;
            assert_eq!(placement.fetch_from, Some(*address), "prompt {key}");
        }
    }
    assert!(
        moved > 30,
        "three of nine engines are new, so more than 30 of 200 prompts move"
    );
}

struct LoadBoundCase {
    name: &'static str,
    simulation: FleetSimulation,
    /// Maximum percentage of requests placed on an engine above twice the mean plus three.
    overloaded_percent_max: usize,
}

/// 203 prompts of file requests and 348 of chats, mixed as in the platform's enlarged deployment.
fn draw_mixed(random: &mut SmallRng) -> Option<SharedPrefix> {
    match random.random_range(0..389) {
        0..134 => prompt(random.random_range(0..203), LONG_PROMPT_TOKENS),
        134..287 => prompt(1_000 + random.random_range(0..522), TokenCount(2_000)),
        _ => prompt(2_000 + random.random_range(0..348), SHORT_PROMPT_TOKENS),
    }
}

/// One in four requests has the same prompt.
fn draw_with_hot_prompt(random: &mut SmallRng) -> Option<SharedPrefix> {
    match random.random_range(0..4) {
        0 => prompt(0, LONG_PROMPT_TOKENS),
        _ => draw_mixed(random),
    }
}

fn draw_without_prompt(_: &mut SmallRng) -> Option<SharedPrefix> {
    None
}

#[test]
fn few_requests_reach_an_engine_above_the_load_bound() {
    let simulation = |requests_per_s, engines, hold_ms, draw_prompt| FleetSimulation {
        daemons: 77,
        engines,
        requests_per_s,
        seconds: 12,
        hold_ms,
        update_interval_ms: 150,
        draw_prompt,
    };
    let cases = [
        LoadBoundCase {
            name: "many prompts",
            simulation: simulation(389, 40, 500, draw_mixed),
            overloaded_percent_max: 3,
        },
        LoadBoundCase {
            name: "a hot prompt",
            simulation: simulation(389, 40, 500, draw_with_hot_prompt),
            overloaded_percent_max: 3,
        },
        LoadBoundCase {
            name: "a plain service",
            simulation: simulation(136, 3, 60, draw_without_prompt),
            overloaded_percent_max: 3,
        },
    ];
    for case in cases {
        let result = case.simulation.run(11);
        let overloaded_max = result.requests * case.overloaded_percent_max / 100;
        assert!(
            result.overloaded <= overloaded_max,
            "{}: {} of {} requests on overloaded engines",
            case.name,
            result.overloaded,
            result.requests
        );
    }
}

#[test]
fn each_prompt_stays_on_few_engines() {
    let simulation = FleetSimulation {
        daemons: 77,
        engines: 40,
        requests_per_s: 389,
        seconds: 12,
        hold_ms: 500,
        update_interval_ms: 150,
        draw_prompt: draw_mixed,
    };
    let result = simulation.run(5);
    let mean_of = |keys: std::ops::Range<u64>| {
        let spread: Vec<usize> = result.spread.range(keys).map(|(_, it)| it.len()).collect();
        spread.iter().sum::<usize>() as f64 / spread.len() as f64
    };
    assert!(
        mean_of(0..1_000) < 2.0,
        "long prompts: {}",
        mean_of(0..1_000)
    );
    assert!(
        mean_of(2_000..3_000) < 4.5,
        "short prompts: {}",
        mean_of(2_000..3_000)
    );
}

#[test]
fn the_fleet_stays_within_the_rate_limit_of_a_cold_engine() {
    for daemons in [1, 3, 7, 9, 30, 77, 320] {
        let cold = || {
            let mut endpoint = listed(0);
            endpoint.cold_until = Some(MonotonicMs(60_000));
            endpoint
        };
        let mut pools: Vec<EndpointPool> = (0..daemons)
            .map(|own| {
                let mut pool = pool(own, daemons, 0);
                pool.relist(MonotonicMs(0), [cold()]);
                pool
            })
            .collect();
        let mut sent_at = Vec::new();
        for now_ms in (0..4_000).step_by(20) {
            for pool in &mut pools {
                match pool.place(
                    MonotonicMs(now_ms),
                    &request_for(prompt(1, SHORT_PROMPT_TOKENS), 0.5),
                ) {
                    Ok(placement) => {
                        pool.finish(&placement.endpoint);
                        sent_at.push(now_ms);
                    }
                    Err(refusal) => assert_eq!(refusal.kind, ErrorKind::NoEndpoint),
                }
            }
        }
        let most = sent_at
            .iter()
            .map(|start| {
                sent_at
                    .iter()
                    .filter(|at| (*start..*start + 1_000).contains(*at))
                    .count()
            })
            .max();
        assert!(
            most <= Some(24),
            "{daemons} daemons: {most:?} requests in a second"
        );
        assert!(
            sent_at.len() >= 20,
            "{daemons} daemons: at least 20 requests reach the engine in 4 s"
        );
    }
}

#[test]
fn the_retries_of_the_fleet_stay_within_the_budget() {
    const DAEMONS: usize = 77;
    let window = DurationMs(10_000);
    let mut shares: Vec<RetryShare> = (0..DAEMONS)
        .map(|_| {
            RetryShare::new(RetryBounds {
                ratio: 0.2,
                window_ms: window,
                allowance: 194.0 / DAEMONS as f64,
            })
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(3);
    let mut retries = Vec::new();
    let mut first_attempts = Vec::new();
    // Every attempt fails, and every retry that the share allows is made.
    for now_ms in 0..30_000 {
        let now = MonotonicMs(now_ms);
        if random.random_range(0..2) == 0 {
            let share = &mut shares[random.random_range(0..DAEMONS)];
            share.observe_first_attempt(now);
            first_attempts.push(now_ms);
            while share.try_take(now) {
                retries.push(now_ms);
            }
        }
    }
    let within = |times: &[u64], start: u64| {
        let window = start..start + window.0;
        times.iter().filter(|at| window.contains(at)).count() as f64
    };
    for start in (0_u64..20_000).step_by(250) {
        let before = within(&first_attempts, start.saturating_sub(10_000));
        let requests = within(&first_attempts, start).max(before);
        let allowed = 0.2 * requests + 194.0;
        assert!(within(&retries, start) <= allowed, "from {start} ms");
    }
}

#[test]
fn a_failing_endpoint_is_ejected_for_a_while() {
    struct Case {
        failure: AttemptFailure,
        count: usize,
        is_ejected: bool,
    }
    let cases = [
        Case {
            failure: AttemptFailure::NotSent,
            count: 1,
            is_ejected: true,
        },
        Case {
            failure: AttemptFailure::Refused,
            count: 9,
            is_ejected: false,
        },
        Case {
            failure: AttemptFailure::Unanswered,
            count: 1,
            is_ejected: false,
        },
        Case {
            failure: AttemptFailure::Unanswered,
            count: 2,
            is_ejected: true,
        },
        Case {
            failure: AttemptFailure::EndpointError,
            count: 2,
            is_ejected: true,
        },
    ];
    for case in cases {
        let mut pool = pool(0, 1, 2);
        let now = MonotonicMs(1_000);
        let first = pool
            .place(now, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
            .unwrap()
            .endpoint;
        (0..case.count).for_each(|_| pool.observe_failure(now, &first, case.failure));
        let next = pool
            .place(now, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
            .unwrap()
            .endpoint;
        assert_eq!(next != first, case.is_ejected, "{}", case.failure);
        let later = MonotonicMs(20_000);
        let back = pool
            .place(later, &request_for(prompt(7, LONG_PROMPT_TOKENS), 0.5))
            .unwrap()
            .endpoint;
        assert_eq!(
            back, first,
            "{}: the endpoint is back after its ejection",
            case.failure
        );
    }
}

#[test]
fn the_only_endpoint_is_used_even_if_ejected() {
    let mut pool = pool(0, 1, 1);
    let now = MonotonicMs(1_000);
    pool.observe_failure(now, &engine(0), AttemptFailure::NotSent);
    assert!(pool.place(now, &request_for(None, 0.5)).is_ok());
}

#[test]
fn placement_respects_the_allowed_zones() {
    let mut pool = pool(0, 1, 4);
    let moved = (0..4).map(|number| {
        let mut endpoint = listed(number);
        if number == 3 {
            endpoint.zone = "far-a".parse().unwrap();
        }
        endpoint
    });
    pool.relist(MonotonicMs(0), moved);
    let far = ["far-a".parse().unwrap()];
    for (zones, expected) in [(&far[..], Some(engine(3))), (&[], None)] {
        for key in 0..20 {
            let request = PlacementRequest {
                allowed_zones: Some(zones),
                ..request_for(prompt(key, LONG_PROMPT_TOKENS), 0.5)
            };
            let placed = pool.place(MonotonicMs(0), &request);
            assert_eq!(placed.ok().map(|it| it.endpoint), expected);
        }
    }
}

#[test]
fn a_slow_plain_endpoint_gets_fewer_requests() {
    let mut pool = pool(0, 1, 3);
    let load = |running| ReportedLoad {
        running,
        waiting: 0,
        slots: 64,
        pace: None,
    };
    let now = MonotonicMs(1_000);
    for number in 0..3 {
        pool.observe_load(now, &engine(number), load(if number == 0 { 60 } else { 4 }));
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut at_slow = 0;
    for _ in 0..1_000 {
        let placement = pool
            .place(now, &request_for(None, random.random()))
            .unwrap();
        at_slow += usize::from(placement.endpoint == engine(0));
        pool.finish(&placement.endpoint);
    }
    assert!(at_slow < 120, "{at_slow} of 1,000");
}

#[test]
fn attempts_that_may_have_run_are_retried_only_if_repeatable() {
    struct Case {
        kind: RouteKind,
        attempts_max: u32,
        failures: &'static [AttemptFailure],
        may_retry: bool,
        may_have_run: bool,
    }
    use AttemptFailure::{Misdirected, NotSent, NotSentInTime, Refused, Unanswered};
    let case = |kind, attempts_max, failures, may_retry, may_have_run| Case {
        kind,
        attempts_max,
        failures,
        may_retry,
        may_have_run,
    };
    let cases = [
        case(RouteKind::NonIdempotent, 2, &[NotSent][..], true, false),
        case(RouteKind::NonIdempotent, 1, &[NotSentInTime], true, false),
        case(
            RouteKind::NonIdempotent,
            1,
            &[Refused, Misdirected],
            true,
            false,
        ),
        case(RouteKind::NonIdempotent, 2, &[Unanswered], false, true),
        case(RouteKind::Stream, 2, &[Unanswered], false, true),
        case(RouteKind::Idempotent, 2, &[Unanswered], true, true),
        case(RouteKind::Idempotent, 1, &[Unanswered], false, true),
        case(
            RouteKind::ResumableStream,
            2,
            &[Refused, Unanswered],
            true,
            true,
        ),
        case(
            RouteKind::ResumableStream,
            2,
            &[Unanswered, Unanswered],
            false,
            true,
        ),
        case(
            RouteKind::Idempotent,
            9,
            &[Refused, Refused, Refused],
            false,
            false,
        ),
    ];
    for case in cases {
        let mut history = AttemptHistory::new(case.kind, case.attempts_max);
        case.failures
            .iter()
            .for_each(|failure| history.record_failure(*failure));
        let actual = (history.may_retry(), history.may_have_run());
        let expected = (case.may_retry, case.may_have_run);
        assert_eq!(actual, expected, "{} after {:?}", case.kind, case.failures);
        let Some((running, failures)) = case.failures.split_last() else {
            continue;
        };
        let mut history = AttemptHistory::new(case.kind, case.attempts_max);
        failures
            .iter()
            .for_each(|failure| history.record_failure(*failure));
        assert_eq!(
            history.may_retry_after(*running),
            case.may_retry,
            "{} after {failures:?} while {running} is expected",
            case.kind
        );
        assert_eq!(history.failed_attempts() as usize, failures.len());
    }
}

#[test]
fn asking_for_a_retry_takes_none() {
    struct Case {
        ratio: f64,
        allowance: f64,
        requests: u32,
        retries: usize,
    }
    let case = |ratio, allowance, requests, retries| Case {
        ratio,
        allowance,
        requests,
        retries,
    };
    let cases = [
        case(0.0, 0.0, 100, 0),
        case(0.2, 0.0, 4, 0),
        case(0.2, 0.0, 10, 2),
        case(0.0, 1.5, 0, 1),
        case(0.2, 4.0, 10, 6),
    ];
    for case in cases {
        let mut share = RetryShare::new(RetryBounds {
            ratio: case.ratio,
            window_ms: DurationMs(10_000),
            allowance: case.allowance,
        });
        let now = MonotonicMs(0);
        (0..case.requests).for_each(|_| share.observe_first_attempt(now));
        for _ in 0..case.retries {
            assert!((0..5).all(|_| share.has_retry(now)));
            assert!(share.try_take(now));
        }
        assert!(!share.has_retry(now));
        assert!(!share.try_take(now));
    }
}

/// Update from one daemon to its peers.
enum PeerUpdate {
    Held(PromptTag, EndpointName),
    Load(EndpointName),
    Unreachable(EndpointName),
}

/// Delay until an update reaches all peers.
const UPDATE_DELAY_MS: u64 = 150;

/// Delivers the due updates to all pools.
fn deliver_updates(
    pools: &mut [EndpointPool],
    updates: &mut BTreeMap<(u64, usize), PeerUpdate>,
    now_ms: u64,
) {
    while let Some(((at, _), _)) = updates.first_key_value()
        && at + UPDATE_DELAY_MS <= now_ms
    {
        let ((at, _), update) = updates.pop_first().unwrap();
        for pool in pools.iter_mut() {
            match &update {
                PeerUpdate::Held(prompt, name) => {
                    pool.observe_holder_from_peer(MonotonicMs(at), *prompt, name);
                }
                PeerUpdate::Load(name) => pool.observe_load_from_peer(MonotonicMs(at), name, 1),
                PeerUpdate::Unreachable(name) => {
                    pool.observe_unreachable_from_peer(MonotonicMs(at), name)
                }
            }
        }
    }
}

/// Each of 77 daemons sees a small part of the requests for 400 prompts while the engines are
/// replaced one per second; each delisted engine keeps serving for the drain time.
#[test]
fn a_prompt_is_fetched_from_a_holder_during_a_rolling_replacement() {
    let mut random = SmallRng::seed_from_u64(11);
    let mut pools: Vec<EndpointPool> = (0..77).map(|own| pool(own, 77, 20)).collect();
    let mut updates: BTreeMap<(u64, usize), PeerUpdate> = BTreeMap::new();
    let mut held: BTreeMap<u64, BTreeSet<EndpointName>> = BTreeMap::new();
    let addresses: BTreeMap<_, _> = (0..60)
        .map(|number| (listed(number).address, engine(number)))
        .collect();
    let (mut copies, mut from_holder, mut prefilled_again) = (0, 0, 0);
    for number in 0..20_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        deliver_updates(&mut pools, &mut updates, now_ms);
        let replaced = (now_ms / 1_000) as usize;
        if now_ms.is_multiple_of(1_000) {
            for pool in &mut pools {
                pool.relist(now, (replaced..20 + replaced).map(listed));
            }
        }
        let serving = replaced.saturating_sub(2);
        let daemon = random.random_range(0..pools.len());
        let key = random.random_range(0..400);
        let shared = prompt(key, LONG_PROMPT_TOKENS).unwrap();
        let placement = pools[daemon]
            .place(now, &request_for(Some(shared), random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        pools[daemon].observe_success(now, &placement.endpoint);
        updates.insert(
            (now_ms, 2 * number),
            PeerUpdate::Load(placement.endpoint.clone()),
        );
        if placement.should_announce_holder {
            let update = PeerUpdate::Held(shared.tag(), placement.endpoint.clone());
            updates.insert((now_ms, 2 * number + 1), update);
        }
        let holders = held.entry(key).or_default();
        let is_serving = |name: &EndpointName| (serving..60).any(|it| engine(it) == *name);
        let has_copy = holders.iter().any(is_serving);
        if !holders.contains(&placement.endpoint) && has_copy {
            copies += 1;
            let source = placement.fetch_from.and_then(|from| addresses.get(&from));
            let is_holder = source.is_some_and(|from| holders.contains(from) && is_serving(from));
            from_holder += usize::from(is_holder);
            prefilled_again += usize::from(!is_holder);
        }
        holders.insert(placement.endpoint);
    }
    assert!(
        copies > 100,
        "expected more than 100 copies while engines are replaced, not {copies}"
    );
    assert!(
        prefilled_again * 20 <= copies,
        "{prefilled_again} of {copies} prompts were prefilled again although an engine held them; \
         {from_holder} were copied"
    );
}

/// One of 20 engines crashes; without updates, each of 77 daemons would detect it by itself.
#[test]
fn peer_reports_limit_failures_at_a_crashed_engine() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut pools: Vec<EndpointPool> = (0..77).map(|own| pool(own, 77, 20)).collect();
    let mut updates: BTreeMap<(u64, usize), PeerUpdate> = BTreeMap::new();
    let (crashed, crashed_at_ms) = (engine(3), 2_000);
    let mut failed = 0;
    for number in 0..2_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        deliver_updates(&mut pools, &mut updates, now_ms);
        let daemon = random.random_range(0..pools.len());
        let shared = prompt(random.random_range(0..400), LONG_PROMPT_TOKENS);
        let placement = pools[daemon]
            .place(now, &request_for(shared, random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        let is_down = placement.endpoint == crashed && now_ms >= crashed_at_ms;
        let update = match is_down {
            true => {
                failed += 1;
                pools[daemon].observe_failure(now, &placement.endpoint, AttemptFailure::NotSent);
                PeerUpdate::Unreachable(placement.endpoint)
            }
            false => {
                pools[daemon].observe_success(now, &placement.endpoint);
                PeerUpdate::Load(placement.endpoint)
            }
        };
        updates.insert((now_ms, number), update);
    }
    // A twentieth of 1,000 attempts in two seconds, minus those after the first half second, plus
    // one probe per second for recovery.
    assert!((1..=22).contains(&failed), "{failed} attempts failed");
}

/// One of 20 daemons is partitioned and reports every engine as unreachable, or some of them. If all
/// were ejected, requests would go to their first choice again.
#[test]
fn reports_of_a_partitioned_daemon_do_not_eject_healthy_engines() {
    for engines_cut in [5, 2] {
        let (placed, moved) = place_beside_partitioned_daemon(engines_cut);
        assert!(
            moved * 100 <= placed,
            "{engines_cut} engines cut: {moved} of {placed} requests did not get their first choice"
        );
    }
}

/// Returns where a prompt goes while nothing has been reported.
fn first_choice(shared: Option<SharedPrefix>) -> EndpointName {
    let mut pool = pool(0, 20, 5);
    let placement = pool.place(MonotonicMs(0), &request_for(shared, 0.5));
    placement.unwrap().endpoint
}

/// Returns how many requests the other daemons place, and how many not at their first choice.
fn place_beside_partitioned_daemon(engines_cut: usize) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(9);
    let mut pools: Vec<EndpointPool> = (0..20).map(|own| pool(own, 20, 5)).collect();
    let mut updates: BTreeMap<(u64, usize), PeerUpdate> = BTreeMap::new();
    let (mut placed, mut moved) = (0, 0);
    for number in 0..5_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        deliver_updates(&mut pools, &mut updates, now_ms);
        let daemon = random.random_range(0..pools.len());
        let shared = prompt(random.random_range(0..100), LONG_PROMPT_TOKENS);
        let placement = pools[daemon]
            .place(now, &request_for(shared, random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        let is_cut = daemon == 0 && (0..engines_cut).any(|cut| engine(cut) == placement.endpoint);
        if daemon != 0 {
            placed += 1;
            moved += usize::from(placement.endpoint != first_choice(shared));
        }
        let update = match is_cut {
            true => {
                pools[0].observe_failure(now, &placement.endpoint, AttemptFailure::NotSent);
                PeerUpdate::Unreachable(placement.endpoint)
            }
            false => {
                pools[daemon].observe_success(now, &placement.endpoint);
                PeerUpdate::Load(placement.endpoint)
            }
        };
        updates.insert((now_ms, number), update);
    }
    (placed, moved)
}
