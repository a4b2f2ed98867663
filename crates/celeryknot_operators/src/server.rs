//! Serves the operators API over HTTP/1.1.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::ErrorKind;
use futures_lite::{FutureExt, StreamExt};
use http::header::{ALLOW, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::explanation::{ExplainQuery, Explanation};
use crate::metrics::Metrics;
use crate::status::Status;

/// Timeout for receiving a request's header block.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum lifetime of a connection; bounds how long a stalled one occupies a slot.
const CONNECTION_LIFETIME_MAX: Duration = Duration::from_secs(60);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of concurrent connections; further ones are closed.
const CONNECTIONS_MAX: usize = 32;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The daemon state that the operators API exposes.
pub trait OperatorsState: Clone + 'static {
    /// Returns whether the daemon accepts callers.
    fn is_ready(&self) -> bool;

    /// Returns the daemon's metrics.
    fn metrics(&self) -> &Metrics;

    /// Returns the daemon's status.
    fn status(&self) -> Status;

    /// Ranks the endpoints for a chat.
    ///
    /// # Errors
    ///
    /// Returns the error kind that a request of the chat would be refused with.
    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ErrorKind>;
}

/// Returns the response to an operator's request.
pub fn respond<S: OperatorsState, B>(state: &S, request: &Request<B>) -> Response<Full<Bytes>> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        let mut response =
            text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        response
            .headers_mut()
            .insert(ALLOW, http::HeaderValue::from_static("GET, HEAD"));
        return response;
    }
    match request.uri().path() {
        "/livez" => text_response(StatusCode::OK, "live\n"),
        "/readyz" if state.is_ready() => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => build_response(StatusCode::OK, PROMETHEUS_TEXT, state.metrics().render()),
        "/status" => json_response(StatusCode::OK, &state.status()),
        "/explain" => explain_response(state, request.uri().query().unwrap_or_default()),
        _ => text_response(
            StatusCode::NOT_FOUND,
            "paths: /livez /readyz /metrics /status /explain\n",
        ),
    }
}

fn explain_response<S: OperatorsState>(state: &S, query: &str) -> Response<Full<Bytes>> {
    let query = match ExplainQuery::parse(query) {
        Ok(query) => query,
        Err(reason) => return text_response(StatusCode::BAD_REQUEST, &format!("{reason}\n")),
    };
    match state.explain(&query) {
        Ok(explanation) => json_response(StatusCode::OK, &explanation),
        Err(kind) => {
            let answer = kind.answer();
            let status = StatusCode::from_u16(answer.status)
                .expect("every error kind has a valid status code");
            text_response(status, &format!("{kind}: {}\n", answer.title))
        }
    }
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("maps in the operators API have string keys");
    build_response(status, JSON, body)
}

fn text_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    build_response(status, TEXT, body.to_owned())
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    response
}

/// Serves the operators API on the current thread until the future is dropped.
///
/// # Errors
///
/// Never returns an error: failed accepts are retried.
pub async fn serve_operators<S: OperatorsState>(
    listener: TcpListener,
    state: S,
) -> std::io::Result<()> {
    let executor = smol::LocalExecutor::new();
    let connection_slots = Rc::new(());
    let accept = async {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                // Accepting fails while file descriptors are exhausted; some may become free.
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if Rc::strong_count(&connection_slots) > CONNECTIONS_MAX {
                continue;
            }
            let slot = connection_slots.clone();
            let state = state.clone();
            executor
                .spawn(async move {
                    serve_connection(stream, state).await;
                    drop(slot);
                })
                .detach();
        }
        Ok(())
    };
    executor.run(accept).await
}

async fn serve_connection<S: OperatorsState>(stream: TcpStream, state: S) {
    let service = service_fn(|request| {
        let response = respond(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let lifetime_limit = async {
        smol::Timer::after(CONNECTION_LIFETIME_MAX).await;
        Ok(())
    };
    if let Err(error) = connection.or(lifetime_limit).await {
        tracing::debug!(%error, "an operator's connection failed");
    }
}
