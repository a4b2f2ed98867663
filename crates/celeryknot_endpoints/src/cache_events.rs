//! Cache events of engines, which may arrive late and with gaps.

use std::net::SocketAddr;

use celeryknot_core::{ChatKey, DurationMs, ErrorKind, TokenCount};
use serde::{Deserialize, Serialize};

use crate::connection::ConnectionPool;
use crate::load::fetch_document;

/// Time allowed for a response beyond the long poll's wait.
const RESPONSE_MARGIN: DurationMs = DurationMs(1_000);

/// What happened to a chat's prefix in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; the sequence may have gaps.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The key of the chat, in hex on the wire.
    #[serde(with = "hex_key")]
    pub chat: ChatKey,
    /// Tokens of the prefix.
    pub tokens: TokenCount,
}

mod hex_key {
    use celeryknot_core::ChatKey;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(
        key: &ChatKey,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(key)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<ChatKey, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    events: Vec<CacheEvent>,
}

/// Long-polls an engine for the cache events after the sequence number `after`.
///
/// # Errors
///
/// The kind of failure if the request fails or the response is invalid.
pub async fn fetch_cache_events(
    connections: &ConnectionPool,
    address: SocketAddr,
    after: u64,
    wait: DurationMs,
) -> Result<Vec<CacheEvent>, ErrorKind> {
    let path = format!("/v1/cache-events?after={after}&wait_ms={}", wait.0);
    let timeout = DurationMs(wait.0 + RESPONSE_MARGIN.0);
    let body = fetch_document(connections, address, &path, timeout).await?;
    let response: CacheEventsResponse =
        serde_json::from_slice(&body).map_err(|_| ErrorKind::AnswerIncomplete)?;
    Ok(response.events)
}
