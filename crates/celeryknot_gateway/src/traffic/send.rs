//! One attempt to send a request to an endpoint, up to the head of its response.

use std::cell::Cell;
use std::net::SocketAddr;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, SizeBytes, SoftwareVersion};
use celeryknot_endpoints::{
    AnswerBody, EndpointConnection, EventId, ExchangeError, IdleTimeout, PoolEntry, RateLimitField,
    ReceivedBody, RequestBody, exchange,
};
use celeryknot_policy::direct::{AttemptFailure, Placement};
use futures_lite::future;
use http::{Request, Response, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::call::Call;
use super::context::{EndpointHandle, InFlightGuard, TrafficThread};
use super::crash_watch::AnswerWatch;
use super::hop;
use crate::platform_protocol::{AnswerHead, PauseField, PlatformProtocol};
use crate::rate_log::log_malformed_rate;

/// Longest idle time of a connection reused for a request that must not run twice.
///
/// If the endpoint closes the idle connection at that moment, the outcome is unknown.
pub(super) const IDLE_MAX_NON_IDEMPOTENT: DurationMs = DurationMs(5_000);

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
    /// The peer that makes the attempt, if one does.
    pub(super) hop_peer: Cell<Option<SocketAddr>>,
}

impl AttemptProgress {
    /// Returns the failure of an attempt that is abandoned for its silence.
    pub(super) fn failure_by_silence(&self) -> AttemptFailure {
        match self.may_have_been_sent.get() {
            true => AttemptFailure::Unanswered,
            false => AttemptFailure::NotSentInTime,
        }
    }
}

/// How an endpoint is reached.
#[derive(Debug)]
pub(super) enum Reached {
    /// On this connection to it.
    Directly(EndpointConnection),
    /// By other daemons alone.
    ThroughPeers,
}

/// The connection on which a response arrives.
#[derive(Debug)]
pub(super) struct ResponseConnection {
    pub(super) connection: EndpointConnection,
    /// The address that the connection is to: the endpoint's, or that of a peer.
    pub(super) address: SocketAddr,
    /// Whether an earlier request was sent on the endpoint's connection.
    pub(super) is_reused: bool,
}

/// Sends a request and waits for the head of its response.
///
/// Dropping the future closes the connection, which cancels the request at the endpoint.
pub(super) async fn send<P: PlatformProtocol>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    guard: &InFlightGuard,
    reached: Option<Reached>,
    progress: &AttemptProgress,
    last_event_id: Option<&EventId>,
) -> Result<(response::Parts, AnswerBody), AttemptFailure> {
    let reached = match reached {
        Some(reached) => reached,
        None => reach(gateway, call, placement).await?,
    };
    let sent_at = gateway.now();
    let (connection, answer) = match reached {
        Reached::Directly(connection) => {
            let remaining_ms = call.deadline - gateway.now();
            let request = call.request::<P>(placement, remaining_ms, last_event_id);
            try_send(connection, placement.address, request, progress).await?
        }
        Reached::ThroughPeers => {
            hop::send::<P>(gateway, call, placement, guard, progress, last_event_id).await?
        }
    };
    check_response::<P>(gateway, call, guard, connection, answer, sent_at)
}

/// Takes an idle connection to an endpoint or opens one; sends nothing.
///
/// If the endpoint can't be reached directly, other daemons may reach it.
pub(super) async fn reach(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
) -> Result<Reached, AttemptFailure> {
    let address = placement.address;
    let connected = match call.route.kind.is_repeatable() {
        true => gateway.connect(address, IDLE_MAX).await,
        // On a reused connection, the outcome of a request that is refused would be unknown.
        false if gateway.are_refusal_ids_missing(&call.service) => {
            let idle_max = IDLE_MAX_NON_IDEMPOTENT;
            gateway.connect_anew(address, idle_max).await
        }
        false => gateway.connect(address, IDLE_MAX_NON_IDEMPOTENT).await,
    };
    match connected {
        Some(connection) => Ok(Reached::Directly(connection)),
        None if gateway.has_hop_peers() => Ok(Reached::ThroughPeers),
        None => Err(AttemptFailure::NotSent),
    }
}

/// Sends a request on a connection to an endpoint or a peer.
pub(super) async fn try_send(
    mut connection: EndpointConnection,
    address: SocketAddr,
    request: Request<RequestBody>,
    progress: &AttemptProgress,
) -> Result<(ResponseConnection, Response<Incoming>), AttemptFailure> {
    progress.may_have_been_sent.set(true);
    match exchange(&mut connection, request).await {
        Ok(answer) => {
            let connection = ResponseConnection {
                is_reused: connection.is_reused(),
                connection,
                address,
            };
            Ok((connection, answer))
        }
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
    guard: &InFlightGuard,
    connection: ResponseConnection,
    answer: Response<Incoming>,
    sent_at: MonotonicMs,
) -> Result<(response::Parts, AnswerBody), AttemptFailure> {
    let ResponseConnection {
        connection,
        address,
        is_reused,
    } = connection;
    let (head, mut received) = ReceivedBody::split(&call.method, answer, connection);
    let answer_head = P::read_answer(&head);
    observe_answer(guard.handle(), &call.head.request_id, sent_at, &answer_head);
    if address == guard.handle().address {
        gateway.observe_direct_answer(address);
    }
    let idle_max = answer_head
        .keep_alive_ms
        .map(|keep_alive_ms| DurationMs(keep_alive_ms.0.saturating_sub(KEEP_ALIVE_MARGIN.0)));
    if let Some(idle_max) = idle_max {
        received.connection.set_idle_max(idle_max);
    }
    if let Some(failure) = classify_failure(call, &head, &answer_head, is_reused) {
        return Err(failure);
    }
    let body = receive_body(gateway, received, address, call.deadline);
    Ok((head, body))
}

/// Builds the body of a response whose connection is reused after its end.
pub(super) fn receive_body(
    gateway: &TrafficThread,
    received: ReceivedBody,
    address: SocketAddr,
    deadline: MonotonicMs,
) -> AnswerBody {
    let pool_entry = Some(PoolEntry {
        connections: gateway.connections.clone(),
        address,
    });
    let idle_timeout = IdleTimeout::new(gateway.timers.clone(), deadline - gateway.now());
    AnswerBody::new(received, pool_entry, ANSWER_SIZE_MAX, idle_timeout)
}

/// Applies what a response to a request states about its endpoint.
pub(super) fn observe_answer(
    endpoint: &EndpointHandle,
    request_id: &str,
    sent_at: MonotonicMs,
    answer_head: &AnswerHead,
) {
    if let Some(load) = answer_head.load {
        endpoint.observe_load(load);
    }
    let is_refusal = answer_head.is_misdirected || answer_head.is_not_executed;
    if is_refusal && answer_head.request_id.is_none() {
        let gateway = &endpoint.gateway;
        gateway.observe_refusal_without_id(&endpoint.service);
    }
    observe_limits(endpoint, request_id, sent_at, answer_head);
    if answer_head.is_leaving && !is_mismatched(request_id, answer_head) {
        endpoint.observe_leaving(sent_at, request_id);
    }
    observe_pause(endpoint, request_id, sent_at, answer_head);
}

/// Applies what a response states about its endpoint's limits.
///
/// Only a response to this request says when its endpoint stated that, and only a signed one that
/// the endpoint states no limit.
fn observe_limits(
    endpoint: &EndpointHandle,
    request_id: &str,
    sent_at: MonotonicMs,
    answer_head: &AnswerHead,
) {
    if answer_head.is_misdirected || is_mismatched(request_id, answer_head) {
        return;
    }
    let stated = |field| match field {
        RateLimitField::Absent => answer_head.is_signed.then_some(None),
        RateLimitField::Limit(rate) => Some(Some(rate)),
        RateLimitField::Malformed => {
            let metrics = &endpoint.gateway.shared.metrics;
            metrics.rate_limits_malformed.inc();
            log_malformed_rate(&endpoint.name, request_id);
            None
        }
    };
    if let Some(rate) = stated(answer_head.rate_limit) {
        endpoint.observe_rate_limit(sent_at, rate);
    }
    if let Some(rate) = stated(answer_head.refusal_limit) {
        endpoint.observe_refusal_limit(sent_at, rate);
    }
}

/// Applies the time for which an endpoint asks for no further requests.
fn observe_pause(
    endpoint: &EndpointHandle,
    request_id: &str,
    sent_at: MonotonicMs,
    answer_head: &AnswerHead,
) {
    match answer_head.pause {
        _ if is_mismatched(request_id, answer_head) => {}
        PauseField::Absent => {}
        PauseField::For(pause_ms) => endpoint.observe_pause(sent_at, pause_ms, request_id),
        PauseField::Malformed => {
            endpoint.gateway.shared.metrics.pauses_malformed.inc();
            let endpoint = &endpoint.name;
            tracing::warn!(request_id, %endpoint, "endpoint asks for a pause that can't be read");
        }
    }
}

/// Returns whether a response belongs to another request.
fn is_mismatched(request_id: &str, answer_head: &AnswerHead) -> bool {
    let echoed_id = answer_head.request_id.as_deref();
    echoed_id.is_some_and(|echoed_id| echoed_id != request_id)
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
    if is_mismatched(&call.head.request_id, answer_head) || is_unassigned {
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
    let framing = endpoint_response.body.framing();
    endpoint_response.watch.observe_end(framing);
    Ok(Bytes::from(buffer))
}

/// Limits the time of an attempt.
pub(super) async fn with_timeout<T>(
    gateway: &TrafficThread,
    timeout_ms: DurationMs,
    progress: &AttemptProgress,
    result: impl Future<Output = Result<T, AttemptFailure>>,
) -> Result<T, AttemptFailure> {
    let timeout = async {
        gateway.timers.after(timeout_ms).await;
        Err(progress.failure_by_silence())
    };
    future::or(result, timeout).await
}
