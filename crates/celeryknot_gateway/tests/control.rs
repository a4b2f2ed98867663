//! Tests of members, updates and the store's state, without network.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::BTreeSet;

use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_gateway::members::{Member, MemberTable, READER_COUNT};
use celeryknot_gateway::platform_protocol::{EndpointRecord, StoreRecord, StoreRevision};
use celeryknot_gateway::relay_log::{RawItem, RelayLog};
use celeryknot_gateway::store_state::{StateChange, StoreState};
use celeryknot_policy::routing::Configuration;
use proptest::prelude::*;

fn member(number: usize) -> Member {
    Member {
        name: format!("edge-{number}").parse().unwrap(),
        zone: format!("zone-{}", number % 3).parse().unwrap(),
        address: format!("10.0.{}.{}:80", number / 200, number % 200 + 1)
            .parse()
            .unwrap(),
        incarnation: Incarnation(1),
        cores_percent: 12,
        hop_address: None,
    }
}

fn table(own: usize, known: impl IntoIterator<Item = usize>, now: MonotonicMs) -> MemberTable {
    let mut table = MemberTable::new(member(own));
    for number in known {
        table.observe(now, member(number), DurationMs(0));
    }
    table
}

#[test]
fn all_daemons_up_to_the_reader_count_read_the_store() {
    let now = MonotonicMs(1_000);
    for daemons in [1, 3, READER_COUNT, 30, 320] {
        let readers = (0..daemons)
            .filter(|own| table(*own, 0..daemons, now).is_reader(now))
            .count();
        assert_eq!(readers, daemons.min(READER_COUNT), "{daemons} daemons");
    }
}

struct ReaderCase {
    name: &'static str,
    daemons: usize,
    /// Cores of a daemon by its number, in hundredths.
    cores_percent: fn(usize) -> u32,
    /// Fewest cores that a reader may have, in hundredths.
    cores_percent_min: u32,
}

/// Load: a reader answers the polls of a sixth of 72 daemons, besides serving its own callers.
#[test]
fn readers_have_the_most_cores_and_span_all_zones() {
    let cases = [
        ReaderCase {
            name: "equal cores everywhere",
            daemons: 72,
            cores_percent: |_| 12,
            cores_percent_min: 12,
        },
        ReaderCase {
            name: "a few daemons with more cores in each zone",
            daemons: 72,
            cores_percent: |number| if number % 72 < 9 { 50 } else { 12 },
            cores_percent_min: 50,
        },
        ReaderCase {
            name: "all daemons with more cores in one zone",
            daemons: 72,
            cores_percent: |number| if number % 3 == 0 { 50 } else { 12 },
            cores_percent_min: 12,
        },
    ];
    let now = MonotonicMs(1_000);
    for case in cases {
        let of = |number| Member {
            cores_percent: (case.cores_percent)(number),
            hop_address: None,
            ..member(number)
        };
        let readers: Vec<Member> = (0..case.daemons)
            .filter(|own| {
                let mut table = MemberTable::new(of(*own));
                for number in 0..case.daemons {
                    table.observe(now, of(number), DurationMs(0));
                }
                table.is_reader(now)
            })
            .map(of)
            .collect();
        assert_eq!(readers.len(), READER_COUNT, "{}", case.name);
        let zones: BTreeSet<_> = readers.iter().map(|it| it.zone.clone()).collect();
        assert_eq!(
            zones.len(),
            3,
            "{}: readers remain after a zone's outage",
            case.name
        );
        let fewest_cores = readers.iter().map(|it| it.cores_percent).min().unwrap();
        assert!(
            fewest_cores >= case.cores_percent_min,
            "{}: {fewest_cores}",
            case.name
        );
    }
}

struct SettledCase {
    name: &'static str,
    /// The other daemons, and the time at which each is first heard of.
    others: &'static [(usize, u64)],
    expects_others: bool,
    checked_at_ms: u64,
    is_settled: bool,
}

/// The times count from the start of the process.
#[test]
fn daemon_divides_limits_by_the_daemons_it_knows_only_once_they_are_all_known() {
    let cases = [
        SettledCase {
            name: "just started",
            others: &[],
            expects_others: false,
            checked_at_ms: 1_000,
            is_settled: false,
        },
        SettledCase {
            name: "alone, and expects no others",
            others: &[],
            expects_others: false,
            checked_at_ms: 5_000,
            is_settled: true,
        },
        SettledCase {
            name: "cut off since its start",
            others: &[],
            expects_others: true,
            checked_at_ms: 600_000,
            is_settled: false,
        },
        SettledCase {
            name: "others are still being added",
            others: &[(2, 100), (3, 4_000)],
            expects_others: true,
            checked_at_ms: 8_900,
            is_settled: false,
        },
        SettledCase {
            name: "no other was added for some seconds",
            others: &[(2, 100), (3, 4_000)],
            expects_others: true,
            checked_at_ms: 9_000,
            is_settled: true,
        },
        SettledCase {
            name: "known daemons are heard of again",
            others: &[(2, 100), (3, 100), (2, 6_000), (3, 6_000)],
            expects_others: true,
            checked_at_ms: 6_000,
            is_settled: true,
        },
        SettledCase {
            name: "one joins later",
            others: &[(2, 100), (3, 20_000)],
            expects_others: true,
            checked_at_ms: 20_000,
            is_settled: false,
        },
    ];
    for case in &cases {
        let after = |ms| MonotonicMs::PROCESS_START + DurationMs(ms);
        let mut table = MemberTable::new(member(1));
        for (number, heard_at_ms) in case.others {
            table.observe(after(*heard_at_ms), member(*number), DurationMs(0));
        }
        let is_settled = table.is_settled(after(case.checked_at_ms), case.expects_others);
        assert_eq!(is_settled, case.is_settled, "{}", case.name);
    }
}

#[test]
fn other_daemons_become_readers_when_readers_send_no_heartbeats() {
    let now = MonotonicMs(1_000);
    let readers: BTreeSet<usize> = (0..30)
        .filter(|own| table(*own, 0..30, now).is_reader(now))
        .collect();
    let later = MonotonicMs(10_000);
    let rest: Vec<usize> = (0..30).filter(|it| !readers.contains(it)).collect();
    let next = rest.iter().filter(|own| {
        let mut table = table(**own, 0..30, now);
        for number in &rest {
            table.observe(later, member(*number), DurationMs(0));
        }
        table.is_reader(later)
    });
    assert_eq!(next.count(), READER_COUNT);
}

#[test]
fn poll_targets_start_with_readers_of_the_own_zone() {
    let now = MonotonicMs(1_000);
    // A reader does not poll itself: only five of its first six poll targets would be readers.
    let table = (0..30)
        .map(|own| table(own, 0..30, now))
        .find(|table| !table.is_reader(now))
        .unwrap();
    let poll_targets: Vec<Member> = table.poll_targets(now, 7).into_iter().cloned().collect();
    assert_eq!(
        poll_targets.len(),
        29,
        "every other daemon is a poll target"
    );
    let is_own_zone = |it: &&Member| it.zone == table.own().zone;
    let own_zone_count = poll_targets[..READER_COUNT]
        .iter()
        .filter(is_own_zone)
        .count();
    assert!(
        poll_targets[..own_zone_count]
            .iter()
            .all(|it| is_own_zone(&it))
    );
    let mut table = table;
    table.note_unresponsive(now, poll_targets[0].address);
    assert!(!table.poll_targets(now, 7).contains(&&poll_targets[0]));
}

#[test]
fn own_rank_follows_what_is_known_of_the_others() {
    let now = MonotonicMs(1_000);
    let own = (0..30)
        .find(|own| !table(*own, 0..30, now).is_reader(now))
        .unwrap();

    let mut alone = table(own, [], now);
    assert!(alone.is_reader(now));
    for number in 0..30 {
        alone.observe(now, member(number), DurationMs(0));
    }
    assert!(!alone.is_reader(now), "others are known");

    let mut unresponsive = table(own, 0..30, now);
    assert!(!unresponsive.is_reader(now));
    for number in 0..30 {
        unresponsive.note_unresponsive(now, member(number).address);
    }
    assert!(unresponsive.is_reader(now), "no other one responds");

    let silent = table(own, 0..30, now);
    assert!(!silent.is_reader(now));
    assert!(silent.is_reader(MonotonicMs(10_000)), "heartbeats end");
}

#[test]
fn daemons_with_equal_member_lists_exchange_ages() {
    let now = MonotonicMs(10_000);
    let mut one = table(1, [], now);
    let mut two = table(2, [], now);
    one.observe(now, member(2), DurationMs(0));
    one.observe(now, member(3), DurationMs(4_000));
    two.observe(now, member(1), DurationMs(0));
    two.observe(now, member(3), DurationMs(500));
    assert_eq!(one.digest(), two.digest());
    one.observe_ages(now, &two.ages(now));
    let age = one
        .others(now)
        .find(|(it, _)| it.name.as_str() == "edge-3")
        .unwrap()
        .1;
    assert!(age <= DurationMs(1_000), "{age}");
    one.advance(MonotonicMs(80_000));
    assert_eq!(
        one.names().len(),
        1,
        "daemons without recent heartbeats are removed"
    );
    assert_ne!(one.digest(), two.digest());
}

fn item(key: u8, revision: u64, value: Option<u8>) -> RawItem {
    RawItem {
        key: format!("k{key}"),
        revision: StoreRevision::from(revision),
        value: value.map(|value| vec![value]),
    }
}

proptest! {
    /// A daemon that polls another one at irregular times ends up with the store's content.
    #[test]
    fn relayed_updates_reproduce_the_store(
        changes in prop::collection::vec((0_u8..6, prop::option::of(0_u8..9)), 1..60),
        polls in prop::collection::vec(any::<bool>(), 60),
    ) {
        let mut store = RelayLog::default();
        store.replace(StoreRevision::from(1), Vec::new());
        let mut follower = RelayLog::default();
        for (index, (key, value)) in changes.iter().enumerate() {
            let revision = index as u64 + 2;
            store.apply(StoreRevision::from(revision), vec![item(*key, revision, *value)]);
            if polls[index] {
                follow(&mut follower, &store);
            }
        }
        follow(&mut follower, &store);
        let all = |log: &RelayLog| {
            let mut items = log.after(None).items;
            items.sort_by(|one, other| one.key.cmp(&other.key));
            items
        };
        prop_assert_eq!(all(&follower), all(&store));
        prop_assert_eq!(follower.at(), store.at());
    }
}

fn follow(follower: &mut RelayLog, store: &RelayLog) {
    let updates = store.after(follower.at());
    let at = store.at().unwrap();
    match updates.is_snapshot {
        true => follower.replace(at, updates.items),
        false => follower.apply(at, updates.items),
    };
}

#[test]
fn an_older_listing_is_ignored() {
    let mut log = RelayLog::default();
    log.replace(
        StoreRevision::from(9),
        vec![item(1, 5, Some(1)), item(2, 8, Some(2))],
    );
    let updates = log.replace(StoreRevision::from(6), vec![item(1, 5, Some(1))]);
    assert!(updates.is_empty());
    assert_eq!(log.after(None).items.len(), 2);
    let removed = log.replace(StoreRevision::from(12), vec![item(1, 5, Some(1))]);
    assert_eq!(removed, [item(2, 12, None)]);
}

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: name.parse().unwrap(),
        service: "desk".parse().unwrap(),
        started_at_ms: Some(1),
        sequence: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 6,
        is_draining: false,
        cold_remaining_ms: DurationMs(0),
    }
}

#[test]
fn a_removal_is_delayed_only_after_an_outage() {
    struct Case {
        name: &'static str,
        last_outage_at: Option<u64>,
        is_draining: bool,
        removed_at: u64,
        delisted_at: Option<u64>,
    }
    let case = |name, last_outage_at, is_draining, removed_at, delisted_at| Case {
        name,
        last_outage_at,
        is_draining,
        removed_at,
        delisted_at,
    };
    let cases = [
        case("no outage", None, false, 5_000, Some(5_000)),
        case(
            "long after an outage",
            Some(1_000),
            false,
            5_000,
            Some(5_000),
        ),
        case("just after an outage", Some(4_000), false, 5_000, None),
        case(
            "draining endpoint just after an outage",
            Some(4_000),
            true,
            5_000,
            Some(5_000),
        ),
    ];
    for case in cases {
        let mut state = StoreState::default();
        let mut record = record("i-1");
        record.is_draining = case.is_draining;
        let put = Some(StoreRecord::Endpoint(record));
        state.apply(MonotonicMs(0), "servers/i-1", StoreRevision::from(2), put);
        if let Some(at) = case.last_outage_at {
            state.note_outage(MonotonicMs(at));
        }
        let removed_at = MonotonicMs(case.removed_at);
        let change = state.apply(removed_at, "servers/i-1", StoreRevision::from(3), None);
        let is_removed = matches!(change, Some(StateChange::EndpointRemoved(_)));
        assert_eq!(is_removed, case.delisted_at.is_some(), "{}", case.name);
        if !is_removed {
            assert!(
                state.advance(MonotonicMs(6_400)).is_empty(),
                "{}",
                case.name
            );
            assert_eq!(state.advance(MonotonicMs(6_500)).len(), 1, "{}", case.name);
        }
        assert!(state.endpoints().is_empty(), "{}", case.name);
    }
}

#[test]
fn a_repeated_entry_does_not_restart_the_cold_start() {
    let mut state = StoreState::default();
    let cold = || {
        let mut record = record("i-1");
        record.cold_remaining_ms = DurationMs(3_000);
        Some(StoreRecord::Endpoint(record))
    };
    let until = |state: &StoreState| state.endpoints()[&"desk".parse().unwrap()][0].cold_until;
    state.apply(
        MonotonicMs(100),
        "servers/i-1",
        StoreRevision::from(2),
        cold(),
    );
    assert_eq!(until(&state), Some(MonotonicMs(3_100)));
    state.apply(
        MonotonicMs(2_000),
        "servers/i-1",
        StoreRevision::from(2),
        cold(),
    );
    assert_eq!(until(&state), Some(MonotonicMs(3_100)));
    state.apply(
        MonotonicMs(9_000),
        "servers/i-1",
        StoreRevision::from(5),
        cold(),
    );
    assert_eq!(until(&state), Some(MonotonicMs(12_000)));
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut state = StoreState::default();
    let offer = |state: &mut StoreState, version, revision| {
        let configuration = Configuration {
            version,
            ..Configuration::default()
        };
        let record = StoreRecord::Configuration(Box::new(configuration));
        let revision = StoreRevision::from(revision);
        state.apply(MonotonicMs(0), "op/config", revision, Some(record))
    };
    assert!(offer(&mut state, 7, 2).is_some());
    assert!(offer(&mut state, 5, 3).is_none());
    assert!(offer(&mut state, 9, 4).is_some());
    assert_eq!(state.table().map(|table| table.version()), Some(9));
}

/// A report in the entry of an endpoint: its start, number and whether it drains; `None` removes
/// the entry.
type Report = Option<(Option<u64>, u64, bool)>;

struct ReportCase {
    name: &'static str,
    reports: &'static [Report],
    /// Whether the endpoint is listed and accepts requests.
    accepts_requests: Option<bool>,
}

/// The store may complete a write seconds after a later one.
#[test]
fn late_report_of_an_endpoint_does_not_undo_a_later_one() {
    let cases = [
        ReportCase {
            name: "ready, then draining",
            reports: &[Some((Some(5), 8, false)), Some((Some(5), 9, true))],
            accepts_requests: Some(false),
        },
        ReportCase {
            name: "the ready report is written last",
            reports: &[Some((Some(5), 9, true)), Some((Some(5), 8, false))],
            accepts_requests: Some(false),
        },
        ReportCase {
            name: "ready again in a later report",
            reports: &[Some((Some(5), 9, true)), Some((Some(5), 10, false))],
            accepts_requests: Some(true),
        },
        ReportCase {
            name: "a later report under a number that was ignored before",
            reports: &[
                Some((Some(5), 9, true)),
                Some((Some(5), 7, false)),
                Some((Some(5), 8, false)),
            ],
            accepts_requests: Some(false),
        },
        ReportCase {
            name: "another incarnation counts anew",
            reports: &[Some((Some(5), 9, true)), Some((Some(6), 1, false))],
            accepts_requests: Some(true),
        },
        ReportCase {
            name: "an earlier incarnation is written last",
            reports: &[Some((Some(6), 1, true)), Some((Some(5), 9, false))],
            accepts_requests: Some(false),
        },
        ReportCase {
            name: "an incarnation with an earlier clock goes on reporting",
            reports: &[
                Some((Some(6), 9, true)),
                Some((Some(5), 1, false)),
                Some((Some(5), 2, false)),
            ],
            accepts_requests: Some(true),
        },
        ReportCase {
            name: "an entry without a start is written last",
            reports: &[Some((Some(6), 1, true)), Some((None, 9, false))],
            accepts_requests: Some(false),
        },
        ReportCase {
            name: "an earlier report is written after the endpoint has left",
            reports: &[Some((Some(5), 9, true)), None, Some((Some(5), 8, false))],
            accepts_requests: None,
        },
        ReportCase {
            name: "the entry lapsed, and the endpoint goes on reporting",
            reports: &[Some((Some(5), 9, false)), None, Some((Some(5), 10, false))],
            accepts_requests: Some(true),
        },
    ];
    for case in cases {
        let mut state = StoreState::default();
        for (report, number) in case.reports.iter().zip(2..) {
            let record = report.map(|(started_at_ms, sequence, is_draining)| {
                StoreRecord::Endpoint(EndpointRecord {
                    started_at_ms,
                    sequence,
                    is_draining,
                    ..record("i-1")
                })
            });
            let revision = StoreRevision::from(number);
            state.apply(MonotonicMs(1_000), "servers/i-1", revision, record);
        }
        let endpoints = state.endpoints();
        let mut listed = endpoints.values().flatten();
        let accepts_requests = listed.next().map(|it| it.accepts_requests);
        assert_eq!(accepts_requests, case.accepts_requests, "{}", case.name);
    }
}
