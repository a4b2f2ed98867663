//! Serves callers: checks requests, runs them, and turns refusals into problem responses.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use celeryknot_callers::CallerRequest;
use celeryknot_callers::problem::problem_response;
use celeryknot_callers::request::{CHAT_COMPLETIONS_PATH, Target, retain_end_to_end_headers};
use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_callers::token::has_token;
use celeryknot_core::{EndpointName, ErrorKind, Refusal, RequestId, ServiceName};
use celeryknot_operators::metrics::RequestKind;
use celeryknot_policy::attempt::CallSafety;
use celeryknot_settings::{ServiceKind, ServiceSettings};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::DaemonBody;
use super::body_read::read_bounded;
use super::chat;
use super::context::ThreadContext;
use super::dispatch::{Dispatch, PlacedAnswer};
use super::hop;
use super::owner::Answer;
use super::requests::ValidatedRequest;
use super::shared::{CountGuard, random_request_id};
use super::stream;
use super::ticketed;
use crate::snapshot::{CustomerSnapshot, ServiceSnapshot, Snapshot};

/// Serves one request of a caller.
pub(crate) async fn serve_caller(
    context: Rc<ThreadContext>,
    request: Request<Incoming>,
) -> Result<Response<DaemonBody>, Infallible> {
    let in_flight = CountGuard::new(&context.shared.in_flight);
    let id = random_request_id();
    let version = request.version();
    let (head, body) = request.into_parts();
    let mut answer = match answer_request(&context, id, head, body).await {
        Ok(answer) => answer,
        Err(refusal) => {
            context.shared.metrics.traffic.refused(refusal.kind);
            problem_response(refusal, id).map(DaemonBody::buffered)
        }
    };
    *answer.version_mut() = version;
    if version != Version::HTTP_2 && context.shared.is_draining() {
        // Closes the connection, so that the caller's next one goes to another daemon.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    Ok(answer.map(|body| body.with_in_flight(in_flight)))
}

async fn answer_request(
    context: &Rc<ThreadContext>,
    id: RequestId,
    head: Parts,
    body: Incoming,
) -> Result<Response<DaemonBody>, Refusal> {
    let snapshot = context.snapshot();
    let request = CallerRequest::parse(&head).map_err(Refusal::new)?;
    let key = request.idempotency_key.as_deref();
    let has_ticket = key.is_some_and(|key| ticketed::is_ticket(context, key));
    let refuse = |kind| match has_ticket {
        true => ticketed::without_registry_lookup(Refusal::new(kind)),
        false => Refusal::new(kind),
    };
    if !snapshot.is_ready {
        return Err(refuse(ErrorKind::NotReady));
    }
    let customer = find_customer(&snapshot, &request, &head).map_err(Refusal::new)?;
    match &request.target {
        Target::Tickets { service, count } => {
            find_service(&snapshot, &customer, service).map_err(Refusal::new)?;
            Box::pin(ticketed::issue(context, &request, service, *count)).await
        }
        Target::Service {
            service,
            path_and_query,
        } => {
            let service = find_service(&snapshot, &customer, service).map_err(Refusal::new)?;
            let path = path_and_query.clone();
            let validated =
                validate_request(context, id, &request, head, body, service, &customer, path)
                    .await
                    .map_err(refuse)?;
            run_validated(context, &request, validated).await
        }
    }
}

fn find_customer(
    snapshot: &Snapshot,
    request: &CallerRequest,
    head: &Parts,
) -> Result<Arc<CustomerSnapshot>, ErrorKind> {
    let customer = snapshot
        .customers
        .get(&request.customer)
        .ok_or(ErrorKind::UnknownCustomer)?;
    let token = customer.settings.token_sha256.as_deref();
    if token.is_some_and(|sha256| !has_token(&head.headers, sha256)) {
        return Err(ErrorKind::UnknownCustomer);
    }
    Ok(Arc::clone(customer))
}

fn find_service(
    snapshot: &Snapshot,
    customer: &CustomerSnapshot,
    service: &ServiceName,
) -> Result<Arc<ServiceSnapshot>, ErrorKind> {
    snapshot
        .services
        .get(&(customer.team.clone(), service.clone()))
        .cloned()
        .ok_or(ErrorKind::UnknownService)
}

#[expect(
    clippy::too_many_arguments,
    reason = "each part comes from its own check"
)]
async fn validate_request(
    context: &Rc<ThreadContext>,
    id: RequestId,
    request: &CallerRequest,
    head: Parts,
    body: Incoming,
    service: Arc<ServiceSnapshot>,
    customer: &CustomerSnapshot,
    path_and_query: String,
) -> Result<ValidatedRequest, ErrorKind> {
    check_path(&service.settings, request, &path_and_query)?;
    let now = context.now();
    let size_max = service.settings.request_size_max_bytes;
    let (body, body_reservation) = read_bounded(context, body, size_max).await?;
    let chat = match service.settings.kind {
        ServiceKind::Model => Some(chat::read_chat(context, request, &service, &body)?),
        ServiceKind::Plain => None,
    };
    let mut headers = head.headers;
    retain_end_to_end_headers(&mut headers);
    Ok(ValidatedRequest {
        id,
        customer: request.customer.clone(),
        weight: customer.settings.share_weight,
        urgency: request.urgency,
        deadline_at: request.deadline_ms.map(|left_ms| now + left_ms),
        safety: call_safety(&service.settings, &request.method, &path_and_query),
        method: request.method.clone(),
        path_and_query,
        headers,
        body,
        _body_reservation: body_reservation,
        chat,
        service,
    })
}

fn check_path(
    settings: &ServiceSettings,
    request: &CallerRequest,
    path_and_query: &str,
) -> Result<(), ErrorKind> {
    if request.method == Method::CONNECT {
        return Err(ErrorKind::MethodNotAllowed);
    }
    match settings.kind {
        ServiceKind::Plain => Ok(()),
        ServiceKind::Model if path_and_query != CHAT_COMPLETIONS_PATH => {
            Err(ErrorKind::MethodNotAllowed)
        }
        ServiceKind::Model if request.method != Method::POST => Err(ErrorKind::MethodNotAllowed),
        ServiceKind::Model if request.chat.is_none() => Err(ErrorKind::MissingChat),
        ServiceKind::Model => Ok(()),
    }
}

/// Returns whether a call may be run more than once.
pub(crate) fn call_safety(
    settings: &ServiceSettings,
    method: &Method,
    path_and_query: &str,
) -> CallSafety {
    let path = path_and_query.split('?').next().unwrap_or_default();
    let is_safe_method = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
    let has_rule = settings
        .idempotent_routes
        .iter()
        .any(|rule| method.as_str() == rule.method && path.starts_with(&rule.path_prefix));
    if settings.kind == ServiceKind::Model || is_safe_method || has_rule {
        return CallSafety::Idempotent;
    }
    CallSafety::NonIdempotent
}

async fn run_validated(
    context: &Rc<ThreadContext>,
    request: &CallerRequest,
    validated: ValidatedRequest,
) -> Result<Response<DaemonBody>, Refusal> {
    let kind = request_kind(&validated);
    let now = context.now();
    {
        let mut service_states = context.service_states.borrow_mut();
        let service_state = service_states.get_or_create(&context.shared, &validated.service);
        service_state.budget.observe_first_attempt(now);
        service_state.metrics.count_request(kind);
    }
    if validated.safety == CallSafety::NonIdempotent {
        let key = request.idempotency_key.as_deref();
        if key.is_some() || validated.service.settings.requires_ticket {
            let answer = Box::pin(ticketed::run_with_key(context, validated, key)).await?;
            return Ok(into_caller_response(answer));
        }
    }
    let validated = Rc::new(validated);
    let dispatch = Dispatch::new(Rc::clone(context), Rc::clone(&validated));
    dispatch.check_crashes()?;
    run_dispatch(context, dispatch, &validated).await
}

fn request_kind(validated: &ValidatedRequest) -> RequestKind {
    match (validated.safety, validated.chat.is_some()) {
        (CallSafety::Idempotent, true) => RequestKind::Chat,
        (CallSafety::Idempotent, false) => RequestKind::Idempotent,
        (CallSafety::NonIdempotent, _) => RequestKind::NonIdempotent,
    }
}

async fn run_dispatch(
    context: &Rc<ThreadContext>,
    dispatch: Dispatch,
    validated: &Rc<ValidatedRequest>,
) -> Result<Response<DaemonBody>, Refusal> {
    let started_at = context.now();
    loop {
        let mut placed = dispatch.next_answer(None).await?;
        let endpoint = placed.endpoint.clone();
        {
            let mut service_states = context.service_states.borrow_mut();
            let service_state = service_states.get_or_create(&context.shared, &validated.service);
            service_state.record_head_latency(context.now() - started_at);
        }
        let asks_stream = validated.chat.as_ref().is_some_and(|chat| chat.is_stream);
        if asks_stream && stream::is_stream(&placed.answer.head) {
            let mut head = placed.answer.head.clone();
            head.headers.remove(CONTENT_LENGTH);
            // The relay ends the stream only after its last event.
            head.extensions.remove::<UnverifiedEnd>();
            let body = stream::relay(context, dispatch, placed);
            let answer = Answer { head, body };
            return Ok(finish_answer(context, validated, &endpoint, answer));
        }
        if !placed.answer.body.is_small() {
            dispatch.record_sound_answer(&endpoint);
            return Ok(finish_answer(context, validated, &endpoint, placed.answer));
        }
        if let Some(answer) = buffer_answer(&dispatch, &mut placed).await? {
            return Ok(finish_answer(context, validated, &endpoint, answer));
        }
    }
}

/// Reads a response completely; returns `None` if it broke and may be retried.
async fn buffer_answer(
    dispatch: &Dispatch,
    placed: &mut PlacedAnswer,
) -> Result<Option<Answer>, Refusal> {
    let body = std::mem::replace(&mut placed.answer.body, DaemonBody::buffered(Bytes::new()));
    match body.collect().await {
        Ok(collected) => {
            let bytes = collected.to_bytes();
            dispatch.record_complete(placed.attempt);
            // A service that answers with an error has not crashed.
            if placed.answer.head.status.is_success() || !dispatch.is_chat() {
                dispatch.record_sound_answer(&placed.endpoint);
            }
            if dispatch.is_chat()
                && let Some(usage) = chat::read_usage(&bytes)
            {
                dispatch.record_chat_usage(&placed.endpoint, usage);
            }
            Ok(Some(Answer {
                head: placed.answer.head.clone(),
                body: DaemonBody::buffered(bytes),
            }))
        }
        Err(error) => {
            dispatch
                .record_broken_answer(placed.attempt, &placed.endpoint, error.0, true)
                .await?;
            Ok(None)
        }
    }
}

fn finish_answer(
    context: &ThreadContext,
    validated: &ValidatedRequest,
    endpoint: &EndpointName,
    mut answer: Answer,
) -> Response<DaemonBody> {
    let mut service_states = context.service_states.borrow_mut();
    service_states
        .get_or_create(&context.shared, &validated.service)
        .metrics
        .answers
        .inc();
    let head: &mut response::Parts = &mut answer.head;
    hop::strip_answer(&mut head.headers);
    chat::write_affinity(context, validated, endpoint, &mut head.headers);
    Response::from_parts(answer.head, answer.body)
}

fn into_caller_response(mut answer: Answer) -> Response<DaemonBody> {
    hop::strip_answer(&mut answer.head.headers);
    Response::from_parts(answer.head, answer.body)
}
