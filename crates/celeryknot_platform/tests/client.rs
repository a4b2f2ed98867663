//! Tests of the client against fake replicas on the loopback interface.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{DurationMs, Revision};
use celeryknot_platform::{ByteMeter, PlatformClient, PlatformError};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// How a fake replica handles each request.
#[derive(Debug, Clone, Copy)]
enum ReplicaBehaviour {
    Responds(&'static str),
    RespondsOnceThenCloses(&'static str),
    /// Closes the connection on its second request, without a response.
    RespondsOnceThenDropsRequest(&'static str),
    NeverResponds,
    Fails,
}

async fn serve_connection(mut stream: TcpStream, behaviour: ReplicaBehaviour) {
    let mut buffer = [0; 4096];
    let mut response_count = 0;
    loop {
        let Ok(received_bytes) = stream.read(&mut buffer).await else {
            return;
        };
        if received_bytes == 0 {
            return;
        }
        let (status, body) = match behaviour {
            ReplicaBehaviour::RespondsOnceThenDropsRequest(_) if response_count > 0 => return,
            ReplicaBehaviour::Responds(body)
            | ReplicaBehaviour::RespondsOnceThenCloses(body)
            | ReplicaBehaviour::RespondsOnceThenDropsRequest(body) => ("200 OK", body),
            ReplicaBehaviour::NeverResponds => continue,
            ReplicaBehaviour::Fails => ("503 Service Unavailable", "down"),
        };
        let body_len = body.len();
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: {body_len}\r\n\r\n{body}");
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        response_count += 1;
        if matches!(behaviour, ReplicaBehaviour::RespondsOnceThenCloses(_)) {
            return;
        }
    }
}

async fn spawn_replica(behaviour: ReplicaBehaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve_connection(stream, behaviour)).detach();
        }
    })
    .detach();
    address
}

const ONE_VALUE: &str =
    r#"{"revision": 4, "values": [{"path": "fleet/zones/a", "revision": 4, "text": null}]}"#;

#[test]
fn values_are_read_and_bytes_are_metered() {
    smol::block_on(async {
        let meter = Arc::new(ByteMeter::default());
        let address = spawn_replica(ReplicaBehaviour::Responds(ONE_VALUE)).await;
        let mut client = PlatformClient::new(vec![address], 0, Arc::clone(&meter));
        for _ in 0..3 {
            let list = client
                .values(Some(Revision(3)), DurationMs(500))
                .await
                .unwrap();
            assert_eq!(list.revision, Revision(4));
            assert_eq!(list.values[0].text, None);
        }
        assert_eq!(client.calls(), 3);
        assert!(meter.sent().0 > 0 && meter.received().0 > meter.sent().0 / 2);
    });
}

#[test]
fn closed_connection_is_reopened() {
    smol::block_on(async {
        let address = spawn_replica(ReplicaBehaviour::RespondsOnceThenCloses(ONE_VALUE)).await;
        let mut client = PlatformClient::new(vec![address], 0, Arc::default());
        for _ in 0..3 {
            assert!(client.values(None, DurationMs(0)).await.is_ok());
            smol::Timer::after(std::time::Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn idle_connection_that_drops_a_request_is_reopened() {
    smol::block_on(async {
        let address =
            spawn_replica(ReplicaBehaviour::RespondsOnceThenDropsRequest(ONE_VALUE)).await;
        let mut client = PlatformClient::new(vec![address], 0, Arc::default());
        for round in 0..3 {
            let result = client.values(None, DurationMs(0)).await;
            assert!(result.is_ok(), "round {round}: {result:?}");
        }
    });
}

/// A faulty first replica.
struct FaultyReplica {
    name: &'static str,
    behaviour: ReplicaBehaviour,
    is_expected_error: fn(&PlatformError) -> bool,
}

#[test]
fn client_fails_over_from_a_faulty_replica() {
    let cases = [
        FaultyReplica {
            name: "never responds",
            behaviour: ReplicaBehaviour::NeverResponds,
            is_expected_error: |error| matches!(error, PlatformError::Timeout),
        },
        FaultyReplica {
            name: "fails",
            behaviour: ReplicaBehaviour::Fails,
            is_expected_error: |error| matches!(error, PlatformError::Status(_)),
        },
        FaultyReplica {
            name: "not JSON",
            behaviour: ReplicaBehaviour::Responds("<html>"),
            is_expected_error: |error| matches!(error, PlatformError::Body(_)),
        },
    ];
    for case in cases {
        smol::block_on(async {
            let faulty_replica = spawn_replica(case.behaviour).await;
            let healthy_replica = spawn_replica(ReplicaBehaviour::Responds(ONE_VALUE)).await;
            let mut client =
                PlatformClient::new(vec![faulty_replica, healthy_replica], 0, Arc::default());
            let error = client.values(None, DurationMs(10)).await.unwrap_err();
            assert!((case.is_expected_error)(&error), "{}: {error}", case.name);
            assert_eq!(client.address(), Some(healthy_replica), "{}", case.name);
            assert!(
                client.values(None, DurationMs(10)).await.is_ok(),
                "{}",
                case.name
            );
        });
    }
}
