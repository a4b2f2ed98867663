//! Unhealthy endpoints are ejected, limited in number and readmitted after successful probes.

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use celeryknot_policy::health::{
    EJECTION_TIME_MAX, EjectionQuota, EjectionReason, EndpointHealth, HealthEvidence, HealthState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OPEN_QUOTA: EjectionQuota = EjectionQuota {
    ejected_max: 1,
    others_ejected: 0,
    others_ejected_before: 0,
};

fn answered(ms: u64) -> HealthEvidence {
    HealthEvidence::Answered {
        first_byte_ms: DurationMs(ms),
    }
}

struct EvidenceCase {
    name: &'static str,
    evidence: Vec<HealthEvidence>,
    expected: Option<EjectionReason>,
}

#[test]
fn evidence_ejects_an_endpoint() {
    use HealthEvidence::{Failed, Unanswered};
    let mixed = |failed: usize, succeeded: usize| {
        [vec![Failed; failed], vec![answered(100); succeeded]].concat()
    };
    let cases = [
        EvidenceCase {
            name: "successes",
            evidence: vec![answered(100); 50],
            expected: None,
        },
        EvidenceCase {
            name: "two without a response",
            evidence: vec![Unanswered; 2],
            expected: None,
        },
        EvidenceCase {
            name: "three without a response",
            evidence: vec![Unanswered; 3],
            expected: Some(EjectionReason::Silent),
        },
        EvidenceCase {
            name: "few failures",
            evidence: mixed(4, 0),
            expected: None,
        },
        EvidenceCase {
            name: "half of the requests failed",
            evidence: mixed(10, 10),
            expected: Some(EjectionReason::Failing),
        },
        EvidenceCase {
            name: "less than half of the requests failed",
            evidence: mixed(9, 11),
            expected: None,
        },
        EvidenceCase {
            name: "failures outside the window",
            evidence: mixed(10, 20),
            expected: None,
        },
        EvidenceCase {
            name: "slow",
            evidence: vec![answered(1_000); 10],
            expected: Some(EjectionReason::Slow),
        },
        EvidenceCase {
            name: "slower than its peers within the margin",
            evidence: vec![answered(550); 10],
            expected: None,
        },
        EvidenceCase {
            name: "slow with too few samples",
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
        health.advance(MonotonicMs(0), &OPEN_QUOTA);
        assert_eq!(health.reason(), case.expected, "{}", case.name);
        let is_ejected = health.state() == HealthState::Unhealthy;
        assert_eq!(is_ejected, case.expected.is_some(), "{}", case.name);
    }
}

#[test]
fn failed_probes_double_the_ejection_time_up_to_its_maximum() {
    let mut health = EndpointHealth::new();
    (0..3).for_each(|_| health.observe(MonotonicMs(0), HealthEvidence::Unanswered));
    assert_eq!(
        health.advance(MonotonicMs(0), &OPEN_QUOTA),
        Some(HealthState::Unhealthy)
    );
    let mut now = MonotonicMs(0);
    let mut ejections_ms = Vec::new();
    for _ in 0..6 {
        let wakeup = health.next_wakeup().unwrap_or(now);
        ejections_ms.push((wakeup - now).0);
        now = wakeup;
        assert_eq!(health.advance(now, &OPEN_QUOTA), Some(HealthState::Probing));
        health.observe(now, answered(10));
        health.observe(now, HealthEvidence::Failed);
        assert_eq!(
            health.advance(now, &OPEN_QUOTA),
            Some(HealthState::Unhealthy)
        );
    }
    assert_eq!(
        ejections_ms,
        [
            2_000,
            4_000,
            8_000,
            16_000,
            EJECTION_TIME_MAX.0,
            EJECTION_TIME_MAX.0
        ]
    );
}

#[test]
fn endpoint_above_the_quota_is_not_ejected() {
    let exhausted_quota = EjectionQuota {
        ejected_max: 3,
        others_ejected: 3,
        others_ejected_before: 1,
    };
    let mut health = EndpointHealth::new();
    (0..20).for_each(|_| health.observe(MonotonicMs(0), HealthEvidence::Failed));
    assert_eq!(health.advance(MonotonicMs(0), &exhausted_quota), None);
    assert_eq!(health.state(), HealthState::Healthy);
}

#[test]
fn simultaneous_ejections_shrink_to_the_quota() {
    let unhealthy = EndpointSummary {
        condition: EndpointCondition::Unhealthy,
        ..EndpointSummary::default()
    };
    let summaries = [Some(&unhealthy); 10];
    let staying_ejected = (0..10)
        .filter(|own| EjectionQuota::new(30, *own, summaries.iter().copied()).allows_own_ejection())
        .count();
    assert_eq!(staying_ejected, 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn ejected_endpoints_never_exceed_the_quota(
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
                _ => HealthEvidence::Unanswered,
            };
            endpoints[own].observe(now, evidence);
            let summaries: Vec<_> = endpoints
                .iter()
                .map(|health| EndpointSummary {
                    condition: match health.state() {
                        HealthState::Healthy => EndpointCondition::Warm,
                        HealthState::Unhealthy | HealthState::Probing => EndpointCondition::Unhealthy,
                    },
                    ..EndpointSummary::default()
                })
                .collect();
            let quota = EjectionQuota::new(percent, own, summaries.iter().map(Some));
            endpoints[own].advance(now, &quota);
            let ejected =
                endpoints.iter().filter(|health| health.state() != HealthState::Healthy).count();
            prop_assert!(ejected as u32 <= 10 * percent / 100);
        }
    }
}
