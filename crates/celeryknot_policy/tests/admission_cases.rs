//! Admission decisions in single cases.

#![allow(clippy::unwrap_used)]

use celeryknot_core::{DurationMs, EndpointCondition, ErrorKind, MonotonicMs, Refusal, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, AdmissionRequest, AdmissionRequestBuilder, Decision,
    EndpointAdmission, FIRST_REPORT_GRACE_MS, FinishOutcome, FinishStatus, ReportedLoad,
};
use celeryknot_policy::bound::ServiceLoad;

const T0: MonotonicMs = MonotonicMs(10_000);

fn limits() -> AdmissionLimits {
    AdmissionLimits::default()
        .with_in_flight_max(4)
        .with_cold_in_flight_max(2)
        .with_ramp_ms(DurationMs(1_000))
        .with_queue_len_max(8)
        .with_queue_wait_max_ms(DurationMs(4_000))
}

fn warm_report(in_flight: u32) -> ReportedLoad {
    ReportedLoad {
        in_flight,
        ..ReportedLoad::default()
    }
}

/// Returns an endpoint that is warm at `T0`.
fn warm(limits: AdmissionLimits) -> EndpointAdmission {
    let mut endpoint = EndpointAdmission::new(limits, MonotonicMs(0));
    endpoint.observe_load(MonotonicMs(0), warm_report(0));
    assert_eq!(endpoint.poll(T0), None);
    assert_eq!(endpoint.summary(T0).condition, EndpointCondition::Warm);
    endpoint
}

fn request(id: u64, customer: &str) -> AdmissionRequestBuilder {
    AdmissionRequest::builder(RequestId(id), customer.parse().unwrap()).cost_tokens(100)
}

fn fill(endpoint: &mut EndpointAdmission, count: u64) {
    for id in 0..count {
        let offered = endpoint.offer(T0, request(1_000 + id, "filler").build());
        assert_eq!(offered, Decision::Start);
    }
}

/// Records one request of 100 tokens that took `duration_ms`.
fn observe_duration(endpoint: &mut EndpointAdmission, duration_ms: u64) {
    let started_at = MonotonicMs(T0.0 - duration_ms);
    assert_eq!(
        endpoint.offer(started_at, request(999, "filler").build()),
        Decision::Start
    );
    let outcome = FinishOutcome::new(FinishStatus::Succeeded).with_answer(DurationMs(100), 50);
    endpoint.finish(T0, RequestId(999), outcome);
}

fn poll_all(endpoint: &mut EndpointAdmission, now: MonotonicMs) -> Vec<AdmissionAction> {
    std::iter::from_fn(|| endpoint.poll(now)).collect()
}

struct RefusalCase {
    name: &'static str,
    request: AdmissionRequestBuilder,
    expected: Option<ErrorKind>,
    retry_after_ms: Option<u64>,
}

#[test]
fn request_with_unreachable_deadline_or_shorter_wait_elsewhere_is_refused() {
    // Four slots, each request takes 2,000 ms: the wait for a slot is 500 ms.
    let cases = [
        RefusalCase {
            name: "no deadline",
            request: request(1, "otaru"),
            expected: None,
            retry_after_ms: None,
        },
        RefusalCase {
            name: "deadline passed",
            request: request(1, "otaru").deadline_at(T0),
            expected: Some(ErrorKind::DeadlinePast),
            retry_after_ms: None,
        },
        RefusalCase {
            name: "deadline before the first token",
            request: request(1, "otaru").deadline_at(T0 + DurationMs(400)),
            expected: Some(ErrorKind::DeadlineUnreachable),
            retry_after_ms: Some(200),
        },
        RefusalCase {
            name: "deadline after the first token",
            request: request(1, "otaru").deadline_at(T0 + DurationMs(650)),
            expected: None,
            retry_after_ms: None,
        },
        RefusalCase {
            name: "deadline for the complete response",
            request: request(1, "otaru")
                .deadline_at(T0 + DurationMs(2_400))
                .needs_complete_answer(true),
            expected: Some(ErrorKind::DeadlineUnreachable),
            retry_after_ms: Some(100),
        },
        RefusalCase {
            name: "shorter wait elsewhere",
            request: request(1, "otaru").alternative_wait_ms(DurationMs(300)),
            expected: Some(ErrorKind::EndpointBusy),
            retry_after_ms: Some(500),
        },
        RefusalCase {
            name: "longer wait elsewhere",
            request: request(1, "otaru").alternative_wait_ms(DurationMs(600)),
            expected: None,
            retry_after_ms: None,
        },
    ];
    for case in cases {
        let mut endpoint = warm(limits());
        observe_duration(&mut endpoint, 2_000);
        fill(&mut endpoint, 4);
        let decision = endpoint.offer(T0, case.request.build());
        let expected = match case.expected {
            None => Decision::Queued,
            Some(kind) => Decision::Refuse(Refusal {
                kind,
                retry_after_ms: case.retry_after_ms.map(DurationMs),
            }),
        };
        assert_eq!(decision, expected, "{}", case.name);
    }
}

#[test]
fn request_beyond_the_longest_wait_is_refused() {
    let mut endpoint = warm(limits().with_queue_len_max(100));
    observe_duration(&mut endpoint, 2_000);
    fill(&mut endpoint, 4);
    let mut refused = None;
    for id in 0..20 {
        if let Decision::Refuse(refusal) = endpoint.offer(T0, request(id, "otaru").build()) {
            refused = Some((id, refusal));
            break;
        }
    }
    // Eight waits of 500 ms add up to the longest wait of 4,000 ms.
    let expected = Refusal::with_retry_after(ErrorKind::QueueFull, DurationMs(500));
    assert_eq!(refused, Some((8, expected)));
}

#[test]
fn customer_cannot_exceed_its_share_of_the_queue() {
    let mut endpoint = warm(limits().with_queue_wait_max_ms(DurationMs(600_000)));
    fill(&mut endpoint, 4);
    let decisions: Vec<_> = (0..8)
        .map(|id| endpoint.offer(T0, request(id, "surging").build()))
        .collect();
    let queued = decisions
        .iter()
        .filter(|decision| **decision == Decision::Queued)
        .count();
    // Two active customers and capacity for a third one: a third of eight places, rounded up.
    assert_eq!(queued, 3);
    assert!(matches!(
        decisions[7],
        Decision::Refuse(Refusal {
            kind: ErrorKind::ShareExceeded,
            ..
        })
    ));
    assert_eq!(
        endpoint.offer(T0, request(50, "quiet").build()),
        Decision::Queued
    );
}

#[test]
fn full_queue_evicts_from_the_customer_furthest_above_its_share() {
    let mut endpoint = warm(
        limits()
            .with_queue_len_max(2)
            .with_queue_wait_max_ms(DurationMs(600_000)),
    );
    fill(&mut endpoint, 4);
    for (id, customer) in [(1, "surging"), (2, "filler")] {
        assert_eq!(
            endpoint.offer(T0, request(id, customer).build()),
            Decision::Queued
        );
    }
    let heavier = request(3, "quiet").weight(4.0).build();
    assert_eq!(endpoint.offer(T0, heavier), Decision::Queued);
    let actions = poll_all(&mut endpoint, T0);
    assert_eq!(actions.len(), 1);
    assert!(matches!(
        actions[0],
        AdmissionAction::Refuse(
            RequestId(1 | 2),
            Refusal {
                kind: ErrorKind::ShareExceeded,
                ..
            }
        )
    ));
    assert_eq!(endpoint.summary(T0).queued, 2);
}

#[test]
fn endpoint_that_turns_cold_starts_nothing_above_its_reported_bound() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 3);
    endpoint.observe_load(
        T0,
        ReportedLoad {
            in_flight: 3,
            is_cold: true,
            bound: Some(1),
            queued: 0,
            may_be_stale: false,
        },
    );
    assert_eq!(
        endpoint.offer(T0, request(1, "otaru").build()),
        Decision::Queued
    );
    for (ended, expected) in [(1_000, 0), (1_001, 0), (1_002, 1)] {
        endpoint.finish(
            T0,
            RequestId(ended),
            FinishOutcome::new(FinishStatus::Succeeded),
        );
        assert_eq!(poll_all(&mut endpoint, T0).len(), expected, "after {ended}");
    }
}

#[test]
fn stale_report_does_not_end_a_cold_start() {
    struct Case {
        name: &'static str,
        after_ms: u64,
        may_be_stale: bool,
        in_flight_max: u32,
    }
    let cases = [
        Case {
            name: "a polled report that may predate the cold start",
            after_ms: 900,
            may_be_stale: true,
            in_flight_max: 2,
        },
        Case {
            name: "a report that came with a response",
            after_ms: 900,
            may_be_stale: false,
            in_flight_max: 10,
        },
        Case {
            name: "a polled report too recent to predate the cold start",
            after_ms: 1_600,
            may_be_stale: true,
            in_flight_max: 10,
        },
    ];
    for case in cases {
        let mut endpoint = warm(limits().with_in_flight_max(10));
        let cold = ReportedLoad {
            is_cold: true,
            ..ReportedLoad::default()
        };
        endpoint.observe_load(T0, cold);
        let at = T0 + DurationMs(case.after_ms);
        let report = ReportedLoad {
            may_be_stale: case.may_be_stale,
            ..warm_report(0)
        };
        endpoint.observe_load(at, report);
        let later = at + DurationMs(5_000);
        assert_eq!(endpoint.poll(later), None);
        assert_eq!(
            endpoint.summary(later).in_flight_max,
            case.in_flight_max,
            "{}",
            case.name
        );
    }
}

#[test]
fn limit_ramps_up_after_a_cold_start() {
    let mut endpoint = EndpointAdmission::new(limits().with_in_flight_max(10), T0);
    endpoint.observe_load(
        T0,
        ReportedLoad {
            is_cold: true,
            ..ReportedLoad::default()
        },
    );
    assert_eq!(endpoint.summary(T0).in_flight_max, 2);
    endpoint.observe_load(T0, warm_report(0));
    for (after_ms, expected) in [(0, 2), (500, 6), (999, 9), (1_000, 10)] {
        let now = T0 + DurationMs(after_ms);
        assert_eq!(endpoint.poll(now), None);
        assert_eq!(
            endpoint.summary(now).in_flight_max,
            expected,
            "after {after_ms} ms"
        );
    }
}

#[test]
fn new_owner_waits_for_the_first_report_and_counts_requests_of_the_previous_owner() {
    let mut endpoint = EndpointAdmission::new(limits(), T0);
    assert_eq!(
        endpoint.offer(T0, request(1, "otaru").build()),
        Decision::Queued
    );
    let wakeup = endpoint.next_wakeup(T0);
    assert_eq!(wakeup, Some(T0 + FIRST_REPORT_GRACE_MS));
    endpoint.observe_load(T0, warm_report(4));
    assert_eq!(poll_all(&mut endpoint, T0), []);
    endpoint.observe_load(T0 + DurationMs(300), warm_report(3));
    let started = poll_all(&mut endpoint, T0 + DurationMs(300));
    assert_eq!(started, [AdmissionAction::Start(RequestId(1))]);
    assert_eq!(endpoint.summary(T0 + DurationMs(300)).in_flight, 4);
}

#[test]
fn endpoint_without_report_gets_the_cold_limit_after_the_grace_period() {
    let mut endpoint = EndpointAdmission::new(limits(), T0);
    for id in 1..=3 {
        assert_eq!(
            endpoint.offer(T0, request(id, "otaru").build()),
            Decision::Queued
        );
    }
    let now = T0 + FIRST_REPORT_GRACE_MS;
    assert_eq!(poll_all(&mut endpoint, now).len(), 2);
}

#[test]
fn zone_out_refuses_queued_requests_and_zone_in_ramps_up() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 4);
    assert_eq!(
        endpoint.offer(T0, request(1, "otaru").build()),
        Decision::Queued
    );
    endpoint.set_accepts_requests(false);
    let refused = AdmissionAction::Refuse(RequestId(1), Refusal::new(ErrorKind::NoEndpoint));
    assert_eq!(poll_all(&mut endpoint, T0), [refused]);
    let offered = endpoint.offer(T0, request(2, "otaru").build());
    assert_eq!(
        offered,
        Decision::Refuse(Refusal::new(ErrorKind::NoEndpoint))
    );
    for id in 1_000..1_004 {
        endpoint.finish(
            T0,
            RequestId(id),
            FinishOutcome::new(FinishStatus::Succeeded),
        );
    }
    endpoint.set_accepts_requests(true);
    assert_eq!(endpoint.poll(T0), None);
    assert_eq!(endpoint.summary(T0).condition, EndpointCondition::Ramping);
    assert_eq!(endpoint.summary(T0).in_flight_max, 2);
}

#[test]
fn stall_refuses_queued_requests_and_discards_the_last_report() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 4);
    let with_deadline = request(1, "otaru")
        .deadline_at(T0 + DurationMs(3_000))
        .build();
    assert_eq!(endpoint.offer(T0, with_deadline), Decision::Queued);
    assert_eq!(
        endpoint.offer(T0, request(2, "otaru").build()),
        Decision::Queued
    );
    let now = T0 + DurationMs(60_000);
    endpoint.observe_stall(now);
    let refuse = |id, kind| AdmissionAction::Refuse(RequestId(id), Refusal::new(kind));
    let expected = [
        refuse(1, ErrorKind::DeadlinePast),
        refuse(2, ErrorKind::Paused),
    ];
    assert_eq!(poll_all(&mut endpoint, now), expected);
    assert_eq!(endpoint.summary(now).condition, EndpointCondition::Cold);
    assert_eq!(endpoint.summary(now).in_flight_max, 0);
}

#[test]
fn refusal_by_the_endpoint_limits_it_for_one_second() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 3);
    endpoint.finish(
        T0,
        RequestId(1_000),
        FinishOutcome::new(FinishStatus::Refused),
    );
    assert_eq!(endpoint.summary(T0).in_flight_max, 2);
    let later = T0 + DurationMs(1_000);
    assert_eq!(endpoint.poll(later), None);
    assert_eq!(endpoint.summary(later).in_flight_max, 4);
}

#[test]
fn failed_connection_makes_the_endpoint_cold_and_stops_new_requests() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 1);
    endpoint.finish(
        T0,
        RequestId(1_000),
        FinishOutcome::new(FinishStatus::ConnectFailed),
    );
    assert_eq!(endpoint.summary(T0).condition, EndpointCondition::Cold);
    assert_eq!(endpoint.summary(T0).in_flight_max, 0);
}

#[test]
fn in_flight_limit_follows_the_mean_of_the_service() {
    let mut endpoint = warm(limits().with_in_flight_max(64));
    let load = |mean_in_flight, endpoint_count| ServiceLoad {
        endpoint_count,
        mean_in_flight,
        ..ServiceLoad::default()
    };
    for (mean, count, expected) in [(0.0, 10, 1), (8.0, 10, 11), (8.0, 1, 64), (100.0, 10, 64)] {
        endpoint.observe_service_load(T0, load(mean, count));
        let later = T0 + DurationMs(2_000);
        endpoint.observe_service_load(later, load(mean, count));
        assert_eq!(
            endpoint.summary(later).in_flight_max,
            expected,
            "mean {mean} of {count}"
        );
    }
}

#[test]
fn urgent_request_starts_before_others_of_its_customer() {
    let mut endpoint = warm(limits());
    fill(&mut endpoint, 4);
    for (id, urgency) in [(1, 3), (2, 0)] {
        let offered = endpoint.offer(T0, request(id, "otaru").urgency(urgency).build());
        assert_eq!(offered, Decision::Queued);
    }
    endpoint.finish(
        T0,
        RequestId(1_000),
        FinishOutcome::new(FinishStatus::Succeeded),
    );
    assert_eq!(
        endpoint.poll(T0),
        Some(AdmissionAction::Start(RequestId(2)))
    );
}
