//! What endpoints state about themselves: that they are leaving, or that they want a pause.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs};
use celeryknot_policy::direct::endpoint::PAUSE_MAX;
use celeryknot_policy::direct::{
    AttemptFailure, EndpointPool, ListedEndpoint, PlacementRequest, PoolLimits,
};

const PAUSE: DurationMs = DurationMs(5_000);

fn engine() -> EndpointName {
    "i-1".parse().unwrap()
}

fn listed(started_at_ms: u64, accepts_requests: bool) -> ListedEndpoint {
    ListedEndpoint {
        name: engine(),
        started_at_ms: Some(started_at_ms),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 64,
        accepts_requests,
        cold_until: None,
    }
}

fn pool() -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: "edge-1".parse().unwrap(),
        members: vec!["edge-1".parse().unwrap()],
        members_min: 1,
        load_factor: 2.0,
        cache_ttl_ms: DurationMs(10_000),
        drain_ms: DurationMs(2_000),
        cold_rate_limit: None,
    });
    pool.relist(MonotonicMs(0), [listed(1, true)]);
    pool
}

fn request(draw: f64) -> PlacementRequest<'static> {
    PlacementRequest {
        shared: None,
        draw,
        allowed_zones: None,
        tried: &[],
        suspect: None,
        version: None,
        wait_max_ms: DurationMs(400),
    }
}

/// What happens to the endpoint, at a time in milliseconds.
enum Event {
    /// It is listed as started then, and whether as accepting requests.
    Listed(u64, bool),
    Delisted,
    /// It states that it is leaving, in an answer to a request sent then.
    Leaving(u64),
    /// It asks for a pause, in an answer to a request sent then.
    Pause(u64, DurationMs),
}

use Event::{Delisted, Leaving, Listed, Pause};

struct Case {
    name: &'static str,
    events: &'static [(u64, Event)],
    checked_at_ms: u64,
    accepts_requests: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "leaving",
        events: &[(100, Leaving(50))],
        checked_at_ms: 100,
        accepts_requests: false,
    },
    Case {
        name: "leaving, and listed again as before",
        events: &[(100, Leaving(50)), (9_000, Listed(1, true))],
        checked_at_ms: 600_000,
        accepts_requests: false,
    },
    Case {
        name: "leaving, then draining, then listed as before",
        events: &[
            (100, Leaving(50)),
            (200, Listed(1, false)),
            (300, Listed(1, true)),
        ],
        checked_at_ms: 300,
        accepts_requests: false,
    },
    Case {
        name: "leaving, then restarted under its name",
        events: &[(100, Leaving(50)), (9_000, Listed(2, true))],
        checked_at_ms: 9_000,
        accepts_requests: true,
    },
    Case {
        name: "leaving, and listed again after an absence",
        events: &[
            (100, Leaving(50)),
            (3_000, Delisted),
            (9_000, Listed(1, true)),
        ],
        checked_at_ms: 9_000,
        accepts_requests: false,
    },
    Case {
        name: "leaving, then absent, then restarted under its name",
        events: &[
            (100, Leaving(50)),
            (3_000, Delisted),
            (9_000, Listed(2, true)),
        ],
        checked_at_ms: 9_000,
        accepts_requests: true,
    },
    Case {
        name: "in a pause, and listed again after an absence",
        events: &[
            (100, Pause(50, PAUSE)),
            (200, Delisted),
            (1_000, Listed(1, true)),
        ],
        checked_at_ms: 5_099,
        accepts_requests: false,
    },
    Case {
        name: "after a pause with an absence",
        events: &[
            (100, Pause(50, PAUSE)),
            (200, Delisted),
            (1_000, Listed(1, true)),
        ],
        checked_at_ms: 5_100,
        accepts_requests: true,
    },
    Case {
        name: "late answer of the incarnation before, which was leaving",
        events: &[(1_000, Listed(2, true)), (1_100, Leaving(900))],
        checked_at_ms: 1_100,
        accepts_requests: true,
    },
    Case {
        name: "in a pause",
        events: &[(100, Pause(50, PAUSE))],
        checked_at_ms: 5_099,
        accepts_requests: false,
    },
    Case {
        name: "after a pause",
        events: &[(100, Pause(50, PAUSE))],
        checked_at_ms: 5_100,
        accepts_requests: true,
    },
    Case {
        name: "a shorter pause after a longer one",
        events: &[(100, Pause(50, PAUSE)), (200, Pause(60, DurationMs(500)))],
        checked_at_ms: 5_099,
        accepts_requests: false,
    },
    Case {
        name: "an absurdly long pause",
        events: &[(0, Pause(0, DurationMs(u64::MAX / 2)))],
        checked_at_ms: PAUSE_MAX.0,
        accepts_requests: true,
    },
    Case {
        name: "pause of the incarnation before",
        events: &[(100, Pause(50, PAUSE)), (300, Listed(2, true))],
        checked_at_ms: 300,
        accepts_requests: true,
    },
    Case {
        name: "late answer of the incarnation before, which wanted a pause",
        events: &[(1_000, Listed(2, true)), (1_100, Pause(900, PAUSE))],
        checked_at_ms: 1_100,
        accepts_requests: true,
    },
];

#[test]
fn endpoint_gets_nothing_that_it_has_stated_it_doesn_t_want() {
    for case in CASES {
        let mut pool = pool();
        for (at, event) in case.events {
            let now = MonotonicMs(*at);
            match event {
                Listed(started_at_ms, accepts) => {
                    pool.relist(now, [listed(*started_at_ms, *accepts)])
                }
                Delisted => pool.relist(now, []),
                Leaving(sent_at) => {
                    pool.observe_leaving(MonotonicMs(*sent_at), &engine());
                }
                Pause(sent_at, pause_ms) => {
                    pool.observe_pause(now, MonotonicMs(*sent_at), &engine(), *pause_ms);
                }
            }
        }
        let now = MonotonicMs(case.checked_at_ms);
        let accepts = pool.accepts_requests(now, &engine());
        assert_eq!(accepts, case.accepts_requests, "{}", case.name);
        let placed = pool.place(now, &request(0.5));
        assert_eq!(placed.is_ok(), case.accepts_requests, "{}", case.name);
    }
}

#[test]
fn refusal_while_all_endpoints_want_a_pause_states_its_end() {
    let mut pool = pool();
    pool.observe_pause(MonotonicMs(100), MonotonicMs(50), &engine(), PAUSE);
    let now = MonotonicMs(1_100);
    let refusals = [0.0, 0.5].map(|draw| pool.place(now, &request(draw)).unwrap_err());
    for refusal in refusals {
        assert_eq!(refusal.kind, ErrorKind::EndpointRefused);
    }
    let delays = refusals.map(|it| it.retry_after_ms.unwrap());
    assert_eq!(delays, [DurationMs(4_000), DurationMs(4_500)]);
    pool.observe_leaving(MonotonicMs(200), &engine());
    let refusal = pool.place(now, &request(0.5)).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NoEndpoint, "it doesn't come back");
}

#[test]
fn error_that_asks_for_a_pause_ejects_no_endpoint() {
    let mut pool = pool();
    let (now, short) = (MonotonicMs(100), DurationMs(50));
    for _ in 0..5 {
        pool.observe_pause(now, MonotonicMs(50), &engine(), short);
        pool.observe_failure(now, &engine(), AttemptFailure::EndpointError);
    }
    // A request places itself at an ejected endpoint if there is no other.
    let other = ListedEndpoint {
        name: "i-2".parse().unwrap(),
        address: "10.0.0.2:80".parse().unwrap(),
        ..listed(1, true)
    };
    pool.relist(now, [listed(1, true), other]);
    let later = now + short;
    let is_placed_there = |draw| {
        let placement = pool.place(later, &request(draw)).unwrap();
        pool.finish(&placement.endpoint);
        placement.endpoint == engine()
    };
    assert!([0.1, 0.3, 0.7, 0.9].into_iter().any(is_placed_there));
}
