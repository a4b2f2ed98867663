//! Timeouts of a caller's connection while a response is sent and afterwards.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::convert::Infallible;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryknot_callers::CallerLimits;
use celeryknot_callers::executor::{ThreadExecutor, ThreadRuntime};
use celeryknot_callers::server::{ConnectionContext, serve_connection};
use celeryknot_core::{DurationMs, MonotonicMs, Timers};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future, stream};
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use smol::net::{TcpListener, TcpStream};

const SHORT: DurationMs = DurationMs(200);
const LONG: DurationMs = DurationMs(20_000);

/// Chunks of a response, which takes several times the short timeout.
const CHUNK_COUNT: usize = 20;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a connection counts as never closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

const CHAT: &[u8] = b"GET /chat HTTP/1.1\r\nhost: x\r\n\r\n";
const CHAT_AND_PARTIAL_HEAD: &[u8] =
    b"GET /chat HTTP/1.1\r\nhost: x\r\n\r\nGET /chat HTTP/1.1\r\nho";
const FILE: &[u8] = b"GET /file HTTP/1.1\r\nhost: x\r\n\r\n";

/// Size of a file, several times the buffers of a loopback connection.
const FILE_SIZE_BYTES: usize = 48 << 20;

/// The end of a file with its head, and so a length that only a complete file reaches.
const FILE_END: &[u8] = &[b'x'; FILE_SIZE_BYTES];

/// Most that a caller takes with one read.
const READ_SIZE_BYTES: usize = 1 << 20;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

struct Case {
    name: &'static str,
    idle_timeout_ms: DurationMs,
    header_timeout_ms: DurationMs,
    request: &'static [u8],
    response_end: &'static [u8],
    /// Pause of the caller after each read.
    read_pause: Duration,
}

/// Responds to `/file` with a body of known length, and otherwise with a slow stream.
async fn respond(
    request: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, Infallible>>, Infallible> {
    if request.uri().path() == "/file" {
        let file = Full::new(Bytes::from(vec![b'x'; FILE_SIZE_BYTES]));
        return Ok(Response::new(file.boxed_unsync()));
    }
    let chunks = stream::unfold(0, |sent| async move {
        if sent == CHUNK_COUNT {
            return None;
        }
        smol::Timer::after(CHUNK_INTERVAL).await;
        let chunk = Frame::data(Bytes::from_static(b"data: token\n\n"));
        Some((Ok(chunk), sent + 1))
    });
    Ok(Response::new(StreamBody::new(chunks).boxed_unsync()))
}

async fn advance_timers(timers: Timers) {
    let started_at = Instant::now();
    loop {
        smol::Timer::after(Duration::from_millis(10)).await;
        let now_ms = started_at.elapsed().as_millis() as u64;
        timers.advance(MonotonicMs(now_ms));
    }
}

/// Serves one connection with the limits of a case until it ends.
async fn serve(executor: ThreadExecutor, listener: TcpListener, case: &Case) {
    let timers = Timers::default();
    let _clock = executor.spawn(advance_timers(timers.clone()));
    let (stream, _) = listener.accept().await.unwrap();
    let (_shutdown_sender, shutdown) = smol::channel::bounded(1);
    let context = ConnectionContext {
        executor,
        timers,
        limits: CallerLimits::builder()
            .idle_timeout_ms(case.idle_timeout_ms)
            .header_timeout_ms(case.header_timeout_ms)
            .build(),
        shutdown,
    };
    // The library reports some timeouts as errors and others as a clean end.
    drop(serve_connection(stream, &context, respond).await);
}

/// Sends a request and returns all bytes until the connection is closed.
async fn receive(mut caller: TcpStream, case: &Case) -> Vec<u8> {
    caller.write_all(case.request).await.unwrap();
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_SIZE_BYTES];
    loop {
        let len = caller.read(&mut buffer).await.unwrap();
        if len == 0 {
            return received;
        }
        received.extend_from_slice(&buffer[..len]);
        smol::Timer::after(case.read_pause).await;
    }
}

/// Runs one exchange until both sides have ended; `None` if they do not.
fn run(case: &Case) -> Option<Vec<u8>> {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let ended = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let caller = TcpStream::connect(address).await.unwrap();
        let (received, ()) =
            future::zip(receive(caller, case), serve(executor, listener, case)).await;
        Some(received)
    };
    let never_ended = async {
        smol::Timer::after(CLOSE_TIMEOUT).await;
        None
    };
    smol::block_on(runtime.run(future::or(ended, never_ended)))
}

#[test]
fn response_in_progress_is_not_cut_by_the_timeout_for_the_next_request() {
    let cases = [
        Case {
            name: "idle timeout",
            idle_timeout_ms: SHORT,
            header_timeout_ms: LONG,
            request: CHAT,
            response_end: LAST_CHUNK,
            read_pause: Duration::ZERO,
        },
        Case {
            name: "header timeout, with part of the next head sent ahead",
            idle_timeout_ms: LONG,
            header_timeout_ms: SHORT,
            request: CHAT_AND_PARTIAL_HEAD,
            response_end: LAST_CHUNK,
            read_pause: Duration::ZERO,
        },
        Case {
            name: "slow caller",
            idle_timeout_ms: SHORT,
            header_timeout_ms: LONG,
            request: FILE,
            response_end: FILE_END,
            read_pause: Duration::from_millis(20),
        },
    ];
    for case in &cases {
        let received =
            run(case).unwrap_or_else(|| panic!("{}: not closed after the response", case.name));
        assert!(
            received.ends_with(case.response_end),
            "{}: the response is incomplete after {} bytes",
            case.name,
            received.len()
        );
    }
}

#[test]
fn connection_of_a_caller_that_stops_reading_is_closed() {
    let case = Case {
        name: "caller that stops reading",
        idle_timeout_ms: SHORT,
        header_timeout_ms: LONG,
        request: FILE,
        response_end: FILE_END,
        read_pause: Duration::ZERO,
    };
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let closed = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        caller.write_all(case.request).await.unwrap();
        serve(executor, listener, &case).await;
        true
    };
    let never_closed = async {
        smol::Timer::after(CLOSE_TIMEOUT).await;
        false
    };
    let is_closed = smol::block_on(runtime.run(future::or(closed, never_closed)));
    assert!(is_closed, "{}", case.name);
}
