//! Lists the store once and then watches its changes while this daemon must read the store.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryknot_core::DurationMs;
use celeryknot_platform::{ByteMeter, PlatformClient, PlatformError};
use http::{Response, StatusCode};

use super::Publisher;
use super::publisher::UpdateSource;
use crate::platform_protocol::{DecodeError, PlatformProtocol, StoreEra, StorePage, StoreRevision};
use crate::relay_log::RawItem;
use crate::shared::Shared;
use crate::store_calls::{
    CallOutcome, ROLE_CHECK_INTERVAL, StoreCall, StoreCalls, StoreWatch, must_reconnect,
};

/// Timeout for one page of a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Lifetime of the pages of an interrupted listing.
///
/// The subsequent watch needs the history since the first page, and the store keeps 20 s of it.
const LISTING_TTL: Duration = Duration::from_secs(10);

/// Watches the store until the thread ends.
pub(super) async fn watch_store<P: PlatformProtocol>(
    shared: Arc<Shared>,
    publisher: Rc<Publisher>,
) {
    let addresses = shared.settings.store_addresses.clone();
    let mut client = PlatformClient::new(addresses, 0, Arc::new(ByteMeter::default()));
    let mut calls = StoreCalls::default();
    let mut listing = Listing::default();
    let mut is_failing = false;
    let mut last_call_ended_at = Instant::now();
    loop {
        if !publisher.must_read_store() {
            smol::Timer::after(ROLE_CHECK_INTERVAL.as_std()).await;
            continue;
        }
        if must_reconnect(last_call_ended_at.elapsed().into()) {
            client.disconnect();
        }
        let result = match calls.next_call(publisher.position(), publisher.reader_rank()) {
            StoreCall::List { must_finish } => {
                list_store::<P>(&mut client, &publisher, &mut listing, must_finish).await
            }
            StoreCall::Watch(watch) => watch_changes::<P>(&mut client, &publisher, watch).await,
        };
        last_call_ended_at = Instant::now();
        let outcome = outcome_of(&result);
        shared.metrics.count_store_call(outcome.into());
        shared
            .is_store_unreachable
            .store(outcome == CallOutcome::Failed, Ordering::Release);
        match result {
            Ok(ReadEnd::SentByPeer) => {
                tracing::debug!("a peer sent the complete store; stopped the listing");
            }
            Ok(ReadEnd::Restored(era)) => {
                tracing::warn!(era = era.0, "the store was restored; listing it again");
                listing = Listing::default();
            }
            Ok(ReadEnd::Complete { at, .. }) => {
                publisher.note_store_read(DurationMs(0));
                publisher.shared.note_copied(publisher.now());
                if std::mem::take(&mut is_failing) {
                    tracing::info!(
                        era = at.era.0,
                        revision = at.number,
                        "the store can be read again"
                    );
                }
            }
            Err(PlatformError::Status(StatusCode::GONE)) => {
                tracing::info!("the store has dropped its history; listing it again");
                listing = Listing::default();
            }
            Err(error) => {
                publisher.note_outage();
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(%error, "the store can't be read");
                }
            }
        }
        let delay = calls.finish(outcome, publisher.reader_rank(), rand::random());
        smol::Timer::after(delay.as_std()).await;
    }
}

/// How a call of the store, or a listing, ended.
enum ReadEnd {
    /// What it returned is applied.
    Complete {
        /// The revision of the copy.
        at: StoreRevision,
        /// Whether it returned items.
        has_changes: bool,
    },
    /// A peer sent the complete store before the listing ended.
    SentByPeer,
    /// The store is in a later era than the daemon's copy, or than the listing's first page.
    Restored(StoreEra),
}

fn outcome_of(result: &Result<ReadEnd, PlatformError>) -> CallOutcome {
    match result {
        Ok(ReadEnd::Complete { has_changes, .. }) => CallOutcome::Answered {
            has_changes: *has_changes,
        },
        Ok(ReadEnd::SentByPeer) => CallOutcome::SentByPeer,
        Ok(ReadEnd::Restored(_)) => CallOutcome::Restored,
        Err(PlatformError::Status(StatusCode::GONE)) => CallOutcome::HistoryDropped,
        Err(_) => CallOutcome::Failed,
    }
}

/// The pages read so far in a listing.
#[derive(Debug, Default)]
struct Listing {
    /// The revision of the first page and when it was read.
    first: Option<(StoreRevision, Instant)>,
    items: Vec<RawItem>,
}

/// Reads the remaining pages of a listing; a failed listing continues on the next call.
///
/// A starting daemon stops as soon as a peer has sent it the complete store, unless it must list:
/// otherwise hundreds of daemons that start together would each read every page from the store.
async fn list_store<P: PlatformProtocol>(
    client: &mut PlatformClient,
    publisher: &Publisher,
    listing: &mut Listing,
    must_list: bool,
) -> Result<ReadEnd, PlatformError> {
    if listing
        .first
        .is_some_and(|(_, at)| at.elapsed() > LISTING_TTL)
    {
        *listing = Listing::default();
    }
    loop {
        let after = listing.items.last().map(|item| item.key.as_str());
        let response = client.fetch(&P::list_uri(after), LIST_TIMEOUT).await?;
        let page = read_page::<P>(&response, P::read_list, publisher)?;
        // Pages are not a snapshot: the watch repeats the changes between them.
        let (at, _) = *listing.first.get_or_insert((page.at, Instant::now()));
        if page.at.era != at.era {
            return Ok(ReadEnd::Restored(page.at.era));
        }
        listing.items.extend(page.items);
        if publisher.position().is_some() && !must_list {
            *listing = Listing::default();
            return Ok(ReadEnd::SentByPeer);
        }
        if !page.has_more {
            let items = std::mem::take(listing).items;
            publisher.apply_items::<P>(UpdateSource::Store, at, true, items);
            return Ok(ReadEnd::Complete {
                at,
                has_changes: true,
            });
        }
    }
}

async fn watch_changes<P: PlatformProtocol>(
    client: &mut PlatformClient,
    publisher: &Publisher,
    watch: StoreWatch,
) -> Result<ReadEnd, PlatformError> {
    let after = watch.after;
    let uri = P::watch_uri(after, watch.wait_ms);
    let response = client.fetch(&uri, watch.timeout_ms.as_std()).await?;
    let page = read_page::<P>(&response, P::read_watch, publisher)?;
    if page.at.era > after.era {
        // Changes since a revision that means something else in this era.
        return Ok(ReadEnd::Restored(page.at.era));
    }
    let has_changes = !page.items.is_empty();
    publisher.apply_items::<P>(UpdateSource::Store, page.at, false, page.items);
    Ok(ReadEnd::Complete {
        at: page.at.max(after),
        has_changes,
    })
}

/// Decodes a response; one of an earlier era than the daemon's copy is an error.
fn read_page<P: PlatformProtocol>(
    response: &Response<Bytes>,
    decode: impl Fn(&[u8]) -> Result<StorePage, DecodeError>,
    publisher: &Publisher,
) -> Result<StorePage, PlatformError> {
    let body_error = |error: DecodeError| PlatformError::Body(error.to_string());
    let era = P::read_era(response.headers()).map_err(body_error)?;
    let known = publisher.position().unwrap_or_default().era;
    if era < known {
        let reason = format!("it is of era {era}, and era {known} is known");
        return Err(PlatformError::Body(reason));
    }
    let page = decode(response.body()).map_err(body_error)?;
    if page.unreadable_items > 0 {
        let items = page.unreadable_items;
        tracing::warn!(items, "the store has items that can't be read");
    }
    Ok(page.in_era(era))
}
