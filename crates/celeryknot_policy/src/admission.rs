//! Admission at the owner of an endpoint: exact count, bounds, cold start and a fair queue.
//!
//! The owner drives one [`EndpointAdmission`] for each endpoint: it offers requests, tells how
//! they ended, passes on reports, and after each event calls `poll` until it returns `None`.

mod capacity;
mod fair_queue;
mod flow;
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

/// Admits the work of one endpoint.
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
    queue: FairQueue,
    wait_model: WaitModel,
    in_flight: BTreeMap<RequestId, InFlight>,
    refused: VecDeque<(RequestId, Refusal)>,
    takes_new_work: bool,
}

impl EndpointAdmission {
    /// Starts with the endpoint in cold start, since nothing is known of it.
    ///
    /// Nothing is started before the endpoint's first report, or before
    /// [`FIRST_REPORT_GRACE_MS`] have passed without one: an earlier owner may have filled it.
    pub fn new(limits: AdmissionLimits, now: MonotonicMs) -> Self {
        Self {
            limits,
            capacity: Capacity::new(limits, now),
            queue: FairQueue::default(),
            wait_model: WaitModel::default(),
            in_flight: BTreeMap::new(),
            refused: VecDeque::new(),
            takes_new_work: true,
        }
    }

    /// Decides about a request; the decision for a queued one follows by [`Self::poll`].
    pub fn offer(&mut self, now: MonotonicMs, request: AdmissionRequest) -> Decision {
        self.capacity.advance(now, self.own_in_flight());
        if let Some(refusal) = self.refusal_at_once(now, &request) {
            return Decision::Refuse(refusal);
        }
        self.queue.push(now, &request);
        if self.start_next_if(now, request.id) {
            return Decision::Start;
        }
        self.queue.remove(request.id);
        if let Some(refusal) = self.refusal_of_queue(now, &request) {
            return Decision::Refuse(refusal);
        }
        self.queue.push(now, &request);
        Decision::Queued
    }

    /// Forgets a queued request, or ends one in flight whose caller went away.
    pub fn cancel(&mut self, now: MonotonicMs, id: RequestId) {
        self.refused.retain(|(held, _)| *held != id);
        if self.queue.remove(id).is_none() {
            self.finish(now, id, FinishOutcome::new(FinishStatus::Aborted));
        }
    }

    /// Ends a request in flight; an id that is not in flight is ignored.
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
            FinishStatus::Refused => self.capacity.hold_after_refusal(now, self.own_in_flight()),
            FinishStatus::ConnectFailed => self.capacity.distrust_reports(now),
            FinishStatus::Failed | FinishStatus::TimedOut | FinishStatus::Aborted => {}
        }
    }

    /// Returns the next action that is due; call it until it returns `None` after each event.
    pub fn poll(&mut self, now: MonotonicMs) -> Option<AdmissionAction> {
        self.capacity.advance(now, self.own_in_flight());
        if let Some((id, refusal)) = self.refused.pop_front() {
            return Some(AdmissionAction::Refuse(id, refusal));
        }
        if let Some((id, kind)) = self.next_expired(now) {
            self.queue.remove(id);
            let refusal = Refusal::after(kind, self.drain_ms(now));
            return Some(AdmissionAction::Refuse(id, refusal));
        }
        self.start_next(now).map(AdmissionAction::Start)
    }

    /// Returns when [`Self::poll`] must be called next even without an event.
    pub fn next_wakeup(&self, now: MonotonicMs) -> Option<MonotonicMs> {
        if !self.refused.is_empty() {
            return Some(now);
        }
        let expiry = self
            .queue
            .requests()
            .map(|held| self.expires_at(held))
            .min()?;
        let change = self.capacity.next_change(now);
        Some(change.map_or(expiry, |at| at.min(expiry)).max(now))
    }

    /// Takes in the endpoint's own report, from an answer or a poll.
    pub fn observe_load(&mut self, now: MonotonicMs, load: ReportedLoad) {
        let own = self.own_in_flight();
        self.capacity.advance(now, own);
        self.capacity.observe_load(now, load, own);
    }

    /// Takes in the load of the whole service.
    pub fn observe_mean(&mut self, now: MonotonicMs, load: ServiceLoad) {
        self.capacity.advance(now, self.own_in_flight());
        self.capacity.set_service_load(now, load);
    }

    /// Takes in that this process was paused: what it knew of the endpoint is out of date.
    ///
    /// Queued requests are refused, those past their deadline as such.
    pub fn observe_pause(&mut self, now: MonotonicMs) {
        self.capacity.distrust_reports(now);
        let expired: Vec<_> = self
            .queue
            .requests()
            .map(|held| {
                let is_past = held.deadline_at.is_some_and(|at| now >= at);
                let kind = if is_past {
                    ErrorKind::DeadlinePast
                } else {
                    ErrorKind::Paused
                };
                (held.id, Refusal::new(kind))
            })
            .collect();
        self.queue.drain();
        self.refused.extend(expired);
    }

    /// Says whether the endpoint may get new work at all.
    ///
    /// Queued requests are refused at once so that their entry daemons place them elsewhere.
    /// An endpoint that takes new work again is ramped up.
    pub fn set_takes_new_work(&mut self, takes_new_work: bool) {
        if self.takes_new_work == takes_new_work {
            return;
        }
        self.takes_new_work = takes_new_work;
        if takes_new_work {
            self.capacity.request_ramp();
        } else {
            self.refuse_all(ErrorKind::NoEndpoint);
        }
    }

    /// Says whether the endpoint is passed over as sick.
    pub fn set_health(&mut self, health: HealthState) {
        self.capacity.set_health(health);
        match health {
            HealthState::Healthy | HealthState::Probing => {}
            HealthState::Sick => self.refuse_all(ErrorKind::EndpointBusy),
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

    /// Returns the state that other daemons are told.
    pub fn summary(&self, now: MonotonicMs) -> EndpointSummary {
        let in_flight_max = self.capacity.in_flight_max(now);
        let wait_ms = if self.has_room(now) && self.queue.is_empty() {
            DurationMs(0)
        } else {
            self.wait_behind_ms(now, self.queue.mean_tokens_ahead(now))
        };
        EndpointSummary {
            in_flight: self.all_in_flight(),
            queued: self.queue.len() as u32,
            in_flight_max,
            wait_ms,
            condition: self.capacity.condition(),
        }
    }

    fn all_in_flight(&self) -> u32 {
        self.own_in_flight()
            .saturating_add(self.capacity.inherited())
    }

    fn has_room(&self, now: MonotonicMs) -> bool {
        self.all_in_flight() < self.capacity.in_flight_max(now)
    }

    fn slots(&self, now: MonotonicMs) -> Slots {
        Slots {
            own_max: self.capacity.own_max(now),
            in_flight: self.all_in_flight(),
        }
    }

    fn start_next(&mut self, now: MonotonicMs) -> Option<RequestId> {
        if !self.takes_new_work || !self.has_room(now) {
            return None;
        }
        let (customer, at) = self.queue.next(now, self.slots(now))?;
        self.start(now, &customer, at)
    }

    fn start_next_if(&mut self, now: MonotonicMs, id: RequestId) -> bool {
        if !self.has_room(now) {
            return false;
        }
        let Some((customer, at)) = self.queue.next(now, self.slots(now)) else {
            return false;
        };
        if self.queue.id_at(&customer, at) != Some(id) {
            return false;
        }
        self.start(now, &customer, at).is_some()
    }

    fn start(&mut self, now: MonotonicMs, customer: &CustomerName, at: usize) -> Option<RequestId> {
        let taken = self.queue.start(now, customer, at)?;
        let id = taken.request.id;
        self.in_flight.insert(
            id,
            InFlight {
                customer: taken.customer,
                cost_tokens: taken.request.cost_tokens,
                started_at: now,
            },
        );
        self.capacity.advance(now, self.own_in_flight());
        Some(id)
    }

    fn refuse_all(&mut self, kind: ErrorKind) {
        let drained = self.queue.drain();
        self.refused
            .extend(drained.into_iter().map(|id| (id, Refusal::new(kind))));
    }
}
