//! The client against small servers on the loopback interface.

use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{DurationMs, Revision};
use celeryknot_platform::{ByteMeter, PlatformClient, PlatformError};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// What a small server does with each request.
#[derive(Debug, Clone, Copy)]
enum Behaviour {
    Answers(&'static str),
    AnswersOnceThenCloses(&'static str),
    Silent,
    Fails,
}

async fn serve_connection(mut stream: TcpStream, behaviour: Behaviour) {
    let mut buffer = [0; 4096];
    loop {
        let Ok(count) = stream.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let (status, body) = match behaviour {
            Behaviour::Answers(body) | Behaviour::AnswersOnceThenCloses(body) => ("200 OK", body),
            Behaviour::Silent => continue,
            Behaviour::Fails => ("503 Service Unavailable", "down"),
        };
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::AnswersOnceThenCloses(_)) {
            return;
        }
    }
}

async fn serve(behaviour: Behaviour) -> SocketAddr {
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
fn values_are_read_over_one_connection() {
    smol::block_on(async {
        let meter = Arc::new(ByteMeter::default());
        let address = serve(Behaviour::Answers(ONE_VALUE)).await;
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
fn a_connection_that_was_closed_is_opened_again() {
    smol::block_on(async {
        let address = serve(Behaviour::AnswersOnceThenCloses(ONE_VALUE)).await;
        let mut client = PlatformClient::new(vec![address], 0, Arc::default());
        for _ in 0..3 {
            assert!(client.values(None, DurationMs(0)).await.is_ok());
            smol::Timer::after(std::time::Duration::from_millis(20)).await;
        }
    });
}

/// A first replica that can't be used.
struct BadReplica {
    name: &'static str,
    behaviour: Behaviour,
    is_expected: fn(&PlatformError) -> bool,
}

#[test]
fn a_bad_replica_is_left_for_the_next_one() {
    let cases = [
        BadReplica {
            name: "silent",
            behaviour: Behaviour::Silent,
            is_expected: |error| matches!(error, PlatformError::Timeout),
        },
        BadReplica {
            name: "fails",
            behaviour: Behaviour::Fails,
            is_expected: |error| matches!(error, PlatformError::Status(_)),
        },
        BadReplica {
            name: "not JSON",
            behaviour: Behaviour::Answers("<html>"),
            is_expected: |error| matches!(error, PlatformError::Body(_)),
        },
    ];
    for case in cases {
        smol::block_on(async {
            let bad = serve(case.behaviour).await;
            let good = serve(Behaviour::Answers(ONE_VALUE)).await;
            let mut client = PlatformClient::new(vec![bad, good], 0, Arc::default());
            let error = client.values(None, DurationMs(10)).await.unwrap_err();
            assert!((case.is_expected)(&error), "{}: {error}", case.name);
            assert_eq!(client.address(), Some(good), "{}", case.name);
            assert!(
                client.values(None, DurationMs(10)).await.is_ok(),
                "{}",
                case.name
            );
        });
    }
}
