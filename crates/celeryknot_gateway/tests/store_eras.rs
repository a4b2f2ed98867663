//! A store that is restored from a copy, and what the daemons know and relay of it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_gateway::platform_protocol::{EndpointRecord, StoreEra, StoreRecord, StoreRevision};
use celeryknot_gateway::relay_log::{RawItem, RelayLog};
use celeryknot_gateway::store_state::StoreState;

const KEY: &str = "servers/i-1";
const ZONE_KEY: &str = "op/evacuate/hkd-a";

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreEra(era).revision(number)
}

fn item(key: &str, at: StoreRevision, value: Option<u8>) -> RawItem {
    RawItem {
        key: key.to_owned(),
        revision: at,
        value: value.map(|value| vec![value]),
    }
}

/// What a daemon reads of an endpoint or its zone; times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The endpoint's entry: started then, whether draining, remaining cold start.
    Put(u64, bool, u64),
    Deleted,
    Evacuated,
    EvacuationDeleted,
}

use Event::{Deleted, Evacuated, EvacuationDeleted, Put};

struct Case {
    name: &'static str,
    /// Time, era, revision number and event.
    events: &'static [(u64, u64, u64, Event)],
    checked_at_ms: u64,
    accepts_requests: bool,
}

const READY: Event = Put(1, false, 0);
const DRAINING: Event = Put(1, true, 0);

const CASES: &[Case] = &[
    Case {
        name: "ready in the copy as before",
        events: &[(0, 1, 20, READY), (100, 2, 20, READY)],
        checked_at_ms: 60_000,
        accepts_requests: true,
    },
    Case {
        name: "lacking in the copy, just then",
        events: &[(0, 1, 20, READY), (100, 2, 15, Deleted)],
        checked_at_ms: 1_500,
        accepts_requests: true,
    },
    Case {
        name: "lacking in the copy, and not written again",
        events: &[(0, 1, 20, READY), (100, 2, 15, Deleted)],
        checked_at_ms: 1_700,
        accepts_requests: false,
    },
    Case {
        name: "lacking in the copy, and written again",
        events: &[
            (0, 1, 20, READY),
            (100, 2, 15, Deleted),
            (1_200, 2, 17, READY),
        ],
        checked_at_ms: 60_000,
        accepts_requests: true,
    },
    Case {
        name: "written again late",
        events: &[
            (0, 1, 20, READY),
            (100, 2, 15, Deleted),
            (9_000, 2, 17, READY),
        ],
        checked_at_ms: 9_100,
        accepts_requests: true,
    },
    Case {
        name: "draining, and ready in the copy",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, DRAINING),
            (200, 2, 10, READY),
        ],
        checked_at_ms: 300,
        accepts_requests: false,
    },
    Case {
        name: "draining, and ready in two copies in a row",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, DRAINING),
            (200, 2, 10, READY),
            (300, 3, 9, READY),
        ],
        checked_at_ms: 400,
        accepts_requests: false,
    },
    Case {
        name: "draining, and another incarnation in the copy",
        events: &[(100, 1, 20, DRAINING), (200, 2, 10, Put(2, false, 0))],
        checked_at_ms: 300,
        accepts_requests: true,
    },
    Case {
        name: "gone, and ready in the copy",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Deleted),
            (200, 2, 10, READY),
        ],
        checked_at_ms: 10_000,
        accepts_requests: false,
    },
    Case {
        name: "gone, ready in the copy, and written again",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Deleted),
            (200, 2, 10, READY),
            (900, 2, 14, READY),
        ],
        checked_at_ms: 1_000,
        accepts_requests: true,
    },
    Case {
        name: "gone, and registered again in the same era",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Deleted),
            (200, 1, 22, READY),
        ],
        checked_at_ms: 300,
        accepts_requests: true,
    },
    Case {
        name: "gone long ago, and another of its name",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Deleted),
            (70_000, 2, 14, READY),
        ],
        checked_at_ms: 70_100,
        accepts_requests: true,
    },
    Case {
        name: "evacuation lacking in the copy, just then",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Evacuated),
            (200, 2, 15, EvacuationDeleted),
        ],
        checked_at_ms: 5_100,
        accepts_requests: false,
    },
    Case {
        name: "evacuation lacking in the copy, and not written again",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Evacuated),
            (200, 2, 15, EvacuationDeleted),
        ],
        checked_at_ms: 5_300,
        accepts_requests: true,
    },
    Case {
        name: "evacuation lacking in the copy, and written again",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Evacuated),
            (200, 2, 15, EvacuationDeleted),
            (900, 2, 16, Evacuated),
        ],
        checked_at_ms: 60_000,
        accepts_requests: false,
    },
    Case {
        name: "evacuation taken back in the same era",
        events: &[
            (0, 1, 10, READY),
            (100, 1, 20, Evacuated),
            (200, 1, 25, EvacuationDeleted),
        ],
        checked_at_ms: 300,
        accepts_requests: true,
    },
];

fn record(started_at_ms: u64, is_draining: bool, cold_ms: u64) -> StoreRecord {
    StoreRecord::Endpoint(EndpointRecord {
        name: "i-1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        started_at_ms: Some(started_at_ms),
        sequence: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 6,
        is_draining,
        cold_remaining_ms: DurationMs(cold_ms),
    })
}

fn apply(state: &mut StoreState, now: MonotonicMs, at: StoreRevision, event: Event) {
    let zone = || StoreRecord::ZoneEvacuated("hkd-a".parse().unwrap());
    let (key, value) = match event {
        Put(started_at_ms, is_draining, cold_ms) => {
            (KEY, Some(record(started_at_ms, is_draining, cold_ms)))
        }
        Deleted => (KEY, None),
        Evacuated => (ZONE_KEY, Some(zone())),
        EvacuationDeleted => (ZONE_KEY, None),
    };
    state.apply(now, key, at, value);
}

#[test]
fn what_was_acknowledged_holds_until_the_writers_have_written_it_again() {
    for case in CASES {
        let mut state = StoreState::default();
        let mut events = case.events.iter().peekable();
        for now in (0..=case.checked_at_ms).step_by(100).map(MonotonicMs) {
            while let Some((_, era, number, event)) = events.next_if(|(at, ..)| *at <= now.0) {
                apply(&mut state, now, revision(*era, *number), *event);
            }
            state.advance(now);
        }
        let endpoints = state.endpoints();
        let accepts = endpoints.values().flatten().any(|it| it.accepts_requests);
        assert_eq!(accepts, case.accepts_requests, "{}", case.name);
    }
}

#[test]
fn restored_entry_does_not_restart_the_cold_start() {
    let mut state = StoreState::default();
    let cold = Put(1, false, 3_000);
    apply(&mut state, MonotonicMs(0), revision(1, 10), cold);
    apply(&mut state, MonotonicMs(20_000), revision(2, 10), cold);
    let listed = &state.endpoints()[&"desk".parse().unwrap()][0];
    assert_eq!(listed.cold_until, Some(MonotonicMs(3_000)));
}

#[test]
fn item_of_the_current_era_replaces_one_with_a_higher_revision_of_an_earlier_era() {
    let mut log = RelayLog::default();
    let first = [
        item("a", revision(1, 40), Some(1)),
        item("b", revision(1, 50), Some(1)),
    ];
    log.replace(revision(1, 50), first.to_vec());
    let listed = item("a", revision(2, 30), Some(2));
    let mut changes = log.replace(revision(2, 31), vec![listed.clone()]);
    changes.sort_by(|one, other| one.key.cmp(&other.key));
    assert_eq!(changes, [listed.clone(), item("b", revision(2, 31), None)]);
    // What a peer that hasn't heard of it sends.
    let stale = item("a", revision(1, 90), Some(9));
    assert!(log.apply(revision(1, 90), vec![stale.clone()]).is_empty());
    assert!(log.replace(revision(1, 90), vec![stale]).is_empty());
    assert_eq!(log.at(), Some(revision(2, 31)));
    assert_eq!(log.after(None).items, [listed]);
}

struct PollCase {
    name: &'static str,
    after: Option<StoreRevision>,
    is_snapshot: bool,
    len: usize,
}

#[test]
fn daemon_with_a_copy_of_an_earlier_era_gets_a_snapshot_and_one_of_a_later_era_nothing() {
    let mut log = RelayLog::default();
    let items =
        [10, 20, 30].map(|number| item(&format!("k{number}"), revision(2, number), Some(1)));
    log.replace(revision(2, 30), items.to_vec());
    let cases = [
        PollCase {
            name: "no copy",
            after: None,
            is_snapshot: true,
            len: 3,
        },
        PollCase {
            name: "the era before, with a higher revision",
            after: Some(revision(1, 90)),
            is_snapshot: true,
            len: 3,
        },
        PollCase {
            name: "a store without eras",
            after: Some(revision(0, 20)),
            is_snapshot: true,
            len: 3,
        },
        PollCase {
            name: "the same era",
            after: Some(revision(2, 10)),
            is_snapshot: false,
            len: 2,
        },
        PollCase {
            name: "a later era",
            after: Some(revision(3, 5)),
            is_snapshot: false,
            len: 0,
        },
    ];
    for case in cases {
        let updates = log.after(case.after);
        let actual = (updates.is_snapshot, updates.items.len());
        assert_eq!(actual, (case.is_snapshot, case.len), "{}", case.name);
    }
}

#[test]
fn kept_item_is_relayed_until_a_later_revision() {
    let mut log = RelayLog::default();
    log.replace(revision(1, 9), vec![item("a", revision(1, 9), Some(9))]);
    log.replace(revision(2, 5), vec![item("a", revision(2, 4), Some(8))]);
    let kept = item("a", revision(2, 4), Some(9));
    log.keep(kept.clone());
    assert_eq!(log.after(None).items, [kept]);
    let next = item("a", revision(2, 6), Some(10));
    assert_eq!(log.apply(revision(2, 6), vec![next.clone()]), [next]);
}
