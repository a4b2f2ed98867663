//! Runs a request: places it, sends it, and retries it where that is safe.

use std::net::SocketAddr;
use std::rc::Rc;

use celeryknot_callers::hop_by_hop;
use celeryknot_core::{
    DurationMs, EndpointName, ErrorKind, MonotonicMs, Refusal, SoftwareVersion, SuspectTag,
};
use celeryknot_endpoints::{EventId, sse};
use celeryknot_policy::direct::{
    AttemptFailure, AttemptHistory, Placement, PlacementRequest, Prompt, RelativePace,
};
use futures_lite::future;
use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use smallvec::SmallVec;

use super::body::{BodySource, GatewayBody};
use super::call::Call;
use super::context::{InFlightGuard, TrafficThread};
use super::crash_watch::AnswerWatch;
use super::hop::{self, HopBackoffKind};
use super::resume;
use super::send::{
    AttemptProgress, EndpointResponse, Reached, reach, read_buffered, send, with_timeout,
};
use super::shutdown::draining_refusal;
use crate::platform_protocol::PlatformProtocol;

/// `Retry-After` of a refusal where another endpoint may serve the request immediately.
const ENDPOINT_RETRY_DELAY: DurationMs = DurationMs(250);

/// Minimum time that must be left for a retry.
const RETRY_TIME_MIN: DurationMs = DurationMs(20);

/// Multiple of the latency objective after which a retryable attempt counts as silent.
const SILENCE_MULTIPLE: f64 = 1.0;

/// Shortest time without a response head after which an attempt counts as silent.
const SILENCE_MIN: DurationMs = DurationMs(150);

/// Time without an answer to any request after which a slow endpoint counts as silent.
///
/// A slow endpoint that answers other requests works; two silences would eject it.
const SLOW_ENDPOINT_SILENCE: DurationMs = DurationMs(1_000);

/// Divisor of the latency objective that gives the longest wait for an endpoint at its rate limit.
const TURN_WAIT_DIVISOR: u64 = 2;

/// The state of a request and its attempts.
#[derive(Debug)]
pub(super) struct Forward {
    pub(super) gateway: Rc<TrafficThread>,
    pub(super) call: Rc<Call>,
    history: AttemptHistory,
    tried: SmallVec<[EndpointName; 4]>,
    /// The version of the endpoint that the caller has events from.
    version: Option<SoftwareVersion>,
    is_version_recorded: bool,
    /// The tried endpoints whose attempts were canceled for their silence alone.
    silent: SmallVec<[EndpointName; 4]>,
    /// The tried endpoints that could not be reached.
    unreachable: SmallVec<[EndpointName; 4]>,
    progress: Rc<AttemptProgress>,
    /// Whether an endpoint crashed on the prompt, which must reach no other one.
    pub(super) may_crash_endpoints: bool,
    /// What the request is the fleet's trial of.
    trial: Option<SuspectTag>,
}

/// An attempt that is placed but not sent.
#[derive(Debug)]
pub(super) struct PlacedAttempt {
    placement: Placement,
    guard: InFlightGuard,
    /// How the endpoint is reached, if that is known.
    reached: Option<Reached>,
    /// How the silent attempt failed that this one replaces, if it replaces one.
    replaced: Option<AttemptFailure>,
}

/// The final response to a request.
enum Answer {
    /// A complete response.
    Complete(Box<Response<GatewayBody>>),
    /// The head of a stream.
    Stream(Box<EndpointResponse>),
}

/// The result of one attempt.
enum AttemptResult {
    Final(Answer),
    Failed(AttemptFailure),
    /// The failure has already been recorded.
    Retry(Box<PlacedAttempt>),
}

/// How the wait for a response head ended.
enum SendEnd {
    Head(Box<EndpointResponse>),
    Failed(AttemptFailure),
    /// The endpoint was silent, and its attempt is canceled in favor of this one.
    Replaced(Box<PlacedAttempt>),
}

/// Runs a request until the head of its response arrives, it is refused, or its deadline passes.
pub(super) async fn run<P: PlatformProtocol>(
    gateway: &Rc<TrafficThread>,
    call: Call,
) -> Result<Response<GatewayBody>, Refusal> {
    gateway.observe_first_attempt(&call.service);
    let progress = Rc::new(AttemptProgress::default());
    let mut forward = Forward {
        history: AttemptHistory::new(call.route.kind, call.route.attempts_max),
        gateway: Rc::clone(gateway),
        call: Rc::new(call),
        tried: SmallVec::new(),
        version: None,
        is_version_recorded: false,
        silent: SmallVec::new(),
        unreachable: SmallVec::new(),
        progress: Rc::clone(&progress),
        may_crash_endpoints: false,
        trial: None,
    };
    if let Some(taken_up) = forward.call.taken_up() {
        let version = gateway.find_stream_version(&forward.call, taken_up).await?;
        forward.version = Some(version);
    }
    let remaining_ms = forward.remaining_ms();
    let on_deadline = async {
        gateway.timers.after(remaining_ms).await;
        None
    };
    let on_shutdown = async {
        gateway.final_answers_due().await;
        None
    };
    let time_out = future::or(on_deadline, on_shutdown);
    let attempts = async { Some(forward.run_attempts::<P>().await) };
    let end = future::or(attempts, time_out).await;
    let may_have_run = forward.history.may_have_run() || progress.may_have_been_sent.get();
    if let Some(suspect) = forward.trial.filter(|_| !may_have_run) {
        gateway.return_trial(suspect);
    }
    let call = Rc::clone(&forward.call);
    let with_delay =
        |refusal| gateway.with_retry_delay(&call.service, &call.head.request_id, refusal);
    match end {
        Some(Ok(Answer::Complete(response))) => Ok(*response),
        Some(Ok(Answer::Stream(endpoint_response))) => Ok(resume::build_stream_response::<P>(
            forward,
            *endpoint_response,
        )),
        Some(Err(refusal)) => Err(with_delay(refusal)),
        None => Err(with_delay(forward.refuse_unanswered())),
    }
}

impl Forward {
    pub(super) fn remaining_ms(&self) -> DurationMs {
        self.call.deadline - self.gateway.now()
    }

    /// Lets only endpoints of the version of this one go on with the stream, in this answer and when
    /// the caller takes it up, as the caller has events of it.
    pub(super) fn bind_version(&mut self, endpoint: &EndpointName, version: &SoftwareVersion) {
        if std::mem::replace(&mut self.is_version_recorded, true) {
            return;
        }
        self.version.get_or_insert_with(|| version.clone());
        let first_request_id = match self.call.taken_up() {
            Some(taken_up) => taken_up.first_request_id.as_deref(),
            None => Some(self.call.head.request_id.as_str()),
        };
        if let Some(first_request_id) = first_request_id {
            let stream = self.call.stream_tag(first_request_id);
            self.gateway
                .record_stream(&self.call, stream, endpoint, version);
        }
    }

    /// Builds the refusal of a request whose deadline, or whose daemon's time, has passed.
    fn refuse_unanswered(&self) -> Refusal {
        if self.history.may_have_run() || self.progress.may_have_been_sent.get() {
            return Refusal::new(ErrorKind::AnswerTimeout);
        }
        match self.remaining_ms() > DurationMs(0) {
            true => draining_refusal(),
            false => Refusal::new(ErrorKind::DeadlineUnreachable),
        }
    }

    async fn run_attempts<P: PlatformProtocol>(&mut self) -> Result<Answer, Refusal> {
        self.gateway.check_shutdown(&self.call)?;
        let mut placed = self.place_in_turn().await?;
        let sent_at = self.gateway.now();
        loop {
            placed = match self.attempt::<P>(placed).await {
                AttemptResult::Final(answer) => {
                    self.observe_answer(&answer, sent_at);
                    return Ok(answer);
                }
                AttemptResult::Failed(failure) => {
                    let next = self.place_retry(failure)?;
                    let checked = self.gateway.check_shutdown(&self.call);
                    checked.map_err(|_| self.refuse(failure))?;
                    next
                }
                AttemptResult::Retry(next) => *next,
            };
        }
    }

    /// Resumes a broken stream at another endpoint, after the last forwarded event; its response
    /// must be successful and of the same kind as that of the first endpoint.
    pub(super) async fn resume_stream<P: PlatformProtocol>(
        &mut self,
        placed: PlacedAttempt,
        last_event_id: Option<&EventId>,
        is_event_stream: bool,
    ) -> Result<EndpointResponse, Refusal> {
        let mut placed = placed;
        loop {
            placed = match self.send::<P>(placed, last_event_id).await {
                SendEnd::Head(response)
                    if response.head.status == StatusCode::OK
                        && sse::is_event_stream(&response.head.headers) == is_event_stream =>
                {
                    return Ok(*response);
                }
                SendEnd::Head(response) => {
                    let failure = AttemptFailure::EndpointError;
                    response.guard.observe_failure(failure);
                    drop(response);
                    self.place_retry(failure)?
                }
                SendEnd::Failed(failure) => self.place_retry(failure)?,
                SendEnd::Replaced(next) => *next,
            };
        }
    }

    /// Records a failed attempt and places a retry; refuses the request if there can be none.
    pub(super) fn place_retry(
        &mut self,
        failure: AttemptFailure,
    ) -> Result<PlacedAttempt, Refusal> {
        self.record_failure(failure);
        let is_due = self.history.is_payment_due();
        if self.may_crash_endpoints || !self.history.may_retry() || !self.has_retry(is_due) {
            return Err(self.refuse(failure));
        }
        let placed = self.place().or_else(|_| {
            // Those endpoints may still be healthy, and no other one is left.
            let silent = std::mem::take(&mut self.silent);
            self.tried.retain(|name| !silent.contains(name));
            self.place()
        });
        let placed = placed.map_err(|_| self.refuse(failure))?;
        match self.try_pay(is_due) {
            true => Ok(placed),
            false => Err(self.refuse(failure)),
        }
    }

    /// Has the retry budget pay for another attempt, if one is due.
    fn try_pay(&mut self, is_due: bool) -> bool {
        if !is_due {
            return true;
        }
        let is_paid = self.gateway.try_take_retry(&self.call.service);
        if is_paid {
            self.history.record_payment();
        }
        is_paid
    }

    /// Waits until the attempt at `endpoint`, silent for `silence_ms`, can be replaced.
    ///
    /// The silent attempt keeps running meanwhile, and must be canceled before the next one is
    /// sent. Silence alone ends no response, so this completes only when a retry is permitted, its
    /// endpoint accepts a connection and the budget has paid for it.
    pub(super) async fn replace_silent_attempt(
        &mut self,
        endpoint: &EndpointName,
        silence_ms: DurationMs,
    ) -> PlacedAttempt {
        loop {
            if let Some(placed) = self.try_replace_silent_attempt(|_| true).await {
                self.silent.push(endpoint.clone());
                return placed;
            }
            self.gateway.timers.after(silence_ms).await;
        }
    }

    /// Replaces an attempt by one at an endpoint that `is_suitable`, if that is permitted now.
    async fn try_replace_silent_attempt(
        &mut self,
        is_suitable: fn(&Placement) -> bool,
    ) -> Option<PlacedAttempt> {
        // What could not be reached before a silence may be reached after it.
        let unreachable = std::mem::take(&mut self.unreachable);
        self.tried.retain(|name| !unreachable.contains(name));
        while self.may_replace_silent_attempt() {
            let mut placed = self.place().ok()?;
            if !is_suitable(&placed.placement) {
                return None;
            }
            match self.reach_certainly(&placed.placement).await {
                Ok(reached) => placed.reached = Some(reached),
                Err(failure) => {
                    placed.guard.observe_failure(failure);
                    self.log_failure(&placed.placement, failure);
                    self.tried.push(placed.placement.endpoint.clone());
                    self.unreachable.push(placed.placement.endpoint);
                    continue;
                }
            }
            // The silent attempt may have been sent meanwhile.
            if !self.may_replace_silent_attempt() {
                return None;
            }
            let failure = self.progress.failure_by_silence();
            if self.try_pay(self.history.is_payment_due_after(failure)) {
                self.record_failure(failure);
                placed.replaced = Some(failure);
                return Some(placed);
            }
        }
        None
    }

    /// Returns whether the history and the retry budget allow another attempt in place of a silent
    /// one, as far as that has come.
    fn may_replace_silent_attempt(&self) -> bool {
        let failure = self.progress.failure_by_silence();
        let is_due = self.history.is_payment_due_after(failure);
        self.history.may_retry_after(failure) && self.has_retry(is_due)
    }

    /// Replaces an attempt at a slow endpoint, which has not answered for `silence_ms`, by one at an
    /// endpoint that isn't slow, if that is permitted now.
    async fn leave_slow_endpoint(
        &mut self,
        placement: &Placement,
        guard: &InFlightGuard,
        silence_ms: DurationMs,
    ) -> Option<PlacedAttempt> {
        // The replacement forgets the peer.
        let hop_peer = self.progress.hop_peer.get();
        let next = self
            .try_replace_silent_attempt(|next| !next.pace.is_some_and(RelativePace::is_slow))
            .await?;
        if !guard.handle().has_responded(SLOW_ENDPOINT_SILENCE) {
            guard.observe_silence();
            self.avoid_connections(placement, hop_peer);
        }
        self.silent.push(placement.endpoint.clone());
        self.gateway.shared.metrics.slow_endpoint_moves.inc();
        tracing::info!(
            request_id = self.call.head.request_id,
            endpoint = %placement.endpoint,
            pace = placement.pace.map(|pace| pace.endpoint.percent()),
            service_pace = placement.pace.map(|pace| pace.service.percent()),
            silence_ms = silence_ms.0,
            next = %next.placement.endpoint,
            "request leaves a slow endpoint"
        );
        Some(next)
    }

    /// Finds out how an endpoint is reached; by other daemons only if one can connect to it.
    async fn reach_certainly(&self, placement: &Placement) -> Result<Reached, AttemptFailure> {
        let reached = reach(&self.gateway, &self.call, placement).await?;
        let service = &self.call.service;
        match reached {
            Reached::ThroughPeers
                if !hop::is_running(&self.gateway, service, &placement.endpoint).await =>
            {
                Err(AttemptFailure::NotSent)
            }
            Reached::Directly(_) | Reached::ThroughPeers => Ok(reached),
        }
    }

    fn record_failure(&mut self, failure: AttemptFailure) {
        self.history.record_failure(failure);
        self.progress.may_have_been_sent.set(false);
        self.progress.hop_peer.set(None);
    }

    /// Returns whether the remaining time allows a retry, and the budget if it must pay.
    fn has_retry(&self, is_due: bool) -> bool {
        if self.remaining_ms() <= RETRY_TIME_MIN {
            return false;
        }
        let has_retry = !is_due || self.gateway.has_retry(&self.call.service);
        if !has_retry {
            self.gateway.shared.metrics.retries_denied.inc();
            tracing::info!(
                request_id = self.call.head.request_id,
                "the retry budget allows no further send"
            );
        }
        has_retry
    }

    /// Builds the final refusal, which never reports a request that may have run as not run.
    fn refuse(&self, failure: AttemptFailure) -> Refusal {
        if !self.history.may_have_run() {
            let kind = match failure {
                AttemptFailure::NotSent => ErrorKind::ConnectFailed,
                AttemptFailure::NotSentInTime => ErrorKind::DeadlineUnreachable,
                AttemptFailure::Refused
                | AttemptFailure::Misdirected
                | AttemptFailure::Unanswered
                | AttemptFailure::ConnectionLost
                | AttemptFailure::Broken
                | AttemptFailure::Mismatched
                | AttemptFailure::EndpointError => ErrorKind::EndpointRefused,
            };
            return Refusal::with_retry_after(kind, ENDPOINT_RETRY_DELAY);
        }
        Refusal::new(match failure {
            AttemptFailure::Unanswered | AttemptFailure::NotSentInTime
                if self.remaining_ms() <= RETRY_TIME_MIN =>
            {
                ErrorKind::AnswerTimeout
            }
            AttemptFailure::Broken => ErrorKind::AnswerIncomplete,
            AttemptFailure::Mismatched => ErrorKind::AnswerMismatched,
            AttemptFailure::NotSent
            | AttemptFailure::NotSentInTime
            | AttemptFailure::Refused
            | AttemptFailure::Misdirected
            | AttemptFailure::Unanswered
            | AttemptFailure::ConnectionLost
            | AttemptFailure::EndpointError => ErrorKind::OutcomeUnknown,
        })
    }

    /// Records how long the first attempt took, if it was answered.
    fn observe_answer(&self, answer: &Answer, sent_at: MonotonicMs) {
        let is_first = self.history.failed_attempts() == 0;
        if let Answer::Complete(response) = answer
            && is_first
            && !response.status().is_server_error()
        {
            let took_ms = self.gateway.now() - sent_at;
            self.gateway.observe_admitted_answer(&self.call, took_ms);
        }
    }

    /// Picks the endpoint for the first attempt; waits for room at the endpoints or, if all are at
    /// their rate limits, for the request's turn, if that comes in time.
    async fn place_in_turn(&mut self) -> Result<PlacedAttempt, Refusal> {
        let mut admitted = self.gateway.admit(&self.call).await?;
        let objective_ms = self.call.route.latency_objective_ms;
        let wait_until = self.gateway.now() + DurationMs(objective_ms.0 / TURN_WAIT_DIVISOR);
        loop {
            let wait_max_ms = wait_until - self.gateway.now();
            let placed = self.place_within(wait_max_ms.min(self.remaining_ms()))?;
            // The endpoint's own count has it now.
            drop(admitted.take());
            let Placement {
                endpoint, wait_ms, ..
            } = &placed.placement;
            if *wait_ms == DurationMs(0) {
                return Ok(placed);
            }
            self.gateway.timers.after(*wait_ms).await;
            self.gateway.check_shutdown(&self.call)?;
            if self.gateway.accepts_requests(&self.call.service, endpoint) {
                return Ok(placed);
            }
        }
    }

    /// Picks the endpoint for the next attempt, which is sent at once.
    fn place(&mut self) -> Result<PlacedAttempt, Refusal> {
        self.place_within(DurationMs(0))
    }

    /// Picks the endpoint for the next attempt, which may have to wait for up to `wait_max_ms`.
    fn place_within(&mut self, wait_max_ms: DurationMs) -> Result<PlacedAttempt, Refusal> {
        let call = &self.call;
        // Applies a newer view: the endpoints may have changed since the request arrived.
        drop(self.gateway.view());
        if let Some(suspect) = self.gateway.check_crashes(call)? {
            self.trial = Some(suspect);
        }
        let shared = call.head.prompt.as_ref().and_then(|it| it.shared_prefix());
        let request = PlacementRequest {
            shared,
            draw: rand::random(),
            allowed_zones: call.allowed_zones.as_deref(),
            version: self.version.as_ref(),
            tried: &self.tried,
            wait_max_ms,
            suspect: self.gateway.is_suspected(call.tag).then_some(call.tag),
        };
        let (placement, guard) = self.gateway.place(&call.service, &request)?;
        Ok(PlacedAttempt {
            placement,
            guard,
            reached: None,
            replaced: None,
        })
    }

    fn log_placement(&self, placement: &Placement) {
        let call = &self.call;
        let shared = call.head.prompt.as_ref().and_then(|it| it.shared_prefix());
        tracing::info!(
            request_id = call.head.request_id,
            route = %call.route.name,
            tag = %call.tag,
            customer = call.customer.as_ref().map(|name| name.as_str()),
            configuration = call.configuration_version,
            send = self.history.failed_attempts() + 1,
            endpoint = %placement.endpoint,
            version = %placement.version,
            reason = %placement.reason,
            zone = %placement.zone,
            zone_reason = %placement.zone_reason,
            prompt = shared.map(|shared| format!("{:x}", shared.key)),
            parts = call.head.prompt.as_ref().map(shared_part_ids),
            shared_tokens = shared.map(|shared| shared.tokens.0),
            load = placement.load,
            load_age_ms = placement.load_age_ms.map(|age| age.0),
            pace = placement.pace.map(|pace| pace.endpoint.percent()),
            service_pace = placement.pace.map(|pace| pace.service.percent()),
            is_cold = placement.is_cold,
            fetch_from = placement.fetch_from.map(tracing::field::display),
            moved_from = placement.moved_from.as_ref().map(tracing::field::display),
            wait_ms = (placement.wait_ms > DurationMs(0)).then_some(placement.wait_ms.0),
            "request placed"
        );
        let metrics = &self.gateway.shared.metrics;
        metrics.placed(placement.reason.into());
        let is_own_zone = placement.zone == self.gateway.shared.settings.zone;
        metrics.placed_in_zone(&call.service, is_own_zone, placement.zone_reason.into());
        if placement.moved_from.is_some() {
            metrics.rate_limited_moves.inc();
        }
    }

    /// Sends the request and waits for the head of the response.
    async fn send<P: PlatformProtocol>(
        &mut self,
        placed: PlacedAttempt,
        last_event_id: Option<&EventId>,
    ) -> SendEnd {
        let PlacedAttempt {
            placement,
            guard,
            reached,
            ..
        } = placed;
        self.log_placement(&placement);
        self.tried.push(placement.endpoint.clone());
        let (gateway, call) = (Rc::clone(&self.gateway), Rc::clone(&self.call));
        let (progress, silence_ms) = (Rc::clone(&self.progress), self.silence_ms());
        let slow_silence_ms = self.slow_silence_ms(&placement);
        let silent_at = gateway.now() + silence_ms;
        let mut watch = AnswerWatch::new(&gateway, &call, &placement);
        let sent = send::<P>(
            &gateway,
            &call,
            &placement,
            &guard,
            reached,
            &progress,
            last_event_id,
        );
        let sent = with_timeout(&gateway, self.remaining_ms(), &progress, sent);
        let replaced = async {
            if let Some(slow_silence_ms) = slow_silence_ms {
                gateway.timers.after(slow_silence_ms).await;
                let next = self.leave_slow_endpoint(&placement, &guard, slow_silence_ms);
                if let Some(next) = next.await {
                    return Err(next);
                }
            }
            gateway.timers.after(silent_at - gateway.now()).await;
            guard.observe_silence();
            self.avoid_silent_connections(&placement);
            let endpoint = &placement.endpoint;
            Err(self.replace_silent_attempt(endpoint, silence_ms).await)
        };
        let end = future::or(async { Ok(sent.await) }, replaced).await;
        match end {
            Ok(Ok((head, body))) => {
                watch.observe_status(head.status);
                SendEnd::Head(Box::new(EndpointResponse {
                    head,
                    body,
                    guard,
                    watch,
                    version: placement.version,
                }))
            }
            Ok(Err(failure)) => {
                if failure == AttemptFailure::Unanswered
                    || failure == AttemptFailure::NotSentInTime
                    || failure == AttemptFailure::ConnectionLost
                {
                    guard.observe_silence();
                    self.avoid_silent_connections(&placement);
                } else {
                    guard.observe_failure(failure);
                }
                if failure == AttemptFailure::NotSent {
                    self.unreachable.push(placement.endpoint.clone());
                }
                self.log_failure(&placement, failure);
                match failure {
                    AttemptFailure::ConnectionLost => self.check_lost_connection(&watch).await,
                    AttemptFailure::Unanswered => watch.observe_given_up(),
                    AttemptFailure::NotSent
                    | AttemptFailure::NotSentInTime
                    | AttemptFailure::Refused
                    | AttemptFailure::Misdirected
                    | AttemptFailure::Broken
                    | AttemptFailure::Mismatched
                    | AttemptFailure::EndpointError => {}
                }
                SendEnd::Failed(failure)
            }
            Err(next) => {
                let failure = next.replaced.unwrap_or(AttemptFailure::Unanswered);
                if failure.may_have_run() {
                    watch.observe_given_up();
                }
                self.log_failure(&placement, failure);
                SendEnd::Replaced(Box::new(next))
            }
        }
    }

    /// Uses no more idle connections to where an attempt was silent or lost: if one connection
    /// failed, the others may have too.
    fn avoid_silent_connections(&self, placement: &Placement) {
        self.avoid_connections(placement, self.progress.hop_peer.get());
    }

    fn avoid_connections(&self, placement: &Placement, hop_peer: Option<SocketAddr>) {
        match hop_peer {
            // The peer or the endpoint was silent.
            Some(peer) => self.gateway.avoid_hop_peer(peer, HopBackoffKind::AskLast),
            None => self.gateway.connections.close_idle_to(placement.address),
        }
    }

    /// Checks whether the request crashed its endpoint; waits for that only if it may be retried.
    async fn check_lost_connection(&mut self, watch: &AnswerWatch) {
        let check = watch.check_lost_connection();
        if self.history.may_retry_after(AttemptFailure::ConnectionLost) {
            self.may_crash_endpoints = check.await;
            return;
        }
        self.gateway.executor.spawn(check).detach();
    }

    fn log_failure(&self, placement: &Placement, failure: AttemptFailure) {
        self.gateway
            .shared
            .metrics
            .count_failed_attempt(failure.into());
        tracing::info!(
            request_id = self.call.head.request_id,
            endpoint = %placement.endpoint,
            %failure,
            "send failed"
        );
    }

    /// Sends the request once and reads the response, up to the head of a stream.
    async fn attempt<P: PlatformProtocol>(&mut self, placed: PlacedAttempt) -> AttemptResult {
        let placement = placed.placement.clone();
        let endpoint_response = match self.send::<P>(placed, None).await {
            SendEnd::Head(endpoint_response) => *endpoint_response,
            SendEnd::Failed(failure) => return AttemptResult::Failed(failure),
            SendEnd::Replaced(next) => return AttemptResult::Retry(next),
        };
        if endpoint_response.head.status.is_server_error() {
            endpoint_response
                .guard
                .observe_failure(AttemptFailure::EndpointError);
            self.log_failure(&placement, AttemptFailure::EndpointError);
            // An endpoint that answers with an error has not crashed.
            let framing = endpoint_response.body.framing();
            endpoint_response.watch.observe_end(framing);
            // Without a retry, the caller gets this response.
            let may_retry = self.call.route.kind.is_repeatable()
                && self.gateway.check_shutdown(&self.call).is_ok();
            if may_retry && let Ok(next) = self.place_retry(AttemptFailure::EndpointError) {
                return AttemptResult::Retry(Box::new(next));
            }
        }
        match self.finish_response::<P>(endpoint_response).await {
            Ok(answer) => AttemptResult::Final(answer),
            Err(failure) => {
                self.log_failure(&placement, failure);
                AttemptResult::Failed(failure)
            }
        }
    }

    /// Returns whether another endpoint may take over from one that doesn't answer.
    fn may_replace_silent(&self) -> bool {
        let route = &self.call.route;
        let is_last = self.history.failed_attempts() + 1 >= route.attempts_max;
        route.kind.is_repeatable() && !is_last
    }

    /// Returns the time without a response head after which a request may leave a slow endpoint, if
    /// that is shorter than elsewhere.
    fn slow_silence_ms(&self, placement: &Placement) -> Option<DurationMs> {
        let pace = placement.pace.filter(|_| self.may_replace_silent())?;
        pace.silence_ms(self.silence_ms())
    }

    /// Returns the time without a response head after which another endpoint may take over.
    fn silence_ms(&self) -> DurationMs {
        let remaining_ms = self.remaining_ms();
        let route = &self.call.route;
        if !self.may_replace_silent() {
            return remaining_ms;
        }
        let objective_ms = route.latency_objective_ms.0 as f64 * SILENCE_MULTIPLE;
        DurationMs(objective_ms as u64)
            .max(SILENCE_MIN)
            .min(remaining_ms)
    }

    /// Records that a response broke before any of it was forwarded.
    async fn record_broken(&mut self, endpoint_response: &EndpointResponse) -> AttemptFailure {
        let failure = AttemptFailure::Broken;
        endpoint_response.guard.observe_failure(failure);
        self.may_crash_endpoints = endpoint_response.watch.check_break().await;
        failure
    }

    async fn finish_response<P: PlatformProtocol>(
        &mut self,
        mut endpoint_response: EndpointResponse,
    ) -> Result<Answer, AttemptFailure> {
        let status = endpoint_response.head.status;
        if self.call.route.kind.is_stream() && status.is_success() {
            if endpoint_response.body.check_beginning().await.is_err() {
                return Err(self.record_broken(&endpoint_response).await);
            }
            return Ok(Answer::Stream(Box::new(endpoint_response)));
        }
        let bytes = match read_buffered(&mut endpoint_response).await {
            Ok(bytes) => bytes,
            Err(AttemptFailure::Broken) => {
                return Err(self.record_broken(&endpoint_response).await);
            }
            Err(failure) => {
                endpoint_response.guard.observe_failure(failure);
                return Err(failure);
            }
        };
        if !status.is_server_error() {
            endpoint_response.guard.observe_success();
        }
        let body = GatewayBody::buffered(bytes).with_framing(endpoint_response.body.framing());
        let mut response = Response::from_parts(endpoint_response.head, body);
        strip_response_headers::<P>(&mut response);
        Ok(Answer::Complete(Box::new(response)))
    }
}

/// Returns the ids of the parts that other prompts may share, as the caller sent them.
fn shared_part_ids(prompt: &Prompt) -> String {
    let ids = prompt.shared().iter().map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",")
}

/// Builds a streaming response whose bytes are forwarded as they arrive.
pub(super) fn forward_stream<P: PlatformProtocol>(
    forward: &Forward,
    endpoint_response: EndpointResponse,
) -> Response<GatewayBody> {
    endpoint_response.guard.observe_success();
    let deadline = forward.gateway.timers.after(forward.remaining_ms());
    let framing = endpoint_response.body.framing();
    let source = BodySource::Endpoint {
        body: Box::new(endpoint_response.body),
        deadline: Box::pin(deadline),
        watch: Box::new(endpoint_response.watch),
        _guard: endpoint_response.guard,
    };
    let body = GatewayBody::new(source).with_framing(framing);
    let mut response = Response::from_parts(endpoint_response.head, body);
    strip_response_headers::<P>(&mut response);
    response
}

/// Removes the headers that apply only to the endpoint's connection.
pub(super) fn strip_response_headers<P: PlatformProtocol>(response: &mut Response<GatewayBody>) {
    let headers = response.headers_mut();
    strip_connection_response_headers(headers);
    P::strip_answer(headers);
}

/// Removes the same, but not what an endpoint tells daemons.
pub(super) fn strip_connection_response_headers(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(HeaderName::from_static("keep-alive"));
    headers.remove(header::CONTENT_LENGTH);
}
