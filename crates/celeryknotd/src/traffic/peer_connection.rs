//! HTTP/2 connections to other daemons.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celeryknot_core::{DurationMs, ErrorKind, MemberName, MonotonicMs, Refusal, RequestId};
use celeryknot_endpoints::{IdleTimeout, RequestBody};
use futures_lite::future;
use http::{HeaderMap, Method, Request, Response, StatusCode, response};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::body::{AnswerSource, DaemonBody, LastReceived, PeerBody};
use super::context::ThreadContext;
use super::hop::{self, HopKind};
use super::owner::Answer;
use super::requests::EndpointAttempt;
use super::shared::random_request_id;
use crate::event::TrafficEvent;

/// Timeout for a connection to another daemon.
const CONNECT_TIMEOUT: DurationMs = DurationMs(500);

/// Timeout of a connection probe.
const PROBE_TIMEOUT: DurationMs = DurationMs(250);

/// Interval between pings while requests are open.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is probed before it carries a request that may be resent.
const RESENDABLE_PROBE_AFTER: DurationMs = DurationMs(1_000);

/// Idle time after which a connection is probed before it carries a call that runs at most once.
const ONCE_ONLY_PROBE_AFTER: DurationMs = DurationMs(50);

/// Margin above the owner's own timeouts, so that its response arrives first.
const OWNER_MARGIN: DurationMs = DurationMs(1_000);

/// Peer to which a request is forwarded, with the limits that apply.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ForwardTarget<'a> {
    pub(crate) member: &'a MemberName,
    pub(crate) address: SocketAddr,
    /// Whether the request may be sent twice.
    pub(crate) may_resend: bool,
    /// Deadline of the caller.
    pub(crate) deadline_at: Option<MonotonicMs>,
    /// Timeout for the response head.
    pub(crate) timeout_ms: DurationMs,
    /// Idle timeout within the response body.
    pub(crate) idle_timeout: DurationMs,
}

#[derive(Debug, Clone)]
struct PeerConnection {
    sender: http2::SendRequest<RequestBody>,
    last_received: LastReceived,
}

/// Connections of one thread to other daemons.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    connections: RefCell<HashMap<SocketAddr, PeerConnection>>,
    /// When a connection to each peer last failed.
    failed_at: RefCell<HashMap<SocketAddr, Rc<Cell<MonotonicMs>>>>,
}

impl PeerConnections {
    /// Returns the existing connection if it is alive, or a new one.
    async fn get(
        &self,
        context: &Rc<ThreadContext>,
        address: SocketAddr,
        probe_after: DurationMs,
    ) -> Result<PeerConnection, ErrorKind> {
        let existing = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = existing
            && !connection.sender.is_closed()
            && connection.is_alive(context, address, probe_after).await
        {
            return Ok(connection);
        }
        self.connections.borrow_mut().remove(&address);
        let failed_at = self
            .failed_at
            .borrow_mut()
            .entry(address)
            .or_default()
            .clone();
        let last_received = LastReceived::new(context.shared.clock, failed_at);
        let connection = open(context, address, last_received).await?;
        self.connections
            .borrow_mut()
            .insert(address, connection.clone());
        Ok(connection)
    }

    /// Removes a connection that failed.
    fn remove(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }
}

impl PeerConnection {
    /// Returns whether the connection is alive; probes it if nothing was received recently.
    async fn is_alive(
        &self,
        context: &Rc<ThreadContext>,
        address: SocketAddr,
        probe_after: DurationMs,
    ) -> bool {
        if self.last_received.is_recent(probe_after) {
            return true;
        }
        let mut headers = HeaderMap::new();
        let id = random_request_id();
        sign(context, HopKind::Probe, id, &Method::GET, &mut headers);
        let Some(request) = build(address, "/", Method::GET, headers, RequestBody::default())
        else {
            return false;
        };
        let answer = async { self.exchange(request).await.ok() };
        let expired = async {
            context.timers.after(PROBE_TIMEOUT).await;
            None
        };
        future::or(answer, expired)
            .await
            .is_some_and(|answer| answer.status() == StatusCode::NO_CONTENT)
    }

    async fn exchange_within(
        &self,
        context: &ThreadContext,
        timeout: DurationMs,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ErrorKind> {
        let expired = async {
            context.timers.after(timeout).await;
            Err(ErrorKind::AnswerTimeout)
        };
        future::or(self.exchange(request), expired).await
    }

    async fn exchange(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ErrorKind> {
        let mut sender = self.sender.clone();
        if sender.ready().await.is_err() {
            return Err(ErrorKind::ConnectFailed);
        }
        match sender.try_send_request(request).await {
            Ok(answer) => {
                self.last_received.refresh();
                Ok(answer)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => ErrorKind::ConnectFailed,
                None => ErrorKind::OutcomeUnknown,
            }),
        }
    }
}

async fn open(
    context: &Rc<ThreadContext>,
    address: SocketAddr,
    last_received: LastReceived,
) -> Result<PeerConnection, ErrorKind> {
    let connect = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| ErrorKind::ConnectFailed)?;
        stream
            .set_nodelay(true)
            .map_err(|_| ErrorKind::ConnectFailed)?;
        http2::Builder::new(context.executor.clone())
            .timer(SmolTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(false)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| ErrorKind::ConnectFailed)
    };
    let expired = async {
        context.timers.after(CONNECT_TIMEOUT).await;
        Err(ErrorKind::ConnectFailed)
    };
    let (sender, connection) = future::or(connect, expired).await?;
    context
        .executor
        .spawn(async move {
            // Pending requests get the error themselves when the connection ends.
            let _ = connection.await;
        })
        .detach();
    last_received.refresh();
    Ok(PeerConnection {
        sender,
        last_received,
    })
}

fn sign(
    context: &Rc<ThreadContext>,
    hop: HopKind,
    id: RequestId,
    method: &Method,
    headers: &mut HeaderMap,
) {
    let sender = hop::Sender {
        member: &context.shared.settings.name,
        incarnation: context.shared.incarnation,
        keys: &context.shared.settings.peer_keys,
    };
    sender.sign(hop, id, method, headers);
}

fn build(
    address: SocketAddr,
    path_and_query: &str,
    method: Method,
    headers: HeaderMap,
    body: RequestBody,
) -> Option<Request<RequestBody>> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path_and_query}"))
        .body(body)
        .ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Forwards an attempt to the owner of its endpoint.
///
/// # Errors
///
/// The owner's refusal, or one for the failed connection to the owner.
pub(crate) async fn forward_to_owner<M>(
    context: &Rc<ThreadContext>,
    member: &MemberName,
    address: SocketAddr,
    attempt: &EndpointAttempt,
    may_send: M,
) -> Result<Answer, Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let request = build_attempt(context, HopKind::Owner, address, attempt)?;
    let target = attempt_target(member, address, attempt);
    forward(context, target, request, may_send).await
}

/// Has a peer send an attempt to an endpoint that this daemon owns and can't reach.
///
/// # Errors
///
/// The peer's refusal, or one for the failed connection to the peer.
pub(crate) async fn forward_attempt<M>(
    context: &Rc<ThreadContext>,
    member: &MemberName,
    address: SocketAddr,
    attempt: &EndpointAttempt,
    may_send: M,
) -> Result<(response::Parts, PeerBody), Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let request = build_attempt(context, HopKind::Attempt, address, attempt)?;
    let target = attempt_target(member, address, attempt);
    forward_request(context, target, request, may_send).await
}

fn build_attempt(
    context: &Rc<ThreadContext>,
    hop: HopKind,
    address: SocketAddr,
    attempt: &EndpointAttempt,
) -> Result<Request<RequestBody>, Refusal> {
    let mut headers = attempt.headers.clone();
    hop::write_attempt(attempt, &mut headers);
    sign(context, hop, attempt.id, &attempt.method, &mut headers);
    let body = RequestBody::new(attempt.body.clone());
    build(
        address,
        &attempt.path_and_query,
        attempt.method.clone(),
        headers,
        body,
    )
    .ok_or(Refusal::new(ErrorKind::MalformedRequest))
}

fn attempt_target<'a>(
    member: &'a MemberName,
    address: SocketAddr,
    attempt: &EndpointAttempt,
) -> ForwardTarget<'a> {
    let settings = &attempt.service.settings;
    let wait_ms = settings.queue_wait_max_ms.0 + settings.first_byte_timeout_ms.0;
    ForwardTarget {
        member,
        address,
        may_resend: attempt.safety == celeryknot_policy::attempt::CallSafety::Idempotent,
        deadline_at: attempt.deadline_at,
        timeout_ms: DurationMs(wait_ms + OWNER_MARGIN.0),
        idle_timeout: DurationMs(settings.idle_timeout_ms.0 + OWNER_MARGIN.0),
    }
}

/// Forwards a call with a ticket to the ticket's issuer.
///
/// # Errors
///
/// The issuer's refusal, or one for the failed connection to the issuer.
pub(crate) async fn forward_to_issuer(
    context: &Rc<ThreadContext>,
    target: ForwardTarget<'_>,
    call: &super::requests::ValidatedRequest,
    ticket: &str,
) -> Result<Answer, Refusal> {
    let mut headers = call.headers.clone();
    hop::write_ticketed(call, ticket, context.now(), &mut headers);
    sign(
        context,
        HopKind::Issuer,
        call.id,
        &call.method,
        &mut headers,
    );
    let body = RequestBody::new(call.body.clone());
    let method = call.method.clone();
    let request = build(target.address, &call.path_and_query, method, headers, body)
        .ok_or(Refusal::new(ErrorKind::MalformedRequest))?;
    let check = || context.check_may_send(call.deadline_at);
    forward(context, target, request, check).await
}

async fn forward<M>(
    context: &Rc<ThreadContext>,
    target: ForwardTarget<'_>,
    request: Request<RequestBody>,
    may_send: M,
) -> Result<Answer, Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let (head, body) = forward_request(context, target, request, may_send).await?;
    Ok(Answer {
        head,
        body: DaemonBody::new(AnswerSource::Peer(Box::new(body))),
    })
}

async fn forward_request<M>(
    context: &Rc<ThreadContext>,
    target: ForwardTarget<'_>,
    request: Request<RequestBody>,
    may_send: M,
) -> Result<(response::Parts, PeerBody), Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let (connection, answer) = send(context, target, request, may_send).await?;
    let (mut head, incoming) = answer.into_parts();
    hop::read_body_end(&mut head);
    if let Some(refusal) = hop::read_refusal(&head.headers) {
        return Err(refusal);
    }
    let idle_timer = IdleTimeout::new(context.timers.clone(), target.idle_timeout);
    let PeerConnection {
        sender,
        last_received,
    } = connection;
    let body = PeerBody::new(incoming, sender, last_received, idle_timer);
    Ok((head, body))
}

/// Sends a request on a live connection, and retries on a new one if it was never written to
/// the first.
async fn send<M>(
    context: &Rc<ThreadContext>,
    target: ForwardTarget<'_>,
    request: Request<RequestBody>,
    may_send: M,
) -> Result<(PeerConnection, Response<Incoming>), Refusal>
where
    M: Fn() -> Result<(), ErrorKind>,
{
    let probe_after = if target.may_resend {
        RESENDABLE_PROBE_AFTER
    } else {
        ONCE_ONLY_PROBE_AFTER
    };
    let peers = &context.peers;
    let mut connection = peers
        .get(context, target.address, probe_after)
        .await
        .map_err(|kind| report_unreachable_peer(context, target.member, kind))?;
    may_send().map_err(Refusal::new)?;
    context.shared.metrics.traffic.forwards_out.inc();
    let mut result = connection
        .exchange_within(context, target.timeout_ms, request.clone())
        .await;
    if let Err(ErrorKind::ConnectFailed) = result {
        peers.remove(target.address);
        connection = peers
            .get(context, target.address, probe_after)
            .await
            .map_err(|kind| report_unreachable_peer(context, target.member, kind))?;
        context
            .check_may_send(target.deadline_at)
            .map_err(Refusal::new)?;
        result = connection
            .exchange_within(context, target.timeout_ms, request)
            .await;
    }
    match result {
        Ok(answer) => Ok((connection, answer)),
        Err(kind) => {
            connection.last_received.record_failure();
            peers.remove(target.address);
            Err(report_unreachable_peer(context, target.member, kind))
        }
    }
}

fn report_unreachable_peer(
    context: &Rc<ThreadContext>,
    member: &MemberName,
    kind: ErrorKind,
) -> Refusal {
    let event = TrafficEvent::PeerUnreachable {
        member: member.clone(),
    };
    // If the channel is full, the control thread still detects the failure, only later.
    let _ = context.shared.events.try_send(event);
    Refusal::new(kind)
}
