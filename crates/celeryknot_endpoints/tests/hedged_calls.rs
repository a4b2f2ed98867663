//! Calls on a reused connection when a new connection to the endpoint fails.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, SizeBytes, Timers};
use celeryknot_endpoints::{Call, CallTimeouts, ConnectionPool, RequestBody, Reuse};
use futures_lite::future;
use http::{Request, StatusCode};
use http_body_util::BodyExt;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Delay of the second response, longer than the delay of the hedge.
const SLOW: Duration = Duration::from_millis(800);

/// How the second request on a connection is handled.
#[derive(Debug, Clone, Copy)]
enum Second {
    /// It gets its response after [`SLOW`].
    Answered,
    /// The connection is closed after [`SLOW`].
    Dropped,
}

/// Serves two requests on its first connection and refuses all others.
fn serve_one_connection(second: Second) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(RESPONSE).unwrap();
        let _ = stream.read(&mut request).unwrap();
        std::thread::sleep(SLOW);
        match second {
            Second::Answered => stream.write_all(RESPONSE).unwrap(),
            Second::Dropped => {}
        }
    });
    address
}

async fn advance_timers(timers: Timers) {
    let started_at = Instant::now();
    loop {
        smol::Timer::after(Duration::from_millis(10)).await;
        let now_ms = started_at.elapsed().as_millis() as u64;
        timers.advance(MonotonicMs(now_ms));
    }
}

/// Makes a hedged call and reads its response.
async fn call(
    connections: &ConnectionPool,
    address: SocketAddr,
    reuse: Reuse,
) -> Result<(StatusCode, bytes::Bytes), ErrorKind> {
    let request = Request::get("/")
        .header("host", "x")
        .body(RequestBody::default())
        .unwrap();
    let call = Call {
        request,
        request_id: None,
        requires_echo: false,
        reuse,
        answer_size_max: SizeBytes(1_000),
        timeouts: CallTimeouts::all(DurationMs(5_000)),
    };
    let response = call
        .send(connections, address, || Ok(()))
        .await
        .map_err(|failure| failure.kind)?;
    let body = response.body.collect().await.unwrap().to_bytes();
    Ok((response.head.status, body))
}

/// Makes two calls and returns the result of the second one.
fn call_twice(case: &Case) -> Result<(StatusCode, bytes::Bytes), ErrorKind> {
    let address = serve_one_connection(case.second);
    let timers = Timers::default();
    let connections = ConnectionPool::new(timers.clone());
    let calls = async {
        call(&connections, address, case.reuse).await.unwrap();
        call(&connections, address, case.reuse).await
    };
    let clock = async {
        advance_timers(timers).await;
        Err(ErrorKind::InternalError)
    };
    smol::block_on(future::or(calls, clock))
}

struct Case {
    name: &'static str,
    reuse: Reuse,
    second: Second,
    result: Result<(StatusCode, bytes::Bytes), ErrorKind>,
}

#[test]
fn failed_connection_does_not_hide_the_attempt_that_was_sent() {
    let idle_max = DurationMs(1_000);
    let answered = || Ok((StatusCode::OK, bytes::Bytes::from("ok")));
    let cases = [
        Case {
            name: "the hedge fails while the call is in progress",
            reuse: Reuse::Hedged(idle_max),
            second: Second::Answered,
            result: answered(),
        },
        Case {
            name: "the hedge fails, then the call in progress",
            reuse: Reuse::Hedged(idle_max),
            second: Second::Dropped,
            result: Err(ErrorKind::OutcomeUnknown),
        },
        Case {
            name: "the call fails, then its retry",
            reuse: Reuse::IdleUnder(idle_max),
            second: Second::Dropped,
            result: Err(ErrorKind::OutcomeUnknown),
        },
    ];
    for case in &cases {
        assert_eq!(call_twice(case), case.result, "{}", case.name);
    }
}
