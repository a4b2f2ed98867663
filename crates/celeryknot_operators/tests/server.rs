//! Asks the server over TCP, as operators and hostile clients do.

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
struct Fake {
    metrics: Metrics,
    is_ready: Rc<Cell<bool>>,
}

impl OperatorsState for Fake {
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

/// Serves a fake daemon while the test runs.
fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Fake) -> F) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fake = Fake {
            metrics: Metrics::new(),
            is_ready: Rc::new(Cell::new(false)),
        };
        let serve = async {
            serve_operators(listener, fake.clone()).await.unwrap();
        };
        test(address, fake.clone()).or(serve).await;
    });
}

/// Sends raw bytes and returns the first line of the answer.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // A server may reset the connection after its refusal; what came before it counts.
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

struct RawCase {
    name: &'static str,
    request: &'static str,
    answer: &'static str,
}

const RAW_CASES: &[RawCase] = &[
    RawCase {
        name: "live",
        request: "GET /livez HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 200 OK",
    },
    RawCase {
        name: "not ready",
        request: "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 503 Service Unavailable",
    },
    RawCase {
        name: "unknown path",
        request: "GET /admin HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 404 Not Found",
    },
    RawCase {
        name: "method that changes things",
        request: "POST /status HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 405 Method Not Allowed",
    },
    RawCase {
        name: "query without a chat",
        request: "GET /explain?service=a&customer=b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 400 Bad Request",
    },
    RawCase {
        name: "query with a broken escape",
        request: "GET /explain?service=a&customer=b&chat=%zz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        answer: "HTTP/1.1 400 Bad Request",
    },
    RawCase {
        name: "no HTTP",
        request: "\x16\x03\x01 hello\r\n\r\n",
        answer: "HTTP/1.1 400 Bad Request",
    },
];

#[test]
fn requests_get_their_status() {
    with_server(|address, _| async move {
        for case in RAW_CASES {
            let answer = send_raw(address, case.request.as_bytes()).await;
            assert_eq!(answer, case.answer, "{}", case.name);
        }
    });
}

#[test]
fn oversized_header_block_is_refused() {
    with_server(|address, _| async move {
        let request = format!("GET /livez HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
        let answer = send_raw(address, request.as_bytes()).await;
        assert!(!answer.contains("200"), "{answer}");
        assert!(
            fetch(address, "/livez").await.is_ok(),
            "the server lives on"
        );
    });
}

#[test]
fn readiness_follows_the_daemon() {
    with_server(|address, fake| async move {
        let refused = fetch(address, "/readyz").await;
        assert!(
            matches!(refused, Err(ClientError::Refused { status: 503, .. })),
            "{refused:?}"
        );
        fake.is_ready.set(true);
        assert_eq!(fetch(address, "/readyz").await.unwrap(), "ready\n");
    });
}

#[test]
fn status_and_explanation_come_back_as_sent() {
    with_server(|address, fake| async move {
        assert_eq!(fetch_status(address).await.unwrap(), fake.status());
        let query = ExplainQuery::parse("service=wakai-llm&customer=otaru&chat=a%2Fb").unwrap();
        let explanation = fetch_explanation(address, &query).await.unwrap();
        assert_eq!(Ok(explanation), fake.explain(&query));
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
fn idle_connections_do_not_lock_operators_out() {
    with_server(|address, _| async move {
        let mut idle = Vec::new();
        for _ in 0..64 {
            idle.push(TcpStream::connect(address).await.unwrap());
        }
        // The idle ones lose their places after the header timeout.
        for _ in 0..100 {
            if fetch(address, "/livez").await.is_ok() {
                return;
            }
            smol::Timer::after(std::time::Duration::from_millis(200)).await;
        }
        panic!("no operator got through");
    });
}
