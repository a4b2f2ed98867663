//! Admission at the owner of an endpoint: exact count, bounds, cold start and a fair queue.

pub mod limits;
pub mod request;

use std::collections::VecDeque;

use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointSummary, ErrorKind, MonotonicMs, Refusal, RequestId,
};

use crate::bound::{LoadBound, ServiceLoad};

pub use limits::AdmissionLimits;
pub use request::{
    AdmissionAction, AdmissionRequest, AdmissionRequestBuilder, Decision, FinishOutcome,
    FinishStatus, ReportedLoad,
};

/// Admits the work of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointAdmission {
    limits: AdmissionLimits,
    in_flight: Vec<RequestId>,
    queue: VecDeque<(MonotonicMs, AdmissionRequest)>,
    reported: Option<ReportedLoad>,
    service_load: Option<ServiceLoad>,
    takes_new_work: bool,
    is_sick: bool,
}

impl EndpointAdmission {
    /// Starts with the endpoint in cold start, since nothing is known of it.
    pub fn new(limits: AdmissionLimits, _now: MonotonicMs) -> Self {
        Self {
            limits,
            in_flight: Vec::new(),
            queue: VecDeque::new(),
            reported: None,
            service_load: None,
            takes_new_work: true,
            is_sick: false,
        }
    }

    /// Decides about a request; the decision for a queued one follows by [`Self::poll`].
    pub fn offer(&mut self, now: MonotonicMs, request: AdmissionRequest) -> Decision {
        if !self.takes_new_work {
            return Decision::Refuse(Refusal::new(ErrorKind::NoEndpoint));
        }
        if self.queue.is_empty() && self.has_room(now) {
            self.in_flight.push(request.id);
            return Decision::Start;
        }
        if self.queue.len() >= self.limits.queue_len_max as usize {
            return Decision::Refuse(Refusal::new(ErrorKind::QueueFull));
        }
        self.queue.push_back((now, request));
        Decision::Queued
    }

    /// Forgets a queued request, or ends one in flight whose caller went away.
    pub fn cancel(&mut self, now: MonotonicMs, id: RequestId) {
        self.queue.retain(|(_, request)| request.id != id);
        self.finish(now, id, FinishOutcome::new(FinishStatus::Aborted));
    }

    /// Ends a request in flight.
    pub fn finish(&mut self, _now: MonotonicMs, id: RequestId, _outcome: FinishOutcome) {
        self.in_flight.retain(|held| *held != id);
    }

    /// Returns the next action that is due; call it until it returns `None` after each event.
    pub fn poll(&mut self, now: MonotonicMs) -> Option<AdmissionAction> {
        let (queued_at, request) = self.queue.front()?;
        let id = request.id;
        if !self.takes_new_work {
            self.queue.pop_front();
            return Some(AdmissionAction::Refuse(
                id,
                Refusal::new(ErrorKind::NoEndpoint),
            ));
        }
        if now - *queued_at >= self.limits.queue_wait_max_ms {
            self.queue.pop_front();
            return Some(AdmissionAction::Refuse(
                id,
                Refusal::new(ErrorKind::QueueFull),
            ));
        }
        if !self.has_room(now) {
            return None;
        }
        self.queue.pop_front();
        self.in_flight.push(id);
        Some(AdmissionAction::Start(id))
    }

    /// Returns when [`Self::poll`] must be called next even without an event.
    pub fn next_wakeup(&self, _now: MonotonicMs) -> Option<MonotonicMs> {
        let (queued_at, _) = self.queue.front()?;
        Some(*queued_at + self.limits.queue_wait_max_ms)
    }

    /// Takes in the endpoint's own report, from an answer or a poll.
    pub fn observe_load(&mut self, _now: MonotonicMs, load: ReportedLoad) {
        self.reported = Some(load);
    }

    /// Takes in the load of the whole service.
    pub fn observe_mean(&mut self, _now: MonotonicMs, load: ServiceLoad) {
        self.service_load = Some(load);
    }

    /// Takes in that this process was paused.
    pub fn observe_pause(&mut self, _now: MonotonicMs) {
        self.reported = None;
    }

    /// Says whether the endpoint may get new work at all.
    pub fn set_takes_new_work(&mut self, takes_new_work: bool) {
        self.takes_new_work = takes_new_work;
    }

    /// Says whether the endpoint is passed over as sick.
    pub fn set_sick(&mut self, _now: MonotonicMs, is_sick: bool) {
        self.is_sick = is_sick;
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns the state that other daemons are told.
    pub fn summary(&self, now: MonotonicMs) -> EndpointSummary {
        EndpointSummary {
            in_flight: self.in_flight.len() as u32,
            queued: self.queue.len() as u32,
            in_flight_max: self.in_flight_max(now),
            wait_ms: DurationMs(0),
            condition: self.condition(now),
        }
    }

    fn condition(&self, _now: MonotonicMs) -> EndpointCondition {
        match self.reported {
            Some(load) if !load.is_cold => EndpointCondition::Warm,
            Some(_) | None => EndpointCondition::Cold,
        }
    }

    fn in_flight_max(&self, now: MonotonicMs) -> u32 {
        let own = match self.condition(now) {
            EndpointCondition::Cold => self.limits.cold_in_flight_max,
            EndpointCondition::Sick => 1,
            EndpointCondition::Warm | EndpointCondition::Ramping => self.limits.in_flight_max,
        };
        let bound = LoadBound::new(self.limits.load_multiple);
        self.service_load
            .map_or(own, |load| own.min(bound.in_flight_max(&load)))
    }

    fn has_room(&self, now: MonotonicMs) -> bool {
        (self.in_flight.len() as u32) < self.in_flight_max(now)
    }
}
