//! JSON types of engines, of plain services and of the stand-ins' control requests.
//!
//! `celeryknot_platform` defines the JSON types of the platform.

use celeryknot_core::header;
use serde::{Deserialize, Serialize};

use crate::text::Message;

/// The body of a platform's `POST /stand-in/mode`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformMode {
    /// Whether calls are aborted without a response.
    pub down: Option<bool>,
    /// Whether the replica ignores updates.
    pub stale: Option<bool>,
    /// Staleness of the instance list.
    pub instance_lag_ms: Option<u64>,
}

/// The response to a platform's `GET /stand-in/calls`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// Calls so far; a watch that waits counts once.
    pub calls: u64,
    /// Watches that are waiting.
    pub waiting: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
}

/// The body of an endpoint's `POST /stand-in/mode`; omitted fields stay unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointMode {
    /// Whether the endpoint is cold.
    pub cold: Option<bool>,
    /// Factor by which work takes longer.
    pub slow_factor: Option<f64>,
    /// Percentage of failing requests.
    pub fail_percent: Option<u32>,
    /// Whether requests get no response.
    pub silent: Option<bool>,
    /// Percentage of truncated responses.
    pub truncate_percent: Option<u32>,
    /// Percentage of responses to another request.
    pub cross_percent: Option<u32>,
    /// Requests per second that the endpoint states that it accepts; a negative number lifts the
    /// limit. The endpoint doesn't refuse further requests.
    pub rate_limit_per_s: Option<f64>,
}

impl EndpointMode {
    /// Returns the rate limit that the endpoint states, if any.
    pub(crate) fn stated_rate_limit_per_s(&self) -> Option<f64> {
        self.rate_limit_per_s.filter(|rate| *rate >= 0.0)
    }
}

/// The response to `GET /v1/load`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight, queued ones included.
    pub in_flight: u32,
    /// Requests that wait for a slot in the batch.
    pub queued: u32,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// The current concurrency limit.
    pub bound: u32,
    /// Requests per second that the endpoint accepts from all daemons together, if it limits them.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub rate_limit_per_s: Option<f64>,
    /// An engine's model version.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<String>,
    /// An engine's role.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<String>,
    /// Tokens in an engine's prefix cache.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub kv_tokens_used: Option<u64>,
    /// Capacity of an engine's prefix cache.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub kv_tokens_max: Option<u64>,
}

impl Load {
    /// Returns the header fields that state the load and the rate limit.
    pub(crate) fn headers(&self) -> impl Iterator<Item = (&'static str, String)> + use<> {
        let rate_limit = self.rate_limit_per_s.map(|rate| rate.to_string());
        let rate_limit = rate_limit.map(|text| (header::RATE_LIMIT, text));
        [(header::LOAD, self.header_value())]
            .into_iter()
            .chain(rate_limit)
    }

    /// Formats the value of the header `Celeryknot-Load`.
    pub fn header_value(&self) -> String {
        format!(
            "in_flight={};queued={};cold={};bound={}",
            self.in_flight,
            self.queued,
            u8::from(self.cold),
            self.bound
        )
    }
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The messages of the chat so far.
    pub messages: Vec<Message>,
    /// Whether the tokens are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Limits the tokens of the answer.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub max_tokens: Option<u32>,
}

/// Token counts of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens of the prompt that were found in the cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// An exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The number of tokens.
    pub tokens: u32,
    /// The tokens, as eight hex digits each.
    pub blob: String,
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The chat's cache was stored or extended.
    Stored,
    /// The chat's cache was evicted.
    Evicted,
}

/// A change of a chat's cache entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number, which counts dropped events too.
    pub seq: u64,
    /// The kind of the event.
    pub kind: CacheEventKind,
    /// The chat key, as 16 hex digits.
    pub chat: String,
    /// Cached tokens of the chat.
    pub tokens: u32,
}

/// The response to `GET /v1/cache-events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after the requested sequence number.
    pub events: Vec<CacheEvent>,
}

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Loads a model version.
    LoadModel {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// An adapter to load on top of the model.
        adapter: Option<String>,
    },
    /// Changes the engine's role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing token; orders below the highest token received are outdated.
    pub fencing: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// The response to an order that is refused as outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingAnswer {
    /// The highest fencing token received.
    pub fencing: u64,
}

/// The body of `POST /bookings`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BookingRequest {
    /// The booked slot.
    pub slot: String,
    /// The party that books the slot.
    pub party: String,
}

/// The response to a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// The booked slot.
    pub slot: String,
    /// The party that books the slot.
    pub party: String,
    /// The number of the booking.
    pub booking: u64,
}
