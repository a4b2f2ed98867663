//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::time::DurationMs;

/// Whether a refused request was run by an endpoint.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    EnumIter,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request was certainly not run.
    NotRun,
    /// The request was run.
    Run,
    /// The request may have been run.
    Unknown,
}

/// What a caller may do with the same request after a refusal.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Sending the same request again can't help.
    Never,
    /// The same request may be sent again after the time to come back.
    Later,
    /// An idempotent request, or one with the same ticket, may be sent again.
    SameTicket,
}

/// A reason for which the router refuses or fails a request.
///
/// `docs/CODES.md` explains each code to operators; a test holds that page to this list.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is not well formed.
    MalformedRequest,
    /// The method is not served at the path.
    MethodNotAllowed,
    /// The customer header is missing.
    MissingCustomer,
    /// The customer is unknown or its token is wrong.
    UnknownCustomer,
    /// The chat header is missing.
    MissingChat,
    /// No route begins the path.
    UnknownRoute,
    /// No customer holds the key.
    UnknownKey,
    /// No service has the name.
    UnknownService,
    /// The service does not offer the model.
    UnknownModel,
    /// The body is larger than the limit.
    RequestTooLarge,
    /// The header block is larger than the limit.
    HeadersTooLarge,
    /// The header block or body did not arrive in time.
    RequestTimeout,
    /// The deadline had passed before the request was sent on.
    DeadlinePast,
    /// The queue model says that the deadline can't be met.
    DeadlineUnreachable,
    /// The customer's share of the queue is used up.
    ShareExceeded,
    /// The queue is full.
    QueueFull,
    /// The owner of the endpoint would make the request wait longer than another endpoint.
    EndpointBusy,
    /// No endpoint of the service may take new work.
    NoEndpoint,
    /// The daemon is shutting down.
    Draining,
    /// The daemon has not caught up with the fleet yet.
    NotReady,
    /// The daemon was paused and drops what it had queued.
    Paused,
    /// The daemon does not own the endpoint in its own view.
    NotOwner,
    /// No connection could be opened; no byte of the request was sent.
    ConnectFailed,
    /// The endpoint itself said that it did not run the request.
    EndpointRefused,
    /// The connection failed after bytes of the request may have been sent.
    OutcomeUnknown,
    /// No answer came in time.
    AnswerTimeout,
    /// The answer ended before it was whole.
    AnswerIncomplete,
    /// The answer belongs to another request.
    AnswerMismatched,
    /// The answer is larger than the limit.
    AnswerTooLarge,
    /// A non-idempotent request with a key needs a ticket, which this refusal hands out.
    TicketRequired,
    /// The ticket is forged, belongs to another customer or service, or can't be read.
    TicketInvalid,
    /// The ticket was first used with another request.
    TicketMismatched,
    /// A request with the ticket is running.
    TicketInProgress,
    /// A request with the ticket was run; its answer is no longer held.
    TicketSpent,
    /// The daemon that issued the ticket can't be reached now.
    IssuerUnreachable,
    /// The daemon that issued the ticket is gone for good.
    IssuerGone,
    /// A fault of the router itself.
    InternalError,
}

/// The answer to a caller for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request was run.
    pub execution: Execution,
    /// What the caller may do with the same request.
    pub retry: RetryAdvice,
    /// The time to come back where no queue model gives a better one.
    pub retry_after_default_ms: Option<DurationMs>,
    /// One line for people.
    pub title: &'static str,
}

const fn answer(
    status: u16,
    execution: Execution,
    retry: RetryAdvice,
    retry_after_default_ms: Option<u64>,
    title: &'static str,
) -> Answer {
    let retry_after_default_ms = match retry_after_default_ms {
        Some(ms) => Some(DurationMs(ms)),
        None => None,
    };
    Answer {
        status,
        execution,
        retry,
        retry_after_default_ms,
        title,
    }
}

impl ErrorKind {
    /// Returns the stable kebab-case code.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::ErrorKind;
    ///
    /// assert_eq!(ErrorKind::QueueFull.code(), "queue-full");
    /// ```
    pub fn code(self) -> &'static str {
        self.into()
    }

    /// Returns the answer that a caller gets.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{ErrorKind, Execution};
    ///
    /// assert_eq!(ErrorKind::ConnectFailed.answer().execution, Execution::NotRun);
    /// assert_eq!(ErrorKind::OutcomeUnknown.answer().execution, Execution::Unknown);
    /// ```
    #[rustfmt::skip]
    pub const fn answer(self) -> Answer {
        use Execution::{NotRun, Run, Unknown};
        use RetryAdvice::{Later, Never, SameTicket};
        match self {
            Self::MalformedRequest => answer(400, NotRun, Never, None, "The request is not well formed"),
            Self::MethodNotAllowed => answer(405, NotRun, Never, None, "The method is not served at this path"),
            Self::MissingCustomer => answer(401, NotRun, Never, None, "The customer header is missing"),
            Self::UnknownCustomer => answer(403, NotRun, Never, None, "The customer is unknown or its token is wrong"),
            Self::MissingChat => answer(400, NotRun, Never, None, "The chat header is missing"),
            Self::UnknownRoute => answer(404, NotRun, Never, None, "No route begins this path"),
            Self::UnknownKey => answer(401, NotRun, Never, None, "No customer holds this key"),
            Self::UnknownService => answer(404, NotRun, Never, None, "No service has this name"),
            Self::UnknownModel => answer(404, NotRun, Never, None, "The service does not offer this model"),
            Self::RequestTooLarge => answer(413, NotRun, Never, None, "The body is too large"),
            Self::HeadersTooLarge => answer(431, NotRun, Never, None, "The header block is too large"),
            Self::RequestTimeout => answer(408, NotRun, Later, None, "The request did not arrive in time"),
            Self::DeadlinePast => answer(408, NotRun, Never, None, "The deadline has passed"),
            Self::DeadlineUnreachable => answer(503, NotRun, Later, Some(1000), "The deadline can't be met"),
            Self::ShareExceeded => answer(429, NotRun, Later, Some(1000), "The customer's share is used up"),
            Self::QueueFull => answer(503, NotRun, Later, Some(1000), "The queue is full"),
            Self::EndpointBusy => answer(503, NotRun, Later, Some(1000), "The endpoint is busy"),
            Self::NoEndpoint => answer(503, NotRun, Later, Some(2000), "No endpoint may take new work"),
            Self::Draining => answer(503, NotRun, Later, Some(1000), "The daemon is shutting down"),
            Self::NotReady => answer(503, NotRun, Later, Some(1000), "The daemon is not ready"),
            Self::Paused => answer(503, NotRun, Later, Some(1000), "The daemon was paused"),
            Self::NotOwner => answer(503, NotRun, Later, Some(1000), "The endpoint has another owner"),
            Self::ConnectFailed => answer(503, NotRun, Later, Some(1000), "No connection could be opened"),
            Self::EndpointRefused => answer(503, NotRun, Later, Some(1000), "The endpoint refused the request"),
            Self::OutcomeUnknown => answer(502, Unknown, SameTicket, Some(1000), "The connection failed; the outcome is unknown"),
            Self::AnswerTimeout => answer(504, Unknown, SameTicket, Some(1000), "No answer came in time; the outcome is unknown"),
            Self::AnswerIncomplete => answer(502, Unknown, SameTicket, Some(1000), "The answer is not whole"),
            Self::AnswerMismatched => answer(502, Unknown, SameTicket, Some(1000), "The answer belongs to another request"),
            Self::AnswerTooLarge => answer(502, Run, Never, None, "The answer is too large"),
            Self::TicketRequired => answer(428, NotRun, SameTicket, Some(0), "Send the request again with the ticket given here"),
            Self::TicketInvalid => answer(422, NotRun, Never, None, "The ticket is not valid for this request"),
            Self::TicketMismatched => answer(422, NotRun, Never, None, "The ticket belongs to another request"),
            Self::TicketInProgress => answer(409, Unknown, SameTicket, Some(1000), "A request with this ticket is running"),
            Self::TicketSpent => answer(409, Run, Never, None, "A request with this ticket was run; its answer is no longer held"),
            Self::IssuerUnreachable => answer(503, Unknown, SameTicket, Some(1000), "The issuer of the ticket can't be reached"),
            Self::IssuerGone => answer(410, Unknown, Never, None, "The issuer of the ticket is gone; the outcome is unknown"),
            Self::InternalError => answer(500, Unknown, SameTicket, Some(1000), "A fault of the router"),
        }
    }
}

/// A refusal: its kind and the time to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub kind: ErrorKind,
    /// When the caller may come back, if that can help.
    pub retry_after_ms: Option<DurationMs>,
}

impl Refusal {
    /// Builds a refusal with the kind's default time to come back.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, ErrorKind, Refusal};
    ///
    /// assert_eq!(Refusal::new(ErrorKind::QueueFull).retry_after_ms, Some(DurationMs(1000)));
    /// ```
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after_ms: kind.answer().retry_after_default_ms,
        }
    }

    /// Builds a refusal whose time to come back is known.
    pub const fn after(kind: ErrorKind, retry_after_ms: DurationMs) -> Self {
        Self {
            kind,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}
