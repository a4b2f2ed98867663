//! Runs an attempt at an endpoint: admission, call, response.

use std::cell::Cell;
use std::rc::Rc;

use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::{DurationMs, ErrorKind, Execution, MonotonicMs, Refusal, header};
use celeryknot_endpoints::load::parse_load_report;
use celeryknot_endpoints::rate_limit::read_rate_limit;
use celeryknot_endpoints::{
    BodyFraming, Call, CallFailure, CallTimeouts, EndpointResponse, RateLimitField, Reuse,
};
use celeryknot_fleet::{MemberState, MemberView};
use celeryknot_gateway::rate_log::log_malformed_rate;
use celeryknot_policy::admission::{FinishOutcome, FinishStatus};
use celeryknot_policy::attempt::CallSafety;
use celeryknot_policy::rate_limit::RateStatement;
use http::header::HOST;
use http::response;
use smallvec::SmallVec;

use super::body::{AnswerSource, DaemonBody, EndpointBody, PeerBody};
use super::context::ThreadContext;
use super::failure::Failure;
use super::hop;
use super::load_poll::to_reported_load;
use super::peer_connection;
use super::permit::Permit;
use super::requests::{EndpointAttempt, header_value};
use crate::snapshot::EndpointSnapshot;

/// Timeout for a connection to an endpoint.
const CONNECT_TIMEOUT: DurationMs = DurationMs(1_000);

/// Limits the idle time of a connection that an idempotent request reuses.
const IDEMPOTENT_IDLE_MAX: DurationMs = DurationMs(1_000);

/// Limits the idle time of a connection that a chat completion reuses.
///
/// The first token may legitimately take long, so that a dead connection would be detected late;
/// one that was used just now is most likely alive.
const CHAT_IDLE_MAX: DurationMs = DurationMs(100);

/// Idle timeout of a token stream that can be resumed at another endpoint.
const STREAM_IDLE_TIMEOUT: DurationMs = DurationMs(2_000);

/// Maximum number of peers that are asked to send an attempt.
const HOP_PEERS_MAX: usize = 3;

/// Response whose head has been received.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) body: DaemonBody,
}

/// Runs the attempt; calls `may_send` directly before the first byte.
///
/// # Errors
///
/// The refusal, whose kind shows whether the request was run.
pub(crate) async fn run<M>(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    may_send: M,
) -> Result<Answer, Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let endpoint = find_endpoint(context, attempt)?;
    context
        .check_may_send(attempt.deadline_at)
        .map_err(Refusal::new)?;
    let queued_at = context.now();
    let request = attempt.admission_request();
    let shared = &context.shared;
    let mut permit = Permit::acquire(shared, &endpoint.name, &attempt.service, request).await?;
    let sent_at = context.now();
    context
        .service_states
        .borrow_mut()
        .record_wait(shared, &attempt.service, sent_at - queued_at);
    let check = || {
        context.check_may_send(attempt.deadline_at)?;
        find_endpoint(context, attempt).map_err(|refusal| refusal.kind)?;
        may_send()
    };
    let is_limited = permit.is_rate_limited();
    match send(context, attempt, &endpoint, is_limited, &check).await {
        Ok(answer) => {
            report_rate(context, attempt, &permit, sent_at, answer.rate_limit);
            Ok(build_answer(context, answer, Some(permit), sent_at))
        }
        Err(failure) if failure.kind == ErrorKind::ConnectFailed => {
            run_through_peers(context, attempt, permit, sent_at, &check).await
        }
        Err(failure) => {
            if let Some(rate_limit) = failure.rate_limit {
                report_rate(context, attempt, &permit, sent_at, rate_limit);
            }
            permit.set_outcome(FinishOutcome::new(
                Failure::from(failure.kind).finish_status(),
            ));
            if let Some(load) = failure.load {
                permit.set_load(to_reported_load(load));
            }
            Err(to_refusal(failure))
        }
    }
}

/// Runs an attempt that the endpoint's owner has admitted and can't send.
///
/// # Errors
///
/// The refusal, whose kind shows whether the request was run.
pub(crate) async fn run_for_owner(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
) -> Result<Answer, Refusal> {
    let endpoint = find_endpoint(context, attempt)?;
    let check = || context.check_may_send(attempt.deadline_at);
    let sent_at = context.now();
    // The owner may have been told of a rate limit that this daemon doesn't know.
    let sent = send(context, attempt, &endpoint, true, &check).await;
    match sent {
        Ok(answer) => Ok(build_answer(context, answer, None, sent_at)),
        Err(failure) => Err(to_refusal(failure)),
    }
}

/// Sends the request to the endpoint, unless the last connection to it could not be opened and a poll
/// has found out nothing else since.
async fn send(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    endpoint: &EndpointSnapshot,
    is_rate_limited: bool,
    check: &impl Fn() -> Result<(), ErrorKind>,
) -> Result<EndpointResponse, CallFailure> {
    let address = endpoint.address;
    let is_own = endpoint.owner.as_ref() == Some(&context.shared.settings.name);
    // Owners poll their endpoints; at others, a request now and then finds out.
    let may_try = match is_own {
        true => !context.paths.borrow().is_broken(address),
        false => {
            let mut paths = context.paths.borrow_mut();
            paths.may_try(context.now(), address)
        }
    };
    if !may_try {
        return Err(ErrorKind::ConnectFailed.into());
    }
    let call = build_call(context, attempt, endpoint, is_rate_limited)
        .map_err(|refusal| CallFailure::from(refusal.kind))?;
    let sent = match call.send(&context.connections, address, check).await {
        Ok(answer) => check_beginning(answer).await,
        Err(failure) => Err(failure),
    };
    match &sent {
        Ok(_) => context.record_connection(address, true),
        Err(failure) if failure.kind == ErrorKind::ConnectFailed => {
            context.record_connection(address, false);
        }
        Err(_) => {}
    }
    sent
}

/// Has peers send the request, one after the other, until one can.
async fn run_through_peers(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    mut permit: Permit,
    sent_at: MonotonicMs,
    check: &impl Fn() -> Result<(), ErrorKind>,
) -> Result<Answer, Refusal> {
    let mut refusal = Refusal::new(ErrorKind::ConnectFailed);
    let was_checked = Cell::new(false);
    // The first check starts the send; a peer that refuses the attempt has sent nothing.
    let check_once = || match was_checked.replace(true) {
        true => context.check_may_send(attempt.deadline_at),
        false => check(),
    };
    for peer in hop_peers(context) {
        let forwarded = peer_connection::forward_attempt(
            context,
            &peer.name,
            peer.forwards_address,
            attempt,
            check_once,
        )
        .await;
        match forwarded {
            Ok((head, body)) => {
                return Ok(build_peer_answer(
                    context, attempt, head, body, permit, sent_at,
                ));
            }
            Err(failed) => refusal = failed,
        }
        // Others may reach the endpoint, or know the service.
        let may_ask_another = matches!(
            refusal.kind,
            ErrorKind::ConnectFailed
                | ErrorKind::NotOwner
                | ErrorKind::NotReady
                | ErrorKind::Draining
                | ErrorKind::UnknownService
                | ErrorKind::MalformedRequest
        );
        if !may_ask_another {
            break;
        }
        refusal = Refusal::new(ErrorKind::ConnectFailed);
    }
    permit.set_outcome(FinishOutcome::new(
        Failure::from(refusal.kind).finish_status(),
    ));
    Err(refusal)
}

/// Returns the peers to ask, in order: those of the own zone first, at random otherwise.
fn hop_peers(context: &Rc<ThreadContext>) -> SmallVec<[MemberView; HOP_PEERS_MAX]> {
    let snapshot = context.snapshot();
    let mut peers: Vec<(bool, u64, &MemberView)> = snapshot
        .members
        .values()
        .filter(|peer| peer.name != snapshot.own_name && peer.state == MemberState::Alive)
        .map(|peer| (peer.zone != snapshot.own_zone, rand::random(), peer))
        .collect();
    peers.sort_unstable_by_key(|(is_other_zone, draw, _)| (*is_other_zone, *draw));
    let peers = peers.into_iter().take(HOP_PEERS_MAX);
    peers.map(|(_, _, peer)| peer.clone()).collect()
}

fn build_peer_answer(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    mut head: response::Parts,
    body: PeerBody,
    mut permit: Permit,
    sent_at: MonotonicMs,
) -> Answer {
    let rate_limit = read_rate_limit(&head.headers, header::RATE_LIMIT);
    report_rate(context, attempt, &permit, sent_at, rate_limit);
    if let Some(load) = parse_load_report(&head.headers) {
        permit.set_load(to_reported_load(load));
    }
    hop::strip_answer(&mut head.headers);
    let status = complete_status(&head);
    let body = EndpointBody::new(body, Some(permit), context.shared.clock, sent_at, status);
    Answer {
        head,
        body: DaemonBody::new(AnswerSource::Hop(Box::new(body))),
    }
}

/// Returns the status of a complete response: a server error is evidence against the endpoint.
fn complete_status(head: &response::Parts) -> FinishStatus {
    match head.status.is_server_error() {
        true => FinishStatus::Failed,
        false => FinishStatus::Succeeded,
    }
}

/// Refuses a response whose body can't be read from its first byte.
async fn check_beginning(mut answer: EndpointResponse) -> Result<EndpointResponse, CallFailure> {
    match answer.body.check_beginning().await {
        Ok(()) => Ok(answer),
        Err(error) => Err(CallFailure {
            load: answer.load,
            rate_limit: Some(answer.rate_limit),
            ..CallFailure::from(error.0)
        }),
    }
}

/// Reports what a response states about its endpoint's rate limit to the endpoint's admission.
fn report_rate(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    permit: &Permit,
    sent_at: MonotonicMs,
    rate_limit: RateLimitField,
) {
    let rate = match rate_limit {
        RateLimitField::Absent => None,
        RateLimitField::Limit(rate) => Some(rate),
        RateLimitField::Malformed => {
            context.shared.metrics.traffic.rate_limits_malformed.inc();
            log_malformed_rate(&attempt.endpoint, &attempt.id.to_string());
            return;
        }
    };
    permit.report_rate(RateStatement {
        rate,
        sent_at,
        arrived_at: context.now(),
    });
}

/// Finds the endpoint in the current snapshot.
fn find_endpoint(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
) -> Result<EndpointSnapshot, Refusal> {
    let snapshot = context.snapshot();
    let key = (attempt.service.team.clone(), attempt.service.name.clone());
    let endpoint = snapshot
        .services
        .get(&key)
        .and_then(|service| {
            service
                .endpoints
                .iter()
                .find(|listed| listed.name == attempt.endpoint)
        })
        .ok_or(Refusal::new(ErrorKind::NotOwner))?;
    if !endpoint.accepts_requests {
        return Err(Refusal::new(ErrorKind::NoEndpoint));
    }
    Ok(endpoint.clone())
}

fn build_call(
    context: &Rc<ThreadContext>,
    attempt: &EndpointAttempt,
    endpoint: &EndpointSnapshot,
    is_rate_limited: bool,
) -> Result<Call, Refusal> {
    let settings = &attempt.service.settings;
    let mut request = attempt
        .request(&attempt.path_and_query)
        .ok_or(Refusal::new(ErrorKind::MalformedRequest))?;
    request
        .headers_mut()
        .insert(HOST, header_value(&endpoint.address));
    let left_ms = attempt
        .deadline_at
        .map_or(settings.first_byte_timeout_ms, |at| at - context.now());
    Ok(Call {
        request,
        request_id: Some(attempt.id),
        requires_echo: settings.echoes_request_id,
        // A call on an open connection may be sent again on a new one, without a permit.
        reuse: match is_rate_limited {
            true => Reuse::Never,
            false => connection_reuse(attempt),
        },
        answer_size_max: settings.answer_size_max_bytes,
        timeouts: CallTimeouts {
            connect_ms: CONNECT_TIMEOUT,
            first_byte_ms: settings.first_byte_timeout_ms.min(left_ms),
            idle_ms: idle_timeout(attempt),
        },
    })
}

/// Returns the idle timeout of the response.
///
/// If there is another endpoint, it is short enough that a stalled stream resumes there before
/// the caller gives up.
fn idle_timeout(attempt: &EndpointAttempt) -> DurationMs {
    let idle_ms = attempt.service.settings.idle_timeout_ms;
    let endpoints = &attempt.service.endpoints;
    let others = endpoints
        .iter()
        .filter(|listed| listed.accepts_requests && listed.name != attempt.endpoint)
        .count();
    if attempt.is_chat && !attempt.needs_complete_answer && others > 0 {
        return idle_ms.min(STREAM_IDLE_TIMEOUT);
    }
    idle_ms
}

fn connection_reuse(attempt: &EndpointAttempt) -> Reuse {
    match attempt.safety {
        CallSafety::NonIdempotent => Reuse::Never,
        CallSafety::Idempotent if attempt.is_chat => Reuse::IdleUnder(CHAT_IDLE_MAX),
        CallSafety::Idempotent => Reuse::Hedged(IDEMPOTENT_IDLE_MAX),
    }
}

fn build_answer(
    context: &Rc<ThreadContext>,
    answer: EndpointResponse,
    mut permit: Option<Permit>,
    sent_at: MonotonicMs,
) -> Answer {
    if let (Some(permit), Some(load)) = (&mut permit, answer.load) {
        permit.set_load(to_reported_load(load));
    }
    let clock = context.shared.clock;
    let complete_status = complete_status(&answer.head);
    let mut head = answer.head;
    if answer.body.framing() == BodyFraming::CloseDelimited {
        head.extensions.insert(UnverifiedEnd);
    }
    let body = EndpointBody::new(answer.body, permit, clock, sent_at, complete_status);
    Answer {
        head,
        body: DaemonBody::new(AnswerSource::Endpoint(Box::new(body))),
    }
}

fn to_refusal(failure: CallFailure) -> Refusal {
    match failure.retry_after_ms {
        Some(after) if failure.kind.answer().execution == Execution::NotRun => {
            Refusal::with_retry_after(failure.kind, after)
        }
        Some(_) | None => Refusal::new(failure.kind),
    }
}
