//! Assignment of duties: consistent, stable under changes, and safe with two holders.

use std::collections::BTreeSet;

use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointName, EndpointSummary, Incarnation, MemberName,
    MonotonicMs, Revision, ServiceName, ZoneName,
};
use celeryknot_fleet::MemberInfo;
use celeryknot_fleet::duties::{self, ReaderAssignment};
use celeryknot_fleet::settings_store::{MergeOutcome, SettingsStore, ValueRecord};
use celeryknot_fleet::summaries::{
    EndpointHash, Origin, ReceivedSummaries, Summaries, SummaryEntry, UpdateKind,
};

fn members(count: usize) -> Vec<MemberInfo> {
    (0..count)
        .map(|index| MemberInfo {
            name: format!("daemon-{index}").parse().expect("a valid name"),
            zone: format!("zone-{}", index % 3).parse().expect("a valid zone"),
            peers_address: "127.0.0.1:7001".parse().expect("an address"),
            forwards_address: "127.0.0.1:7003".parse().expect("an address"),
        })
        .collect()
}

fn endpoint(index: usize) -> EndpointName {
    format!("engine-{index}").parse().expect("a valid name")
}

fn zone(index: usize) -> ZoneName {
    format!("zone-{index}").parse().expect("a valid zone")
}

#[test]
fn endpoint_owner_is_in_its_zone_if_possible() {
    let all = members(9);
    let holders: Vec<&MemberInfo> = all.iter().collect();
    for index in 0..60 {
        let owner = duties::owner(&endpoint(index), &zone(index % 3), &holders).unwrap();
        let info = all.iter().find(|info| info.name == *owner).unwrap();
        assert_eq!(info.zone, zone(index % 3));
    }
    assert!(duties::owner(&endpoint(0), &zone(7), &holders).is_some());
    assert_eq!(duties::owner(&endpoint(0), &zone(0), &[]), None);
}

#[test]
fn removing_a_member_moves_only_its_endpoints() {
    let all = members(9);
    let before: Vec<&MemberInfo> = all.iter().collect();
    let after: Vec<&MemberInfo> = all.iter().skip(1).collect();
    for index in 0..200 {
        let owner = duties::owner(&endpoint(index), &zone(index % 3), &before);
        if owner != Some(&all[0].name) {
            let now = duties::owner(&endpoint(index), &zone(index % 3), &after);
            assert_eq!(owner, now, "engine-{index}");
        }
    }
}

#[test]
fn each_zone_has_the_configured_number_of_readers() {
    for count in [9, 64, 320] {
        let all = members(count);
        let holders: Vec<&MemberInfo> = all.iter().collect();
        let assignment =
            |info: &MemberInfo| duties::reader_assignment(&info.name, &info.zone, &holders, 3);
        let assignments: Vec<ReaderAssignment> = all.iter().filter_map(assignment).collect();
        assert!(
            assignments
                .iter()
                .all(|assignment| assignment.reader_count == 3),
            "{count} members"
        );
        let mut ranks: Vec<usize> = assignments
            .iter()
            .map(|assignment| assignment.rank)
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 0, 0, 1, 1, 1, 2, 2, 2], "{count} members");
    }
}

#[test]
fn readers_of_a_zone_cover_all_replicas() {
    for reader_count in 1..5 {
        for replicas in 1..8 {
            let mut watched = BTreeSet::new();
            for rank in 0..reader_count {
                let assignment = ReaderAssignment { rank, reader_count };
                let replica_at = |empty_watches| assignment.replica(empty_watches, replicas);
                let replicas_watched: BTreeSet<usize> = (0..replicas).map(replica_at).collect();
                assert!(
                    replicas_watched.len() <= replicas.div_ceil(reader_count.min(replicas)),
                    "{reader_count} of {replicas}"
                );
                watched.extend(replicas_watched);
            }
            let all: BTreeSet<usize> = (0..replicas).collect();
            assert_eq!(watched, all, "{reader_count} readers, {replicas} replicas");
        }
    }
}

#[test]
fn reader_of_a_stale_replica_does_not_revert_values() {
    let value = |revision, text: &str| ValueRecord {
        path: "fleet/zones/zone-0".parse().expect("a valid path"),
        revision: Revision(revision),
        text: Some(text.into()),
    };
    let mut store = SettingsStore::new(|_, _| Ok(()));
    // Values from a stale replica arrive after those from a fresh one.
    assert_eq!(store.merge(&value(4, "new")), MergeOutcome::Accepted);
    assert_eq!(store.merge(&value(3, "old")), MergeOutcome::Stale);
    assert_eq!(store.merge(&value(4, "new")), MergeOutcome::Stale);
}

fn entry(sequence: u64, in_flight: u32) -> SummaryEntry {
    SummaryEntry {
        endpoint: EndpointHash::new(&endpoint(0)),
        sequence,
        summary: EndpointSummary {
            in_flight,
            condition: EndpointCondition::Warm,
            ..EndpointSummary::default()
        },
    }
}

#[test]
fn summary_of_the_assigned_owner_wins_until_stale() {
    let all = members(3);
    let (assigned, other) = (&all[0].name, &all[1].name);
    let mut summaries = Summaries::default();
    let mut receive_from = |now: u64, from: &MemberName, sequence: u64, in_flight: u32| {
        let origin = Origin {
            name: from.clone(),
            incarnation: Incarnation(1),
        };
        let received = ReceivedSummaries {
            from,
            origin: &origin,
            entries: &[entry(sequence, in_flight)],
            update_kind: UpdateKind::Change,
        };
        summaries.receive(MonotonicMs(now), &received, |_| from == assigned, &[]);
        let age_max = DurationMs(10_000);
        let seen = summaries.get(&endpoint(0), MonotonicMs(now), age_max);
        seen.map(|summary| summary.in_flight)
    };
    assert_eq!(receive_from(0, other, 50, 9), Some(9), "the only summary");
    assert_eq!(receive_from(10, assigned, 1, 4), Some(4));
    assert_eq!(
        receive_from(20, other, 51, 9),
        Some(4),
        "a summary from the other owner"
    );
    assert_eq!(
        receive_from(30, assigned, 1, 7),
        Some(4),
        "a repeated sequence number"
    );
    assert_eq!(
        receive_from(5_000, other, 52, 9),
        Some(9),
        "the assigned owner's summary is stale"
    );
}

#[test]
fn removing_the_orders_holder_selects_another_one() {
    let all = members(9);
    let holders: Vec<&MemberInfo> = all.iter().collect();
    let service: ServiceName = "wakai-llm".parse().unwrap();
    let holder = duties::orders_holder(&service, &holders).unwrap();
    let rest: Vec<&MemberInfo> = all.iter().filter(|info| info.name != *holder).collect();
    assert!(duties::orders_holder(&service, &rest).is_some_and(|next| next != holder));
}
