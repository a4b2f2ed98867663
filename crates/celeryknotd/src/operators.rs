//! Serves health, metrics, status and explanations to operators on a separate thread.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use celeryknot_core::{ChatKey, ErrorKind, TokenCount};
use celeryknot_operators::{
    ExplainQuery, ExplainedEndpoint, Explanation, Metrics, OperatorsState, Status, TrafficStatus,
    serve_operators,
};
use celeryknot_policy::placement::{
    Candidates, ContextAware, Placement, PlacementEndpoint, PlacementRequest,
};
use futures_lite::future;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::snapshot::{EndpointSnapshot, ServiceSnapshot, Snapshot};
use crate::traffic::shared::{Shared, wait_for_signal};

/// The daemon's state as exposed to operators.
#[derive(Debug, Clone)]
pub(crate) struct OperatorsView(pub(crate) Arc<Shared>);

impl OperatorsState for OperatorsView {
    fn is_ready(&self) -> bool {
        self.0.feed.snapshot.load().is_ready && !self.0.is_draining()
    }

    fn metrics(&self) -> &Metrics {
        let traffic = &self.0.metrics.traffic;
        traffic.connections.set(self.connections() as i64);
        traffic.requests_in_flight.set(self.in_flight() as i64);
        let crash_guard = &self.0.feed.crash_guard;
        traffic.parts_banned.set(crash_guard.banned_count() as i64);
        traffic
            .parts_suspected
            .inc_by(crash_guard.take_suspected_count());
        let status = self.0.feed.status.load();
        let own_name = self.0.settings.name.as_str();
        let control = &self.0.metrics.control;
        control.set_status(&status, self.is_ready(), own_name);
        &self.0.metrics
    }

    fn status(&self) -> Status {
        let snapshot = self.0.feed.snapshot.load();
        let endpoints_owned = snapshot
            .services
            .values()
            .flat_map(|service| &service.endpoints)
            .filter(|endpoint| endpoint.owner.as_ref() == Some(&snapshot.own_name))
            .count();
        Status {
            name: self.0.settings.name.clone(),
            zone: self.0.settings.zone.clone(),
            incarnation: self.0.incarnation,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            is_ready: self.is_ready(),
            is_shutting_down: self.0.is_draining(),
            control: (**self.0.feed.status.load()).clone(),
            traffic: TrafficStatus {
                connections: self.connections(),
                requests_in_flight: self.in_flight(),
                endpoints_owned: endpoints_owned as u64,
                tickets_held: self.0.metrics.traffic.tickets_held.get().max(0) as u64,
            },
        }
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ErrorKind> {
        explain(&self.0.feed.snapshot.load(), query)
    }
}

impl OperatorsView {
    fn connections(&self) -> u64 {
        self.0.connections.load(Ordering::Acquire)
    }

    fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::Acquire)
    }
}

/// Serves operators until the daemon stops.
pub(crate) fn run_operators(listener: TcpListener, shared: Arc<Shared>) {
    let kill = shared.shutdown.kill.clone();
    let listener = match smol::Async::new(listener) {
        Ok(listener) => smol::net::TcpListener::from(listener),
        Err(error) => {
            tracing::error!(%error, "the operators' listener can't be used");
            return;
        }
    };
    let serve = async {
        if let Err(error) = serve_operators(listener, OperatorsView(shared)).await {
            tracing::error!(%error, "the operators' listener stopped");
        }
    };
    smol::block_on(future::or(serve, wait_for_signal(&kill)));
}

/// Ranks the endpoints as for a chat that is new to this daemon.
fn explain(snapshot: &Snapshot, query: &ExplainQuery) -> Result<Explanation, ErrorKind> {
    let customer = snapshot
        .customers
        .get(&query.customer)
        .ok_or(ErrorKind::UnknownCustomer)?;
    let service = snapshot
        .services
        .get(&(customer.team.clone(), query.service.clone()))
        .ok_or(ErrorKind::UnknownService)?;
    let model = query
        .model
        .clone()
        .or_else(|| service.settings.models.first().cloned())
        .ok_or(ErrorKind::UnknownModel)?;
    let chat_key = ChatKey::new(&service.name, &model, &query.customer, &query.chat);
    let candidates = rank_endpoints(snapshot, service, chat_key);
    let mut endpoints: Vec<ExplainedEndpoint> = service
        .endpoints
        .iter()
        .enumerate()
        .map(|(index, endpoint)| explain_endpoint(endpoint, index, &candidates))
        .collect();
    endpoints.sort_by_key(|endpoint| endpoint.rank.unwrap_or(u32::MAX));
    Ok(Explanation {
        query: query.clone(),
        chat_key,
        snapshot_version: snapshot.version,
        endpoints,
    })
}

fn rank_endpoints(snapshot: &Snapshot, service: &ServiceSnapshot, chat_key: ChatKey) -> Candidates {
    let endpoints: Vec<PlacementEndpoint> = service
        .endpoints
        .iter()
        .map(|endpoint| {
            PlacementEndpoint::new(endpoint.name.clone())
                .with_accepts_requests(endpoint.accepts_requests)
                .with_own_zone(endpoint.zone == snapshot.own_zone)
                .with_summary(endpoint.summary)
        })
        .collect();
    let request = PlacementRequest {
        chat: Some(chat_key),
        prompt_tokens: 1,
        ..PlacementRequest::default()
    };
    let mut placement = ContextAware::new(1, service.settings.prefill_tokens_per_s);
    let mut rng = SmallRng::seed_from_u64(chat_key.0);
    placement.rank(
        celeryknot_core::MonotonicMs(0),
        &request,
        &endpoints,
        &mut rng,
    )
}

fn explain_endpoint(
    endpoint: &EndpointSnapshot,
    index: usize,
    candidates: &Candidates,
) -> ExplainedEndpoint {
    let rank = candidates
        .iter()
        .position(|candidate| candidate.index == index);
    let candidate = rank.map(|rank| candidates[rank]);
    let mut objections = Vec::new();
    if !endpoint.accepts_requests {
        objections.push("takes no new work: it is leaving or its zone is out".to_owned());
    }
    if endpoint.owner.is_none() {
        objections.push("has no owner".to_owned());
    }
    if endpoint.summary.is_none() {
        objections.push("its owner has not told its state yet".to_owned());
    }
    ExplainedEndpoint {
        name: endpoint.name.clone(),
        zone: endpoint.zone.clone(),
        owner: endpoint.owner.clone(),
        rank: rank.map(|rank| rank as u32 + 1),
        cost_ms: candidate
            .map(|candidate| celeryknot_core::DurationMs(candidate.cost_ms.max(0.0) as u64)),
        wait_ms: candidate.map(|candidate| candidate.wait_ms),
        cached_tokens: TokenCount(0),
        condition: endpoint.summary.map(|summary| summary.condition),
        objections,
    }
}
