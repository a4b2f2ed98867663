//! The HTTP/1.1 and HTTP/2 server for one connection of a caller.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, Refusal, RequestId, Timers};
use futures_lite::{AsyncWriteExt, future};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::executor::ThreadExecutor;
use crate::head_scanner::{AmbiguousFraming, HeadScanner, HeadTimeout, ScannedStream};
use crate::limits::{CallerLimits, ConnectionTimeouts};
use crate::problem::problem_response;
use crate::response_end::{frame_http1, frame_http2};

/// Connection preface that starts an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Interval at which a partially received preface is checked again.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between pings on an open HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout for the response to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit on the response bytes that HTTP/2 buffers for one stream.
const SEND_BUFFER_SIZE_BYTES: usize = 64 << 10;

/// The thread's resources and the limits for serving a connection.
#[derive(Debug, Clone)]
pub struct ConnectionContext {
    /// Runs the connection's streams.
    pub executor: ThreadExecutor,
    /// The thread's timers.
    pub timers: Timers,
    /// The resource limits for the caller.
    pub limits: CallerLimits,
    /// The timeouts between requests and within a header block.
    pub timeouts: ConnectionTimeouts,
    /// Closes at shutdown; the connection then ends after the requests in flight.
    pub shutdown: Receiver<Infallible>,
}

/// Serves a connection until it ends, or until its requests in flight have completed at shutdown.
///
/// # Errors
///
/// Returns the reason why the connection failed, including disconnects of the caller.
pub async fn serve_connection<H, F, B>(
    stream: TcpStream,
    context: &ConnectionContext,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    stream.set_nodelay(true)?;
    let Some(is_http2) = detect_http2(&stream, context).await? else {
        return Ok(());
    };
    if is_http2 {
        return serve_http2(stream, context, handler).await;
    }
    serve_http1(stream, context, handler).await
}

/// Returns whether the connection uses HTTP/2; `None` if it ended first.
async fn detect_http2(stream: &TcpStream, context: &ConnectionContext) -> io::Result<Option<bool>> {
    let detect = async {
        let mut start = [0; PREFACE.len()];
        loop {
            let len = stream.peek(&mut start).await?;
            if len == 0 {
                return Ok(None);
            }
            if start[..len] != PREFACE[..len] {
                return Ok(Some(false));
            }
            if len == PREFACE.len() {
                return Ok(Some(true));
            }
            smol::Timer::after(PREFACE_POLL_INTERVAL).await;
        }
    };
    let timed_out = async {
        // Callers may open a connection well before its first request.
        let timeouts = &context.timeouts;
        let timeout_ms = timeouts.header_timeout().max(timeouts.idle_timeout());
        smol::Timer::after(timeout_ms.as_std()).await;
        write_refusal(stream, ErrorKind::RequestTimeout).await;
        Ok(None)
    };
    let shut_down = async {
        wait_for_shutdown(&context.shutdown).await;
        Ok(None)
    };
    future::or(detect, future::or(timed_out, shut_down)).await
}

async fn serve_http1<H, F, B>(
    stream: TcpStream,
    context: &ConnectionContext,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let has_served = Rc::new(Cell::new(false));
    let served_marker = Rc::clone(&has_served);
    let scanner = Rc::new(RefCell::new(HeadScanner::default()));
    let in_flight = Rc::new(Cell::new(0));
    let head_timeout = HeadTimeout::new(
        context.timers.clone(),
        context.timeouts.clone(),
        Rc::clone(&in_flight),
    );
    let scanned_stream = ScannedStream::new(stream.clone(), Rc::clone(&scanner), head_timeout);
    let caller_stream = stream.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        served_marker.set(true);
        let is_ambiguous = scanner.borrow_mut().pop_is_ambiguous();
        if is_ambiguous {
            request.extensions_mut().insert(AmbiguousFraming);
        }
        let answer = handler(request);
        let answer_stream = caller_stream.clone();
        let guard = InFlightGuard::new(&in_flight);
        // A connection keeps space for this future while it is idle or streams an answer; a pointer
        // is much smaller.
        Box::pin(async move {
            let mut answer = answer.await?;
            if is_ambiguous {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            let answer = frame_http1(answer, &answer_stream);
            Ok::<_, Infallible>(answer.map(|body| InFlightBody {
                body,
                _guard: guard,
            }))
        })
    });
    let connection = http1::Builder::new()
        .max_buf_size(context.limits.header_size_bytes())
        .serve_connection(FuturesIo::new(scanned_stream), service);
    let result = drive(
        connection,
        |connection| connection.graceful_shutdown(),
        &context.shutdown,
    )
    .await;
    if let Err(error) = &result
        && is_timeout(error)
        && !has_served.get()
    {
        // Only sent before the first request: on an idle connection, the caller would take the
        // refusal for the response to its next request.
        write_refusal(&stream, ErrorKind::RequestTimeout).await;
    }
    Ok(result?)
}

/// A response body whose request counts as in flight until the HTTP library has taken its end.
struct InFlightBody<B> {
    body: B,
    _guard: InFlightGuard,
}

impl<B: Body + Unpin> Body for InFlightBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A guard that counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Cell<u32>>);

impl InFlightGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns whether a connection ended by a timeout of the server, and not by the caller.
pub fn is_connection_timeout(error: &eyre::Report) -> bool {
    error.downcast_ref::<hyper::Error>().is_some_and(is_timeout)
}

/// Returns whether the error is a timeout of the connection.
fn is_timeout(error: &hyper::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

async fn serve_http2<H, F, B>(
    stream: TcpStream,
    context: &ConnectionContext,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let header_size_bytes = u32::try_from(context.limits.header_size_bytes()).unwrap_or(u32::MAX);
    let connection = http2::Builder::new(context.executor.clone())
        .timer(SmolTimer::new())
        .max_header_list_size(header_size_bytes)
        .max_concurrent_streams(context.limits.concurrent_streams_max)
        .max_send_buf_size(SEND_BUFFER_SIZE_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .serve_connection(
            FuturesIo::new(stream),
            service_fn(move |request| {
                let answer = handler(request);
                async move { answer.await.map(frame_http2) }
            }),
        );
    Ok(drive(
        connection,
        |connection| connection.graceful_shutdown(),
        &context.shutdown,
    )
    .await?)
}

/// Drives a connection to its end; at shutdown completes only the requests in flight.
async fn drive<C>(
    connection: C,
    start_shutdown: impl FnOnce(Pin<&mut C>),
    shutdown: &Receiver<Infallible>,
) -> C::Output
where
    C: Future,
{
    let mut connection = pin!(connection);
    let completed = async { Some(connection.as_mut().await) };
    let shutdown_started = async {
        wait_for_shutdown(shutdown).await;
        None
    };
    if let Some(output) = future::or(completed, shutdown_started).await {
        return output;
    }
    start_shutdown(connection.as_mut());
    connection.await
}

/// Waits until the channel is closed; no value is ever sent on it.
async fn wait_for_shutdown(shutdown: &Receiver<Infallible>) {
    while shutdown.recv().await.is_ok() {}
}

/// Writes a refusal to a connection that the HTTP library no longer serves.
async fn write_refusal(stream: &TcpStream, kind: ErrorKind) {
    let mut stream = stream.clone();
    let answer = problem_response(Refusal::new(kind), RequestId(0));
    let mut text = format!("HTTP/1.1 {}\r\nconnection: close\r\n", answer.status());
    for (name, value) in answer.headers() {
        text.push_str(&format!(
            "{name}: {}\r\n",
            value.to_str().unwrap_or_default()
        ));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", answer.body().len()));
    let write = async {
        // Write errors are ignored, as the caller may have disconnected.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.write_all(answer.body()).await;
    };
    let timed_out = async {
        smol::Timer::after(DurationMs(1_000).as_std()).await;
    };
    future::or(write, timed_out).await;
}
