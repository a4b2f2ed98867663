//! Timeouts of a caller's connection while a response is sent and afterwards.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::convert::Infallible;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryknot_callers::CallerLimits;
use celeryknot_callers::executor::{ThreadExecutor, ThreadRuntime};
use celeryknot_callers::server::{ConnectionContext, serve_connection};
use celeryknot_core::{DurationMs, MonotonicMs, Timers};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Stream, future, stream};
use http::{Request, Response};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use smol::net::{TcpListener, TcpStream};

const SHORT: DurationMs = DurationMs(200);
const LONG: DurationMs = DurationMs(20_000);

/// Chunks of a response, which takes several times the short timeout.
const CHUNK_COUNT: usize = 20;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a connection counts as never closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

const REQUEST: &[u8] = b"GET /chat HTTP/1.1\r\nhost: x\r\n\r\n";
const RESPONSE_END: &[u8] = b"0\r\n\r\n";

struct Case {
    name: &'static str,
    idle_timeout_ms: DurationMs,
    header_timeout_ms: DurationMs,
    /// Bytes that the caller sends right behind its request.
    sent_ahead: &'static [u8],
}

type SlowBody = StreamBody<Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Infallible>>>>>;

async fn respond_slowly(_request: Request<Incoming>) -> Result<Response<SlowBody>, Infallible> {
    let chunks = stream::unfold(0, |sent| async move {
        if sent == CHUNK_COUNT {
            return None;
        }
        smol::Timer::after(CHUNK_INTERVAL).await;
        let chunk = Frame::data(Bytes::from_static(b"data: token\n\n"));
        Some((Ok(chunk), sent + 1))
    });
    Ok(Response::new(StreamBody::new(Box::pin(chunks))))
}

async fn advance_timers(timers: Timers) {
    let started_at = Instant::now();
    loop {
        smol::Timer::after(Duration::from_millis(10)).await;
        let now_ms = started_at.elapsed().as_millis() as u64;
        timers.advance(MonotonicMs(now_ms));
    }
}

/// Sends one request and returns all bytes until the server closes the connection.
async fn exchange(executor: ThreadExecutor, case: &Case) -> Vec<u8> {
    let timers = Timers::default();
    executor.spawn(advance_timers(timers.clone())).detach();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_shutdown_sender, shutdown) = smol::channel::bounded(1);
    let context = ConnectionContext {
        executor: executor.clone(),
        timers,
        limits: CallerLimits::builder()
            .idle_timeout_ms(case.idle_timeout_ms)
            .header_timeout_ms(case.header_timeout_ms)
            .build(),
        shutdown,
    };
    let serve = async move { serve_connection(stream, &context, respond_slowly).await };
    let _server = executor.spawn(serve);
    caller.write_all(REQUEST).await.unwrap();
    caller.write_all(case.sent_ahead).await.unwrap();
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    received
}

#[test]
fn response_in_progress_is_not_cut_by_the_timeout_for_the_next_request() {
    let cases = [
        Case {
            name: "idle timeout",
            idle_timeout_ms: SHORT,
            header_timeout_ms: LONG,
            sent_ahead: b"",
        },
        Case {
            name: "header timeout, with part of the next head sent ahead",
            idle_timeout_ms: LONG,
            header_timeout_ms: SHORT,
            sent_ahead: b"GET /chat HTTP/1.1\r\nho",
        },
    ];
    for case in &cases {
        let runtime = ThreadRuntime::new();
        let closed = async { Some(exchange(runtime.executor(), case).await) };
        let never_closed = async {
            smol::Timer::after(CLOSE_TIMEOUT).await;
            None
        };
        let received = smol::block_on(runtime.run(future::or(closed, never_closed)))
            .unwrap_or_else(|| panic!("{}: not closed after the response", case.name));
        assert!(
            received.ends_with(RESPONSE_END),
            "{}: the response is incomplete: {}",
            case.name,
            String::from_utf8_lossy(&received)
        );
    }
}
