//! Tries the endpoints for one request in order of rank, as long as that is safe.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MemberName, Refusal};
use celeryknot_endpoints::sse::Usage;
use celeryknot_policy::attempt::{AttemptEvent, AttemptIndex, CallSafety};
use celeryknot_policy::placement::{EndpointHash, PlacementRequest};
use celeryknot_settings::ServiceKind;
use futures_lite::future;
use http::StatusCode;

use super::attempt_log::AttemptLog;
use super::context::ThreadContext;
use super::failure::RetryCost;
use super::owner::{self, Answered};
use super::peer_link;
use super::shared::draw_request_id;
use super::work::{AttemptTarget, EndpointWork, Work};
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// Response with the endpoint and the attempt that it came from.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) answered: Answered,
    pub(crate) endpoint: EndpointName,
    pub(crate) attempt: AttemptIndex,
}

/// Placement candidate, resolved against the current snapshot.
#[derive(Debug)]
struct Choice {
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
    work: Rc<Work>,
    log: RefCell<AttemptLog>,
}

impl Dispatch {
    pub(crate) fn new(context: Rc<ThreadContext>, work: Rc<Work>) -> Self {
        let log = RefCell::new(AttemptLog::new(work.safety));
        Self { context, work, log }
    }

    /// Tries endpoints until one responds.
    ///
    /// # Errors
    ///
    /// The refusal that sums up all attempts, with the shortest retry delay.
    pub(crate) async fn next_answer(&self, resume_from: Option<u64>) -> Result<Placed, Refusal> {
        loop {
            if let Err(kind) = self.context.check_time(self.work.deadline_at) {
                self.log.borrow_mut().give_up(kind);
                return Err(self.log.borrow().refusal());
            }
            self.log.borrow_mut().end_search();
            let Some(choice) = self.choose(None) else {
                if self.log.borrow_mut().start_last_round() {
                    continue;
                }
                return Err(self.log.borrow().refusal());
            };
            let started = self.log.borrow_mut().start_attempt();
            let Some(attempt) = started else {
                return Err(self.log.borrow().refusal());
            };
            let attempt = Box::pin(self.run_hedged(&choice, attempt, resume_from));
            if let Some(placed) = attempt.await {
                if self.passes_over(&placed) {
                    continue;
                }
                return Ok(placed);
            }
            if !self.may_go_on() {
                return Err(self.log.borrow().refusal());
            }
        }
    }

    /// Returns whether another endpoint is tried instead of forwarding an endpoint's own failure.
    ///
    /// This uses the retry budget; if it is exhausted, or no other endpoint is left, the caller
    /// gets the failure.
    fn passes_over(&self, placed: &Placed) -> bool {
        let status = placed.answered.head.status;
        let is_passing = match self.work.service.settings.kind {
            ServiceKind::Model => status.is_server_error(),
            ServiceKind::Plain => matches!(
                status,
                StatusCode::BAD_GATEWAY
                    | StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::GATEWAY_TIMEOUT
            ),
        };
        if !is_passing || self.work.safety == CallSafety::NonIdempotent {
            return false;
        }
        let failure = Refusal::new(ErrorKind::AnswerIncomplete);
        self.log
            .borrow_mut()
            .note_failure(placed.attempt, &placed.endpoint, failure);
        self.choose(None).is_some() && self.may_go_on()
    }

    /// Records that a response broke after its head, so that the request may be retried.
    ///
    /// # Errors
    ///
    /// The refusal that sums up all attempts, if no retry is safe or allowed.
    pub(crate) fn note_broken(
        &self,
        attempt: AttemptIndex,
        endpoint: &EndpointName,
        kind: ErrorKind,
    ) -> Result<(), Refusal> {
        let refusal = Refusal::new(kind);
        self.log
            .borrow_mut()
            .note_failure(attempt, endpoint, refusal);
        if self.may_go_on() {
            return Ok(());
        }
        Err(self.log.borrow().refusal())
    }

    /// Records that the response is complete.
    pub(crate) fn note_whole(&self, attempt: AttemptIndex) {
        let event = AttemptEvent::AnswerCompleted;
        self.log.borrow_mut().note(attempt, event);
    }

    /// Chooses the highest-ranked endpoint that has not failed and is not `avoided`.
    fn choose(&self, avoided: Option<&EndpointName>) -> Option<Choice> {
        let snapshot = self.context.snapshot();
        let team = self.work.service.team.clone();
        let key = (team, self.work.service.name.clone());
        let service = snapshot.services.get(&key)?;
        let request = self.placement_request(avoided);
        let shared = &self.context.shared;
        let candidates = self
            .context
            .places
            .borrow_mut()
            .rank(shared, &snapshot, service, &request);
        let first = candidates.first()?;
        let is_last_round = self.log.borrow().is_last_round();
        let second = candidates.get(1).filter(|_| !is_last_round);
        let source = first.kv_source.and_then(|at| service.endpoints.get(at));
        Some(Choice {
            service: Arc::clone(service),
            endpoint: service.endpoints.get(first.index)?.clone(),
            uncached_tokens: first.uncached_tokens,
            alternative_wait_ms: second.map(|second| first.wait_worth_ms(second)),
            kv_source: source.map(|source| source.address),
        })
    }

    fn placement_request(&self, avoided: Option<&EndpointName>) -> PlacementRequest {
        let chat = self.work.chat.as_ref();
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
        choice: &Choice,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Option<Placed> {
        let first = self.run_noted(choice, attempt, resume_from);
        if self.work.safety == CallSafety::NonIdempotent {
            return first.await;
        }
        let shared = &self.context.shared;
        let after_ms = self
            .context
            .places
            .borrow_mut()
            .hedge_after_ms(shared, &self.work.service);
        let second_attempt = Cell::new(None);
        let second = async {
            self.context.timers.after(after_ms).await;
            let choice = self.choose_hedge(&choice.endpoint.name)?;
            let started = self.log.borrow_mut().start_attempt()?;
            second_attempt.set(Some(started));
            // Boxed: few requests get here, and the state would enlarge the future of all.
            Box::pin(self.run_noted(&choice, started, resume_from)).await
        };
        let placed = race(first, second, || second_attempt.get().is_some()).await;
        let loser = match &placed {
            Some(placed) if placed.attempt == attempt => second_attempt.get(),
            Some(_) => Some(attempt),
            None => None,
        };
        if let Some(loser) = loser {
            self.log.borrow_mut().note(loser, AttemptEvent::Cancelled);
        }
        placed
    }

    /// Chooses another endpoint for a hedge, if the retry budget allows one.
    fn choose_hedge(&self, first: &EndpointName) -> Option<Choice> {
        let choice = self.choose(Some(first))?;
        let shared = &self.context.shared;
        let service = &self.work.service;
        if !self.context.places.borrow_mut().take_retry(shared, service) {
            return None;
        }
        shared.metrics.traffic.hedges.inc();
        Some(choice)
    }

    /// Runs an attempt and records its result.
    async fn run_noted(
        &self,
        choice: &Choice,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Option<Placed> {
        let result = self.run_attempt(choice, attempt, resume_from).await;
        let endpoint = choice.endpoint.name.clone();
        let mut log = self.log.borrow_mut();
        match result {
            Ok(answered) => {
                log.note(attempt, AttemptEvent::HeadReceived);
                Some(Placed {
                    answered,
                    endpoint,
                    attempt,
                })
            }
            Err(refusal) => {
                log.note_failure(attempt, &endpoint, refusal);
                None
            }
        }
    }

    async fn run_attempt(
        &self,
        choice: &Choice,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Result<Answered, Refusal> {
        let is_first = self.log.borrow().is_first_attempt();
        let id = if is_first {
            self.work.id
        } else {
            draw_request_id()
        };
        let target = AttemptTarget {
            id,
            service: &choice.service,
            endpoint: &choice.endpoint,
            uncached_tokens: choice.uncached_tokens,
            alternative_wait_ms: choice.alternative_wait_ms,
            kv_source: choice.kv_source,
            resume_from,
        };
        let work = self.work.attempt(target, self.context.now());
        let may_send = || self.may_send(attempt);
        match self.owner_of(&choice.endpoint) {
            Some((member, address)) => {
                Box::pin(self.hand_over(&member, address, &work, may_send)).await
            }
            None => owner::run(&self.context, &work, may_send).await,
        }
    }

    /// Forwards the attempt to the owner, or runs it here if the owner is unreachable.
    ///
    /// A daemon that can't reach the owner becomes its successor soon, or is partitioned from it;
    /// its own admission starts with the limits of a cold start.
    async fn hand_over<M>(
        &self,
        member: &MemberName,
        address: SocketAddr,
        work: &EndpointWork,
        may_send: M,
    ) -> Result<Answered, Refusal>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let was_asked = Cell::new(false);
        let check = || {
            was_asked.set(true);
            may_send()
        };
        let result = peer_link::hand_to_owner(&self.context, member, address, work, check).await;
        match result {
            Err(refusal) if refusal.kind == ErrorKind::ConnectFailed && !was_asked.get() => {
                owner::run(&self.context, work, may_send).await
            }
            Ok(_) | Err(_) => result,
        }
    }

    /// Returns the other daemon that owns the endpoint, if one does.
    fn owner_of(&self, endpoint: &EndpointSnapshot) -> Option<(MemberName, SocketAddr)> {
        let owner = endpoint.owner.as_ref()?;
        let snapshot = self.context.snapshot();
        if *owner == snapshot.own_name {
            return None;
        }
        let member = snapshot.members.get(owner)?;
        Some((member.name.clone(), member.forwards_address))
    }

    fn may_send(&self, attempt: AttemptIndex) -> Result<(), ErrorKind> {
        self.context.check_time(self.work.deadline_at)?;
        if self.log.borrow_mut().may_send(attempt) {
            return Ok(());
        }
        Err(ErrorKind::InternalError)
    }

    /// Returns whether a retry is safe, useful and within the retry budget.
    fn may_go_on(&self) -> bool {
        let Some((kind, cost)) = self.log.borrow().next_cost() else {
            return false;
        };
        let shared = &self.context.shared;
        let service = &self.work.service;
        let is_free = cost == RetryCost::Free;
        if is_free || self.context.places.borrow_mut().take_retry(shared, service) {
            shared.metrics.traffic.retried(kind);
            return true;
        }
        shared.metrics.traffic.retry_denied(kind);
        false
    }

    /// Returns whether the request is a chat completion.
    pub(crate) fn is_chat(&self) -> bool {
        self.work.chat.is_some()
    }

    /// Records which endpoint served the chat, and its token usage.
    pub(crate) fn remember(&self, endpoint: &EndpointName, usage: Usage) {
        let Some(chat) = &self.work.chat else {
            return;
        };
        let hash = EndpointHash::new(endpoint);
        let shared = &self.context.shared;
        let service = &self.work.service;
        self.context
            .places
            .borrow_mut()
            .answered(shared, service, chat.key, hash, usage);
    }
}

/// Returns the first success of two futures; the second is awaited only once it has started its
/// attempt.
async fn race<T>(
    first: impl Future<Output = Option<T>>,
    second: impl Future<Output = Option<T>>,
    has_second_begun: impl Fn() -> bool,
) -> Option<T> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let (mut is_first_over, mut is_second_over) = (false, false);
    future::poll_fn(|context| {
        if !is_first_over && let Poll::Ready(result) = first.as_mut().poll(context) {
            if result.is_some() {
                return Poll::Ready(result);
            }
            is_first_over = true;
        }
        if is_first_over && !has_second_begun() {
            return Poll::Ready(None);
        }
        if !is_second_over && let Poll::Ready(result) = second.as_mut().poll(context) {
            if result.is_some() {
                return Poll::Ready(result);
            }
            is_second_over = true;
        }
        if is_first_over && is_second_over {
            return Poll::Ready(None);
        }
        Poll::Pending
    })
    .await
}
