//! The loads that daemons report to each other: versions of the message, and its weight.

use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable, Observation};
use celeryknot_core::{EndpointPace, EndpointTag, MonotonicMs};
use celeryknot_peers::relay::RelayLoad;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The load as daemons of earlier versions send and read it.
#[derive(Clone, PartialEq, Message)]
struct EarlierLoad {
    #[prost(fixed32, tag = "1")]
    endpoint: u32,
    #[prost(uint32, tag = "2")]
    held: u32,
    #[prost(uint32, tag = "3")]
    age_ms: u32,
    #[prost(bool, tag = "4")]
    is_unreachable: bool,
    #[prost(bool, tag = "5")]
    is_leaving: bool,
}

/// Guards against a fleet of mixed versions losing the loads because of the pace.
#[test]
fn load_with_a_pace_is_read_by_earlier_versions_and_the_reverse() {
    let earlier = EarlierLoad {
        endpoint: 7,
        held: 12,
        age_ms: 40,
        is_unreachable: false,
        is_leaving: false,
    };
    let later = RelayLoad {
        endpoint: 7,
        held: 12,
        age_ms: 40,
        is_unreachable: false,
        is_leaving: false,
        pace_percent: Some(450),
    };
    let read_by_earlier = EarlierLoad::decode(later.encode_to_vec().as_slice());
    assert_eq!(read_by_earlier, Ok(earlier.clone()));
    let read_by_later = RelayLoad::decode(earlier.encode_to_vec().as_slice());
    let without_pace = RelayLoad {
        pace_percent: None,
        ..later
    };
    assert_eq!(read_by_later, Ok(without_pace));
}

const DAEMONS: usize = 112;
const ENDPOINTS: u32 = 95;
/// Daemons that the others poll.
const READERS: usize = 6;
/// Five a second for each daemon.
const ANSWERS_PER_MS: f64 = 0.56;
/// Time between two polls of the same peer, and the number of peers that a daemon polls.
const POLL_MS: u64 = 101;
const PEERS_POLLED: usize = 2;
const SECONDS: u64 = 4;

/// Returns the bytes of loads a second that a daemon which isn't a reader sends and receives.
fn load_bytes_per_s(has_pace: bool) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(1);
    let mut tables = vec![EndpointUpdateTable::default(); DAEMONS];
    let mut cursors = vec![[(0, 0); PEERS_POLLED]; DAEMONS];
    let (mut sent, mut received) = (0, 0);
    for now_ms in 10_000..10_000 + SECONDS * 1_000 {
        let now = MonotonicMs(now_ms);
        let arrivals = usize::from(random.random_bool(ANSWERS_PER_MS));
        for _ in 0..arrivals {
            let percent = random.random_range(50..150);
            let observation = Observation::Load {
                held: random.random_range(0..60),
                pace: EndpointPace::from_percent(percent).filter(|_| has_pace),
            };
            tables[random.random_range(0..DAEMONS)].observe(EndpointUpdate {
                endpoint: EndpointTag(random.random_range(0..ENDPOINTS)),
                observation,
                at: now,
            });
        }
        for daemon in (0..DAEMONS).filter(|it| (*it as u64 * 7 + now_ms).is_multiple_of(POLL_MS)) {
            for (rank, cursor) in cursors[daemon].iter_mut().enumerate() {
                let reader = (daemon * 5 + rank * 3 + 1) % READERS;
                if reader == daemon {
                    continue;
                }
                let (sent_version, received_version) = *cursor;
                let request = tables[daemon].after(now, sent_version);
                let own_version = tables[daemon].version();
                let bytes = |updates: &[EndpointUpdate]| -> usize {
                    let lens = updates.iter().map(|update| encoded_len(now, update));
                    lens.sum()
                };
                for update in &request {
                    tables[reader].observe(*update);
                }
                let reply = tables[reader].after(now, received_version);
                *cursor = (own_version, tables[reader].version());
                for update in &reply {
                    tables[daemon].observe(*update);
                }
                if daemon >= READERS {
                    sent += bytes(&request);
                    received += bytes(&reply);
                }
            }
        }
    }
    let daemon_seconds = ((DAEMONS - READERS) as u64 * SECONDS) as f64;
    (
        sent as f64 / daemon_seconds,
        received as f64 / daemon_seconds,
    )
}

/// Returns the bytes that a load takes up in a message.
fn encoded_len(now: MonotonicMs, update: &EndpointUpdate) -> usize {
    let Observation::Load { held, pace } = update.observation else {
        unreachable!("only loads are observed");
    };
    let load = RelayLoad {
        // Tags are evenly distributed hashes of four bytes.
        endpoint: update.endpoint.0 | 1 << 31,
        held,
        age_ms: u32::try_from((now - update.at).0).unwrap_or(u32::MAX),
        is_unreachable: false,
        is_leaving: false,
        pace_percent: pace.map(EndpointPace::percent),
    };
    // The field's tag and its length.
    load.encoded_len() + 2
}

/// Guards against the pace outgrowing the budget of a daemon for updates.
#[test]
fn pace_adds_a_quarter_to_the_loads_at_most() {
    let (sent, received) = load_bytes_per_s(false);
    let (sent_with, received_with) = load_bytes_per_s(true);
    println!(
        "sent {sent:.0}, {sent_with:.0} with the pace; received {received:.0}, {received_with:.0}"
    );
    assert!(sent_with <= sent * 1.25, "{sent_with}, {sent} without");
    assert!(
        received_with <= received * 1.25,
        "{received_with}, {received} without"
    );
}
