//! Serves callers: validates requests against the configuration, runs them, and builds refusals.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use celeryknot_callers::body::read_body;
use celeryknot_callers::framing::check_framing;
use celeryknot_callers::head_scanner::AmbiguousFraming;
use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::{
    DurationMs, ErrorKind, MonotonicMs, Refusal, RegionName, RequestTag, TokenCount, ZoneName,
};
use celeryknot_endpoints::BodyFraming;
use celeryknot_policy::direct::{AnswerTime, SharedPrefix};
use celeryknot_policy::routing::{Route, RoutingTable, allowed_zones};
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;

use super::body::GatewayBody;
use super::call::{Call, strip_connection_headers};
use super::context::TrafficThread;
use super::forward;
use super::shutdown::OTHER_DAEMON_RETRY_DELAY;
use crate::count_guard::CountGuard;
use crate::platform_protocol::{CallerRequestHead, PlatformProtocol};

/// Age of the store state beyond which the configuration may be outdated.
///
/// Updates arrive at the latest after a reader's watch and a poll of that reader, 2.5 s together.
const STORE_STALE_AFTER: DurationMs = DurationMs(3_000);

/// Interval between checks for the first configuration.
const CONFIGURATION_POLL: DurationMs = DurationMs(10);

/// Outcome of a request whose answer is complete.
pub(super) const ANSWERED: &str = "answered";

/// Outcome of a request whose caller's connection ended before the answer did.
const CALLER_LEFT: &str = "caller-left";

/// Outcome of a request whose answer was cut as the daemon ended.
const DAEMON_ENDED: &str = "daemon-ended";

/// Writes a request's log line when dropped, whatever the outcome.
#[derive(Debug)]
pub(super) struct RequestLog {
    gateway: Rc<TrafficThread>,
    request_id: String,
    /// The address that the caller's connection comes from.
    caller: SocketAddr,
    arrived_at: MonotonicMs,
    status: u16,
    outcome: &'static str,
    /// How the endpoint marks the end of its answer, once the head has arrived.
    framing: Option<BodyFraming>,
    /// Set once the head of an endpoint's answer has arrived.
    answer: Option<AnswerHeadTime>,
    /// Events that the caller got.
    events: u32,
}

/// What a successful answer's duration depends on.
#[derive(Debug)]
struct AnswerHeadTime {
    route: Arc<Route>,
    output_tokens_max: Option<TokenCount>,
    head_ms: DurationMs,
}

impl RequestLog {
    pub(super) fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    pub(super) fn set_events(&mut self, events: u32) {
        self.events = events;
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let took_ms = self.gateway.now() - self.arrived_at;
        if self.outcome == CALLER_LEFT && self.gateway.is_ending.get() {
            self.outcome = DAEMON_ENDED;
        }
        if let Some(answer) = self.answer.take().filter(|_| self.outcome == ANSWERED) {
            let time = AnswerTime {
                head_ms: answer.head_ms,
                total_ms: took_ms,
                events: self.events,
                output_tokens_max: answer.output_tokens_max,
            };
            self.gateway.observe_answer_time(&answer.route.name, &time);
        }
        self.gateway
            .shared
            .metrics
            .observe_request_duration(took_ms);
        tracing::info!(
            request_id = self.request_id,
            caller = %self.caller,
            status = self.status,
            outcome = self.outcome,
            framing = self.framing.map(<&str>::from),
            events = (self.events > 0).then_some(self.events),
            took_ms = took_ms.0,
            "request ended"
        );
    }
}

/// Serves one request of a caller.
pub(super) async fn serve_request<P: PlatformProtocol>(
    gateway: Rc<TrafficThread>,
    caller: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<GatewayBody>, Infallible> {
    let in_flight = CountGuard::new(&gateway.shared.in_flight);
    gateway.shared.metrics.requests.inc();
    let version = request.version();
    let (parts, body) = request.into_parts();
    let mut request_log = RequestLog {
        request_id: String::new(),
        caller,
        arrived_at: gateway.now(),
        status: 0,
        outcome: CALLER_LEFT,
        framing: None,
        answer: None,
        events: 0,
        gateway: Rc::clone(&gateway),
    };
    let result = match read_head::<P>(&parts) {
        Ok(head) => {
            request_log.request_id.clone_from(&head.request_id);
            run_call::<P>(&gateway, &mut request_log, head, parts, body).await
        }
        Err(kind) => Err(Refusal::new(kind)),
    };
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            gateway.shared.metrics.refused(refusal.kind);
            log_refusal(&gateway, &request_log.request_id, refusal);
            request_log.set_outcome(refusal.kind.code());
            P::write_refusal(refusal, &request_log.request_id).map(GatewayBody::buffered)
        }
    };
    request_log.status = answer.status().as_u16();
    let head_ms = gateway.now() - request_log.arrived_at;
    gateway.shared.metrics.observe_first_byte(head_ms);
    *answer.version_mut() = version;
    if answer.body().framing() == Some(BodyFraming::CloseDelimited) {
        answer.extensions_mut().insert(UnverifiedEnd);
    }
    if version != Version::HTTP_2 && gateway.shared.is_draining() {
        // Makes the caller open its next connection to another daemon.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let is_refused = request_log.outcome != CALLER_LEFT;
    Ok(answer.map(|body| match is_refused {
        // The log line of a refusal is written now; sending its body can't change the outcome.
        true => body.hold_until_sent(in_flight, request_log),
        false => body.hold_until_end(in_flight, request_log),
    }))
}

fn log_refusal(gateway: &TrafficThread, request_id: &str, refusal: Refusal) {
    let view = gateway.shared.view.load();
    tracing::info!(
        request_id,
        code = refusal.kind.code(),
        configuration = view.table.as_ref().map(|table| table.version()),
        store_age_ms = gateway.shared.store_age().0,
        retry_after_ms = refusal.retry_after_ms.map(|after| after.0),
        "request refused"
    );
}

fn read_head<P: PlatformProtocol>(parts: &Parts) -> Result<CallerRequestHead, ErrorKind> {
    if parts.extensions.get::<AmbiguousFraming>().is_some() {
        return Err(ErrorKind::MalformedRequest);
    }
    check_framing(&parts.headers)?;
    P::read_call(parts)
}

async fn run_call<P: PlatformProtocol>(
    gateway: &Rc<TrafficThread>,
    request_log: &mut RequestLog,
    head: CallerRequestHead,
    parts: Parts,
    body: Incoming,
) -> Result<Response<GatewayBody>, Refusal> {
    let arrived_at = request_log.arrived_at;
    let table = wait_for_table(gateway).await?;
    let zones = &gateway.shared.settings.zone_regions;
    let call = check_call(&table, zones, head, parts, arrived_at)
        .map_err(|kind| build_call_refusal(kind, gateway.shared.store_age()))?;
    let limits = table.limits();
    let body = read_body(
        body,
        limits.body_size_max_bytes,
        limits.header_timeout_ms,
        &gateway.timers,
    )
    .await
    .map_err(Refusal::new)?;
    let (route, output_tokens_max) = (Arc::clone(&call.route), call.head.output_tokens_max);
    let answer = forward::run::<P>(gateway, call.with_body(body)).await?;
    request_log.framing = answer.body().framing();
    request_log.answer = answer.status().is_success().then(|| AnswerHeadTime {
        route,
        output_tokens_max,
        head_ms: gateway.now() - arrived_at,
    });
    Ok(answer)
}

/// Returns the active configuration; waits for the first one while it is expected.
async fn wait_for_table(gateway: &TrafficThread) -> Result<Arc<RoutingTable>, Refusal> {
    loop {
        if let Some(table) = &gateway.view().table {
            return Ok(Arc::clone(table));
        }
        if !gateway.shared.expects_configuration() {
            return Err(Refusal::new(ErrorKind::NotReady));
        }
        gateway.timers.after(CONFIGURATION_POLL).await;
    }
}

/// Builds the refusal of an invalid request.
///
/// A daemon with outdated store state can't determine that a route or key does not exist.
fn build_call_refusal(kind: ErrorKind, store_age: DurationMs) -> Refusal {
    let is_unknown = matches!(kind, ErrorKind::UnknownRoute | ErrorKind::UnknownKey);
    if is_unknown && store_age > STORE_STALE_AFTER {
        return Refusal::with_retry_after(ErrorKind::NotReady, OTHER_DAEMON_RETRY_DELAY);
    }
    Refusal::new(kind)
}

/// Determines the route, the customer and the service of a request.
fn check_call(
    table: &Arc<RoutingTable>,
    zones: &[(ZoneName, RegionName)],
    head: CallerRequestHead,
    parts: Parts,
    arrived_at: MonotonicMs,
) -> Result<Call, ErrorKind> {
    let route = table.find_route(&head.host, parts.uri.path())?;
    let customer = table.find_customer(route, head.key.as_deref())?;
    let service = route.pick_service(service_draw(route, &head))?.clone();
    let timeout_ms = head.deadline_ms.map_or(route.timeout_ms, |deadline_ms| {
        deadline_ms.min(route.timeout_ms)
    });
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    let customer_regions = customer.map_or(&[][..], |customer| &customer.allowed_regions);
    Ok(Call {
        allowed_zones: allowed_zones(zones, &route.allowed_regions, customer_regions),
        route: Arc::clone(route),
        service,
        customer: customer.map(|customer| customer.name.clone()),
        priority: customer
            .and_then(|customer| customer.priority)
            .unwrap_or(route.priority),
        method: parts.method,
        uri: parts.uri,
        headers,
        body: Bytes::new(),
        tag: RequestTag::default(),
        arrived_at,
        deadline: arrived_at + timeout_ms,
        configuration_version: table.version(),
        head,
    })
}

/// Returns the draw for a traffic split; prompts with the same shared parts get the same service.
fn service_draw(route: &Route, head: &CallerRequestHead) -> u64 {
    let shared = head.prompt.as_ref().and_then(|it| it.shared_prefix());
    match shared {
        Some(SharedPrefix { key, .. }) if route.has_prompt => key,
        Some(_) | None => rand::random(),
    }
}
