//! Tries the endpoints for one request in order, as far as that is safe.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Execution, MemberName, Refusal};
use celeryknot_endpoints::sse::Usage;
use celeryknot_policy::attempt::{AttemptEvent, AttemptIndex, CallSafety, Judgement, Submission};
use celeryknot_policy::placement::{EndpointHash, PlacementRequest};
use smallvec::SmallVec;

use super::context::ThreadContext;
use super::failure::{Failure, RetryCost};
use super::owner::{self, Answered};
use super::peer_link;
use super::shared::draw_request_id;
use super::work::{AttemptTarget, EndpointWork, Work};
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// An answer with the endpoint that gave it.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) answered: Answered,
    pub(crate) endpoint: EndpointName,
    pub(crate) attempt: AttemptIndex,
}

/// One candidate, resolved against the fleet as it is now.
#[derive(Debug)]
struct Choice {
    service: Arc<ServiceSnapshot>,
    endpoint: EndpointSnapshot,
    uncached_tokens: u32,
    alternative_wait_ms: Option<DurationMs>,
}

/// The attempts of one request.
#[derive(Debug)]
pub(crate) struct Dispatch {
    context: Rc<ThreadContext>,
    work: Rc<Work>,
    submission: RefCell<Submission>,
    excluded: SmallVec<[EndpointName; 4]>,
    /// Endpoints that were busy only in comparison with others.
    busy: SmallVec<[EndpointName; 4]>,
    /// Whether the others have failed, so that the busy ones are asked to queue the request.
    is_last_round: bool,
    last_refusal: Option<Refusal>,
    come_back_ms: Option<DurationMs>,
}

impl Dispatch {
    pub(crate) fn new(context: Rc<ThreadContext>, work: Rc<Work>) -> Self {
        let submission = RefCell::new(Submission::new(work.safety));
        Self {
            context,
            work,
            submission,
            excluded: SmallVec::new(),
            busy: SmallVec::new(),
            is_last_round: false,
            last_refusal: None,
            come_back_ms: None,
        }
    }

    /// Tries endpoints until one answers.
    ///
    /// # Errors
    ///
    /// What is known of all attempts together, with the earliest time to come back.
    pub(crate) async fn next_answer(
        &mut self,
        resume_from: Option<u64>,
    ) -> Result<Placed, Refusal> {
        loop {
            if let Err(kind) = self.context.check_time(self.work.deadline_at) {
                self.last_refusal = Some(Refusal::new(kind));
                return Err(self.refusal());
            }
            let Some(choice) = self.choose() else {
                if self.start_last_round() {
                    continue;
                }
                return Err(self.refusal());
            };
            let started = self.submission.borrow_mut().start_attempt();
            let Ok(attempt) = started else {
                return Err(self.refusal());
            };
            let result = self.run_attempt(&choice, attempt, resume_from).await;
            let endpoint = choice.endpoint.name;
            match result {
                Ok(answered) => {
                    let event = AttemptEvent::HeadReceived;
                    self.submission.borrow_mut().apply(attempt, event);
                    return Ok(Placed {
                        answered,
                        endpoint,
                        attempt,
                    });
                }
                Err(refusal) => self.note(attempt, endpoint, refusal),
            }
            if !self.may_go_on() {
                return Err(self.refusal());
            }
        }
    }

    /// Notes that an answer whose head had come is not whole, so that a further one may be asked for.
    ///
    /// # Errors
    ///
    /// What is known where no further attempt is safe or allowed.
    pub(crate) fn note_broken(
        &mut self,
        attempt: AttemptIndex,
        endpoint: EndpointName,
        kind: ErrorKind,
    ) -> Result<(), Refusal> {
        self.note(attempt, endpoint, Refusal::new(kind));
        if self.may_go_on() {
            return Ok(());
        }
        Err(self.refusal())
    }

    /// Notes that the answer is whole.
    pub(crate) fn note_whole(&mut self, attempt: AttemptIndex) {
        self.submission
            .borrow_mut()
            .apply(attempt, AttemptEvent::AnswerCompleted);
    }

    /// Gives the endpoints that were busy in comparison another chance.
    fn start_last_round(&mut self) -> bool {
        if self.is_last_round || self.busy.is_empty() {
            return false;
        }
        self.is_last_round = true;
        let busy = std::mem::take(&mut self.busy);
        self.excluded.retain(|name| !busy.contains(name));
        true
    }

    fn choose(&self) -> Option<Choice> {
        let snapshot = self.context.snapshot();
        let key = (
            self.work.service.team.clone(),
            self.work.service.name.clone(),
        );
        let service = snapshot.services.get(&key)?;
        let request = self.placement_request();
        let shared = &self.context.shared;
        let candidates = self
            .context
            .places
            .borrow_mut()
            .rank(shared, &snapshot, service, &request);
        let first = candidates.first()?;
        Some(Choice {
            service: Arc::clone(service),
            endpoint: service.endpoints.get(first.index)?.clone(),
            uncached_tokens: first.uncached_tokens,
            alternative_wait_ms: candidates
                .get(1)
                .filter(|_| !self.is_last_round)
                .map(|second| second.wait_ms),
        })
    }

    fn placement_request(&self) -> PlacementRequest {
        let chat = self.work.chat.as_ref();
        let affinity = chat.and_then(|chat| chat.affinity.as_ref());
        PlacementRequest {
            chat: chat.map(|chat| chat.key),
            affinity: affinity.map(|affinity| affinity.endpoint.clone()),
            cached_tokens_hint: affinity.map_or(0, |affinity| affinity.tokens),
            prompt_tokens: chat.map_or(1, |chat| chat.cost.prompt_tokens),
            excluded: self.excluded.clone(),
        }
    }

    async fn run_attempt(
        &self,
        choice: &Choice,
        attempt: AttemptIndex,
        resume_from: Option<u64>,
    ) -> Result<Answered, Refusal> {
        let is_first = self.submission.borrow().attempt_count() == 1;
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
            resume_from,
        };
        let work = self.work.attempt(target, self.context.now());
        let may_send = || self.may_send(attempt);
        match self.owner_of(&choice.endpoint) {
            Some((member, address)) => self.hand_over(&member, address, &work, may_send).await,
            None => owner::run(&self.context, &work, may_send).await,
        }
    }

    /// Hands the attempt to the owner; where the owner can't be reached, runs it here.
    ///
    /// Whoever can't reach the owner is its successor soon, or is cut off from
    /// it; its own admission starts with the caps of a cold start.
    async fn hand_over<M>(
        &self,
        member: &MemberName,
        address: std::net::SocketAddr,
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
    fn owner_of(&self, endpoint: &EndpointSnapshot) -> Option<(MemberName, std::net::SocketAddr)> {
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
        let mut submission = self.submission.borrow_mut();
        if submission.may_send(attempt) || self.work.safety == CallSafety::Idempotent {
            return Ok(());
        }
        Err(ErrorKind::InternalError)
    }

    fn note(&mut self, attempt: AttemptIndex, endpoint: EndpointName, refusal: Refusal) {
        let mut submission = self.submission.borrow_mut();
        match refusal.kind.answer().execution {
            Execution::NotRun => {
                // Whether the owner or the endpoint refused: whoever had the request did not run it.
                submission.apply(attempt, AttemptEvent::EndpointRefused);
            }
            Execution::Run | Execution::Unknown => {
                submission.apply(attempt, AttemptEvent::SendStarted);
                submission.apply(attempt, Failure::from(refusal.kind).event_after_send());
            }
        }
        drop(submission);
        if refusal.kind == ErrorKind::EndpointBusy {
            self.busy.push(endpoint.clone());
        }
        self.excluded.push(endpoint);
        self.last_refusal = Some(refusal);
        self.come_back_ms = match (self.come_back_ms, refusal.retry_after_ms) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }

    /// Tells whether a further attempt is safe, useful and within the retry budget.
    fn may_go_on(&self) -> bool {
        let Some(refusal) = self.last_refusal else {
            return false;
        };
        let cost = Failure::from(refusal.kind).retry_cost();
        if cost == RetryCost::Useless || !self.submission.borrow().may_retry() {
            return false;
        }
        let shared = &self.context.shared;
        let is_free = cost == RetryCost::Free;
        let service = &self.work.service;
        if is_free || self.context.places.borrow_mut().take_retry(shared, service) {
            shared.metrics.traffic.retried(refusal.kind);
            return true;
        }
        shared.metrics.traffic.retry_denied(refusal.kind);
        false
    }

    /// Says what is known of all attempts together.
    fn refusal(&self) -> Refusal {
        let last = self
            .last_refusal
            .unwrap_or(Refusal::new(ErrorKind::NoEndpoint));
        let kind = match self.submission.borrow().judge() {
            Judgement::Failed { kind, execution }
                if execution != Execution::NotRun
                    && last.kind.answer().execution == Execution::NotRun =>
            {
                kind
            }
            Judgement::Failed { .. } | Judgement::Pending | Judgement::Answered => last.kind,
        };
        let after_ms = self.come_back_ms.or(last.retry_after_ms);
        match (kind.answer().retry_after_default_ms, after_ms) {
            (Some(_), Some(after_ms)) => Refusal::after(kind, after_ms),
            (Some(_), None) | (None, _) => Refusal::new(kind),
        }
    }

    /// Remembers where the chat was answered.
    pub(crate) fn remember(&self, endpoint: &EndpointName, usage: Usage) {
        let Some(chat) = &self.work.chat else {
            return;
        };
        let hash = EndpointHash::new(endpoint);
        let shared = &self.context.shared;
        self.context.places.borrow_mut().answered(
            shared,
            &self.work.service,
            chat.key,
            hash,
            usage,
        );
    }
}
