//! Load reports of endpoints, from response headers and from polling `/v1/load`.

use std::net::SocketAddr;
use std::str::FromStr;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, SizeBytes, header};
use futures_lite::future;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::call::{Call, CallTimeouts, Reuse};
use crate::connection::ConnectionPool;
use crate::request_body::RequestBody;

/// Largest response to a request for load or cache events.
const RESPONSE_SIZE_MAX: SizeBytes = SizeBytes(16 << 10);

/// An endpoint's report of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait in the endpoint's queue.
    pub queued: u32,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// The concurrency limit that the endpoint can currently sustain.
    #[serde(default)]
    pub bound: Option<u32>,
    /// Requests per second that the endpoint accepts from all daemons together, if it limits them;
    /// in responses, a header field of its own states it.
    #[serde(default)]
    pub rate_limit_per_s: Option<f64>,
}

/// A malformed load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReportError;

impl std::fmt::Display for LoadReportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("not a load report of the form `in_flight=1;queued=0;cold=0;bound=8`")
    }
}

impl std::error::Error for LoadReportError {}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    /// Parses the header's format, ignoring unknown keys.
    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let mut report = Self::default();
        let mut has_in_flight = false;
        for pair in text.split(';') {
            let (key, value) = pair.trim().split_once('=').ok_or(LoadReportError)?;
            let amount: u32 = value.trim().parse().map_err(|_| LoadReportError)?;
            match key.trim() {
                "in_flight" => {
                    report.in_flight = amount;
                    has_in_flight = true;
                }
                "queued" => report.queued = amount,
                "cold" => report.cold = amount != 0,
                "bound" => report.bound = Some(amount),
                _ => {}
            }
        }
        has_in_flight.then_some(report).ok_or(LoadReportError)
    }
}

/// Parses the load report in response headers.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::load::parse_load_report;
///
/// let mut headers = http::HeaderMap::new();
/// headers.insert("celeryknot-load", "in_flight=3;queued=1;cold=1;bound=4".parse().unwrap());
/// let load = parse_load_report(&headers).unwrap();
/// assert_eq!((load.in_flight, load.cold, load.bound), (3, true, Some(4)));
/// ```
pub fn parse_load_report(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(header::LOAD)?.to_str().ok()?.parse().ok()
}

/// Polls an endpoint for its load.
///
/// # Errors
///
/// The kind of failure if the request fails or the response is invalid.
pub async fn fetch_load(
    connections: &ConnectionPool,
    address: SocketAddr,
    timeout: DurationMs,
) -> Result<LoadReport, ErrorKind> {
    let body = fetch_document(connections, address, "/v1/load", timeout).await?;
    serde_json::from_slice(&body).map_err(|_| ErrorKind::AnswerIncomplete)
}

/// An engine's report of the model version that it serves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// The version of the model, with a `+<adapter>` suffix if an adapter is loaded.
    pub version: String,
    /// Whether the engine is in cold start.
    pub cold: bool,
}

/// Polls an engine for the model version that it serves.
///
/// # Errors
///
/// The kind of failure if the request fails or the response is invalid.
pub async fn fetch_engine_state(
    address: SocketAddr,
    timeout: DurationMs,
) -> Result<EngineState, ErrorKind> {
    let body = fetch_document(&ConnectionPool::default(), address, "/v1/load", timeout).await?;
    serde_json::from_slice(&body).map_err(|_| ErrorKind::AnswerIncomplete)
}

/// Fails after the timeout, even on a thread that does not advance its `Timers`.
pub(crate) async fn time_out<T>(timeout: DurationMs) -> Result<T, ErrorKind> {
    smol::Timer::after(timeout.as_std()).await;
    Err(ErrorKind::AnswerTimeout)
}

/// Fetches a small JSON document from an endpoint on a new connection.
pub(crate) async fn fetch_document(
    connections: &ConnectionPool,
    address: SocketAddr,
    path_and_query: &str,
    timeout: DurationMs,
) -> Result<Bytes, ErrorKind> {
    let request = Request::get(path_and_query)
        .header(http::header::HOST, address.to_string())
        .body(RequestBody::default())
        .map_err(|_| ErrorKind::MalformedRequest)?;
    let call = Call {
        request,
        request_id: None,
        requires_echo: false,
        reuse: Reuse::Never,
        answer_size_max: RESPONSE_SIZE_MAX,
        timeouts: CallTimeouts::all(timeout),
    };
    let read = async {
        let answer = call
            .send(connections, address, || Ok(()))
            .await
            .map_err(|failure| failure.kind)?;
        if answer.head.status != StatusCode::OK {
            return Err(ErrorKind::EndpointRefused);
        }
        let body = answer.body.collect().await.map_err(|error| error.0)?;
        Ok(body.to_bytes())
    };
    future::or(read, time_out(timeout)).await
}
