//! The checker finds each kind of broken promise, and nothing in a history that holds.

use celeryknot_core::Execution;
use celeryknot_faults::check::{Fault, check_history};
use celeryknot_faults::history::{AskOutcome, BookingAnswer, BookingKey, HistoryEvent, RunMicros};

struct Case {
    name: &'static str,
    events: Vec<HistoryEvent>,
    faults: Vec<Fault>,
}

fn submitted(from: i64, until: i64, answer: BookingAnswer) -> HistoryEvent {
    HistoryEvent::Submitted {
        key: BookingKey("slot-1".to_owned()),
        called_at: RunMicros(from),
        returned_at: RunMicros(until),
        answer,
    }
}

fn executed(booking: u64, at: i64) -> HistoryEvent {
    HistoryEvent::Executed {
        key: BookingKey("slot-1".to_owned()),
        booking,
        at: RunMicros(at),
    }
}

fn refused(execution: Execution) -> BookingAnswer {
    BookingAnswer::Refused {
        execution,
        code: "queue-full".to_owned(),
    }
}

const fn done(booking: u64) -> BookingAnswer {
    BookingAnswer::Done { booking }
}

fn asked(outcome: AskOutcome) -> HistoryEvent {
    HistoryEvent::Asked {
        request: "chat-1".to_owned(),
        outcome,
    }
}

fn work(at: i64) -> HistoryEvent {
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
            name: "one submission that is run",
            events: vec![submitted(0, 10, done(7)), executed(7, 5)],
            faults: vec![],
        },
        Case {
            name: "an unknown outcome that was run, learned by a second submission",
            events: vec![
                submitted(0, 10, refused(Execution::Unknown)),
                executed(7, 5),
                submitted(20, 30, done(7)),
            ],
            faults: vec![],
        },
        Case {
            name: "a refusal before the submission that is run",
            events: vec![
                submitted(0, 10, refused(Execution::NotRun)),
                submitted(20, 30, done(7)),
                executed(7, 25),
            ],
            faults: vec![],
        },
        Case {
            name: "two executions",
            events: vec![submitted(0, 10, done(7)), executed(7, 5), executed(8, 25)],
            faults: vec![Fault::DoubledBooking, Fault::NotLinearizable],
        },
        Case {
            name: "not-run of a submission that is run later",
            events: vec![
                submitted(0, 10, refused(Execution::NotRun)),
                executed(7, 50),
            ],
            faults: vec![Fault::FalselyRefused],
        },
        Case {
            name: "not-run after an earlier submission was run",
            events: vec![
                submitted(0, 10, done(7)),
                executed(7, 5),
                submitted(20, 30, refused(Execution::NotRun)),
            ],
            faults: vec![Fault::NotLinearizable],
        },
        Case {
            name: "an answer that no endpoint gave",
            events: vec![submitted(0, 10, done(7))],
            faults: vec![Fault::LostBooking, Fault::NotLinearizable],
        },
    ]
}

fn other_cases() -> Vec<Case> {
    vec![
        Case {
            name: "whole answers and plain refusals",
            events: vec![asked(AskOutcome::Whole), asked(AskOutcome::Refused)],
            faults: vec![],
        },
        Case {
            name: "a truncated answer",
            events: vec![asked(AskOutcome::Truncated)],
            faults: vec![Fault::Truncated],
        },
        Case {
            name: "a crossed answer",
            events: vec![asked(AskOutcome::CrossDelivered)],
            faults: vec![Fault::CrossDelivered],
        },
        Case {
            name: "work soon after the withdrawal and after its end",
            events: vec![withdrawn(0, 20_000_000), work(1_900_000), work(21_000_000)],
            faults: vec![],
        },
        Case {
            name: "work long after the withdrawal",
            events: vec![withdrawn(0, 20_000_000), work(2_100_000)],
            faults: vec![Fault::WorkAfterWithdrawal],
        },
    ]
}

#[test]
fn finds_what_a_history_breaks() {
    for case in booking_cases().into_iter().chain(other_cases()) {
        let faults: Vec<Fault> = check_history(&case.events)
            .into_iter()
            .map(|finding| finding.fault)
            .collect();
        assert_eq!(faults, case.faults, "{}", case.name);
    }
}
