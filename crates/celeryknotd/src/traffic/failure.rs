//! Classifies error kinds by what they mean for an attempt.

use celeryknot_core::ErrorKind;
use celeryknot_policy::admission::FinishStatus;
use celeryknot_policy::attempt::AttemptEvent;

/// Class of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request or its deadline would fail every other attempt in the same way.
    Final,
    /// The owner of the endpoint did not admit the request.
    NotAdmitted,
    /// This process stalled before it sent the request.
    Stalled,
    /// No connection could be opened.
    NoConnection,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The connection failed after bytes may have been sent.
    ConnectionLost,
    /// The response, or the rest of it, did not arrive in time.
    TimedOut,
    /// The response ended before it was complete.
    Incomplete,
    /// The response belongs to another request.
    Mismatched,
    /// The response is larger than the limit.
    TooLarge,
}

/// Cost of a retry after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryCost {
    /// No endpoint has done any work.
    Free,
    /// The retry is taken from the retry budget.
    Budget,
    /// A retry would fail in the same way.
    NotRetryable,
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::DeadlineUnreachable
            | ErrorKind::ShareExceeded
            | ErrorKind::QueueFull
            | ErrorKind::EndpointBusy
            | ErrorKind::NoEndpoint
            | ErrorKind::RateLimited
            | ErrorKind::EndpointsFull
            | ErrorKind::EntryUnusable
            | ErrorKind::Draining
            | ErrorKind::NotReady
            | ErrorKind::NotOwner => Self::NotAdmitted,
            ErrorKind::Paused => Self::Stalled,
            ErrorKind::ConnectFailed => Self::NoConnection,
            ErrorKind::EndpointRefused => Self::Refused,
            ErrorKind::OutcomeUnknown => Self::ConnectionLost,
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
            | ErrorKind::PromptBanned
            | ErrorKind::RequestBanned
            | ErrorKind::VersionUnknown
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
    /// Returns the cost of a retry.
    pub(crate) fn retry_cost(self) -> RetryCost {
        match self {
            Self::NotAdmitted | Self::NoConnection => RetryCost::Free,
            Self::Stalled
            | Self::Refused
            | Self::ConnectionLost
            | Self::TimedOut
            | Self::Incomplete
            | Self::Mismatched => RetryCost::Budget,
            Self::Final | Self::TooLarge => RetryCost::NotRetryable,
        }
    }

    /// Returns the status reported to the endpoint's owner.
    pub(crate) fn finish_status(self) -> FinishStatus {
        match self {
            Self::NoConnection => FinishStatus::ConnectFailed,
            Self::Refused => FinishStatus::Refused,
            Self::TimedOut => FinishStatus::TimedOut,
            Self::ConnectionLost | Self::Incomplete | Self::Mismatched | Self::TooLarge => {
                FinishStatus::Failed
            }
            Self::Final | Self::NotAdmitted | Self::Stalled => FinishStatus::Aborted,
        }
    }

    /// Returns the event to record if bytes of the attempt may have been sent.
    pub(crate) fn event_after_send(self) -> AttemptEvent {
        match self {
            Self::TimedOut => AttemptEvent::TimedOut,
            Self::Incomplete => AttemptEvent::AnswerBroken,
            Self::Mismatched => AttemptEvent::AnswerMismatched,
            Self::TooLarge => AttemptEvent::AnswerTooLarge,
            Self::Final
            | Self::NotAdmitted
            | Self::Stalled
            | Self::NoConnection
            | Self::Refused
            | Self::ConnectionLost => AttemptEvent::ConnectionLost,
        }
    }
}
