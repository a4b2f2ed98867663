//! Decisions of daemons that send straight to endpoints, played for a whole fleet without network.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MemberName, MonotonicMs, RatePerS};
use celeryknot_core::{PromptTag, TokenCount};
use celeryknot_policy::direct::cold_share::ColdBound;
use celeryknot_policy::direct::{
    EndpointPool, ListedEndpoint, PlacementReason, PlacementRequest, PoolLimits, ReportedLoad,
    RetryBounds, RetryShare, SendFailure, SendHistory, SharedParts,
};
use celeryknot_policy::routing::RouteKind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const HEAVY: TokenCount = TokenCount(8_000);
const LIGHT: TokenCount = TokenCount(600);

fn member(number: usize) -> MemberName {
    format!("edge-{number}").parse().unwrap()
}

fn engine(number: usize) -> EndpointName {
    format!("i-{number}").parse().unwrap()
}

fn listed(number: usize) -> ListedEndpoint {
    ListedEndpoint {
        name: engine(number),
        born_ms: Some(1),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        slots: 64,
        takes_new_work: true,
        cold_until: None,
    }
}

fn limits(own: usize, daemons: usize) -> PoolLimits {
    PoolLimits {
        own_name: member(own),
        members: (0..daemons).map(member).collect(),
        members_min: 1,
        load_factor: 2.0,
        cache_life_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_bound: Some(ColdBound {
            rate: RatePerS(13.0),
            max_per_s: 24.5,
        }),
    }
}

fn pool(own: usize, daemons: usize, engines: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(limits(own, daemons));
    pool.relist(MonotonicMs(0), (0..engines).map(listed));
    pool
}

fn prompt(key: u64, tokens: TokenCount) -> Option<SharedParts> {
    Some(SharedParts {
        key,
        first_key: key % 4 + 1_000_000,
        tokens,
    })
}

fn ask(shared: Option<SharedParts>, draw: f64) -> PlacementRequest<'static> {
    PlacementRequest {
        shared,
        draw,
        allowed_zones: None,
        tried: &[],
    }
}

/// A fleet that sends a stream of requests, hears totals with a delay, and what engines held.
struct Play {
    daemons: usize,
    engines: usize,
    requests_per_s: usize,
    seconds: u64,
    hold_ms: u64,
    news_every_ms: u64,
    /// Draws the prompt of a request.
    draw_prompt: fn(&mut SmallRng) -> Option<SharedParts>,
}

struct Seen {
    requests: usize,
    /// Requests that found an engine above twice the mean and three.
    above: usize,
    /// Engines that each prompt reached.
    spread: BTreeMap<u64, BTreeSet<EndpointName>>,
}

impl Play {
    fn run(&self, seed: u64) -> Seen {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pools: Vec<EndpointPool> = (0..self.daemons)
            .map(|own| pool(own, self.daemons, self.engines))
            .collect();
        let mut held: BTreeMap<EndpointName, u32> = BTreeMap::new();
        let mut ends: BTreeMap<(u64, usize), (usize, EndpointName)> = BTreeMap::new();
        let mut seen = Seen {
            requests: 0,
            above: 0,
            spread: BTreeMap::new(),
        };
        let mut number = 0;
        for now_ms in 0..self.seconds * 1_000 {
            let now = MonotonicMs(now_ms);
            while let Some(((at, _), _)) = ends.first_key_value()
                && *at <= now_ms
            {
                let (_, (daemon, name)) = ends.pop_first().unwrap();
                pools[daemon].finish(&name);
                *held.get_mut(&name).unwrap() -= 1;
            }
            if now_ms % self.news_every_ms == 0 {
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
                let request = ask(shared, random.random());
                let placement = pools[daemon].place(now, &request).unwrap();
                let mean = held.values().sum::<u32>() as f64 / self.engines as f64;
                let there = held.entry(placement.endpoint.clone()).or_default();
                seen.above += usize::from(f64::from(*there) > 2.0 * mean + 3.0);
                *there += 1;
                seen.requests += 1;
                if let Some(shared) = shared {
                    let engines = seen.spread.entry(shared.key).or_default();
                    engines.insert(placement.endpoint.clone());
                }
                number += 1;
                let end_ms = now_ms + random.random_range(self.hold_ms / 2..self.hold_ms * 2);
                ends.insert((end_ms, number), (daemon, placement.endpoint));
            }
        }
        seen
    }
}

#[test]
fn daemons_that_share_nothing_place_a_prompt_alike() {
    let mut pools: Vec<EndpointPool> = (0..5).map(|own| pool(own, 5, 9)).collect();
    for key in 0..50 {
        let chosen: BTreeSet<EndpointName> = pools
            .iter_mut()
            .map(|pool| {
                let placement = pool
                    .place(MonotonicMs(0), &ask(prompt(key, HEAVY), 0.5))
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
fn an_engine_that_comes_or_goes_moves_only_its_share() {
    let place = |pool: &mut EndpointPool, key| {
        let placement = pool
            .place(MonotonicMs(0), &ask(prompt(key, HEAVY), 0.5))
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
        "a tenth, not {}",
        moved.len()
    );
    assert!(
        moved.iter().all(|to| *to == engine(9)),
        "only to the new one"
    );
}

#[test]
fn a_prompt_is_copied_from_the_engine_that_held_it() {
    let now = MonotonicMs(0);
    let mut pool = pool(0, 1, 3);
    let first = pool.place(now, &ask(prompt(7, HEAVY), 0.5)).unwrap();
    let again = pool.place(now, &ask(prompt(7, HEAVY), 0.5)).unwrap();
    assert_eq!(again.endpoint, first.endpoint);
    assert_eq!(again.fetch_from, None, "it holds the prompt already");
    // The engine drains: it gets nothing new, and may still be copied from.
    let draining = (0..3).map(|number| {
        let mut endpoint = listed(number);
        endpoint.takes_new_work = endpoint.name != first.endpoint;
        endpoint
    });
    pool.relist(now, draining);
    let next = pool.place(now, &ask(prompt(7, HEAVY), 0.5)).unwrap();
    assert_ne!(next.endpoint, first.endpoint);
    assert_eq!(next.fetch_from, Some(first.address));
}

#[test]
fn a_prompt_that_a_new_engine_ranks_first_for_is_copied_from_the_one_before() {
    let place =
        |pool: &mut EndpointPool, now, key| pool.place(now, &ask(prompt(key, HEAVY), 0.5)).unwrap();
    // Two daemons: one has sent the prompts before, the other has not.
    let (mut one, mut other) = (pool(0, 2, 6), pool(1, 2, 6));
    let held: Vec<_> = (0..200)
        .map(|key| place(&mut one, MonotonicMs(1_000), key).address)
        .collect();
    let later = MonotonicMs(20_000);
    other.relist(later, (0..9).map(listed));
    let mut moved = 0;
    for (key, address) in held.iter().enumerate() {
        let placement = place(&mut other, later, key as u64);
        if placement.address != *address {
            moved += 1;
            assert_eq!(placement.fetch_from, Some(*address), "prompt {key}");
        }
    }
    assert!(moved > 30, "three engines of nine are new");
}

struct BoundCase {
    name: &'static str,
    play: Play,
    /// Most requests in a hundred that may find an engine above twice the mean and three.
    above_percent_max: usize,
}

/// 203 prompts of the files, 348 of the chats, as the platform's grown deployment mixes them.
fn mixed(random: &mut SmallRng) -> Option<SharedParts> {
    match random.random_range(0..389) {
        0..134 => prompt(random.random_range(0..203), HEAVY),
        134..287 => prompt(1_000 + random.random_range(0..522), TokenCount(2_000)),
        _ => prompt(2_000 + random.random_range(0..348), LIGHT),
    }
}

/// One prompt in four is the same.
fn hot(random: &mut SmallRng) -> Option<SharedParts> {
    match random.random_range(0..4) {
        0 => prompt(0, HEAVY),
        _ => mixed(random),
    }
}

fn plain(_: &mut SmallRng) -> Option<SharedParts> {
    None
}

#[test]
fn engines_stay_within_twice_the_mean() {
    let play = |requests_per_s, engines, hold_ms, draw_prompt| Play {
        daemons: 77,
        engines,
        requests_per_s,
        seconds: 12,
        hold_ms,
        news_every_ms: 150,
        draw_prompt,
    };
    let cases = [
        BoundCase {
            name: "many prompts",
            play: play(389, 40, 500, mixed),
            above_percent_max: 3,
        },
        BoundCase {
            name: "a hot prompt",
            play: play(389, 40, 500, hot),
            above_percent_max: 3,
        },
        BoundCase {
            name: "a plain service",
            play: play(136, 3, 60, plain),
            above_percent_max: 3,
        },
    ];
    for case in cases {
        let seen = case.play.run(11);
        let above_max = seen.requests * case.above_percent_max / 100;
        assert!(
            seen.above <= above_max,
            "{}: {} of {} above",
            case.name,
            seen.above,
            seen.requests
        );
    }
}

#[test]
fn a_heavy_prompt_stays_on_few_engines() {
    let play = Play {
        daemons: 77,
        engines: 40,
        requests_per_s: 389,
        seconds: 12,
        hold_ms: 500,
        news_every_ms: 150,
        draw_prompt: mixed,
    };
    let seen = play.run(5);
    let mean_of = |keys: std::ops::Range<u64>| {
        let spread: Vec<usize> = seen.spread.range(keys).map(|(_, it)| it.len()).collect();
        spread.iter().sum::<usize>() as f64 / spread.len() as f64
    };
    assert!(mean_of(0..1_000) < 2.0, "heavy: {}", mean_of(0..1_000));
    assert!(
        mean_of(2_000..3_000) < 4.5,
        "light: {}",
        mean_of(2_000..3_000)
    );
}

#[test]
fn a_cold_engine_gets_no_more_than_its_bound_from_all_daemons() {
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
                match pool.place(MonotonicMs(now_ms), &ask(prompt(1, LIGHT), 0.5)) {
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
        assert!(most <= Some(24), "{daemons} daemons: {most:?} in a second");
        assert!(sent_at.len() >= 20, "{daemons} daemons: it is warmed up");
    }
}

#[test]
fn the_fleet_s_further_sends_stay_within_the_budget() {
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
    let mut further = Vec::new();
    let mut fresh = Vec::new();
    // Every send fails, and whatever the share allows is sent again.
    for now_ms in 0..30_000 {
        let now = MonotonicMs(now_ms);
        if random.random_range(0..2) == 0 {
            let share = &mut shares[random.random_range(0..DAEMONS)];
            share.observe_fresh(now);
            fresh.push(now_ms);
            while share.try_take(now) {
                further.push(now_ms);
            }
        }
    }
    let within = |times: &[u64], start: u64| {
        let window = start..start + window.0;
        times.iter().filter(|at| window.contains(at)).count() as f64
    };
    for start in (0_u64..20_000).step_by(250) {
        let before = within(&fresh, start.saturating_sub(10_000));
        let requests = within(&fresh, start).max(before);
        let allowed = 0.2 * requests + 194.0;
        assert!(within(&further, start) <= allowed, "from {start} ms");
    }
}

#[test]
fn an_endpoint_that_fails_is_passed_over_for_a_while() {
    struct Case {
        failure: SendFailure,
        count: usize,
        is_passed_over: bool,
    }
    let cases = [
        Case {
            failure: SendFailure::NotSent,
            count: 1,
            is_passed_over: true,
        },
        Case {
            failure: SendFailure::Refused,
            count: 9,
            is_passed_over: false,
        },
        Case {
            failure: SendFailure::Unanswered,
            count: 1,
            is_passed_over: false,
        },
        Case {
            failure: SendFailure::Unanswered,
            count: 2,
            is_passed_over: true,
        },
        Case {
            failure: SendFailure::EndpointError,
            count: 2,
            is_passed_over: true,
        },
    ];
    for case in cases {
        let mut pool = pool(0, 1, 2);
        let now = MonotonicMs(1_000);
        let first = pool
            .place(now, &ask(prompt(7, HEAVY), 0.5))
            .unwrap()
            .endpoint;
        (0..case.count).for_each(|_| pool.observe_failure(now, &first, case.failure));
        let next = pool
            .place(now, &ask(prompt(7, HEAVY), 0.5))
            .unwrap()
            .endpoint;
        assert_eq!(next != first, case.is_passed_over, "{}", case.failure);
        let later = MonotonicMs(20_000);
        let back = pool
            .place(later, &ask(prompt(7, HEAVY), 0.5))
            .unwrap()
            .endpoint;
        assert_eq!(back, first, "{}: it gets another chance", case.failure);
    }
}

#[test]
fn the_last_endpoint_is_used_even_if_it_failed() {
    let mut pool = pool(0, 1, 1);
    let now = MonotonicMs(1_000);
    pool.observe_failure(now, &engine(0), SendFailure::NotSent);
    assert!(pool.place(now, &ask(None, 0.5)).is_ok());
}

#[test]
fn a_request_stays_in_the_zones_that_it_may_run_in() {
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
                ..ask(prompt(key, HEAVY), 0.5)
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
    };
    let now = MonotonicMs(1_000);
    for number in 0..3 {
        pool.observe_load(now, &engine(number), load(if number == 0 { 60 } else { 4 }));
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut at_slow = 0;
    for _ in 0..1_000 {
        let placement = pool.place(now, &ask(None, random.random())).unwrap();
        at_slow += usize::from(placement.endpoint == engine(0));
        pool.finish(&placement.endpoint);
    }
    assert!(at_slow < 120, "{at_slow} of 1,000");
}

#[test]
fn what_may_have_run_is_sent_again_only_where_it_may_run_twice() {
    struct Case {
        kind: RouteKind,
        attempts_max: u32,
        failures: &'static [SendFailure],
        may_send_again: bool,
        may_have_run: bool,
    }
    use SendFailure::{Misdirected, NotSent, Refused, Unanswered};
    let case = |kind, attempts_max, failures, may_send_again, may_have_run| Case {
        kind,
        attempts_max,
        failures,
        may_send_again,
        may_have_run,
    };
    let cases = [
        case(RouteKind::NonIdempotent, 2, &[NotSent][..], true, false),
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
        let mut history = SendHistory::new(case.kind, case.attempts_max);
        case.failures
            .iter()
            .for_each(|failure| history.note(*failure));
        let told = (history.may_send_again(), history.may_have_run());
        let expected = (case.may_send_again, case.may_have_run);
        assert_eq!(told, expected, "{} after {:?}", case.kind, case.failures);
    }
}

/// What one daemon tells the others, and when they hear it.
enum Told {
    Held(PromptTag, EndpointName),
    Load(EndpointName),
    Unreachable(EndpointName),
}

/// Time from what a daemon sees to what all others know.
const NEWS_MS: u64 = 150;

/// Passes on to all pools what is due.
fn pass_on(pools: &mut [EndpointPool], told: &mut BTreeMap<(u64, usize), Told>, now_ms: u64) {
    while let Some(((at, _), _)) = told.first_key_value()
        && at + NEWS_MS <= now_ms
    {
        let ((at, _), told) = told.pop_first().unwrap();
        for pool in pools.iter_mut() {
            match &told {
                Told::Held(prompt, name) => {
                    pool.observe_told_holder(MonotonicMs(at), *prompt, name);
                }
                Told::Load(name) => pool.observe_told_load(MonotonicMs(at), name, 1),
                Told::Unreachable(name) => pool.observe_told_unreachable(MonotonicMs(at), name),
            }
        }
    }
}

/// The load: 77 daemons see a sliver each of 400 prompts, and all engines are replaced one after
/// the other, one a second; each departing one serves on for the drain time.
#[test]
fn a_prompt_is_copied_from_an_engine_that_holds_it() {
    let mut random = SmallRng::seed_from_u64(11);
    let mut pools: Vec<EndpointPool> = (0..77).map(|own| pool(own, 77, 20)).collect();
    let mut told: BTreeMap<(u64, usize), Told> = BTreeMap::new();
    let mut held: BTreeMap<u64, BTreeSet<EndpointName>> = BTreeMap::new();
    let addresses: BTreeMap<_, _> = (0..60)
        .map(|number| (listed(number).address, engine(number)))
        .collect();
    let (mut copies, mut from_holder, mut read_again) = (0, 0, 0);
    for number in 0..20_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        pass_on(&mut pools, &mut told, now_ms);
        let replaced = (now_ms / 1_000) as usize;
        if now_ms.is_multiple_of(1_000) {
            for pool in &mut pools {
                pool.relist(now, (replaced..20 + replaced).map(listed));
            }
        }
        let serving = replaced.saturating_sub(2);
        let daemon = random.random_range(0..pools.len());
        let key = random.random_range(0..400);
        let shared = prompt(key, HEAVY).unwrap();
        let placement = pools[daemon]
            .place(now, &ask(Some(shared), random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        pools[daemon].observe_success(now, &placement.endpoint);
        told.insert((now_ms, 2 * number), Told::Load(placement.endpoint.clone()));
        if placement.is_news_to_others {
            let news = Told::Held(shared.tag(), placement.endpoint.clone());
            told.insert((now_ms, 2 * number + 1), news);
        }
        let holders = held.entry(key).or_default();
        let is_there = |name: &EndpointName| (serving..60).any(|it| engine(it) == *name);
        let has_copy = holders.iter().any(is_there);
        if !holders.contains(&placement.endpoint) && has_copy {
            copies += 1;
            let source = placement.fetch_from.and_then(|from| addresses.get(&from));
            let is_holder = source.is_some_and(|from| holders.contains(from) && is_there(from));
            from_holder += usize::from(is_holder);
            read_again += usize::from(!is_holder);
        }
        holders.insert(placement.endpoint);
    }
    assert!(copies > 100, "engines came and went, {copies}");
    assert!(
        read_again * 20 <= copies,
        "{read_again} of {copies} prompts were read again though an engine held them; \
         {from_holder} were copied"
    );
}

/// The load: an engine of 20 crashes under 77 daemons; each of them would find out by itself.
#[test]
fn daemons_learn_from_each_other_that_an_engine_is_out_of_reach() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut pools: Vec<EndpointPool> = (0..77).map(|own| pool(own, 77, 20)).collect();
    let mut told: BTreeMap<(u64, usize), Told> = BTreeMap::new();
    let (crashed, crashed_at_ms) = (engine(3), 2_000);
    let mut failed = 0;
    for number in 0..2_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        pass_on(&mut pools, &mut told, now_ms);
        let daemon = random.random_range(0..pools.len());
        let shared = prompt(random.random_range(0..400), HEAVY);
        let placement = pools[daemon]
            .place(now, &ask(shared, random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        let is_down = placement.endpoint == crashed && now_ms >= crashed_at_ms;
        let news = match is_down {
            true => {
                failed += 1;
                pools[daemon].observe_failure(now, &placement.endpoint, SendFailure::NotSent);
                Told::Unreachable(placement.endpoint)
            }
            false => {
                pools[daemon].observe_success(now, &placement.endpoint);
                Told::Load(placement.endpoint)
            }
        };
        told.insert((now_ms, number), news);
    }
    // A twentieth of 1,000 sends in two seconds, less what comes after half a second; and one
    // look a second whether the engine is back.
    assert!((1..=22).contains(&failed), "{failed} sends failed");
}

/// The load: one daemon of 20 is cut off and finds every engine out of reach.
#[test]
fn a_daemon_that_is_cut_off_turns_nobody_away_from_engines() {
    let mut random = SmallRng::seed_from_u64(9);
    let mut pools: Vec<EndpointPool> = (0..20).map(|own| pool(own, 20, 5)).collect();
    let mut told: BTreeMap<(u64, usize), Told> = BTreeMap::new();
    let (mut placed, mut moved) = (0, 0);
    for number in 0..5_000_usize {
        let now_ms = number as u64 * 2;
        let now = MonotonicMs(now_ms);
        pass_on(&mut pools, &mut told, now_ms);
        let daemon = random.random_range(0..pools.len());
        let shared = prompt(random.random_range(0..100), HEAVY);
        let placement = pools[daemon]
            .place(now, &ask(shared, random.random()))
            .unwrap();
        pools[daemon].finish(&placement.endpoint);
        let news = match daemon {
            0 => {
                pools[0].observe_failure(now, &placement.endpoint, SendFailure::NotSent);
                Told::Unreachable(placement.endpoint)
            }
            _ => {
                placed += 1;
                moved += usize::from(placement.reason != PlacementReason::First);
                pools[daemon].observe_success(now, &placement.endpoint);
                Told::Load(placement.endpoint)
            }
        };
        told.insert((now_ms, number), news);
    }
    assert!(moved * 100 <= placed, "{moved} of {placed} were moved");
}
