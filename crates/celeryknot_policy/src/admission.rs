//! Admission control at the owner of an endpoint: exact in-flight count, concurrency limits, cold
//! start and a fair queue.
//!
//! The owner drives one [`EndpointAdmission`] per endpoint: it offers requests, records how they
//! ended, feeds in load reports, and calls `poll` after each event until it returns `None`.

mod capacity;
pub(crate) mod fair_queue;
pub(crate) mod flow;
pub mod limits;
mod refusal;
pub mod request;
pub mod wait_model;

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{
    CustomerName, DurationMs, EndpointSummary, ErrorKind, MonotonicMs, Refusal, RequestId,
};

use crate::bound::ServiceLoad;
use crate::health::HealthState;
use crate::rate_limit::{RateChange, RateGate, RateStatement};
use capacity::Capacity;
use fair_queue::{FairQueue, Slots};
use wait_model::WaitModel;

pub use capacity::FIRST_REPORT_GRACE_MS;
pub use limits::AdmissionLimits;
pub use request::{
    AdmissionAction, AdmissionRequest, AdmissionRequestBuilder, Decision, FinishOutcome,
    FinishStatus, ReportedLoad,
};

#[derive(Debug, Clone)]
struct InFlight {
    customer: CustomerName,
    cost_tokens: u32,
    started_at: MonotonicMs,
}

/// Controls the admission of requests to one endpoint.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RequestId};
/// use celeryknot_policy::admission::{
///     AdmissionLimits, AdmissionRequest, Decision, EndpointAdmission, ReportedLoad,
/// };
///
/// let now = MonotonicMs(0);
/// let mut endpoint = EndpointAdmission::new(AdmissionLimits::default(), now);
/// endpoint.observe_load(now, ReportedLoad { is_cold: true, ..ReportedLoad::default() });
/// let request = |id| AdmissionRequest::builder(RequestId(id), "otaru".parse().unwrap()).build();
/// assert_eq!(endpoint.offer(now, request(1)), Decision::Start);
/// assert_eq!(endpoint.offer(now, request(2)), Decision::Start);
/// assert_eq!(endpoint.offer(now, request(3)), Decision::Queued);
/// assert_eq!(endpoint.poll(now), None);
/// ```
#[derive(Debug, Clone)]
pub struct EndpointAdmission {
    limits: AdmissionLimits,
    capacity: Capacity,
    rate_gate: RateGate,
    queue: FairQueue,
    wait_model: WaitModel,
    in_flight: BTreeMap<RequestId, InFlight>,
    pending_refusals: VecDeque<(RequestId, Refusal)>,
    accepts_requests: bool,
}

impl EndpointAdmission {
    /// Creates the admission state with the endpoint in cold start, as its load is unknown.
    ///
    /// No request starts before the endpoint's first report or the end of
    /// [`FIRST_REPORT_GRACE_MS`], as the previous owner may have filled the endpoint.
    pub fn new(limits: AdmissionLimits, now: MonotonicMs) -> Self {
        Self {
            limits,
            capacity: Capacity::new(limits, now),
            rate_gate: RateGate::default(),
            queue: FairQueue::default(),
            wait_model: WaitModel::default(),
            in_flight: BTreeMap::new(),
            pending_refusals: VecDeque::new(),
            accepts_requests: true,
        }
    }

    /// Starts, queues or refuses a request; [`Self::poll`] later decides on a queued one.
    pub fn offer(&mut self, now: MonotonicMs, request: AdmissionRequest) -> Decision {
        self.capacity.advance(now, self.own_in_flight());
        if let Some(refusal) = self.immediate_refusal(now, &request) {
            return Decision::Refuse(refusal);
        }
        self.queue.push(now, &request);
        if self.start_if_next(now, request.id) {
            return Decision::Start;
        }
        self.queue.remove(request.id);
        if let Some(refusal) = self.queue_refusal(now, &request) {
            return Decision::Refuse(refusal);
        }
        self.queue.push(now, &request);
        Decision::Queued
    }

    /// Removes a queued request, or ends one in flight whose caller disconnected.
    pub fn cancel(&mut self, now: MonotonicMs, id: RequestId) {
        self.pending_refusals
            .retain(|(refused_id, _)| *refused_id != id);
        if self.queue.remove(id).is_none() {
            self.finish(now, id, FinishOutcome::new(FinishStatus::Aborted));
        }
    }

    /// Ends a request in flight; ignores an id that is not in flight.
    pub fn finish(&mut self, now: MonotonicMs, id: RequestId, outcome: FinishOutcome) {
        self.capacity.advance(now, self.own_in_flight());
        let Some(ended) = self.in_flight.remove(&id) else {
            return;
        };
        self.queue.finish(now, &ended.customer);
        match outcome.status {
            FinishStatus::Succeeded => {
                let duration_ms = now - ended.started_at;
                self.wait_model
                    .observe(duration_ms, ended.cost_tokens, outcome.first_token_ms);
                self.capacity.set_service_ms(self.wait_model.duration_ms());
            }
            FinishStatus::Refused => self.capacity.limit_after_refusal(now, self.own_in_flight()),
            FinishStatus::ConnectFailed => self.capacity.discard_reported_state(now),
            FinishStatus::Failed | FinishStatus::TimedOut | FinishStatus::Aborted => {}
        }
    }

    /// Returns the next due action; call it after each event until it returns `None`.
    pub fn poll(&mut self, now: MonotonicMs) -> Option<AdmissionAction> {
        self.capacity.advance(now, self.own_in_flight());
        if let Some((id, refusal)) = self.pending_refusals.pop_front() {
            return Some(AdmissionAction::Refuse(id, refusal));
        }
        if let Some((id, kind)) = self.next_expired(now) {
            self.queue.remove(id);
            let refusal = Refusal::with_retry_after(kind, self.next_start_ms(now));
            return Some(AdmissionAction::Refuse(id, refusal));
        }
        self.start_next(now).map(AdmissionAction::Start)
    }

    /// Returns the time of the next [`Self::poll`] call if no event occurs before it.
    pub fn next_wakeup(&self, now: MonotonicMs) -> Option<MonotonicMs> {
        if !self.pending_refusals.is_empty() {
            return Some(now);
        }
        let expiry = self
            .queue
            .requests()
            .map(|queued| self.expires_at(queued))
            .min()?;
        let token_at = Some(now + self.rate_gate.wait_ms(now, 0)).filter(|at| *at > now);
        let changes = [self.capacity.next_change(now), token_at];
        let next = changes.into_iter().flatten().fold(expiry, MonotonicMs::min);
        Some(next.max(now))
    }

    /// Applies the endpoint's own load report, from a response or a poll.
    pub fn observe_load(&mut self, now: MonotonicMs, load: ReportedLoad) {
        let own_in_flight = self.own_in_flight();
        self.capacity.advance(now, own_in_flight);
        self.capacity.observe_load(now, load, own_in_flight);
    }

    /// Applies what the endpoint states about its rate limit, which the owner keeps alone.
    pub fn observe_rate_statement(&mut self, statement: RateStatement) -> RateChange {
        self.rate_gate.observe(statement)
    }

    /// Returns whether each request to the endpoint must be admitted on its own, as the endpoint
    /// limits its rate.
    pub fn is_rate_limited(&self, now: MonotonicMs) -> bool {
        self.rate_gate.limit(now).is_some()
    }

    /// Returns whether the endpoint states a rate limit.
    pub fn states_rate_limit(&self, now: MonotonicMs) -> bool {
        self.rate_gate.rate(now).is_some()
    }

    /// Applies the load of the whole service.
    pub fn observe_service_load(&mut self, now: MonotonicMs, load: ServiceLoad) {
        self.capacity.advance(now, self.own_in_flight());
        self.capacity.set_service_load(now, load);
    }

    /// Handles a stall of this process, which made the last load report stale.
    ///
    /// Refuses all queued requests: with `DeadlinePast` after their deadline, else with `Paused`.
    pub fn observe_stall(&mut self, now: MonotonicMs) {
        self.capacity.discard_reported_state(now);
        let refusals: Vec<_> = self
            .queue
            .requests()
            .map(|queued| {
                let is_past = queued.deadline_at.is_some_and(|at| now >= at);
                let kind = if is_past {
                    ErrorKind::DeadlinePast
                } else {
                    ErrorKind::Paused
                };
                (queued.id, Refusal::new(kind))
            })
            .collect();
        self.queue.drain();
        self.pending_refusals.extend(refusals);
    }

    /// Sets whether the endpoint accepts requests at all.
    ///
    /// If not, queued requests are refused at once so that their entry daemons place them
    /// elsewhere. When it accepts requests again, its limit ramps up.
    pub fn set_accepts_requests(&mut self, accepts_requests: bool) {
        if self.accepts_requests == accepts_requests {
            return;
        }
        self.accepts_requests = accepts_requests;
        if accepts_requests {
            self.capacity.request_ramp();
        } else {
            self.refuse_all(ErrorKind::NoEndpoint);
        }
    }

    /// Sets the health of the endpoint; an unhealthy one is ejected and its queue refused.
    pub fn set_health(&mut self, health: HealthState) {
        self.capacity.set_health(health);
        match health {
            HealthState::Healthy | HealthState::Probing => {}
            HealthState::Unhealthy => self.refuse_all(ErrorKind::EndpointBusy),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
        self.capacity.set_limits(limits);
    }

    /// Returns the number of own requests in flight.
    pub fn own_in_flight(&self) -> u32 {
        self.in_flight.len() as u32
    }

    /// Returns the summary that is sent to other daemons.
    pub fn summary(&self, now: MonotonicMs) -> EndpointSummary {
        let in_flight_max = self.capacity.in_flight_max(now);
        let wait_ms = if self.has_capacity(now) && self.queue.is_empty() {
            DurationMs(0)
        } else {
            self.wait_behind_ms(now, self.queue.mean_tokens_ahead(now))
        };
        EndpointSummary {
            in_flight: self.total_in_flight(),
            queued: self.queue.len() as u32,
            in_flight_max,
            wait_ms,
            condition: self.capacity.condition(),
        }
    }

    fn total_in_flight(&self) -> u32 {
        self.own_in_flight()
            .saturating_add(self.capacity.others_in_flight())
    }

    fn has_capacity(&self, now: MonotonicMs) -> bool {
        self.total_in_flight() < self.capacity.in_flight_max(now)
            && self.rate_gate.wait_ms(now, 0) == DurationMs(0)
    }

    fn slots(&self, now: MonotonicMs) -> Slots {
        Slots {
            endpoint_max: self.capacity.endpoint_max(now),
            in_flight: self.total_in_flight(),
        }
    }

    fn start_next(&mut self, now: MonotonicMs) -> Option<RequestId> {
        if !self.accepts_requests || !self.has_capacity(now) {
            return None;
        }
        let (customer, index) = self.queue.next(now, self.slots(now))?;
        self.start(now, &customer, index)
    }

    fn start_if_next(&mut self, now: MonotonicMs, id: RequestId) -> bool {
        if !self.has_capacity(now) {
            return false;
        }
        let Some((customer, index)) = self.queue.next(now, self.slots(now)) else {
            return false;
        };
        if self.queue.id_at(&customer, index) != Some(id) {
            return false;
        }
        self.start(now, &customer, index).is_some()
    }

    fn start(
        &mut self,
        now: MonotonicMs,
        customer: &CustomerName,
        index: usize,
    ) -> Option<RequestId> {
        let started_request = self.queue.start(now, customer, index)?;
        let id = started_request.request.id;
        self.in_flight.insert(
            id,
            InFlight {
                customer: started_request.customer,
                cost_tokens: started_request.request.cost_tokens,
                started_at: now,
            },
        );
        self.capacity.advance(now, self.own_in_flight());
        self.rate_gate.admit(now);
        Some(id)
    }

    fn refuse_all(&mut self, kind: ErrorKind) {
        let drained = self.queue.drain();
        self.pending_refusals
            .extend(drained.into_iter().map(|id| (id, Refusal::new(kind))));
    }
}
