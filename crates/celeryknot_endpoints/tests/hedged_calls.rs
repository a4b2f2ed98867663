//! Calls that are hedged on a new connection.

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

/// Serves two requests on its first connection and refuses all others.
fn serve_one_connection() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        let mut request = [0; 1_024];
        for delay in [Duration::ZERO, SLOW] {
            let _ = stream.read(&mut request).unwrap();
            std::thread::sleep(delay);
            let _ = stream.write_all(RESPONSE);
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
) -> Result<(StatusCode, bytes::Bytes), ErrorKind> {
    let request = Request::get("/")
        .header("host", "x")
        .body(RequestBody::default())
        .unwrap();
    let call = Call {
        request,
        request_id: None,
        requires_echo: false,
        reuse: Reuse::Hedged(DurationMs(1_000)),
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

#[test]
fn failed_hedge_does_not_end_the_call_in_progress() {
    let address = serve_one_connection();
    let timers = Timers::default();
    let connections = ConnectionPool::new(timers.clone());
    let calls = async {
        call(&connections, address).await.unwrap();
        call(&connections, address).await
    };
    let clock = async {
        advance_timers(timers).await;
        Err(ErrorKind::InternalError)
    };
    let second = smol::block_on(future::or(calls, clock));
    assert_eq!(second, Ok((StatusCode::OK, bytes::Bytes::from("ok"))));
}
