//! One endpoint whose work this daemon admits.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use celeryknot_core::{EndpointName, EndpointSummary, MonotonicMs, Refusal, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, EndpointAdmission, FinishOutcome, FinishStatus,
};
use celeryknot_policy::health::{EndpointHealth, HealthEvidence, SickQuota};

use super::shared::Shared;
use crate::snapshot::ServiceSnapshot;

/// One endpoint's admission with those who wait for it.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) admission: EndpointAdmission,
    pub(crate) health: EndpointHealth,
    pub(crate) service: Arc<ServiceSnapshot>,
    pub(crate) waiting: HashMap<RequestId, Sender<Result<(), Refusal>>>,
    pub(crate) told: Option<EndpointSummary>,
    pub(crate) mean_at: Option<MonotonicMs>,
    pub(crate) used_at: MonotonicMs,
}

impl Admitted {
    pub(crate) fn new(now: MonotonicMs, service: Arc<ServiceSnapshot>) -> Self {
        Self {
            admission: EndpointAdmission::new(AdmissionLimits::from(&*service.settings), now),
            health: EndpointHealth::new(),
            service,
            waiting: HashMap::new(),
            told: None,
            mean_at: None,
            used_at: now,
        }
    }

    /// Ends a request in flight.
    pub(crate) fn finish(&mut self, now: MonotonicMs, id: RequestId, outcome: FinishOutcome) {
        if let Some(evidence) = evidence_of(outcome) {
            self.health.observe(now, evidence);
        }
        self.admission.finish(now, id, outcome);
    }

    /// Passes the endpoint over as sick, or not, by the evidence so far.
    pub(crate) fn judge_health(&mut self, now: MonotonicMs, endpoint: &EndpointName) {
        let endpoints = &self.service.endpoints;
        let own = endpoints.iter().position(|it| it.name == *endpoint);
        let quota = SickQuota::new(
            self.service.settings.sick_percent_max,
            own.unwrap_or(endpoints.len()),
            endpoints.iter().map(|it| it.summary.as_ref()),
        );
        let Some(health) = self.health.advance(now, &quota) else {
            return;
        };
        tracing::info!(%endpoint, %health, reason = ?self.health.reason(), "health changed");
        self.admission.set_health(health);
    }

    /// Carries out what is due.
    pub(crate) fn settle(&mut self, now: MonotonicMs, shared: &Shared) {
        while let Some(action) = self.admission.poll(now) {
            match action {
                AdmissionAction::Start(id) => match self.waiting.remove(&id) {
                    Some(reply) => answer(&reply, Ok(())),
                    None => self.admission.cancel(now, id),
                },
                AdmissionAction::Refuse(id, refusal) => {
                    shared.metrics.traffic.admission_refused(refusal.kind);
                    if let Some(reply) = self.waiting.remove(&id) {
                        answer(&reply, Err(refusal));
                    }
                }
            }
        }
    }
}

/// Returns what the end of a request says about the endpoint's health.
fn evidence_of(outcome: FinishOutcome) -> Option<HealthEvidence> {
    match outcome.status {
        FinishStatus::Succeeded => {
            let first_byte_ms = outcome.first_token_ms?;
            Some(HealthEvidence::Answered { first_byte_ms })
        }
        FinishStatus::Failed => Some(HealthEvidence::Failed),
        FinishStatus::TimedOut | FinishStatus::ConnectFailed => Some(HealthEvidence::Silent),
        FinishStatus::Refused | FinishStatus::Aborted => None,
    }
}

/// Answers whoever asked for the place.
pub(crate) fn answer(reply: &Sender<Result<(), Refusal>>, decision: Result<(), Refusal>) {
    // Whoever went away has sent a cancellation, which gives the place back.
    let _ = reply.try_send(decision);
}
