//! Requests between two daemons: header fields, authentication, refusals.

use std::sync::Arc;

use bytes::Bytes;
use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::header::{ENDPOINT, HOP, SERVICE};
use celeryknot_core::keyed_hash::{AUTH_CODE_LEN_BYTES, KeyRing};
use celeryknot_core::{
    DurationMs, ErrorKind, Incarnation, MemberName, MonotonicMs, Refusal, RequestId, ServiceName,
    TeamName, header,
};
use celeryknot_policy::attempt::CallSafety;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, Method, response};
use strum::{Display, EnumString, IntoStaticStr};

use super::requests::{EndpointAttempt, ValidatedRequest, header_value};
use super::shared::BodyReservation;
use crate::snapshot::{ServiceSnapshot, Snapshot};

#[cfg(test)]
mod tests;

const TEAM: &str = "celeryknot-team";
const WEIGHT: &str = "celeryknot-weight";
const SAFETY: &str = "celeryknot-safety";
const IS_CHAT: &str = "celeryknot-is-chat";
const NEEDS_COMPLETE_ANSWER: &str = "celeryknot-needs-whole";
const COST_TOKENS: &str = "celeryknot-cost-tokens";
const ALTERNATIVE_WAIT_MS: &str = "celeryknot-alternative-wait-ms";
const RETRY_AFTER_MS: &str = "celeryknot-retry-after-ms";
const ACCEPTS_UNVERIFIED_END: &str = "celeryknot-accepts-unverified-end";

/// Header fields between daemons that must not reach an endpoint.
const HOP_FIELDS: [&str; 12] = [
    HOP,
    ENDPOINT,
    TEAM,
    SERVICE,
    WEIGHT,
    SAFETY,
    IS_CHAT,
    NEEDS_COMPLETE_ANSWER,
    COST_TOKENS,
    ALTERNATIVE_WAIT_MS,
    ACCEPTS_UNVERIFIED_END,
    header::PEER_AUTH,
];

const PURPOSE: &str = "forward";

/// Kind of a request between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HopKind {
    /// Probe that checks whether the connection is alive.
    #[strum(serialize = "alive")]
    Probe,
    /// Attempt at an endpoint that the receiver owns.
    Owner,
    /// Attempt at an endpoint that its owner, the sender, has admitted and can't reach.
    Attempt,
    /// Call with a ticket that the receiver issued.
    Issuer,
}

/// Identity of the daemon that sends a request to a peer.
#[derive(Debug, Clone)]
pub(crate) struct Sender<'a> {
    pub(crate) member: &'a MemberName,
    pub(crate) incarnation: Incarnation,
    pub(crate) keys: &'a KeyRing,
}

impl Sender<'_> {
    /// Signs the header fields and adds the signature.
    pub(crate) fn sign(
        &self,
        hop: HopKind,
        id: RequestId,
        method: &Method,
        headers: &mut HeaderMap,
    ) {
        headers.insert(HOP, HeaderValue::from_static(hop.into()));
        let identity = format!("{}.{}.{}", self.member, self.incarnation, id);
        let code = self
            .keys
            .sign(PURPOSE, &signed_parts(&identity, method, headers));
        let code = u128::from_be_bytes(code);
        let auth = format!("{identity}.{code:032x}");
        headers.insert(header::PEER_AUTH, header_value(&auth));
    }
}

/// Returns the parts that decide which call is run, and for which customer.
fn signed_parts<'h>(
    identity: &'h str,
    method: &'h Method,
    headers: &'h HeaderMap,
) -> [&'h [u8]; 8] {
    let field = |name: &str| headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
    [
        identity.as_bytes(),
        method.as_str().as_bytes(),
        field(HOP),
        field(ENDPOINT),
        field(TEAM),
        field(SERVICE),
        field(header::CUSTOMER),
        field(header::IDEMPOTENCY_KEY),
    ]
}

/// Verifies the signature and returns the kind of the request.
///
/// # Errors
///
/// `MalformedRequest` if no daemon of the fleet signed it, or its kind is invalid.
pub(crate) fn verify(
    keys: &KeyRing,
    method: &Method,
    headers: &HeaderMap,
) -> Result<HopKind, ErrorKind> {
    let is_signed = || {
        let auth = headers.get(header::PEER_AUTH)?.to_str().ok()?;
        let (identity, code) = auth.rsplit_once('.')?;
        let code = u128::from_str_radix(code, 16).ok()?;
        let code: [u8; AUTH_CODE_LEN_BYTES] = code.to_be_bytes();
        keys.verify(PURPOSE, &signed_parts(identity, method, headers), &code)
            .then_some(())
    };
    is_signed().ok_or(ErrorKind::MalformedRequest)?;
    parse(headers, HOP).ok_or(ErrorKind::MalformedRequest)
}

fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Writes the header fields of an attempt for the owner of its endpoint.
pub(crate) fn write_attempt(attempt: &EndpointAttempt, headers: &mut HeaderMap) {
    write_service(&attempt.service, headers);
    headers.insert(ENDPOINT, header_value(&attempt.endpoint));
    headers.insert(WEIGHT, header_value(&attempt.weight));
    headers.insert(SAFETY, HeaderValue::from_static(attempt.safety.into()));
    headers.insert(COST_TOKENS, header_value(&attempt.cost_tokens));
    headers.insert(IS_CHAT, header_value(&attempt.is_chat));
    headers.insert(
        NEEDS_COMPLETE_ANSWER,
        header_value(&attempt.needs_complete_answer),
    );
    if let Some(wait_ms) = attempt.alternative_wait_ms {
        headers.insert(ALTERNATIVE_WAIT_MS, header_value(&wait_ms.0));
    }
}

/// Writes the header fields of a call with a ticket for the ticket's issuer.
pub(crate) fn write_ticketed(
    call: &ValidatedRequest,
    ticket: &str,
    now: MonotonicMs,
    headers: &mut HeaderMap,
) {
    write_service(&call.service, headers);
    headers.insert(WEIGHT, header_value(&call.weight));
    headers.insert(header::REQUEST_ID, header_value(&call.id));
    headers.insert(header::CUSTOMER, header_value(&call.customer));
    headers.insert(header::IDEMPOTENCY_KEY, header_value(&ticket));
    headers.insert(
        header::PRIORITY,
        header_value(&format!("u={}", call.urgency)),
    );
    if let Some(deadline_at) = call.deadline_at {
        headers.insert(header::DEADLINE_MS, header_value(&(deadline_at - now).0));
    }
}

fn write_service(service: &ServiceSnapshot, headers: &mut HeaderMap) {
    headers.insert(ACCEPTS_UNVERIFIED_END, HeaderValue::from_static("1"));
    headers.insert(TEAM, header_value(&service.team));
    headers.insert(SERVICE, header_value(&service.name));
}

/// Finds the service that a peer's request names.
///
/// # Errors
///
/// `UnknownService`, or `MalformedRequest` if a name is invalid.
pub(crate) fn read_service(
    headers: &HeaderMap,
    snapshot: &Snapshot,
) -> Result<Arc<ServiceSnapshot>, ErrorKind> {
    let team: TeamName = parse(headers, TEAM).ok_or(ErrorKind::MalformedRequest)?;
    let service: ServiceName = parse(headers, SERVICE).ok_or(ErrorKind::MalformedRequest)?;
    snapshot
        .services
        .get(&(team, service))
        .cloned()
        .ok_or(ErrorKind::UnknownService)
}

/// Reads an attempt that a peer forwarded.
///
/// # Errors
///
/// `MalformedRequest` if a field is missing or invalid.
pub(crate) fn read_attempt(
    head: &http::request::Parts,
    service: Arc<ServiceSnapshot>,
    body: Bytes,
    now: MonotonicMs,
) -> Result<EndpointAttempt, ErrorKind> {
    let headers = &head.headers;
    let attempt = || {
        Some(EndpointAttempt {
            id: parse(headers, header::REQUEST_ID)?,
            endpoint: parse(headers, ENDPOINT)?,
            customer: parse(headers, header::CUSTOMER)?,
            weight: parse(headers, WEIGHT)?,
            urgency: read_urgency(headers),
            deadline_at: read_deadline(headers, now),
            safety: parse(headers, SAFETY)?,
            is_chat: parse(headers, IS_CHAT)?,
            needs_complete_answer: parse(headers, NEEDS_COMPLETE_ANSWER)?,
            cost_tokens: parse(headers, COST_TOKENS)?,
            alternative_wait_ms: parse(headers, ALTERNATIVE_WAIT_MS).map(DurationMs),
            method: head.method.clone(),
            path_and_query: head.uri.path_and_query()?.to_string(),
            headers: without_hop_fields(headers),
            body,
            service,
        })
    };
    attempt().ok_or(ErrorKind::MalformedRequest)
}

/// Reads a call with a ticket that a peer forwarded; returns it with the ticket.
///
/// # Errors
///
/// `MalformedRequest` if a field is missing or invalid.
pub(crate) fn read_ticketed(
    head: &http::request::Parts,
    service: Arc<ServiceSnapshot>,
    body: Bytes,
    body_reservation: BodyReservation,
    now: MonotonicMs,
) -> Result<(ValidatedRequest, String), ErrorKind> {
    let headers = &head.headers;
    let call = || {
        let ticket: String = parse(headers, header::IDEMPOTENCY_KEY)?;
        let mut end_to_end = without_hop_fields(headers);
        end_to_end.remove(header::IDEMPOTENCY_KEY);
        let call = ValidatedRequest {
            id: parse(headers, header::REQUEST_ID)?,
            customer: parse(headers, header::CUSTOMER)?,
            weight: parse(headers, WEIGHT)?,
            urgency: read_urgency(headers),
            deadline_at: read_deadline(headers, now),
            safety: CallSafety::NonIdempotent,
            method: head.method.clone(),
            path_and_query: head.uri.path_and_query()?.to_string(),
            headers: end_to_end,
            body,
            _body_reservation: body_reservation,
            chat: None,
            service,
        };
        Some((call, ticket))
    };
    call().ok_or(ErrorKind::MalformedRequest)
}

fn read_urgency(headers: &HeaderMap) -> u8 {
    headers
        .get(header::PRIORITY)
        .and_then(|value| value.to_str().ok()?.strip_prefix("u=")?.parse().ok())
        .unwrap_or(celeryknot_callers::request::URGENCY_DEFAULT)
}

fn read_deadline(headers: &HeaderMap, now: MonotonicMs) -> Option<MonotonicMs> {
    parse(headers, header::DEADLINE_MS).map(|left_ms| now + DurationMs(left_ms))
}

fn without_hop_fields(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in HOP_FIELDS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers
}

/// Writes the refusal of a peer's request.
pub(crate) fn write_refusal(refusal: Refusal, headers: &mut HeaderMap) {
    headers.insert(
        header::REFUSAL,
        HeaderValue::from_static(refusal.kind.into()),
    );
    if let Some(after) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER_MS, header_value(&after.0));
    }
}

/// Reads a peer's refusal, if the response is one.
pub(crate) fn read_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let code = headers.get(header::REFUSAL)?;
    let kind = code
        .to_str()
        .ok()
        .and_then(|code| code.parse().ok())
        // An unknown code, of a later version, does not show whether the request was run.
        .unwrap_or(ErrorKind::OutcomeUnknown);
    Some(Refusal {
        kind,
        retry_after_ms: parse(headers, RETRY_AFTER_MS).map(DurationMs),
    })
}

/// Returns whether the sender of a request handles responses with an unverified end.
pub(crate) fn accepts_unverified_end(headers: &HeaderMap) -> bool {
    headers.contains_key(ACCEPTS_UNVERIFIED_END)
}

/// Checks that a peer can tell its caller how certain the end of a response is.
///
/// # Errors
///
/// `AnswerIncomplete` if the response may have been truncated and the peer, of an earlier version,
/// would forward it as complete.
pub(crate) fn check_body_end(
    head: &response::Parts,
    accepts_unverified_end: bool,
) -> Result<(), Refusal> {
    let has_unverified_end = UnverifiedEnd::is_set(&head.extensions);
    match has_unverified_end && !accepts_unverified_end {
        true => Err(Refusal::new(ErrorKind::AnswerIncomplete)),
        false => Ok(()),
    }
}

/// Reads from a peer's response whether it has an unverified end; the HTTP/2 server wrote it.
pub(crate) fn read_body_end(head: &mut response::Parts) {
    let end = head.headers.get(header::BODY_END);
    if end.is_some_and(|value| value == header::BODY_END_UNVERIFIED) {
        head.extensions.insert(UnverifiedEnd);
    }
}

/// Removes hop-by-hop fields and the router's own fields, which an endpoint must not set.
pub(crate) fn strip_answer(headers: &mut HeaderMap) {
    strip_answer_but(headers, &[]);
}

/// Removes the same fields, but not those in which an endpoint reports to its owner.
pub(crate) fn strip_answer_for_owner(headers: &mut HeaderMap) {
    strip_answer_but(headers, &[header::LOAD, header::RATE_LIMIT]);
}

fn strip_answer_but(headers: &mut HeaderMap, kept: &[&str]) {
    celeryknot_callers::hop_by_hop::strip(headers);
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("celeryknot-"))
        .filter(|name| !kept.contains(&name.as_str()))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
