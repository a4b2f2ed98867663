//! The closed state machine of an attempt, and the judgement over all attempts of a submission.
//!
//! An attempt is one try to run a submitted request at one endpoint. What is known of it only
//! ever grows: bytes that may have been sent can't be taken back, so that `not run` is said
//! of an attempt only while no byte was handed to a connection, or because the endpoint itself
//! said so.
//!
//! | state | whole answer | run | may be sent again |
//! | --- | --- | --- | --- |
//! | not sent | no | no | yes |
//! | maybe sent | no | unknown | only if idempotent |
//! | answered | yes | yes | no |
//! | known not run | no | no | yes |

pub mod submission;

use celeryknot_core::{ErrorKind, Execution};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use submission::{AttemptIndex, StartError, Submission};

/// Whether running a request twice does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallSafety {
    /// The request may be run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// What is known of one attempt.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptState {
    /// No byte of the request was handed to a connection.
    #[default]
    NotSent,
    /// Bytes may have been sent and no whole answer has come.
    MaybeSent,
    /// The whole answer to this request has come.
    Answered,
    /// The endpoint said, or the connection proved, that the request was not run.
    KnownNotRun,
}

/// What happens to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEvent {
    /// No connection could be opened.
    ConnectFailed,
    /// The owner of the endpoint refused the request before it sent it.
    OwnerRefused,
    /// The first byte is about to be handed to the connection.
    SendStarted,
    /// The head of an answer came, which says nothing about its end.
    HeadReceived,
    /// The endpoint answered that it did not run the request, with nothing of an answer before.
    EndpointRefused,
    /// The whole answer came.
    AnswerCompleted,
    /// The answer ended before it was whole, or the connection failed after the head.
    AnswerBroken,
    /// The answer names another request.
    AnswerMismatched,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// The connection failed before the head of an answer.
    ConnectionLost,
    /// No answer, or no more of it, came in time.
    TimedOut,
    /// The process was paused before it sent the request.
    Paused,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller went away or another copy won.
    Cancelled,
}

/// One try to run a request at one endpoint.
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
/// assert_eq!(attempt.judge().execution(), Execution::Unknown);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempt {
    state: AttemptState,
    has_head: bool,
    failure: Option<ErrorKind>,
}

/// What is to be said of an attempt or of a whole submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing has ended it yet.
    Pending,
    /// The whole answer came.
    Answered,
    /// It failed, and this is the most that is known.
    Failed {
        /// Why it failed.
        kind: ErrorKind,
        /// Whether the request was run.
        execution: Execution,
    },
}

impl Judgement {
    /// Returns whether the request was run, as far as that is known now.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Pending => Execution::Unknown,
            Self::Answered => Execution::Run,
            Self::Failed { execution, .. } => *execution,
        }
    }
}

impl Attempt {
    /// Starts an attempt that has sent nothing.
    pub const fn new() -> Self {
        Self {
            state: AttemptState::NotSent,
            has_head: false,
            failure: None,
        }
    }

    /// Returns what is known.
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Tells whether the attempt has ended.
    pub const fn has_ended(&self) -> bool {
        match self.state {
            AttemptState::Answered | AttemptState::KnownNotRun => true,
            AttemptState::NotSent | AttemptState::MaybeSent => self.failure.is_some(),
        }
    }

    /// Takes in an event and returns what is known now.
    ///
    /// An event that can't follow the state, such as a late answer after the attempt ended or a
    /// second start of sending, never makes the attempt look safer than it is.
    pub fn apply(&mut self, event: AttemptEvent) -> AttemptState {
        match self.state {
            AttemptState::NotSent => self.apply_not_sent(event),
            AttemptState::MaybeSent => self.apply_maybe_sent(event),
            AttemptState::Answered | AttemptState::KnownNotRun => {}
        }
        self.state
    }

    /// Returns what is to be said of the attempt.
    pub fn judge(&self) -> Judgement {
        match (self.state, self.failure) {
            (AttemptState::Answered, _) => Judgement::Answered,
            (AttemptState::NotSent | AttemptState::MaybeSent, None) => Judgement::Pending,
            (AttemptState::KnownNotRun, failure) => Judgement::Failed {
                kind: failure.unwrap_or(ErrorKind::EndpointRefused),
                execution: Execution::NotRun,
            },
            (AttemptState::NotSent, Some(kind)) => Judgement::Failed {
                kind,
                execution: Execution::NotRun,
            },
            (AttemptState::MaybeSent, Some(kind)) => Judgement::Failed {
                kind,
                execution: kind.answer().execution,
            },
        }
    }

    fn apply_not_sent(&mut self, event: AttemptEvent) {
        if event == AttemptEvent::SendStarted {
            // A start after the end is a fault of the driver; the bytes count all the same.
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
            // An answer without a request means that the driver lost track of what it sent.
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
