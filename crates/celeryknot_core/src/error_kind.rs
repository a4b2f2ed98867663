//! The closed list of error kinds and the response for each kind.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::time::DurationMs;

/// Whether an endpoint ran a refused request.
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
    /// No endpoint ran the request.
    NotRun,
    /// An endpoint ran the request.
    Run,
    /// An endpoint may have run the request.
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
    /// Retrying the same request can't succeed.
    Never,
    /// The same request may be retried after the retry delay.
    Later,
    /// An idempotent request, or one with the same ticket, may be retried.
    SameTicket,
}

/// Why the router refuses or fails a request.
///
/// `docs/CODES.md` explains each code to operators; a test compares that page with this list.
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
    /// The request is malformed.
    MalformedRequest,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The customer header is missing.
    MissingCustomer,
    /// The customer is unknown or its token is wrong.
    UnknownCustomer,
    /// The chat header is missing.
    MissingChat,
    /// No route is a prefix of the path.
    UnknownRoute,
    /// The API key belongs to no customer.
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
    /// The deadline passed before the request was forwarded.
    DeadlinePast,
    /// The queue model predicts that the request misses its deadline.
    DeadlineUnreachable,
    /// The customer has used up its share of the queue.
    ShareExceeded,
    /// The queue is full.
    QueueFull,
    /// The expected wait at the endpoint's owner is longer than at another endpoint.
    EndpointBusy,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// All endpoints of the service limit the rate of requests and have reached their limits.
    RateLimited,
    /// The endpoints of the service are full, and fail if they have to refuse too many requests.
    EndpointsFull,
    /// Engines crash as they begin to answer prompts that share a part with this one.
    PromptBanned,
    /// Endpoints crash when they run this request.
    RequestBanned,
    /// The software version that began the stream is not known.
    VersionUnknown,
    /// The configuration's entry of the route or the customer can't be used.
    EntryUnusable,
    /// The daemon is shutting down.
    Draining,
    /// The daemon has not yet synchronized with the fleet.
    NotReady,
    /// The daemon process stalled and drops its queued requests.
    Paused,
    /// The daemon does not own the endpoint according to its own view.
    NotOwner,
    /// No connection could be opened; no byte of the request was sent.
    ConnectFailed,
    /// The endpoint reported that it did not run the request.
    EndpointRefused,
    /// The connection failed after bytes of the request may have been sent.
    OutcomeUnknown,
    /// No response arrived in time.
    AnswerTimeout,
    /// The response was truncated.
    AnswerIncomplete,
    /// The response belongs to another request.
    AnswerMismatched,
    /// The response is larger than the limit.
    AnswerTooLarge,
    /// A non-idempotent request with a key needs a ticket, which this refusal contains.
    TicketRequired,
    /// The ticket is forged, belongs to another customer or service, or can't be read.
    TicketInvalid,
    /// The ticket was already used with another request.
    TicketMismatched,
    /// A request with the ticket is running.
    TicketInProgress,
    /// A request with the ticket was run; its response is no longer stored.
    TicketSpent,
    /// The daemon that issued the ticket is temporarily unreachable.
    IssuerUnreachable,
    /// The daemon that issued the ticket has been removed permanently.
    IssuerGone,
    /// An internal error of the router.
    InternalError,
}

/// The response to a caller for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether an endpoint ran the request.
    pub execution: Execution,
    /// What the caller may do with the same request.
    pub retry: RetryAdvice,
    /// The retry delay when no queue model provides an estimate.
    pub retry_after_default_ms: Option<DurationMs>,
    /// A one-line, human-readable summary.
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

    /// Returns the response to the caller.
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
            Self::RateLimited => answer(503, NotRun, Later, Some(1000), "The endpoints have reached their rate limits"),
            Self::EndpointsFull => answer(503, NotRun, Later, Some(1000), "The endpoints are full"),
            Self::PromptBanned => answer(503, NotRun, Later, Some(300_000), "Engines crash on a part of this prompt"),
            Self::RequestBanned => answer(503, NotRun, Later, Some(300_000), "Endpoints crash when they run this request"),
            Self::VersionUnknown => answer(503, NotRun, Later, Some(1000), "The software version that began this stream is not known"),
            Self::EntryUnusable => answer(503, NotRun, Later, Some(5000), "The configuration of the route or the customer can't be used"),
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

/// A refusal with its kind and retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub kind: ErrorKind,
    /// The delay before a retry, if a retry can succeed.
    pub retry_after_ms: Option<DurationMs>,
}

impl Refusal {
    /// Builds a refusal with the kind's default retry delay.
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

    /// Builds a refusal with the given retry delay.
    pub const fn with_retry_after(kind: ErrorKind, retry_after_ms: DurationMs) -> Self {
        Self {
            kind,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}
