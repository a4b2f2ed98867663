//! JSON forms of engines, plain services and the stand-ins' own requests.
//!
//! The platform's forms are those of `celeryknot_platform`.

use serde::{Deserialize, Serialize};

use crate::text::Message;

/// The body of a platform's `POST /stand-in/mode`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformMode {
    /// Every call is cut without an answer.
    pub down: Option<bool>,
    /// The replica keeps what it knows and learns nothing new.
    pub stale: Option<bool>,
    /// How old the instance list is.
    pub instance_lag_ms: Option<u64>,
}

/// The answer to a platform's `GET /stand-in/calls`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// All calls so far, a waiting watch counted once.
    pub calls: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Calls refused for the rate limit.
    pub refused: u64,
}

/// The body of an endpoint's `POST /stand-in/mode`; what is left out stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointMode {
    /// Turns the endpoint cold, or warm.
    pub cold: Option<bool>,
    /// Makes all work take this many times as long.
    pub slow_factor: Option<f64>,
    /// Requests that fail, in a hundred.
    pub fail_percent: Option<u32>,
    /// Requests are taken and never answered.
    pub silent: Option<bool>,
    /// Answers that are cut in the middle, in a hundred.
    pub truncate_percent: Option<u32>,
    /// Answers that belong to another request, in a hundred.
    pub cross_percent: Option<u32>,
}

/// The answer to `GET /v1/load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the endpoint holds.
    pub in_flight: u32,
    /// Those of them that wait for room in the batch.
    pub queued: u32,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// The most work that the endpoint can bear now.
    pub bound: u32,
    /// An engine's model version.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<String>,
    /// An engine's role.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub role: Option<String>,
    /// Tokens in an engine's cache.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub kv_tokens_used: Option<u64>,
    /// Tokens that an engine's cache can hold.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub kv_tokens_max: Option<u64>,
}

impl Load {
    /// Returns the value of the header `Celeryknot-Load`.
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
    /// The chat so far.
    pub messages: Vec<Message>,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub max_tokens: Option<u32>,
}

/// Token counts of one answer.
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
    /// Tokens that it covers.
    pub tokens: u32,
    /// The tokens, eight hex digits each.
    pub blob: String,
}

/// What happened to the cache of a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The chat's cache was stored or has grown.
    Stored,
    /// The chat's cache was evicted.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event, also with those that get lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The chat key, 16 hex digits.
    pub chat: String,
    /// Tokens in the cache.
    pub tokens: u32,
}

/// The answer to `GET /v1/cache-events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after the one asked for.
    pub events: Vec<CacheEvent>,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model version.
    LoadModel {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// An adapter on top.
        adapter: Option<String>,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Orders with a lower number than the highest seen are old.
    pub fencing: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// The answer to an order that is refused as old.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingAnswer {
    /// The highest number seen.
    pub fencing: u64,
}

/// The body of `POST /bookings`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BookingRequest {
    /// What is booked.
    pub slot: String,
    /// For whom it is booked.
    pub party: String,
}

/// The answer to a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// What is booked.
    pub slot: String,
    /// For whom it is booked.
    pub party: String,
    /// The number of the booking.
    pub booking: u64,
}
