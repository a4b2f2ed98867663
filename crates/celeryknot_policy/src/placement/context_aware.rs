//! Placement by the expected time to the first token.
//!
//! An endpoint's cost is its wait plus the time to prefill the tokens of the prompt that it is
//! not expected to have cached, or to import them from an endpoint that has them. Hints about
//! cached contexts come from the caller's affinity value, from responses that this daemon
//! forwarded and from cache events. Without an affinity value, the chat's rendezvous order serves
//! as a hint, since earlier requests of the chat were placed by the same order.

use celeryknot_core::{ChatKey, DurationMs, MonotonicMs};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::hint::{Hint, Hints};
use super::holder_table::HolderTable;
use super::lowest::LowestN;
use super::survival::CacheSurvival;
use super::{
    CANDIDATES_MAX, Candidate, CandidateReason, Candidates, ChatAnswer, EndpointHash, Placement,
    PlacementEndpoint, PlacementRequest, chat_rendezvous_score,
};

/// Range of the jitter that keeps daemons from all choosing the same endpoint.
const JITTER_MS: f64 = 10.0;
/// Share of a prompt that the first endpoint in rendezvous order is expected to have cached
/// without a hint.
const FIRST_IN_ORDER_CACHED_SHARE: f64 = 0.5;
/// The same for the second endpoint in rendezvous order.
const SECOND_IN_ORDER_CACHED_SHARE: f64 = 0.2;
/// Total cost of an uncached token as a multiple of its own prefill time: it evicts a token of
/// another chat, which must be prefilled again.
const EVICTION_FACTOR: f64 = 3.0;
/// Setup time of a KV cache import.
const IMPORT_SETUP_MS: f64 = 30.0;
/// How many times faster an import is than prefill, per token.
const IMPORT_SPEEDUP: f64 = 8.0;
/// Minimum number of additional cached tokens for an import.
const IMPORT_TOKENS_MIN: f64 = 256.0;
/// Maximum number of endpoints whose cost is computed: all hinted ones, some by rendezvous order
/// and some by wait.
const SHORTLIST_MAX: usize = 12;

/// Ranks endpoints by their wait and the tokens that they don't have cached.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{ChatKey, MonotonicMs};
/// use celeryknot_policy::placement::{
///     ChatAnswer, ContextAware, Placement, PlacementEndpoint, PlacementRequest,
/// };
/// use rand::SeedableRng;
///
/// let endpoints: Vec<_> = ["engine-1", "engine-2", "engine-3"]
///     .map(|name| PlacementEndpoint::new(name.parse().unwrap()))
///     .into();
/// let mut placement = ContextAware::new(10_000, 8_000.0);
/// let chat = ChatKey(42);
/// let seen = ChatAnswer { chat, endpoint: endpoints[1].name_hash, context_tokens: 4_000, cached_tokens: None };
/// placement.observe_answer(MonotonicMs(0), &seen);
/// let request = PlacementRequest { chat: Some(chat), prompt_tokens: 4_100, ..Default::default() };
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let best = placement.rank(MonotonicMs(5_000), &request, &endpoints, &mut rng)[0];
/// assert_eq!(best.index, 1);
/// ```
#[derive(Debug, Clone)]
pub struct ContextAware {
    observed_holders: HolderTable,
    reported_holders: HolderTable,
    survival: CacheSurvival,
    prefill_tokens_per_ms: f64,
    imports_kv: bool,
}

/// A shortlisted endpoint, before its cost is computed.
#[derive(Debug, Clone, Copy)]
struct ShortlistEntry {
    index: usize,
    base_cost_ms: f64,
    cached_tokens: f64,
    reason: CandidateReason,
}

type Shortlist = SmallVec<[ShortlistEntry; SHORTLIST_MAX]>;

/// The endpoints that one pass over all of them selects for the shortlist.
#[derive(Debug, Default)]
struct ScanResult {
    hinted: Shortlist,
    order: LowestN<u64, 2>,
    order_with_capacity: LowestN<u64, 2>,
    lowest_base_cost: LowestN<f64, 3>,
    best_holder: Option<(usize, f64)>,
}

impl ContextAware {
    /// Tracks up to `chats_max` chats placed by this daemon and as many from cache events;
    /// `prefill_tokens_per_s` is the prefill rate of the engines.
    pub fn new(chats_max: usize, prefill_tokens_per_s: f64) -> Self {
        Self {
            observed_holders: HolderTable::new(chats_max),
            reported_holders: HolderTable::new(chats_max),
            survival: CacheSurvival::default(),
            prefill_tokens_per_ms: prefill_tokens_per_s.max(1.0) / 1_000.0,
            imports_kv: false,
        }
    }

    /// Sets whether engines import a chat's KV cache from the candidate's `kv_source`.
    ///
    /// Without imports, a context cached at another endpoint does not lower an endpoint's cost.
    #[must_use]
    pub fn with_kv_import(mut self, imports_kv: bool) -> Self {
        self.imports_kv = imports_kv;
        self
    }

    /// Replaces the prefill rate of the engines.
    pub fn set_prefill_tokens_per_s(&mut self, prefill_tokens_per_s: f64) {
        self.prefill_tokens_per_ms = prefill_tokens_per_s.max(1.0) / 1_000.0;
    }

    /// Processes a cache event: the endpoint stored `tokens` tokens of the chat's context.
    pub fn observe_stored(
        &mut self,
        now: MonotonicMs,
        chat: ChatKey,
        endpoint: EndpointHash,
        tokens: u32,
    ) {
        self.reported_holders.insert(now, chat, endpoint, tokens);
    }

    /// Processes a cache event: the endpoint evicted the chat's context.
    pub fn observe_evicted(&mut self, chat: ChatKey, endpoint: EndpointHash) {
        self.reported_holders.remove(chat, endpoint);
        self.observed_holders.remove(chat, endpoint);
    }

    /// Removes all contexts of an endpoint, for example when it restarts cold or is removed.
    ///
    /// Scans both tables completely, which is too slow for a request path.
    pub fn remove_endpoint(&mut self, endpoint: EndpointHash) {
        self.reported_holders.remove_endpoint(endpoint);
        self.observed_holders.remove_endpoint(endpoint);
    }

    /// Returns the memory size of the tables in bytes.
    pub fn size_bytes(&self) -> usize {
        self.observed_holders.size_bytes() + self.reported_holders.size_bytes()
    }

    pub(super) fn hints(&self, now: MonotonicMs, request: &PlacementRequest) -> Hints {
        let mut hints = Hints::default();
        if let Some(chat) = request.chat {
            for holder in self.observed_holders.holders(now, chat) {
                let tokens = f64::from(holder.tokens) * self.survival.share(holder.age_ms);
                hints.add(holder.endpoint, tokens, CandidateReason::Recent);
            }
            for holder in self.reported_holders.holders(now, chat) {
                let tokens = f64::from(holder.tokens) * self.survival.share(holder.age_ms);
                hints.add(holder.endpoint, tokens, CandidateReason::CacheEvent);
            }
        }
        if let Some(name) = &request.affinity {
            // The affinity value has no timestamp, so a mean time between requests is assumed.
            let share = self.survival.share(AFFINITY_AGE_MS);
            let tokens = f64::from(request.cached_tokens_hint) * share;
            hints.add(EndpointHash::new(name), tokens, CandidateReason::Affinity);
        }
        hints
    }

    /// Returns the prefill time of the prompt, with an import if that is faster, and whether it
    /// imports.
    pub(super) fn prefill_ms(
        &self,
        prompt_tokens: f64,
        cached_tokens: f64,
        importable_tokens: f64,
    ) -> (f64, bool) {
        let cached = cached_tokens.min(prompt_tokens);
        let uncached_ms = (prompt_tokens - cached) / self.prefill_tokens_per_ms;
        let imported = importable_tokens.min(prompt_tokens) - cached;
        if !self.imports_kv || imported < IMPORT_TOKENS_MIN {
            return (uncached_ms, false);
        }
        let import_ms = IMPORT_SETUP_MS + imported / (self.prefill_tokens_per_ms * IMPORT_SPEEDUP);
        let rest_ms = (prompt_tokens - cached - imported) / self.prefill_tokens_per_ms;
        if import_ms + rest_ms < uncached_ms {
            (import_ms + rest_ms, true)
        } else {
            (uncached_ms, false)
        }
    }

    fn scan<R: Rng>(
        hints: &Hints,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> ScanResult {
        let mut scanned = ScanResult::default();
        let chat = request.chat.unwrap_or_else(|| ChatKey(rng.random()));
        let jitter = rng.random::<u64>();
        let excluded: SmallVec<[EndpointHash; CANDIDATES_MAX]> =
            request.excluded.iter().map(EndpointHash::new).collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let hint = hints.get(endpoint.name_hash);
            if let Some(hint) = hint {
                scanned.record_holder(index, hint);
            }
            if !endpoint.accepts_requests || excluded.contains(&endpoint.name_hash) {
                continue;
            }
            let base_cost_ms = endpoint.base_cost_ms;
            if let Some(hint) = hint {
                scanned.hinted.push(ShortlistEntry {
                    index,
                    base_cost_ms,
                    cached_tokens: hint.tokens,
                    reason: hint.reason,
                });
            }
            let score = chat_rendezvous_score(chat, endpoint.name_hash);
            // The complement of the score makes the lowest value the first in rendezvous order.
            scanned.order.insert(!score, index, base_cost_ms);
            // Checking the rare condition first helps branch prediction.
            if scanned.order_with_capacity.qualifies(!score) && endpoint.has_capacity {
                scanned
                    .order_with_capacity
                    .insert(!score, index, base_cost_ms);
            }
            if scanned.lowest_base_cost.qualifies(base_cost_ms) {
                let jitter_share = f64::from((score ^ jitter) as u16) / f64::from(u16::MAX);
                let jittered_ms = base_cost_ms + jitter_share * JITTER_MS;
                scanned
                    .lowest_base_cost
                    .insert(jittered_ms, index, base_cost_ms);
            }
        }
        scanned
    }

    fn cost(
        &self,
        entry: &ShortlistEntry,
        prompt_tokens: f64,
        holder: Option<(usize, f64)>,
    ) -> Candidate {
        let holder = holder.filter(|(index, _)| *index != entry.index);
        let importable = holder.map_or(0.0, |(_, tokens)| tokens);
        let (prefill_ms, imports) = self.prefill_ms(prompt_tokens, entry.cached_tokens, importable);
        let cached = if imports {
            importable.max(entry.cached_tokens)
        } else {
            entry.cached_tokens
        };
        Candidate {
            index: entry.index,
            wait_ms: DurationMs(0),
            uncached_tokens: (prompt_tokens - cached.min(prompt_tokens)).round() as u32,
            cost_ms: entry.base_cost_ms + prefill_ms * EVICTION_FACTOR,
            kv_source: holder.filter(|_| imports).map(|(index, _)| index),
            reason: entry.reason,
        }
    }
}

/// Assumed age of a context that is known only from the caller's affinity value.
const AFFINITY_AGE_MS: DurationMs = DurationMs(60_000);

impl Placement for ContextAware {
    fn rank<R: Rng>(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        let hints = self.hints(now, request);
        let scanned = Self::scan(&hints, request, endpoints, rng);
        let prompt_tokens = f64::from(request.prompt_tokens);
        let shortlist = scanned.shortlist(prompt_tokens, request.affinity.is_none());
        let mut candidates: SmallVec<[Candidate; SHORTLIST_MAX]> = shortlist
            .iter()
            .map(|entry| self.cost(entry, prompt_tokens, scanned.best_holder))
            .collect();
        candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        candidates.truncate(CANDIDATES_MAX);
        let with_wait = |candidate: Candidate| Candidate {
            wait_ms: endpoints[candidate.index].wait_ms(),
            ..candidate
        };
        candidates.into_iter().map(with_wait).collect()
    }

    fn observe_answer(&mut self, now: MonotonicMs, answer: &ChatAnswer) {
        if let Some(cached_tokens) = answer.cached_tokens {
            let holders = self.observed_holders.holders(now, answer.chat);
            if let Some(holder) = holders
                .iter()
                .find(|holder| holder.endpoint == answer.endpoint)
            {
                self.survival
                    .observe(holder.age_ms, holder.tokens, cached_tokens);
            }
        }
        self.observed_holders
            .insert(now, answer.chat, answer.endpoint, answer.context_tokens);
    }
}

impl ScanResult {
    fn record_holder(&mut self, index: usize, hint: &Hint) {
        if self
            .best_holder
            .is_none_or(|(_, tokens)| hint.tokens > tokens)
        {
            self.best_holder = Some((index, hint.tokens));
        }
    }

    fn shortlist(&self, prompt_tokens: f64, uses_order_as_hint: bool) -> Shortlist {
        let mut list = self.hinted.clone();
        let mut add = |index: usize, base_cost_ms: f64, share: f64, reason| {
            if !list
                .iter()
                .any(|entry: &ShortlistEntry| entry.index == index)
            {
                list.push(ShortlistEntry {
                    index,
                    base_cost_ms,
                    cached_tokens: if uses_order_as_hint {
                        share * prompt_tokens
                    } else {
                        0.0
                    },
                    reason,
                });
            }
        };
        let shares = [FIRST_IN_ORDER_CACHED_SHARE, SECOND_IN_ORDER_CACHED_SHARE];
        for (entry, share) in self.order.iter().zip(shares) {
            add(
                entry.index,
                entry.base_cost_ms,
                share,
                CandidateReason::Rendezvous,
            );
        }
        for entry in self.order_with_capacity.iter() {
            add(
                entry.index,
                entry.base_cost_ms,
                0.0,
                CandidateReason::Rendezvous,
            );
        }
        for entry in self.lowest_base_cost.iter() {
            add(
                entry.index,
                entry.base_cost_ms,
                0.0,
                CandidateReason::LeastWait,
            );
        }
        list
    }
}
