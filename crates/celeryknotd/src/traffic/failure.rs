//! Sorts the error kinds by what they say of an attempt.

use celeryknot_core::ErrorKind;
use celeryknot_policy::admission::FinishStatus;
use celeryknot_policy::attempt::AttemptEvent;

/// What a failure says of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request itself, or the time, would fail another attempt in the same way.
    Final,
    /// The owner of the endpoint did not admit the request.
    NotAdmitted,
    /// This process was paused before it sent the request.
    Paused,
    /// No connection could be opened.
    NoConnection,
    /// The endpoint said that it did not run the request.
    Refused,
    /// The connection failed after bytes may have been sent.
    Lost,
    /// No answer, or no more of it, came in time.
    TimedOut,
    /// The answer ended before it was whole.
    Incomplete,
    /// The answer belongs to another request.
    Mismatched,
    /// The answer is larger than the limit.
    TooLarge,
}

/// What a further attempt after a failure costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryCost {
    /// No endpoint has done any work.
    Free,
    /// The retry budget pays.
    Budget,
    /// Another attempt would fail in the same way.
    Useless,
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::DeadlineUnreachable
            | ErrorKind::ShareExceeded
            | ErrorKind::QueueFull
            | ErrorKind::EndpointBusy
            | ErrorKind::NoEndpoint
            | ErrorKind::Draining
            | ErrorKind::NotReady
            | ErrorKind::NotOwner => Self::NotAdmitted,
            ErrorKind::Paused => Self::Paused,
            ErrorKind::ConnectFailed => Self::NoConnection,
            ErrorKind::EndpointRefused => Self::Refused,
            ErrorKind::OutcomeUnknown => Self::Lost,
            ErrorKind::AnswerTimeout => Self::TimedOut,
            ErrorKind::AnswerIncomplete => Self::Incomplete,
            ErrorKind::AnswerMismatched => Self::Mismatched,
            ErrorKind::AnswerTooLarge => Self::TooLarge,
            ErrorKind::MalformedRequest
            | ErrorKind::MethodNotAllowed
            | ErrorKind::MissingCustomer
            | ErrorKind::UnknownCustomer
            | ErrorKind::MissingChat
            | ErrorKind::UnknownRoute
            | ErrorKind::UnknownKey
            | ErrorKind::UnknownService
            | ErrorKind::UnknownModel
            | ErrorKind::RequestTooLarge
            | ErrorKind::HeadersTooLarge
            | ErrorKind::RequestTimeout
            | ErrorKind::DeadlinePast
            | ErrorKind::TicketRequired
            | ErrorKind::TicketInvalid
            | ErrorKind::TicketMismatched
            | ErrorKind::TicketInProgress
            | ErrorKind::TicketSpent
            | ErrorKind::IssuerUnreachable
            | ErrorKind::IssuerGone
            | ErrorKind::InternalError => Self::Final,
        }
    }
}

impl Failure {
    /// Returns what a further attempt costs.
    pub(crate) fn retry_cost(self) -> RetryCost {
        match self {
            Self::NotAdmitted | Self::NoConnection => RetryCost::Free,
            Self::Paused
            | Self::Refused
            | Self::Lost
            | Self::TimedOut
            | Self::Incomplete
            | Self::Mismatched => RetryCost::Budget,
            Self::Final | Self::TooLarge => RetryCost::Useless,
        }
    }

    /// Returns what the owner of the endpoint learns.
    pub(crate) fn finish_status(self) -> FinishStatus {
        match self {
            Self::NoConnection => FinishStatus::ConnectFailed,
            Self::Refused => FinishStatus::Refused,
            Self::TimedOut => FinishStatus::TimedOut,
            Self::Lost | Self::Incomplete | Self::Mismatched | Self::TooLarge => {
                FinishStatus::Failed
            }
            Self::Final | Self::NotAdmitted | Self::Paused => FinishStatus::Aborted,
        }
    }

    /// Returns the event of an attempt of which bytes may have been sent.
    pub(crate) fn event_after_send(self) -> AttemptEvent {
        match self {
            Self::TimedOut => AttemptEvent::TimedOut,
            Self::Incomplete => AttemptEvent::AnswerBroken,
            Self::Mismatched => AttemptEvent::AnswerMismatched,
            Self::TooLarge => AttemptEvent::AnswerTooLarge,
            Self::Final
            | Self::NotAdmitted
            | Self::Paused
            | Self::NoConnection
            | Self::Refused
            | Self::Lost => AttemptEvent::ConnectionLost,
        }
    }
}
