//! Reads the store once, and then watches what changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use celeryknot_core::{Backoff, DurationMs};
use celeryknot_platform::{ByteMeter, PlatformClient, PlatformError};
use http::StatusCode;

use super::Publisher;
use crate::boundary::{Boundary, StoreRevision};
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

const BACKOFF_FIRST_MS: DurationMs = DurationMs(50);
const BACKOFF_LONGEST_MS: DurationMs = DurationMs(400);

/// Watches the store for as long as the thread runs.
pub(super) async fn watch_store<B: Boundary>(shared: Arc<Shared>, publisher: Rc<Publisher>) {
    let addresses = shared.settings.store_addresses.clone();
    let mut client = PlatformClient::new(addresses, 0, Arc::new(ByteMeter::default()));
    let mut backoff = Backoff::new(BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS);
    let mut position = None;
    let mut is_lost = false;
    loop {
        let result = match position {
            None => read_all::<B>(&mut client, &publisher).await,
            Some(after) => read_changes::<B>(&mut client, &publisher, after).await,
        };
        match result {
            Ok(at) => {
                position = Some(at);
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    tracing::info!(revision = at.0, "the store is back");
                }
            }
            Err(error) => {
                if matches!(error, PlatformError::Status(StatusCode::GONE)) {
                    tracing::info!(%error, "the store has dropped its history; reading it anew");
                    position = None;
                    continue;
                }
                publisher.note_outage();
                if !std::mem::replace(&mut is_lost, true) {
                    tracing::warn!(%error, "the store can't be read");
                }
                let pause = backoff.next_wait(rand::random());
                smol::Timer::after(pause.as_std()).await;
            }
        }
    }
}

async fn read_all<B: Boundary>(
    client: &mut PlatformClient,
    publisher: &Publisher,
) -> Result<StoreRevision, PlatformError> {
    let mut items = Vec::new();
    let mut first_at = None;
    loop {
        let after = items
            .last()
            .map(|item: &crate::boundary::StoreItem| item.key.as_str());
        let body = client.fetch(&B::list_uri(after), LIST_TIMEOUT).await?;
        let page = B::read_list(&body).map_err(|error| PlatformError::Body(error.to_string()))?;
        // Pages are no snapshot: what changed between them comes by the watch once more.
        let at = *first_at.get_or_insert(page.at);
        items.extend(page.items);
        if !page.has_more {
            publisher.apply_listing(at, items);
            return Ok(at);
        }
    }
}

async fn read_changes<B: Boundary>(
    client: &mut PlatformClient,
    publisher: &Publisher,
    after: StoreRevision,
) -> Result<StoreRevision, PlatformError> {
    let uri = B::watch_uri(after, WATCH_WAIT);
    let body = client
        .fetch(&uri, WATCH_WAIT.as_std() + ANSWER_MARGIN)
        .await?;
    let page = B::read_watch(&body).map_err(|error| PlatformError::Body(error.to_string()))?;
    publisher.apply_changes(page.at, page.items);
    Ok(page.at.max(after))
}
