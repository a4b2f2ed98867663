//! Polls peers for updates.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celeryknot_core::DurationMs;
use celeryknot_core::id::rendezvous_score;
use celeryknot_peers::relay::UpdatesClient;
use smol::LocalExecutor;

use super::Publisher;
use super::publisher::UpdateCursor;
use crate::platform_protocol::PlatformProtocol;

/// Number of peers that a daemon polls concurrently, so that one peer's failure causes no delay.
const PEERS_POLLED: usize = 2;

/// Interval between checks whether this daemon is a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest and longest time for which a peer waits for updates before it replies without any.
const POLL_WAIT_MIN: DurationMs = DurationMs(100);
const POLL_WAIT_MAX: DurationMs = DurationMs(400);

/// Poll wait multiplied by the number of daemons, clamped to `POLL_WAIT_MIN..=POLL_WAIT_MAX`.
///
/// With more daemons, each of them causes and observes a smaller part of the endpoints' load, and
/// needs updates sooner.
const POLL_WAIT_TIMES_DAEMONS_MS: u64 = 4_000;

/// Time for which the same peer is polled unless it fails.
const PEER_ROTATION_MS: u64 = 10_000;

/// One poll in this many goes to a seed, so that separate groups of daemons merge.
const SEED_POLL_EVERY: u64 = 16;

/// Delay if there is no peer to poll or a poll failed; shorter until the store's state is known.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
const FIRST_POLL_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Poll wait per endpoint, for many endpoints.
///
/// A reply contains some six bytes for each endpoint with requests; two concurrent polls stay
/// within the 8 KB per second that a daemon may spend on peers.
const POLL_WAIT_PER_ENDPOINT_MS: f64 = 0.75;

/// Upper limit of the per-endpoint poll wait; counts expire after two seconds.
const POLL_WAIT_FOR_ENDPOINTS_MAX: DurationMs = DurationMs(1_000);

/// Polls the peer at a rank of the poll targets in a loop.
///
/// Beyond the first ranks only readers poll, to exchange their subtotals of requests in flight.
pub(super) async fn poll_peer<P: PlatformProtocol>(
    executor: Rc<LocalExecutor<'static>>,
    publisher: Rc<Publisher>,
    rank: usize,
) {
    let mut client: Option<UpdatesClient> = None;
    let mut cursor = UpdateCursor::default();
    let mut is_failing = false;
    let mut poll_count = 0u64;
    loop {
        poll_count += 1;
        if rank >= PEERS_POLLED && !publisher.is_reader() {
            smol::Timer::after(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let Some(address) = pick_peer(&publisher, rank, poll_count) else {
            smol::Timer::after(retry_delay(&publisher)).await;
            continue;
        };
        let mut peer_client = match client.take() {
            Some(open) if open.address() == address => open,
            Some(_) | None => {
                cursor = UpdateCursor::default();
                UpdatesClient::new(&executor, address)
            }
        };
        let wait = poll_wait(publisher.member_count(), publisher.endpoint_count());
        let request = publisher.poll_request(wait, &cursor, rank == 0);
        let sent = publisher.update_version();
        match peer_client.poll(request).await {
            Ok(reply) => {
                if std::mem::take(&mut is_failing) {
                    tracing::info!(peer = %address, "peer responds to polls again");
                }
                cursor = UpdateCursor {
                    sent,
                    received: reply.updates_version,
                };
                publisher.apply_reply::<P>(reply);
                client = Some(peer_client);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(peer = %address, %error, "a peer gives no news");
                }
                publisher.note_unresponsive(address);
                smol::Timer::after(retry_delay(&publisher)).await;
            }
        }
    }
}

fn poll_wait(daemons: usize, endpoints: usize) -> DurationMs {
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    let for_daemons =
        DurationMs(POLL_WAIT_TIMES_DAEMONS_MS / daemons).clamp(POLL_WAIT_MIN, POLL_WAIT_MAX);
    let for_endpoints = DurationMs((endpoints as f64 * POLL_WAIT_PER_ENDPOINT_MS) as u64);
    for_daemons.max(for_endpoints.min(POLL_WAIT_FOR_ENDPOINTS_MAX))
}

fn retry_delay(publisher: &Publisher) -> Duration {
    match publisher.position() {
        None => FIRST_POLL_RETRY_DELAY,
        Some(_) => POLL_RETRY_DELAY,
    }
}

fn pick_peer(publisher: &Publisher, rank: usize, poll_count: u64) -> Option<SocketAddr> {
    let settings = &publisher.shared.settings;
    let epoch = publisher.now().0 / PEER_ROTATION_MS;
    let shuffle_key = rendezvous_score(epoch, settings.name.as_str());
    let poll_targets = publisher.poll_targets(shuffle_key);
    let is_seed_due = rank > 0 && poll_count.is_multiple_of(SEED_POLL_EVERY);
    if let Some(target) = poll_targets.get(rank)
        && !is_seed_due
    {
        return Some(target.address);
    }
    let seeds: Vec<SocketAddr> = settings
        .seeds
        .iter()
        .copied()
        .filter(|seed| *seed != settings.peers_address)
        .collect();
    let seed_index = usize::try_from(poll_count).unwrap_or(0) + rank;
    let seed = seeds.get(seed_index.checked_rem(seeds.len())?).copied();
    // Without a peer at this rank, don't poll another rank's peer twice.
    match poll_targets.is_empty() || is_seed_due {
        true => seed,
        false => None,
    }
}
