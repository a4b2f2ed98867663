//! Runs one request: places it, sends it, and sends it again where that can do no harm.

use std::rc::Rc;

use celeryknot_callers::hop_by_hop;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Refusal};
use celeryknot_policy::direct::{Placement, PlacementRequest, SendFailure, SendHistory};
use futures_lite::future;
use http::{HeaderName, Response, header};
use smallvec::SmallVec;

use super::body::{GatewayBody, Source};
use super::call::Call;
use super::context::{Started, TrafficThread};
use super::resume;
use super::send::{Answered, SendProgress, read_whole, send, within};
use crate::boundary::Boundary;

/// Time to come back after a refusal that another endpoint may lift at once.
const RETRY_SOON: DurationMs = DurationMs(250);

/// Least time that must be left for a further send.
const TIME_LEFT_MIN: DurationMs = DurationMs(20);

/// Multiple of the latency objective after which a silent endpoint is given up for another one.
const SILENT_OBJECTIVES: f64 = 1.0;

/// Shortest wait for the answer of an endpoint before another one is asked.
const SILENT_MIN: DurationMs = DurationMs(150);

/// The sends of one request.
#[derive(Debug)]
pub(super) struct Forward {
    pub(super) gateway: Rc<TrafficThread>,
    pub(super) call: Rc<Call>,
    history: SendHistory,
    tried: SmallVec<[EndpointName; 4]>,
    last_failure: Option<SendFailure>,
    progress: Rc<SendProgress>,
}

/// The answer that ends a request.
enum Answer {
    /// Whole.
    Whole(Box<Response<GatewayBody>>),
    /// The head of a stream.
    Stream(Box<Answered>),
}

/// What one send has led to.
enum Step {
    Answered(Answer),
    Failed(SendFailure),
    /// The failure has been counted already.
    SendAgain,
}

/// Runs a request to its answer's head, or to its refusal at the time when it is due.
pub(super) async fn run<B: Boundary>(
    gateway: &Rc<TrafficThread>,
    call: Call,
) -> Result<Response<GatewayBody>, Refusal> {
    gateway.observe_fresh(&call.service);
    let progress = Rc::new(SendProgress::default());
    let mut forward = Forward {
        history: SendHistory::new(call.route.kind, call.route.attempts_max),
        gateway: Rc::clone(gateway),
        call: Rc::new(call),
        tried: SmallVec::new(),
        last_failure: None,
        progress: Rc::clone(&progress),
    };
    let left_ms = forward.left_ms();
    let is_overdue = async {
        gateway.timers.after(left_ms).await;
        None
    };
    let answered = async { Some(forward.run_sends::<B>().await) };
    match future::or(answered, is_overdue).await {
        Some(Ok(Answer::Whole(response))) => Ok(*response),
        Some(Ok(Answer::Stream(answered))) => Ok(resume::stream_answer::<B>(forward, *answered)),
        Some(Err(refusal)) => Err(refusal),
        None => Err(Refusal::new(forward.overdue_kind())),
    }
}

impl Forward {
    pub(super) fn left_ms(&self) -> DurationMs {
        self.call.ends_at - self.gateway.now()
    }

    /// Returns what is known of a request that has not been answered in time.
    fn overdue_kind(&self) -> ErrorKind {
        if self.history.may_have_run() || self.progress.is_handed.get() {
            return ErrorKind::AnswerTimeout;
        }
        ErrorKind::DeadlineUnreachable
    }

    async fn run_sends<B: Boundary>(&mut self) -> Result<Answer, Refusal> {
        loop {
            match self.try_once::<B>().await? {
                Step::Answered(answer) => return Ok(answer),
                Step::Failed(failure) => self.note_failure(failure)?,
                Step::SendAgain => {}
            }
        }
    }

    /// Takes a broken stream up at another endpoint, behind the last event that was passed on.
    pub(super) async fn go_on<B: Boundary>(
        &mut self,
        failure: SendFailure,
        last_event_id: Option<String>,
    ) -> Result<Answered, Refusal> {
        let mut failure = failure;
        loop {
            self.note_failure(failure)?;
            let (placement, started) = self.place()?;
            let last_event_id = last_event_id.as_deref();
            let sent = self.send::<B>(&placement, started, last_event_id).await;
            failure = match sent {
                Ok(answered) if answered.head.status.is_success() => return Ok(answered),
                Ok(answered) => {
                    answered.started.observe_failure(SendFailure::EndpointError);
                    SendFailure::EndpointError
                }
                Err(failure) => failure,
            };
        }
    }

    /// Counts a failed send; refuses the request where it must not be sent again.
    fn note_failure(&mut self, failure: SendFailure) -> Result<(), Refusal> {
        self.history.note(failure);
        self.last_failure = Some(failure);
        self.progress.is_handed.set(false);
        let may_go_on = self.left_ms() > TIME_LEFT_MIN && self.history.may_send_again();
        if may_go_on {
            if self.gateway.try_take_retry(&self.call.service) {
                return Ok(());
            }
            self.gateway.shared.metrics.sends_denied.inc();
            tracing::info!(
                request_id = self.call.head.request_id,
                "the retry budget allows no further send"
            );
        }
        Err(self.refuse(failure))
    }

    /// Words the final refusal: what may have been run is never called not run.
    fn refuse(&self, failure: SendFailure) -> Refusal {
        if !self.history.may_have_run() {
            let kind = match failure == SendFailure::NotSent {
                true => ErrorKind::ConnectFailed,
                false => ErrorKind::EndpointRefused,
            };
            return Refusal::after(kind, RETRY_SOON);
        }
        Refusal::new(match failure {
            SendFailure::Unanswered if self.left_ms() <= TIME_LEFT_MIN => ErrorKind::AnswerTimeout,
            SendFailure::Broken => ErrorKind::AnswerIncomplete,
            SendFailure::Mismatched => ErrorKind::AnswerMismatched,
            SendFailure::NotSent
            | SendFailure::Refused
            | SendFailure::Misdirected
            | SendFailure::Unanswered
            | SendFailure::EndpointError => ErrorKind::OutcomeUnknown,
        })
    }

    /// Picks the endpoint of the next send.
    fn place(&mut self) -> Result<(Placement, Started), Refusal> {
        let call = &self.call;
        // The endpoints may have changed since the request came.
        drop(self.gateway.view());
        let shared = call.head.prompt.as_ref().and_then(|it| it.shared_parts());
        let request = PlacementRequest {
            shared,
            draw: rand::random(),
            allowed_zones: call.allowed_zones.as_deref(),
            tried: &self.tried,
        };
        let placed = self.gateway.place(&call.service, &request);
        let (placement, started) = placed.map_err(|refusal| match self.last_failure {
            Some(failure) => self.refuse(failure),
            None => refusal,
        })?;
        tracing::info!(
            request_id = call.head.request_id,
            route = %call.route.name,
            customer = call.customer.as_ref().map(|name| name.as_str()),
            configuration = call.configuration_version,
            send = self.history.sends() + 1,
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
        Ok((placement, started))
    }

    async fn send<B: Boundary>(
        &self,
        placement: &Placement,
        started: Started,
        last_event_id: Option<&str>,
    ) -> Result<Answered, SendFailure> {
        let (gateway, call) = (&self.gateway, &self.call);
        let sent = send::<B>(
            gateway,
            call,
            placement,
            &started,
            &self.progress,
            last_event_id,
        );
        match within(gateway, self.patience(), sent).await {
            Ok((head, body)) => Ok(Answered {
                head,
                body,
                started,
            }),
            Err(failure) => {
                started.observe_failure(failure);
                if failure == SendFailure::Unanswered {
                    // What one connection lost, the others to the endpoint may have lost too.
                    gateway.connections.close_idle_to(placement.address);
                }
                self.log_failure(placement, failure);
                Err(failure)
            }
        }
    }

    fn log_failure(&self, placement: &Placement, failure: SendFailure) {
        self.gateway.shared.metrics.send_failed(failure.into());
        tracing::info!(
            request_id = self.call.head.request_id,
            endpoint = %placement.endpoint,
            %failure,
            "send failed"
        );
    }

    /// Places and sends the request once; an error is final.
    async fn try_once<B: Boundary>(&mut self) -> Result<Step, Refusal> {
        let (placement, started) = self.place()?;
        let answered = match self.send::<B>(&placement, started, None).await {
            Ok(answered) => answered,
            Err(failure) => return Ok(Step::Failed(failure)),
        };
        if answered.head.status.is_server_error() {
            answered.started.observe_failure(SendFailure::EndpointError);
            self.log_failure(&placement, SendFailure::EndpointError);
            // Where no other endpoint may be asked, the caller gets the answer that there is.
            let is_repeatable = self.call.route.kind.is_repeatable();
            if is_repeatable && self.note_failure(SendFailure::EndpointError).is_ok() {
                return Ok(Step::SendAgain);
            }
        }
        match self.take_answer::<B>(answered).await {
            Ok(answer) => Ok(Step::Answered(answer)),
            Err(failure) => {
                self.log_failure(&placement, failure);
                Ok(Step::Failed(failure))
            }
        }
    }

    /// Returns how long the head of an answer is waited for before another endpoint is asked.
    fn patience(&self) -> DurationMs {
        let left_ms = self.left_ms();
        let route = &self.call.route;
        let is_last = self.history.sends() + 1 >= route.attempts_max;
        if !route.kind.is_repeatable() || is_last {
            return left_ms;
        }
        let objective_ms = route.latency_objective_ms.0 as f64 * SILENT_OBJECTIVES;
        DurationMs(objective_ms as u64).max(SILENT_MIN).min(left_ms)
    }

    async fn take_answer<B: Boundary>(
        &mut self,
        mut answered: Answered,
    ) -> Result<Answer, SendFailure> {
        let status = answered.head.status;
        if self.call.route.kind.is_stream() && status.is_success() {
            return Ok(Answer::Stream(Box::new(answered)));
        }
        let bytes = read_whole(&mut answered).await.inspect_err(|failure| {
            answered.started.observe_failure(*failure);
        })?;
        if !status.is_server_error() {
            answered.started.observe_success();
        }
        let mut response = Response::from_parts(answered.head, GatewayBody::whole(bytes));
        keep_answer::<B>(&mut response);
        Ok(Answer::Whole(Box::new(response)))
    }
}

/// Builds the answer of a stream whose bytes are passed on as they come.
pub(super) fn pass_stream<B: Boundary>(
    forward: &Forward,
    answered: Answered,
) -> Response<GatewayBody> {
    answered.started.observe_success();
    let overdue = forward.gateway.timers.after(forward.left_ms());
    let source = Source::Endpoint {
        body: Box::new(answered.body),
        overdue: Box::pin(overdue),
        _started: answered.started,
    };
    let mut response = Response::from_parts(answered.head, GatewayBody::new(source));
    keep_answer::<B>(&mut response);
    response
}

/// Removes what concerns the endpoint's connection only.
pub(super) fn keep_answer<B: Boundary>(response: &mut Response<GatewayBody>) {
    let headers = response.headers_mut();
    hop_by_hop::strip(headers);
    headers.remove(HeaderName::from_static("keep-alive"));
    headers.remove(header::CONTENT_LENGTH);
    B::strip_answer(headers);
}
