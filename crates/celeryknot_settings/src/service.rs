//! Settings of one service, under `teams/<team>/services/<service>`.

use celeryknot_core::{DurationMs, ModelName, SizeBytes, TokenCount};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// What kind of endpoints a service has.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines, called in the chat-completions form.
    #[default]
    Model,
    /// Plain services, called by path.
    Plain,
}

/// One rule that names calls of a plain service by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The prefix of the path.
    pub path_prefix: String,
}

/// How the requests of one service are treated.
///
/// Calls of a plain service are idempotent when the method is GET, HEAD or
/// OPTIONS or a rule in `idempotent_routes` names them; all others run at
/// most once. Calls of a model service are idempotent.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// What kind of endpoints the service has.
    pub kind: ServiceKind,
    /// The models that the service offers; empty for plain services.
    pub models: Vec<ModelName>,
    /// Most load of one endpoint, as a multiple of the mean.
    pub load_multiple: f64,
    /// Most requests in flight at one warm endpoint.
    pub in_flight_max: u32,
    /// Most requests in flight at an endpoint in cold start.
    pub cold_in_flight_max: u32,
    /// Time over which a warmed-up endpoint is ramped to its full load.
    pub ramp_ms: DurationMs,
    /// Most requests that wait for one endpoint.
    pub queue_len_max: u32,
    /// Longest wait in the queue.
    pub queue_wait_max_ms: DurationMs,
    /// Longest time from the request to the first byte of the answer.
    pub first_byte_timeout_ms: DurationMs,
    /// Longest silence within an answer.
    pub idle_timeout_ms: DurationMs,
    /// Largest request body.
    pub request_size_max_bytes: SizeBytes,
    /// Largest answer body.
    pub answer_size_max_bytes: SizeBytes,
    /// Speed at which an engine reads prompts, for cost estimates.
    pub prefill_tokens_per_s: f64,
    /// Tokens that an answer is expected to have where the caller gives no limit.
    pub answer_tokens_default: TokenCount,
    /// Retries and hedges allowed for each hundred fresh requests.
    pub retry_percent_max: u32,
    /// Most endpoints that may be passed over as sick, in a hundred.
    pub sick_percent_max: u32,
    /// Whether endpoints echo the request id, so that a crossed answer is seen.
    pub echoes_request_id: bool,
    /// Calls that are idempotent in spite of their method.
    pub idempotent_routes: Vec<RouteRule>,
    /// Whether every non-idempotent call needs a ticket, also one without a key.
    pub requires_ticket: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            models: Vec::new(),
            load_multiple: 1.25,
            in_flight_max: 64,
            cold_in_flight_max: 2,
            ramp_ms: DurationMs(5_000),
            queue_len_max: 256,
            queue_wait_max_ms: DurationMs(10_000),
            first_byte_timeout_ms: DurationMs(10_000),
            idle_timeout_ms: DurationMs(10_000),
            request_size_max_bytes: SizeBytes(1 << 20),
            answer_size_max_bytes: SizeBytes(16 << 20),
            prefill_tokens_per_s: 8_000.0,
            answer_tokens_default: TokenCount(200),
            retry_percent_max: 20,
            sick_percent_max: 30,
            echoes_request_id: true,
            idempotent_routes: Vec::new(),
            requires_ticket: false,
        }
    }
}
