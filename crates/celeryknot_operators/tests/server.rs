//! Tests the operators API over TCP, with valid and malformed requests.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, ErrorKind, TokenCount};
use celeryknot_operators::client::fetch;
use celeryknot_operators::{
    ClientError, ControlStatus, ExplainQuery, ExplainedEndpoint, Explanation, Metrics,
    OperatorsState, Status, TrafficStatus, fetch_explanation, fetch_status, serve_operators,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};

#[derive(Clone)]
struct FakeDaemon {
    metrics: Metrics,
    is_ready: Rc<Cell<bool>>,
}

impl OperatorsState for FakeDaemon {
    fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn status(&self) -> Status {
        Status {
            name: "entry-1".parse().unwrap(),
            zone: "hkd-a".parse().unwrap(),
            incarnation: "00000000000000a1".parse().unwrap(),
            version: "0.1.0".to_owned(),
            is_ready: self.is_ready.get(),
            is_shutting_down: false,
            control: ControlStatus {
                snapshot_version: 7,
                ..ControlStatus::default()
            },
            traffic: TrafficStatus::default(),
        }
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ErrorKind> {
        if query.service.as_str() != "wakai-llm" {
            return Err(ErrorKind::UnknownService);
        }
        Ok(Explanation {
            query: query.clone(),
            chat_key: ChatKey(1),
            snapshot_version: 7,
            endpoints: vec![ExplainedEndpoint {
                name: "engine-1".parse().unwrap(),
                zone: "hkd-a".parse().unwrap(),
                owner: None,
                rank: Some(1),
                cost_ms: Some(DurationMs(40)),
                wait_ms: None,
                cached_tokens: TokenCount(900),
                condition: Some(EndpointCondition::Warm),
                objections: Vec::new(),
            }],
        })
    }
}

/// Serves the API of a fake daemon while the test runs.
fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, FakeDaemon) -> F) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fake_daemon = FakeDaemon {
            metrics: Metrics::new(),
            is_ready: Rc::new(Cell::new(false)),
        };
        let serve = async {
            serve_operators(listener, fake_daemon.clone())
                .await
                .unwrap();
        };
        test(address, fake_daemon.clone()).or(serve).await;
    });
}

/// Sends raw bytes and returns the status line of the response.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    // The server may reset the connection after refusing the request; the data read so far counts.
    let _ = stream.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

struct RawCase {
    name: &'static str,
    request: &'static str,
    status_line: &'static str,
}

const RAW_CASES: &[RawCase] = &[
    RawCase {
        name: "live",
        request: "GET /livez HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 200 OK",
    },
    RawCase {
        name: "not ready",
        request: "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 503 Service Unavailable",
    },
    RawCase {
        name: "unknown path",
        request: "GET /admin HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 404 Not Found",
    },
    RawCase {
        name: "unsupported method",
        request: "POST /status HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 405 Method Not Allowed",
    },
    RawCase {
        name: "query without a chat",
        request: "GET /explain?service=a&customer=b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 400 Bad Request",
    },
    RawCase {
        name: "query with an invalid percent escape",
        request: "GET /explain?service=a&customer=b&chat=%zz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status_line: "HTTP/1.1 400 Bad Request",
    },
    RawCase {
        name: "invalid HTTP",
        request: "\x16\x03\x01 hello\r\n\r\n",
        status_line: "HTTP/1.1 400 Bad Request",
    },
];

#[test]
fn requests_get_the_expected_status() {
    with_server(|address, _| async move {
        for case in RAW_CASES {
            let status_line = send_bytes(address, case.request.as_bytes()).await;
            assert_eq!(status_line, case.status_line, "{}", case.name);
        }
    });
}

#[test]
fn oversized_header_block_is_refused() {
    with_server(|address, _| async move {
        let request = format!("GET /livez HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
        let status_line = send_bytes(address, request.as_bytes()).await;
        assert!(!status_line.contains("200"), "{status_line}");
        assert!(fetch(address, "/livez").await.is_ok(), "the server stopped");
    });
}

#[test]
fn readyz_reports_the_readiness_of_the_daemon() {
    with_server(|address, fake_daemon| async move {
        let refused = fetch(address, "/readyz").await;
        assert!(
            matches!(refused, Err(ClientError::Refused { status: 503, .. })),
            "{refused:?}"
        );
        fake_daemon.is_ready.set(true);
        assert_eq!(fetch(address, "/readyz").await.unwrap(), "ready\n");
    });
}

#[test]
fn status_and_explanation_round_trip() {
    with_server(|address, fake_daemon| async move {
        assert_eq!(fetch_status(address).await.unwrap(), fake_daemon.status());
        let query = ExplainQuery::parse("service=wakai-llm&customer=otaru&chat=a%2Fb").unwrap();
        let explanation = fetch_explanation(address, &query).await.unwrap();
        assert_eq!(Ok(explanation), fake_daemon.explain(&query));
        let query = ExplainQuery::parse("service=other&customer=otaru&chat=1").unwrap();
        let refused = fetch_explanation(address, &query)
            .await
            .unwrap_err()
            .to_string();
        assert_eq!(
            refused,
            "refused with 404: unknown-service: No service has this name"
        );
    });
}

#[test]
fn idle_connections_do_not_exhaust_the_server() {
    with_server(|address, _| async move {
        let mut idle = Vec::new();
        for _ in 0..64 {
            idle.push(TcpStream::connect(address).await.unwrap());
        }
        // The server closes idle connections after the header timeout.
        for _ in 0..100 {
            if fetch(address, "/livez").await.is_ok() {
                return;
            }
            smol::Timer::after(std::time::Duration::from_millis(200)).await;
        }
        panic!("no request succeeded");
    });
}
