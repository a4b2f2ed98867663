//! The daemon that asks another one to make an attempt.

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, EndpointName, ServiceName, ZoneName, header};
use celeryknot_endpoints::{EndpointConnection, EventId, RequestBody, exchange};
use celeryknot_policy::direct::{AttemptFailure, Placement};
use futures_lite::future;
use http::{Method, Request, Response, Uri};
use hyper::body::Incoming;
use smallvec::SmallVec;

use super::super::call::Call;
use super::super::context::{InFlightGuard, TrafficThread};
use super::super::send::{AttemptProgress, IDLE_MAX_NON_IDEMPOTENT, ResponseConnection, try_send};
use super::{HopBackoffKind, HopHead, HopKind, HopRefusal};
use crate::platform_protocol::PlatformProtocol;

/// Maximum number of peers that are asked for one attempt.
const PEERS_ASKED_MAX: usize = 3;

/// Peers that can't connect to an endpoint after which no other one is asked.
const UNREACHABLE_ANSWERS_MAX: u32 = 2;

/// Time for which a peer is asked to probe an endpoint, beyond the time that this may take.
const PROBE_TIMEOUT: DurationMs = DurationMs(600);

impl TrafficThread {
    /// Returns whether other daemons make attempts for this one.
    pub(crate) fn has_hop_peers(&self) -> bool {
        let view = self.shared.view.load();
        view.peers.iter().any(|peer| peer.hop_address.is_some())
    }

    /// Returns the peers to ask, in order: those of the own zone first, at random otherwise.
    fn hop_peers(&self, allowed_zones: Option<&[ZoneName]>) -> SmallVec<[SocketAddr; 4]> {
        let now = self.now();
        let view = self.shared.view.load();
        let backoffs = self.hop_backoffs.borrow();
        let is_allowed = |zone| allowed_zones.is_none_or(|zones| zones.contains(zone));
        let allowed = view.peers.iter().filter(|peer| is_allowed(&peer.zone));
        let mut ranked: Vec<(bool, bool, u64, SocketAddr)> = allowed
            .filter_map(|peer| {
                let address = peer.hop_address?;
                let backoff = backoffs.kind(now, address);
                if backoff == Some(HopBackoffKind::Skip) {
                    return None;
                }
                let is_other_zone = peer.zone != self.shared.settings.zone;
                Some((backoff.is_some(), is_other_zone, rand::random(), address))
            })
            .collect();
        ranked.sort_unstable();
        let addresses = ranked.into_iter().map(|(_, _, _, address)| address);
        addresses.take(PEERS_ASKED_MAX).collect()
    }

    /// Avoids a peer for a time.
    pub(in super::super) fn avoid_hop_peer(&self, peer: SocketAddr, kind: HopBackoffKind) {
        let mut backoffs = self.hop_backoffs.borrow_mut();
        backoffs.add(self.now(), peer, kind);
        self.connections.close_idle_to(peer);
    }

    async fn connect_to_peer(&self, peer: SocketAddr) -> Option<EndpointConnection> {
        let idle = self.connections.take(peer, IDLE_MAX_NON_IDEMPOTENT).await;
        if idle.is_some() {
            return idle;
        }
        let opened = self.open_connection(peer).await;
        if opened.is_err() {
            self.avoid_hop_peer(peer, HopBackoffKind::Skip);
        }
        opened.ok()
    }
}

/// Has a peer send a request to the endpoint, and returns the endpoint's response.
pub(in super::super) async fn send<P: PlatformProtocol>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    guard: &InFlightGuard,
    progress: &AttemptProgress,
    last_event_id: Option<&EventId>,
) -> Result<(ResponseConnection, Response<Incoming>), AttemptFailure> {
    let mut failure = AttemptFailure::NotSent;
    let mut unreachable_for = 0;
    for peer in gateway.hop_peers(call.allowed_zones.as_deref()) {
        if unreachable_for == UNREACHABLE_ANSWERS_MAX {
            break;
        }
        let Some(connection) = gateway.connect_to_peer(peer).await else {
            continue;
        };
        let remaining_ms = call.deadline - gateway.now();
        let mut request = call.request::<P>(placement, remaining_ms, last_event_id);
        let head = HopHead {
            kind: HopKind::Attempt,
            service: call.service.clone(),
            endpoint: placement.endpoint.clone(),
            request_id: call.head.request_id.clone(),
            remaining_ms,
        };
        head.write(request.headers_mut());
        progress.hop_peer.set(Some(peer));
        let sent = try_send(connection, peer, request, progress).await;
        let (mut connection, mut response) = match sent {
            Ok(answered) => answered,
            Err(AttemptFailure::NotSent) => continue,
            Err(failure) => {
                gateway.avoid_hop_peer(peer, HopBackoffKind::Skip);
                return Err(failure);
            }
        };
        let refusal = HopRefusal::read(response.headers());
        log_hop(gateway, &head, peer, refusal);
        match refusal {
            None => {
                let is_reused = response.headers_mut().remove(header::REUSED_CONNECTION);
                connection.is_reused = is_reused.is_some();
                return Ok((connection, response));
            }
            Some(HopRefusal::ConnectionLost) => return Err(AttemptFailure::ConnectionLost),
            Some(HopRefusal::Unreachable) => unreachable_for += 1,
            Some(HopRefusal::CutOff | HopRefusal::Draining | HopRefusal::Overloaded) => {
                gateway.avoid_hop_peer(peer, HopBackoffKind::AskLast);
            }
            Some(HopRefusal::NotAccepting) => failure = AttemptFailure::Refused,
            Some(HopRefusal::Malformed | HopRefusal::NotSent) => {}
        }
        progress.may_have_been_sent.set(false);
    }
    progress.hop_peer.set(None);
    if unreachable_for > 0 {
        // Neither this daemon nor one that reaches others of the service can connect to it.
        guard.handle().report_unreachable();
        failure = AttemptFailure::NotSent;
    }
    Err(failure)
}

fn log_hop(gateway: &TrafficThread, head: &HopHead, peer: SocketAddr, refusal: Option<HopRefusal>) {
    gateway
        .shared
        .metrics
        .count_hop(refusal.map_or("made", |refusal| refusal.into()));
    tracing::info!(
        request_id = head.request_id,
        endpoint = %head.endpoint,
        %peer,
        refusal = refusal.map(tracing::field::display),
        "attempt made through a peer"
    );
}

/// Returns whether a peer can connect to an endpoint.
pub(in super::super) async fn is_running(
    gateway: &TrafficThread,
    service: &ServiceName,
    endpoint: &EndpointName,
) -> bool {
    let probe = async {
        for peer in gateway.hop_peers(None) {
            match probe(gateway, peer, service, endpoint).await {
                Some(None) => return true,
                Some(Some(HopRefusal::Unreachable)) => return false,
                Some(Some(HopRefusal::CutOff)) => {
                    gateway.avoid_hop_peer(peer, HopBackoffKind::AskLast)
                }
                Some(Some(_)) | None => {}
            }
        }
        false
    };
    let timed_out = async {
        gateway.timers.after(PROBE_TIMEOUT).await;
        false
    };
    future::or(probe, timed_out).await
}

/// Has one peer connect to an endpoint; returns its refusal, or `None` if it didn't answer.
async fn probe(
    gateway: &TrafficThread,
    peer: SocketAddr,
    service: &ServiceName,
    endpoint: &EndpointName,
) -> Option<Option<HopRefusal>> {
    let mut connection = gateway.connect_to_peer(peer).await?;
    let mut request = Request::new(RequestBody::new(bytes::Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static("/");
    let head = HopHead {
        kind: HopKind::Probe,
        service: service.clone(),
        endpoint: endpoint.clone(),
        request_id: String::new(),
        remaining_ms: PROBE_TIMEOUT,
    };
    head.write(request.headers_mut());
    let response = exchange(&mut connection, request).await.ok()?;
    Some(HopRefusal::read(response.headers()))
}
