//! Keeps requests that crash endpoints from further ones.

use std::net::SocketAddr;

use celeryknot_core::endpoint_updates::Observation;
use celeryknot_core::{EndpointName, EndpointTag, ErrorKind, Execution, Refusal, SuspectTag};
use celeryknot_endpoints::is_running;
use celeryknot_policy::direct::{RequestVerdict, runs_trials_of};

use super::Dispatch;
use crate::event::TrafficEvent;

impl Dispatch {
    /// Refuses a request that is banned or whose prompt has a banned part, except for the fleet's
    /// next trial.
    ///
    /// # Errors
    ///
    /// `RequestBanned` or `PromptBanned`.
    pub(crate) fn check_crashes(&self) -> Result<(), Refusal> {
        let runs_trials = |suspect| {
            let snapshot = self.context.snapshot();
            runs_trials_of(suspect, &snapshot.own_name, snapshot.members.keys())
        };
        let guard = &self.context.shared.feed.crash_guard;
        let request_id = self.request.id;
        match guard.check(&self.suspects, runs_trials) {
            RequestVerdict::Allowed => Ok(()),
            RequestVerdict::Trial(suspect) => {
                tracing::info!(
                    %request_id,
                    part = suspect.part().map(tracing::field::display),
                    tag = suspect.request().map(tracing::field::display),
                    "trying a banned suspect"
                );
                self.trial.set(Some(suspect));
                Ok(())
            }
            RequestVerdict::Banned(suspect) => {
                tracing::info!(
                    %request_id,
                    part = suspect.part().map(tracing::field::display),
                    tag = suspect.request().map(tracing::field::display),
                    "request is banned"
                );
                Err(Refusal::new(match suspect {
                    SuspectTag::Part(_) => ErrorKind::PromptBanned,
                    SuspectTag::Request(_) => ErrorKind::RequestBanned,
                }))
            }
        }
    }

    /// Takes back a trial that reached no endpoint, by the refusal that ended the request.
    pub(super) fn return_trial(&self, refusal: Refusal) {
        let is_not_run = refusal.kind.answer().execution == Execution::NotRun;
        if let Some(suspect) = self.trial.take().filter(|_| is_not_run) {
            self.context.shared.feed.crash_guard.return_trial(suspect);
        }
    }

    /// Checks whether an attempt failed because its endpoint crashed on the request, and if so whether
    /// the request may crash another one.
    ///
    /// An endpoint that no longer accepts connections has crashed, unless it was expected to end.
    /// Before the answer begins, any request at the endpoint may be the reason, and it takes a second
    /// crash to keep the prompt from further endpoints.
    pub(super) async fn check_crash(&self, name: &EndpointName, has_begun: bool) {
        let Some(address) = self.expected_address(name) else {
            return;
        };
        if is_running(None, address, &self.context.timers).await {
            return;
        }
        let shared = &self.context.shared;
        shared.metrics.traffic.crashes_at_beginning.inc();
        let guard = &shared.feed.crash_guard;
        let finding = guard.record_crash(self.request.id, name, &self.suspects);
        for (suspect, verdict) in finding.verdicts {
            if verdict.counts() {
                self.report_suspect(name, Observation::CrashedOn { suspect });
            }
        }
        if finding.is_repeated || (has_begun && finding.has_unproven_part) {
            self.may_crash_another.set(true);
        }
    }

    /// Returns the address of an endpoint that has no announced reason to end: it is neither
    /// draining nor in a zone that is out of service.
    fn expected_address(&self, name: &EndpointName) -> Option<SocketAddr> {
        let snapshot = self.context.snapshot();
        let service = &self.request.service;
        let service = snapshot
            .services
            .get(&(service.team.clone(), service.name.clone()))?;
        let mut endpoints = service.endpoints.iter();
        endpoints
            .find(|listed| listed.name == *name && listed.accepts_requests)
            .map(|listed| listed.address)
    }

    /// Records that an answer got beyond its beginning, or is complete.
    pub(crate) fn record_sound_answer(&self, endpoint: &EndpointName) {
        let guard = &self.context.shared.feed.crash_guard;
        for suspect in guard.record_answer(endpoint, &self.suspects) {
            self.report_suspect(endpoint, Observation::Answered { suspect });
        }
    }

    fn report_suspect(&self, endpoint: &EndpointName, observation: Observation) {
        let event = TrafficEvent::SuspectObserved {
            endpoint: EndpointTag::new(endpoint),
            observation,
        };
        if self.context.shared.events.try_send(event).is_err() {
            tracing::warn!(%endpoint, "the control thread's queue is full; dropped an update");
        }
    }
}
