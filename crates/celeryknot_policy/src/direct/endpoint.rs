//! State that one daemon keeps about one endpoint.

use std::net::SocketAddr;

use celeryknot_core::{
    DurationMs, EndpointName, EndpointPace, MonotonicMs, SoftwareVersion, ZoneName,
};

use super::pace::{PaceEstimate, RelativePace, ServicePace};
use super::refusal_limit::RefusalLimit;
use crate::rate_limit::{RateChange, RateGate, RateStatement, TokenBucket};

/// Maximum age of an endpoint's own load report.
const REPORT_AGE_MAX: DurationMs = DurationMs(2_000);

/// Maximum age of the number of requests that all daemons have in flight.
const FLEET_TOTAL_AGE_MAX: DurationMs = DurationMs(2_000);

/// Time after which the other daemons' counts of requests in flight have arrived.
const FLEET_TOTAL_DELAY: DurationMs = DurationMs(200);

/// Minimum time between two changes of an endpoint's share; about the time until its load reflects
/// a change.
const SHARE_ADJUST_INTERVAL: DurationMs = DurationMs(300);

/// Factor and step by which the share grows in an interval without overload.
const SHARE_GROWTH_FACTOR: f64 = 1.1;
const SHARE_GROWTH_STEP: f64 = 0.02;

/// Minimum share.
const SHARE_MIN: f64 = 0.1;

/// Initial ejection time of a failed endpoint.
const EJECTION_MIN: DurationMs = DurationMs(300);

/// Maximum ejection time of a failed endpoint.
const EJECTION_MAX: DurationMs = DurationMs(2_400);

/// Time for which an endpoint that a peer reported as unreachable stays ejected.
///
/// Longer than the update takes to spread, so that one daemon at a time probes for recovery.
const SUSPICION_LIFETIME: DurationMs = DurationMs(1_000);

/// Minimum silence of an endpoint before a peer's report that it is unreachable counts.
///
/// A partitioned daemon finds every endpoint unreachable, but an endpoint that has just responded
/// to others is healthy.
const SUSPICION_SILENCE_MIN: DurationMs = DurationMs(300);

/// Consecutive failures that eject an endpoint; a single failure to reach it ejects at once.
const FAILURES_TO_EJECT: u32 = 2;

/// Maximum time for which an endpoint gets no requests on its own demand.
pub const PAUSE_MAX: DurationMs = DurationMs(10 * 60_000);

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub name: EndpointName,
    /// Start time by the endpoint's own clock; identifies its incarnation.
    pub started_at_ms: Option<u64>,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests: it is not draining and its zone is in service.
    pub accepts_requests: bool,
    /// End of its cold start.
    pub cold_until: Option<MonotonicMs>,
}

/// Load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// How long work currently takes there, if it reports that.
    pub pace: Option<EndpointPace>,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    /// Requests running or queued at the endpoint.
    requests: u32,
    at: MonotonicMs,
    /// This daemon's own requests in flight at that time.
    own_in_flight: u32,
}

/// This daemon's requests in flight at an endpoint, now and [`FLEET_TOTAL_DELAY`] before.
#[derive(Debug, Clone, Copy, Default)]
struct OwnCounts {
    older: u32,
    newer: u32,
    newer_at: MonotonicMs,
}

impl OwnCounts {
    fn observe(&mut self, now: MonotonicMs, count: u32) {
        if now - self.newer_at >= FLEET_TOTAL_DELAY {
            *self = Self {
                older: self.newer,
                newer: count,
                newer_at: now,
            };
        }
    }
}

/// The requests in flight at an endpoint, all counted at about the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetCount {
    /// Those of this daemon.
    pub(crate) own: u32,
    /// Those of all daemons.
    pub(crate) fleet: u32,
}

/// State of one endpoint in one daemon.
#[derive(Debug, Clone)]
pub struct EndpointState {
    pub(crate) listed: ListedEndpoint,
    /// When this incarnation of the endpoint was first listed.
    pub(crate) listed_since: MonotonicMs,
    pub(crate) in_flight: u32,
    pub(crate) cold_bucket: TokenBucket,
    pub(crate) rate_gate: RateGate,
    pub(crate) refusal_limit: RefusalLimit,
    /// Whether the endpoint has stated that it is leaving.
    is_leaving: bool,
    /// Until when it has asked this daemon for no requests.
    paused_until: MonotonicMs,
    /// When the endpoint was found to have restarted, if it has.
    restarted_at: Option<MonotonicMs>,
    last_reported: Option<LoadSample>,
    pace: PaceEstimate,
    fleet_total: Option<LoadSample>,
    own_counts: OwnCounts,
    share: f64,
    share_set_at: MonotonicMs,
    consecutive_failures: u32,
    ejected_until: MonotonicMs,
    /// Time of its last response, to this daemon or a peer.
    last_response_at: Option<MonotonicMs>,
    /// When a peer last failed to reach it.
    reported_unreachable_at: Option<MonotonicMs>,
}

impl EndpointState {
    pub(crate) fn new(now: MonotonicMs, listed: ListedEndpoint) -> Self {
        Self {
            listed,
            listed_since: now,
            in_flight: 0,
            cold_bucket: TokenBucket::default(),
            rate_gate: RateGate::default(),
            refusal_limit: RefusalLimit::default(),
            is_leaving: false,
            paused_until: MonotonicMs(0),
            restarted_at: None,
            last_reported: None,
            pace: PaceEstimate::default(),
            fleet_total: None,
            own_counts: OwnCounts::default(),
            share: 1.0,
            share_set_at: MonotonicMs(0),
            consecutive_failures: 0,
            ejected_until: MonotonicMs(0),
            last_response_at: None,
            reported_unreachable_at: None,
        }
    }

    /// Applies the platform's current listing; a new incarnation resets the state.
    pub(crate) fn relist(&mut self, now: MonotonicMs, listed: ListedEndpoint) {
        if listed.started_at_ms != self.listed.started_at_ms {
            let in_flight = self.in_flight;
            *self = Self::new(now, listed);
            self.in_flight = in_flight;
            self.restarted_at = Some(now);
            return;
        }
        self.listed = listed;
    }

    /// Returns the state to restore if the endpoint is listed again; requests that were in flight
    /// when it was delisted are no longer counted.
    pub(crate) fn departed(&self) -> Self {
        Self {
            in_flight: 0,
            ..self.clone()
        }
    }

    /// Records the load that the endpoint reported to this daemon or a peer.
    pub(crate) fn observe_load(&mut self, at: MonotonicMs, requests: u32) {
        self.last_response_at = self.last_response_at.max(Some(at));
        if self.last_reported.is_none_or(|sample| sample.at < at) {
            self.last_reported = Some(self.new_sample(at, requests));
        }
    }

    /// Records the pace that the endpoint reported to this daemon or a peer.
    pub(crate) fn observe_pace(&mut self, at: MonotonicMs, pace: EndpointPace) {
        self.pace.observe(at, pace);
    }

    /// Sets the mean pace of the service.
    pub(crate) fn set_service_pace(&mut self, service: ServicePace) {
        self.pace.set_service(service);
    }

    pub(crate) fn pace(&self) -> &PaceEstimate {
        &self.pace
    }

    /// Returns the pace beside that of the service, if any endpoint of the service reports one.
    pub(crate) fn relative_pace(&self, now: MonotonicMs) -> Option<RelativePace> {
        self.pace.relative(now)
    }

    /// Records the number of requests that all daemons have in flight here.
    pub(crate) fn observe_fleet_total(&mut self, now: MonotonicMs, fleet_total: u32) {
        self.fleet_total = Some(self.new_sample(now, fleet_total));
        self.own_counts.observe(now, self.in_flight);
    }

    /// Returns whether an answer to a request sent then is certainly of this incarnation.
    fn is_of_incarnation(&self, sent_at: MonotonicMs) -> bool {
        self.restarted_at.is_none_or(|at| sent_at >= at)
    }

    /// Applies what an answer of the endpoint states about its rate limit.
    pub(crate) fn observe_rate_statement(&mut self, statement: RateStatement) -> RateChange {
        match self.is_of_incarnation(statement.sent_at) {
            true => self.rate_gate.observe(statement),
            false => RateChange::Unchanged,
        }
    }

    /// Applies what an answer of the endpoint states about the refusals that it survives; returns
    /// whether that is another limit than before.
    pub(crate) fn observe_refusal_limit(&mut self, statement: RateStatement) -> bool {
        self.is_of_incarnation(statement.sent_at) && self.refusal_limit.observe(statement)
    }

    /// Records that the endpoint stated that it is leaving, in an answer to a request sent then;
    /// returns whether that is new.
    pub(crate) fn observe_leaving(&mut self, sent_at: MonotonicMs) -> bool {
        let is_new = !self.is_leaving && self.is_of_incarnation(sent_at);
        self.is_leaving |= is_new;
        is_new
    }

    /// Records that the endpoint asked for no requests for a time, in an answer to a request sent
    /// then.
    pub(crate) fn observe_pause(
        &mut self,
        now: MonotonicMs,
        sent_at: MonotonicMs,
        pause_ms: DurationMs,
    ) {
        if self.is_of_incarnation(sent_at) {
            self.paused_until = self.paused_until.max(now + pause_ms.min(PAUSE_MAX));
        }
    }

    /// Returns how long the endpoint still wants no requests from this daemon.
    pub(crate) fn pause_left_ms(&self, now: MonotonicMs) -> DurationMs {
        self.paused_until - now
    }

    /// Returns whether the endpoint serves, by its listing and its own statements.
    pub(crate) fn is_serving(&self) -> bool {
        self.listed.accepts_requests && !self.is_leaving
    }

    /// Returns whether the endpoint accepts requests from this daemon now.
    pub(crate) fn accepts_requests(&self, now: MonotonicMs) -> bool {
        self.is_serving() && now >= self.paused_until
    }

    /// Returns whether the endpoint states a rate limit.
    pub(crate) fn is_rate_limited(&self, now: MonotonicMs) -> bool {
        self.rate_gate.rate(now).is_some()
    }

    fn new_sample(&self, at: MonotonicMs, requests: u32) -> LoadSample {
        LoadSample {
            requests,
            at,
            own_in_flight: self.in_flight,
        }
    }

    /// Adjusts the share that the endpoint gets of the prompts for which it ranks first.
    ///
    /// While the expected work exceeds `soft_limit`, the share shrinks in proportion; afterwards it grows
    /// back slowly. All daemons receive the same reports and would otherwise leave the endpoint and
    /// return to it in lockstep.
    pub(crate) fn adjust_share(&mut self, now: MonotonicMs, soft_limit: f64) {
        if now - self.share_set_at < SHARE_ADJUST_INTERVAL {
            return;
        }
        self.share_set_at = now;
        let limit_ratio = soft_limit / self.expected_work(now).max(1.0);
        self.share = match limit_ratio < 1.0 {
            true => (self.share * limit_ratio).max(SHARE_MIN),
            false => (self.share * SHARE_GROWTH_FACTOR + SHARE_GROWTH_STEP).min(1.0),
        };
    }

    /// Returns the share that the endpoint gets of the prompts for which it ranks first.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    pub(crate) fn record_success(&mut self, now: MonotonicMs) {
        self.consecutive_failures = 0;
        self.last_response_at = self.last_response_at.max(Some(now));
    }

    /// Records that a peer could not reach the endpoint.
    pub(crate) fn record_reported_unreachable(&mut self, at: MonotonicMs) {
        self.reported_unreachable_at = self.reported_unreachable_at.max(Some(at));
    }

    fn is_suspect(&self, now: MonotonicMs) -> bool {
        let Some(at) = self.reported_unreachable_at else {
            return false;
        };
        let was_silent = self
            .last_response_at
            .is_none_or(|responded_at| at - responded_at >= SUSPICION_SILENCE_MIN);
        was_silent && now - at < SUSPICION_LIFETIME
    }

    /// Returns whether the endpoint responded to this daemon or a peer within `silence_max`.
    pub(crate) fn has_responded(&self, now: MonotonicMs, silence_max: DurationMs) -> bool {
        self.last_response_at
            .is_some_and(|at| now - at <= silence_max)
    }

    /// Returns whether the endpoint responded within `silence_max` and has not failed since.
    pub(crate) fn is_healthy(&self, now: MonotonicMs, silence_max: DurationMs) -> bool {
        let has_responded = self.has_responded(now, silence_max);
        has_responded && self.consecutive_failures == 0 && !self.is_ejected(now)
    }

    /// Records a failure; `is_unreachable` ejects the endpoint at the first one.
    pub(crate) fn record_failure(&mut self, now: MonotonicMs, is_unreachable: bool) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if !is_unreachable && self.consecutive_failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = self.consecutive_failures.saturating_sub(1).min(8);
        let ejection_ms = EJECTION_MIN.0.saturating_mul(1 << doublings);
        self.ejected_until = now + DurationMs(ejection_ms.min(EJECTION_MAX.0));
    }

    /// Forgets the failures of this daemon's requests.
    pub(crate) fn forgive_failures(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = MonotonicMs(0);
    }

    /// Returns whether the endpoint is ejected, for failures seen here or reported by a peer.
    pub(crate) fn is_ejected(&self, now: MonotonicMs) -> bool {
        now < self.ejected_until || self.is_suspect(now)
    }

    /// Returns the last counts of requests in flight; this daemon's alone if there is no fleet total.
    pub(crate) fn fleet_count(&self, now: MonotonicMs) -> FleetCount {
        let total = self
            .fleet_total
            .filter(|it| now - it.at <= FLEET_TOTAL_AGE_MAX);
        let Some(total) = total else {
            return FleetCount {
                own: self.in_flight,
                fleet: self.in_flight,
            };
        };
        // The other daemons counted before the total arrived.
        let own = total.own_in_flight.min(self.own_counts.older);
        FleetCount {
            own,
            fleet: total.requests.max(own),
        }
    }

    /// Returns whether all places of the endpoint are taken.
    pub(crate) fn is_full(&self, now: MonotonicMs) -> bool {
        self.load(now).0 >= self.listed.slots
    }

    /// Returns whether the endpoint is in cold start.
    pub(crate) fn is_cold(&self, now: MonotonicMs) -> bool {
        self.listed.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the work that the endpoint is expected to have, in requests at the usual pace.
    pub(crate) fn expected_work(&self, now: MonotonicMs) -> f64 {
        f64::from(self.load(now).0) * self.pace.factor(now)
    }

    /// Returns the estimated number of requests at the endpoint and the age of the estimate.
    ///
    /// The fleet's in-flight total is preferred: the endpoint's own reports come with its
    /// responses, which are late under high load.
    pub(crate) fn load(&self, now: MonotonicMs) -> (u32, Option<DurationMs>) {
        let Some(sample) = self.latest_sample(now) else {
            return (self.in_flight, None);
        };
        let current = (sample.requests + self.in_flight).saturating_sub(sample.own_in_flight);
        (current.max(self.in_flight), Some(now - sample.at))
    }

    /// Returns by how many this daemon's requests in flight have grown since the estimate's sample.
    pub(crate) fn own_growth(&self, now: MonotonicMs) -> i64 {
        self.latest_sample(now).map_or(0, |sample| {
            i64::from(self.in_flight) - i64::from(sample.own_in_flight)
        })
    }

    fn latest_sample(&self, now: MonotonicMs) -> Option<LoadSample> {
        let fresh = |sample: &Option<LoadSample>, age_max| {
            sample.filter(|sample| now - sample.at <= age_max)
        };
        fresh(&self.fleet_total, FLEET_TOTAL_AGE_MAX).or(fresh(&self.last_reported, REPORT_AGE_MAX))
    }
}
