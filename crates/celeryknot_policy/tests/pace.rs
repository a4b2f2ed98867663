//! Which endpoints are slower than usual, and what placement makes of it.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use celeryknot_core::{DurationMs, EndpointName, EndpointPace, MonotonicMs};
use celeryknot_policy::direct::{EndpointPool, ListedEndpoint, PoolLimits, ReportedLoad};

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
