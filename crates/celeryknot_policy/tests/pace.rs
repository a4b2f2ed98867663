//! Which endpoints are slower than usual, and what placement makes of it.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use celeryknot_core::{DurationMs, EndpointName, EndpointPace, MonotonicMs, TokenCount};
use celeryknot_policy::direct::pace::{PaceEstimate, RelativePace};
use celeryknot_policy::direct::{
    EndpointPool, ListedEndpoint, PlacementRequest, PoolLimits, ReportedLoad, SharedPrefix,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

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

fn pool(engines: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: "edge-0".parse().unwrap(),
        members: vec!["edge-0".parse().unwrap()],
        members_min: 1,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: None,
    });
    pool.relist(MonotonicMs(0), (0..engines).map(listed));
    pool
}

fn report(requests: u32, percent: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running: requests,
        waiting: 0,
        slots: 64,
        pace: percent.and_then(EndpointPace::from_percent),
    }
}

/// Guards against decisions that need the pace where endpoints don't report it, or no longer do.
#[test]
fn service_reports_its_pace_while_one_of_its_endpoints_does() {
    struct Case {
        name: &'static str,
        /// Endpoint, time and per cent of each report.
        reports: &'static [(usize, u64, Option<u32>)],
        now_ms: u64,
        expected: bool,
    }
    let case = |name, reports, now_ms, expected| Case {
        name,
        reports,
        now_ms,
        expected,
    };
    let cases = [
        case("no report", &[][..], 1_000, false),
        case(
            "loads alone",
            &[(0, 500, None), (1, 900, None)],
            1_000,
            false,
        ),
        case(
            "one endpoint",
            &[(0, 500, None), (1, 900, Some(100))],
            1_000,
            true,
        ),
        case("after 10 s", &[(1, 900, Some(100))], 10_900, true),
        case("later", &[(1, 900, Some(100))], 10_901, false),
        case(
            "loads alone since",
            &[(1, 900, Some(100)), (1, 5_000, None)],
            10_901,
            false,
        ),
        case("not listed", &[(7, 900, Some(100))], 1_000, false),
    ];
    for case in cases {
        let mut pool = pool(2);
        for (number, at_ms, percent) in case.reports {
            pool.observe_load(MonotonicMs(*at_ms), &engine(*number), report(3, *percent));
        }
        let reports_pace = pool.reports_pace(MonotonicMs(case.now_ms));
        assert_eq!(reports_pace, case.expected, "{}", case.name);
    }
}

fn pace(percent: u32) -> EndpointPace {
    EndpointPace::from_percent(percent).unwrap()
}

/// Guards against single, late, or missing reports that decide about an endpoint.
#[test]
fn pace_of_an_endpoint_is_smoothed() {
    struct Case {
        name: &'static str,
        /// Time and per cent of each report, in the order of arrival.
        reports: Vec<(u64, u32)>,
        now_ms: u64,
        expected: std::ops::RangeInclusive<f64>,
    }
    let case = |name, reports, now_ms, expected| Case {
        name,
        reports,
        now_ms,
        expected,
    };
    let every_100_ms = |until_ms: u64, percent: u32| -> Vec<(u64, u32)> {
        (0..until_ms).step_by(100).map(|at| (at, percent)).collect()
    };
    let and = |mut reports: Vec<(u64, u32)>, last| {
        reports.push(last);
        reports
    };
    let alternating = (0..100).map(|it| (it * 100, if it % 2 == 0 { 50 } else { 150 }));
    let cases = [
        case("none", vec![], 1_000, 1.0..=1.0),
        case("a long one", vec![(0, 10_000)], 0, 1.5..=1.5),
        case("a short one", vec![(0, 10)], 0, 0.66..=0.67),
        case(
            "a long one after a gap",
            and(every_100_ms(1_000, 100), (2_900, 10_000)),
            2_900,
            1.5..=1.5,
        ),
        case("1 s of 450", every_100_ms(1_000, 450), 1_000, 2.5..=3.7),
        case("3 s of 450", every_100_ms(3_000, 450), 3_000, 4.0..=4.5),
        case("fluctuation", alternating.collect(), 10_000, 0.9..=1.1),
        case(
            "an old one that arrives late",
            and(every_100_ms(3_000, 450), (2_000, 10)),
            3_000,
            4.0..=4.5,
        ),
        case("2.9 s without", every_100_ms(3_000, 450), 5_800, 4.0..=4.5),
        case("5 s without", every_100_ms(3_000, 450), 8_000, 1.2..=1.8),
        case("long without", every_100_ms(3_000, 450), 13_000, 1.0..=1.0),
    ];
    for case in cases {
        let mut estimate = PaceEstimate::default();
        for (at_ms, percent) in case.reports {
            estimate.observe(MonotonicMs(at_ms), pace(percent));
        }
        let factor = estimate.factor(MonotonicMs(case.now_ms));
        assert!(case.expected.contains(&factor), "{}: {factor}", case.name);
    }
}

fn request_without_prompt(draw: f64) -> PlacementRequest<'static> {
    PlacementRequest {
        shared: None,
        draw,
        allowed_zones: None,
        tried: &[],
        suspect: None,
        version: None,
        wait_max_ms: DurationMs(0),
    }
}

/// Places requests and returns where each went; they end in turn.
fn place_all(pool: &mut EndpointPool, now: MonotonicMs) -> Vec<EndpointName> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut placed: Vec<EndpointName> = Vec::new();
    for number in 0..600 {
        let tokens = [None, Some(TokenCount(600)), Some(TokenCount(8_000))][number % 3];
        let key = random.random_range(0..40);
        let request = PlacementRequest {
            shared: tokens.map(|tokens| SharedPrefix {
                key,
                first_key: key % 4,
                tokens,
            }),
            ..request_without_prompt(random.random())
        };
        placed.push(pool.place(now, &request).unwrap().endpoint);
        if number >= 100 {
            pool.finish(&placed[number - 100]);
        }
    }
    placed
}

/// Guards against other placements than before where no pace is known, or where it says nothing.
#[test]
fn placement_is_as_before_without_a_useful_pace() {
    struct Case {
        name: &'static str,
        /// Time and per cent of a report of each endpoint.
        reports: [Option<(u64, u32)>; 6],
    }
    let cases = [
        Case {
            name: "all usual",
            reports: [Some((20_000, 100)); 6],
        },
        Case {
            name: "one usual",
            reports: [None, Some((20_000, 100)), None, None, None, None],
        },
        Case {
            name: "stale",
            reports: [
                Some((9_000, 450)),
                Some((9_000, 60)),
                None,
                None,
                None,
                None,
            ],
        },
    ];
    let now = MonotonicMs(20_000);
    let expected = place_all(&mut pool(6), now);
    for case in cases {
        let mut pool = pool(6);
        for (number, reported) in case.reports.into_iter().enumerate() {
            if let Some((at_ms, percent)) = reported {
                pool.observe_pace(MonotonicMs(at_ms), &engine(number), pace(percent));
            }
        }
        assert_eq!(place_all(&mut pool, now), expected, "{}", case.name);
    }
}

/// Reports a load of 4 everywhere and a pace of each endpoint, for 3 s.
fn pool_with_paces(percents: &[Option<u32>]) -> EndpointPool {
    let mut pool = pool(percents.len());
    for at_ms in (0..3_000).step_by(100) {
        for (number, percent) in percents.iter().enumerate() {
            pool.observe_load(MonotonicMs(at_ms), &engine(number), report(4, *percent));
        }
    }
    pool
}

/// Guards against an endpoint without a report, as behind an older build, being taken for a fast one.
#[test]
fn endpoint_without_a_report_has_the_mean_pace() {
    let pool = pool_with_paces(&[Some(450), Some(450), None]);
    let now = MonotonicMs(3_000);
    let mut at_unknown = 0;
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..900 {
        let request = request_without_prompt(random.random());
        let placement = pool.clone().place(now, &request).unwrap();
        let factor = placement.pace.unwrap().endpoint.factor();
        assert!((4.0..=4.5).contains(&factor), "{factor}");
        at_unknown += usize::from(placement.endpoint == engine(2));
    }
    assert!((240..360).contains(&at_unknown), "{at_unknown} of 900");
}

/// Guards against a new process that inherits the pace of the one before.
#[test]
fn restarted_endpoint_has_the_mean_pace() {
    let mut pool = pool_with_paces(&[Some(450), Some(100), Some(100)]);
    let now = MonotonicMs(3_000);
    assert_eq!(pool.slow_count(now), 1);
    let restarted = (0..3).map(|number| ListedEndpoint {
        started_at_ms: Some(1 + u64::from(number == 0)),
        ..listed(number)
    });
    pool.relist(now, restarted);
    assert_eq!(pool.slow_count(now), 0);
    let others = [engine(1), engine(2)];
    let request = PlacementRequest {
        tried: &others,
        ..request_without_prompt(0.5)
    };
    let placement = pool.place(now, &request).unwrap();
    let pace = placement.pace.unwrap();
    assert_eq!(placement.endpoint, engine(0));
    assert_eq!(pace.endpoint, pace.service);
}

/// Guards against requests that leave endpoints which are no slower than the others, or too soon.
#[test]
fn silence_is_shorter_at_slow_endpoints_alone() {
    struct Case {
        name: &'static str,
        endpoint: u32,
        service: u32,
        objective_ms: u64,
        expected_ms: Option<u64>,
    }
    let case = |name, endpoint, service, objective_ms, expected_ms| Case {
        name,
        endpoint,
        service,
        objective_ms,
        expected_ms,
    };
    let cases = [
        case("usual", 100, 100, 400, None),
        case("somewhat slow", 149, 100, 400, None),
        case("slow", 200, 100, 400, Some(200)),
        case("very slow", 450, 100, 400, Some(150)),
        case("very slow, long objective", 450, 100, 1_200, Some(266)),
        case("all are slow", 450, 450, 400, None),
        case("fast among slow ones", 100, 450, 400, None),
        case("objective at the minimum", 450, 100, 150, None),
        case("objective below the minimum", 450, 100, 120, None),
    ];
    for case in cases {
        let pace = RelativePace {
            endpoint: pace(case.endpoint),
            service: pace(case.service),
        };
        let silence_ms = pace.silence_ms(DurationMs(case.objective_ms));
        assert_eq!(silence_ms.map(|it| it.0), case.expected_ms, "{}", case.name);
    }
}
