//! Attempts and submissions under all sequences of events.

use celeryknot_core::{ErrorKind, Execution};
use celeryknot_policy::attempt::{
    Attempt, AttemptEvent, AttemptIndex, AttemptOutcome, AttemptState, CallSafety, StartError,
    Submission,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

/// Maximum length of the event sequences that are tested exhaustively.
const SEQUENCE_LEN_MAX: usize = 4;

/// Returns all sequences of up to `SEQUENCE_LEN_MAX` events.
fn event_sequences() -> impl Iterator<Item = Vec<AttemptEvent>> {
    let events: Vec<_> = AttemptEvent::iter().collect();
    let base = events.len();
    (0..=SEQUENCE_LEN_MAX).flat_map(move |len| {
        let events = events.clone();
        (0..base.pow(len as u32)).map(move |sequence_number| {
            let digit = |at: usize| events[sequence_number / base.pow(at as u32) % base];
            (0..len).map(digit).collect()
        })
    })
}

fn contains_send(sequence: &[AttemptEvent]) -> bool {
    sequence.contains(&AttemptEvent::SendStarted)
}

#[test]
fn attempt_is_not_run_only_before_the_first_byte_or_by_report_of_the_endpoint() {
    for sequence in event_sequences() {
        let mut attempt = Attempt::new();
        sequence.iter().for_each(|event| {
            attempt.apply(*event);
        });
        if attempt.outcome().execution() != Execution::NotRun {
            continue;
        }
        let reported_by_endpoint = attempt.state() == AttemptState::KnownNotRun;
        assert!(
            !contains_send(&sequence) || reported_by_endpoint,
            "{sequence:?}"
        );
        if reported_by_endpoint {
            let reported_at = sequence
                .iter()
                .position(|event| *event == AttemptEvent::EndpointRefused);
            let head_at = sequence
                .iter()
                .position(|event| *event == AttemptEvent::HeadReceived);
            assert!(reported_at.is_some(), "{sequence:?}");
            assert!(
                head_at.is_none_or(|head| Some(head) > reported_at),
                "{sequence:?}"
            );
        }
    }
}

#[test]
fn attempt_is_answered_only_after_a_complete_response() {
    for sequence in event_sequences() {
        let mut attempt = Attempt::new();
        sequence.iter().for_each(|event| {
            attempt.apply(*event);
        });
        if attempt.outcome() == AttemptOutcome::Answered {
            assert!(
                sequence.contains(&AttemptEvent::AnswerCompleted),
                "{sequence:?}"
            );
        }
    }
}

#[test]
fn attempt_never_returns_to_not_sent_after_bytes_may_have_been_sent() {
    for sequence in event_sequences() {
        let mut attempt = Attempt::new();
        let mut may_have_run = false;
        for event in &sequence {
            attempt.apply(*event);
            match attempt.state() {
                AttemptState::NotSent => assert!(!may_have_run, "{sequence:?}"),
                AttemptState::MaybeSent | AttemptState::Answered => may_have_run = true,
                AttemptState::KnownNotRun => {}
            }
        }
    }
}

#[test]
fn outcome_of_an_ended_attempt_changes_only_by_a_late_send() {
    for sequence in event_sequences() {
        let mut attempt = Attempt::new();
        let mut ended: Option<(AttemptState, AttemptOutcome)> = None;
        for event in &sequence {
            attempt.apply(*event);
            let current = (attempt.state(), attempt.outcome());
            match ended {
                Some(previous) if *event != AttemptEvent::SendStarted => {
                    assert_eq!(previous, current, "{sequence:?}")
                }
                Some(_) | None => {}
            }
            if attempt.has_ended() {
                ended = Some(current);
            }
        }
    }
}

struct OutcomeCase {
    name: &'static str,
    events: &'static [AttemptEvent],
    kind: ErrorKind,
    execution: Execution,
    may_retry_non_idempotent: bool,
}

#[test]
fn failed_attempts_have_the_expected_outcome_and_retry_permission() {
    use AttemptEvent as E;
    let cases = [
        OutcomeCase {
            name: "no connection",
            events: &[E::ConnectFailed],
            kind: ErrorKind::ConnectFailed,
            execution: Execution::NotRun,
            may_retry_non_idempotent: true,
        },
        OutcomeCase {
            name: "stalled before the send",
            events: &[E::Paused],
            kind: ErrorKind::Paused,
            execution: Execution::NotRun,
            may_retry_non_idempotent: true,
        },
        OutcomeCase {
            name: "lost after the send",
            events: &[E::SendStarted, E::ConnectionLost],
            kind: ErrorKind::OutcomeUnknown,
            execution: Execution::Unknown,
            may_retry_non_idempotent: false,
        },
        OutcomeCase {
            name: "refused by the endpoint",
            events: &[E::SendStarted, E::EndpointRefused],
            kind: ErrorKind::EndpointRefused,
            execution: Execution::NotRun,
            may_retry_non_idempotent: true,
        },
        OutcomeCase {
            name: "refused after a head",
            events: &[E::SendStarted, E::HeadReceived, E::EndpointRefused],
            kind: ErrorKind::AnswerMismatched,
            execution: Execution::Unknown,
            may_retry_non_idempotent: false,
        },
        OutcomeCase {
            name: "timed out after the send",
            events: &[E::SendStarted, E::TimedOut],
            kind: ErrorKind::AnswerTimeout,
            execution: Execution::Unknown,
            may_retry_non_idempotent: false,
        },
        OutcomeCase {
            name: "response too large",
            events: &[E::SendStarted, E::HeadReceived, E::AnswerTooLarge],
            kind: ErrorKind::AnswerTooLarge,
            execution: Execution::Run,
            may_retry_non_idempotent: false,
        },
        OutcomeCase {
            name: "late refusal after a lost connection",
            events: &[E::SendStarted, E::ConnectionLost, E::EndpointRefused],
            kind: ErrorKind::OutcomeUnknown,
            execution: Execution::Unknown,
            may_retry_non_idempotent: false,
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
        let expected = AttemptOutcome::Failed {
            kind: case.kind,
            execution: case.execution,
        };
        assert_eq!(submission.outcome(), expected, "{}", case.name);
        let may_retry = submission.may_retry();
        assert_eq!(may_retry, case.may_retry_non_idempotent, "{}", case.name);
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
        // Attempts that were sent and that the endpoint did not report as refused.
        let mut may_have_run = std::collections::BTreeSet::new();
        for step in steps {
            match step {
                Step::Start => match submission.start_attempt() {
                    Ok(index) => attempts.push(index),
                    Err(StartError::MaybeRun | StartError::InProgress | StartError::Answered | StartError::TooMany) => {}
                },
                Step::Send(at) => {
                    let Some(index) = attempts.get(at) else { continue };
                    if submission.try_start_send(*index) {
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
                prop_assert_ne!(submission.outcome().execution(), Execution::NotRun);
            }
        }
    }
}

#[test]
fn send_recorded_late_blocks_the_next_attempt() {
    let mut submission = Submission::new(CallSafety::NonIdempotent);
    let attempts = [(); 2].map(|()| {
        let attempt = submission.start_attempt();
        if let Ok(index) = attempt {
            submission.apply(index, AttemptEvent::ConnectFailed);
        }
        attempt
    });
    let [Ok(first), Ok(_)] = attempts else {
        panic!("unsent attempts may be retried: {attempts:?}");
    };
    let Ok(third) = submission.start_attempt() else {
        panic!("no attempt was sent");
    };
    submission.apply(first, AttemptEvent::SendStarted);
    assert!(!submission.try_start_send(third));
    assert_eq!(submission.outcome().execution(), Execution::Unknown);
}
