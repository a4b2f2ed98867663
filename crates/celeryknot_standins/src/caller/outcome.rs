//! How a call ended, as the caller saw it.

use std::time::Duration;

use celeryknot_core::{DurationMs, Execution};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

use crate::wire::Usage;

/// A whole answer to the caller's own request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completed {
    /// Token counts as the answer gives them.
    pub usage: Usage,
    /// The time to the first token.
    pub first_token: Duration,
    /// The time to the end.
    pub whole: Duration,
    /// To be sent with the chat's next request.
    pub affinity: Option<String>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The HTTP status code.
    pub status: u16,
    /// The stable code, empty where the answer has none.
    pub code: String,
    /// Whether the request was run; `None` where the answer does not say.
    pub execution: Option<Execution>,
    /// The time to come back.
    pub retry_after_ms: Option<DurationMs>,
    /// The request id, where the answer gives it.
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
            execution: problem.execution.or_else(|| super::execution_of(headers)),
            retry_after_ms: problem.retry_after_ms.map(DurationMs),
            request_id: problem.request_id,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The whole, right answer came.
    Completed(T),
    /// The call was refused.
    Refused(Refused),
    /// The answer was passed off as whole, but is not.
    Truncated,
    /// The answer was cut off, and the caller could see that.
    Aborted,
    /// The answer belongs to another request.
    CrossDelivered,
    /// No answer came.
    Lost(String),
}

impl<T> Outcome<T> {
    /// Changes what a whole answer holds.
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

    /// Tells whether sending the same booking with the same ticket again can't help.
    pub(super) fn is_terminal(&self) -> bool {
        const ANSWERS_OF_TICKETS: [u16; 3] = [409, 410, 422];
        match self {
            Self::Completed(_) | Self::CrossDelivered => true,
            Self::Refused(refused) => {
                ANSWERS_OF_TICKETS.contains(&refused.status) && refused.code != "ticket-in-progress"
            }
            Self::Truncated | Self::Aborted | Self::Lost(_) => false,
        }
    }
}
