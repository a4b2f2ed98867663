//! Attempts that another daemon makes, at endpoints that this one can't reach.
//!
//! The daemon that a request came to places it, counts it and retries it; the other one sends it
//! once and passes the response on. One hop: a daemon never hands such an attempt on.

mod client;
mod server;

use std::collections::HashMap;
use std::net::SocketAddr;

use celeryknot_core::{DurationMs, EndpointName, MonotonicMs, ServiceName, header};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use strum::{Display, EnumString, IntoStaticStr};

use super::body::GatewayBody;

pub(super) use client::{is_running, send};
pub(super) use server::serve_attempt;

/// Fields of messages between daemons, which neither endpoints nor callers get.
const HOP_FIELDS: [HeaderName; 7] = [
    HeaderName::from_static(header::HOP),
    HeaderName::from_static(header::ENDPOINT),
    HeaderName::from_static(header::SERVICE),
    HeaderName::from_static(header::REQUEST_ID),
    HeaderName::from_static(header::DEADLINE_MS),
    HeaderName::from_static(header::REFUSAL),
    HeaderName::from_static(header::REUSED_CONNECTION),
];

/// What a daemon is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum HopKind {
    /// Send the request to the endpoint.
    Attempt,
    /// Connect to the endpoint.
    Probe,
}

/// Why a daemon passes no response on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum HopRefusal {
    /// It can't connect to the endpoint, but to most others of the service.
    Unreachable,
    /// It can't connect to most endpoints of the service.
    CutOff,
    /// The endpoint accepts no requests from it, or is unknown to it.
    NotAccepting,
    /// It is shutting down.
    Draining,
    /// It makes as many attempts for others as it may.
    Overloaded,
    /// The request can't be read.
    Malformed,
    /// The connection closed before the request was sent.
    NotSent,
    /// The connection closed before a response: the endpoint may have run the request.
    ConnectionLost,
}

/// The fields that a daemon adds to an attempt for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HopHead {
    kind: HopKind,
    service: ServiceName,
    endpoint: EndpointName,
    request_id: String,
    remaining_ms: DurationMs,
}

impl HopHead {
    fn write(&self, headers: &mut HeaderMap) {
        let mut insert = |name: &'static str, value: &str| {
            // A caller's request id is any text that a field may have.
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        insert(header::HOP, self.kind.into());
        insert(header::SERVICE, self.service.as_str());
        insert(header::ENDPOINT, self.endpoint.as_str());
        insert(header::REQUEST_ID, &self.request_id);
        insert(header::DEADLINE_MS, &self.remaining_ms.0.to_string());
    }

    /// Reads and removes the fields.
    fn take(headers: &mut HeaderMap) -> Result<Self, HopRefusal> {
        let text = |name: &str| std::str::from_utf8(headers.get(name)?.as_bytes()).ok();
        let read = || {
            Some(Self {
                kind: text(header::HOP)?.parse().ok()?,
                service: ServiceName::assigned(text(header::SERVICE)?).ok()?,
                endpoint: EndpointName::assigned(text(header::ENDPOINT)?).ok()?,
                request_id: text(header::REQUEST_ID)?.to_owned(),
                remaining_ms: DurationMs(text(header::DEADLINE_MS)?.parse().ok()?),
            })
        };
        let head = read().ok_or(HopRefusal::Malformed);
        strip_hop_fields(headers);
        head
    }
}

fn strip_hop_fields(headers: &mut HeaderMap) {
    for name in &HOP_FIELDS {
        headers.remove(name);
    }
}

impl HopRefusal {
    fn into_response(self) -> Response<GatewayBody> {
        let mut response = Response::new(GatewayBody::buffered(bytes::Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let reason = HeaderValue::from_static(self.into());
        let name = HeaderName::from_static(header::REFUSAL);
        response.headers_mut().insert(name, reason);
        response
    }

    /// Reads the refusal in a response of a peer, if it is one.
    ///
    /// A reason that only later versions have doesn't say whether the request was sent.
    fn read(headers: &HeaderMap) -> Option<Self> {
        let reason = headers.get(header::REFUSAL)?;
        let reason = reason.to_str().ok().and_then(|reason| reason.parse().ok());
        Some(reason.unwrap_or(Self::ConnectionLost))
    }
}

/// Peers that are asked last, or not at all, for a time.
#[derive(Debug, Default)]
pub(super) struct HopBackoffs(HashMap<SocketAddr, HopBackoff>);

/// How a peer is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HopBackoffKind {
    /// It is asked after all others.
    AskLast,
    /// It isn't asked.
    Skip,
}

#[derive(Debug, Clone, Copy)]
struct HopBackoff {
    until: MonotonicMs,
    kind: HopBackoffKind,
}

/// Time for which a peer that made no attempt is avoided.
const BACKOFF: DurationMs = DurationMs(1_000);

impl HopBackoffs {
    fn add(&mut self, now: MonotonicMs, peer: SocketAddr, kind: HopBackoffKind) {
        self.0.retain(|_, backoff| now < backoff.until);
        let backoff = HopBackoff {
            until: now + BACKOFF,
            kind,
        };
        self.0.insert(peer, backoff);
    }

    /// Returns how a peer is avoided, if it is.
    fn kind(&self, now: MonotonicMs, peer: SocketAddr) -> Option<HopBackoffKind> {
        let backoff = self.0.get(&peer)?;
        (now < backoff.until).then_some(backoff.kind)
    }
}

#[cfg(test)]
mod tests;
