//! Which endpoints get another chance, and in which order.

use celeryknot_core::{EndpointName, ErrorKind, Refusal};
use celeryknot_policy::attempt::CallSafety;

use super::AttemptLog;

struct Case {
    name: &'static str,
    /// Failures in their order, with the endpoint.
    failures: &'static [(&'static str, ErrorKind)],
    /// Endpoints that each further round lets the request try again.
    rounds: &'static [&'static [&'static str]],
}

const CASES: [Case; 4] = [
    Case {
        name: "a busy endpoint goes before one that failed",
        failures: &[
            ("odd-1", ErrorKind::OutcomeUnknown),
            ("service-1", ErrorKind::EndpointBusy),
        ],
        rounds: &[&["service-1"], &["odd-1"]],
    },
    Case {
        name: "a broken answer is no better than a lost one",
        failures: &[
            ("service-1", ErrorKind::EndpointBusy),
            ("odd-1", ErrorKind::AnswerIncomplete),
        ],
        rounds: &[&["service-1"], &["odd-1"]],
    },
    Case {
        name: "endpoints that failed are asked again where none was busy",
        failures: &[
            ("odd-1", ErrorKind::AnswerIncomplete),
            ("odd-2", ErrorKind::OutcomeUnknown),
        ],
        rounds: &[&["odd-1", "odd-2"]],
    },
    Case {
        name: "what refused or answered wrongly is not asked again",
        failures: &[
            ("odd-1", ErrorKind::EndpointRefused),
            ("odd-2", ErrorKind::AnswerMismatched),
        ],
        rounds: &[],
    },
];

fn name(text: &str) -> EndpointName {
    text.parse().expect("the name of a test endpoint is valid")
}

#[test]
fn busy_endpoints_are_tried_before_ones_that_failed() {
    for case in &CASES {
        let mut log = AttemptLog::new(CallSafety::Idempotent);
        for (endpoint, kind) in case.failures {
            let attempt = log.start_attempt().expect("a read may be tried again");
            log.note_failure(attempt, &name(endpoint), Refusal::new(*kind));
        }
        for round in case.rounds {
            assert!(log.start_last_round(), "{}", case.name);
            for (endpoint, _) in case.failures {
                let is_again = round.contains(endpoint);
                let is_excluded = log.excluded().contains(&name(endpoint));
                assert_eq!(is_again, !is_excluded, "{}: {endpoint}", case.name);
            }
            log.excluded.extend(round.iter().map(|it| name(it)));
        }
        assert!(!log.start_last_round(), "{}", case.name);
    }
}
