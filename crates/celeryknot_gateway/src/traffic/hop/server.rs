//! The daemon that makes attempts for others.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use celeryknot_callers::body::read_body;
use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::{DurationMs, MonotonicMs, header};
use celeryknot_endpoints::{
    BodyFraming, EndpointConnection, ExchangeError, ReceivedBody, RequestBody, exchange,
};
use celeryknot_policy::direct::AttemptFailure;
use futures_lite::future;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::super::body::{BodySource, GatewayBody};
use super::super::call::strip_connection_headers;
use super::super::context::{EndpointHandle, TrafficThread};
use super::super::forward::strip_connection_response_headers;
use super::super::send::{IDLE_MAX_NON_IDEMPOTENT, observe_answer, receive_body};
use super::{HopHead, HopKind, HopRefusal, strip_hop_fields};
use crate::count_guard::CountGuard;
use crate::platform_protocol::PlatformProtocol;

/// Maximum number of attempts that a daemon makes for others at a time.
const ATTEMPTS_MAX: u64 = 256;

/// Time before a request's deadline at which a peer is told that the request was not sent.
///
/// At least twice the latency between two zones: at the deadline, the peer would have to take the
/// request for one that may have run.
const REFUSAL_MARGIN: DurationMs = DurationMs(30);

/// Time after a request's deadline at which an attempt for a peer ends if the peer doesn't end it.
const END_MARGIN: DurationMs = DurationMs(500);

/// Serves one request of a daemon that can't reach its endpoint.
pub(in super::super) async fn serve_attempt<P: PlatformProtocol>(
    gateway: Rc<TrafficThread>,
    request: Request<Incoming>,
) -> Result<Response<GatewayBody>, Infallible> {
    let in_flight = CountGuard::new(&gateway.shared.in_flight);
    let response = match try_serve::<P>(&gateway, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(),
    };
    Ok(response.map(|body| body.hold_in_flight(in_flight)))
}

async fn try_serve<P: PlatformProtocol>(
    gateway: &Rc<TrafficThread>,
    request: Request<Incoming>,
) -> Result<Response<GatewayBody>, HopRefusal> {
    let arrived_at = gateway.now();
    let count = CountGuard::try_new(&gateway.hops_in, ATTEMPTS_MAX);
    let count = count.ok_or(HopRefusal::Overloaded)?;
    if gateway.shared.is_draining() {
        return Err(HopRefusal::Draining);
    }
    let (mut parts, body) = request.into_parts();
    let head = HopHead::take(&mut parts.headers)?;
    let endpoint = gateway
        .accepting_endpoint(&head.service, &head.endpoint)
        .ok_or(HopRefusal::NotAccepting)?;
    if gateway.paths.borrow().is_broken(endpoint.address) {
        return Err(unreachable(&endpoint));
    }
    let deadline = arrived_at + head.remaining_ms;
    // The peer ends the attempt at its own deadline.
    let ends_at = deadline + END_MARGIN;
    match head.kind {
        HopKind::Probe => match gateway.connects_to(endpoint.address).await {
            true => Ok(no_content()),
            false => Err(unreachable(&endpoint)),
        },
        HopKind::Attempt => {
            let body = read_attempt_body(gateway, body).await?;
            let made = make_attempt::<P>(&endpoint, &head.request_id, parts, body, deadline, count);
            let timed_out = async {
                gateway.timers.after(ends_at - gateway.now()).await;
                Err(HopRefusal::ConnectionLost)
            };
            future::or(made, timed_out).await
        }
    }
}

fn unreachable(endpoint: &EndpointHandle) -> HopRefusal {
    match endpoint.gateway.is_cut_off(&endpoint.service) {
        true => HopRefusal::CutOff,
        false => HopRefusal::Unreachable,
    }
}

fn no_content() -> Response<GatewayBody> {
    let mut response = Response::new(GatewayBody::buffered(Bytes::new()));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

async fn read_attempt_body(gateway: &TrafficThread, body: Incoming) -> Result<Bytes, HopRefusal> {
    let view = gateway.view();
    let limits = *view
        .table
        .as_ref()
        .ok_or(HopRefusal::NotAccepting)?
        .limits();
    drop(view);
    read_body(
        body,
        limits.body_size_max_bytes,
        limits.header_timeout_ms,
        &gateway.timers,
    )
    .await
    .map_err(|_| HopRefusal::Malformed)
}

/// Opens a connection to the endpoint, in time for the peer to learn that the request was not sent.
async fn connect_in_time(
    endpoint: &EndpointHandle,
    deadline: MonotonicMs,
) -> Result<EndpointConnection, HopRefusal> {
    let EndpointHandle {
        gateway, address, ..
    } = endpoint;
    let connected = async {
        let idle_max = IDLE_MAX_NON_IDEMPOTENT;
        // The request may be one that must run at most once.
        let connected = match gateway.are_refusal_ids_missing(&endpoint.service) {
            true => gateway.connect_anew(*address, idle_max).await,
            false => gateway.connect(*address, idle_max).await,
        };
        connected.ok_or_else(|| {
            endpoint.observe_failure(AttemptFailure::NotSent);
            unreachable(endpoint)
        })
    };
    let timed_out = async {
        let left_ms = deadline - gateway.now();
        let left_ms = DurationMs(left_ms.0.saturating_sub(REFUSAL_MARGIN.0));
        gateway.timers.after(left_ms).await;
        Err(HopRefusal::NotSent)
    };
    future::or(connected, timed_out).await
}

/// Sends the request to the endpoint once and passes the response on.
async fn make_attempt<P: PlatformProtocol>(
    endpoint: &EndpointHandle,
    request_id: &str,
    parts: Parts,
    body: Bytes,
    deadline: MonotonicMs,
    count: CountGuard,
) -> Result<Response<GatewayBody>, HopRefusal> {
    let EndpointHandle {
        gateway, address, ..
    } = endpoint;
    let mut connection = connect_in_time(endpoint, deadline).await?;
    // It may have begun to leave, or asked for a pause, meanwhile.
    if !gateway.accepts_requests(&endpoint.service, &endpoint.name) {
        gateway.connections.put(*address, connection);
        return Err(HopRefusal::NotAccepting);
    }
    let method = parts.method.clone();
    let sent_at = gateway.now();
    let request = build_request::<P>(parts, body, deadline - sent_at);
    let answer = exchange(&mut connection, request).await.map_err(|error| {
        gateway.connections.close_idle_to(*address);
        match error {
            ExchangeError::NotSent => HopRefusal::NotSent,
            ExchangeError::MaybeSent => {
                endpoint.observe_failure(AttemptFailure::ConnectionLost);
                HopRefusal::ConnectionLost
            }
        }
    })?;
    gateway.observe_direct_answer(*address);
    let is_reused = EndpointConnection::is_reused(&connection);
    let (mut head, mut received) = ReceivedBody::split(&method, answer, connection);
    // The peer checks the events, and needs those before an incomplete one.
    received.is_event_stream = false;
    observe_answer(endpoint, request_id, sent_at, &P::read_answer(&head));
    strip_hop_fields(&mut head.headers);
    if is_reused {
        let name = HeaderName::from_static(header::REUSED_CONNECTION);
        let value = HeaderValue::from_static("1");
        head.headers.insert(name, value);
    }
    let ends_at = deadline + END_MARGIN;
    let body = receive_body(gateway, received, *address, ends_at);
    let framing = body.framing();
    let source = BodySource::Hop {
        body: Box::new(body),
        deadline: Box::pin(gateway.timers.after(ends_at - gateway.now())),
        _count: count,
    };
    let body = GatewayBody::new(source).with_framing(framing);
    let mut response = Response::from_parts(head, body);
    if framing == BodyFraming::CloseDelimited {
        response.extensions_mut().insert(UnverifiedEnd);
    }
    strip_connection_response_headers(response.headers_mut());
    Ok(response)
}

fn build_request<P: PlatformProtocol>(
    parts: Parts,
    body: Bytes,
    remaining_ms: DurationMs,
) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(body));
    *request.method_mut() = parts.method;
    *request.uri_mut() = parts.uri;
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    P::write_deadline(&mut headers, remaining_ms);
    *request.headers_mut() = headers;
    request
}
