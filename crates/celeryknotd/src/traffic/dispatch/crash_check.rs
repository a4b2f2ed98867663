//! Keeps prompts with parts that crash engines from further ones.

use std::net::SocketAddr;

use celeryknot_core::endpoint_updates::Observation;
use celeryknot_core::{EndpointName, EndpointTag, ErrorKind, Refusal};
use celeryknot_endpoints::is_running;
use celeryknot_policy::direct::{PromptVerdict, runs_trials_of};

use super::Dispatch;
use crate::event::TrafficEvent;

impl Dispatch {
    /// Refuses a prompt with a banned part, except for the fleet's next trial of that part.
    ///
    /// # Errors
    ///
    /// `PromptBanned`.
    pub(crate) fn check_prompt(&self) -> Result<(), Refusal> {
        let Some(chat) = &self.request.chat else {
            return Ok(());
        };
        let runs_trials = |part| {
            let snapshot = self.context.snapshot();
            runs_trials_of(part, &snapshot.own_name, snapshot.members.keys())
        };
        let guard = &self.context.shared.feed.prompt_guard;
        let request_id = self.request.id;
        match guard.check(&chat.parts, runs_trials) {
            PromptVerdict::Allowed => Ok(()),
            PromptVerdict::Trial(part) => {
                tracing::info!(%request_id, %part, "trying a banned part");
                Ok(())
            }
            PromptVerdict::Banned(part) => {
                tracing::info!(%request_id, %part, "prompt has a banned part");
                Err(Refusal::new(ErrorKind::PromptBanned))
            }
        }
    }

    /// Checks whether an attempt failed because its endpoint crashed on the prompt, and if so
    /// whether the prompt may crash another one.
    ///
    /// An endpoint that no longer accepts connections has crashed, unless it was expected to end.
    /// An answer that is not streamed begins with its end. Until then, any request at the endpoint
    /// may be the reason, and it takes a second crash to keep the prompt from further endpoints.
    pub(super) async fn check_crash(&self, name: &EndpointName, has_begun: bool) {
        let (Some(chat), Some(address)) = (&self.request.chat, self.expected_address(name)) else {
            return;
        };
        if chat.is_stream && !has_begun {
            return;
        }
        if is_running(address, &self.context.timers).await {
            return;
        }
        let shared = &self.context.shared;
        shared.metrics.traffic.crashes_at_beginning.inc();
        let guard = &shared.feed.prompt_guard;
        let finding = guard.record_crash(self.request.id, name, &chat.parts);
        for (part, verdict) in finding.verdicts {
            if verdict.counts() {
                self.report_part(name, Observation::CrashedOn { part });
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
        let Some(chat) = &self.request.chat else {
            return;
        };
        let guard = &self.context.shared.feed.prompt_guard;
        for part in guard.record_answer(endpoint, &chat.parts) {
            self.report_part(endpoint, Observation::Answered { part });
        }
    }

    fn report_part(&self, endpoint: &EndpointName, observation: Observation) {
        let event = TrafficEvent::PartObserved {
            endpoint: EndpointTag::new(endpoint),
            observation,
        };
        if self.context.shared.events.try_send(event).is_err() {
            tracing::warn!(%endpoint, "the control thread's queue is full; dropped an update");
        }
    }
}
