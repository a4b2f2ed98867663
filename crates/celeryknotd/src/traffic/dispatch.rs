//! Tries the endpoints for one request in order of rank, as long as that is safe.

mod crash_check;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MemberName, Refusal, SuspectTag};
use celeryknot_endpoints::sse::Usage;
use celeryknot_policy::attempt::{AttemptEvent, AttemptIndex, CallSafety};
use celeryknot_policy::placement::{EndpointHash, PlacementRequest};
use celeryknot_settings::ServiceKind;
use futures_lite::future;
use http::StatusCode;

use super::attempt_log::AttemptLog;
use super::context::ThreadContext;
use super::failure::RetryCost;
use super::owner::{self, Answer};
use super::peer_connection;
use super::requests::{AttemptTarget, EndpointAttempt, ValidatedRequest};
use super::shared::random_request_id;
use crate::crash_guard::Suspects;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// Response with the endpoint and the attempt that it came from.
#[derive(Debug)]
pub(crate) struct PlacedAnswer {
    pub(crate) answer: Answer,
    pub(crate) endpoint: EndpointName,
    pub(crate) attempt: AttemptIndex,
}

/// Placement candidate, resolved against the current snapshot.
#[derive(Debug)]
struct ResolvedCandidate {
    service: Arc<ServiceSnapshot>,
    endpoint: EndpointSnapshot,
    uncached_tokens: u32,
    alternative_wait_ms: Option<DurationMs>,
    kv_source: Option<SocketAddr>,
}

/// Runs the attempts of one request.
#[derive(Debug)]
pub(crate) struct Dispatch {
    context: Rc<ThreadContext>,
    request: Rc<ValidatedRequest>,
    log: RefCell<AttemptLog>,
    /// What endpoints may crash on.
    suspects: Suspects,
    /// Whether the request may crash a further endpoint, as it did with one before.
    may_crash_another: Cell<bool>,
    /// What the request is the fleet's trial of.
    trial: Cell<Option<SuspectTag>>,
}

impl Dispatch {
    pub(crate) fn new(context: Rc<ThreadContext>, request: Rc<ValidatedRequest>) -> Self {
        let log = RefCell::new(AttemptLog::new(request.safety));
        Self {
            context,
            suspects: request.suspects(),
            request,
            log,
            may_crash_another: Cell::new(false),
            trial: Cell::new(None),
        }
    }

    /// Tries endpoints until one responds.
    ///
    /// # Errors
    ///
    /// The refusal that sums up all attempts, with the shortest retry delay.
    pub(crate) async fn next_answer(
        &self,
        resume_from: Option<u64>,
    ) -> Result<PlacedAnswer, Refusal> {
        let answer = self.try_endpoints(resume_from).await;
        if let Err(refusal) = &answer {
            self.return_trial(*refusal);
        }
        answer
    }

    async fn try_endpoints(&self, resume_from: Option<u64>) -> Result<PlacedAnswer, Refusal> {
        loop {
            if let Err(kind) = self.context.check_may_send(self.request.deadline_at) {
                self.log.borrow_mut().record_give_up(kind);
                return Err(self.log.borrow().refusal());
            }
            self.log.borrow_mut().end_search_if_busy();
            let Some(candidate) = self.choose_candidate(None) else {
                if self.log.borrow_mut().start_last_round() {
                    continue;
                }
                return Err(self.log.borrow().refusal());
            };
            let started = self.log.borrow_mut().start_attempt();
            let Some(attempt) = started else {
                return Err(self.log.borrow().refusal());
            };
            let attempt = Box::pin(self.run_hedged(&candidate, attempt, resume_from));
            if let Some(placed) = attempt.await {
                if self.should_try_another(&placed) {
                    continue;
                }
                return Ok(placed);
            }
            if self.may_crash_another.get() || !self.may_retry() {
                return Err(self.log.borrow().refusal());
            }
        }
    }

    /// Returns whether another endpoint is tried instead of forwarding an endpoint's own failure.
    ///
    /// This uses the retry budget; if it is exhausted, or no other endpoint is left, the caller
    /// gets the failure.
    fn should_try_another(&self, placed: &PlacedAnswer) -> bool {
        let status = placed.answer.head.status;
        let is_endpoint_failure = match self.request.service.settings.kind {
            ServiceKind::Model => status.is_server_error(),
            ServiceKind::Plain => matches!(
                status,
                StatusCode::BAD_GATEWAY
                    | StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::GATEWAY_TIMEOUT
            ),
        };
        if !is_endpoint_failure || self.request.safety == CallSafety::NonIdempotent {
            return false;
        }
        let failure = Refusal::new(ErrorKind::AnswerIncomplete);
        self.log
            .borrow_mut()
            .record_failure(placed.attempt, &placed.endpoint, failure);
        self.choose_candidate(None).is_some() && self.may_retry()
    }

    /// Records that a response broke after its head, so that the request may be retried.
    ///
    /// # Errors
    ///
    /// The refusal that sums up all attempts, if no retry is safe or allowed.
    pub(crate) async fn record_broken_answer(
        &self,
        attempt: AttemptIndex,
        endpoint: &EndpointName,
        kind: ErrorKind,
        is_at_beginning: bool,
    ) -> Result<(), Refusal> {
        let refusal = Refusal::new(kind);
        self.log
            .borrow_mut()
            .record_failure(attempt, endpoint, refusal);
        if kind == ErrorKind::AnswerIncomplete && is_at_beginning {
            self.check_crash(endpoint, true).await;
        }
        if !self.may_crash_another.get() && self.may_retry() {
            return Ok(());
        }
        Err(self.log.borrow().refusal())
    }

    /// Records that the response is complete.
    pub(crate) fn record_complete(&self, attempt: AttemptIndex) {
        let event = AttemptEvent::AnswerCompleted;
        self.log.borrow_mut().record_event(attempt, event);
    }

    /// Chooses the highest-ranked endpoint that has not failed and is not `avoided`.
    fn choose_candidate(&self, avoided: Option<&EndpointName>) -> Option<ResolvedCandidate> {
        let snapshot = self.context.snapshot();
        let team = self.request.service.team.clone();
        let key = (team, self.request.service.name.clone());
        let service = snapshot.services.get(&key)?;
        let request = self.placement_request(avoided);
        let shared = &self.context.shared;
        let candidates = self
            .context
            .service_states
            .borrow_mut()
            .rank(shared, &snapshot, service, &request);
        let first = candidates.first()?;
        let is_last_round = self.log.borrow().is_last_round();
        let second = candidates.get(1).filter(|_| !is_last_round);
        let source = first.kv_source.and_then(|at| service.endpoints.get(at));
        Some(ResolvedCandidate {
            service: Arc::clone(service),
            endpoint: service.endpoints.get(first.index)?.clone(),
            uncached_tokens: first.uncached_tokens,
            alternative_wait_ms: second.map(|second| first.break_even_wait_ms(second)),
            kv_source: source.map(|source| source.address),
        })
    }

    fn placement_request(&self, avoided: Option<&EndpointName>) -> PlacementRequest {
        let chat = self.request.chat.as_ref();
        let affinity = chat.and_then(|chat| chat.affinity.as_ref());
        let mut excluded = self.log.borrow().excluded().clone();
        excluded.extend(avoided.cloned());
        PlacementRequest {
            chat: chat.map(|chat| chat.key),
            affinity: affinity.map(|affinity| affinity.endpoint.clone()),
            cached_tokens_hint: affinity.map_or(0, |affinity| affinity.tokens),
            prompt_tokens: chat.map_or(1, |chat| chat.cost.prompt_tokens),
            excluded,
        }
    }

    /// Runs an attempt, and a hedge if its response head is late; the first head wins.
    async fn run_hedged(
        &self,
        candidate: &ResolvedCandidate,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Option<PlacedAnswer> {
        let first = self.run_recorded(candidate, attempt, resume_from);
        if self.request.safety == CallSafety::NonIdempotent {
            return first.await;
        }
        let shared = &self.context.shared;
        let after_ms = self
            .context
            .service_states
            .borrow_mut()
            .hedge_after_ms(shared, &self.request.service);
        let second_attempt = Cell::new(None);
        let second = async {
            self.context.timers.after(after_ms).await;
            let candidate = self.choose_hedge_candidate(&candidate.endpoint.name)?;
            let started = self.log.borrow_mut().start_attempt()?;
            second_attempt.set(Some(started));
            // Boxed: few requests get here, and the state would enlarge the future of all.
            Box::pin(self.run_recorded(&candidate, started, resume_from)).await
        };
        let placed = race(first, second, || second_attempt.get().is_some()).await;
        let loser = match &placed {
            Some(placed) if placed.attempt == attempt => second_attempt.get(),
            Some(_) => Some(attempt),
            None => None,
        };
        if let Some(loser) = loser {
            self.log
                .borrow_mut()
                .record_event(loser, AttemptEvent::Cancelled);
        }
        placed
    }

    /// Chooses another endpoint for a hedge, if the retry budget allows one.
    fn choose_hedge_candidate(&self, first: &EndpointName) -> Option<ResolvedCandidate> {
        let candidate = self.choose_candidate(Some(first))?;
        let shared = &self.context.shared;
        let service = &self.request.service;
        if !self
            .context
            .service_states
            .borrow_mut()
            .try_take_retry(shared, service)
        {
            return None;
        }
        shared.metrics.traffic.hedges.inc();
        Some(candidate)
    }

    /// Runs an attempt and records its result.
    async fn run_recorded(
        &self,
        candidate: &ResolvedCandidate,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Option<PlacedAnswer> {
        let result = self.run_attempt(candidate, attempt, resume_from).await;
        let endpoint = candidate.endpoint.name.clone();
        match result {
            Ok(answer) => {
                let mut log = self.log.borrow_mut();
                log.record_event(attempt, AttemptEvent::HeadReceived);
                Some(PlacedAnswer {
                    answer,
                    endpoint,
                    attempt,
                })
            }
            Err(refusal) => {
                self.log
                    .borrow_mut()
                    .record_failure(attempt, &endpoint, refusal);
                // The owner has received the beginning of a small answer.
                let has_begun = refusal.kind == ErrorKind::AnswerIncomplete;
                if has_begun || refusal.kind == ErrorKind::OutcomeUnknown {
                    self.check_crash(&endpoint, has_begun).await;
                }
                None
            }
        }
    }

    async fn run_attempt(
        &self,
        candidate: &ResolvedCandidate,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Result<Answer, Refusal> {
        let is_first = self.log.borrow().is_first_attempt();
        let id = if is_first {
            self.request.id
        } else {
            random_request_id()
        };
        let target = AttemptTarget {
            id,
            service: &candidate.service,
            endpoint: &candidate.endpoint,
            uncached_tokens: candidate.uncached_tokens,
            alternative_wait_ms: candidate.alternative_wait_ms,
            kv_source: candidate.kv_source,
            resume_from,
        };
        let endpoint_attempt = self.request.build_attempt(target, self.context.now());
        let may_send = || self.may_send(attempt);
        match self.remote_owner(&candidate.endpoint) {
            Some((member, address)) => {
                Box::pin(self.forward_or_run(&member, address, &endpoint_attempt, may_send)).await
            }
            None => owner::run(&self.context, &endpoint_attempt, may_send).await,
        }
    }

    /// Forwards the attempt to the owner, or runs it here if the owner is unreachable.
    ///
    /// A daemon that can't reach the owner becomes its successor soon, or is partitioned from it;
    /// its own admission starts with the limits of a cold start.
    async fn forward_or_run<M>(
        &self,
        member: &MemberName,
        address: SocketAddr,
        endpoint_attempt: &EndpointAttempt,
        may_send: M,
    ) -> Result<Answer, Refusal>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let was_checked = Cell::new(false);
        let check = || {
            was_checked.set(true);
            may_send()
        };
        let result = peer_connection::forward_to_owner(
            &self.context,
            member,
            address,
            endpoint_attempt,
            check,
        )
        .await;
        match result {
            Err(refusal) if refusal.kind == ErrorKind::ConnectFailed && !was_checked.get() => {
                owner::run(&self.context, endpoint_attempt, may_send).await
            }
            Ok(_) | Err(_) => result,
        }
    }

    /// Returns the other daemon that owns the endpoint, if one does.
    fn remote_owner(&self, endpoint: &EndpointSnapshot) -> Option<(MemberName, SocketAddr)> {
        let owner = endpoint.owner.as_ref()?;
        let snapshot = self.context.snapshot();
        if *owner == snapshot.own_name {
            return None;
        }
        let member = snapshot.members.get(owner)?;
        Some((member.name.clone(), member.forwards_address))
    }

    fn may_send(&self, attempt: AttemptIndex) -> Result<(), ErrorKind> {
        self.context.check_may_send(self.request.deadline_at)?;
        if self.log.borrow_mut().try_start_send(attempt) {
            return Ok(());
        }
        Err(ErrorKind::InternalError)
    }

    /// Returns whether a retry is safe, useful and within the retry budget.
    fn may_retry(&self) -> bool {
        let Some((kind, cost)) = self.log.borrow().next_retry_cost() else {
            return false;
        };
        let shared = &self.context.shared;
        let service = &self.request.service;
        let is_free = cost == RetryCost::Free;
        if is_free
            || self
                .context
                .service_states
                .borrow_mut()
                .try_take_retry(shared, service)
        {
            shared.metrics.traffic.count_retry(kind);
            return true;
        }
        shared.metrics.traffic.count_denied_retry(kind);
        false
    }

    /// Returns whether the request is a chat completion.
    pub(crate) fn is_chat(&self) -> bool {
        self.request.chat.is_some()
    }

    /// Records which endpoint served the chat, and its token usage.
    pub(crate) fn record_chat_usage(&self, endpoint: &EndpointName, usage: Usage) {
        let Some(chat) = &self.request.chat else {
            return;
        };
        let hash = EndpointHash::new(endpoint);
        let shared = &self.context.shared;
        let service = &self.request.service;
        self.context
            .service_states
            .borrow_mut()
            .record_chat_answer(shared, service, chat.key, hash, usage);
    }
}

/// Returns the first success of two futures; the second is awaited only once it has started its
/// attempt.
async fn race<T>(
    first: impl Future<Output = Option<T>>,
    second: impl Future<Output = Option<T>>,
    has_second_started: impl Fn() -> bool,
) -> Option<T> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let (mut is_first_done, mut is_second_done) = (false, false);
    future::poll_fn(|context| {
        if !is_first_done && let Poll::Ready(result) = first.as_mut().poll(context) {
            if result.is_some() {
                return Poll::Ready(result);
            }
            is_first_done = true;
        }
        if is_first_done && !has_second_started() {
            return Poll::Ready(None);
        }
        if !is_second_done && let Poll::Ready(result) = second.as_mut().poll(context) {
            if result.is_some() {
                return Poll::Ready(result);
            }
            is_second_done = true;
        }
        if is_first_done && is_second_done {
            return Poll::Ready(None);
        }
        Poll::Pending
    })
    .await
}
