//! Simulates fleets whose endpoints state rate limits, without a network.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::BTreeMap;

use celeryknot_core::TokenCount;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MemberName, MonotonicMs, RatePerS};
use celeryknot_policy::direct::{
    EndpointPool, ListedEndpoint, PlacementReason, PlacementRequest, PoolLimits, SharedPrefix,
};
use celeryknot_policy::rate_limit::{RateChange, RateStatement, StatedRateLimit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The users' rule: within any window from `CONTACT_MS` after the first statement, at most the limit
/// times `RATE_FACTOR`, and `ALLOWANCE` more, from daemons that had a statement `TOLD_MS` before.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const RATE_FACTOR: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;
const TOLD_MS: u64 = 500;

/// When the endpoints begin to state their limits, and when the simulation ends.
const STATED_AT_MS: u64 = 2_000;
const END_MS: u64 = 16_000;

/// Times that a response and a peer's update take, at least and at most.
const RESPONSE_MS: std::ops::Range<u64> = 20..600;
const UPDATE_MS: std::ops::Range<u64> = 50..800;

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

fn prompt(key: u64, tokens: u32) -> SharedPrefix {
    SharedPrefix {
        key,
        first_key: key % 4,
        tokens: TokenCount(tokens),
    }
}

/// What happens to the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// Each second, one daemon loses its memory and learns from its peers.
    Restarts,
    /// Daemons of the two halves exchange no updates.
    Split,
    /// Each second, the endpoints state another limit, up to twice the lowest one.
    ChangingLimits,
}

struct Case {
    daemons: usize,
    engines: usize,
    /// The limits that the first engines state; the others state none.
    rates_per_s: &'static [f64],
    requests_per_s: u64,
    disturbance: Disturbance,
    /// Minimum number of daemons that share a limit; 1 once all are known.
    members_min: usize,
}

/// Something that takes effect at a later time.
enum Event {
    Response {
        daemon: usize,
        engine: usize,
        sent_at: u64,
    },
    Update {
        daemon: usize,
        engine: usize,
        rate: Option<RatePerS>,
        sent_at: u64,
    },
}

struct Arrival {
    at: u64,
    is_counted: bool,
}

struct Simulation<'a> {
    case: &'a Case,
    random: StdRng,
    now: u64,
    pools: Vec<EndpointPool>,
    /// When a daemon first got a statement of an engine.
    told_at: BTreeMap<(usize, usize), u64>,
    events: BTreeMap<(u64, usize), Event>,
    arrivals: Vec<Vec<Arrival>>,
    refused: Vec<ErrorKind>,
    placed: usize,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        Self {
            pools: (0..case.daemons).map(|own| new_pool(case, own)).collect(),
            arrivals: (0..case.engines).map(|_| Vec::new()).collect(),
            case,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            told_at: BTreeMap::new(),
            events: BTreeMap::new(),
            refused: Vec::new(),
            placed: 0,
        }
    }

    /// Returns the limit that an engine states now.
    fn stated(&self, engine: usize) -> Option<RatePerS> {
        let lowest = self.case.rates_per_s.get(engine).copied()?;
        let factor = match self.case.disturbance {
            Disturbance::ChangingLimits => 1.0 + (self.now / 1_000 % 2) as f64,
            Disturbance::None | Disturbance::Restarts | Disturbance::Split => 1.0,
        };
        (self.now >= STATED_AT_MS).then_some(RatePerS(lowest * factor))
    }

    fn allowed_in_window(&self, engine: usize) -> usize {
        let highest = match self.case.disturbance {
            Disturbance::ChangingLimits => 2.0,
            Disturbance::None | Disturbance::Restarts | Disturbance::Split => 1.0,
        };
        let rate = self.case.rates_per_s[engine] * highest;
        (rate * WINDOW_MS as f64 / 1_000.0 * RATE_FACTOR + ALLOWANCE).floor() as usize
    }

    fn run(mut self) -> Self {
        while self.now < END_MS {
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.apply(event);
            }
            if self.case.disturbance == Disturbance::Restarts && self.now.is_multiple_of(1_000) {
                self.restart((self.now / 1_000) as usize % self.case.daemons);
            }
            if self.random.random_range(0..1_000) < self.case.requests_per_s {
                self.send_request();
            }
            self.now += 1;
        }
        self
    }

    fn schedule(&mut self, after: std::ops::Range<u64>, event: Event) {
        let at = self.now + self.random.random_range(after);
        self.events
            .insert((at, self.events.len() + self.placed * 1_000), event);
    }

    /// Replaces a daemon by one that knows nothing; its peers tell it what they know.
    fn restart(&mut self, daemon: usize) {
        self.pools[daemon] = new_pool(self.case, daemon);
        self.told_at.retain(|(told, _), _| *told != daemon);
        for engine in 0..self.case.rates_per_s.len() {
            let (rate, sent_at) = (self.stated(engine), self.now.saturating_sub(400));
            let update = Event::Update {
                daemon,
                engine,
                rate,
                sent_at,
            };
            self.schedule(UPDATE_MS, update);
        }
    }

    fn send_request(&mut self) {
        let daemon = self.random.random_range(0..self.case.daemons);
        let request = PlacementRequest {
            shared: Some(prompt(self.random.random_range(0..40), 8_000)),
            draw: self.random.random(),
            allowed_zones: None,
            tried: &[],
            suspect: None,
            version: None,
            wait_max_ms: DurationMs(300),
        };
        let placement = match self.pools[daemon].place(MonotonicMs(self.now), &request) {
            Ok(placement) => placement,
            Err(refusal) => return self.refused.push(refusal.kind),
        };
        self.placed += 1;
        self.pools[daemon].finish(&placement.endpoint);
        let engine = (0..self.case.engines)
            .find(|number| engine(*number) == placement.endpoint)
            .unwrap();
        let told_at = self.told_at.get(&(daemon, engine));
        self.arrivals[engine].push(Arrival {
            at: self.now + placement.wait_ms.0,
            is_counted: told_at.is_some_and(|at| at + TOLD_MS <= self.now),
        });
        let sent_at = self.now + placement.wait_ms.0;
        self.schedule(
            placement.wait_ms.0 + RESPONSE_MS.start..placement.wait_ms.0 + RESPONSE_MS.end,
            Event::Response {
                daemon,
                engine,
                sent_at,
            },
        );
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Response {
                daemon,
                engine,
                sent_at,
            } => {
                let rate = self.stated(engine);
                if rate.is_some() {
                    self.told_at.entry((daemon, engine)).or_insert(self.now);
                }
                if self.observe(daemon, engine, rate, sent_at) == RateChange::Unchanged {
                    return;
                }
                for peer in 0..self.case.daemons {
                    let is_cut =
                        self.case.disturbance == Disturbance::Split && peer % 2 != daemon % 2;
                    if peer != daemon && !is_cut {
                        let update = Event::Update {
                            daemon: peer,
                            engine,
                            rate,
                            sent_at,
                        };
                        self.schedule(UPDATE_MS, update);
                    }
                }
            }
            Event::Update {
                daemon,
                engine,
                rate,
                sent_at,
            } => {
                self.observe(daemon, engine, rate, sent_at);
            }
        }
    }

    fn observe(
        &mut self,
        daemon: usize,
        number: usize,
        rate: Option<RatePerS>,
        sent_at: u64,
    ) -> RateChange {
        let statement = RateStatement {
            rate,
            sent_at: MonotonicMs(sent_at),
            arrived_at: MonotonicMs(self.now),
        };
        self.pools[daemon].observe_rate_statement(&engine(number), statement)
    }

    /// Returns the largest number of counted requests at an engine within any window.
    fn most_in_window(&self, engine: usize) -> usize {
        let mut times: Vec<u64> = self.arrivals[engine]
            .iter()
            .filter(|it| it.is_counted && it.at >= STATED_AT_MS + CONTACT_MS)
            .map(|it| it.at)
            .collect();
        times.sort_unstable();
        let within = |(index, start): (usize, &u64)| {
            times[index..].partition_point(|at| *at < start + WINDOW_MS)
        };
        times.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

fn new_pool(case: &Case, own: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: member(own),
        members: (0..case.daemons).map(member).collect(),
        members_min: case.members_min,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: None,
    });
    pool.relist(MonotonicMs(0), (0..case.engines).map(listed));
    pool
}

#[test]
fn fleet_of_any_size_keeps_the_limit_in_every_window() {
    let limits: [&[f64]; 4] = [&[0.0, 0.1, 0.5], &[2.3, 3.5], &[2.0; 9], &[10.0, 40.0]];
    let disturbances = [
        Disturbance::None,
        Disturbance::Restarts,
        Disturbance::Split,
        Disturbance::ChangingLimits,
    ];
    for daemons in [1, 9, 77] {
        for rates_per_s in limits {
            for disturbance in disturbances {
                for (seed, members_min) in [(0, 12), (1, 12), (0, 1), (1, 1)] {
                    check_case(
                        &Case {
                            daemons,
                            engines: 9,
                            rates_per_s,
                            requests_per_s: 150,
                            disturbance,
                            members_min,
                        },
                        seed,
                    );
                }
            }
        }
    }
}

fn check_case(case: &Case, seed: u64) {
    let simulation = Simulation::new(case, seed).run();
    let Case {
        daemons,
        rates_per_s,
        disturbance,
        ..
    } = case;
    for engine in 0..rates_per_s.len() {
        let most = simulation.most_in_window(engine);
        let allowed = simulation.allowed_in_window(engine);
        assert!(
            most <= allowed,
            "{daemons} daemons, {disturbance:?}, seed {seed}, {}/s: {most} in a window, {allowed} \
             allowed",
            rates_per_s[engine]
        );
    }
    let is_refused_in_vain = rates_per_s.len() < case.engines && !simulation.refused.is_empty();
    assert!(
        !is_refused_in_vain,
        "{daemons} daemons, {disturbance:?}, seed {seed}: refused"
    );
    let are_true = simulation
        .refused
        .iter()
        .all(|kind| *kind == ErrorKind::RateLimited);
    assert!(are_true, "{:?}", simulation.refused);
}

#[test]
fn requests_are_served_up_to_the_limits_when_all_endpoints_state_one() {
    struct SpentCase {
        daemons: usize,
        members_min: usize,
        /// Least share of the limits that is spent.
        share_min: f64,
    }
    let cases = [
        // One daemon has a twelfth of each limit while others may not be known to it yet.
        (1, 12, 0.07),
        (1, 1, 0.8),
        (3, 1, 0.8),
        (9, 12, 0.6),
        (9, 1, 0.6),
    ];
    let cases = cases.map(|(daemons, members_min, share_min)| SpentCase {
        daemons,
        members_min,
        share_min,
    });
    for SpentCase {
        daemons,
        members_min,
        share_min,
    } in cases
    {
        let case = Case {
            daemons,
            engines: 9,
            rates_per_s: &[2.0; 9],
            requests_per_s: 60,
            disturbance: Disturbance::None,
            members_min,
        };
        let simulation = Simulation::new(&case, 5).run();
        let last_s = END_MS - 8_000;
        let in_last = simulation
            .arrivals
            .iter()
            .flatten()
            .filter(|it| it.at >= last_s);
        let per_s = in_last.count() as f64 / 8.0;
        let share = per_s / 18.0;
        assert!(
            share >= share_min,
            "{daemons} daemons, at least {members_min}: {share} of the limits"
        );
    }
}

fn limited_pool(rates_per_s: &[f64]) -> EndpointPool {
    let case = Case {
        daemons: 1,
        engines: rates_per_s.len(),
        rates_per_s: &[],
        requests_per_s: 0,
        disturbance: Disturbance::None,
        members_min: 12,
    };
    let mut pool = new_pool(&case, 0);
    for (number, rate) in rates_per_s.iter().enumerate() {
        let statement = RateStatement {
            rate: Some(RatePerS(*rate)),
            sent_at: MonotonicMs(1),
            arrived_at: MonotonicMs(2),
        };
        pool.observe_rate_statement(&engine(number), statement);
    }
    pool
}

fn request(shared: Option<SharedPrefix>, wait_max_ms: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        shared,
        draw: 0.5,
        allowed_zones: None,
        tried: &[],
        suspect: None,
        version: None,
        wait_max_ms: DurationMs(wait_max_ms),
    }
}

#[test]
fn request_waits_for_its_turn_only_if_that_comes_in_time() {
    // One daemon of twelve: a token each 120 ms.
    let mut pool = limited_pool(&[100.0]);
    let now = MonotonicMs(2);
    let waits: Vec<_> = (0..4)
        .map(|_| {
            pool.place(now, &request(None, 400))
                .map(|it| (it.reason, it.wait_ms))
        })
        .collect();
    let queued = |wait_ms| Ok((PlacementReason::Queued, DurationMs(wait_ms)));
    assert_eq!(waits[..3], [queued(120), queued(240), queued(360)]);
    let refusals: Vec<_> = (0..100)
        .map(|_| pool.place(now, &request(None, 400)).unwrap_err())
        .collect();
    assert_eq!(refusals[0].kind, ErrorKind::RateLimited);
    let delays: Vec<_> = refusals.iter().filter_map(|it| it.retry_after_ms).collect();
    assert!(delays.is_sorted() && delays[0] < delays[99], "{delays:?}");
    assert!(delays[99] <= DurationMs(10_000), "{delays:?}");
}

#[test]
fn what_an_endpoint_accepts_goes_to_the_prompts_that_rank_it_first() {
    let mut pool = limited_pool(&[1_000.0]);
    pool.relist(MonotonicMs(3), [listed(0), listed(1)]);
    let now = MonotonicMs(1_000);
    for shared in [None, Some(prompt(7, 600))] {
        let placement = pool.place(now, &request(shared, 0)).unwrap();
        assert_eq!(placement.endpoint, engine(1), "{shared:?}");
    }
    let has_cached = |key: &u64| {
        let mut unlimited = new_pool_of_two();
        let placement = unlimited.place(now, &request(Some(prompt(*key, 8_000)), 0));
        placement.unwrap().endpoint == engine(0)
    };
    let key = (0..100).find(has_cached).unwrap();
    let placement = pool
        .place(now, &request(Some(prompt(key, 8_000)), 0))
        .unwrap();
    assert_eq!(placement.endpoint, engine(0));
    let placement = pool
        .place(now, &request(Some(prompt(key, 8_000)), 0))
        .unwrap();
    assert_eq!(
        (placement.endpoint, placement.moved_from),
        (engine(1), Some(engine(0)))
    );
}

fn new_pool_of_two() -> EndpointPool {
    let case = Case {
        daemons: 1,
        engines: 2,
        rates_per_s: &[],
        requests_per_s: 0,
        disturbance: Disturbance::None,
        members_min: 12,
    };
    new_pool(&case, 0)
}

struct OrderCase {
    name: &'static str,
    /// The rate (`None` for none), when the request was sent and when the answer arrived.
    statements: &'static [(Option<f64>, u64, u64)],
    checked_at_ms: u64,
    rate_per_s: Option<f64>,
}

const ORDER_CASES: [OrderCase; 9] = [
    OrderCase {
        name: "first statement, to a request from before the endpoint was in need",
        statements: &[(None, 0, 100), (Some(2.0), 50, 150)],
        checked_at_ms: 150,
        rate_per_s: Some(2.0),
    },
    OrderCase {
        name: "lifted by a later request",
        statements: &[(Some(2.0), 0, 100), (None, 101, 200)],
        checked_at_ms: 200,
        rate_per_s: None,
    },
    OrderCase {
        name: "not lifted by an answer to an earlier request",
        statements: &[(Some(2.0), 0, 100), (None, 90, 200)],
        checked_at_ms: 200,
        rate_per_s: Some(2.0),
    },
    OrderCase {
        name: "not lowered by an answer to an earlier request",
        statements: &[(Some(2.0), 0, 100), (Some(1.0), 50, 200)],
        checked_at_ms: 200,
        rate_per_s: Some(2.0),
    },
    OrderCase {
        name: "not stated again by an answer from before the end",
        statements: &[(Some(2.0), 0, 100), (None, 101, 200), (Some(2.0), 150, 300)],
        checked_at_ms: 300,
        rate_per_s: None,
    },
    OrderCase {
        name: "another figure",
        statements: &[(Some(2.0), 0, 100), (Some(1.0), 101, 200)],
        checked_at_ms: 200,
        rate_per_s: Some(1.0),
    },
    OrderCase {
        name: "zero",
        statements: &[(Some(0.0), 0, 100)],
        checked_at_ms: 200,
        rate_per_s: Some(0.0),
    },
    OrderCase {
        name: "never repeated",
        statements: &[(Some(2.0), 0, 100)],
        checked_at_ms: 30_000,
        rate_per_s: None,
    },
    OrderCase {
        name: "repeated",
        statements: &[(Some(2.0), 0, 100), (Some(2.0), 20_000, 20_100)],
        checked_at_ms: 30_000,
        rate_per_s: Some(2.0),
    },
];

#[test]
fn late_answer_changes_no_newer_statement() {
    for case in &ORDER_CASES {
        let mut stated = StatedRateLimit::default();
        for (rate, sent_at, arrived_at) in case.statements {
            stated.observe(RateStatement {
                rate: rate.map(RatePerS),
                sent_at: MonotonicMs(*sent_at),
                arrived_at: MonotonicMs(*arrived_at),
            });
        }
        let rate = stated.rate(MonotonicMs(case.checked_at_ms));
        assert_eq!(rate, case.rate_per_s.map(RatePerS), "{}", case.name);
    }
}

#[test]
fn ended_limit_is_raised_step_by_step() {
    struct EndCase {
        name: &'static str,
        lifted_at_ms: Option<u64>,
        ended_at_ms: u64,
    }
    let cases = [
        EndCase {
            name: "lifted",
            lifted_at_ms: Some(1_000),
            ended_at_ms: 1_000,
        },
        EndCase {
            name: "never repeated",
            lifted_at_ms: None,
            ended_at_ms: 30_000,
        },
    ];
    for case in &cases {
        let mut stated = StatedRateLimit::default();
        let statement = |rate, at| RateStatement {
            rate,
            sent_at: MonotonicMs(at),
            arrived_at: MonotonicMs(at),
        };
        stated.observe(statement(Some(RatePerS(2.0)), 0));
        if let Some(at) = case.lifted_at_ms {
            stated.observe(statement(None, at));
        }
        let rate_after = |ms| {
            let limit = stated.limit(MonotonicMs(case.ended_at_ms + ms));
            limit.map(|limit| limit.rate.0)
        };
        assert_eq!(rate_after(0), Some(2.0), "{}", case.name);
        assert_eq!(rate_after(2_000), Some(8.0), "{}", case.name);
        assert_eq!(rate_after(4_000), None, "{}", case.name);
    }
}

#[test]
fn restarted_endpoint_under_the_same_name_has_no_limit_of_before() {
    let mut pool = limited_pool(&[2.0]);
    let restarted = || ListedEndpoint {
        started_at_ms: Some(2),
        ..listed(0)
    };
    pool.relist(MonotonicMs(5_000), [restarted()]);
    assert_eq!(pool.rate_limit_count(MonotonicMs(5_000)), 0);
    let late = RateStatement {
        rate: Some(RatePerS(2.0)),
        sent_at: MonotonicMs(4_900),
        arrived_at: MonotonicMs(5_100),
    };
    assert_eq!(
        pool.observe_rate_statement(&engine(0), late),
        RateChange::Unchanged
    );
}

#[test]
fn what_limited_endpoints_don_t_accept_overloads_no_other_one() {
    struct FullCase {
        name: &'static str,
        /// Whether the other endpoint states a limit, which leaves no token now.
        is_other_limited: bool,
        running: u32,
        expected: Result<usize, ErrorKind>,
    }
    let cases = [
        FullCase {
            name: "room beside a limited endpoint",
            is_other_limited: true,
            running: 63,
            expected: Ok(1),
        },
        FullCase {
            name: "full beside a limited endpoint",
            is_other_limited: true,
            running: 64,
            expected: Err(ErrorKind::RateLimited),
        },
        FullCase {
            name: "full, and no endpoint has a limit",
            is_other_limited: false,
            running: 64,
            expected: Ok(0),
        },
    ];
    for case in &cases {
        let mut pool = match case.is_other_limited {
            true => limited_pool(&[0.1]),
            false => limited_pool(&[]),
        };
        pool.relist(MonotonicMs(3), [listed(0), listed(1)]);
        let now = MonotonicMs(1_000);
        pool.observe_load_from_peer(now, &engine(1), case.running);
        let placed = pool.place(now, &request(None, 0));
        let placed = placed.map(|it| it.endpoint).map_err(|it| it.kind);
        assert_eq!(placed, case.expected.map(engine), "{}", case.name);
    }
}

#[test]
fn limited_endpoints_lower_no_bound_on_the_load_of_the_others() {
    let mut pool = limited_pool(&[0.1, 0.1, 0.1, 0.1]);
    pool.relist(MonotonicMs(3), (0..6).map(listed));
    let now = MonotonicMs(1_000);
    for (number, running) in [(4, 20), (5, 20)] {
        pool.observe_load_from_peer(now, &engine(number), running);
    }
    for key in 0..40 {
        let placement = pool
            .place(now, &request(Some(prompt(key, 8_000)), 0))
            .unwrap();
        // Above twice the mean of all six endpoints, but at the mean of those without a limit.
        assert_ne!(
            placement.reason,
            PlacementReason::LeastLoaded,
            "prompt {key}"
        );
        pool.finish(&placement.endpoint);
    }
}

#[test]
fn tokens_of_all_daemons_together_fit_in_a_window() {
    for rate_per_s in [0.0, 0.1, 0.25, 0.5, 1.0, 2.3, 10.0, 40.0, 400.0] {
        let mut stated = StatedRateLimit::default();
        stated.observe(RateStatement {
            rate: Some(RatePerS(rate_per_s)),
            sent_at: MonotonicMs(0),
            arrived_at: MonotonicMs(0),
        });
        let limit = stated.limit(MonotonicMs(1)).unwrap();
        assert!(limit.rate.0 > 0.0, "{rate_per_s}/s: it is tried");
        let window_s = WINDOW_MS as f64 / 1_000.0;
        let allowed = rate_per_s * window_s * RATE_FACTOR + ALLOWANCE;
        for daemons in [1, 9, 77, 320] {
            let members: Vec<MemberName> = (0..daemons).map(member).collect();
            // Each daemon that has a share sends one request at once, and what refills.
            let most: f64 = members
                .iter()
                .map(|own| limit.member_rate(own, &members, 12, &engine(0)).0)
                .filter(|rate| *rate > 0.0)
                .map(|rate| 1.0 + rate * window_s)
                .sum();
            assert!(
                most <= allowed,
                "{daemons} daemons, {rate_per_s}/s: {most}, {allowed} allowed"
            );
        }
    }
}
