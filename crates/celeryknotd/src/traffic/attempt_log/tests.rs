//! Tests which endpoints are retried, and in which order.

use celeryknot_core::{EndpointName, ErrorKind, Refusal};
use celeryknot_policy::attempt::CallSafety;

use super::AttemptLog;

struct Case {
    name: &'static str,
    /// Failures in order, with their endpoints.
    failures: &'static [(&'static str, ErrorKind)],
    /// Endpoints that become eligible for a retry in each round.
    rounds: &'static [&'static [&'static str]],
}

const CASES: [Case; 4] = [
    Case {
        name: "a busy endpoint is retried before a failed one",
        failures: &[
            ("odd-1", ErrorKind::OutcomeUnknown),
            ("service-1", ErrorKind::EndpointBusy),
        ],
        rounds: &[&["service-1"], &["odd-1"]],
    },
    Case {
        name: "an incomplete response ranks like a lost connection",
        failures: &[
            ("service-1", ErrorKind::EndpointBusy),
            ("odd-1", ErrorKind::AnswerIncomplete),
        ],
        rounds: &[&["service-1"], &["odd-1"]],
    },
    Case {
        name: "failed endpoints are retried if none was busy",
        failures: &[
            ("odd-1", ErrorKind::AnswerIncomplete),
            ("odd-2", ErrorKind::OutcomeUnknown),
        ],
        rounds: &[&["odd-1", "odd-2"]],
    },
    Case {
        name: "endpoints that refused or sent a mismatched response are not retried",
        failures: &[
            ("odd-1", ErrorKind::EndpointRefused),
            ("odd-2", ErrorKind::AnswerMismatched),
        ],
        rounds: &[],
    },
];

fn name(text: &str) -> EndpointName {
    text.parse().expect("test endpoint names are valid")
}

#[test]
fn busy_endpoints_are_retried_before_failed_ones() {
    for case in &CASES {
        let mut log = AttemptLog::new(CallSafety::Idempotent);
        for (endpoint, kind) in case.failures {
            let attempt = log
                .start_attempt()
                .expect("an idempotent request may be retried");
            log.record_failure(attempt, &name(endpoint), Refusal::new(*kind));
        }
        for round in case.rounds {
            assert!(log.start_last_round(), "{}", case.name);
            for (endpoint, _) in case.failures {
                let is_retriable = round.contains(endpoint);
                let is_excluded = log.excluded().contains(&name(endpoint));
                assert_eq!(is_retriable, !is_excluded, "{}: {endpoint}", case.name);
            }
            log.excluded
                .extend(round.iter().map(|endpoint| name(endpoint)));
        }
        assert!(!log.start_last_round(), "{}", case.name);
    }
}
