//! Serves one connection of a caller in HTTP/1.1 or HTTP/2.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, Refusal, RequestId, Timers};
use futures_lite::{AsyncWriteExt, future};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::executor::ThreadExecutor;
use crate::head_scanner::{AmbiguousFraming, HeadScanner, HeadTimeout, ScannedStream};
use crate::limits::CallerLimits;
use crate::problem::problem_answer;

/// First bytes of an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Pause before a preface that has arrived in part is looked at again.
const PREFACE_POLL: Duration = Duration::from_millis(5);

/// Time between pings of an open HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest piece of an answer that HTTP/2 buffers for one stream.
const SEND_BUFFER_SIZE_BYTES: usize = 64 << 10;

/// Where one connection is served: its thread and the limits that hold there.
#[derive(Debug, Clone)]
pub struct ConnectionContext {
    /// Runs the connection's streams.
    pub executor: ThreadExecutor,
    /// The timeouts of the thread.
    pub timers: Timers,
    /// What the caller may cost.
    pub limits: CallerLimits,
    /// Closes when the connection is to end after the requests in flight.
    pub shutdown: Receiver<Infallible>,
}

/// Serves a connection until it ends, or until shutdown and its last answer.
///
/// # Errors
///
/// The reason why the connection broke; callers going away is among them.
pub async fn serve_connection<H, F, B>(
    stream: TcpStream,
    context: &ConnectionContext,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    stream.set_nodelay(true)?;
    let Some(is_http2) = read_preface(&stream, context).await? else {
        return Ok(());
    };
    if is_http2 {
        return serve_http2(stream, context, handler).await;
    }
    serve_http1(stream, context, handler).await
}

/// Tells whether the connection speaks HTTP/2; `None` if it ended first.
async fn read_preface(stream: &TcpStream, context: &ConnectionContext) -> io::Result<Option<bool>> {
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
            smol::Timer::after(PREFACE_POLL).await;
        }
    };
    let give_up = async {
        // A connection may be opened well before its first request.
        let limits = &context.limits;
        let longest_ms = limits.header_timeout_ms.max(limits.idle_timeout_ms);
        smol::Timer::after(longest_ms.as_std()).await;
        write_refusal(stream, ErrorKind::RequestTimeout).await;
        Ok(None)
    };
    let end = async {
        ended(&context.shutdown).await;
        Ok(None)
    };
    future::or(detect, future::or(give_up, end)).await
}

async fn serve_http1<H, F, B>(
    stream: TcpStream,
    context: &ConnectionContext,
    handler: H,
) -> eyre::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let has_served = Rc::new(Cell::new(false));
    let noted = Rc::clone(&has_served);
    let scanner = Rc::new(RefCell::new(HeadScanner::default()));
    let answering = Rc::new(Cell::new(0));
    let head_timeout = HeadTimeout::new(
        context.timers.clone(),
        context.limits.header_timeout_ms,
        context.limits.idle_timeout_ms,
        Rc::clone(&answering),
    );
    let scanned = ScannedStream::new(stream.clone(), Rc::clone(&scanner), head_timeout);
    let service = service_fn(move |mut request: Request<Incoming>| {
        noted.set(true);
        let is_ambiguous = scanner.borrow_mut().take_is_ambiguous();
        if is_ambiguous {
            request.extensions_mut().insert(AmbiguousFraming);
        }
        let answer = handler(request);
        let answering = Answering::new(&answering);
        async move {
            let mut answer = answer.await?;
            drop(answering);
            if is_ambiguous {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(context.limits.header_size_bytes())
        .serve_connection(FuturesIo::new(scanned), service);
    let result = drive(connection, |it| it.graceful_shutdown(), &context.shutdown).await;
    if let Err(error) = &result
        && is_timeout(error)
        && !has_served.get()
    {
        // An idle connection ends without a word: an answer would be taken for the next one's.
        write_refusal(&stream, ErrorKind::RequestTimeout).await;
    }
    Ok(result?)
}

/// Counts a request that is being answered, until it is dropped.
struct Answering(Rc<Cell<u32>>);

impl Answering {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Tells whether the head of a request did not come in time.
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
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let header_size_bytes = u32::try_from(context.limits.header_size_bytes()).unwrap_or(u32::MAX);
    let connection = http2::Builder::new(context.executor.clone())
        .timer(SmolTimer::new())
        .max_header_list_size(header_size_bytes)
        .max_concurrent_streams(context.limits.streams_max)
        .max_send_buf_size(SEND_BUFFER_SIZE_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service_fn(handler));
    Ok(drive(connection, |it| it.graceful_shutdown(), &context.shutdown).await?)
}

/// Runs a connection to its end; at shutdown lets only what is in flight end.
async fn drive<C>(
    connection: C,
    shut_down: impl FnOnce(Pin<&mut C>),
    shutdown: &Receiver<Infallible>,
) -> C::Output
where
    C: Future,
{
    let mut connection = pin!(connection);
    let runs = async { Some(connection.as_mut().await) };
    let ends = async {
        ended(shutdown).await;
        None
    };
    if let Some(output) = future::or(runs, ends).await {
        return output;
    }
    shut_down(connection.as_mut());
    connection.await
}

/// Waits until the channel is closed; nothing is ever sent on it.
async fn ended(shutdown: &Receiver<Infallible>) {
    while shutdown.recv().await.is_ok() {}
}

/// Writes a refusal where the HTTP library has given up on the connection.
async fn write_refusal(stream: &TcpStream, kind: ErrorKind) {
    let mut stream = stream.clone();
    let answer = problem_answer(Refusal::new(kind), RequestId(0));
    let mut text = format!("HTTP/1.1 {}\r\nconnection: close\r\n", answer.status());
    for (name, value) in answer.headers() {
        text.push_str(&format!(
            "{name}: {}\r\n",
            value.to_str().unwrap_or_default()
        ));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", answer.body().len()));
    let write = async {
        // The caller may be gone, and there is nobody else to tell.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.write_all(answer.body()).await;
    };
    let give_up = async {
        smol::Timer::after(DurationMs(1_000).as_std()).await;
    };
    future::or(write, give_up).await;
}
