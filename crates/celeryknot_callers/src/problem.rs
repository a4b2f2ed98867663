//! Conversion of a refusal into an `application/problem+json` response (RFC 9457).

use bytes::Bytes;
use celeryknot_core::{Refusal, RequestId, header};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Always `about:blank`; `code` identifies the kind of problem.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// A one-line summary for humans.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// The stable error code.
    pub code: String,
    /// Whether the request was run.
    pub execution: String,
    /// Whether and how the caller may retry the request.
    pub retry: String,
    /// The retry delay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The router's id of the request.
    pub request_id: String,
}

impl Problem {
    /// Creates the description of a refusal.
    pub fn new(refusal: Refusal, request_id: RequestId) -> Self {
        let answer = refusal.kind.answer();
        Self {
            type_uri: "about:blank".to_owned(),
            title: answer.title.to_owned(),
            status: answer.status,
            code: refusal.kind.code().to_owned(),
            execution: answer.execution.to_string(),
            retry: answer.retry.to_string(),
            retry_after_ms: refusal.retry_after_ms.map(|retry_after| retry_after.0),
            request_id: request_id.to_string(),
        }
    }
}

/// Builds the response to a refused request.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::problem::problem_response;
/// use celeryknot_core::{DurationMs, ErrorKind, Refusal, RequestId};
///
/// let refusal = Refusal::with_retry_after(ErrorKind::QueueFull, DurationMs(850));
/// let answer = problem_response(refusal, RequestId(7));
/// assert_eq!(answer.status(), 503);
/// assert_eq!(answer.headers()["retry-after"], "1");
/// assert_eq!(answer.headers()["celeryknot-execution"], "not-run");
/// ```
pub fn problem_response(refusal: Refusal, request_id: RequestId) -> Response<Bytes> {
    let problem = Problem::new(refusal, request_id);
    let body = serde_json::to_vec(&problem).expect("a problem has string keys only");
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() =
        StatusCode::from_u16(problem.status).expect("every error kind has a valid status code");
    let execution: &'static str = refusal.kind.answer().execution.into();
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(header::EXECUTION, HeaderValue::from_static(execution));
    if let Some(retry_after) = refusal.retry_after_ms {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after.as_secs_rounded_up()),
        );
    }
    answer
}
