use std::net::SocketAddr;

use celeryknot_core::{DurationMs, MonotonicMs};

use super::EndpointPaths;

const NOW: MonotonicMs = MonotonicMs(10_000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 64, number], 8600))
}

fn listed() -> Vec<SocketAddr> {
    (1..=5).map(address).collect()
}

struct ProbeCase {
    name: &'static str,
    /// Endpoints to which a connection failed, and the time before now in milliseconds.
    failed: &'static [(u8, u64)],
    /// Endpoints that answered, and the time before now.
    answered: &'static [(u8, u64)],
    due: &'static [u8],
}

const PROBE_CASES: [ProbeCase; 6] = [
    ProbeCase {
        name: "nothing failed",
        failed: &[],
        answered: &[],
        due: &[],
    },
    ProbeCase {
        name: "one failed just now",
        failed: &[(1, 100)],
        answered: &[],
        due: &[],
    },
    ProbeCase {
        name: "one failed longer ago",
        failed: &[(1, 1_000)],
        answered: &[],
        due: &[1],
    },
    ProbeCase {
        name: "two failed just now",
        failed: &[(1, 100), (2, 50)],
        answered: &[(3, 100), (4, 400)],
        due: &[4, 5],
    },
    ProbeCase {
        name: "two failed, not together",
        failed: &[(1, 1_200), (2, 50)],
        answered: &[],
        due: &[1],
    },
    ProbeCase {
        name: "one of them is no longer listed",
        failed: &[(9, 50), (2, 50)],
        answered: &[],
        due: &[],
    },
];

#[test]
fn endpoints_are_probed_when_a_cut_is_likely() {
    for case in &PROBE_CASES {
        let mut paths = EndpointPaths::default();
        for (number, before_ms) in case.failed {
            let at = MonotonicMs(NOW.0 - before_ms);
            assert!(paths.record_failure(at, address(*number), 0.0));
        }
        for (number, before_ms) in case.answered {
            paths.record_answer(MonotonicMs(NOW.0 - before_ms), address(*number));
        }
        let is_due = paths.is_probe_due(NOW);
        let mut due = paths.due_probes(NOW, &listed()).to_vec();
        assert!(is_due || due.is_empty(), "{}", case.name);
        due.sort();
        let expected: Vec<_> = case.due.iter().copied().map(address).collect();
        assert_eq!(due, expected, "{}", case.name);
    }
}

#[test]
fn all_are_probed_once_a_second() {
    let mut paths = EndpointPaths::default();
    for number in [1, 2] {
        paths.record_failure(NOW, address(number), 1.0);
    }
    assert_eq!(paths.due_probes(NOW, &listed()).len(), 3);
    let soon = NOW + DurationMs(10);
    assert!(paths.due_probes(soon, &listed()).is_empty());
}

#[test]
fn one_request_in_an_interval_tries_a_broken_path() {
    let mut paths = EndpointPaths::default();
    assert!(paths.may_try(NOW, address(1)));
    paths.record_failure(NOW, address(1), 0.0);
    assert!(!paths.may_try(NOW + DurationMs(400), address(1)));
    assert!(paths.may_try(NOW + DurationMs(500), address(1)));
    assert!(!paths.may_try(NOW + DurationMs(500), address(1)));
}

#[test]
fn most_of_a_service_is_more_than_half_and_more_than_one_endpoint() {
    struct Case {
        broken: &'static [u8],
        service: &'static [u8],
        are_most: bool,
    }
    let cases = [
        Case {
            broken: &[1],
            service: &[1],
            are_most: false,
        },
        Case {
            broken: &[1],
            service: &[1, 2],
            are_most: false,
        },
        Case {
            broken: &[1, 2],
            service: &[1, 2],
            are_most: true,
        },
        Case {
            broken: &[1, 2, 7],
            service: &[1, 2, 3],
            are_most: true,
        },
        Case {
            broken: &[1, 2],
            service: &[1, 2, 3, 4],
            are_most: false,
        },
    ];
    for case in cases {
        let mut paths = EndpointPaths::default();
        for number in case.broken {
            paths.record_failure(NOW, address(*number), 0.5);
        }
        let service = case.service.iter().copied().map(address);
        assert_eq!(paths.are_most_broken(service), case.are_most);
    }
}
