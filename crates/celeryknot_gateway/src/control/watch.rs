//! Reads the store once, and then watches what changes, for as long as this daemon is a reader.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use celeryknot_core::{Backoff, DurationMs};
use celeryknot_platform::{ByteMeter, PlatformClient, PlatformError};
use http::StatusCode;

use super::Publisher;
use super::publisher::NewsSource;
use crate::boundary::{Boundary, StoreRevision};
use crate::relay_log::RawItem;
use crate::shared::Shared;

/// Longest wait of one watch.
///
/// A connection may fall silent without a reset, and news must then come by the next watch
/// before the machine counts as in touch again, three seconds later.
const WATCH_WAIT: DurationMs = DurationMs(2_000);

/// Time beyond the wait after which a store that says nothing is taken to be unreachable.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Longest time for one page of a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the pages of a listing that was broken off are of use.
///
/// The watch that follows needs the history since the first page, of which the store keeps 20 s.
const LISTING_LIFE: Duration = Duration::from_secs(10);

/// Shortest and longest pause between two watches, in which changes that come together are
/// gathered.
///
/// All readers' watches are answered by the same change. With pauses that differ, one of them
/// watches again soon, hears of the next change and tells the others, which then ask less often.
const GATHER_MIN_MS: u64 = 50;
const GATHER_MAX_MS: u64 = 400;

/// Pause after the first listing, in which a daemon that has just started finds others that read
/// the store already.
const FIRST_PAUSE: Duration = Duration::from_millis(600);

/// Time between two looks at whether this daemon is a reader.
const ROLE_PERIOD: Duration = Duration::from_millis(100);

const BACKOFF_FIRST_MS: DurationMs = DurationMs(50);
const BACKOFF_LONGEST_MS: DurationMs = DurationMs(400);

/// Longest pause after a failure, of a daemon that is no reader.
const BACKOFF_OTHERS_MS: DurationMs = DurationMs(2_000);

/// Watches the store for as long as the thread runs.
pub(super) async fn watch_store<B: Boundary>(shared: Arc<Shared>, publisher: Rc<Publisher>) {
    let addresses = shared.settings.store_addresses.clone();
    let mut client = PlatformClient::new(addresses, 0, Arc::new(ByteMeter::default()));
    let mut backoff = Backoff::new(BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS);
    let mut must_list = false;
    let mut has_read = false;
    let mut listing = Listing::default();
    let mut is_lost = false;
    loop {
        if !publisher.must_read_store() {
            smol::Timer::after(ROLE_PERIOD).await;
            continue;
        }
        let result = match publisher.position().filter(|_| !must_list) {
            None => read_all::<B>(&mut client, &publisher, &mut listing, must_list).await,
            Some(after) => {
                let changes = read_changes::<B>(&mut client, &publisher, after);
                changes.await.map(Some)
            }
        };
        let outcome = match &result {
            Ok(_) => "answered",
            Err(PlatformError::Status(StatusCode::GONE)) => "history-dropped",
            Err(_) => "failed",
        };
        shared.metrics.store_called(outcome);
        let is_away = outcome == "failed";
        shared.is_store_away.store(is_away, Ordering::Release);
        match result {
            Ok(None) => {
                tracing::debug!("a peer has told everything; the listing is left off");
            }
            Ok(Some(at)) => {
                let is_first = !has_read;
                (has_read, must_list) = (true, false);
                backoff.reset();
                publisher.note_store_heard(DurationMs(0));
                if std::mem::take(&mut is_lost) {
                    tracing::info!(revision = at.0, "the store is back");
                }
                let gather_ms = rand::random_range(GATHER_MIN_MS..GATHER_MAX_MS);
                let pause = match is_first {
                    true => FIRST_PAUSE,
                    false => Duration::from_millis(gather_ms),
                };
                smol::Timer::after(pause).await;
            }
            Err(PlatformError::Status(StatusCode::GONE)) => {
                tracing::info!("the store has dropped its history; reading it anew");
                must_list = true;
                listing = Listing::default();
            }
            Err(error) => {
                publisher.note_outage();
                if !std::mem::replace(&mut is_lost, true) {
                    tracing::warn!(%error, "the store can't be read");
                }
                let pause = backoff.next_wait(rand::random());
                smol::Timer::after(pause.as_std()).await;
                if !publisher.is_reader() {
                    // The readers look for the store; all daemons together must not press it.
                    let pause_ms = rand::random_range(0..BACKOFF_OTHERS_MS.0);
                    smol::Timer::after(DurationMs(pause_ms).as_std()).await;
                }
            }
        }
    }
}

/// The pages of a listing that have been read.
#[derive(Debug, Default)]
struct Listing {
    /// The revision of the first page, and when that was read.
    first: Option<(StoreRevision, Instant)>,
    items: Vec<RawItem>,
}

/// Reads the pages that are left of a listing; one that fails is gone on with the next time.
///
/// A daemon that starts leaves off as soon as a peer has told it everything, unless it must list:
/// when hundreds start at once, the store would otherwise have to give each of them every page.
async fn read_all<B: Boundary>(
    client: &mut PlatformClient,
    publisher: &Publisher,
    listing: &mut Listing,
    must_list: bool,
) -> Result<Option<StoreRevision>, PlatformError> {
    if listing
        .first
        .is_some_and(|(_, at)| at.elapsed() > LISTING_LIFE)
    {
        *listing = Listing::default();
    }
    loop {
        let after = listing.items.last().map(|item| item.key.as_str());
        let body = client.fetch(&B::list_uri(after), LIST_TIMEOUT).await?;
        let page = B::read_list(&body).map_err(|error| PlatformError::Body(error.to_string()))?;
        // Pages are no snapshot: what changed between them comes by the watch once more.
        let (at, _) = *listing.first.get_or_insert((page.at, Instant::now()));
        listing.items.extend(page.items);
        if publisher.position().is_some() && !must_list {
            *listing = Listing::default();
            return Ok(None);
        }
        if !page.has_more {
            let items = std::mem::take(listing).items;
            publisher.take_items::<B>(NewsSource::Store, at, true, items);
            return Ok(Some(at));
        }
    }
}

async fn read_changes<B: Boundary>(
    client: &mut PlatformClient,
    publisher: &Publisher,
    after: StoreRevision,
) -> Result<StoreRevision, PlatformError> {
    let uri = B::watch_uri(after, WATCH_WAIT);
    let limit = WATCH_WAIT.as_std() + ANSWER_MARGIN;
    let body = client.fetch(&uri, limit).await?;
    let page = B::read_watch(&body).map_err(|error| PlatformError::Body(error.to_string()))?;
    publisher.take_items::<B>(NewsSource::Store, page.at, false, page.items);
    Ok(page.at.max(after))
}
