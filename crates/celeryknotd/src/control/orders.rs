//! Orders to engines: probes the engines of rollouts that this daemon holds, and sends orders.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, ServiceName};
use celeryknot_endpoints::load::fetch_engine_state;
use celeryknot_endpoints::orders as wire;
use celeryknot_fleet::{
    ControlKind, EngineReport, FencingNumber, Fleet, FleetView, Order, Orders, OrdersConfig,
    Rollout, RolloutState,
};
use celeryknot_operators::OrderCounts;
use smol::LocalExecutor;

use super::sources::Sources;

/// Time between two looks at the rollouts.
const PERIOD: DurationMs = DurationMs(500);
/// Time between two probes of an engine while its rollout runs.
const PROBE_PERIOD: DurationMs = DurationMs(2_000);
/// Time between two probes of an engine whose rollout is done.
const PROBE_PERIOD_DONE: DurationMs = DurationMs(10_000);
/// Time after which an engine that is no longer probed is forgotten.
const PROBE_MEMORY: DurationMs = DurationMs(60_000);
/// Longest wait for an engine's answer.
const TIMEOUT: DurationMs = DurationMs(2_000);
/// Bytes that are counted for a probe and for an order.
const CALL_SIZE_BYTES: usize = 400;
/// Answers of engines that wait to be looked at.
const EVENTS_LEN_MAX: usize = 256;

/// What came of a probe or an order.
#[derive(Debug)]
enum EngineEvent {
    Reported(EndpointName, EngineReport),
    Refused(EndpointName, FencingNumber),
}

/// The orders of this daemon, with the tasks that carry them.
pub(super) struct OrdersDesk {
    orders: Orders,
    executor: Rc<LocalExecutor<'static>>,
    started_at: Instant,
    events: Receiver<EngineEvent>,
    sender: Sender<EngineEvent>,
    next_look_at: MonotonicMs,
    next_probe_at: BTreeMap<EndpointName, MonotonicMs>,
    rollouts: Vec<Rollout>,
    counts: Rc<Cell<OrderCounts>>,
}

impl OrdersDesk {
    /// Builds a desk whose times count from `started_at`.
    pub(super) fn new(executor: Rc<LocalExecutor<'static>>, started_at: Instant) -> Self {
        let (sender, events) = async_channel::bounded(EVENTS_LEN_MAX);
        Self {
            orders: Orders::new(OrdersConfig::default()),
            executor,
            started_at,
            events,
            sender,
            next_look_at: MonotonicMs(0),
            next_probe_at: BTreeMap::new(),
            rollouts: Vec::new(),
            counts: Rc::default(),
        }
    }

    /// Returns the orders so far, by outcome.
    pub(super) fn counts(&self) -> OrderCounts {
        self.counts.get()
    }

    /// Gives up all leases after a pause.
    pub(super) fn observe_pause(&mut self) {
        self.orders.observe_pause();
    }

    /// Returns the rollouts with their states, in the order of services.
    pub(super) fn states(&self) -> impl Iterator<Item = (&Rollout, RolloutState)> {
        let state = |rollout: &Rollout| self.orders.state(&rollout.service);
        self.rollouts
            .iter()
            .map(move |rollout| (rollout, state(rollout)))
    }

    /// Looks at the rollouts if that is due.
    pub(super) fn tick(&mut self, now: MonotonicMs, fleet: &mut Fleet, sources: &Sources) {
        while let Ok(event) = self.events.try_recv() {
            match event {
                EngineEvent::Reported(name, report) => self.orders.observe_engine(&name, report),
                EngineEvent::Refused(name, highest) => self.orders.note_refused(&name, highest),
            }
        }
        if now < self.next_look_at {
            return;
        }
        self.next_look_at = now + PERIOD;
        self.rollouts = rollouts_of(sources);
        if self.rollouts.is_empty() {
            return;
        }
        let view = fleet.view(now);
        self.next_probe_at.retain(|_, at| now - *at < PROBE_MEMORY);
        self.probe(now, fleet, &view);
        let list_revision = fleet.list().revision();
        let is_holder = |service: &ServiceName| fleet.holds_orders(now, service);
        let due = self
            .orders
            .tick(now, &view, list_revision, &self.rollouts, is_holder);
        for order in due {
            fleet.observe_bytes(now, ControlKind::Orders, CALL_SIZE_BYTES);
            self.send(order);
        }
    }

    fn probe(&mut self, now: MonotonicMs, fleet: &mut Fleet, view: &FleetView) {
        for rollout in &self.rollouts {
            if !fleet.holds_orders(now, &rollout.service) {
                continue;
            }
            let period = match self.orders.state(&rollout.service) {
                RolloutState::Done => PROBE_PERIOD_DONE,
                RolloutState::NotHeld
                | RolloutState::WaitsForLease
                | RolloutState::Runs
                | RolloutState::Stopped => PROBE_PERIOD,
            };
            let engines = view
                .endpoints
                .iter()
                .filter(|e| e.service == rollout.service);
            for engine in engines {
                let next_at = self.next_probe_at.entry(engine.name.clone()).or_default();
                if now < *next_at || !fleet.has_budget(now, ControlKind::Probes, CALL_SIZE_BYTES) {
                    continue;
                }
                *next_at = now + period;
                fleet.observe_bytes(now, ControlKind::Probes, CALL_SIZE_BYTES);
                let task = probe(engine.name.clone(), engine.address, self.sender.clone());
                self.executor.spawn(task).detach();
            }
        }
    }

    fn send(&self, order: Order) {
        tracing::info!(
            engine = %order.endpoint,
            model = %order.model,
            version = %order.version,
            fencing = order.fencing.0,
            "an engine is ordered to load a version"
        );
        let counts = Rc::clone(&self.counts);
        let task = give(order, self.started_at, self.sender.clone(), counts);
        self.executor.spawn(task).detach();
    }
}

async fn probe(name: EndpointName, address: SocketAddr, events: Sender<EngineEvent>) {
    let Ok(state) = fetch_engine_state(address, TIMEOUT).await else {
        return;
    };
    let report = EngineReport {
        version: state.version,
        is_cold: state.cold,
    };
    // A full or closed channel loses no more than one probe.
    let _ = events.try_send(EngineEvent::Reported(name, report));
}

async fn give(
    order: Order,
    started_at: Instant,
    events: Sender<EngineEvent>,
    counts: Rc<Cell<OrderCounts>>,
) {
    let fenced = wire::FencedOrder {
        fencing: order.fencing.0,
        order: wire::Order::LoadModel {
            model: order.model,
            version: order.version,
            adapter: order.adapter,
        },
    };
    let has_lease = || {
        let now = MonotonicMs(DurationMs::from(started_at.elapsed()).0);
        if now < order.send_before {
            Ok(())
        } else {
            Err(ErrorKind::Paused)
        }
    };
    let outcome = wire::give_order(order.address, &fenced, TIMEOUT, has_lease).await;
    let mut counted = counts.get();
    match &outcome {
        Ok(wire::OrderOutcome::Accepted) => counted.accepted += 1,
        Ok(wire::OrderOutcome::Outdated { .. } | wire::OrderOutcome::Refused) => {
            counted.refused += 1;
        }
        Err(_) => counted.failed += 1,
    }
    counts.set(counted);
    match outcome {
        Ok(wire::OrderOutcome::Outdated { fencing }) => {
            let refused = EngineEvent::Refused(order.endpoint, FencingNumber(fencing));
            // A full or closed channel loses no more than one refusal; the next order is
            // refused as well.
            let _ = events.try_send(refused);
        }
        Ok(wire::OrderOutcome::Accepted | wire::OrderOutcome::Refused) => {}
        Err(kind) => tracing::debug!(engine = %order.endpoint, %kind, "an order got no answer"),
    }
}

/// Returns one rollout for each service; of two teams' the first in the order of names.
fn rollouts_of(sources: &Sources) -> Vec<Rollout> {
    let mut keys: Vec<_> = sources.rollouts.keys().collect();
    keys.sort();
    let mut by_service: BTreeMap<&ServiceName, Rollout> = BTreeMap::new();
    for key in keys {
        let source = &sources.rollouts[key];
        let service = &key.1;
        by_service.entry(service).or_insert_with(|| Rollout {
            service: service.clone(),
            revision: source.revision,
            model: source.settings.model.clone(),
            version: source.settings.version.clone(),
            adapter: source.settings.adapter.clone(),
            parallel_max: source.settings.parallel_max,
        });
    }
    by_service.into_values().collect()
}
