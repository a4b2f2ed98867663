//! Admission of requests to endpoints with a rate limit: one in cold start, or one that it states.

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, RatePerS, Refusal};
use smallvec::SmallVec;

use super::endpoint::EndpointState;
use super::pool::{Choice, EndpointPool, PlacementReason, PlacementRequest, PoolLimits};
use crate::rate_limit::{FleetRateLimit, TokenBucket};

/// Retry delay while no endpoint accepts requests.
const NO_ENDPOINT_RETRY_DELAY: DurationMs = DurationMs(500);

/// Longest retry delay while all endpoints are at their rate limits.
const RATE_LIMITED_RETRY_DELAY_MAX: DurationMs = DurationMs(10_000);

/// Time over which callers return after the end of a pause that all endpoints have asked for.
const PAUSE_END_SPREAD: DurationMs = DurationMs(1_000);

/// The requests refused for rate limits that have not had time to be served since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RefusedRequests {
    count: f64,
    at: MonotonicMs,
}

impl RefusedRequests {
    /// Counts a refused request; returns when it may be served if the earlier ones return first.
    pub(super) fn next_turn_ms(&mut self, now: MonotonicMs, rate: RatePerS) -> DurationMs {
        let served = rate.count_in(now - self.at);
        self.count = (self.count - served).max(0.0) + 1.0;
        self.at = now;
        rate.time_for(self.count)
    }
}

/// Returns this daemon's share of a limit of one endpoint.
fn member_rate(limits: &PoolLimits, limit: FleetRateLimit, endpoint: &EndpointName) -> RatePerS {
    limit.member_rate(
        &limits.own_name,
        &limits.members,
        limits.members_min,
        endpoint,
    )
}

/// Returns the buckets of the limits that an endpoint has, with this daemon's rate for each.
fn active_buckets<'a>(
    now: MonotonicMs,
    limits: &PoolLimits,
    name: &EndpointName,
    state: &'a mut EndpointState,
) -> SmallVec<[(&'a mut TokenBucket, RatePerS); 2]> {
    let cold_limit = limits.cold_rate_limit.filter(|_| state.is_cold(now));
    let stated_limit = state.rate_gate.limit(now);
    let buckets = [
        (cold_limit, &mut state.cold_bucket),
        (stated_limit, &mut state.rate_gate.bucket),
    ];
    let active = buckets.into_iter().filter_map(|(limit, bucket)| {
        let rate = member_rate(limits, limit?, name);
        Some((bucket, rate))
    });
    active.collect()
}

impl EndpointPool {
    /// Returns whether an endpoint may get one more request now; takes a token of each limit.
    pub(super) fn try_admit(&mut self, now: MonotonicMs, name: &EndpointName) -> bool {
        let is_due = self.turn_ms(now, name) == Some(DurationMs(0));
        if is_due {
            self.take_turn(now, now, name);
        }
        is_due
    }

    /// Reserves the first turn at any endpoint, if it comes in time.
    pub(super) fn reserve_turn(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        if self.refusal_limit(now).is_some() {
            return None;
        }
        let candidates = self
            .candidates_with_room(now, request)
            .filter(|(_, state)| !state.is_ejected(now));
        let names: SmallVec<[EndpointName; 16]> =
            candidates.map(|(name, _)| name.clone()).collect();
        let turns = names
            .into_iter()
            .filter_map(|name| Some((self.turn_ms(now, &name)?, name)));
        let (wait_ms, name) = turns.min_by_key(|(wait_ms, _)| *wait_ms)?;
        if wait_ms > request.wait_max_ms {
            return None;
        }
        self.take_turn(now, now + wait_ms, &name);
        Some(Choice {
            moved_from: None,
            name,
            reason: PlacementReason::Queued,
            wait_ms,
        })
    }

    /// Returns when an endpoint may get one more request from this daemon; `None` if it may not.
    fn turn_ms(&mut self, now: MonotonicMs, name: &EndpointName) -> Option<DurationMs> {
        let state = self.endpoints.get_mut(name)?;
        let buckets = active_buckets(now, &self.limits, name, state);
        let mut waits = buckets
            .iter()
            .map(|(bucket, rate)| bucket.wait_ms(now, *rate));
        waits.try_fold(DurationMs(0), |longest, wait_ms| {
            Some(longest.max(wait_ms?))
        })
    }

    fn take_turn(&mut self, now: MonotonicMs, at: MonotonicMs, name: &EndpointName) {
        let Some(state) = self.endpoints.get_mut(name) else {
            return;
        };
        for (bucket, _) in active_buckets(now, &self.limits, name, state) {
            bucket.reserve(at);
        }
    }

    /// Builds the refusal of a request if each endpoint that could serve it has asked for no requests;
    /// the retry delay is the time until the first of them accepts some again, and up to
    /// [`PAUSE_END_SPREAD`] more.
    fn refuse_paused(&self, now: MonotonicMs, request: &PlacementRequest<'_>) -> Option<Refusal> {
        let serving = self
            .endpoints
            .iter()
            .filter(|(name, state)| Self::may_serve(name, state, request));
        let left_ms = serving.map(|(_, state)| state.pause_left_ms(now)).min()?;
        if left_ms == DurationMs(0) {
            return None;
        }
        let spread_ms = (PAUSE_END_SPREAD.0 as f64 * request.draw) as u64;
        Some(Refusal::with_retry_after(
            ErrorKind::EndpointRefused,
            DurationMs(left_ms.0 + spread_ms),
        ))
    }

    /// Builds the refusal of a request that no endpoint may get.
    pub(super) fn refuse(&mut self, now: MonotonicMs, request: &PlacementRequest<'_>) -> Refusal {
        let limits = &self.limits;
        let candidates = self
            .endpoints
            .iter()
            .filter(|(name, state)| Self::is_candidate(now, name, state, request));
        let rates: SmallVec<[RatePerS; 16]> = candidates
            .filter_map(|(name, state)| {
                let limit = state.rate_gate.limit(now)?;
                Some(member_rate(limits, limit, name))
            })
            .collect();
        if rates.is_empty() {
            if let Some(refusal) = self.refuse_paused(now, request) {
                return refusal;
            }
            let is_full = self.refusal_limit(now).is_some();
            return match is_full && self.has_sound_candidate(now, request) {
                true => Self::refuse_full(request.draw),
                false => Refusal::with_retry_after(ErrorKind::NoEndpoint, NO_ENDPOINT_RETRY_DELAY),
            };
        }
        let rate = RatePerS(rates.iter().map(|rate| rate.0).sum());
        let retry_after_ms = match rate.0 > 0.0 {
            true => self.refused_requests.next_turn_ms(now, rate),
            // Other daemons have a share.
            false => NO_ENDPOINT_RETRY_DELAY,
        };
        let retry_after_ms =
            retry_after_ms.clamp(NO_ENDPOINT_RETRY_DELAY, RATE_LIMITED_RETRY_DELAY_MAX);
        Refusal::with_retry_after(ErrorKind::RateLimited, retry_after_ms)
    }
}
