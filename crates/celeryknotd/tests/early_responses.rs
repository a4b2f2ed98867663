//! Responses that begin while the request is still being written.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::{DurationMs, SizeBytes};
use celeryknot_settings::ServiceSettings;
use celeryknot_standins::raw_caller::{self, Received, ReceivedEnd};
use fleet::{PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, plain_settings};
use http::{Method, Request};

/// More than the buffers of a connection on the loopback interface hold.
const UPLOAD_LEN: usize = 16 << 20;

/// What the endpoint reads of a request before it responds.
const READ_LEN: usize = 8 << 10;

const PART: &str = "data: a\n\ndata: b\n\n";

/// Index of the daemon that owns the endpoint; the caller connects to the first one.
const OWNERS: [usize; 2] = [0, 1];

struct Case {
    name: &'static str,
    fields: &'static str,
    is_chunked: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "no length",
        fields: "content-type: text/plain\r\n",
        is_chunked: false,
    },
    Case {
        name: "events without a length",
        fields: "content-type: text/event-stream\r\n",
        is_chunked: false,
    },
    Case {
        name: "a length",
        fields: "content-length: 4000\r\n",
        is_chunked: false,
    },
    Case {
        name: "chunks",
        fields: "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        is_chunked: true,
    },
];

/// Times from the response to the reset of the connection.
const RESET_DELAYS_MS: [u64; 4] = [0, 5, 60, 300];

/// Responds with a part of a body to an upload that it doesn't read, and resets the connection.
fn respond_early(stream: &mut TcpStream, case: &Case, delay_ms: u64) {
    let mut read = vec![0; READ_LEN];
    let len = stream.read(&mut read).unwrap_or(0);
    let head = String::from_utf8_lossy(&read[..len]).into_owned();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("celeryknot-request-id: "))
        .unwrap_or_default();
    let part = match case.is_chunked {
        true => format!("{:x}\r\n{PART}\r\n", PART.len()),
        false => PART.to_owned(),
    };
    let response = format!(
        "HTTP/1.1 200 OK\r\nceleryknot-request-id: {id}\r\n{}\r\n{part}",
        case.fields
    );
    let _ = stream.write_all(response.as_bytes());
    // What the endpoint has not read of the upload makes the close a reset.
    std::thread::sleep(Duration::from_millis(delay_ms));
}

fn start_endpoint(case: &'static Case, delay_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || respond_early(&mut stream, case, delay_ms));
        }
    });
    address
}

fn options() -> TestOptions {
    TestOptions {
        daemons: 2,
        plain: ServiceSettings {
            request_size_max_bytes: SizeBytes(2 * UPLOAD_LEN as u64),
            first_byte_timeout_ms: DurationMs(2_000),
            idle_timeout_ms: DurationMs(2_000),
            ..plain_settings()
        },
        ..TestOptions::default()
    }
}

#[test]
fn part_of_a_response_to_an_upload_that_is_reset_is_never_complete() {
    let body = Bytes::from(vec![b'x'; UPLOAD_LEN]);
    let (mut broken, mut begun) = (Vec::new(), 0);
    for (case, delay_ms) in CASES
        .iter()
        .flat_map(|case| RESET_DELAYS_MS.map(|delay_ms| (case, delay_ms)))
    {
        for owner in OWNERS {
            let endpoint = TestEndpoint {
                service: PLAIN_SERVICE,
                name: "early-1",
                address: start_endpoint(case, delay_ms),
                owner,
            };
            let fleet = TestFleet::start(options(), &[endpoint]);
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("/{PLAIN_SERVICE}/uploads"))
                .header("host", "x")
                .header("celeryknot-customer", "otaru")
                .body(body.clone())
                .unwrap();
            let response = raw_caller::send(fleet.callers_address(0), request).unwrap();
            begun += usize::from(response.status == 200);
            let is_cut = response.end == ReceivedEnd::Cut || response.status != 200;
            if !is_cut {
                let received = Received::from(&response);
                let name = case.name;
                broken.push(format!(
                    "{name}, {delay_ms} ms, owner {owner}: {received:?}"
                ));
            }
        }
    }
    assert!(begun > 0, "no response began");
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
