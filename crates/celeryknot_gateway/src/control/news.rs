//! Asks peers for news of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celeryknot_core::DurationMs;
use celeryknot_core::id::rendezvous_score;
use celeryknot_peers::relay::NewsClient;
use smol::LocalExecutor;

use super::Publisher;
use super::publisher::NewsCursor;
use crate::boundary::Boundary;

/// Peers that a daemon asks at the same time, so that the loss of one delays nothing.
const NEWS_SOURCES: usize = 2;

/// Time between two looks at whether this daemon is a reader.
const ROLE_PERIOD: Duration = Duration::from_millis(500);

/// Shortest and longest time that a peer waits for news before it answers without.
const NEWS_WAIT_MIN: DurationMs = DurationMs(100);
const NEWS_WAIT_MAX: DurationMs = DurationMs(400);

/// Wait for news times the number of daemons, between those two.
///
/// The more daemons there are, the less of the endpoints' load does one cause and know itself.
const NEWS_WAIT_PER_DAEMON_MS: u64 = 4_000;

/// Time for which the same peer is asked, unless it fails.
const SOURCE_LIFE_MS: u64 = 10_000;

/// Questions after which a seed is asked once, so that separate groups of daemons find together.
const SEED_EVERY: u64 = 16;

/// Pause where there is nobody to ask, or the one asked has failed; shorter until there is news.
const PAUSE: Duration = Duration::from_millis(200);
const FIRST_PAUSE: Duration = Duration::from_millis(30);

/// Time for which a daemon with many endpoints waits for each of them.
///
/// An answer holds some six bytes for each endpoint with requests, so that two answers at a time
/// keep within the 8 KB a second that a daemon may spend on others.
const NEWS_WAIT_PER_ENDPOINT_MS: f64 = 0.75;

/// Longest wait, however many endpoints there are; counts are of use for two seconds.
const NEWS_WAIT_ENDPOINTS_MAX: DurationMs = DurationMs(1_000);

/// Asks the peer at a place of the ranking, again and again; beyond the first places only a reader
/// does, so that the readers know what each of them was told.
pub(super) async fn follow_peers<B: Boundary>(
    executor: Rc<LocalExecutor<'static>>,
    publisher: Rc<Publisher>,
    place: usize,
) {
    let mut client: Option<NewsClient> = None;
    let mut cursor = NewsCursor::default();
    let mut is_lost = false;
    let mut count = 0u64;
    loop {
        count += 1;
        if place >= NEWS_SOURCES && !publisher.is_reader() {
            smol::Timer::after(ROLE_PERIOD).await;
            continue;
        }
        let Some(address) = pick_source(&publisher, place, count) else {
            smol::Timer::after(pause(&publisher)).await;
            continue;
        };
        let mut asked = match client.take() {
            Some(open) if open.address() == address => open,
            Some(_) | None => {
                cursor = NewsCursor::default();
                NewsClient::new(&executor, address)
            }
        };
        let wait = news_wait(publisher.member_count(), publisher.endpoint_count());
        let question = publisher.question(wait, &cursor, place == 0);
        let told = publisher.news_version();
        match asked.ask(question).await {
            Ok(reply) => {
                if std::mem::take(&mut is_lost) {
                    tracing::info!(peer = %address, "news of a peer again");
                }
                cursor = NewsCursor {
                    told,
                    heard: reply.news_at,
                };
                publisher.take_reply::<B>(reply);
                client = Some(asked);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    tracing::warn!(peer = %address, %error, "a peer gives no news");
                }
                publisher.note_silent(address);
                smol::Timer::after(pause(&publisher)).await;
            }
        }
    }
}

fn news_wait(daemons: usize, endpoints: usize) -> DurationMs {
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    let for_daemons =
        DurationMs(NEWS_WAIT_PER_DAEMON_MS / daemons).clamp(NEWS_WAIT_MIN, NEWS_WAIT_MAX);
    let for_endpoints = DurationMs((endpoints as f64 * NEWS_WAIT_PER_ENDPOINT_MS) as u64);
    for_daemons.max(for_endpoints.min(NEWS_WAIT_ENDPOINTS_MAX))
}

fn pause(publisher: &Publisher) -> Duration {
    match publisher.position() {
        None => FIRST_PAUSE,
        Some(_) => PAUSE,
    }
}

fn pick_source(publisher: &Publisher, place: usize, count: u64) -> Option<SocketAddr> {
    let settings = &publisher.shared.settings;
    let epoch = publisher.now().0 / SOURCE_LIFE_MS;
    let draw = rendezvous_score(epoch, settings.name.as_str());
    let sources = publisher.sources(draw);
    let is_seed_turn = place > 0 && count.is_multiple_of(SEED_EVERY);
    if let Some(source) = sources.get(place)
        && !is_seed_turn
    {
        return Some(source.address);
    }
    let seeds: Vec<SocketAddr> = settings
        .seeds
        .iter()
        .copied()
        .filter(|seed| *seed != settings.peers_address)
        .collect();
    let turn = usize::try_from(count).unwrap_or(0) + place;
    let seed = seeds.get(turn.checked_rem(seeds.len())?).copied();
    // A place without a peer of its own asks nobody twice.
    match sources.is_empty() || is_seed_turn {
        true => seed,
        false => None,
    }
}
