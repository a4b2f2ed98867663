//! Probes the engines of rollouts whose orders this daemon holds, and sends orders to them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, ServiceName};
use celeryknot_endpoints::load::fetch_engine_state;
use celeryknot_endpoints::orders as wire;
use celeryknot_fleet::{
    ControlKind, EngineReport, FencingNumber, Fleet, FleetView, Order, Orders, OrdersConfig,
    Rollout, RolloutState,
};
use celeryknot_gateway::clock::Clock;
use celeryknot_operators::OrderCounts;
use smol::LocalExecutor;

use super::active_settings::ActiveSettings;

/// Interval between checks of the rollouts.
const CHECK_PERIOD: DurationMs = DurationMs(500);
/// Interval between probes of an engine while its rollout runs.
const PROBE_PERIOD: DurationMs = DurationMs(2_000);
/// Interval between probes of an engine whose rollout is done.
const PROBE_PERIOD_DONE: DurationMs = DurationMs(10_000);
/// Time after which the probe schedule of an engine that is no longer probed is removed.
const PROBE_SCHEDULE_TTL: DurationMs = DurationMs(60_000);
/// Timeout of a probe or an order.
const CALL_TIMEOUT: DurationMs = DurationMs(2_000);
/// Bytes counted against the budget of control traffic for each probe or order.
const CALL_SIZE_BYTES: usize = 400;
/// Maximum number of queued results of probes and orders.
const EVENT_QUEUE_LEN_MAX: usize = 256;

/// The result of a probe or an order.
#[derive(Debug)]
enum EngineEvent {
    Reported(EndpointName, EngineReport),
    /// The engine refused an order and reported its highest fencing number.
    Refused(EndpointName, FencingNumber),
}

/// Decides on the orders of this daemon and spawns the tasks that send them.
pub(super) struct OrderDispatcher {
    orders: Orders,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    events: Receiver<EngineEvent>,
    sender: Sender<EngineEvent>,
    next_check_at: MonotonicMs,
    next_probe_at: BTreeMap<EndpointName, MonotonicMs>,
    rollouts: Vec<Rollout>,
    counts: Rc<Cell<OrderCounts>>,
}

impl OrderDispatcher {
    /// Creates a dispatcher whose timestamps are of the given clock.
    pub(super) fn new(executor: Rc<LocalExecutor<'static>>, clock: Clock) -> Self {
        let (sender, events) = async_channel::bounded(EVENT_QUEUE_LEN_MAX);
        Self {
            orders: Orders::new(OrdersConfig::default()),
            executor,
            clock,
            events,
            sender,
            next_check_at: MonotonicMs(0),
            next_probe_at: BTreeMap::new(),
            rollouts: Vec::new(),
            counts: Rc::default(),
        }
    }

    /// Returns the number of orders by outcome.
    pub(super) fn counts(&self) -> OrderCounts {
        self.counts.get()
    }

    /// Releases all leases after a stall of the process.
    pub(super) fn observe_stall(&mut self) {
        self.orders.observe_stall();
    }

    /// Returns the rollouts and their states, ordered by service.
    pub(super) fn states(&self) -> impl Iterator<Item = (&Rollout, RolloutState)> {
        let state = |rollout: &Rollout| self.orders.state(&rollout.service);
        self.rollouts
            .iter()
            .map(move |rollout| (rollout, state(rollout)))
    }

    /// Handles queued results and, if a check is due, probes engines and sends orders.
    pub(super) fn tick(&mut self, now: MonotonicMs, fleet: &mut Fleet, active: &ActiveSettings) {
        while let Ok(event) = self.events.try_recv() {
            match event {
                EngineEvent::Reported(name, report) => self.orders.observe_engine(&name, report),
                EngineEvent::Refused(name, highest) => self.orders.record_refusal(&name, highest),
            }
        }
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_PERIOD;
        self.rollouts = select_rollouts(active);
        if self.rollouts.is_empty() {
            return;
        }
        let view = fleet.view(now);
        self.next_probe_at
            .retain(|_, at| now - *at < PROBE_SCHEDULE_TTL);
        self.probe_engines(now, fleet, &view);
        let list_revision = fleet.list().revision();
        let is_holder = |service: &ServiceName| fleet.is_orders_holder(now, service);
        let due_orders = self
            .orders
            .tick(now, &view, list_revision, &self.rollouts, is_holder);
        for order in due_orders {
            fleet.record_control_bytes(now, ControlKind::Orders, CALL_SIZE_BYTES);
            self.dispatch(order);
        }
    }

    fn probe_engines(&mut self, now: MonotonicMs, fleet: &mut Fleet, view: &FleetView) {
        for rollout in &self.rollouts {
            if !fleet.is_orders_holder(now, &rollout.service) {
                continue;
            }
            let period = match self.orders.state(&rollout.service) {
                RolloutState::Done => PROBE_PERIOD_DONE,
                RolloutState::NotHeld
                | RolloutState::AwaitingLease
                | RolloutState::Running
                | RolloutState::Stopped => PROBE_PERIOD,
            };
            let engines = view
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.service == rollout.service);
            for engine in engines {
                let next_at = self.next_probe_at.entry(engine.name.clone()).or_default();
                if now < *next_at || !fleet.has_budget(now, ControlKind::Probes, CALL_SIZE_BYTES) {
                    continue;
                }
                *next_at = now + period;
                fleet.record_control_bytes(now, ControlKind::Probes, CALL_SIZE_BYTES);
                let task = probe_engine(engine.name.clone(), engine.address, self.sender.clone());
                self.executor.spawn(task).detach();
            }
        }
    }

    fn dispatch(&self, order: Order) {
        tracing::info!(
            engine = %order.endpoint,
            model = %order.model,
            version = %order.version,
            fencing = order.fencing.0,
            "an engine is ordered to load a version"
        );
        let counts = Rc::clone(&self.counts);
        let task = send_order(order, self.clock, self.sender.clone(), counts);
        self.executor.spawn(task).detach();
    }
}

async fn probe_engine(name: EndpointName, address: SocketAddr, events: Sender<EngineEvent>) {
    let Ok(state) = fetch_engine_state(address, CALL_TIMEOUT).await else {
        return;
    };
    let report = EngineReport {
        version: state.version,
        is_cold: state.cold,
    };
    // A full or closed channel only loses this probe.
    let _ = events.try_send(EngineEvent::Reported(name, report));
}

async fn send_order(
    order: Order,
    clock: Clock,
    events: Sender<EngineEvent>,
    counts: Rc<Cell<OrderCounts>>,
) {
    let fenced_order = wire::FencedOrder {
        fencing: order.fencing.0,
        order: wire::Order::LoadModel {
            model: order.model,
            version: order.version,
            adapter: order.adapter,
        },
    };
    let check_lease = || {
        let now = clock.now();
        if now < order.send_before {
            Ok(())
        } else {
            Err(ErrorKind::Paused)
        }
    };
    let outcome = wire::send_order(order.address, &fenced_order, CALL_TIMEOUT, check_lease).await;
    let mut updated_counts = counts.get();
    match &outcome {
        Ok(wire::OrderOutcome::Accepted) => updated_counts.accepted += 1,
        Ok(wire::OrderOutcome::Outdated { .. } | wire::OrderOutcome::Refused) => {
            updated_counts.refused += 1;
        }
        Err(_) => updated_counts.failed += 1,
    }
    counts.set(updated_counts);
    match outcome {
        Ok(wire::OrderOutcome::Outdated { fencing }) => {
            let event = EngineEvent::Refused(order.endpoint, FencingNumber(fencing));
            // A full or closed channel only loses this refusal; the engine refuses the next order
            // as well.
            let _ = events.try_send(event);
        }
        Ok(wire::OrderOutcome::Accepted | wire::OrderOutcome::Refused) => {}
        Err(kind) => tracing::debug!(engine = %order.endpoint, %kind, "an order failed"),
    }
}

/// Returns one rollout per service; if several teams have one, the first team by name wins.
fn select_rollouts(active: &ActiveSettings) -> Vec<Rollout> {
    let mut keys: Vec<_> = active.rollouts.keys().collect();
    keys.sort();
    let mut by_service: BTreeMap<&ServiceName, Rollout> = BTreeMap::new();
    for key in keys {
        let rollout = &active.rollouts[key];
        let service = &key.1;
        by_service.entry(service).or_insert_with(|| Rollout {
            service: service.clone(),
            revision: rollout.revision,
            model: rollout.settings.model.clone(),
            version: rollout.settings.version.clone(),
            adapter: rollout.settings.adapter.clone(),
            parallel_max: rollout.settings.parallel_max,
        });
    }
    by_service.into_values().collect()
}
