//! Admission to endpoints that fail if they have to refuse too many requests.
//!
//! Answers a burst beyond what the endpoints of a service can hold. Daemons see each other's requests
//! late, so requests that are sent on the chance of room add up to refusals at the endpoint. While an
//! endpoint of a service states such a limit, a daemon grows the number of its own requests in flight
//! only as far as all daemons may if they grow alike, and a request that finds no room within a few
//! endpoints is refused at once.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, RatePerS, Refusal};

use super::pool::{EndpointPool, PoolLimits};
use crate::rate_limit::RateStatement;

/// Time without a further statement after which a limit ends.
const STATEMENT_TTL: DurationMs = DurationMs(5_000);

/// Fraction of the slots of all endpoints that is filled; the rest is left to prompts that differ in
/// demand.
const SLOT_FILL: f64 = 0.85;

/// Fraction of an endpoint's slots that is much room.
const AMPLE_FREE: f64 = 0.4;

/// Time for which a daemon doesn't see other daemons' requests, at most.
const UNSEEN_TIME: DurationMs = DurationMs(400);

/// Time over which offers are averaged.
const OFFER_WINDOW: DurationMs = DurationMs(1_000);

/// Number of endpoints, by rank, among which a request looks for room.
///
/// Requests of full endpoints would otherwise all go to one that has just returned.
pub(super) const CANDIDATES_MAX: usize = 3;

/// Bounds of the time for which an endpoint that refused a request gets no other from this daemon.
const AVOIDANCE_MIN: DurationMs = DurationMs(500);
const AVOIDANCE_MAX: DurationMs = DurationMs(3_000);

/// Shortest retry delay of a request for which there is no room, and the time over which callers
/// return after it.
const RETRY_DELAY: DurationMs = DurationMs(500);
const RETRY_SPREAD: DurationMs = DurationMs(1_000);

/// What an endpoint has stated about the number of refusals that it survives.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RatePerS};
/// use celeryknot_policy::direct::RefusalLimit;
/// use celeryknot_policy::rate_limit::RateStatement;
///
/// let mut limit = RefusalLimit::default();
/// let statement = |rate, sent_at, arrived_at| RateStatement {
///     rate,
///     sent_at: MonotonicMs(sent_at),
///     arrived_at: MonotonicMs(arrived_at),
/// };
/// assert!(limit.observe(statement(Some(RatePerS(5.0)), 100, 150)));
/// assert!(!limit.observe(statement(None, 120, 200)), "sent before the statement arrived");
/// assert_eq!(limit.rate(MonotonicMs(200)), Some(RatePerS(5.0)));
/// assert!(limit.observe(statement(None, 250, 300)));
/// assert_eq!(limit.rate(MonotonicMs(300)), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RefusalLimit {
    latest: Option<RateStatement>,
    /// Until when this daemon sends nothing, after a refusal.
    avoided_until: MonotonicMs,
}

impl RefusalLimit {
    /// Applies what an answer states; returns whether the limit is another one than before.
    pub fn observe(&mut self, statement: RateStatement) -> bool {
        let previous = self.rate(statement.arrived_at);
        let is_newer = self
            .latest
            .is_none_or(|latest| statement.rate.is_some() || statement.sent_at > latest.arrived_at);
        if !is_newer {
            return false;
        }
        self.latest = statement.rate.map(|_| statement);
        previous != statement.rate
    }

    /// Returns the refusals a second that the endpoint survives, if it has stated that lately.
    pub fn rate(&self, now: MonotonicMs) -> Option<RatePerS> {
        let latest = self
            .latest
            .filter(|latest| now - latest.arrived_at < STATEMENT_TTL)?;
        latest.rate
    }

    /// Returns whether the endpoint gets nothing from this daemon, as it has refused a request.
    pub(super) fn is_avoided(&self, now: MonotonicMs) -> bool {
        now < self.avoided_until
    }

    /// Sends nothing for so long that the refusals of all daemons together stay below the limit.
    fn avoid(&mut self, now: MonotonicMs, limits: &PoolLimits, rate: RatePerS) {
        let avoidance_ms = rate.time_for(limits.member_count() as f64);
        self.avoided_until = now + avoidance_ms.clamp(AVOIDANCE_MIN, AVOIDANCE_MAX);
    }
}

/// Returns how many requests a daemon may have in flight where all daemons together may have
/// `capacity`.
///
/// A daemon may grow its requests as all daemons may if they grow alike, so that the sum stays within the
/// capacity although none sees the others' latest requests; it may always have its even share.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::refusal_limit::in_flight_max;
///
/// // With four of twelve requests, a daemon may have a third of the capacity.
/// assert_eq!(in_flight_max(4, 12, 24.0, 10), 8.0);
/// assert_eq!(in_flight_max(0, 12, 24.0, 10), 2.4);
/// ```
pub fn in_flight_max(own_count: u32, fleet_count: u32, capacity: f64, members: usize) -> f64 {
    let growth = capacity / f64::from(fleet_count.max(1));
    let even_share = capacity / members.max(1) as f64;
    (f64::from(own_count) * growth).max(even_share)
}

/// A count of events that decays over [`OFFER_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    at: MonotonicMs,
}

impl DecayingSum {
    pub(super) fn value(&self, now: MonotonicMs) -> f64 {
        let elapsed = (now - self.at).0 as f64 / OFFER_WINDOW.0 as f64;
        self.sum * (-elapsed).exp()
    }

    pub(super) fn add(&mut self, now: MonotonicMs, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }

    /// Returns the number of events within a time at the current rate.
    fn within(&self, now: MonotonicMs, time: DurationMs) -> f64 {
        self.value(now) * time.0 as f64 / OFFER_WINDOW.0 as f64
    }
}

impl PoolLimits {
    /// Returns the number of daemons among which places are divided.
    fn member_count(&self) -> usize {
        self.members.len().max(self.members_min).max(1)
    }
}

impl EndpointPool {
    /// Returns whether this daemon may have one more request in flight at the service's endpoints.
    pub(super) fn has_room(&self, now: MonotonicMs) -> bool {
        let (mut in_flight, mut own_count, mut fleet_count, mut slots) = (0, 0, 0, 0);
        for state in self.endpoints.values() {
            let count = state.fleet_count(now);
            in_flight += state.in_flight;
            own_count += count.own;
            fleet_count += count.fleet;
            if state.accepts_requests(now) && !state.is_ejected(now) {
                slots += state.listed.slots;
            }
        }
        let capacity = f64::from(slots) * SLOT_FILL;
        let max = in_flight_max(own_count, fleet_count, capacity, self.limits.member_count());
        f64::from(in_flight) + 1.0 <= max.max(1.0)
    }

    /// Returns whether this daemon may have one more request in flight at an endpoint.
    ///
    /// With more daemons than places, a fraction of a request is a chance of one. While much of the
    /// endpoint is free, the chance is that with which the requests of all daemons that can't see each
    /// other's yet fit, if all offer it as many as this one.
    pub(super) fn takes_room(&mut self, now: MonotonicMs, draw: f64, name: &EndpointName) -> bool {
        let members = self.limits.member_count();
        self.offers.add(now, 1.0);
        let own_offers = self.offers.within(now, UNSEEN_TIME);
        let offers = own_offers * members as f64 / self.endpoints.len() as f64;
        let Some(state) = self.endpoints.get(name) else {
            return false;
        };
        let count = state.fleet_count(now);
        let capacity = f64::from(state.listed.slots);
        let max = in_flight_max(count.own, count.fleet, capacity, members);
        let mut chance = max - f64::from(state.in_flight);
        let free = capacity - f64::from(count.fleet);
        if free >= capacity * AMPLE_FREE {
            chance = chance.max(free / offers);
        }
        // Independent of the number that ranks the endpoints.
        let draw = rendezvous_score(draw.to_bits(), name.as_str()) as f64 / u64::MAX as f64;
        draw < chance
    }

    /// Applies what an answer of an endpoint states about the refusals a second that it survives;
    /// returns whether that is another limit than before.
    pub fn observe_refusal_limit(
        &mut self,
        endpoint: &EndpointName,
        statement: RateStatement,
    ) -> bool {
        self.endpoints
            .get_mut(endpoint)
            .is_some_and(|state| state.observe_refusal_limit(statement))
    }

    /// Returns the lowest limit that any endpoint of the service has stated lately.
    ///
    /// Endpoints become sensitive together, and a daemon hears too seldom from each one.
    pub fn refusal_limit(&self, now: MonotonicMs) -> Option<RatePerS> {
        let rates = self
            .endpoints
            .values()
            .filter_map(|it| it.refusal_limit.rate(now));
        rates.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Avoids an endpoint that refused a request, while refusals may make it fail.
    pub(super) fn avoid_after_refusal(&mut self, now: MonotonicMs, endpoint: &EndpointName) {
        let Some(rate) = self.refusal_limit(now) else {
            return;
        };
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.refusal_limit.avoid(now, &self.limits, rate);
        }
    }

    /// Builds the refusal of a request for which no endpoint has room; callers return spread over a
    /// time.
    pub(super) fn refuse_full(draw: f64) -> Refusal {
        let spread_ms = (RETRY_SPREAD.0 as f64 * draw) as u64;
        let retry_after_ms = DurationMs(RETRY_DELAY.0 + spread_ms);
        Refusal::with_retry_after(ErrorKind::EndpointsFull, retry_after_ms)
    }
}
