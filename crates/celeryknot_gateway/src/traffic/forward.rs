//! Runs a request: places it, sends it, and retries it where that is safe.

use std::rc::Rc;

use celeryknot_callers::hop_by_hop;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Refusal};
use celeryknot_policy::direct::{AttemptFailure, AttemptHistory, Placement, PlacementRequest};
use futures_lite::future;
use http::{HeaderName, Response, header};
use smallvec::SmallVec;

use super::body::{BodySource, GatewayBody};
use super::call::Call;
use super::context::{InFlightGuard, TrafficThread};
use super::resume;
use super::send::{AttemptProgress, EndpointResponse, read_buffered, send, with_timeout};
use super::shutdown::draining_refusal;
use crate::platform_protocol::PlatformProtocol;

/// `Retry-After` of a refusal where another endpoint may serve the request immediately.
const ENDPOINT_RETRY_DELAY: DurationMs = DurationMs(250);

/// Minimum time that must be left for a retry.
const RETRY_TIME_MIN: DurationMs = DurationMs(20);

/// Multiple of the latency objective after which a retryable attempt times out.
const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 1.0;

/// Shortest timeout of an attempt.
const ATTEMPT_TIMEOUT_MIN: DurationMs = DurationMs(150);

/// The state of a request and its attempts.
#[derive(Debug)]
pub(super) struct Forward {
    pub(super) gateway: Rc<TrafficThread>,
    pub(super) call: Rc<Call>,
    history: AttemptHistory,
    tried: SmallVec<[EndpointName; 4]>,
    last_failure: Option<AttemptFailure>,
    progress: Rc<AttemptProgress>,
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
    Retry,
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
        last_failure: None,
        progress: Rc::clone(&progress),
    };
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
    match future::or(attempts, time_out).await {
        Some(Ok(Answer::Complete(response))) => Ok(*response),
        Some(Ok(Answer::Stream(endpoint_response))) => Ok(resume::build_stream_response::<P>(
            forward,
            *endpoint_response,
        )),
        Some(Err(refusal)) => Err(refusal),
        None => Err(forward.refuse_unanswered()),
    }
}

impl Forward {
    pub(super) fn remaining_ms(&self) -> DurationMs {
        self.call.deadline - self.gateway.now()
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
        loop {
            match self.attempt::<P>().await? {
                AttemptResult::Final(answer) => return Ok(answer),
                AttemptResult::Failed(failure) => self.note_failure(failure)?,
                AttemptResult::Retry => {}
            }
        }
    }

    /// Resumes a broken stream at another endpoint, after the last forwarded event.
    pub(super) async fn resume_stream<P: PlatformProtocol>(
        &mut self,
        failure: AttemptFailure,
        last_event_id: Option<String>,
    ) -> Result<EndpointResponse, Refusal> {
        let mut failure = failure;
        loop {
            self.note_failure(failure)?;
            let (placement, guard) = self.place()?;
            let last_event_id = last_event_id.as_deref();
            let sent = self.send::<P>(&placement, guard, last_event_id).await;
            failure = match sent {
                Ok(response) if response.head.status.is_success() => return Ok(response),
                Ok(response) => {
                    response
                        .guard
                        .observe_failure(AttemptFailure::EndpointError);
                    AttemptFailure::EndpointError
                }
                Err(failure) => failure,
            };
        }
    }

    /// Records a failed attempt; refuses the request if it must not be retried.
    fn note_failure(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.history.record_failure(failure);
        self.last_failure = Some(failure);
        self.progress.may_have_been_sent.set(false);
        let may_retry = self.remaining_ms() > RETRY_TIME_MIN && self.history.may_retry();
        if may_retry {
            if self.gateway.try_take_retry(&self.call.service) {
                return Ok(());
            }
            self.gateway.shared.metrics.retries_denied.inc();
            tracing::info!(
                request_id = self.call.head.request_id,
                "the retry budget allows no further send"
            );
        }
        Err(self.refuse(failure))
    }

    /// Builds the final refusal, which never reports a request that may have run as not run.
    fn refuse(&self, failure: AttemptFailure) -> Refusal {
        if !self.history.may_have_run() {
            let kind = match failure == AttemptFailure::NotSent {
                true => ErrorKind::ConnectFailed,
                false => ErrorKind::EndpointRefused,
            };
            return Refusal::with_retry_after(kind, ENDPOINT_RETRY_DELAY);
        }
        Refusal::new(match failure {
            AttemptFailure::Unanswered if self.remaining_ms() <= RETRY_TIME_MIN => {
                ErrorKind::AnswerTimeout
            }
            AttemptFailure::Broken => ErrorKind::AnswerIncomplete,
            AttemptFailure::Mismatched => ErrorKind::AnswerMismatched,
            AttemptFailure::NotSent
            | AttemptFailure::Refused
            | AttemptFailure::Misdirected
            | AttemptFailure::Unanswered
            | AttemptFailure::EndpointError => ErrorKind::OutcomeUnknown,
        })
    }

    /// Refuses the next attempt if its answer may not end before the daemon's shutdown does.
    fn check_shutdown(&self) -> Result<(), Refusal> {
        let checked = self.gateway.check_shutdown(&self.call);
        checked.map_err(|refusal| match self.last_failure {
            Some(failure) => self.refuse(failure),
            None => refusal,
        })
    }

    /// Picks the endpoint for the next attempt.
    fn place(&mut self) -> Result<(Placement, InFlightGuard), Refusal> {
        let call = &self.call;
        // Applies a newer view: the endpoints may have changed since the request arrived.
        drop(self.gateway.view());
        let shared = call.head.prompt.as_ref().and_then(|it| it.shared_prefix());
        let request = PlacementRequest {
            shared,
            draw: rand::random(),
            allowed_zones: call.allowed_zones.as_deref(),
            tried: &self.tried,
        };
        let placed = self.gateway.place(&call.service, &request);
        let (placement, guard) = placed.map_err(|refusal| match self.last_failure {
            Some(failure) => self.refuse(failure),
            None => refusal,
        })?;
        tracing::info!(
            request_id = call.head.request_id,
            route = %call.route.name,
            customer = call.customer.as_ref().map(|name| name.as_str()),
            configuration = call.configuration_version,
            send = self.history.failed_attempts() + 1,
            endpoint = %placement.endpoint,
            reason = %placement.reason,
            prompt = shared.map(|shared| format!("{:x}", shared.key)),
            shared_tokens = shared.map(|shared| shared.tokens.0),
            load = placement.load,
            load_age_ms = placement.load_age_ms.map(|age| age.0),
            is_cold = placement.is_cold,
            fetch_from = placement.fetch_from.map(tracing::field::display),
            "request placed"
        );
        self.gateway.shared.metrics.placed(placement.reason.into());
        self.tried.push(placement.endpoint.clone());
        Ok((placement, guard))
    }

    async fn send<P: PlatformProtocol>(
        &self,
        placement: &Placement,
        guard: InFlightGuard,
        last_event_id: Option<&str>,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let (gateway, call) = (&self.gateway, &self.call);
        let sent = send::<P>(
            gateway,
            call,
            placement,
            &guard,
            &self.progress,
            last_event_id,
        );
        match with_timeout(gateway, self.attempt_timeout(), sent).await {
            Ok((head, body)) => Ok(EndpointResponse { head, body, guard }),
            Err(failure) => {
                guard.observe_failure(failure);
                if failure == AttemptFailure::Unanswered {
                    // If one connection went silent, the others to the endpoint may have too.
                    gateway.connections.close_idle_to(placement.address);
                }
                self.log_failure(placement, failure);
                Err(failure)
            }
        }
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

    /// Places and sends the request once; an error is a final refusal.
    async fn attempt<P: PlatformProtocol>(&mut self) -> Result<AttemptResult, Refusal> {
        self.check_shutdown()?;
        let (placement, guard) = self.place()?;
        let endpoint_response = match self.send::<P>(&placement, guard, None).await {
            Ok(endpoint_response) => endpoint_response,
            Err(failure) => return Ok(AttemptResult::Failed(failure)),
        };
        if endpoint_response.head.status.is_server_error() {
            endpoint_response
                .guard
                .observe_failure(AttemptFailure::EndpointError);
            self.log_failure(&placement, AttemptFailure::EndpointError);
            // Without a retry, the caller gets this response.
            let is_repeatable = self.call.route.kind.is_repeatable();
            if is_repeatable && self.note_failure(AttemptFailure::EndpointError).is_ok() {
                return Ok(AttemptResult::Retry);
            }
        }
        match self.finish_response::<P>(endpoint_response).await {
            Ok(answer) => Ok(AttemptResult::Final(answer)),
            Err(failure) => {
                self.log_failure(&placement, failure);
                Ok(AttemptResult::Failed(failure))
            }
        }
    }

    /// Returns the timeout for the head of a response, after which another endpoint is tried.
    fn attempt_timeout(&self) -> DurationMs {
        let remaining_ms = self.remaining_ms();
        let route = &self.call.route;
        let is_last = self.history.failed_attempts() + 1 >= route.attempts_max;
        if !route.kind.is_repeatable() || is_last {
            return remaining_ms;
        }
        let objective_ms = route.latency_objective_ms.0 as f64 * ATTEMPT_TIMEOUT_MULTIPLE;
        DurationMs(objective_ms as u64)
            .max(ATTEMPT_TIMEOUT_MIN)
            .min(remaining_ms)
    }

    async fn finish_response<P: PlatformProtocol>(
        &mut self,
        mut endpoint_response: EndpointResponse,
    ) -> Result<Answer, AttemptFailure> {
        let status = endpoint_response.head.status;
        if self.call.route.kind.is_stream() && status.is_success() {
            return Ok(Answer::Stream(Box::new(endpoint_response)));
        }
        let bytes = read_buffered(&mut endpoint_response)
            .await
            .inspect_err(|failure| {
                endpoint_response.guard.observe_failure(*failure);
            })?;
        if !status.is_server_error() {
            endpoint_response.guard.observe_success();
        }
        let mut response =
            Response::from_parts(endpoint_response.head, GatewayBody::buffered(bytes));
        strip_response_headers::<P>(&mut response);
        Ok(Answer::Complete(Box::new(response)))
    }
}

/// Builds a streaming response whose bytes are forwarded as they arrive.
pub(super) fn forward_stream<P: PlatformProtocol>(
    forward: &Forward,
    endpoint_response: EndpointResponse,
) -> Response<GatewayBody> {
    endpoint_response.guard.observe_success();
    let deadline = forward.gateway.timers.after(forward.remaining_ms());
    let source = BodySource::Endpoint {
        body: Box::new(endpoint_response.body),
        deadline: Box::pin(deadline),
        _guard: endpoint_response.guard,
    };
    let mut response = Response::from_parts(endpoint_response.head, GatewayBody::new(source));
    strip_response_headers::<P>(&mut response);
    response
}

/// Removes the headers that apply only to the endpoint's connection.
pub(super) fn strip_response_headers<P: PlatformProtocol>(response: &mut Response<GatewayBody>) {
    let headers = response.headers_mut();
    hop_by_hop::strip(headers);
    headers.remove(HeaderName::from_static("keep-alive"));
    headers.remove(header::CONTENT_LENGTH);
    P::strip_answer(headers);
}
