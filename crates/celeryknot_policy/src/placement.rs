//! Placement at the entry daemon: which endpoint a request is best sent to.

mod base_cost;
pub mod baseline;
mod best;
pub mod context_aware;
pub mod explain;
mod hint;
pub mod holder_table;
pub mod survival;
pub mod two_choices;

use celeryknot_core::{ChatKey, DurationMs, EndpointName, EndpointSummary, MonotonicMs};
use rand::Rng;
use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use baseline::{ConsistentHash, LeastLoad, Random, RoundRobin};
pub use context_aware::ContextAware;
pub use explain::{EndpointExplanation, Objection};
pub use holder_table::{Holder, HolderTable};
pub use survival::CacheSurvival;
pub use two_choices::TwoChoices;

/// Most candidates of one decision.
pub const CANDIDATES_MAX: usize = 4;

/// The candidates of one decision, the best first.
pub type Candidates = SmallVec<[Candidate; CANDIDATES_MAX]>;

/// One endpoint of a service, prepared once for each snapshot of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementEndpoint {
    /// The hash of the name, by which chats remember endpoints.
    pub name_hash: EndpointHash,
    /// The expected time to the first token that does not depend on the chat.
    base_ms: f64,
    /// Whether the endpoint may get new work: it is not leaving and its zone is in.
    pub takes_new_work: bool,
    /// Whether the endpoint stands in the entry daemon's own zone.
    pub is_own_zone: bool,
    /// Whether the owner would start a request at once.
    has_room: bool,
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
    /// Builds an endpoint of which no summary has come.
    pub fn new(name: EndpointName) -> Self {
        Self {
            name_hash: EndpointHash::new(&name),
            base_ms: base_cost::base_ms(None),
            takes_new_work: true,
            is_own_zone: false,
            has_room: false,
            summary: None,
            name,
        }
    }

    /// Sets whether the endpoint may get new work.
    #[must_use]
    pub fn with_takes_new_work(mut self, takes_new_work: bool) -> Self {
        self.takes_new_work = takes_new_work;
        self
    }

    /// Sets whether the endpoint stands in the entry daemon's own zone.
    #[must_use]
    pub fn with_own_zone(mut self, is_own_zone: bool) -> Self {
        self.is_own_zone = is_own_zone;
        self
    }

    /// Sets the last summary.
    #[must_use]
    pub fn with_summary(mut self, summary: Option<EndpointSummary>) -> Self {
        self.summary = summary;
        self.base_ms = base_cost::base_ms(summary.as_ref());
        self.has_room = base_cost::has_room(summary.as_ref());
        self
    }

    /// Returns the last summary.
    pub fn summary(&self) -> Option<&EndpointSummary> {
        self.summary.as_ref()
    }

    /// Returns the wait that the endpoint's owner expects, or none where nothing is known.
    pub fn wait_ms(&self) -> DurationMs {
        self.summary
            .map_or(DurationMs(0), |summary| summary.wait_ms)
    }
}

/// What is known of a request when it is placed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementRequest {
    /// The chat, for model services.
    pub chat: Option<ChatKey>,
    /// The endpoint that the caller's affinity value names.
    pub affinity: Option<EndpointName>,
    /// Tokens that the affinity value says are cached there.
    pub cached_tokens_hint: u32,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Endpoints that refused this request already.
    pub excluded: SmallVec<[EndpointName; CANDIDATES_MAX]>,
}

/// Why an endpoint is a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CandidateReason {
    /// The caller's affinity value names it.
    Affinity,
    /// This daemon saw the chat there.
    Recent,
    /// A cache event names it.
    CacheEvent,
    /// It comes first, or next, in the chat's rendezvous order.
    Order,
    /// It has the shortest wait.
    LeastWait,
    /// A draw at random.
    Random,
    /// The next one in turn.
    Turn,
}

/// An endpoint that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint's place in the list that was given.
    pub index: usize,
    /// The expected wait before the endpoint starts the request.
    pub wait_ms: DurationMs,
    /// Tokens of the prompt that are not expected in the endpoint's cache.
    pub uncached_tokens: u32,
    /// The expected time to the first token, with what speaks against the endpoint.
    pub cost_ms: f64,
    /// The place in the list of an endpoint from which the chat's KV cache is worth importing;
    /// it may be one that takes no new work.
    pub kv_source: Option<usize>,
    /// Why the endpoint is a candidate.
    pub reason: CandidateReason,
}

impl Candidate {
    /// Returns the wait here up to which the request is no worse off than at another candidate.
    ///
    /// What the other one would spend on reading the prompt again counts in favour of a wait.
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
    ///     reason: CandidateReason::Order,
    /// };
    /// let has_context = candidate(50, 60.0);
    /// let has_none = candidate(0, 400.0);
    /// assert_eq!(has_context.wait_worth_ms(&has_none), DurationMs(390));
    /// ```
    pub fn wait_worth_ms(&self, other: &Candidate) -> DurationMs {
        let own_work_ms = self.cost_ms - self.wait_ms.0 as f64;
        DurationMs((other.cost_ms - own_work_ms).max(0.0) as u64)
    }
}

/// Ranks the endpoints of a service for a request.
pub trait Placement {
    /// Returns up to four endpoints that may get the request, the best first.
    ///
    /// Endpoints that take no new work or are excluded are never among them.
    fn rank<R: Rng>(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates;

    /// Learns where a chat was answered.
    fn observe_answer(&mut self, _now: MonotonicMs, _answer: &ChatAnswer) {}
}

/// What a whole answer says about a chat's context.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The chat.
    pub chat: ChatKey,
    /// The endpoint that answered.
    pub endpoint: EndpointHash,
    /// Tokens of the chat's context there now: prompt and answer.
    pub context_tokens: u32,
    /// Tokens of the prompt that the endpoint found in its cache, where it says so.
    pub cached_tokens: Option<u32>,
}

/// Tells whether the endpoint may get the request at all.
pub(crate) fn is_eligible(endpoint: &PlacementEndpoint, request: &PlacementRequest) -> bool {
    endpoint.takes_new_work && !request.excluded.contains(&endpoint.name)
}

/// Scores an endpoint in the rendezvous order of a chat; the highest score comes first.
#[inline]
pub(crate) fn order_score(chat: ChatKey, endpoint: EndpointHash) -> u64 {
    // Both are hashes already, so that one wide multiplication mixes them well enough.
    let product = u128::from(chat.0 ^ 0x9e37_79b9_7f4a_7c15) * u128::from(endpoint.0 | 1);
    (product >> 64) as u64 ^ product as u64
}
