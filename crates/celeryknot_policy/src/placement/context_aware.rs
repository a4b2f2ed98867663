//! Placement by the expected time to the first token.
//!
//! An endpoint's cost is its wait, plus the time to read the tokens of the prompt that it is
//! not expected to have cached, or to import them from an endpoint that has. Hints about
//! contexts come from the caller's affinity value, from what this daemon saw and from cache
//! events; where there is none, the chat's rendezvous order stands in, since an earlier request
//! was sent by it, too.

use celeryknot_core::{ChatKey, DurationMs, MonotonicMs};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::best::Best;
use super::hint::{Hint, Hints};
use super::holder_table::HolderTable;
use super::survival::CacheSurvival;
use super::{
    CANDIDATES_MAX, Candidate, CandidateReason, Candidates, ChatAnswer, EndpointHash, Placement,
    PlacementEndpoint, PlacementRequest, order_score,
};

/// Range of the random part that keeps daemons from choosing the same endpoint.
const JITTER_MS: f64 = 10.0;
/// Share of a prompt that the first endpoint in the order is expected to have without a hint.
const FIRST_IN_ORDER_SHARE: f64 = 0.5;
/// The same for the next endpoint in the order.
const NEXT_IN_ORDER_SHARE: f64 = 0.2;
/// What a token that must be read costs in all, as a multiple of its own time: it takes the
/// place of a token of another chat, which will have to be read again.
const EVICTION_FACTOR: f64 = 3.0;
/// Time to set up an import of a KV cache.
const IMPORT_SETUP_MS: f64 = 30.0;
/// How many times faster a token is imported than read.
const IMPORT_SPEEDUP: f64 = 8.0;
/// Fewest tokens that are worth an import.
const IMPORT_TOKENS_MIN: f64 = 256.0;
/// Most endpoints that are weighed in detail: all hinted ones, some by order and some by wait.
const WEIGHED_MAX: usize = 12;

/// Weighs the wait against the tokens that are not cached.
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
    recent: HolderTable,
    cached: HolderTable,
    survival: CacheSurvival,
    prefill_tokens_per_ms: f64,
    imports_kv: bool,
}

/// An endpoint that is weighed, before its cost is known.
#[derive(Debug, Clone, Copy)]
struct Weighed {
    index: usize,
    base_ms: f64,
    cached_tokens: f64,
    reason: CandidateReason,
}

type WeighedList = SmallVec<[Weighed; WEIGHED_MAX]>;

/// The endpoints that stand out in one pass over all of them.
#[derive(Debug, Default)]
struct Outstanding {
    hinted: WeighedList,
    order: Best<u64, 2>,
    order_with_room: Best<u64, 2>,
    least: Best<f64, 3>,
    best_holder: Option<(usize, f64)>,
}

impl ContextAware {
    /// Remembers up to `chats_max` chats that this daemon placed and as many from cache events;
    /// `prefill_tokens_per_s` is the speed at which engines read prompts.
    pub fn new(chats_max: usize, prefill_tokens_per_s: f64) -> Self {
        Self {
            recent: HolderTable::new(chats_max),
            cached: HolderTable::new(chats_max),
            survival: CacheSurvival::default(),
            prefill_tokens_per_ms: prefill_tokens_per_s.max(1.0) / 1_000.0,
            imports_kv: false,
        }
    }

    /// Sets whether engines import a chat's KV cache from the candidate's `kv_source`.
    ///
    /// Only then is a context that lies elsewhere taken to be cheaper than one that is lost.
    #[must_use]
    pub fn with_kv_import(mut self, imports_kv: bool) -> Self {
        self.imports_kv = imports_kv;
        self
    }

    /// Replaces the speed at which engines read prompts.
    pub fn set_prefill_tokens_per_s(&mut self, prefill_tokens_per_s: f64) {
        self.prefill_tokens_per_ms = prefill_tokens_per_s.max(1.0) / 1_000.0;
    }

    /// Takes in a cache event: the endpoint stored so many tokens of the chat's context.
    pub fn observe_stored(
        &mut self,
        now: MonotonicMs,
        chat: ChatKey,
        endpoint: EndpointHash,
        tokens: u32,
    ) {
        self.cached.insert(now, chat, endpoint, tokens);
    }

    /// Takes in a cache event: the endpoint evicted the chat's context.
    pub fn observe_evicted(&mut self, chat: ChatKey, endpoint: EndpointHash) {
        self.cached.remove(chat, endpoint);
        self.recent.remove(chat, endpoint);
    }

    /// Forgets all that an endpoint held, as when it turned cold or is gone.
    ///
    /// This walks the whole tables and belongs on no request path.
    pub fn forget_endpoint(&mut self, endpoint: EndpointHash) {
        self.cached.remove_endpoint(endpoint);
        self.recent.remove_endpoint(endpoint);
    }

    /// Returns the memory of the tables in bytes.
    pub fn size_bytes(&self) -> usize {
        self.recent.size_bytes() + self.cached.size_bytes()
    }

    pub(super) fn hints(&self, now: MonotonicMs, request: &PlacementRequest) -> Hints {
        let mut hints = Hints::default();
        if let Some(chat) = request.chat {
            for holder in self.recent.holders(now, chat) {
                let tokens = f64::from(holder.tokens) * self.survival.share(holder.age_ms);
                hints.add(holder.endpoint, tokens, CandidateReason::Recent);
            }
            for holder in self.cached.holders(now, chat) {
                let tokens = f64::from(holder.tokens) * self.survival.share(holder.age_ms);
                hints.add(holder.endpoint, tokens, CandidateReason::CacheEvent);
            }
        }
        if let Some(name) = &request.affinity {
            // The caller's value carries no time, so that the mean age of a return is assumed.
            let share = self.survival.share(AFFINITY_AGE_MS);
            let tokens = f64::from(request.cached_tokens_hint) * share;
            hints.add(EndpointHash::new(name), tokens, CandidateReason::Affinity);
        }
        hints
    }

    /// The time to have the prompt read, with an import where that is faster.
    pub(super) fn prompt_ms(
        &self,
        prompt_tokens: f64,
        cached_tokens: f64,
        importable_tokens: f64,
    ) -> (f64, bool) {
        let cached = cached_tokens.min(prompt_tokens);
        let read_ms = (prompt_tokens - cached) / self.prefill_tokens_per_ms;
        let gained = importable_tokens.min(prompt_tokens) - cached;
        if !self.imports_kv || gained < IMPORT_TOKENS_MIN {
            return (read_ms, false);
        }
        let import_ms = IMPORT_SETUP_MS + gained / (self.prefill_tokens_per_ms * IMPORT_SPEEDUP);
        let rest_ms = (prompt_tokens - cached - gained) / self.prefill_tokens_per_ms;
        if import_ms + rest_ms < read_ms {
            (import_ms + rest_ms, true)
        } else {
            (read_ms, false)
        }
    }

    fn scan<R: Rng>(
        hints: &Hints,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Outstanding {
        let mut outstanding = Outstanding::default();
        let chat = request.chat.unwrap_or_else(|| ChatKey(rng.random()));
        let jitter = rng.random::<u64>();
        let excluded: SmallVec<[EndpointHash; CANDIDATES_MAX]> =
            request.excluded.iter().map(EndpointHash::new).collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let hint = hints.of(endpoint.name_hash);
            if let Some(hint) = hint {
                outstanding.note_holder(index, hint);
            }
            if !endpoint.takes_new_work || excluded.contains(&endpoint.name_hash) {
                continue;
            }
            let base_ms = endpoint.base_ms;
            if let Some(hint) = hint {
                outstanding.hinted.push(Weighed {
                    index,
                    base_ms,
                    cached_tokens: hint.tokens,
                    reason: hint.reason,
                });
            }
            let score = order_score(chat, endpoint.name_hash);
            // The score's complement makes the least value the first in the order.
            outstanding.order.offer(!score, index, base_ms);
            // The rare condition goes first, so that the branch is predicted.
            if outstanding.order_with_room.wants(!score) && endpoint.has_room {
                outstanding.order_with_room.offer(!score, index, base_ms);
            }
            if outstanding.least.wants(base_ms) {
                let draw = f64::from((score ^ jitter) as u16) / f64::from(u16::MAX);
                let drawn_ms = base_ms + draw * JITTER_MS;
                outstanding.least.offer(drawn_ms, index, base_ms);
            }
        }
        outstanding
    }

    fn cost(
        &self,
        weighed: &Weighed,
        prompt_tokens: f64,
        holder: Option<(usize, f64)>,
    ) -> Candidate {
        let holder = holder.filter(|(index, _)| *index != weighed.index);
        let importable = holder.map_or(0.0, |(_, tokens)| tokens);
        let (prompt_ms, imports) = self.prompt_ms(prompt_tokens, weighed.cached_tokens, importable);
        let cached = if imports {
            importable.max(weighed.cached_tokens)
        } else {
            weighed.cached_tokens
        };
        Candidate {
            index: weighed.index,
            wait_ms: DurationMs(0),
            uncached_tokens: (prompt_tokens - cached.min(prompt_tokens)).round() as u32,
            cost_ms: weighed.base_ms + prompt_ms * EVICTION_FACTOR,
            kv_source: holder.filter(|_| imports).map(|(index, _)| index),
            reason: weighed.reason,
        }
    }
}

/// Age of a context where only the caller's affinity value names it.
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
        let outstanding = Self::scan(&hints, request, endpoints, rng);
        let prompt_tokens = f64::from(request.prompt_tokens);
        let weighed = outstanding.weighed(prompt_tokens, request.affinity.is_none());
        let mut candidates: SmallVec<[Candidate; WEIGHED_MAX]> = weighed
            .iter()
            .map(|held| self.cost(held, prompt_tokens, outstanding.best_holder))
            .collect();
        candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        candidates.truncate(CANDIDATES_MAX);
        let with_wait = |held: Candidate| Candidate {
            wait_ms: endpoints[held.index].wait_ms(),
            ..held
        };
        candidates.into_iter().map(with_wait).collect()
    }

    fn observe_answer(&mut self, now: MonotonicMs, answer: &ChatAnswer) {
        if let Some(cached_tokens) = answer.cached_tokens {
            let holders = self.recent.holders(now, answer.chat);
            if let Some(held) = holders.iter().find(|held| held.endpoint == answer.endpoint) {
                self.survival
                    .observe(held.age_ms, held.tokens, cached_tokens);
            }
        }
        self.recent
            .insert(now, answer.chat, answer.endpoint, answer.context_tokens);
    }
}

impl Outstanding {
    fn note_holder(&mut self, index: usize, hint: &Hint) {
        if self
            .best_holder
            .is_none_or(|(_, tokens)| hint.tokens > tokens)
        {
            self.best_holder = Some((index, hint.tokens));
        }
    }

    fn weighed(&self, prompt_tokens: f64, is_order_trusted: bool) -> WeighedList {
        let mut list = self.hinted.clone();
        let mut add = |index: usize, base_ms: f64, share: f64, reason| {
            if !list.iter().any(|held: &Weighed| held.index == index) {
                list.push(Weighed {
                    index,
                    base_ms,
                    cached_tokens: if is_order_trusted {
                        share * prompt_tokens
                    } else {
                        0.0
                    },
                    reason,
                });
            }
        };
        let shares = [FIRST_IN_ORDER_SHARE, NEXT_IN_ORDER_SHARE];
        for (found, share) in self.order.iter().zip(shares) {
            add(found.index, found.base_ms, share, CandidateReason::Order);
        }
        for found in self.order_with_room.iter() {
            add(found.index, found.base_ms, 0.0, CandidateReason::Order);
        }
        for found in self.least.iter() {
            add(found.index, found.base_ms, 0.0, CandidateReason::LeastWait);
        }
        list
    }
}
