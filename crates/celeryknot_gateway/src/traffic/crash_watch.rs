//! Watches attempts for endpoints that crash on a part of a prompt or on a request, and refuses what
//! is banned.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{
    EndpointName, EndpointTag, ErrorKind, MonotonicMs, Refusal, RequestTag, ServiceName, SuspectTag,
};
use celeryknot_endpoints::{AnswerError, BodyFraming};
use celeryknot_policy::direct::crash_suspects::{BEGINNING_EVENTS_MAX, LATER_CHECKS};
use celeryknot_policy::direct::{
    CrashFinding, CrashSuspects, CrashVerdict, Placement, Prompt, RequestVerdict, runs_trials_of,
};
use http::StatusCode;
use hyper::body::Frame;
use smallvec::SmallVec;

use super::call::Call;
use super::context::TrafficThread;

/// Maximum number of a prompt's parts that are watched.
const WATCHED_PARTS_MAX: usize = 16;

/// The tags of the parts that a prompt shares with others.
type Parts = SmallVec<[SuspectTag; 2]>;

/// Returns the tags of the parts that other prompts may share.
fn shared_parts(prompt: Option<&Prompt>) -> Parts {
    let parts = prompt.map_or(&[][..], Prompt::shared);
    parts.iter().map(|part| part.tag().into()).collect()
}

/// The suspected and banned parts and requests known to the traffic thread.
#[derive(Debug, Default)]
pub(super) struct CrashTable(RefCell<CrashSuspects>);

impl TrafficThread {
    /// Refuses a request that is banned or whose prompt has a banned part, except for the fleet's
    /// next trial, of which this returns the suspect.
    pub(super) fn check_crashes(&self, call: &Call) -> Result<Option<SuspectTag>, Refusal> {
        let request_id = &call.head.request_id;
        let mut suspects = shared_parts(call.head.prompt.as_ref());
        suspects.push(call.tag.into());
        let runs_trials = |suspect| {
            let view = self.shared.view.load();
            runs_trials_of(suspect, &self.shared.settings.name, &view.members)
        };
        let mut table = self.crash_table.0.borrow_mut();
        let verdict = table.check(self.now(), &suspects, runs_trials);
        drop(table);
        let part_id = |suspect| {
            let parts = call.head.prompt.as_ref().map_or(&[][..], Prompt::shared);
            let found = parts
                .iter()
                .find(|it| suspect == SuspectTag::from(it.tag()));
            found.map(|it| format!("{:x}", it.id))
        };
        match verdict {
            RequestVerdict::Allowed => Ok(None),
            RequestVerdict::Trial(part @ SuspectTag::Part(_)) => {
                tracing::info!(request_id, %part, part_id = part_id(part), "trying a banned part");
                Ok(Some(part))
            }
            RequestVerdict::Trial(SuspectTag::Request(tag)) => {
                tracing::info!(request_id, %tag, "trying a banned request");
                Ok(Some(tag.into()))
            }
            RequestVerdict::Banned(part @ SuspectTag::Part(_)) => {
                tracing::info!(request_id, %part, part_id = part_id(part), "prompt has a banned part");
                Err(Refusal::new(ErrorKind::PromptBanned))
            }
            RequestVerdict::Banned(SuspectTag::Request(tag)) => {
                tracing::info!(request_id, %tag, "request is banned");
                Err(Refusal::new(ErrorKind::RequestBanned))
            }
        }
    }

    /// Takes back a trial that reached no endpoint.
    pub(super) fn return_trial(&self, suspect: SuspectTag) {
        self.crash_table.0.borrow_mut().return_trial(suspect);
    }

    /// Returns whether an endpoint has crashed under such a request, and none has answered one since.
    pub(super) fn is_suspected(&self, tag: RequestTag) -> bool {
        let table = self.crash_table.0.borrow();
        table.is_suspected(self.now(), tag.into())
    }

    /// Returns whether parts of a prompt were answered, and no endpoint has crashed under them since.
    fn are_sound(&self, parts: &[SuspectTag]) -> bool {
        let table = self.crash_table.0.borrow();
        let now = self.now();
        parts.iter().all(|it| table.is_sound(now, *it))
    }

    /// Applies a peer's update, if it is about a part or a request.
    pub(super) fn apply_suspect_update(&self, update: &EndpointUpdate) {
        let applied = self.crash_table.0.borrow_mut().apply(update);
        if let Some((suspect, verdict)) = applied.crash {
            self.count_verdict(suspect, verdict);
        }
        if let Some(answered) = applied.contradiction {
            self.send_update(answered);
        }
        if applied.crash.is_some() || applied.has_cleared {
            self.update_banned_count();
        }
    }

    fn count_verdict(&self, suspect: SuspectTag, verdict: CrashVerdict) {
        if verdict.counts() {
            self.shared.metrics.parts_suspected.inc();
        }
        if verdict == CrashVerdict::Banned {
            match suspect {
                SuspectTag::Part(part) => tracing::warn!(%part, "part banned"),
                SuspectTag::Request(tag) => tracing::warn!(%tag, "requests banned"),
            }
        }
    }

    /// Records that an endpoint crashed before or as it began to answer a request with these shared
    /// parts.
    fn record_crash(
        &self,
        at: MonotonicMs,
        request_id: &str,
        endpoint: &EndpointName,
        parts: &[SuspectTag],
        request: RequestTag,
    ) -> CrashFinding {
        self.shared.metrics.crashes_at_beginning.inc();
        let tag = EndpointTag::new(endpoint);
        let mut table = self.crash_table.0.borrow_mut();
        let finding = table.record_crashed_request(at, tag, parts, Some(request.into()));
        drop(table);
        for (suspect, verdict) in &finding.verdicts {
            self.count_verdict(*suspect, *verdict);
            tracing::info!(
                request_id,
                %endpoint,
                part = suspect.part().map(tracing::field::display),
                tag = suspect.request().map(tracing::field::display),
                %verdict,
                "endpoint crashed as it began to answer"
            );
            if verdict.counts() {
                self.report_to_peers(tag, Observation::CrashedOn { suspect: *suspect });
            }
        }
        self.update_banned_count();
        finding
    }

    /// Records an answer; returns whether the part or request was suspected.
    fn record_answer(&self, at: MonotonicMs, suspect: SuspectTag) -> bool {
        let was_suspected = self.crash_table.0.borrow_mut().record_answer(at, suspect);
        if was_suspected {
            self.update_banned_count();
        }
        was_suspected
    }

    fn update_banned_count(&self) {
        let banned_count = self.crash_table.0.borrow().banned_count(self.now());
        self.shared.metrics.parts_banned.set(banned_count as i64);
    }

    /// Clears what an endpoint answered, here and at the peers.
    fn clear_suspects(&self, endpoint: &EndpointName, suspects: impl Iterator<Item = SuspectTag>) {
        let now = self.now();
        for suspect in suspects {
            if self.record_answer(now, suspect) {
                match suspect {
                    SuspectTag::Part(part) => tracing::info!(%part, %endpoint, "part cleared"),
                    SuspectTag::Request(tag) => tracing::info!(%tag, %endpoint, "requests cleared"),
                }
                let endpoint = EndpointTag::new(endpoint);
                self.report_to_peers(endpoint, Observation::Answered { suspect });
            }
        }
    }
}

/// Watches how far the answer of one endpoint gets.
#[derive(Debug)]
pub(super) struct AnswerWatch {
    suspects: WatchedSuspects,
    /// Whether the request may have waited behind others, so that the endpoint had not begun it.
    may_be_queued: bool,
    is_success: bool,
    events: u32,
}

/// What an endpoint may crash on.
#[derive(Debug, Clone)]
struct WatchedSuspects {
    gateway: Rc<TrafficThread>,
    request_id: String,
    service: ServiceName,
    endpoint: EndpointName,
    address: SocketAddr,
    parts: Parts,
    request: RequestTag,
}

impl AnswerWatch {
    pub(super) fn new(gateway: &Rc<TrafficThread>, call: &Call, placement: &Placement) -> Self {
        let mut parts = shared_parts(call.head.prompt.as_ref());
        parts.truncate(WATCHED_PARTS_MAX);
        Self {
            suspects: WatchedSuspects {
                gateway: Rc::clone(gateway),
                request_id: call.head.request_id.clone(),
                service: call.service.clone(),
                endpoint: placement.endpoint.clone(),
                address: placement.address,
                parts,
                request: call.tag,
            },
            may_be_queued: placement.is_behind_own_requests,
            is_success: false,
            events: 0,
        }
    }

    /// Records the status of the answer.
    pub(super) fn observe_status(&mut self, status: StatusCode) {
        self.is_success = status.is_success();
    }

    /// Records the next part of a body that is forwarded as it arrives.
    pub(super) fn observe_poll(
        &mut self,
        poll: &Poll<Option<Result<Frame<Bytes>, AnswerError>>>,
        framing: BodyFraming,
    ) {
        match poll {
            Poll::Ready(Some(Ok(_))) => self.observe_event(),
            Poll::Ready(None) => self.observe_end(framing),
            Poll::Ready(Some(Err(AnswerError(ErrorKind::AnswerIncomplete)))) => {
                let check = self.check_break();
                self.suspects.gateway.executor.spawn(check).detach();
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
    }

    /// Records an event of the answer, or data that holds at least one.
    pub(super) fn observe_event(&mut self) {
        self.events = self.events.saturating_add(1);
        if self.events == BEGINNING_EVENTS_MAX + 1 {
            self.clear();
        }
    }

    /// Records that the answer is complete.
    pub(super) fn observe_end(&self, framing: BodyFraming) {
        if !self.is_at_beginning() {
            return;
        }
        if framing != BodyFraming::CloseDelimited {
            return self.clear();
        }
        // The end of a process closes its connections as the end of such an answer does.
        let (suspects, is_success) = (self.suspects.clone(), self.is_success);
        let (check, has_events) = (self.check_crash(true), self.events > 0);
        let check = async move {
            if check.await.is_none() {
                suspects.clear(is_success && has_events);
            }
        };
        self.suspects.gateway.executor.spawn(check).detach();
    }

    /// Records that the attempt is given up while its endpoint is silent, which may still crash on it.
    ///
    /// An attempt whose caller has left isn't watched on: most endpoints drop such requests, and each
    /// check costs a connection.
    pub(super) fn observe_given_up(&self) {
        let may_be_cause = self.is_at_beginning() && !self.may_be_queued;
        if may_be_cause && self.suspects.is_expected_to_run() {
            self.suspects.check_later();
        }
    }

    fn is_at_beginning(&self) -> bool {
        self.events <= BEGINNING_EVENTS_MAX
    }

    fn clear(&self) {
        self.suspects.clear(self.is_success);
    }

    /// Checks whether an answer that broke off did so because its endpoint crashed on the request.
    ///
    /// That is so at its beginning, if the endpoint no longer accepts connections. Returns whether
    /// the request may crash another endpoint: not all parts of its prompt are known to be sound, or
    /// another endpoint has crashed under it before.
    pub(super) fn check_break(&self) -> impl Future<Output = bool> + use<> {
        let check = self.check_crash(self.is_at_beginning());
        async move {
            let finding = check.await;
            finding.is_some_and(|it| it.has_unproven_part || it.is_repeated)
        }
    }

    /// Checks whether a connection was lost before an answer because its endpoint crashed.
    ///
    /// Any request that the endpoint had begun may be the reason, so it takes a second crash to keep
    /// this one from further endpoints.
    pub(super) fn check_lost_connection(&self) -> impl Future<Output = bool> + use<> {
        let check = self.check_crash(!self.may_be_queued);
        async move { check.await.is_some_and(|it| it.is_repeated) }
    }

    /// Records a crash under the request, if the endpoint has crashed.
    fn check_crash(
        &self,
        may_be_cause: bool,
    ) -> impl Future<Output = Option<CrashFinding>> + use<> {
        let suspects = self.suspects.clone();
        let may_be_crash = may_be_cause && suspects.is_expected_to_run();
        async move {
            if !may_be_crash {
                return None;
            }
            let finding = suspects.find_crash().await;
            if finding.is_none() {
                suspects.check_later();
            }
            finding
        }
    }
}

impl WatchedSuspects {
    /// Clears what the endpoint answered: the parts of a prompt only if it wrote an answer to them.
    fn clear(&self, has_used_parts: bool) {
        let parts = self.parts.iter().copied().filter(|_| has_used_parts);
        let suspects = parts.chain([self.request.into()]);
        self.gateway.clear_suspects(&self.endpoint, suspects);
    }

    /// Records a crash under the request if the endpoint accepts no connections.
    async fn find_crash(&self) -> Option<CrashFinding> {
        let Self {
            gateway,
            service,
            endpoint,
            ..
        } = self;
        let at = gateway.now();
        if gateway
            .is_endpoint_running(service, endpoint, self.address)
            .await
        {
            return None;
        }
        Some(gateway.record_crash(at, &self.request_id, endpoint, &self.parts, self.request))
    }

    /// Checks in the background whether the endpoint crashes a little later, unless all parts of the
    /// prompt are known to be sound.
    fn check_later(&self) {
        if self.gateway.are_sound(&self.parts) {
            return;
        }
        let suspects = self.clone();
        let check = async move {
            let started_at = suspects.gateway.now();
            for delay_ms in LATER_CHECKS {
                let wait_ms = (started_at + delay_ms) - suspects.gateway.now();
                suspects.gateway.timers.after(wait_ms).await;
                if !suspects.is_expected_to_run() || suspects.find_crash().await.is_some() {
                    return;
                }
            }
        };
        self.gateway.executor.spawn(check).detach();
    }

    /// Returns whether the endpoint has no reason to end that the platform announces: it is neither
    /// draining nor in a zone that is out.
    fn is_expected_to_run(&self) -> bool {
        let view = self.gateway.shared.view.load();
        let mut listed = view.endpoints.get(&self.service).into_iter().flatten();
        listed.any(|it| it.name == self.endpoint && it.accepts_requests)
    }
}
