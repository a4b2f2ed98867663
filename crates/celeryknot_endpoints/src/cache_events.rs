//! Cache events of engines: late, with gaps.

use std::net::SocketAddr;

use celeryknot_core::{ChatKey, DurationMs, ErrorKind, TokenCount};
use serde::{Deserialize, Serialize};

use crate::connection::Connections;
use crate::load::fetch;

/// Time on top of the wait for the answer to arrive.
const ANSWER_TIME: DurationMs = DurationMs(1_000);

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
    /// Its number; numbers may be missing.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The chat, in hex on the wire.
    #[serde(with = "hex_key")]
    pub chat: ChatKey,
    /// Tokens of the prefix.
    pub tokens: TokenCount,
}

mod hex_key {
    use celeryknot_core::ChatKey;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(key: &ChatKey, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(key)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<ChatKey, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(de::Error::custom)
    }
}

#[derive(Deserialize)]
struct CacheEventsForm {
    events: Vec<CacheEvent>,
}

/// Waits for the engine's cache events after a number.
///
/// # Errors
///
/// Why no events came.
pub async fn fetch_cache_events(
    connections: &Connections,
    address: SocketAddr,
    after: u64,
    wait: DurationMs,
) -> Result<Vec<CacheEvent>, ErrorKind> {
    let path = format!("/v1/cache-events?after={after}&wait_ms={}", wait.0);
    let timeout = DurationMs(wait.0 + ANSWER_TIME.0);
    let body = fetch(connections, address, &path, timeout).await?;
    let form: CacheEventsForm =
        serde_json::from_slice(&body).map_err(|_| ErrorKind::AnswerIncomplete)?;
    Ok(form.events)
}
