//! Which software version a stream without a record may go on at.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use celeryknot_core::{DurationMs, MonotonicMs, ServiceName, SoftwareVersion};
use celeryknot_policy::direct::{ListedVersion, ListedVersions};

const WINDOW: DurationMs = DurationMs(8_000);

/// What a daemon observes at a time.
enum Event {
    /// A list with these versions.
    Listed(&'static [&'static str]),
    /// Changes may have been missed.
    Gap,
    /// A peer has observed for so long, with a version that was delisted so long ago.
    Peer(u64, &'static str, Option<u64>),
}

use Event::{Gap, Listed, Peer};

struct Case {
    name: &'static str,
    events: &'static [(u64, Event)],
    checked_at_ms: u64,
    sole_version: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "observed for too short a time",
        events: &[(1_000, Listed(&["v1"]))],
        checked_at_ms: 8_999,
        sole_version: None,
    },
    Case {
        name: "observed for long enough",
        events: &[(1_000, Listed(&["v1"]))],
        checked_at_ms: 9_000,
        sole_version: Some("v1"),
    },
    Case {
        name: "two versions",
        events: &[(1_000, Listed(&["v1", "v2", "v1"]))],
        checked_at_ms: 20_000,
        sole_version: None,
    },
    Case {
        name: "the other one left a moment ago",
        events: &[(1_000, Listed(&["v1", "v2"])), (12_000, Listed(&["v2"]))],
        checked_at_ms: 20_000,
        sole_version: None,
    },
    Case {
        name: "the other one left long ago",
        events: &[(1_000, Listed(&["v1", "v2"])), (12_000, Listed(&["v2"]))],
        checked_at_ms: 20_001,
        sole_version: Some("v2"),
    },
    Case {
        name: "changes may have been missed",
        events: &[(1_000, Listed(&["v1"])), (12_000, Gap)],
        checked_at_ms: 19_999,
        sole_version: None,
    },
    Case {
        name: "a peer has observed for longer",
        events: &[(1_000, Listed(&["v1"])), (1_100, Peer(60_000, "v1", None))],
        checked_at_ms: 1_200,
        sole_version: Some("v1"),
    },
    Case {
        name: "a peer knows a version that has left",
        events: &[
            (1_000, Listed(&["v2"])),
            (1_100, Peer(60_000, "v1", Some(2_000))),
        ],
        checked_at_ms: 1_200,
        sole_version: None,
    },
    Case {
        name: "a peer that started lately itself",
        events: &[(1_000, Listed(&["v1"])), (1_100, Peer(400, "v1", None))],
        checked_at_ms: 1_200,
        sole_version: None,
    },
    Case {
        name: "a peer with an older list",
        events: &[(1_000, Listed(&["v2"])), (1_100, Peer(60_000, "v1", None))],
        checked_at_ms: 1_200,
        sole_version: None,
    },
    Case {
        name: "a peer before the first list",
        events: &[(900, Peer(60_000, "v1", None)), (1_000, Listed(&["v1"]))],
        checked_at_ms: 1_200,
        sole_version: None,
    },
    Case {
        name: "no endpoint",
        events: &[(1_000, Listed(&[]))],
        checked_at_ms: 20_000,
        sole_version: None,
    },
];

#[test]
fn stream_without_a_record_goes_on_only_if_there_was_one_version() {
    let service: ServiceName = "llm".parse().unwrap();
    for case in CASES {
        let mut versions = ListedVersions::default();
        for (at_ms, event) in case.events {
            let now = MonotonicMs(*at_ms + 100_000);
            match event {
                Listed(listed) => {
                    let listed: Vec<SoftwareVersion> =
                        listed.iter().map(|it| it.parse().unwrap()).collect();
                    versions.observe(now, listed.iter().map(|it| (&service, it)));
                }
                Gap => versions.restart(now),
                Peer(observed_ms, version, unlisted_ms) => {
                    let listed = ListedVersion {
                        version: version.parse().unwrap(),
                        unlisted_at: unlisted_ms.map(|age_ms| MonotonicMs(now.0 - age_ms)),
                    };
                    let observed_since = MonotonicMs(now.0 - observed_ms);
                    versions.merge(now, observed_since, [(service.clone(), listed)]);
                }
            }
        }
        let now = MonotonicMs(case.checked_at_ms + 100_000);
        let sole_version = versions.sole_version(now, &service, WINDOW);
        let sole_version = sole_version.map(SoftwareVersion::as_str);
        assert_eq!(sole_version, case.sole_version, "{}", case.name);
    }
}
