//! Views of members are independent of the order in which records arrive.

use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs};
use celeryknot_fleet::membership::HeartbeatOutcome;
use celeryknot_fleet::readiness::Readiness;
use celeryknot_fleet::{FleetTiming, MemberInfo, MemberRecord, MemberState, Membership};
use proptest::prelude::*;

fn info(index: usize) -> MemberInfo {
    MemberInfo {
        name: format!("daemon-{index}").parse().expect("a valid name"),
        zone: "hkd-a".parse().expect("a valid zone"),
        peers_address: "127.0.0.1:7001".parse().expect("an address"),
        forwards_address: "127.0.0.1:7003".parse().expect("an address"),
    }
}

fn record(index: usize, incarnation: u64, sequence: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        info: info(index),
        incarnation: Incarnation(incarnation),
        sequence,
        state,
    }
}

fn membership() -> Membership {
    Membership::new(info(0), Incarnation(100), FleetTiming::default())
}

const STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Draining,
    MemberState::Dead,
];

fn any_record() -> impl Strategy<Value = MemberRecord> {
    (1..4_usize, 1..4_u64, 1..6_u64, 0..4_usize).prop_map(
        |(index, incarnation, sequence, state)| record(index, incarnation, sequence, STATES[state]),
    )
}

fn states(members: &Membership) -> Vec<(MemberName, Option<Incarnation>, MemberState)> {
    let view = members.view().into_iter();
    view.map(|m| (m.name, m.incarnation, m.state)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn view_is_independent_of_record_order(
        records in prop::collection::vec(any_record(), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..48),
    ) {
        let now = MonotonicMs(0);
        let mut in_order = membership();
        let mut shuffled = membership();
        for record in &records {
            in_order.merge(now, record);
        }
        for index in order {
            shuffled.merge(now, index.get(&records));
        }
        for record in records.iter().rev() {
            shuffled.merge(now, record);
        }
        prop_assert_eq!(states(&in_order), states(&shuffled));
        prop_assert_eq!(in_order.digest(), shuffled.digest());
    }

    #[test]
    fn member_refutes_any_claim_about_itself(
        incarnation in 1..200_u64,
        sequence in 1..1_000_u64,
        state in 0..4_usize,
    ) {
        let now = MonotonicMs(0);
        let mut members = membership();
        let claim = record(0, incarnation, sequence, STATES[state]);
        members.merge(now, &claim);
        // The refutation supersedes the claim at other members.
        let mut other = Membership::new(info(9), Incarnation(1), FleetTiming::default());
        other.merge(now, &claim);
        other.merge(now, members.own());
        let stored = other.record(&info(0).name).map(|r| (r.incarnation, r.state));
        prop_assert_eq!(stored, Some((Incarnation(100), MemberState::Alive)));
    }
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_superseded() {
    let now = MonotonicMs(0);
    let mut members = membership();
    members.merge(now, &record(1, 7, 5, MemberState::Alive));
    let outcome = members.apply_heartbeat(now, &record(1, 3, 1, MemberState::Alive));
    let stored = record(1, 7, 5, MemberState::Alive);
    assert_eq!(outcome, HeartbeatOutcome::Conflicting(stored));
}

#[test]
fn silent_member_is_suspected_and_then_declared_dead() {
    let timing = FleetTiming::default();
    let mut members = membership();
    let name = info(1).name;
    members.merge(MonotonicMs(0), &record(1, 7, 1, MemberState::Alive));
    let state = |members: &Membership| members.record(&name).map(|record| record.state);
    let neighbours = [name.clone()];
    members.tick(MonotonicMs(timing.suspect_after.0 - 1), &neighbours);
    assert_eq!(state(&members), Some(MemberState::Alive));
    members.tick(MonotonicMs(timing.suspect_after.0), &neighbours);
    assert_eq!(state(&members), Some(MemberState::Suspect));
    assert_eq!(
        members.duty_holders(MonotonicMs(0)).len(),
        2,
        "a suspected member lost its duties"
    );
    let dead_at = timing.suspect_after.0 + timing.dead_after.0;
    members.tick(MonotonicMs(dead_at), &neighbours);
    assert_eq!(state(&members), Some(MemberState::Dead));
    assert_eq!(members.duty_holders(MonotonicMs(dead_at)).len(), 1);
}

#[test]
fn members_are_not_suspected_for_silence_during_a_stall() {
    let mut members = membership();
    let name = info(1).name;
    members.merge(MonotonicMs(0), &record(1, 7, 1, MemberState::Alive));
    let resumed_at = MonotonicMs(60_000);
    members.observe_stall(resumed_at);
    assert!(
        members
            .tick(resumed_at, std::slice::from_ref(&name))
            .is_empty()
    );
}

#[test]
fn unreachable_peer_is_suspected_unless_contacted_recently() {
    let mut members = membership();
    let name = info(1).name;
    members.merge(MonotonicMs(0), &record(1, 7, 1, MemberState::Alive));
    assert_eq!(members.report_unreachable(MonotonicMs(500), &name), None);
    let suspected = record(1, 7, 1, MemberState::Suspect);
    let found = members.report_unreachable(MonotonicMs(1_500), &name);
    assert_eq!(found, Some(suspected));
}

#[test]
fn flapping_member_waits_longer_for_duties_each_time() {
    let mut members = membership();
    let mut waits = Vec::new();
    let mut now = MonotonicMs(0);
    for sequence in 1..6 {
        members.merge(now, &record(1, 7, sequence, MemberState::Alive));
        let start = now;
        while members.duty_holders(now).len() == 1 {
            now = now + DurationMs(100);
        }
        waits.push((now - start).0);
        members.merge(now, &record(1, 7, sequence, MemberState::Dead));
    }
    assert_eq!(waits, [0, 0, 4_000, 8_000, 16_000]);
}

#[test]
fn readiness_waits_for_a_list_that_includes_the_daemon() {
    struct Case {
        name: &'static str,
        after_ms: u64,
        is_listed: bool,
        is_ready: bool,
    }
    let cases = [
        Case {
            name: "listed",
            after_ms: 10,
            is_listed: true,
            is_ready: true,
        },
        Case {
            name: "a stale list",
            after_ms: 10,
            is_listed: false,
            is_ready: false,
        },
        Case {
            name: "not listed until the timeout",
            after_ms: 1_500,
            is_listed: false,
            is_ready: true,
        },
    ];
    for case in cases {
        let mut readiness = Readiness::new(MonotonicMs(0), DurationMs(1_500));
        readiness.note_platform_read();
        let is_ready = readiness.update(MonotonicMs(case.after_ms), false, case.is_listed);
        assert_eq!(is_ready, case.is_ready, "{}", case.name);
    }
}
