//! Runs one request: places it, sends it, and sends it again where that can do no harm.

use std::rc::Rc;

use celeryknot_callers::hop_by_hop;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Refusal};
use celeryknot_policy::direct::{PlacementRequest, SendFailure, SendHistory};
use futures_lite::future;
use http::{HeaderName, Response, header};
use smallvec::SmallVec;

use super::body::{GatewayBody, Source};
use super::call::Call;
use super::context::Gateway;
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
pub(super) struct Forward {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    history: SendHistory,
    tried: SmallVec<[EndpointName; 4]>,
    progress: SendProgress,
}

/// Runs a request to its answer's head, or to its refusal at the time when it is due.
pub(super) async fn run<B: Boundary>(
    gateway: &Rc<Gateway>,
    call: Call,
) -> Result<Response<GatewayBody>, Refusal> {
    gateway.observe_fresh(&call.service);
    let left_ms = call.ends_at - gateway.now();
    let mut forward = Forward {
        history: SendHistory::new(call.route.kind, call.route.attempts_max),
        gateway: Rc::clone(gateway),
        call: Rc::new(call),
        tried: SmallVec::new(),
        progress: SendProgress::default(),
    };
    let is_overdue = async {
        gateway.timers.after(left_ms).await;
        None
    };
    let answered = async { Some(forward.run_sends::<B>().await) };
    match future::or(answered, is_overdue).await {
        Some(result) => result,
        None => Err(Refusal::new(forward.overdue_kind())),
    }
}

impl Forward {
    /// Returns what is known of a request that has not been answered in time.
    fn overdue_kind(&self) -> ErrorKind {
        if self.history.may_have_run() || self.progress.is_handed.get() {
            return ErrorKind::AnswerTimeout;
        }
        ErrorKind::DeadlineUnreachable
    }

    async fn run_sends<B: Boundary>(&mut self) -> Result<Response<GatewayBody>, Refusal> {
        let mut last_failure = None;
        loop {
            let result = self.try_once::<B>().await;
            let failure = match result {
                Ok(response) => return Ok(response),
                Err(Stop::Refused(refusal)) => {
                    return Err(self.refuse(last_failure, refusal));
                }
                Err(Stop::Failed(failure)) => failure,
            };
            self.history.note(failure);
            self.progress.is_handed.set(false);
            last_failure = Some(failure);
            let left_ms = self.call.ends_at - self.gateway.now();
            let may_go_on = left_ms > TIME_LEFT_MIN && self.history.may_send_again();
            if !may_go_on || !self.gateway.try_take_retry(&self.call.service) {
                let refusal = Refusal::after(ErrorKind::NoEndpoint, RETRY_SOON);
                return Err(self.refuse(last_failure, refusal));
            }
        }
    }

    /// Words the final refusal: what may have been run is never called not run.
    fn refuse(&self, last_failure: Option<SendFailure>, otherwise: Refusal) -> Refusal {
        let Some(failure) = last_failure else {
            return otherwise;
        };
        if !self.history.may_have_run() {
            let is_unsent = failure == SendFailure::NotSent;
            let kind = match is_unsent {
                true => ErrorKind::ConnectFailed,
                false => ErrorKind::EndpointRefused,
            };
            return Refusal::after(kind, RETRY_SOON);
        }
        Refusal::new(match failure {
            SendFailure::Broken => ErrorKind::AnswerIncomplete,
            SendFailure::Mismatched => ErrorKind::AnswerMismatched,
            SendFailure::NotSent
            | SendFailure::Refused
            | SendFailure::Misdirected
            | SendFailure::Unanswered
            | SendFailure::EndpointError => ErrorKind::OutcomeUnknown,
        })
    }

    async fn try_once<B: Boundary>(&mut self) -> Result<Response<GatewayBody>, Stop> {
        let call = Rc::clone(&self.call);
        // The endpoints may have changed since the request came.
        drop(self.gateway.view());
        let request = PlacementRequest {
            shared_key: call.head.prompt.as_ref().and_then(|it| it.shared_key()),
            tried: &self.tried,
        };
        let placed = self.gateway.place(&call.service, &request);
        let (placement, started) = placed.map_err(Stop::Refused)?;
        tracing::info!(
            request_id = call.head.request_id,
            route = %call.route.name,
            customer = call.customer.as_ref().map(|name| name.as_str()),
            configuration = call.configuration_version,
            send = self.history.sends() + 1,
            endpoint = %placement.endpoint,
            reason = %placement.reason,
            load = placement.load,
            report_age_ms = placement.report_age_ms.map(|age| age.0),
            is_cold = placement.is_cold,
            fetch_from = placement.fetch_from.map(tracing::field::display),
            "request placed"
        );
        self.tried.push(placement.endpoint.clone());
        let gateway = Rc::clone(&self.gateway);
        let sent = send::<B>(&gateway, &call, &placement, started, &self.progress, None);
        let sent = within(&gateway, self.patience(), sent).await;
        let result = match sent {
            Ok(answered) => self.pass_on::<B>(answered).await,
            Err(failure) => Err(failure),
        };
        result.map_err(|failure| {
            tracing::info!(
                request_id = call.head.request_id,
                endpoint = %placement.endpoint,
                %failure,
                "send failed"
            );
            Stop::Failed(failure)
        })
    }

    /// Returns how long the head of an answer is waited for before another endpoint is asked.
    fn patience(&self) -> DurationMs {
        let left_ms = self.call.ends_at - self.gateway.now();
        let route = &self.call.route;
        let is_last = self.history.sends() + 1 >= route.attempts_max;
        if !route.kind.is_repeatable() || is_last {
            return left_ms;
        }
        let objective_ms = route.latency_objective_ms.0 as f64 * SILENT_OBJECTIVES;
        DurationMs(objective_ms as u64).max(SILENT_MIN).min(left_ms)
    }

    async fn pass_on<B: Boundary>(
        &mut self,
        mut answered: Answered,
    ) -> Result<Response<GatewayBody>, SendFailure> {
        let status = answered.head.status;
        let is_failure = status.is_server_error();
        let may_ask_another = self.call.route.kind.is_repeatable()
            && self.history.sends() + 1 < self.call.route.attempts_max;
        if is_failure {
            answered.started.observe_failure(SendFailure::EndpointError);
            if may_ask_another {
                return Err(SendFailure::EndpointError);
            }
        }
        if self.call.route.kind.is_stream() && status.is_success() {
            answered.started.observe_success();
            return Ok(resume::stream_answer::<B>(
                &self.gateway,
                &self.call,
                &self.history,
                &self.tried,
                answered,
            ));
        }
        let bytes = read_whole(&mut answered).await.inspect_err(|failure| {
            answered.started.observe_failure(*failure);
        })?;
        if !is_failure {
            answered.started.observe_success();
        }
        let mut response = Response::from_parts(answered.head, GatewayBody::whole(bytes));
        keep_answer::<B>(&mut response);
        Ok(response)
    }
}

/// Why a send did not lead to an answer.
enum Stop {
    /// No endpoint could be chosen.
    Refused(Refusal),
    /// The send failed.
    Failed(SendFailure),
}

/// Builds the answer of a stream whose bytes are passed on as they come.
pub(super) fn pass_stream<B: Boundary>(answered: Answered) -> Response<GatewayBody> {
    let source = Source::Endpoint {
        body: Box::new(answered.body),
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
    let keep_alive = HeaderName::from_static("keep-alive");
    headers.remove(keep_alive);
    headers.remove(header::CONTENT_LENGTH);
    B::strip_answer(headers);
}
