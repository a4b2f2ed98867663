//! The checker finds each kind of violation and reports nothing for a correct history.

use celeryknot_core::Execution;
use celeryknot_faults::check::{Violation, check_history};
use celeryknot_faults::history::{
    BookingKey, BookingOutcome, HistoryEvent, RequestOutcome, RunMicros,
};

struct Case {
    name: &'static str,
    events: Vec<HistoryEvent>,
    violations: Vec<Violation>,
}

fn submitted(from: i64, until: i64, outcome: BookingOutcome) -> HistoryEvent {
    HistoryEvent::Submitted {
        key: BookingKey("slot-1".to_owned()),
        called_at: RunMicros(from),
        returned_at: RunMicros(until),
        outcome,
    }
}

fn executed(booking: u64, at: i64) -> HistoryEvent {
    HistoryEvent::Executed {
        key: BookingKey("slot-1".to_owned()),
        booking,
        at: RunMicros(at),
    }
}

fn refused(execution: Execution) -> BookingOutcome {
    BookingOutcome::Refused {
        execution,
        code: "queue-full".to_owned(),
    }
}

const fn done(booking: u64) -> BookingOutcome {
    BookingOutcome::Done { booking }
}

fn requested(outcome: RequestOutcome) -> HistoryEvent {
    HistoryEvent::Requested {
        request: "chat-1".to_owned(),
        outcome,
    }
}

fn work_started(at: i64) -> HistoryEvent {
    HistoryEvent::WorkStarted {
        endpoint: "engine-1".to_owned(),
        at: RunMicros(at),
    }
}

fn withdrawn(from: i64, until: i64) -> HistoryEvent {
    HistoryEvent::Withdrawn {
        endpoint: "engine-1".to_owned(),
        from: RunMicros(from),
        until: RunMicros(until),
    }
}

fn booking_cases() -> Vec<Case> {
    vec![
        Case {
            name: "one submission that was run",
            events: vec![submitted(0, 10, done(7)), executed(7, 5)],
            violations: vec![],
        },
        Case {
            name: "a booking that was run with an unknown outcome, confirmed by a second submission",
            events: vec![
                submitted(0, 10, refused(Execution::Unknown)),
                executed(7, 5),
                submitted(20, 30, done(7)),
            ],
            violations: vec![],
        },
        Case {
            name: "a refusal before a submission that was run",
            events: vec![
                submitted(0, 10, refused(Execution::NotRun)),
                submitted(20, 30, done(7)),
                executed(7, 25),
            ],
            violations: vec![],
        },
        Case {
            name: "two executions",
            events: vec![submitted(0, 10, done(7)), executed(7, 5), executed(8, 25)],
            violations: vec![Violation::DoubledBooking, Violation::NotLinearizable],
        },
        Case {
            name: "a submission that was refused as not-run and run later",
            events: vec![
                submitted(0, 10, refused(Execution::NotRun)),
                executed(7, 50),
            ],
            violations: vec![Violation::FalselyRefused],
        },
        Case {
            name: "a refusal as not-run after an earlier submission was run",
            events: vec![
                submitted(0, 10, done(7)),
                executed(7, 5),
                submitted(20, 30, refused(Execution::NotRun)),
            ],
            violations: vec![Violation::NotLinearizable],
        },
        Case {
            name: "a confirmation of a booking that no endpoint ran",
            events: vec![submitted(0, 10, done(7))],
            violations: vec![Violation::LostBooking, Violation::NotLinearizable],
        },
    ]
}

fn other_cases() -> Vec<Case> {
    vec![
        Case {
            name: "complete responses and refusals",
            events: vec![
                requested(RequestOutcome::Complete),
                requested(RequestOutcome::Refused),
            ],
            violations: vec![],
        },
        Case {
            name: "a truncated response",
            events: vec![requested(RequestOutcome::Truncated)],
            violations: vec![Violation::Truncated],
        },
        Case {
            name: "a response to another request",
            events: vec![requested(RequestOutcome::CrossDelivered)],
            violations: vec![Violation::CrossDelivered],
        },
        Case {
            name: "requests within the lag after the withdrawal and after its end",
            events: vec![
                withdrawn(0, 20_000_000),
                work_started(1_900_000),
                work_started(21_000_000),
            ],
            violations: vec![],
        },
        Case {
            name: "a request after the lag of the withdrawal",
            events: vec![withdrawn(0, 20_000_000), work_started(2_100_000)],
            violations: vec![Violation::WorkAfterWithdrawal],
        },
    ]
}

#[test]
fn check_reports_each_violation() {
    for case in booking_cases().into_iter().chain(other_cases()) {
        let violations: Vec<Violation> = check_history(&case.events)
            .into_iter()
            .map(|finding| finding.fault)
            .collect();
        assert_eq!(violations, case.violations, "{}", case.name);
    }
}
