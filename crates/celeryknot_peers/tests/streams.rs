//! Streams between peers over the loopback interface.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{DurationMs, Incarnation, MemberName, Revision};
use celeryknot_fleet::message::{Heartbeat, ListPull};
use celeryknot_fleet::{MemberState, Message};
use celeryknot_peers::{PeerEvent, Peers, PeersConfig, VersionRange};
use futures_lite::future;
use smol::{LocalExecutor, Timer};

const KEY: &str = "a key of the test fleet";
const OTHER_KEY: &str = "a key of another fleet!";
/// Timeout for events that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which an unwanted event would happen.
const QUIET_PERIOD: Duration = Duration::from_millis(800);

struct Daemon {
    peers: Peers,
    events: Receiver<PeerEvent>,
    address: SocketAddr,
}

fn start(
    executor: &Rc<LocalExecutor<'static>>,
    name: &str,
    change: fn(&mut PeersConfig),
) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (sender, events) = async_channel::unbounded();
    let mut config = PeersConfig {
        name: member(name),
        incarnation: Incarnation(7),
        keys: KeyRing::new(KEY, None),
        versions: VersionRange::default(),
    };
    change(&mut config);
    let peers = Peers::start(Rc::clone(executor), listener, config, sender).expect("started");
    Daemon {
        peers,
        events,
        address,
    }
}

fn member(name: &str) -> MemberName {
    name.parse().expect("a valid name")
}

fn pull(have: u64) -> Message {
    Message::PullList(ListPull {
        have: Revision(have),
        after: None,
    })
}

fn heartbeat(sequence: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        sequence,
        state: MemberState::Alive,
        is_ready: true,
        list_revision: Revision(1),
        values_digest: 2,
        members_digest: 3,
        settings_age: Some(DurationMs(1_500)),
        info: None,
    })
}

/// Returns the next event, or `None` after the timeout.
async fn next_event(events: &Receiver<PeerEvent>, timeout: Duration) -> Option<PeerEvent> {
    future::or(async { events.recv().await.ok() }, async {
        Timer::after(timeout).await;
        None
    })
    .await
}

fn run<T>(test: impl AsyncFnOnce(Rc<LocalExecutor<'static>>) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(test(Rc::clone(&executor))))
}

#[test]
fn messages_arrive_in_order_with_the_incarnation_of_the_sender() {
    run(async |executor| {
        let mut one = start(&executor, "one", |_| {});
        let two = start(&executor, "two", |_| {});
        for have in 0..20 {
            one.peers.send(&member("two"), two.address, pull(have));
        }
        for have in 0..20 {
            let received = PeerEvent::Received {
                from: member("one"),
                incarnation: Incarnation(7),
                message: pull(have),
            };
            assert_eq!(next_event(&two.events, EVENT_TIMEOUT).await, Some(received));
        }
        let opened = PeerEvent::Opened {
            name: member("two"),
        };
        assert_eq!(next_event(&one.events, EVENT_TIMEOUT).await, Some(opened));
        assert!(one.peers.meter().sent().0 > 0);
    });
}

/// Two daemons' configurations, and whether the server admits the client.
struct Pair {
    name: &'static str,
    change_one: fn(&mut PeersConfig),
    change_two: fn(&mut PeersConfig),
    is_admitted: bool,
}

const PAIRS: [Pair; 7] = [
    Pair {
        name: "same key",
        change_one: |_| {},
        change_two: |_| {},
        is_admitted: true,
    },
    Pair {
        name: "the client has another key",
        change_one: |config| config.keys = KeyRing::new(OTHER_KEY, None),
        change_two: |_| {},
        is_admitted: false,
    },
    Pair {
        name: "the client rotates its key before the server",
        change_one: |config| config.keys = KeyRing::new(OTHER_KEY, Some(KEY)),
        change_two: |config| config.keys = KeyRing::new(KEY, Some(OTHER_KEY)),
        is_admitted: true,
    },
    Pair {
        name: "the server has another name",
        change_one: |_| {},
        change_two: |config| config.name = member("three"),
        is_admitted: false,
    },
    Pair {
        name: "the server also supports a newer version",
        change_one: |_| {},
        change_two: |config| config.versions = VersionRange { min: 1, max: 2 },
        is_admitted: true,
    },
    Pair {
        name: "the client supports newer versions only",
        change_one: |config| config.versions = VersionRange { min: 2, max: 3 },
        change_two: |_| {},
        is_admitted: false,
    },
    Pair {
        name: "the server supports newer versions only",
        change_one: |_| {},
        change_two: |config| config.versions = VersionRange { min: 2, max: 3 },
        is_admitted: false,
    },
];

#[test]
fn only_peers_with_the_key_and_a_common_version_are_admitted() {
    for pair in PAIRS {
        run(async |executor| {
            let mut one = start(&executor, "one", pair.change_one);
            let two = start(&executor, "two", pair.change_two);
            one.peers.send(&member("two"), two.address, heartbeat(1));
            let timeout = if pair.is_admitted {
                EVENT_TIMEOUT
            } else {
                QUIET_PERIOD
            };
            let received = next_event(&two.events, timeout).await;
            assert_eq!(received.is_some(), pair.is_admitted, "{}", pair.name);
            let expected = if pair.is_admitted {
                PeerEvent::Opened {
                    name: member("two"),
                }
            } else {
                PeerEvent::Unreachable {
                    name: member("two"),
                }
            };
            assert_eq!(
                next_event(&one.events, EVENT_TIMEOUT).await,
                Some(expected),
                "{}",
                pair.name
            );
        });
    }
}

#[test]
fn stream_to_a_restarted_daemon_is_reopened() {
    run(async |executor| {
        let mut one = start(&executor, "one", |_| {});
        let two = start(&executor, "two", |_| {});
        one.peers.send(&member("two"), two.address, heartbeat(1));
        assert!(next_event(&two.events, EVENT_TIMEOUT).await.is_some());
        drop(two);
        let two = start(&executor, "two", |config| {
            config.incarnation = Incarnation(8)
        });
        one.peers.send(&member("two"), two.address, heartbeat(2));
        assert!(next_event(&two.events, EVENT_TIMEOUT).await.is_some());
    });
}

#[test]
fn unresponsive_peer_is_reported_as_unreachable() {
    run(async |executor| {
        let mut one = start(&executor, "one", |_| {});
        // The kernel accepts connections into the backlog; nothing reads from them.
        let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = unresponsive.local_addr().unwrap();
        one.peers.send(&member("two"), address, heartbeat(1));
        let expected = PeerEvent::Unreachable {
            name: member("two"),
        };
        assert_eq!(next_event(&one.events, EVENT_TIMEOUT).await, Some(expected));
    });
}
