//! The engines and plain endpoints of a cluster.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use celeryknot_core::ChatKey;
use celeryknot_platform::{EndpointInstance, Fencing, Instance, InstanceState};
use celeryknot_standins::wire::EndpointMode;
use celeryknot_standins::{
    EndpointCounters, Engine, EngineOptions, LOOPBACK, Service, ServiceOptions,
};
use serde::Serialize;

use crate::deployment::DeploymentSpec;

/// An engine, or the slot of a stopped one.
#[derive(Debug)]
pub struct EngineSlot {
    /// The engine's name.
    pub name: String,
    /// The engine's zone.
    pub zone: &'static str,
    /// The engine, while it runs.
    pub engine: Option<Engine>,
    /// The engine's state in the instance list.
    pub state: InstanceState,
    /// Whether the engine's zone is in service.
    pub is_zone_in_service: bool,
    address: SocketAddr,
    /// The address published to daemons.
    pub(super) advertised_address: SocketAddr,
    /// Counters of the stopped engines of this slot.
    previous_counters: Vec<EndpointCounters>,
}

/// The load of an engine at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct EngineLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether the engine may get its full share of the load: it is running, not draining, warm and
    /// in a zone in service.
    #[serde(rename = "is_full_member")]
    pub is_fully_available: bool,
}

impl EngineSlot {
    /// Returns whether the engine may get new requests.
    pub fn accepts_requests(&self) -> bool {
        self.engine.is_some() && self.state == InstanceState::Live && self.is_zone_in_service
    }

    /// Returns the engine's own address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.engine.as_ref().map_or(0, Engine::in_flight)
    }

    /// Returns the number of cached tokens of a chat.
    pub fn cached_tokens(&self, chat: ChatKey) -> usize {
        self.engine
            .as_ref()
            .map_or(0, |engine| engine.cached_tokens(chat))
    }

    /// Returns whether the engine has capacity for another request; only a cold engine is limited.
    pub fn has_capacity(&self) -> bool {
        let load = self.engine.as_ref().map(Engine::load).unwrap_or_default();
        !load.cold || load.in_flight < load.bound
    }

    fn load(&self) -> EngineLoad {
        let load = self.engine.as_ref().map(Engine::load).unwrap_or_default();
        EngineLoad {
            in_flight: load.in_flight,
            is_fully_available: self.accepts_requests() && !load.cold,
        }
    }
}

/// Prompt tokens that engines received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptCount {
    /// All prompt tokens.
    pub tokens: u64,
    /// Prompt tokens found in a cache.
    pub cached_tokens: u64,
}

impl PromptCount {
    /// Returns the cached share of the tokens received since an earlier count.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_measure::cluster::PromptCount;
    ///
    /// let before = PromptCount { tokens: 100, cached_tokens: 0 };
    /// let now = PromptCount { tokens: 300, cached_tokens: 150 };
    /// assert_eq!(now.reuse_ratio_since(before), 0.75);
    /// ```
    pub fn reuse_ratio_since(self, before: Self) -> f64 {
        let tokens = self.tokens.saturating_sub(before.tokens);
        let cached = self.cached_tokens.saturating_sub(before.cached_tokens);
        cached as f64 / (tokens as f64).max(1.0)
    }
}

/// All engines of a cluster.
#[derive(Debug)]
pub struct Engines(Mutex<Vec<EngineSlot>>);

impl Engines {
    pub(super) fn start(
        spec: &DeploymentSpec,
        count: usize,
        options: &EngineOptions,
    ) -> eyre::Result<Self> {
        let mut slots = Vec::with_capacity(count);
        for index in 0..count {
            let seed = options.seed.wrapping_add(index as u64);
            let engine = Engine::start(options.clone().seed(seed), LOOPBACK)?;
            slots.push(EngineSlot {
                name: format!("{}-{}", spec.model_service, index + 1),
                zone: spec.zone(index),
                address: engine.address(),
                advertised_address: engine.address(),
                engine: Some(engine),
                state: InstanceState::Live,
                is_zone_in_service: true,
                previous_counters: Vec::new(),
            });
        }
        Ok(Self(Mutex::new(slots)))
    }

    /// Locks and returns the engine slots.
    pub fn slots(&self) -> MutexGuard<'_, Vec<EngineSlot>> {
        self.0
            .lock()
            .expect("no thread panics while holding the lock")
    }

    /// Returns the current load of every engine.
    pub fn loads(&self) -> Vec<EngineLoad> {
        self.slots().iter().map(EngineSlot::load).collect()
    }

    /// Returns the counters of the engines of each slot, including stopped ones.
    pub fn counters(&self) -> Vec<Vec<EndpointCounters>> {
        self.slots()
            .iter()
            .map(|slot| {
                let current = slot.engine.as_ref().map(Engine::counters);
                slot.previous_counters
                    .iter()
                    .cloned()
                    .chain(current)
                    .collect()
            })
            .collect()
    }

    /// Returns the prompt tokens that engines have received so far.
    pub fn prompt_count(&self) -> PromptCount {
        let mut count = PromptCount::default();
        for counters in self.counters().iter().flatten() {
            count.tokens += counters.prompt_tokens;
            count.cached_tokens += counters.cached_tokens;
        }
        count
    }

    /// Sets the mode of an engine.
    pub fn set_mode(&self, index: usize, mode: EndpointMode) {
        if let Some(engine) = &self.slots()[index].engine {
            engine.set_mode(mode);
        }
    }

    pub(super) fn set_zone_in_service(&self, zone: &str, is_in_service: bool) {
        for slot in self.slots().iter_mut().filter(|slot| slot.zone == zone) {
            slot.is_zone_in_service = is_in_service;
        }
    }

    pub(super) fn set_state(&self, index: usize, state: InstanceState) {
        self.slots()[index].state = state;
    }

    pub(super) async fn stop(&self, index: usize) {
        let engine = {
            let mut slots = self.slots();
            let slot = &mut slots[index];
            let engine = slot.engine.take();
            slot.previous_counters
                .extend(engine.as_ref().map(Engine::counters));
            engine
        };
        if let Some(engine) = engine {
            engine.stop().await;
        }
    }

    pub(super) async fn stop_all(&self) {
        let count = self.slots().len();
        for index in 0..count {
            self.stop(index).await;
        }
    }

    pub(super) fn restart(&self, index: usize, options: EngineOptions) -> eyre::Result<()> {
        let mut slots = self.slots();
        let slot = &mut slots[index];
        let seed = options.seed.wrapping_add(index as u64);
        // A new engine instance gets a new address.
        let engine = Engine::start(options.seed(seed), LOOPBACK)?;
        slot.address = engine.address();
        slot.advertised_address = engine.address();
        slot.engine = Some(engine);
        slot.state = InstanceState::Live;
        Ok(())
    }

    pub(super) fn instances(&self, service: &str) -> Vec<Instance> {
        self.slots()
            .iter()
            .filter(|slot| slot.engine.is_some())
            .map(|slot| {
                instance(
                    &slot.name,
                    service,
                    slot.zone,
                    slot.advertised_address,
                    slot.state,
                )
            })
            .collect()
    }
}

/// An endpoint of the plain service.
#[derive(Debug)]
pub struct ServiceSlot {
    /// The endpoint's name.
    pub name: String,
    /// The endpoint's zone.
    pub zone: &'static str,
    /// The endpoint.
    pub service: Service,
    /// The address published to daemons.
    pub(super) advertised_address: SocketAddr,
}

impl ServiceSlot {
    pub(super) fn instance(&self, spec: &DeploymentSpec) -> Instance {
        instance(
            &self.name,
            spec.plain_service,
            self.zone,
            self.advertised_address,
            InstanceState::Live,
        )
    }
}

pub(super) fn start_services(
    spec: &DeploymentSpec,
    count: usize,
    options: &ServiceOptions,
) -> eyre::Result<Vec<ServiceSlot>> {
    (0..count)
        .map(|index| {
            let service = Service::start(options.clone(), LOOPBACK)?;
            Ok(ServiceSlot {
                name: format!("{}-{}", spec.plain_service, index + 1),
                zone: spec.zone(index),
                advertised_address: service.address(),
                service,
            })
        })
        .collect()
}

fn instance(
    name: &str,
    service: &str,
    zone: &str,
    address: SocketAddr,
    state: InstanceState,
) -> Instance {
    const VALID: &str = "the deployments' names are valid";
    Instance::Endpoint(EndpointInstance {
        name: name.parse().expect(VALID),
        service: service.parse().expect(VALID),
        zone: zone.parse().expect(VALID),
        address,
        state,
        fencing: Fencing::Refuses,
    })
}
