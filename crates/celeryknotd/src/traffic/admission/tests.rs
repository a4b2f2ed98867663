//! Tests which summary counts as the load of an endpoint.

use celeryknot_core::{EndpointSummary, MemberName};

use super::effective_summary;
use crate::snapshot::EndpointSnapshot;

struct Case {
    name: &'static str,
    owner: Option<&'static str>,
    reported: Option<u32>,
    local: Option<u32>,
    expected: Option<u32>,
}

fn summary(in_flight: u32) -> EndpointSummary {
    EndpointSummary {
        in_flight,
        ..EndpointSummary::default()
    }
}

#[test]
fn only_the_owner_uses_its_local_summary() {
    let own_name: MemberName = "daemon-1".parse().unwrap();
    let cases = [
        Case {
            name: "owner with a local summary",
            owner: Some("daemon-1"),
            reported: Some(7),
            local: Some(9),
            expected: Some(9),
        },
        Case {
            name: "owner without a local summary yet",
            owner: Some("daemon-1"),
            reported: Some(7),
            local: None,
            expected: Some(7),
        },
        Case {
            name: "former owner",
            owner: Some("daemon-2"),
            reported: Some(7),
            local: Some(0),
            expected: Some(7),
        },
        Case {
            name: "former owner whose successor has reported nothing",
            owner: Some("daemon-2"),
            reported: None,
            local: Some(0),
            expected: None,
        },
    ];
    for case in cases {
        let endpoint = EndpointSnapshot {
            name: "engine-1".parse().unwrap(),
            zone: "hkd-a".parse().unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            owner: case.owner.map(|owner| owner.parse().unwrap()),
            accepts_requests: true,
            summary: case.reported.map(summary),
        };
        let effective = effective_summary(&endpoint, &own_name, case.local.map(summary));
        assert_eq!(
            effective.map(|summary| summary.in_flight),
            case.expected,
            "{}",
            case.name
        );
    }
}
