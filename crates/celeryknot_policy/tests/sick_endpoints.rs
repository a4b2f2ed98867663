//! Sick endpoints are found, bounded in number and probed back in.

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use celeryknot_policy::health::{
    EndpointHealth, HealthEvidence, HealthState, SICK_MAX_MS, SickQuota, SickReason,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ANY: SickQuota = SickQuota {
    sick_max: 1,
    others: 0,
    others_before: 0,
};

fn answered(ms: u64) -> HealthEvidence {
    HealthEvidence::Answered {
        first_byte_ms: DurationMs(ms),
    }
}

struct EvidenceCase {
    name: &'static str,
    evidence: Vec<HealthEvidence>,
    expected: Option<SickReason>,
}

#[test]
fn evidence_makes_an_endpoint_sick() {
    use HealthEvidence::{Failed, Silent};
    let mixed = |bad: usize, good: usize| [vec![Failed; bad], vec![answered(100); good]].concat();
    let cases = [
        EvidenceCase {
            name: "good answers",
            evidence: vec![answered(100); 50],
            expected: None,
        },
        EvidenceCase {
            name: "two without an answer",
            evidence: vec![Silent; 2],
            expected: None,
        },
        EvidenceCase {
            name: "three without an answer",
            evidence: vec![Silent; 3],
            expected: Some(SickReason::Silent),
        },
        EvidenceCase {
            name: "few failures",
            evidence: mixed(4, 0),
            expected: None,
        },
        EvidenceCase {
            name: "half failed",
            evidence: mixed(10, 10),
            expected: Some(SickReason::Failing),
        },
        EvidenceCase {
            name: "less than half failed",
            evidence: mixed(9, 11),
            expected: None,
        },
        EvidenceCase {
            name: "failures long ago",
            evidence: mixed(10, 20),
            expected: None,
        },
        EvidenceCase {
            name: "slow",
            evidence: vec![answered(1_000); 10],
            expected: Some(SickReason::Slow),
        },
        EvidenceCase {
            name: "a bit slow",
            evidence: vec![answered(550); 10],
            expected: None,
        },
        EvidenceCase {
            name: "slow a few times",
            evidence: vec![answered(1_000); 9],
            expected: None,
        },
    ];
    for case in cases {
        let mut health = EndpointHealth::new();
        health.set_peers_first_byte_ms(Some(DurationMs(200)));
        for evidence in case.evidence {
            health.observe(MonotonicMs(0), evidence);
        }
        health.advance(MonotonicMs(0), &ANY);
        assert_eq!(health.reason(), case.expected, "{}", case.name);
        let is_sick = health.state() == HealthState::Sick;
        assert_eq!(is_sick, case.expected.is_some(), "{}", case.name);
    }
}

#[test]
fn failed_probes_double_the_time_up_to_its_most() {
    let mut health = EndpointHealth::new();
    (0..3).for_each(|_| health.observe(MonotonicMs(0), HealthEvidence::Silent));
    assert_eq!(
        health.advance(MonotonicMs(0), &ANY),
        Some(HealthState::Sick)
    );
    let mut now = MonotonicMs(0);
    let mut waits_ms = Vec::new();
    for _ in 0..6 {
        let wakeup = health.next_wakeup().unwrap_or(now);
        waits_ms.push((wakeup - now).0);
        now = wakeup;
        assert_eq!(health.advance(now, &ANY), Some(HealthState::Probing));
        health.observe(now, answered(10));
        health.observe(now, HealthEvidence::Failed);
        assert_eq!(health.advance(now, &ANY), Some(HealthState::Sick));
    }
    assert_eq!(
        waits_ms,
        [2_000, 4_000, 8_000, 16_000, SICK_MAX_MS.0, SICK_MAX_MS.0]
    );
}

#[test]
fn endpoint_above_the_quota_keeps_its_work() {
    let full = SickQuota {
        sick_max: 3,
        others: 3,
        others_before: 1,
    };
    let mut health = EndpointHealth::new();
    (0..20).for_each(|_| health.observe(MonotonicMs(0), HealthEvidence::Failed));
    assert_eq!(health.advance(MonotonicMs(0), &full), None);
    assert_eq!(health.state(), HealthState::Healthy);
}

#[test]
fn owners_that_decided_at_the_same_moment_settle() {
    let sick = EndpointSummary {
        condition: EndpointCondition::Sick,
        ..EndpointSummary::default()
    };
    let summaries = [Some(&sick); 10];
    let staying = (0..10)
        .filter(|own| SickQuota::new(30, *own, summaries.iter().copied()).allows_own())
        .count();
    assert_eq!(staying, 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_more_than_the_quota_are_sick(
        events in proptest::collection::vec((0..10usize, 0..3u8, 0..2_000u64), 0..400),
        percent in 0..100u32,
    ) {
        let mut endpoints = vec![EndpointHealth::new(); 10];
        let mut now = MonotonicMs(0);
        for (own, kind, ms) in events {
            now = now + DurationMs(ms);
            let evidence = match kind {
                0 => answered(50),
                1 => HealthEvidence::Failed,
                _ => HealthEvidence::Silent,
            };
            endpoints[own].observe(now, evidence);
            let summaries: Vec<_> = endpoints
                .iter()
                .map(|held| EndpointSummary {
                    condition: match held.state() {
                        HealthState::Healthy => EndpointCondition::Warm,
                        HealthState::Sick | HealthState::Probing => EndpointCondition::Sick,
                    },
                    ..EndpointSummary::default()
                })
                .collect();
            let quota = SickQuota::new(percent, own, summaries.iter().map(Some));
            endpoints[own].advance(now, &quota);
            let sick = endpoints.iter().filter(|held| held.state() != HealthState::Healthy).count();
            prop_assert!(sick as u32 <= 10 * percent / 100);
        }
    }
}
