//! The state machine of an attempt, and the outcome over all attempts of a submission.
//!
//! An attempt sends a submitted request to one endpoint. Its state never becomes safer, since
//! bytes that may have been sent can't be taken back: an attempt is `not run` only while no byte
//! was passed to a connection, or because the endpoint itself reported it.
//!
//! | state | complete response | run | may be retried |
//! | --- | --- | --- | --- |
//! | not sent | no | no | yes |
//! | maybe sent | no | unknown | only if idempotent |
//! | answered | yes | yes | no |
//! | known not run | no | no | yes |

pub mod submission;

use celeryknot_core::{ErrorKind, Execution};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use submission::{AttemptIndex, StartError, Submission};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallSafety {
    /// The request may be run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// The state of one attempt.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptState {
    /// No byte of the request was passed to a connection.
    #[default]
    NotSent,
    /// Bytes may have been sent, and no complete response was received.
    MaybeSent,
    /// The complete response to this request was received.
    Answered,
    /// The endpoint reported, or the connection proved, that the request was not run.
    KnownNotRun,
}

/// An event of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEvent {
    /// No connection could be opened.
    ConnectFailed,
    /// The owner of the endpoint refused the request before sending it.
    OwnerRefused,
    /// The first byte is about to be passed to the connection.
    SendStarted,
    /// The head of a response was received; its body may still fail.
    HeadReceived,
    /// The endpoint responded that it did not run the request, with no part of a response before.
    EndpointRefused,
    /// The complete response was received.
    AnswerCompleted,
    /// The response was truncated, or the connection failed after the head.
    AnswerBroken,
    /// The response carries the id of another request.
    AnswerMismatched,
    /// The response is larger than the limit.
    AnswerTooLarge,
    /// The connection failed before the head of a response.
    ConnectionLost,
    /// The response, or the rest of it, did not arrive before the timeout.
    TimedOut,
    /// The process stalled before it sent the request.
    Paused,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected, or another hedged copy responded first.
    Cancelled,
}

/// One attempt to run a request at one endpoint.
///
/// # Examples
///
/// ```
/// use celeryknot_core::Execution;
/// use celeryknot_policy::attempt::{Attempt, AttemptEvent};
///
/// let mut attempt = Attempt::new();
/// attempt.apply(AttemptEvent::SendStarted);
/// attempt.apply(AttemptEvent::ConnectFailed);
/// assert_eq!(attempt.outcome().execution(), Execution::Unknown);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempt {
    state: AttemptState,
    has_head: bool,
    failure: Option<ErrorKind>,
}

/// The outcome of an attempt or of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It has not ended.
    Pending,
    /// The complete response was received.
    Answered,
    /// It failed.
    Failed {
        /// Why it failed.
        kind: ErrorKind,
        /// Whether the request was run, as far as is known.
        execution: Execution,
    },
}

impl AttemptOutcome {
    /// Returns whether the request was run, as far as is known.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Pending => Execution::Unknown,
            Self::Answered => Execution::Run,
            Self::Failed { execution, .. } => *execution,
        }
    }
}

impl Attempt {
    /// Creates an attempt that has sent nothing.
    pub const fn new() -> Self {
        Self {
            state: AttemptState::NotSent,
            has_head: false,
            failure: None,
        }
    }

    /// Returns the state.
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns whether the attempt has ended.
    pub const fn has_ended(&self) -> bool {
        match self.state {
            AttemptState::Answered | AttemptState::KnownNotRun => true,
            AttemptState::NotSent | AttemptState::MaybeSent => self.failure.is_some(),
        }
    }

    /// Applies an event and returns the new state.
    ///
    /// An event that is invalid in the current state, such as a late response after the attempt
    /// ended or a second start of sending, never makes the attempt look safer than it is.
    pub fn apply(&mut self, event: AttemptEvent) -> AttemptState {
        match self.state {
            AttemptState::NotSent => self.apply_not_sent(event),
            AttemptState::MaybeSent => self.apply_maybe_sent(event),
            AttemptState::Answered | AttemptState::KnownNotRun => {}
        }
        self.state
    }

    /// Returns the outcome of the attempt.
    pub fn outcome(&self) -> AttemptOutcome {
        match (self.state, self.failure) {
            (AttemptState::Answered, _) => AttemptOutcome::Answered,
            (AttemptState::NotSent | AttemptState::MaybeSent, None) => AttemptOutcome::Pending,
            (AttemptState::KnownNotRun, failure) => AttemptOutcome::Failed {
                kind: failure.unwrap_or(ErrorKind::EndpointRefused),
                execution: Execution::NotRun,
            },
            (AttemptState::NotSent, Some(kind)) => AttemptOutcome::Failed {
                kind,
                execution: Execution::NotRun,
            },
            (AttemptState::MaybeSent, Some(kind)) => AttemptOutcome::Failed {
                kind,
                execution: kind.answer().execution,
            },
        }
    }

    fn apply_not_sent(&mut self, event: AttemptEvent) {
        if event == AttemptEvent::SendStarted {
            // A send after the end is a bug of the driver, but its bytes may have arrived.
            self.state = AttemptState::MaybeSent;
            self.failure = self.failure.map(|_| ErrorKind::OutcomeUnknown);
            return;
        }
        if self.failure.is_some() {
            return;
        }
        match event {
            AttemptEvent::SendStarted => {}
            AttemptEvent::ConnectFailed => self.failure = Some(ErrorKind::ConnectFailed),
            AttemptEvent::OwnerRefused => self.failure = Some(ErrorKind::EndpointBusy),
            AttemptEvent::Paused => self.failure = Some(ErrorKind::Paused),
            AttemptEvent::DeadlinePassed | AttemptEvent::TimedOut => {
                self.failure = Some(ErrorKind::DeadlinePast);
            }
            AttemptEvent::Cancelled => self.failure = Some(ErrorKind::Draining),
            // A response to an unsent request means that the driver missed a send.
            AttemptEvent::HeadReceived
            | AttemptEvent::EndpointRefused
            | AttemptEvent::AnswerCompleted
            | AttemptEvent::AnswerBroken
            | AttemptEvent::AnswerMismatched
            | AttemptEvent::AnswerTooLarge
            | AttemptEvent::ConnectionLost => {
                self.state = AttemptState::MaybeSent;
                self.apply_maybe_sent(event);
            }
        }
    }

    fn apply_maybe_sent(&mut self, event: AttemptEvent) {
        if self.failure.is_some() {
            return;
        }
        match event {
            AttemptEvent::SendStarted => {}
            AttemptEvent::HeadReceived => self.has_head = true,
            AttemptEvent::AnswerCompleted => self.state = AttemptState::Answered,
            AttemptEvent::EndpointRefused if self.has_head => {
                self.failure = Some(ErrorKind::AnswerMismatched);
            }
            AttemptEvent::EndpointRefused => {
                self.state = AttemptState::KnownNotRun;
                self.failure = Some(ErrorKind::EndpointRefused);
            }
            AttemptEvent::AnswerBroken => self.failure = Some(ErrorKind::AnswerIncomplete),
            AttemptEvent::AnswerMismatched => self.failure = Some(ErrorKind::AnswerMismatched),
            AttemptEvent::AnswerTooLarge => self.failure = Some(ErrorKind::AnswerTooLarge),
            AttemptEvent::TimedOut | AttemptEvent::DeadlinePassed => {
                self.failure = Some(ErrorKind::AnswerTimeout);
            }
            AttemptEvent::ConnectFailed
            | AttemptEvent::OwnerRefused
            | AttemptEvent::ConnectionLost
            | AttemptEvent::Paused
            | AttemptEvent::Cancelled => {
                self.failure = Some(if self.has_head {
                    ErrorKind::AnswerIncomplete
                } else {
                    ErrorKind::OutcomeUnknown
                });
            }
        }
    }
}
