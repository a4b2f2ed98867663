//! Outcomes of calls, as the caller observes them.

use std::time::Duration;

use celeryknot_core::{DurationMs, Execution};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

use crate::wire::Usage;

/// A complete response to the caller's own request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completed {
    /// Token counts that the response reports.
    pub usage: Usage,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// The affinity value to send with the chat's next request.
    pub affinity: Option<String>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The HTTP status code.
    pub status: u16,
    /// The error code, empty if the response has none.
    pub code: String,
    /// Whether the request was executed; `None` if the response does not state it.
    pub execution: Option<Execution>,
    /// The retry delay.
    pub retry_after_ms: Option<DurationMs>,
    /// The request id, if the response has one.
    pub request_id: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: String,
    execution: Option<Execution>,
    retry_after_ms: Option<u64>,
    request_id: Option<String>,
}

impl Refused {
    pub(super) fn new(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
        let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
        Self {
            status: status.as_u16(),
            code: problem.code,
            execution: problem
                .execution
                .or_else(|| super::execution_from_headers(headers)),
            retry_after_ms: problem.retry_after_ms.map(DurationMs),
            request_id: problem.request_id,
        }
    }
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call got the complete, correct response.
    Completed(T),
    /// The call was refused.
    Refused(Refused),
    /// The response ended like a complete one, but is incomplete.
    Truncated,
    /// The response was aborted visibly.
    Aborted,
    /// The response belongs to another request.
    CrossDelivered,
    /// The call got no response; holds the reason.
    Lost(String),
}

impl<T> Outcome<T> {
    /// Maps the value of a completed call.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Completed(value) => Outcome::Completed(change(value)),
            Self::Refused(refused) => Outcome::Refused(refused),
            Self::Truncated => Outcome::Truncated,
            Self::Aborted => Outcome::Aborted,
            Self::CrossDelivered => Outcome::CrossDelivered,
            Self::Lost(reason) => Outcome::Lost(reason),
        }
    }

    pub(super) fn not_run(code: &str, _reason: &str) -> Self {
        Self::Refused(Refused {
            status: 0,
            code: code.to_owned(),
            execution: Some(Execution::NotRun),
            retry_after_ms: None,
            request_id: None,
        })
    }

    /// Returns whether a retry of the booking with the same ticket cannot change the outcome.
    pub(super) fn is_terminal(&self) -> bool {
        const TICKET_STATUSES: [u16; 3] = [409, 410, 422];
        match self {
            Self::Completed(_) | Self::CrossDelivered => true,
            Self::Refused(refused) => {
                TICKET_STATUSES.contains(&refused.status) && refused.code != "ticket-in-progress"
            }
            Self::Truncated | Self::Aborted | Self::Lost(_) => false,
        }
    }
}
