//! One endpoint whose requests this daemon admits.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use celeryknot_core::{EndpointName, EndpointSummary, MonotonicMs, Refusal, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, EndpointAdmission, FinishOutcome, FinishStatus,
};
use celeryknot_policy::health::{EjectionQuota, EndpointHealth, HealthEvidence};

use super::permit::Admission;
use super::shared::Shared;
use crate::snapshot::ServiceSnapshot;

/// Admission and health state of one endpoint.
#[derive(Debug)]
pub(crate) struct AdmittedEndpoint {
    pub(crate) admission: EndpointAdmission,
    pub(crate) health: EndpointHealth,
    pub(crate) service: Arc<ServiceSnapshot>,
    pub(crate) pending_replies: HashMap<RequestId, Sender<Result<Admission, Refusal>>>,
    pub(crate) reported_summary: Option<EndpointSummary>,
    pub(crate) service_load_at: Option<MonotonicMs>,
    pub(crate) last_used_at: MonotonicMs,
}

impl AdmittedEndpoint {
    pub(crate) fn new(now: MonotonicMs, service: Arc<ServiceSnapshot>) -> Self {
        Self {
            admission: EndpointAdmission::new(AdmissionLimits::from(&*service.settings), now),
            health: EndpointHealth::new(),
            service,
            pending_replies: HashMap::new(),
            reported_summary: None,
            service_load_at: None,
            last_used_at: now,
        }
    }

    /// Records the end of a request in flight.
    pub(crate) fn finish(&mut self, now: MonotonicMs, id: RequestId, outcome: FinishOutcome) {
        if let Some(evidence) = health_evidence(outcome) {
            self.health.observe(now, evidence);
        }
        self.admission.finish(now, id, outcome);
    }

    /// Ejects the endpoint as unhealthy, or readmits it, based on the evidence so far.
    pub(crate) fn update_health(&mut self, now: MonotonicMs, endpoint: &EndpointName) {
        let endpoints = &self.service.endpoints;
        let own_index = endpoints.iter().position(|listed| listed.name == *endpoint);
        let quota = EjectionQuota::new(
            self.service.settings.sick_percent_max,
            own_index.unwrap_or(endpoints.len()),
            endpoints.iter().map(|listed| listed.summary.as_ref()),
        );
        let Some(health) = self.health.advance(now, &quota) else {
            return;
        };
        tracing::info!(%endpoint, %health, reason = ?self.health.reason(), "health changed");
        self.admission.set_health(health);
    }

    /// Returns what a request that starts now has to know.
    pub(crate) fn admission_of_started(&self, now: MonotonicMs) -> Admission {
        Admission {
            is_rate_limited: self.admission.is_rate_limited(now),
        }
    }

    /// Applies all due admission actions.
    pub(crate) fn apply_due_actions(&mut self, now: MonotonicMs, shared: &Shared) {
        while let Some(action) = self.admission.poll(now) {
            match action {
                AdmissionAction::Start(id) => match self.pending_replies.remove(&id) {
                    Some(reply) => send_decision(&reply, Ok(self.admission_of_started(now))),
                    None => self.admission.cancel(now, id),
                },
                AdmissionAction::Refuse(id, refusal) => {
                    shared.metrics.traffic.count_refused_admission(refusal.kind);
                    if let Some(reply) = self.pending_replies.remove(&id) {
                        send_decision(&reply, Err(refusal));
                    }
                }
            }
        }
    }
}

/// Returns the health evidence in a request's outcome, if any.
fn health_evidence(outcome: FinishOutcome) -> Option<HealthEvidence> {
    match outcome.status {
        FinishStatus::Succeeded => {
            let first_byte_ms = outcome.first_token_ms?;
            Some(HealthEvidence::Answered { first_byte_ms })
        }
        FinishStatus::Failed => Some(HealthEvidence::Failed),
        FinishStatus::TimedOut | FinishStatus::ConnectFailed => Some(HealthEvidence::Unanswered),
        FinishStatus::Refused | FinishStatus::Aborted => None,
    }
}

/// Sends the admission decision to the waiting request.
pub(crate) fn send_decision(
    reply: &Sender<Result<Admission, Refusal>>,
    decision: Result<Admission, Refusal>,
) {
    // A request that no longer waits has sent `Cancel`, which releases its slot.
    let _ = reply.try_send(decision);
}
