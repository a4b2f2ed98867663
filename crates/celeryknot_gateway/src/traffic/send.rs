//! One attempt to send a request to an endpoint, up to the head of its response.

use std::cell::Cell;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, SizeBytes, SoftwareVersion};
use celeryknot_endpoints::{
    AnswerBody, EndpointConnection, ExchangeError, IdleTimeout, PoolEntry, RateLimitField,
    ReceivedBody, exchange,
};
use celeryknot_policy::direct::{AttemptFailure, Placement};
use futures_lite::future;
use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::call::Call;
use super::context::{InFlightGuard, TrafficThread};
use super::crash_watch::AnswerWatch;
use crate::platform_protocol::{AnswerHead, PauseField, PlatformProtocol};
use crate::rate_log::log_malformed_rate;

/// Timeout for opening a connection to an endpoint.
///
/// Many times the latency between two zones; after a lost packet, another endpoint is tried.
const CONNECT_TIMEOUT: DurationMs = DurationMs(400);

/// Longest idle time of a connection reused for a request that must not run twice.
///
/// If the endpoint closes the idle connection at that moment, the outcome is unknown.
const IDLE_MAX_NON_IDEMPOTENT: DurationMs = DurationMs(5_000);

/// Longest idle time of a connection reused for other requests.
const IDLE_MAX: DurationMs = DurationMs(10_000);

/// Time by which connections are retired before the endpoint's own idle timeout.
const KEEP_ALIVE_MARGIN: DurationMs = DurationMs(300);

/// Maximum size of a response body.
const ANSWER_SIZE_MAX: SizeBytes = SizeBytes(64 << 20);

/// Maximum size of a non-streaming response body, which is buffered before it is forwarded.
const BUFFERED_SIZE_MAX: SizeBytes = SizeBytes(256 << 10);

/// A response whose head has arrived.
#[derive(Debug)]
pub(super) struct EndpointResponse {
    pub(super) head: response::Parts,
    pub(super) body: AnswerBody,
    pub(super) guard: InFlightGuard,
    pub(super) watch: AnswerWatch,
    /// The version of the endpoint's software, as listed when the request was placed.
    pub(super) version: SoftwareVersion,
}

/// The progress of an attempt, for classifying it when it is abandoned.
#[derive(Debug, Default)]
pub(super) struct AttemptProgress {
    /// Whether bytes of the request may have reached an endpoint.
    pub(super) may_have_been_sent: Cell<bool>,
}

/// Sends a request and waits for the head of its response.
///
/// Dropping the future closes the connection, which cancels the request at the endpoint.
pub(super) async fn send<P: PlatformProtocol>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    guard: &InFlightGuard,
    connection: Option<EndpointConnection>,
    progress: &AttemptProgress,
    last_event_id: Option<&str>,
) -> Result<(response::Parts, AnswerBody), AttemptFailure> {
    let connection = match connection {
        Some(connection) => connection,
        None => connect(gateway, call, placement).await?,
    };
    let sent_at = gateway.now();
    let (connection, answer) = try_send::<P>(
        gateway,
        call,
        placement,
        connection,
        progress,
        last_event_id,
    )
    .await?;
    check_response::<P>(gateway, call, placement, guard, connection, answer, sent_at)
}

/// Takes an idle connection to an endpoint or opens one; sends nothing.
pub(super) async fn connect(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
) -> Result<EndpointConnection, AttemptFailure> {
    let idle_max = match call.route.kind.is_repeatable() {
        true => IDLE_MAX,
        false => IDLE_MAX_NON_IDEMPOTENT,
    };
    if let Some(connection) = gateway.connections.take(placement.address, idle_max).await {
        return Ok(connection);
    }
    EndpointConnection::open(placement.address, CONNECT_TIMEOUT, &gateway.timers)
        .await
        .map_err(|_| AttemptFailure::NotSent)
}

async fn try_send<P: PlatformProtocol>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    mut connection: EndpointConnection,
    progress: &AttemptProgress,
    last_event_id: Option<&str>,
) -> Result<(EndpointConnection, Response<Incoming>), AttemptFailure> {
    let remaining_ms = call.deadline - gateway.now();
    let request = call.request::<P>(placement, remaining_ms, last_event_id);
    progress.may_have_been_sent.set(true);
    match exchange(&mut connection, request).await {
        Ok(answer) => Ok((connection, answer)),
        Err(ExchangeError::NotSent) => {
            progress.may_have_been_sent.set(false);
            Err(AttemptFailure::NotSent)
        }
        Err(ExchangeError::MaybeSent) => Err(AttemptFailure::ConnectionLost),
    }
}

fn check_response<P: PlatformProtocol>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    guard: &InFlightGuard,
    connection: EndpointConnection,
    answer: Response<Incoming>,
    sent_at: MonotonicMs,
) -> Result<(response::Parts, AnswerBody), AttemptFailure> {
    let is_reused = connection.is_reused();
    let (head, mut received) = ReceivedBody::split(&call.method, answer, connection);
    let answer_head = P::read_answer(&head);
    if let Some(load) = answer_head.load {
        guard.observe_load(load);
    }
    observe_rate_limit(gateway, call, guard, sent_at, &answer_head);
    if answer_head.is_leaving && !is_mismatched(call, &answer_head) {
        guard.observe_leaving(sent_at, &call.head.request_id);
    }
    observe_pause(gateway, call, guard, sent_at, &answer_head);
    let idle_max = answer_head
        .keep_alive_ms
        .map(|keep_alive_ms| DurationMs(keep_alive_ms.0.saturating_sub(KEEP_ALIVE_MARGIN.0)));
    if let Some(idle_max) = idle_max {
        received.connection.set_idle_max(idle_max);
    }
    if let Some(failure) = classify_failure(call, &head, &answer_head, is_reused) {
        return Err(failure);
    }
    let pool_entry = Some(PoolEntry {
        connections: gateway.connections.clone(),
        address: placement.address,
    });
    let idle_timeout_ms = call.deadline - gateway.now();
    let idle_timeout = IdleTimeout::new(gateway.timers.clone(), idle_timeout_ms);
    let body = AnswerBody::new(received, pool_entry, ANSWER_SIZE_MAX, idle_timeout);
    Ok((head, body))
}

/// Applies what a response states about its endpoint's rate limit.
///
/// Only a response to this request says when its endpoint stated that, and only a signed one that
/// the endpoint states no limit.
fn observe_rate_limit(
    gateway: &TrafficThread,
    call: &Call,
    guard: &InFlightGuard,
    sent_at: MonotonicMs,
    answer_head: &AnswerHead,
) {
    let is_of_another = answer_head.is_misdirected || is_mismatched(call, answer_head);
    match answer_head.rate_limit {
        _ if is_of_another => {}
        RateLimitField::Absent if answer_head.is_signed => guard.observe_rate_limit(sent_at, None),
        RateLimitField::Absent => {}
        RateLimitField::Limit(rate) => guard.observe_rate_limit(sent_at, Some(rate)),
        RateLimitField::Malformed => {
            gateway.shared.metrics.rate_limits_malformed.inc();
            log_malformed_rate(guard.endpoint(), &call.head.request_id);
        }
    }
}

/// Applies the time for which an endpoint asks for no further requests.
fn observe_pause(
    gateway: &TrafficThread,
    call: &Call,
    guard: &InFlightGuard,
    sent_at: MonotonicMs,
    answer_head: &AnswerHead,
) {
    let request_id = &call.head.request_id;
    match answer_head.pause {
        _ if is_mismatched(call, answer_head) => {}
        PauseField::Absent => {}
        PauseField::For(pause_ms) => guard.observe_pause(sent_at, pause_ms, request_id),
        PauseField::Malformed => {
            gateway.shared.metrics.pauses_malformed.inc();
            let endpoint = guard.endpoint();
            tracing::warn!(request_id, %endpoint, "endpoint asks for a pause that can't be read");
        }
    }
}

/// Returns whether a response belongs to another request.
fn is_mismatched(call: &Call, answer_head: &AnswerHead) -> bool {
    let echoed_id = answer_head.request_id.as_deref();
    echoed_id.is_some_and(|echoed_id| echoed_id != call.head.request_id)
}

/// Returns the failure that a response represents, or `None` if it can be the final response.
///
/// A refusal without an id that arrives on a reused connection may be an earlier one, written again.
fn classify_failure(
    call: &Call,
    head: &response::Parts,
    answer_head: &AnswerHead,
    is_reused: bool,
) -> Option<AttemptFailure> {
    let is_refusal = answer_head.is_misdirected || answer_head.is_not_executed;
    let is_unassigned = is_refusal && is_reused && answer_head.request_id.is_none();
    if is_mismatched(call, answer_head) || is_unassigned {
        return Some(AttemptFailure::Mismatched);
    }
    if answer_head.is_misdirected {
        return Some(AttemptFailure::Misdirected);
    }
    if answer_head.is_not_executed {
        return Some(AttemptFailure::Refused);
    }
    if head.status.is_success() && (answer_head.request_id.is_none() || !answer_head.is_signed) {
        return Some(AttemptFailure::Mismatched);
    }
    None
}

/// Reads a non-streaming response completely.
pub(super) async fn read_buffered(
    endpoint_response: &mut EndpointResponse,
) -> Result<Bytes, AttemptFailure> {
    let mut buffer = Vec::new();
    while let Some(frame) = endpoint_response.body.frame().await {
        let frame = frame.map_err(|error| {
            if error.0 == ErrorKind::AnswerTimeout {
                return AttemptFailure::Unanswered;
            }
            AttemptFailure::Broken
        })?;
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        if buffer.len() as u64 > BUFFERED_SIZE_MAX.0 {
            return Err(AttemptFailure::Broken);
        }
    }
    endpoint_response.watch.observe_end();
    Ok(Bytes::from(buffer))
}

/// Limits the time of an attempt.
pub(super) async fn with_timeout<T>(
    gateway: &TrafficThread,
    timeout_ms: DurationMs,
    result: impl Future<Output = Result<T, AttemptFailure>>,
) -> Result<T, AttemptFailure> {
    let timeout = async {
        gateway.timers.after(timeout_ms).await;
        Err(AttemptFailure::Unanswered)
    };
    future::or(result, timeout).await
}
