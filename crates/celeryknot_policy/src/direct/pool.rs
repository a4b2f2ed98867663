//! The endpoints of one service and the placement of requests on them.
//!
//! A prompt goes to the endpoint that ranks first for its shared parts by rendezvous hashing, so
//! that daemons agree without shared state. While that endpoint's load is well above the mean, the
//! next one in the same order gets the prompt, so the second choice is as stable as the first.
//! Requests without a prompt are spread by utilization. Where zones count, the endpoints of one zone
//! come first in that order.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{
    DurationMs, EndpointName, EndpointPace, MemberName, MonotonicMs, PromptTag, Refusal,
    RequestTag, SoftwareVersion, TokenCount, ZoneName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

use super::attempt_history::AttemptFailure;
use super::endpoint::{EndpointState, ListedEndpoint, PAUSE_MAX, ReportedLoad};
use super::holders::PromptHolders;
use super::pace::{RelativePace, ServicePace};
use super::prompt::SharedPrefix;
use super::rate_admission::RefusedRequests;
use super::refusal_limit::{self, DecayingSum};
use super::zone_order::{ZoneOrder, ZoneState};
use super::zone_overflow::ZoneReason;
use crate::rate_limit::{FleetRateLimit, RateChange, RateStatement};

/// Fraction of the configured load factor up to which the first choice gets all its prompts.
///
/// Less than 1, as load reports lag by one response.
const SOFT_LOAD_FACTOR_SHARE: f64 = 0.75;

/// Requests added to the soft limit, so that prompts don't scatter at low load.
const SOFT_LOAD_SLACK: f64 = 2.0;

/// Requests added to the configured multiple of the mean load in the hard limit.
const HARD_LOAD_SLACK: f64 = 3.0;

/// Maximum shared tokens of a short prompt: an engine prefills them within a few steps.
pub(super) const SHORT_PROMPT_TOKENS_MAX: TokenCount = TokenCount(1_024);

/// Number of top-ranked endpoints among which a short prompt is spread.
const SHORT_PROMPT_CANDIDATES: usize = 4;

/// Requests above the mean load up to which an endpoint gets all short prompts for which it ranks
/// first.
const SHORT_PROMPT_LOAD_SLACK: f64 = 1.0;

/// Added to utilizations before they are compared, to dampen differences at low load.
const UTILIZATION_OFFSET: f64 = 0.5;

/// Maximum silence of a delisted endpoint that is taken to be still serving.
///
/// Less than the three heartbeats of 1.2 s after which the platform delists a crashed endpoint.
const DELISTED_SILENCE_MAX: DurationMs = DurationMs(3_000);

/// Time for which the state of a delisted endpoint is kept; it covers the longest pause.
const DEPARTED_TTL: DurationMs = PAUSE_MAX;

/// Time for which an endpoint counts as a holder of a prompt that was sent to it.
///
/// If the prompt has been evicted since, fetching a copy fails, which costs little.
const HOLDER_TTL: DurationMs = DurationMs(30_000);

/// Limits for the endpoints of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// This daemon's name.
    pub own_name: MemberName,
    /// The daemons that may be running, including this one.
    pub members: Vec<MemberName>,
    /// Minimum number of daemons that share a limit, as some may not be discovered yet.
    pub members_min: usize,
    /// Maximum load of an endpoint, as a multiple of the mean.
    pub load_factor: f64,
    /// Time for which a prompt counts as cached at an endpoint that has read it.
    pub cache_ttl_ms: DurationMs,
    /// Time for which an endpoint keeps serving after it is delisted.
    pub drain_ms: DurationMs,
    /// Rate limit of a cold endpoint; `None` for no limit.
    pub cold_rate_limit: Option<FleetRateLimit>,
}

/// A request to place.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The prompt's shared parts; `None` for a request without a prompt.
    pub shared: Option<SharedPrefix>,
    /// Random number from 0 to 1, drawn for this request.
    pub draw: f64,
    /// The zones whose endpoints may run the request; `None` if all may.
    pub allowed_zones: Option<&'a [ZoneName]>,
    /// The version of the software that must run the request; `None` if any may.
    pub version: Option<&'a SoftwareVersion>,
    /// Endpoints at which this request has already failed.
    pub tried: &'a [EndpointName],
    /// The request's tag, if endpoints may have crashed on it; such requests are kept apart.
    pub suspect: Option<RequestTag>,
    /// Maximum time that the request may wait if all endpoints are at their rate limits.
    pub wait_max_ms: DurationMs,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementReason {
    /// It is the first candidate, for a prompt by rank.
    First,
    /// Higher-ranked ones are overloaded, above their share, cold and at their limit, or ejected.
    Next,
    /// All candidates are overloaded or above their share; it has the least load.
    LeastLoaded,
    /// All candidates are at their rate limits; it is the first to accept another request.
    Queued,
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// The endpoint's zone.
    pub zone: ZoneName,
    /// Why it is in that zone.
    pub zone_reason: ZoneReason,
    /// Estimated number of requests at the endpoint.
    pub load: u32,
    /// Age of that estimate; `None` if only this daemon's own requests were known.
    pub load_age_ms: Option<DurationMs>,
    /// Its pace, if any endpoint of the service reports one.
    pub pace: Option<RelativePace>,
    /// Whether it was in cold start.
    pub is_cold: bool,
    /// Another endpoint that is more likely to have the prompt's shared parts cached.
    pub fetch_from: Option<SocketAddr>,
    /// Whether to announce to peers that the endpoint now holds the prompt.
    pub should_announce_holder: bool,
    /// Whether this daemon's own requests take all slots of the endpoint, so that it may not begin
    /// this one before another ends.
    pub is_behind_own_requests: bool,
    /// Time to wait before the request is sent.
    pub wait_ms: DurationMs,
    /// The endpoint that would have been chosen if it were not at its rate limit.
    pub moved_from: Option<EndpointName>,
}

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct EndpointPool {
    pub(super) limits: PoolLimits,
    pub(super) endpoints: BTreeMap<EndpointName, EndpointState>,
    holders: PromptHolders,
    delisted: SmallVec<[DelistedEndpoint; 4]>,
    departed: BTreeMap<EndpointName, DepartedEndpoint>,
    pub(super) refused_requests: RefusedRequests,
    /// Endpoints that were considered for requests while refusals may make them fail.
    pub(super) offers: DecayingSum,
    pub(super) zones: ZoneState,
}

/// A delisted endpoint that still serves for the drain time.
#[derive(Debug, Clone)]
struct DelistedEndpoint {
    name: EndpointName,
    address: SocketAddr,
    serving_until: MonotonicMs,
}

/// A delisted endpoint, whose incarnation may be listed again.
#[derive(Debug, Clone)]
struct DepartedEndpoint {
    state: EndpointState,
    at: MonotonicMs,
}

struct Candidate {
    name: EndpointName,
    load: u32,
    /// Expected work, in requests at the usual pace.
    work: f64,
    share: f64,
    slots: u32,
    score: u64,
    /// Rank of its zone for the request; 0 is first.
    zone_rank: u8,
    is_rate_limited: bool,
}

/// The choice of an endpoint for a request.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) name: EndpointName,
    pub(super) reason: PlacementReason,
    pub(super) wait_ms: DurationMs,
    pub(super) moved_from: Option<EndpointName>,
}

/// Moves one of the top-ranked endpoints for a short prompt to the front: the first whose work is
/// near the mean or below, or else one drawn at random, weighted by low utilization.
///
/// Short prompts are cheap to prefill again and make up most requests, so placing them this way
/// evens out the load that long prompts leave uneven.
fn promote_for_short_prompt(candidates: &mut [Candidate], mean: f64, draw: f64) {
    let is_near_mean = |it: &Candidate| it.work <= mean + SHORT_PROMPT_LOAD_SLACK;
    match candidates.iter().position(is_near_mean) {
        Some(index) => candidates[..=index].rotate_right(1),
        None => promote_weighted_random(candidates, draw),
    }
}

/// Moves a candidate to the front, drawn at random and weighted by low utilization.
///
/// Load reports are older than a plain service's requests last: if all daemons chose the least
/// loaded endpoint, they would all choose the same one until the next report.
fn promote_weighted_random(candidates: &mut [Candidate], draw: f64) {
    let weight = |it: &Candidate| {
        let utilization = it.work / f64::from(it.slots.max(1));
        (utilization + UTILIZATION_OFFSET).powi(-2)
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = draw * total;
    let drawn = candidates.iter().position(|candidate| {
        remaining -= weight(candidate);
        remaining <= 0.0
    });
    if let Some(drawn) = drawn {
        candidates.swap(0, drawn);
        candidates[1..].sort_by(|one, other| one.work.total_cmp(&other.work));
    }
}

impl EndpointPool {
    /// Creates a pool without endpoints.
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            endpoints: BTreeMap::new(),
            holders: PromptHolders::default(),
            delisted: SmallVec::new(),
            departed: BTreeMap::new(),
            refused_requests: RefusedRequests::default(),
            offers: DecayingSum::default(),
            zones: ZoneState::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Replaces the list of the service's endpoints.
    pub fn relist(&mut self, now: MonotonicMs, listed: impl IntoIterator<Item = ListedEndpoint>) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for endpoint in listed {
            let name = endpoint.name.clone();
            let known = previous
                .remove(&name)
                .or_else(|| self.take_departed(&endpoint));
            let state = match known {
                Some(mut state) => {
                    state.relist(now, endpoint);
                    state
                }
                None => EndpointState::new(now, endpoint),
            };
            self.endpoints.insert(name, state);
        }
        self.update_service_pace(now);
        self.departed
            .retain(|_, departed| now - departed.at < DEPARTED_TTL);
        for (name, state) in &previous {
            let departed = DepartedEndpoint {
                state: state.departed(),
                at: now,
            };
            self.departed.insert(name.clone(), departed);
        }
        self.track_delisted(now, previous);
    }

    /// Returns the state of an endpoint that is listed again, if it is the same incarnation.
    fn take_departed(&mut self, endpoint: &ListedEndpoint) -> Option<EndpointState> {
        let departed = self.departed.remove(&endpoint.name)?;
        let started_at_ms = departed.state.listed.started_at_ms;
        let is_same = started_at_ms.is_some() && started_at_ms == endpoint.started_at_ms;
        is_same.then_some(departed.state)
    }

    fn track_delisted(&mut self, now: MonotonicMs, removed: BTreeMap<EndpointName, EndpointState>) {
        let serving_until = now + self.limits.drain_ms;
        let still_serving = removed
            .into_iter()
            .filter(|(_, state)| state.is_healthy(now, DELISTED_SILENCE_MAX));
        self.delisted
            .extend(still_serving.map(|(name, state)| DelistedEndpoint {
                name,
                address: state.listed.address,
                serving_until,
            }));
        let is_listed = |endpoint: &DelistedEndpoint| {
            let mut listed = self.endpoints.values();
            listed.any(|state| state.listed.address == endpoint.address)
        };
        self.delisted
            .retain(|endpoint| now < endpoint.serving_until && !is_listed(endpoint));
    }

    /// Picks the endpoint for a request and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns `RateLimited` with a retry delay if all endpoints are at their rate limits, and
    /// `NoEndpoint` if no endpoint may get the request for another reason.
    pub fn place(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        self.update_overflow(now);
        let choice = self
            .choose(now, request, false)
            .or_else(|| self.choose(now, request, true))
            .or_else(|| self.reserve_turn(now, request));
        let Some(choice) = choice else {
            return Err(self.refuse(now, request));
        };
        let Choice {
            name,
            reason,
            wait_ms,
            moved_from,
        } = choice;
        let zone_reason = self.zone_reason(now, request, &name);
        let fetch_from = request
            .shared
            .and_then(|shared| self.fetch_source(now, shared, &name, request));
        let should_announce_holder = request
            .shared
            .is_some_and(|shared| self.record_holder(now, shared, &name));
        let state = self
            .endpoints
            .get_mut(&name)
            .expect("a chosen endpoint is listed");
        let (load, load_age_ms) = state.load(now);
        let pace = state.relative_pace(now);
        let is_cold = state.is_cold(now);
        let is_behind_own_requests = state.in_flight >= state.listed.slots;
        state.in_flight += 1;
        Ok(Placement {
            address: state.listed.address,
            version: state.listed.version.clone(),
            endpoint: name,
            reason,
            zone: state.listed.zone.clone(),
            zone_reason,
            load,
            load_age_ms,
            pace,
            is_cold,
            fetch_from,
            should_announce_holder,
            is_behind_own_requests,
            wait_ms,
            moved_from,
        })
    }

    /// Returns whether an endpoint may get the request now.
    pub(super) fn is_candidate(
        now: MonotonicMs,
        name: &EndpointName,
        state: &EndpointState,
        request: &PlacementRequest<'_>,
    ) -> bool {
        state.accepts_requests(now) && Self::may_serve(name, state, request)
    }

    /// Returns the endpoints that may get the request now; while any endpoint states a limit of its rate
    /// or of refusals, only those that aren't full.
    pub(super) fn candidates_with_room<'a>(
        &'a self,
        now: MonotonicMs,
        request: &'a PlacementRequest<'_>,
    ) -> impl Iterator<Item = (&'a EndpointName, &'a EndpointState)> {
        let fails_on_refusals = self.refusal_limit(now).is_some();
        let is_any_limited = fails_on_refusals || self.rate_limit_count(now) > 0;
        self.endpoints.iter().filter(move |(name, state)| {
            Self::is_candidate(now, name, state, request)
                && !(is_any_limited && state.is_full(now))
                && !(fails_on_refusals && state.refusal_limit.is_avoided(now))
        })
    }

    /// Returns whether an endpoint may get the request, now or after the pause it has asked for.
    pub(super) fn may_serve(
        name: &EndpointName,
        state: &EndpointState,
        request: &PlacementRequest<'_>,
    ) -> bool {
        let zone = &state.listed.zone;
        state.is_serving()
            && request
                .allowed_zones
                .is_none_or(|zones| zones.contains(zone))
            && request
                .version
                .is_none_or(|version| *version == state.listed.version)
            && !request.tried.contains(name)
    }

    /// Records that a prompt goes to an endpoint; returns whether to announce it to peers.
    fn record_holder(
        &mut self,
        now: MonotonicMs,
        shared: SharedPrefix,
        name: &EndpointName,
    ) -> bool {
        self.holders.record_sent(now, shared.first_tag(), name);
        self.holders.record_sent(now, shared.tag(), name)
    }

    /// Returns an endpoint that is more likely than the chosen one to hold the shared parts.
    ///
    /// This is the last other endpoint that any daemon sent them to. If none is known, either an
    /// endpoint was added or removed and the previous first choice holds them, or they are new and
    /// an endpoint that was sent their first part holds that part. Where zones count, endpoints in the
    /// zone of the chosen one come first.
    fn fetch_source(
        &self,
        now: MonotonicMs,
        shared: SharedPrefix,
        chosen: &EndpointName,
        request: &PlacementRequest<'_>,
    ) -> Option<SocketAddr> {
        let prompt = shared.tag();
        let cache_ttl_ms = self.limits.cache_ttl_ms;
        if self.holders.was_sent(now, prompt, chosen, cache_ttl_ms) {
            return None;
        }
        let is_usable = |name: &EndpointName, state: &EndpointState| {
            name != chosen && !request.tried.contains(name) && !state.is_ejected(now)
        };
        let address_of = |name: &EndpointName| match self.endpoints.get(name) {
            Some(state) => is_usable(name, state).then_some(state.listed.address),
            None => self.delisted_address(now, name),
        };
        let zone = match self.zone_order(now, request) {
            ZoneOrder::Any => None,
            ZoneOrder::OwnFirst { .. } | ZoneOrder::Leaves { .. } => self.zone_of(chosen),
        };
        let holder_of = |tag| {
            let other_holders = || self.holders.other_holders(now, tag, chosen, HOLDER_TTL);
            let is_near = |name: &&EndpointName| zone.is_some() && self.zone_of(name) == zone;
            let near = other_holders().filter(is_near).find_map(address_of);
            near.or_else(|| other_holders().find_map(address_of))
        };
        let is_chosen_new = self
            .endpoints
            .get(chosen)
            .is_some_and(|it| !self.is_established(now, it));
        let first_part_holder = || holder_of(shared.first_tag()).filter(|_| !is_chosen_new);
        holder_of(prompt)
            .or_else(|| self.delisted_holder(now, shared))
            .or_else(first_part_holder)
            .or_else(|| match zone {
                Some(zone) => self.expected_holder_by_zone(now, shared, chosen, zone, is_usable),
                None => self.expected_holder(now, shared, is_usable),
            })
    }

    /// Returns the zone of an endpoint, if it is listed.
    fn zone_of(&self, endpoint: &EndpointName) -> Option<&ZoneName> {
        self.endpoints.get(endpoint).map(|it| &it.listed.zone)
    }

    /// Returns the endpoint that is expected to hold a prompt which has a home in each zone: the home
    /// in the chosen one's zone if that is another endpoint, or else the home in another zone.
    fn expected_holder_by_zone(
        &self,
        now: MonotonicMs,
        shared: SharedPrefix,
        chosen: &EndpointName,
        zone: &ZoneName,
        is_usable: impl Fn(&EndpointName, &EndpointState) -> bool + Copy,
    ) -> Option<SocketAddr> {
        let chosen_state = self.endpoints.get(chosen)?;
        let rank = |name: &EndpointName, state: &EndpointState| {
            let score = rendezvous_score(shared.key, name.as_str());
            (self.is_established(now, state), score)
        };
        let chosen_rank = rank(chosen, chosen_state);
        let ranks_above = |name: &EndpointName, state: &EndpointState| {
            is_usable(name, state) && state.listed.zone == *zone && rank(name, state) > chosen_rank
        };
        let is_elsewhere = |name: &EndpointName, state: &EndpointState| {
            is_usable(name, state) && state.listed.zone != *zone
        };
        self.expected_holder(now, shared, ranks_above)
            .or_else(|| self.expected_holder(now, shared, is_elsewhere))
    }

    /// Returns whether an endpoint has been listed long enough to hold its prompts.
    fn is_established(&self, now: MonotonicMs, state: &EndpointState) -> bool {
        now - state.listed_since >= self.limits.cache_ttl_ms
    }

    /// Returns the endpoint that ranks first for a prompt, preferring established endpoints; all
    /// daemons agree on it.
    fn expected_holder(
        &self,
        now: MonotonicMs,
        shared: SharedPrefix,
        is_usable: impl Fn(&EndpointName, &EndpointState) -> bool,
    ) -> Option<SocketAddr> {
        let rank = |(name, state): &(&EndpointName, &EndpointState)| {
            (
                self.is_established(now, state),
                rendezvous_score(shared.key, name.as_str()),
            )
        };
        self.endpoints
            .iter()
            .filter(|(name, state)| is_usable(name, state))
            .max_by_key(rank)
            .map(|(_, state)| state.listed.address)
    }

    /// Returns the address of a delisted endpoint that still serves.
    fn delisted_address(&self, now: MonotonicMs, name: &EndpointName) -> Option<SocketAddr> {
        let endpoint = self
            .delisted
            .iter()
            .find(|endpoint| endpoint.name == *name)?;
        (now < endpoint.serving_until).then_some(endpoint.address)
    }

    /// Returns the delisted endpoint that ranks above all listed ones.
    fn delisted_holder(&self, now: MonotonicMs, shared: SharedPrefix) -> Option<SocketAddr> {
        let score = |name: &EndpointName| rendezvous_score(shared.key, name.as_str());
        let listed_max = self.endpoints.keys().map(score).max();
        self.delisted
            .iter()
            .filter(|endpoint| {
                now < endpoint.serving_until && Some(score(&endpoint.name)) > listed_max
            })
            .max_by_key(|endpoint| score(&endpoint.name))
            .map(|endpoint| endpoint.address)
    }

    /// Picks an endpoint; `allows_ejected` includes ejected ones.
    fn choose(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
        allows_ejected: bool,
    ) -> Option<Choice> {
        let fails_on_refusals = self.refusal_limit(now).is_some();
        if fails_on_refusals
            && (!self.has_room(now) || allows_ejected && self.has_sound_candidate(now, request))
        {
            return None;
        }
        let hard_load_limit = self.hard_load_limit(now);
        let key = match (request.shared, request.suspect) {
            (Some(shared), _) => shared.key,
            (None, Some(suspect)) => suspect.0,
            (None, None) => 0,
        };
        let zone_order = self.zone_order(now, request);
        let mut candidates: SmallVec<[Candidate; 16]> = self
            .candidates_with_room(now, request)
            .filter(|(_, state)| allows_ejected || !state.is_ejected(now))
            .map(|(name, state)| Candidate {
                name: name.clone(),
                load: state.load(now).0,
                work: state.expected_work(now),
                share: state.share(),
                slots: state.listed.slots,
                score: rendezvous_score(key, name.as_str()),
                zone_rank: zone_order.rank(&state.listed.zone),
                is_rate_limited: state.is_rate_limited(now),
            })
            .collect();
        candidates.sort_by_key(|it| it.zone_rank);
        let first_rank = candidates.first().map_or(0, |it| it.zone_rank);
        let first_zone_len = candidates.partition_point(|it| it.zone_rank == first_rank);
        match request.shared {
            Some(shared) => {
                candidates.sort_by_key(|it| (it.zone_rank, Reverse(it.score)));
                if shared.tokens <= SHORT_PROMPT_TOKENS_MAX {
                    let first_len = first_zone_len.min(SHORT_PROMPT_CANDIDATES);
                    let mean = self.mean_work(now);
                    promote_for_short_prompt(&mut candidates[..first_len], mean, request.draw);
                }
            }
            // Suspects rank the endpoints differently, so that a request that crashes endpoints takes
            // few of the others down with it again.
            None if request.suspect.is_some() => candidates.sort_by_key(|it| Reverse(it.score)),
            None => {
                promote_weighted_random(&mut candidates[..first_zone_len], request.draw);
                candidates[first_zone_len..].sort_by(|one, other| one.work.total_cmp(&other.work));
            }
        }
        // What an endpoint accepts below its demand is left to the prompts that it has cached.
        let has_long_prompt = request
            .shared
            .is_some_and(|shared| shared.tokens > SHORT_PROMPT_TOKENS_MAX);
        let others = usize::from(has_long_prompt).min(candidates.len());
        candidates[others..].sort_by_key(|it| it.is_rate_limited);
        if fails_on_refusals {
            candidates.truncate(refusal_limit::CANDIDATES_MAX);
        }
        let mut moved_from = None;
        for (rank, candidate) in candidates.iter().enumerate() {
            let has_capacity = f64::from(candidate.load) + 1.0 <= hard_load_limit;
            let is_in_share = request.shared.is_none() || request.draw <= candidate.share;
            if !has_capacity || !is_in_share {
                continue;
            }
            if fails_on_refusals && !self.takes_room(now, request.draw, &candidate.name) {
                continue;
            }
            if self.try_admit(now, &candidate.name) {
                let reason = match rank {
                    0 => PlacementReason::First,
                    _ => PlacementReason::Next,
                };
                return Some(Choice {
                    name: candidate.name.clone(),
                    reason,
                    wait_ms: DurationMs(0),
                    moved_from,
                });
            }
            if candidate.is_rate_limited {
                moved_from.get_or_insert_with(|| candidate.name.clone());
            }
        }
        if fails_on_refusals {
            return None;
        }
        candidates.sort_by(|one, other| one.work.total_cmp(&other.work));
        let least = candidates
            .iter()
            .find(|candidate| self.try_admit(now, &candidate.name))?;
        Some(Choice {
            name: least.name.clone(),
            reason: PlacementReason::LeastLoaded,
            wait_ms: DurationMs(0),
            moved_from,
        })
    }

    /// Returns whether an endpoint that isn't ejected may serve the request, now or later.
    pub(super) fn has_sound_candidate(
        &self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
    ) -> bool {
        self.endpoints.iter().any(|(name, state)| {
            Self::is_candidate(now, name, state, request) && !state.is_ejected(now)
        })
    }

    /// Returns the mean load of the endpoints that don't limit their rate, or of all if all do.
    fn mean_load(&self, now: MonotonicMs) -> f64 {
        self.mean_of(now, |state| f64::from(state.load(now).0))
    }

    /// Returns the mean expected work of the same endpoints.
    fn mean_work(&self, now: MonotonicMs) -> f64 {
        self.mean_of(now, |state| state.expected_work(now))
    }

    fn mean_of(&self, now: MonotonicMs, value_of: impl Fn(&EndpointState) -> f64) -> f64 {
        let unlimited = self
            .endpoints
            .values()
            .filter(|it| !it.is_rate_limited(now));
        let mut values: SmallVec<[f64; 16]> = unlimited.map(&value_of).collect();
        if values.is_empty() {
            values = self.endpoints.values().map(&value_of).collect();
        }
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// Records that a request ended at an endpoint, with or without a response.
    pub fn finish(&mut self, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records the load that an endpoint reported to this daemon.
    pub fn observe_load(&mut self, now: MonotonicMs, endpoint: &EndpointName, load: ReportedLoad) {
        if let Some(pace) = load.pace {
            self.observe_pace(now, endpoint, pace);
        }
        self.observe_load_from_peer(now, endpoint, load.running + load.waiting);
    }

    /// Records the pace that an endpoint reported to this daemon, or to a peer at an earlier time.
    pub fn observe_pace(&mut self, at: MonotonicMs, endpoint: &EndpointName, pace: EndpointPace) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.observe_pace(at, pace);
        self.update_service_pace(at);
    }

    fn update_service_pace(&mut self, now: MonotonicMs) {
        let estimates = self.endpoints.values().map(EndpointState::pace);
        let service = ServicePace::mean_of(now, estimates);
        for state in self.endpoints.values_mut() {
            state.set_service_pace(service);
        }
    }

    /// Returns whether any endpoint of the service reported its pace in the last 10 s.
    pub fn reports_pace(&self, now: MonotonicMs) -> bool {
        let mut states = self.endpoints.values();
        states.any(|state| state.pace().is_reported(now))
    }

    /// Returns the number of endpoints that are much slower than their service is on average.
    pub fn slow_count(&self, now: MonotonicMs) -> usize {
        let paces = self.endpoints.values().map(|it| it.relative_pace(now));
        paces.flatten().filter(|pace| pace.is_slow()).count()
    }

    /// Records the load that an endpoint reported to a peer at an earlier time.
    pub fn observe_load_from_peer(
        &mut self,
        at: MonotonicMs,
        endpoint: &EndpointName,
        requests: u32,
    ) {
        let soft_limit = self.soft_load_limit(at);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.observe_load(at, requests);
            state.adjust_share(at, soft_limit);
        }
    }

    /// Applies what an answer of an endpoint, to this daemon or a peer, states about its rate limit.
    pub fn observe_rate_statement(
        &mut self,
        endpoint: &EndpointName,
        statement: RateStatement,
    ) -> RateChange {
        match self.endpoints.get_mut(endpoint) {
            Some(state) => state.observe_rate_statement(statement),
            None => RateChange::Unchanged,
        }
    }

    /// Returns the number of endpoints that state a rate limit.
    pub fn rate_limit_count(&self, now: MonotonicMs) -> usize {
        let limited = self.endpoints.values().filter(|it| it.is_rate_limited(now));
        limited.count()
    }

    /// Records that an endpoint stated that it is leaving, to this daemon or a peer, in an answer to
    /// a request sent then; returns whether that is new.
    ///
    /// It gets no further requests until it is listed as another incarnation, or anew.
    pub fn observe_leaving(&mut self, sent_at: MonotonicMs, endpoint: &EndpointName) -> bool {
        self.endpoints
            .get_mut(endpoint)
            .is_some_and(|state| state.observe_leaving(sent_at))
    }

    /// Records that an endpoint asked this daemon for no requests for a time, in an answer to a request
    /// sent then; at most [`PAUSE_MAX`].
    pub fn observe_pause(
        &mut self,
        now: MonotonicMs,
        sent_at: MonotonicMs,
        endpoint: &EndpointName,
        pause_ms: DurationMs,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.observe_pause(now, sent_at, pause_ms);
        }
    }

    /// Returns whether an endpoint is listed and accepts requests from this daemon now.
    pub fn accepts_requests(&self, now: MonotonicMs, endpoint: &EndpointName) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|state| state.accepts_requests(now))
    }

    /// Returns whether an endpoint responded to this daemon or a peer within `silence_max`.
    pub fn has_responded(
        &self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        silence_max: DurationMs,
    ) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|state| state.has_responded(now, silence_max))
    }

    /// Records that a peer could not reach an endpoint.
    pub fn observe_unreachable_from_peer(&mut self, at: MonotonicMs, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_reported_unreachable(at);
        }
    }

    /// Records that a peer sent a prompt to an endpoint.
    pub fn observe_holder_from_peer(
        &mut self,
        at: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) {
        self.holders.record_reported(at, prompt, endpoint);
    }

    /// Records the numbers of requests that all daemons have in flight.
    pub fn observe_totals(&mut self, now: MonotonicMs, total_of: impl Fn(&EndpointName) -> u32) {
        for (name, state) in &mut self.endpoints {
            state.observe_fleet_total(now, total_of(name));
        }
        let soft_limit = self.soft_load_limit(now);
        for state in self.endpoints.values_mut() {
            state.adjust_share(now, soft_limit);
        }
    }

    /// Returns the version of an endpoint's software, if it is listed.
    pub fn version_of(&self, endpoint: &EndpointName) -> Option<&SoftwareVersion> {
        let state = self.endpoints.get(endpoint)?;
        Some(&state.listed.version)
    }

    /// Forgets the failures of the endpoint at an address.
    pub fn forgive_failures(&mut self, address: SocketAddr) {
        let mut states = self.endpoints.values_mut();
        if let Some(state) = states.find(|state| state.listed.address == address) {
            state.forgive_failures();
        }
    }

    /// Returns the address of an endpoint, if it is listed.
    pub fn address_of(&self, endpoint: &EndpointName) -> Option<SocketAddr> {
        let state = self.endpoints.get(endpoint)?;
        Some(state.listed.address)
    }

    /// Returns the number of requests that this daemon has in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |state| state.in_flight)
    }

    /// Returns the expected work up to which an endpoint gets all prompts for which it ranks first.
    fn soft_load_limit(&self, now: MonotonicMs) -> f64 {
        self.mean_work(now) * self.limits.load_factor * SOFT_LOAD_FACTOR_SHARE + SOFT_LOAD_SLACK
    }

    /// Returns the load above which an endpoint gets no requests while another has capacity.
    fn hard_load_limit(&self, now: MonotonicMs) -> f64 {
        self.mean_load(now) * self.limits.load_factor + HARD_LOAD_SLACK
    }

    /// Records a successful response of an endpoint.
    pub fn observe_success(&mut self, now: MonotonicMs, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_success(now);
        }
    }

    /// Records a failed attempt at an endpoint.
    pub fn observe_failure(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        failure: AttemptFailure,
    ) {
        if failure == AttemptFailure::Refused {
            // No sign of ill health: a full endpoint reports its load.
            return self.avoid_after_refusal(now, endpoint);
        }
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match failure {
            AttemptFailure::Refused => {}
            // Nor is a failure by which it asked for a pause.
            AttemptFailure::EndpointError if state.pause_left_ms(now) > DurationMs(0) => {}
            AttemptFailure::NotSent
            | AttemptFailure::NotSentInTime
            | AttemptFailure::Misdirected
            | AttemptFailure::Unanswered
            | AttemptFailure::ConnectionLost
            | AttemptFailure::Broken
            | AttemptFailure::Mismatched
            | AttemptFailure::EndpointError => state.record_failure(now, failure.is_unreachable()),
        }
    }
}
