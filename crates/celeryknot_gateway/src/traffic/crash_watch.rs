//! Watches answers for engines that crash on a part of a prompt, and refuses banned prompts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{
    EndpointName, EndpointTag, ErrorKind, MonotonicMs, PromptTag, Refusal, ServiceName,
};
use celeryknot_endpoints::{AnswerError, is_running};
use celeryknot_policy::direct::{
    CrashSuspects, CrashVerdict, Placement, Prompt, PromptVerdict, runs_trials_of,
};
use hyper::body::Frame;
use smallvec::SmallVec;

use super::context::TrafficThread;

/// Events up to which an answer is at its beginning.
const BEGINNING_EVENTS_MAX: u32 = 1;

/// Maximum number of a prompt's parts that are watched.
const WATCHED_PARTS_MAX: usize = 16;

/// The tags of the parts that a prompt shares with others.
type Parts = SmallVec<[PromptTag; 4]>;

/// Returns the tags of the parts that other prompts may share.
pub(super) fn shared_parts(prompt: Option<&Prompt>) -> Parts {
    let parts = prompt.map_or(&[][..], Prompt::shared);
    let tags = parts.iter().map(|part| part.tag());
    tags.take(WATCHED_PARTS_MAX).collect()
}

/// The suspected and banned parts known to the traffic thread.
#[derive(Debug, Default)]
pub(super) struct CrashTable(RefCell<CrashSuspects>);

impl TrafficThread {
    /// Refuses a prompt with a banned part, except for the fleet's next trial of that part.
    pub(super) fn check_prompt(
        &self,
        request_id: &str,
        prompt: Option<&Prompt>,
    ) -> Result<(), Refusal> {
        let parts = prompt.map_or(&[][..], Prompt::shared);
        let tags: Parts = parts.iter().map(|part| part.tag()).collect();
        let runs_trials = |part| {
            let view = self.shared.view.load();
            runs_trials_of(part, &self.shared.settings.name, &view.members)
        };
        let mut suspects = self.crash_table.0.borrow_mut();
        let verdict = suspects.check(self.now(), &tags, runs_trials);
        let part_id = |part| {
            let found = parts.iter().find(|it| it.tag() == part);
            found.map_or_else(String::new, |it| format!("{:x}", it.id))
        };
        match verdict {
            PromptVerdict::Allowed => Ok(()),
            PromptVerdict::Trial(part) => {
                tracing::info!(request_id, %part, part_id = part_id(part), "trying a banned part");
                Ok(())
            }
            PromptVerdict::Banned(part) => {
                tracing::info!(request_id, %part, part_id = part_id(part), "prompt has a banned part");
                Err(Refusal::new(ErrorKind::PromptBanned))
            }
        }
    }

    /// Applies a peer's update, if it is about a part.
    pub(super) fn apply_part_update(&self, update: &EndpointUpdate) {
        let applied = self.crash_table.0.borrow_mut().apply(update);
        if let Some((part, verdict)) = applied.crash {
            self.count_verdict(part, verdict);
        }
        if let Some(answered) = applied.contradiction {
            self.send_update(answered);
        }
        if applied.crash.is_some() || applied.has_cleared {
            self.update_banned_count();
        }
    }

    fn count_verdict(&self, part: PromptTag, verdict: CrashVerdict) {
        if verdict.counts() {
            self.shared.metrics.parts_suspected.inc();
        }
        if verdict == CrashVerdict::Banned {
            tracing::warn!(%part, "part banned");
        }
    }

    /// Records that an endpoint crashed as it began to answer a prompt with these parts; returns
    /// whether one of them may have been the reason.
    fn record_crashed_prompt(
        &self,
        at: MonotonicMs,
        request_id: &str,
        endpoint: &EndpointName,
        parts: &[PromptTag],
    ) -> bool {
        self.shared.metrics.crashes_at_beginning.inc();
        let tag = EndpointTag::new(endpoint);
        let mut suspects = self.crash_table.0.borrow_mut();
        let finding = suspects.record_crashed_prompt(at, tag, parts, None);
        drop(suspects);
        for (part, verdict) in finding.verdicts {
            self.count_verdict(part, verdict);
            tracing::info!(
                request_id,
                %endpoint,
                %part,
                %verdict,
                "endpoint crashed as it began to answer"
            );
            if verdict.counts() {
                self.report_to_peers(tag, Observation::CrashedOn { part });
            }
        }
        self.update_banned_count();
        finding.has_unproven_part
    }

    /// Records an answer to a prompt with the part; returns whether the part was suspected.
    fn record_answer(&self, at: MonotonicMs, part: PromptTag) -> bool {
        let was_suspected = self.crash_table.0.borrow_mut().record_answer(at, part);
        if was_suspected {
            self.update_banned_count();
        }
        was_suspected
    }

    fn update_banned_count(&self) {
        let banned_count = self.crash_table.0.borrow().banned_count(self.now());
        self.shared.metrics.parts_banned.set(banned_count as i64);
    }

    /// Clears the parts of a prompt that an endpoint answered, here and at the peers.
    fn clear_parts(&self, endpoint: &EndpointName, parts: &[PromptTag]) {
        let now = self.now();
        for part in parts {
            if self.record_answer(now, *part) {
                tracing::info!(part = %part, %endpoint, "part cleared");
                let endpoint = EndpointTag::new(endpoint);
                self.report_to_peers(endpoint, Observation::Answered { part: *part });
            }
        }
    }
}

/// Watches how far the answer of one endpoint gets.
#[derive(Debug)]
pub(super) struct AnswerWatch {
    gateway: Rc<TrafficThread>,
    request_id: String,
    service: ServiceName,
    endpoint: EndpointName,
    address: SocketAddr,
    parts: Parts,
    events: u32,
}

impl AnswerWatch {
    pub(super) fn new(
        gateway: &Rc<TrafficThread>,
        request_id: &str,
        service: &ServiceName,
        placement: &Placement,
        parts: Parts,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            request_id: request_id.to_owned(),
            service: service.clone(),
            endpoint: placement.endpoint.clone(),
            address: placement.address,
            parts,
            events: 0,
        }
    }

    /// Records the next part of a body that is forwarded as it arrives.
    pub(super) fn observe_poll(&mut self, poll: &Poll<Option<Result<Frame<Bytes>, AnswerError>>>) {
        match poll {
            Poll::Ready(Some(Ok(_))) => self.observe_event(),
            Poll::Ready(None) => self.observe_end(),
            Poll::Ready(Some(Err(AnswerError(ErrorKind::AnswerIncomplete)))) => {
                self.gateway.executor.spawn(self.check_break()).detach();
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
    }

    /// Records an event of the answer, or data that holds at least one.
    pub(super) fn observe_event(&mut self) {
        self.events = self.events.saturating_add(1);
        if self.events == BEGINNING_EVENTS_MAX + 1 {
            self.gateway.clear_parts(&self.endpoint, &self.parts);
        }
    }

    /// Records that the answer is complete.
    pub(super) fn observe_end(&self) {
        if self.events <= BEGINNING_EVENTS_MAX {
            self.gateway.clear_parts(&self.endpoint, &self.parts);
        }
    }

    /// Checks whether an answer that broke off did so because its endpoint crashed on the prompt.
    ///
    /// That is so at its beginning, if the endpoint no longer accepts connections. Returns whether
    /// the prompt may crash another endpoint, as not all of its parts are known to be sound.
    pub(super) fn check_break(&self) -> impl Future<Output = bool> + use<> {
        let gateway = Rc::clone(&self.gateway);
        let (request_id, endpoint) = (self.request_id.clone(), self.endpoint.clone());
        let (address, parts) = (self.address, self.parts.clone());
        let may_be_crash = self.events <= BEGINNING_EVENTS_MAX && self.is_expected_to_run();
        async move {
            if !may_be_crash || parts.is_empty() {
                return false;
            }
            let at = gateway.now();
            if is_running(address, &gateway.timers).await {
                return false;
            }
            gateway.record_crashed_prompt(at, &request_id, &endpoint, &parts)
        }
    }

    /// Returns whether the endpoint has no reason to end that the platform announces: it is neither
    /// draining nor in a zone that is out.
    fn is_expected_to_run(&self) -> bool {
        let view = self.gateway.shared.view.load();
        let mut listed = view.endpoints.get(&self.service).into_iter().flatten();
        listed.any(|it| it.name == self.endpoint && it.accepts_requests)
    }
}
