//! Placement at the entry daemon: ranks the endpoints that may serve a request.

mod base_cost;
pub mod baseline;
pub mod context_aware;
pub mod explain;
mod hint;
pub mod holder_table;
mod lowest;
pub mod survival;
pub mod two_choices;

use celeryknot_core::{ChatKey, DurationMs, EndpointName, EndpointSummary, MonotonicMs};
use rand::Rng;
use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use baseline::{ConsistentHash, LeastLoad, Random, RoundRobin};
pub use context_aware::ContextAware;
pub use explain::{EndpointExplanation, PlacementIssue};
pub use holder_table::{Holder, HolderTable};
pub use survival::CacheSurvival;
pub use two_choices::TwoChoices;

/// Maximum number of candidates of one decision.
pub const CANDIDATES_MAX: usize = 4;

/// The candidates of one decision, best first.
pub type Candidates = SmallVec<[Candidate; CANDIDATES_MAX]>;

/// One endpoint of a service, built once per snapshot of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementEndpoint {
    /// The hash of the name, which identifies the endpoint in the tables of chats.
    pub name_hash: EndpointHash,
    /// The part of the expected time to the first token that does not depend on the chat.
    base_cost_ms: f64,
    /// Whether the endpoint accepts requests: neither it nor its zone is draining.
    pub accepts_requests: bool,
    /// Whether the endpoint is in the entry daemon's own zone.
    pub is_own_zone: bool,
    /// Whether the owner can start a request immediately.
    has_capacity: bool,
    summary: Option<EndpointSummary>,
    /// The endpoint's name.
    pub name: EndpointName,
}

/// The hash of an endpoint's name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u64);

impl EndpointHash {
    /// Hashes a name.
    pub fn new(name: &EndpointName) -> Self {
        Self(celeryknot_core::id::rendezvous_score(0, name.as_str()))
    }
}

impl PlacementEndpoint {
    /// Builds an endpoint without a summary.
    pub fn new(name: EndpointName) -> Self {
        Self {
            name_hash: EndpointHash::new(&name),
            base_cost_ms: base_cost::base_cost_ms(None),
            accepts_requests: true,
            is_own_zone: false,
            has_capacity: false,
            summary: None,
            name,
        }
    }

    /// Sets whether the endpoint accepts requests.
    #[must_use]
    pub fn with_accepts_requests(mut self, accepts_requests: bool) -> Self {
        self.accepts_requests = accepts_requests;
        self
    }

    /// Sets whether the endpoint is in the entry daemon's own zone.
    #[must_use]
    pub fn with_own_zone(mut self, is_own_zone: bool) -> Self {
        self.is_own_zone = is_own_zone;
        self
    }

    /// Sets the latest summary.
    #[must_use]
    pub fn with_summary(mut self, summary: Option<EndpointSummary>) -> Self {
        self.summary = summary;
        self.base_cost_ms = base_cost::base_cost_ms(summary.as_ref());
        self.has_capacity = base_cost::has_capacity(summary.as_ref());
        self
    }

    /// Returns the latest summary.
    pub fn summary(&self) -> Option<&EndpointSummary> {
        self.summary.as_ref()
    }

    /// Returns the wait that the endpoint's owner expects, or zero without a summary.
    pub fn wait_ms(&self) -> DurationMs {
        self.summary
            .map_or(DurationMs(0), |summary| summary.wait_ms)
    }
}

/// The properties of a request that placement considers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementRequest {
    /// The chat, for model services.
    pub chat: Option<ChatKey>,
    /// The endpoint that the caller's affinity value names.
    pub affinity: Option<EndpointName>,
    /// Number of tokens cached at that endpoint according to the affinity value.
    pub cached_tokens_hint: u32,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Endpoints that have already refused this request.
    pub excluded: SmallVec<[EndpointName; CANDIDATES_MAX]>,
}

/// Why an endpoint is a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CandidateReason {
    /// The caller's affinity value names it.
    Affinity,
    /// This daemon recently received a response of the chat from it.
    Recent,
    /// A cache event names it.
    CacheEvent,
    /// It is among the first in the chat's rendezvous order.
    #[strum(serialize = "order")]
    Rendezvous,
    /// It has one of the shortest waits.
    LeastWait,
    /// It was drawn at random.
    Random,
    /// It is next in round-robin order.
    #[strum(serialize = "turn")]
    RoundRobin,
}

/// An endpoint that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint's index in the list passed to [`Placement::rank`].
    pub index: usize,
    /// The expected wait before the endpoint starts the request.
    pub wait_ms: DurationMs,
    /// Tokens of the prompt that the endpoint is not expected to have cached.
    pub uncached_tokens: u32,
    /// The expected time to the first token plus the penalties of the endpoint.
    pub cost_ms: f64,
    /// The list index of an endpoint from which importing the chat's KV cache saves time; that
    /// endpoint need not accept requests.
    pub kv_source: Option<usize>,
    /// Why the endpoint is a candidate.
    pub reason: CandidateReason,
}

impl Candidate {
    /// Returns the longest wait here for which this candidate costs no more than another one.
    ///
    /// The time that the other candidate would spend on prefill justifies a longer wait here.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::DurationMs;
    /// use celeryknot_policy::placement::{Candidate, CandidateReason};
    ///
    /// let candidate = |wait_ms, cost_ms| Candidate {
    ///     index: 0,
    ///     wait_ms: DurationMs(wait_ms),
    ///     uncached_tokens: 0,
    ///     cost_ms,
    ///     kv_source: None,
    ///     reason: CandidateReason::Rendezvous,
    /// };
    /// let has_context = candidate(50, 60.0);
    /// let has_none = candidate(0, 400.0);
    /// assert_eq!(has_context.break_even_wait_ms(&has_none), DurationMs(390));
    /// ```
    pub fn break_even_wait_ms(&self, other: &Candidate) -> DurationMs {
        let own_work_ms = self.cost_ms - self.wait_ms.0 as f64;
        DurationMs((other.cost_ms - own_work_ms).max(0.0) as u64)
    }
}

/// Ranks the endpoints of a service for a request.
pub trait Placement {
    /// Returns up to four endpoints for the request, best first.
    ///
    /// Endpoints that don't accept requests or are excluded are never returned.
    fn rank<R: Rng>(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates;

    /// Records which endpoint answered a chat.
    fn observe_answer(&mut self, _now: MonotonicMs, _answer: &ChatAnswer) {}
}

/// Information about a chat's context from a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The chat.
    pub chat: ChatKey,
    /// The endpoint that answered.
    pub endpoint: EndpointHash,
    /// Tokens of the chat's context at that endpoint now: prompt and response.
    pub context_tokens: u32,
    /// Tokens of the prompt that the endpoint found in its cache, if it reports them.
    pub cached_tokens: Option<u32>,
}

/// Returns whether the request may be sent to the endpoint.
pub(crate) fn is_eligible(endpoint: &PlacementEndpoint, request: &PlacementRequest) -> bool {
    endpoint.accepts_requests && !request.excluded.contains(&endpoint.name)
}

/// Scores an endpoint in the rendezvous order of a chat; the highest score ranks first.
#[inline]
pub(crate) fn chat_rendezvous_score(chat: ChatKey, endpoint: EndpointHash) -> u64 {
    // Both inputs are hashes already, so one wide multiplication mixes them well enough.
    let product = u128::from(chat.0 ^ 0x9e37_79b9_7f4a_7c15) * u128::from(endpoint.0 | 1);
    (product >> 64) as u64 ^ product as u64
}
