//! Tests refusals of calls with a ticket that were made without the issuer's registry.

use celeryknot_core::{DurationMs, ErrorKind, Execution, Refusal};

use super::without_registry_lookup;

struct Case {
    name: &'static str,
    refusal: Refusal,
    expected: Execution,
    retry_after_ms: Option<u64>,
}

#[test]
fn refusals_without_registry_lookup_leave_the_outcome_unknown() {
    let after = |kind, ms| Refusal::with_retry_after(kind, DurationMs(ms));
    let cases = [
        Case {
            name: "the entry daemon is not ready",
            refusal: after(ErrorKind::NotReady, 300),
            expected: Execution::Unknown,
            retry_after_ms: Some(300),
        },
        Case {
            name: "the entry daemon stalled",
            refusal: Refusal::new(ErrorKind::Paused),
            expected: Execution::Unknown,
            retry_after_ms: Some(1_000),
        },
        Case {
            name: "the deadline of this submission passed",
            refusal: Refusal::new(ErrorKind::DeadlinePast),
            expected: Execution::Unknown,
            retry_after_ms: Some(1_000),
        },
        Case {
            name: "the queue of the issuer was full",
            refusal: after(ErrorKind::QueueFull, 70),
            expected: Execution::NotRun,
            retry_after_ms: Some(70),
        },
    ];
    for case in cases {
        let corrected = without_registry_lookup(case.refusal);
        assert_eq!(
            corrected.kind.answer().execution,
            case.expected,
            "{}",
            case.name
        );
        let retry_after_ms = corrected.retry_after_ms.map(|after| after.0);
        assert_eq!(retry_after_ms, case.retry_after_ms, "{}", case.name);
    }
}
