//! Orders to engines: one holder for each service rolls out the desired state step by step.
//!
//! The desired state comes from the settings, so it outlives every holder. A fencing number
//! combines the revision of these settings (high bits) with that of the instance list (low bits):
//! an order from newer settings always passes, one from older settings never does, and two
//! holders with the same settings send the same orders. The sender checks the holder's lease
//! again directly before the first byte.

mod capacity;
mod engine;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointName, ModelName, MonotonicMs, Revision, ServiceName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::view::{EndpointView, FleetView};
use engine::{Engine, EnginePhase};

/// A fencing number: the revision of the settings, then that of the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingNumber(pub u64);

const LIST_BITS: u32 = 20;

impl FencingNumber {
    /// Combines two revisions; a list revision of more than 20 bits is clamped to the maximum.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::Revision;
    /// use celeryknot_fleet::orders::FencingNumber;
    ///
    /// let old = FencingNumber::new(Revision(7), Revision(900));
    /// let new = FencingNumber::new(Revision(8), Revision(3));
    /// assert!(new > old, "newer settings pass, whichever list their holder has seen");
    /// ```
    pub fn new(settings: Revision, list: Revision) -> Self {
        let list = list.0.min((1 << LIST_BITS) - 1);
        Self((settings.0 << LIST_BITS) | list)
    }

    fn settings_revision(self) -> Revision {
        Revision(self.0 >> LIST_BITS)
    }
}

/// The version that the engines of a service should serve, from the active settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: ServiceName,
    /// The revision of the settings.
    pub revision: Revision,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: String,
    /// An adapter to load on top of the model.
    pub adapter: Option<String>,
    /// Maximum number of engines that load at the same time.
    pub parallel_max: u32,
}

impl Rollout {
    /// Returns the version as engines report it.
    pub fn reported_version(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}+{adapter}", self.version),
            None => self.version.clone(),
        }
    }
}

/// The state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The version that the engine serves.
    pub version: String,
    /// Whether the engine is in cold start.
    pub is_cold: bool,
}

/// An order to send to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub endpoint: EndpointName,
    /// Address at which the engine accepts orders.
    pub address: SocketAddr,
    /// The fencing number.
    pub fencing: FencingNumber,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: String,
    /// An adapter to load on top of the model.
    pub adapter: Option<String>,
    /// End of the holder's lease, before which the first byte must be sent.
    pub send_before: MonotonicMs,
}

/// Limits for the orders of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersConfig {
    /// Duration of a holder's lease to send orders, unless renewed.
    pub lease: DurationMs,
    /// Maximum loads from the weight store that all rollouts together start per minute.
    pub loads_per_min_max: u32,
    /// Time after which an order without effect is retried.
    pub load_timeout: DurationMs,
}

impl Default for OrdersConfig {
    fn default() -> Self {
        Self {
            lease: DurationMs(3_000),
            loads_per_min_max: 60,
            load_timeout: DurationMs(60_000),
        }
    }
}

/// Progress of a rollout in this daemon's view.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Another daemon holds the orders of the service.
    NotHeld,
    /// The lease of a previous holder may not have expired yet.
    #[strum(serialize = "waits-for-lease")]
    #[serde(rename = "waits-for-lease")]
    AwaitingLease,
    /// Engines are being updated.
    #[strum(serialize = "runs")]
    #[serde(rename = "runs")]
    Running,
    /// An updated engine is unhealthy.
    Stopped,
    /// All engines serve the version.
    Done,
}

#[derive(Debug, Clone)]
struct HeldRollout {
    held_since: MonotonicMs,
    next_load_at: MonotonicMs,
    stopped_at: Option<Revision>,
    state: RolloutState,
}

/// The orders that this daemon sends.
#[derive(Debug, Clone)]
pub struct Orders {
    config: OrdersConfig,
    held_rollouts: BTreeMap<ServiceName, HeldRollout>,
    engines: BTreeMap<EndpointName, Engine>,
}

impl Orders {
    /// Creates the state of a daemon that holds no rollout.
    pub fn new(config: OrdersConfig) -> Self {
        Self {
            config,
            held_rollouts: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Records the state reported by an engine.
    pub fn observe_engine(&mut self, endpoint: &EndpointName, report: EngineReport) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        engine.observe(report);
    }

    /// Records that an engine refused an order because it had seen a higher fencing number.
    pub fn record_refusal(&mut self, endpoint: &EndpointName, highest: FencingNumber) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        engine.record_refusal(highest);
    }

    /// Drops all leases, since other daemons may have taken over during a stall of this process.
    pub fn observe_stall(&mut self) {
        self.held_rollouts.clear();
        self.engines.clear();
    }

    /// Returns the state of a rollout in this daemon's view.
    pub fn state(&self, service: &ServiceName) -> RolloutState {
        let held = self.held_rollouts.get(service);
        held.map_or(RolloutState::NotHeld, |held| held.state)
    }

    /// Returns the orders that are due; `is_holder` selects the services that this daemon holds.
    pub fn tick(
        &mut self,
        now: MonotonicMs,
        view: &FleetView,
        list_revision: Revision,
        rollouts: &[Rollout],
        is_holder: impl Fn(&ServiceName) -> bool,
    ) -> Vec<Order> {
        let is_held = |service: &ServiceName| {
            view.is_ready && is_holder(service) && rollouts.iter().any(|r| r.service == *service)
        };
        self.held_rollouts.retain(|service, _| is_held(service));
        self.engines.retain(|name, _| {
            let found = view
                .endpoints
                .binary_search_by(|endpoint| endpoint.name.cmp(name));
            found.is_ok()
        });
        let load_interval = self.load_interval(rollouts.len());
        let mut orders = Vec::new();
        for rollout in rollouts.iter().filter(|rollout| is_held(&rollout.service)) {
            let held = self
                .held_rollouts
                .entry(rollout.service.clone())
                .or_insert(HeldRollout {
                    held_since: now,
                    next_load_at: now,
                    stopped_at: None,
                    state: RolloutState::AwaitingLease,
                });
            if now - held.held_since < self.config.lease {
                continue;
            }
            let engines: Vec<&EndpointView> = view
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.service == rollout.service && !endpoint.is_draining)
                .collect();
            let pass = RolloutPass {
                now,
                rollout,
                fencing: FencingNumber::new(rollout.revision, list_revision),
                config: &self.config,
                load_interval,
            };
            orders.extend(pass.run(held, &mut self.engines, &engines));
        }
        orders
    }

    /// Returns the time between two loads of one rollout; all rollouts share the rate equally.
    fn load_interval(&self, rollout_count: usize) -> DurationMs {
        const MINUTE_MS: u64 = 60_000;
        let rate = u64::from(self.config.loads_per_min_max.max(1));
        DurationMs(MINUTE_MS * rollout_count.max(1) as u64 / rate)
    }
}

/// One evaluation of a rollout.
struct RolloutPass<'a> {
    now: MonotonicMs,
    rollout: &'a Rollout,
    fencing: FencingNumber,
    config: &'a OrdersConfig,
    load_interval: DurationMs,
}

impl RolloutPass<'_> {
    fn run(
        &self,
        held: &mut HeldRollout,
        engines: &mut BTreeMap<EndpointName, Engine>,
        views: &[&EndpointView],
    ) -> Vec<Order> {
        let target = self.rollout.reported_version();
        let mut phases: Vec<(&EndpointView, EnginePhase)> = Vec::new();
        for view in views {
            let engine = engines.entry(view.name.clone()).or_default();
            let phase = engine.phase(self.now, self.rollout.revision, &target, self.config);
            phases.push((view, phase));
        }
        if phases
            .iter()
            .all(|(_, phase)| *phase == EnginePhase::Updated)
        {
            held.state = RolloutState::Done;
            return Vec::new();
        }
        if self.is_stopped(held, &phases) {
            held.state = RolloutState::Stopped;
            return Vec::new();
        }
        held.state = RolloutState::Running;
        let Some(next) = self.choose_next_engine(held, &phases) else {
            return Vec::new();
        };
        let Some(engine) = engines.get_mut(&next.name) else {
            return Vec::new();
        };
        let Some(fencing) = engine.fencing_to_send(self.fencing) else {
            return Vec::new();
        };
        engine.record_order(self.now, self.rollout.revision);
        held.next_load_at = self.now + self.load_interval;
        vec![self.build_order(next, fencing)]
    }

    /// Returns whether an updated engine was unhealthy; the rollout then stays stopped until its
    /// settings change.
    fn is_stopped(&self, held: &mut HeldRollout, phases: &[(&EndpointView, EnginePhase)]) -> bool {
        let is_unhealthy = |(view, phase): &(&EndpointView, EnginePhase)| {
            let condition = view.summary.map(|summary| summary.condition);
            let is_updated = matches!(phase, EnginePhase::Updated | EnginePhase::Warming);
            is_updated && condition == Some(EndpointCondition::Unhealthy)
        };
        if phases.iter().any(is_unhealthy) {
            held.stopped_at = Some(self.rollout.revision);
        }
        held.stopped_at == Some(self.rollout.revision)
    }

    /// Returns the engine to update next, if the limits allow one.
    fn choose_next_engine<'v>(
        &self,
        held: &HeldRollout,
        phases: &[(&'v EndpointView, EnginePhase)],
    ) -> Option<&'v EndpointView> {
        if self.now < held.next_load_at {
            return None;
        }
        let is_busy =
            |phase: &EnginePhase| matches!(phase, EnginePhase::Loading | EnginePhase::Warming);
        let busy_count = phases.iter().filter(|(_, phase)| is_busy(phase)).count();
        let parallel_max = usize::try_from(self.rollout.parallel_max).unwrap_or(usize::MAX);
        if busy_count >= parallel_max.max(1) {
            return None;
        }
        let in_flight = |view: &EndpointView| view.summary.map_or(0, |summary| summary.in_flight);
        let candidate = phases
            .iter()
            .filter(|(_, phase)| *phase == EnginePhase::Outdated)
            .map(|(view, _)| *view)
            .min_by_key(|view| (in_flight(view), &view.name))?;
        let remaining = phases
            .iter()
            .filter(|(view, phase)| !is_busy(phase) && view.name != candidate.name)
            .map(|(view, _)| *view);
        let all = phases.iter().map(|(view, _)| *view);
        capacity::can_carry_load(remaining, all).then_some(candidate)
    }

    fn build_order(&self, engine: &EndpointView, fencing: FencingNumber) -> Order {
        Order {
            endpoint: engine.name.clone(),
            address: engine.address,
            fencing,
            model: self.rollout.model.clone(),
            version: self.rollout.version.clone(),
            adapter: self.rollout.adapter.clone(),
            send_before: self.now + self.config.lease,
        }
    }
}
