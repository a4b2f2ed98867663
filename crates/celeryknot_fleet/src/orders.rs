//! Orders to engines: one holder a service asserts the desired state, step by step.
//!
//! The desired state comes from the settings, so that it outlives every holder. A fencing number
//! holds the revision of these settings above the revision of the instance list: an order from
//! newer settings always passes, one from older settings never does, and two holders with the
//! same settings give the same orders. The holder's lease is checked again by the sender,
//! directly before the first byte.

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

/// A number that engines compare: the revision of the settings above that of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingNumber(pub u64);

const LIST_BITS: u32 = 20;

impl FencingNumber {
    /// Puts the number together; a list revision beyond 20 bits counts as the highest one.
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

/// The version that the engines of a service are to serve, from the settings in force.
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
    /// Most engines that may load at the same time.
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

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The version that it serves.
    pub version: String,
    /// Whether it is in cold start.
    pub is_cold: bool,
}

/// An order to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub endpoint: EndpointName,
    /// Where the engine takes orders.
    pub address: SocketAddr,
    /// The fencing number.
    pub fencing: FencingNumber,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: String,
    /// An adapter to load on top of the model.
    pub adapter: Option<String>,
    /// The end of the holder's lease: the first byte must leave before.
    pub send_before: MonotonicMs,
}

/// Limits of the orders of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersConfig {
    /// Time for which the right to send orders lasts without being confirmed.
    pub lease: DurationMs,
    /// Loads from the weight store that all rollouts together may start in a minute.
    pub loads_per_min_max: u32,
    /// Time after which an order that has shown no effect is given again.
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

/// How far a rollout has come, as this daemon sees it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Another daemon holds the duty.
    NotHeld,
    /// The lease of an earlier holder may last still.
    WaitsForLease,
    /// Engines are being updated.
    Runs,
    /// An updated engine is sick.
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

/// The orders that this daemon gives.
#[derive(Debug, Clone)]
pub struct Orders {
    config: OrdersConfig,
    held_rollouts: BTreeMap<ServiceName, HeldRollout>,
    engines: BTreeMap<EndpointName, Engine>,
}

impl Orders {
    /// Builds the state of a daemon that holds no duty.
    pub fn new(config: OrdersConfig) -> Self {
        Self {
            config,
            held_rollouts: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Notes what an engine says of itself.
    pub fn observe_engine(&mut self, endpoint: &EndpointName, report: EngineReport) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        engine.observe(report);
    }

    /// Notes that an engine has seen a higher fencing number.
    pub fn note_refused(&mut self, endpoint: &EndpointName, highest: FencingNumber) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        engine.note_refused(highest);
    }

    /// Gives up all leases: while this process was paused, others may have taken its held_rollouts.
    pub fn observe_pause(&mut self) {
        self.held_rollouts.clear();
        self.engines.clear();
    }

    /// Returns the state of a rollout as this daemon sees it.
    pub fn state(&self, service: &ServiceName) -> RolloutState {
        let held_rollout = self.held_rollouts.get(service);
        held_rollout.map_or(RolloutState::NotHeld, |held_rollout| held_rollout.state)
    }

    /// Returns the orders that are due; `is_holder` tells which services this daemon holds now.
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
                .binary_search_by(|known| known.name.cmp(name));
            found.is_ok()
        });
        let load_interval = self.load_interval(rollouts.len());
        let mut orders = Vec::new();
        for rollout in rollouts.iter().filter(|rollout| is_held(&rollout.service)) {
            let held_rollout =
                self.held_rollouts
                    .entry(rollout.service.clone())
                    .or_insert(HeldRollout {
                        held_since: now,
                        next_load_at: now,
                        stopped_at: None,
                        state: RolloutState::WaitsForLease,
                    });
            if now - held_rollout.held_since < self.config.lease {
                continue;
            }
            let engines: Vec<&EndpointView> = view
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.service == rollout.service && !endpoint.is_leaving)
                .collect();
            let pass = RolloutPass {
                now,
                rollout,
                fencing: FencingNumber::new(rollout.revision, list_revision),
                config: &self.config,
                load_interval,
            };
            orders.extend(pass.run(held_rollout, &mut self.engines, &engines));
        }
        orders
    }

    /// Returns the time between two loads of one rollout: each has an even share of the rate.
    fn load_interval(&self, rollout_count: usize) -> DurationMs {
        const MINUTE_MS: u64 = 60_000;
        let rate = u64::from(self.config.loads_per_min_max.max(1));
        DurationMs(MINUTE_MS * rollout_count.max(1) as u64 / rate)
    }
}

/// One look at one rollout.
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
        held_rollout: &mut HeldRollout,
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
            held_rollout.state = RolloutState::Done;
            return Vec::new();
        }
        if self.is_stopped(held_rollout, &phases) {
            held_rollout.state = RolloutState::Stopped;
            return Vec::new();
        }
        held_rollout.state = RolloutState::Runs;
        let Some(next) = self.choose_next_engine(held_rollout, &phases) else {
            return Vec::new();
        };
        let Some(engine) = engines.get_mut(&next.name) else {
            return Vec::new();
        };
        let Some(fencing) = engine.fencing_to_send(self.fencing) else {
            return Vec::new();
        };
        engine.note_ordered(self.now, self.rollout.revision);
        held_rollout.next_load_at = self.now + self.load_interval;
        vec![self.order(next, fencing)]
    }

    /// Tells whether an updated engine errs; a rollout stays stopped until its settings change.
    fn is_stopped(
        &self,
        held_rollout: &mut HeldRollout,
        phases: &[(&EndpointView, EnginePhase)],
    ) -> bool {
        let is_unhealthy = |(view, phase): &(&EndpointView, EnginePhase)| {
            let condition = view.summary.map(|summary| summary.condition);
            let is_updated = matches!(phase, EnginePhase::Updated | EnginePhase::Warming);
            is_updated && condition == Some(EndpointCondition::Sick)
        };
        if phases.iter().any(is_unhealthy) {
            held_rollout.stopped_at = Some(self.rollout.revision);
        }
        held_rollout.stopped_at == Some(self.rollout.revision)
    }

    /// Returns the engine that is updated next, if the limits leave room for one.
    fn choose_next_engine<'v>(
        &self,
        held_rollout: &HeldRollout,
        phases: &[(&'v EndpointView, EnginePhase)],
    ) -> Option<&'v EndpointView> {
        if self.now < held_rollout.next_load_at {
            return None;
        }
        let is_busy =
            |phase: &EnginePhase| matches!(phase, EnginePhase::Loading | EnginePhase::Warming);
        let busy = phases.iter().filter(|(_, phase)| is_busy(phase)).count();
        let parallel_max = usize::try_from(self.rollout.parallel_max).unwrap_or(usize::MAX);
        if busy >= parallel_max.max(1) {
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

    fn order(&self, engine: &EndpointView, fencing: FencingNumber) -> Order {
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
