//! The endpoints of one service, and which of them gets a request.
//!
//! A prompt goes to the endpoint that ranks first for its shared parts by rendezvous hashing, so
//! that daemons which share nothing agree, and to the next in the same order while that one holds
//! clearly more than the mean: the second choice is as stable as the first. Requests without a
//! prompt are spread by how full the endpoints are.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{
    DurationMs, EndpointName, ErrorKind, MemberName, MonotonicMs, PromptTag, Refusal, TokenCount,
    ZoneName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

use super::cold_share::ColdBound;
use super::endpoint::{EndpointState, ListedEndpoint, ReportedLoad};
use super::holders::HolderMemory;
use super::prompt::SharedParts;
use super::resend::SendFailure;

/// Share of the users' multiple of the mean load up to which the first choice is kept.
///
/// Less than the whole, as reports of load are old by an answer.
const LOAD_FACTOR_SHARE: f64 = 0.75;

/// Requests above that multiple that are still kept, so that small numbers don't scatter prompts.
const LOAD_SLACK_KEPT: f64 = 2.0;

/// Requests above the users' multiple that an endpoint may hold.
const LOAD_SLACK_MAX: f64 = 3.0;

/// Most shared tokens of a prompt that is light: an engine reads them within a few steps.
const LIGHT_TOKENS_MAX: TokenCount = TokenCount(1_024);

/// Endpoints among which a light prompt is spread.
const LIGHT_SPREAD: usize = 4;

/// Requests above the mean up to which an endpoint gets all light prompts that rank it first.
const LIGHT_SLACK: f64 = 1.0;

/// Added to how full endpoints are before they are compared, so that small numbers weigh little.
const FILL_EVEN: f64 = 0.5;

/// Longest silence of an endpoint that is gone from the list and still serves.
///
/// Less than the three heartbeats of 1.2 s after which the platform drops one that has crashed.
const DEPARTED_SILENCE_MAX: DurationMs = DurationMs(3_000);

/// Time for which a prompt counts as held where it was sent.
///
/// A copy is asked for in vain if the prompt has been dropped since, which costs little.
const HOLDER_LIFE: DurationMs = DurationMs(30_000);

/// Time to come back where no endpoint takes new work now.
const RETRY_NO_ENDPOINT: DurationMs = DurationMs(500);

/// What bounds hold for the endpoints of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// This daemon's name.
    pub own_name: MemberName,
    /// The daemons that may be running, this one included.
    pub members: Vec<MemberName>,
    /// Fewest daemons that a bound is divided by, as some may not be known yet.
    pub members_min: usize,
    /// Most load of an endpoint, as a multiple of the mean.
    pub load_factor: f64,
    /// Time for which a prompt that an endpoint has read counts as still cached there.
    pub cache_life_ms: DurationMs,
    /// Time for which an endpoint serves on after it has left the list.
    pub drain_ms: DurationMs,
    /// What a cold endpoint may get; `None` if cold ones bear all.
    pub cold_bound: Option<ColdBound>,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// What the prompt shares with others; `None` of requests without a prompt.
    pub shared: Option<SharedParts>,
    /// A number from 0 to 1, drawn for this request.
    pub draw: f64,
    /// The zones whose endpoints may run the request; `None` if all may.
    pub allowed_zones: Option<&'a [ZoneName]>,
    /// Endpoints that failed this request already.
    pub tried: &'a [EndpointName],
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementReason {
    /// It ranks first for the prompt.
    First,
    /// Those that rank before it hold too much, are cold or are passed over.
    Next,
    /// All hold too much; it holds the least.
    LeastLoaded,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Requests that it held, as far as was known.
    pub load: u32,
    /// Age of that knowledge; `None` where only this daemon's own requests were known.
    pub load_age_ms: Option<DurationMs>,
    /// Whether it was in cold start.
    pub is_cold: bool,
    /// Another endpoint, which more likely holds the prompt's shared parts in its cache.
    pub fetch_from: Option<SocketAddr>,
    /// Whether other daemons can't know that the endpoint holds the prompt from now on.
    pub is_news_to_others: bool,
}

/// The endpoints of one service.
#[derive(Debug, Clone)]
pub struct EndpointPool {
    limits: PoolLimits,
    endpoints: BTreeMap<EndpointName, EndpointState>,
    holders: HolderMemory,
    departed: SmallVec<[Departed; 4]>,
}

/// An endpoint that has left the list and serves for a while yet.
#[derive(Debug, Clone)]
struct Departed {
    name: EndpointName,
    address: SocketAddr,
    until: MonotonicMs,
}

struct Candidate {
    name: EndpointName,
    load: u32,
    share: f64,
    slots: u32,
    score: u64,
}

/// Puts one of the endpoints that rank first for a light prompt to the front: the first that holds
/// no more than the mean, or else one that is drawn by how little it holds.
///
/// A light prompt costs little to read again, and light prompts are the most requests: placed like
/// this, they even out what the heavy ones leave uneven.
fn put_light_first(candidates: &mut [Candidate], mean: f64, draw: f64) {
    let below = |it: &Candidate| f64::from(it.load) <= mean + LIGHT_SLACK;
    match candidates.iter().position(below) {
        Some(place) => candidates[..=place].rotate_right(1),
        None => put_drawn_first(candidates, draw),
    }
}

/// Puts a candidate first that is drawn by how little it holds for its slots.
///
/// Reports are older than a request of a plain service lasts: daemons that all took the one with
/// the least load would all take the same one until the next report.
fn put_drawn_first(candidates: &mut [Candidate], draw: f64) {
    let weight = |it: &Candidate| {
        let fill = f64::from(it.load) / f64::from(it.slots.max(1));
        (fill + FILL_EVEN).powi(-2)
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut left = draw * total;
    let drawn = candidates.iter().position(|candidate| {
        left -= weight(candidate);
        left <= 0.0
    });
    if let Some(drawn) = drawn {
        candidates.swap(0, drawn);
        candidates[1..].sort_by_key(|it| it.load);
    }
}

impl EndpointPool {
    /// Starts without endpoints.
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            endpoints: BTreeMap::new(),
            holders: HolderMemory::default(),
            departed: SmallVec::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Takes over the whole list of the service's endpoints.
    pub fn relist(&mut self, now: MonotonicMs, listed: impl IntoIterator<Item = ListedEndpoint>) {
        let mut before = std::mem::take(&mut self.endpoints);
        for endpoint in listed {
            let name = endpoint.name.clone();
            let state = match before.remove(&name) {
                Some(mut state) => {
                    state.relist(now, endpoint);
                    state
                }
                None => EndpointState::new(now, endpoint),
            };
            self.endpoints.insert(name, state);
        }
        self.note_departed(now, before);
    }

    fn note_departed(&mut self, now: MonotonicMs, gone: BTreeMap<EndpointName, EndpointState>) {
        let until = now + self.limits.drain_ms;
        let sound = gone
            .into_iter()
            .filter(|(_, state)| state.is_sound(now, DEPARTED_SILENCE_MAX));
        self.departed.extend(sound.map(|(name, state)| Departed {
            name,
            address: state.listed.address,
            until,
        }));
        let is_listed = |gone: &Departed| {
            let mut listed = self.endpoints.values();
            listed.any(|state| state.listed.address == gone.address)
        };
        self.departed
            .retain(|gone| now < gone.until && !is_listed(gone));
    }

    /// Picks the endpoint that gets a request now, and counts it as started there.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` with the time to come back, where none may get it.
    pub fn place(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
    ) -> Result<Placement, Refusal> {
        let (name, reason) = self
            .choose(now, request, false)
            .or_else(|| self.choose(now, request, true))
            .ok_or(Refusal::after(ErrorKind::NoEndpoint, RETRY_NO_ENDPOINT))?;
        let fetch_from = request
            .shared
            .and_then(|shared| self.fetch_source(now, shared, &name, request.tried));
        let is_news_to_others = request
            .shared
            .is_some_and(|shared| self.note_holder(now, shared, &name));
        let state = self
            .endpoints
            .get_mut(&name)
            .expect("a chosen endpoint is listed");
        let (load, load_age_ms) = state.load(now);
        let is_cold = state.is_cold(now);
        state.in_flight += 1;
        Ok(Placement {
            address: state.listed.address,
            endpoint: name,
            reason,
            load,
            load_age_ms,
            is_cold,
            fetch_from,
            is_news_to_others,
        })
    }

    /// Notes that a prompt goes to an endpoint; tells whether that is news to other daemons.
    fn note_holder(&mut self, now: MonotonicMs, shared: SharedParts, name: &EndpointName) -> bool {
        self.holders.note_sent(now, shared.first_tag(), name);
        self.holders.note_sent(now, shared.tag(), name)
    }

    /// Returns an endpoint that more likely holds a prompt's shared parts than the chosen one.
    ///
    /// That is the last other one that they were sent to, by whichever daemon. Where none is known,
    /// the chosen one may rank first only since an endpoint came or went, and the one that did
    /// before holds them; or they are new, and one that their first part was sent to holds that.
    fn fetch_source(
        &self,
        now: MonotonicMs,
        shared: SharedParts,
        chosen: &EndpointName,
        tried: &[EndpointName],
    ) -> Option<SocketAddr> {
        let prompt = shared.tag();
        let cache_life_ms = self.limits.cache_life_ms;
        if self.holders.has_sent(now, prompt, chosen, cache_life_ms) {
            return None;
        }
        let serves = |name: &EndpointName, state: &EndpointState| {
            name != chosen && !tried.contains(name) && !state.is_avoided(now)
        };
        let address_of = |name: &EndpointName| match self.endpoints.get(name) {
            Some(state) => serves(name, state).then_some(state.listed.address),
            None => self.departed_address(now, name),
        };
        let holder_of = |tag| {
            let mut others = self.holders.others(now, tag, chosen, HOLDER_LIFE);
            others.find_map(address_of)
        };
        let is_new_here = self
            .endpoints
            .get(chosen)
            .is_some_and(|it| !self.is_settled(now, it));
        let of_first_part = || holder_of(shared.first_tag()).filter(|_| !is_new_here);
        holder_of(prompt)
            .or_else(|| self.departed_holder(now, shared))
            .or_else(of_first_part)
            .or_else(|| self.expected_holder(now, shared, serves))
    }

    /// Tells whether an endpoint has been there for long enough to hold what ranks it first.
    fn is_settled(&self, now: MonotonicMs, state: &EndpointState) -> bool {
        now - state.listed_since >= self.limits.cache_life_ms
    }

    /// Returns the endpoint that ranks first for a prompt among those that have been there for a
    /// while, as all daemons see it.
    fn expected_holder(
        &self,
        now: MonotonicMs,
        shared: SharedParts,
        serves: impl Fn(&EndpointName, &EndpointState) -> bool,
    ) -> Option<SocketAddr> {
        let rank = |(name, state): &(&EndpointName, &EndpointState)| {
            (
                self.is_settled(now, state),
                rendezvous_score(shared.key, name.as_str()),
            )
        };
        self.endpoints
            .iter()
            .filter(|(name, state)| serves(name, state))
            .max_by_key(rank)
            .map(|(_, state)| state.listed.address)
    }

    /// Returns where an endpoint serves yet that has left the list.
    fn departed_address(&self, now: MonotonicMs, name: &EndpointName) -> Option<SocketAddr> {
        let gone = self.departed.iter().find(|gone| gone.name == *name)?;
        (now < gone.until).then_some(gone.address)
    }

    /// Returns the endpoint that has left the list and ranked before all that are on it.
    fn departed_holder(&self, now: MonotonicMs, shared: SharedParts) -> Option<SocketAddr> {
        let score = |name: &EndpointName| rendezvous_score(shared.key, name.as_str());
        let listed_max = self.endpoints.keys().map(score).max();
        self.departed
            .iter()
            .filter(|gone| now < gone.until && Some(score(&gone.name)) > listed_max)
            .max_by_key(|gone| score(&gone.name))
            .map(|gone| gone.address)
    }

    /// Picks an endpoint; with `takes_avoided`, also one that is passed over for its failures.
    fn choose(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
        takes_avoided: bool,
    ) -> Option<(EndpointName, PlacementReason)> {
        let load_max = self.load_max(now);
        let key = request.shared.map_or(0, |shared| shared.key);
        let mut candidates: SmallVec<[Candidate; 16]> = self
            .endpoints
            .iter()
            .filter(|(name, state)| {
                let zone = &state.listed.zone;
                state.listed.takes_new_work
                    && request
                        .allowed_zones
                        .is_none_or(|zones| zones.contains(zone))
                    && !request.tried.contains(name)
                    && (takes_avoided || !state.is_avoided(now))
            })
            .map(|(name, state)| Candidate {
                name: name.clone(),
                load: state.load(now).0,
                share: state.share(),
                slots: state.listed.slots,
                score: rendezvous_score(key, name.as_str()),
            })
            .collect();
        match request.shared {
            Some(shared) => {
                candidates.sort_by_key(|it| Reverse(it.score));
                if shared.tokens <= LIGHT_TOKENS_MAX {
                    let first_len = candidates.len().min(LIGHT_SPREAD);
                    let mean = self.mean_load(now);
                    put_light_first(&mut candidates[..first_len], mean, request.draw);
                }
            }
            None => put_drawn_first(&mut candidates, request.draw),
        }
        for (rank, candidate) in candidates.iter().enumerate() {
            let has_room = f64::from(candidate.load) + 1.0 <= load_max;
            let is_in_share = request.shared.is_none() || request.draw <= candidate.share;
            if has_room && is_in_share && self.may_take(now, &candidate.name) {
                let reason = match rank {
                    0 => PlacementReason::First,
                    _ => PlacementReason::Next,
                };
                return Some((candidate.name.clone(), reason));
            }
        }
        candidates.sort_by_key(|candidate| candidate.load);
        let least = candidates
            .iter()
            .find(|candidate| self.may_take(now, &candidate.name))?;
        Some((least.name.clone(), PlacementReason::LeastLoaded))
    }

    /// Tells whether an endpoint may get one request more; takes this daemon's share of a cold one.
    fn may_take(&mut self, now: MonotonicMs, name: &EndpointName) -> bool {
        let Some(state) = self.endpoints.get_mut(name) else {
            return false;
        };
        let Some(bound) = self.limits.cold_bound.filter(|_| state.is_cold(now)) else {
            return true;
        };
        let rate = bound.share_of(
            &self.limits.own_name,
            &self.limits.members,
            self.limits.members_min,
            name,
        );
        state.cold.try_take(now, rate)
    }

    fn mean_load(&self, now: MonotonicMs) -> f64 {
        let total: u32 = self.endpoints.values().map(|it| it.load(now).0).sum();
        f64::from(total) / self.endpoints.len().max(1) as f64
    }

    /// Notes that a request has left an endpoint, with an answer or without.
    pub fn finish(&mut self, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes over what an endpoint says of its load.
    pub fn observe_load(&mut self, now: MonotonicMs, endpoint: &EndpointName, load: ReportedLoad) {
        self.observe_told_load(now, endpoint, load.running + load.waiting);
    }

    /// Takes over what an endpoint said of its load, to another daemon, some time ago.
    pub fn observe_told_load(&mut self, at: MonotonicMs, endpoint: &EndpointName, held: u32) {
        let kept = self.load_kept(at);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.observe_load(at, held);
            state.adjust_share(at, kept);
        }
    }

    /// Takes over that another daemon could not reach an endpoint.
    pub fn observe_told_unreachable(&mut self, at: MonotonicMs, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_told_unreachable(at);
        }
    }

    /// Takes over that another daemon sent a prompt to an endpoint.
    pub fn observe_told_holder(
        &mut self,
        at: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) {
        self.holders.note_told(at, prompt, endpoint);
    }

    /// Takes over what all daemons have in flight together.
    pub fn observe_totals(&mut self, now: MonotonicMs, total_of: impl Fn(&EndpointName) -> u32) {
        for (name, state) in &mut self.endpoints {
            state.observe_total(now, total_of(name));
        }
        let kept = self.load_kept(now);
        for state in self.endpoints.values_mut() {
            state.adjust_share(now, kept);
        }
    }

    /// Returns what this daemon has in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |state| state.in_flight)
    }

    /// Returns the load up to which an endpoint gets all that ranks it first.
    fn load_kept(&self, now: MonotonicMs) -> f64 {
        self.mean_load(now) * self.limits.load_factor * LOAD_FACTOR_SHARE + LOAD_SLACK_KEPT
    }

    /// Returns the load from which an endpoint gets nothing while another one can take it.
    fn load_max(&self, now: MonotonicMs) -> f64 {
        self.mean_load(now) * self.limits.load_factor + LOAD_SLACK_MAX
    }

    /// Notes that an endpoint has given a good answer.
    pub fn observe_success(&mut self, now: MonotonicMs, endpoint: &EndpointName) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_success(now);
        }
    }

    /// Notes that a send to an endpoint has failed.
    pub fn observe_failure(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        failure: SendFailure,
    ) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match failure {
            // A full endpoint is well; its load says so.
            SendFailure::Refused => {}
            SendFailure::NotSent
            | SendFailure::Misdirected
            | SendFailure::Unanswered
            | SendFailure::Broken
            | SendFailure::Mismatched
            | SendFailure::EndpointError => state.note_failure(now, failure.is_unreachable()),
        }
    }
}
