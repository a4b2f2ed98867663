//! Answers operators over HTTP/1.1.

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

/// Longest time for an operator's header block to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest life of an operator's connection, so that one that stands still gives its place back.
const CONNECTION_LIFE: Duration = Duration::from_secs(60);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Most operators served at the same time.
const OPERATORS_MAX: usize = 32;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const METRICS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// What a daemon shows to its operators.
pub trait OperatorsState: Clone + 'static {
    /// Whether the daemon takes callers.
    fn is_ready(&self) -> bool;

    /// Returns the daemon's metrics.
    fn metrics(&self) -> &Metrics;

    /// Returns what the daemon knows and does.
    fn status(&self) -> Status;

    /// Ranks the endpoints for a chat.
    ///
    /// # Errors
    ///
    /// Returns the kind with which a request of the chat would be refused.
    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ErrorKind>;
}

/// Answers one request of an operator.
pub fn answer<S: OperatorsState, B>(state: &S, request: &Request<B>) -> Response<Full<Bytes>> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        response
            .headers_mut()
            .insert(ALLOW, http::HeaderValue::from_static("GET, HEAD"));
        return response;
    }
    match request.uri().path() {
        "/livez" => text(StatusCode::OK, "live\n"),
        "/readyz" if state.is_ready() => text(StatusCode::OK, "ready\n"),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => whole(StatusCode::OK, METRICS_TEXT, state.metrics().render()),
        "/status" => json(StatusCode::OK, &state.status()),
        "/explain" => explain(state, request.uri().query().unwrap_or_default()),
        _ => text(
            StatusCode::NOT_FOUND,
            "paths: /livez /readyz /metrics /status /explain\n",
        ),
    }
}

fn explain<S: OperatorsState>(state: &S, query: &str) -> Response<Full<Bytes>> {
    let query = match ExplainQuery::parse(query) {
        Ok(query) => query,
        Err(reason) => return text(StatusCode::BAD_REQUEST, &format!("{reason}\n")),
    };
    match state.explain(&query) {
        Ok(explanation) => json(StatusCode::OK, &explanation),
        Err(kind) => {
            let answer = kind.answer();
            let status = StatusCode::from_u16(answer.status)
                .expect("the table of answers holds valid status codes");
            text(status, &format!("{kind}: {}\n", answer.title))
        }
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("operators' types have only string keys");
    whole(status, JSON, body)
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    whole(status, TEXT, body.to_owned())
}

fn whole(
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

/// Serves operators on the executor's thread until the future is dropped.
///
/// # Errors
///
/// Returns the error that ended the listener.
pub async fn serve_operators<S: OperatorsState>(
    listener: TcpListener,
    state: S,
) -> std::io::Result<()> {
    let executor = smol::LocalExecutor::new();
    let places = Rc::new(());
    let accept = async {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                // Accepting fails while descriptors are short; others may become free.
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            if Rc::strong_count(&places) > OPERATORS_MAX {
                continue;
            }
            let place = places.clone();
            let state = state.clone();
            executor
                .spawn(async move {
                    serve_connection(stream, state).await;
                    drop(place);
                })
                .detach();
        }
        Ok(())
    };
    executor.run(accept).await
}

async fn serve_connection<S: OperatorsState>(stream: TcpStream, state: S) {
    let service = service_fn(|request| {
        let response = answer(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let end_of_life = async {
        smol::Timer::after(CONNECTION_LIFE).await;
        Ok(())
    };
    if let Err(error) = connection.or(end_of_life).await {
        tracing::debug!(%error, "an operator's connection ended early");
    }
}
