//! Attempts and submissions over all orders of events.

use celeryknot_core::{ErrorKind, Execution};
use celeryknot_policy::attempt::{
    Attempt, AttemptEvent, AttemptIndex, AttemptState, CallSafety, Judgement, StartError,
    Submission,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

/// Longest order of events that is tried exhaustively.
const ORDER_LEN: usize = 4;

/// All orders of up to `ORDER_LEN` events.
fn orders() -> impl Iterator<Item = Vec<AttemptEvent>> {
    let events: Vec<_> = AttemptEvent::iter().collect();
    let base = events.len();
    (0..=ORDER_LEN).flat_map(move |len| {
        let events = events.clone();
        (0..base.pow(len as u32)).map(move |number| {
            let digit = |at: usize| events[number / base.pow(at as u32) % base];
            (0..len).map(digit).collect()
        })
    })
}

fn has_sent(order: &[AttemptEvent]) -> bool {
    order.contains(&AttemptEvent::SendStarted)
}

#[test]
fn not_run_is_said_only_before_the_first_byte_or_by_the_endpoint() {
    for order in orders() {
        let mut attempt = Attempt::new();
        order.iter().for_each(|event| {
            attempt.apply(*event);
        });
        if attempt.judge().execution() != Execution::NotRun {
            continue;
        }
        let endpoint_said_so = attempt.state() == AttemptState::KnownNotRun;
        assert!(!has_sent(&order) || endpoint_said_so, "{order:?}");
        if endpoint_said_so {
            let said_at = order
                .iter()
                .position(|event| *event == AttemptEvent::EndpointRefused);
            let head_at = order
                .iter()
                .position(|event| *event == AttemptEvent::HeadReceived);
            assert!(said_at.is_some(), "{order:?}");
            assert!(head_at.is_none_or(|head| Some(head) > said_at), "{order:?}");
        }
    }
}

#[test]
fn answered_is_said_only_after_a_whole_answer() {
    for order in orders() {
        let mut attempt = Attempt::new();
        order.iter().for_each(|event| {
            attempt.apply(*event);
        });
        if attempt.judge() == Judgement::Answered {
            assert!(order.contains(&AttemptEvent::AnswerCompleted), "{order:?}");
        }
    }
}

#[test]
fn attempt_never_gets_safer_once_bytes_may_have_been_sent() {
    for order in orders() {
        let mut attempt = Attempt::new();
        let mut may_have_run = false;
        for event in &order {
            attempt.apply(*event);
            match attempt.state() {
                AttemptState::NotSent => assert!(!may_have_run, "{order:?}"),
                AttemptState::MaybeSent | AttemptState::Answered => may_have_run = true,
                AttemptState::KnownNotRun => {}
            }
        }
    }
}

#[test]
fn last_word_stands() {
    for order in orders() {
        let mut attempt = Attempt::new();
        let mut first_word: Option<(AttemptState, Judgement)> = None;
        for event in &order {
            attempt.apply(*event);
            let word = (attempt.state(), attempt.judge());
            match first_word {
                Some(held) if *event != AttemptEvent::SendStarted => {
                    assert_eq!(held, word, "{order:?}")
                }
                Some(_) | None => {}
            }
            if attempt.has_ended() {
                first_word = Some(word);
            }
        }
    }
}

struct JudgementCase {
    name: &'static str,
    events: &'static [AttemptEvent],
    kind: ErrorKind,
    execution: Execution,
    retried_when_non_idempotent: bool,
}

#[test]
fn judges_attempts() {
    use AttemptEvent as E;
    let cases = [
        JudgementCase {
            name: "no connection",
            events: &[E::ConnectFailed],
            kind: ErrorKind::ConnectFailed,
            execution: Execution::NotRun,
            retried_when_non_idempotent: true,
        },
        JudgementCase {
            name: "paused before the send",
            events: &[E::Paused],
            kind: ErrorKind::Paused,
            execution: Execution::NotRun,
            retried_when_non_idempotent: true,
        },
        JudgementCase {
            name: "lost after the send",
            events: &[E::SendStarted, E::ConnectionLost],
            kind: ErrorKind::OutcomeUnknown,
            execution: Execution::Unknown,
            retried_when_non_idempotent: false,
        },
        JudgementCase {
            name: "refused by the endpoint",
            events: &[E::SendStarted, E::EndpointRefused],
            kind: ErrorKind::EndpointRefused,
            execution: Execution::NotRun,
            retried_when_non_idempotent: true,
        },
        JudgementCase {
            name: "refused after a head",
            events: &[E::SendStarted, E::HeadReceived, E::EndpointRefused],
            kind: ErrorKind::AnswerMismatched,
            execution: Execution::Unknown,
            retried_when_non_idempotent: false,
        },
        JudgementCase {
            name: "timed out after the send",
            events: &[E::SendStarted, E::TimedOut],
            kind: ErrorKind::AnswerTimeout,
            execution: Execution::Unknown,
            retried_when_non_idempotent: false,
        },
        JudgementCase {
            name: "answer too large",
            events: &[E::SendStarted, E::HeadReceived, E::AnswerTooLarge],
            kind: ErrorKind::AnswerTooLarge,
            execution: Execution::Run,
            retried_when_non_idempotent: false,
        },
        JudgementCase {
            name: "late refusal after a lost connection",
            events: &[E::SendStarted, E::ConnectionLost, E::EndpointRefused],
            kind: ErrorKind::OutcomeUnknown,
            execution: Execution::Unknown,
            retried_when_non_idempotent: false,
        },
    ];
    for case in cases {
        let mut submission = Submission::new(CallSafety::NonIdempotent);
        let Ok(attempt) = submission.start_attempt() else {
            panic!("{}: the first attempt is always safe", case.name);
        };
        case.events.iter().for_each(|event| {
            submission.apply(attempt, *event);
        });
        let expected = Judgement::Failed {
            kind: case.kind,
            execution: case.execution,
        };
        assert_eq!(submission.judge(), expected, "{}", case.name);
        let may_retry = submission.may_retry();
        assert_eq!(may_retry, case.retried_when_non_idempotent, "{}", case.name);
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Start,
    Send(usize),
    Event(usize, AttemptEvent),
}

fn steps() -> impl Strategy<Value = Step> {
    let events: Vec<_> = AttemptEvent::iter()
        .filter(|event| *event != AttemptEvent::SendStarted)
        .collect();
    prop_oneof![
        2 => Just(Step::Start),
        3 => (0..4usize).prop_map(Step::Send),
        3 => (0..4usize, proptest::sample::select(events)).prop_map(|(at, event)| Step::Event(at, event)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn non_idempotent_request_is_never_sent_twice(steps in proptest::collection::vec(steps(), 0..30)) {
        let mut submission = Submission::new(CallSafety::NonIdempotent);
        let mut attempts: Vec<AttemptIndex> = Vec::new();
        // Attempts that were sent and of which the endpoint did not say that it refused them.
        let mut may_have_run = std::collections::BTreeSet::new();
        for step in steps {
            match step {
                Step::Start => match submission.start_attempt() {
                    Ok(index) => attempts.push(index),
                    Err(StartError::MaybeRun | StartError::InProgress | StartError::Answered | StartError::TooMany) => {}
                },
                Step::Send(at) => {
                    let Some(index) = attempts.get(at) else { continue };
                    if submission.may_send(*index) {
                        prop_assert!(may_have_run.is_empty(), "sent twice");
                        may_have_run.insert(*index);
                    }
                }
                Step::Event(at, event) => {
                    let Some(index) = attempts.get(at) else { continue };
                    if submission.apply(*index, event) == AttemptState::KnownNotRun {
                        may_have_run.remove(index);
                    }
                }
            }
            if !may_have_run.is_empty() {
                prop_assert_ne!(submission.judge().execution(), Execution::NotRun);
            }
        }
    }
}

#[test]
fn send_that_was_noted_late_stops_the_next_attempt() {
    let mut submission = Submission::new(CallSafety::NonIdempotent);
    let attempts = [(); 2].map(|()| {
        let attempt = submission.start_attempt();
        if let Ok(index) = attempt {
            submission.apply(index, AttemptEvent::ConnectFailed);
        }
        attempt
    });
    let [Ok(first), Ok(_)] = attempts else {
        panic!("attempts that were not sent may be repeated: {attempts:?}");
    };
    let Ok(third) = submission.start_attempt() else {
        panic!("nothing was sent yet");
    };
    submission.apply(first, AttemptEvent::SendStarted);
    assert!(!submission.may_send(third));
    assert_eq!(submission.judge().execution(), Execution::Unknown);
}
