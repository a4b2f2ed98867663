//! Baseline placements: common strategies, and an oracle with complete information.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_core::{ChatKey, EndpointName, EndpointSummary, MonotonicMs};
use celeryknot_policy::placement::{
    ConsistentHash, LeastLoad, Placement as PolicyPlacement, PlacementEndpoint, PlacementRequest,
    Random, RoundRobin,
};
use celeryknot_standins::Outcome;
use celeryknot_standins::caller::{CallTarget, Completed};
use celeryknot_standins::load::{ChatCall, PlacedCall, Placement, Route};
use celeryknot_standins::text::prompt_tokens;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::Timer;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::cluster::{EngineSlot, Engines};
use crate::deployment::DeploymentSpec;

/// A placement strategy that replaces the router in a baseline run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BaselineStrategy {
    /// A random engine.
    Random,
    /// The engines in turn, counted separately by each router.
    RoundRobin,
    /// The engine with the least load in the router's own, possibly stale, view.
    LeastLoad,
    /// The first engine in the rendezvous hash order of the chat.
    ConsistentHash,
    /// A single placement with complete and current information.
    Oracle,
}

/// Maximum age of the load reports that the routers of a baseline use.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for an engine with capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A router of a baseline, with its own view of the engines.
#[derive(Debug)]
struct Router {
    round_robin: RoundRobin,
    reported_in_flight: Vec<u32>,
    reported_at: Option<Instant>,
    local_in_flight: Vec<u32>,
}

#[derive(Debug)]
struct BaselineState {
    routers: Vec<Router>,
    next_router: usize,
    rng: SmallRng,
}

/// Places chats directly on the engines, without the router.
#[derive(Debug)]
pub struct Baseline {
    strategy: BaselineStrategy,
    spec: &'static DeploymentSpec,
    engines: Arc<Engines>,
    load_multiple: f64,
    prefill_tokens_per_s: f64,
    /// The routers with their own counts of requests in flight.
    state: Mutex<BaselineState>,
}

impl Baseline {
    /// Creates a baseline with the given number of routers.
    pub fn new(
        strategy: BaselineStrategy,
        spec: &'static DeploymentSpec,
        engines: Arc<Engines>,
        options: &crate::cluster::ClusterOptions,
        routers: usize,
    ) -> Self {
        let count = engines.slots().len();
        let router = || Router {
            round_robin: RoundRobin::default(),
            reported_in_flight: vec![0; count],
            reported_at: None,
            local_in_flight: vec![0; count],
        };
        Self {
            strategy,
            spec,
            engines,
            load_multiple: options.load_multiple,
            prefill_tokens_per_s: options.engine.prefill_tokens_per_s,
            state: Mutex::new(BaselineState {
                routers: (0..routers.max(1)).map(|_| router()).collect(),
                next_router: 0,
                rng: SmallRng::seed_from_u64(options.engine.seed),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, BaselineState> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }

    /// Selects an engine, and the router that counts the request.
    fn select_route(&self, chat: ChatKey, prompt_len: usize) -> Route {
        // The selected router counts the request as in flight until it ends.
        let mut state = self.state();
        let BaselineState {
            routers,
            next_router,
            rng,
        } = &mut *state;
        *next_router = (*next_router + 1) % routers.len();
        let router = &mut routers[*next_router];
        if self.strategy == BaselineStrategy::Oracle {
            let engine = self.select_oracle_engine(chat, prompt_len);
            return Route {
                router: *next_router,
                engine,
            };
        }
        let endpoints = self.endpoints(router);
        let request = PlacementRequest {
            chat: Some(chat),
            prompt_tokens: prompt_len as u32,
            ..PlacementRequest::default()
        };
        let now = MonotonicMs(0);
        let ranked = match self.strategy {
            BaselineStrategy::Random => Random.rank(now, &request, &endpoints, rng),
            BaselineStrategy::RoundRobin => router.round_robin.rank(now, &request, &endpoints, rng),
            BaselineStrategy::LeastLoad => LeastLoad.rank(now, &request, &endpoints, rng),
            BaselineStrategy::ConsistentHash | BaselineStrategy::Oracle => {
                ConsistentHash.rank(now, &request, &endpoints, rng)
            }
        };
        let engine = ranked.first().map_or(0, |candidate| candidate.index);
        router.local_in_flight[engine] += 1;
        Route {
            router: *next_router,
            engine,
        }
    }

    /// Returns the engines as the router sees them.
    fn endpoints(&self, router: &mut Router) -> Vec<PlacementEndpoint> {
        let slots = self.engines.slots();
        let is_due = router
            .reported_at
            .is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
        if is_due {
            router.reported_at = Some(Instant::now());
            router.reported_in_flight = slots.iter().map(|slot| slot.in_flight()).collect();
        }
        slots
            .iter()
            .enumerate()
            .map(|(index, slot)| {
                let name: EndpointName = slot.name.parse().expect("the engines' names are valid");
                let summary = EndpointSummary {
                    in_flight: router.reported_in_flight[index] + router.local_in_flight[index],
                    ..EndpointSummary::default()
                };
                PlacementEndpoint::new(name)
                    .with_accepts_requests(slot.accepts_requests())
                    .with_summary(Some(summary))
            })
            .collect()
    }

    /// Waits for capacity at the engine that holds the chat's context, no longer than the prefill
    /// time that its cached tokens save.
    async fn wait_for_cache_holder(&self, chat: ChatKey, prompt_len: usize) {
        let start = Instant::now();
        loop {
            let (max_cached, max_cached_in_bound) = {
                let slots = self.engines.slots();
                let reusable_tokens =
                    |index: usize| slots[index].cached_tokens(chat).min(prompt_len);
                let available = available_engines(&slots);
                let load_bound = self.load_bound(&slots, &available);
                let has_capacity =
                    |index: &usize| f64::from(slots[*index].in_flight()) <= load_bound;
                let max_cached = available
                    .iter()
                    .copied()
                    .map(reusable_tokens)
                    .max()
                    .unwrap_or(0);
                let max_cached_in_bound = available
                    .iter()
                    .copied()
                    .filter(has_capacity)
                    .map(reusable_tokens)
                    .max();
                (max_cached, max_cached_in_bound.unwrap_or(0))
            };
            let prefill_saved_s =
                max_cached.saturating_sub(max_cached_in_bound) as f64 / self.prefill_tokens_per_s;
            if start.elapsed().as_secs_f64() >= prefill_saved_s {
                return;
            }
            Timer::after(CAPACITY_CHECK_INTERVAL).await;
        }
    }

    /// Returns the maximum number of requests in flight with which an engine may get another.
    fn load_bound(&self, slots: &[EngineSlot], available: &[usize]) -> f64 {
        let total: u32 = available
            .iter()
            .map(|index| slots[*index].in_flight())
            .sum();
        self.load_multiple * f64::from(total + 1) / available.len().max(1) as f64
    }

    /// Selects the engine with the most cached prompt tokens within the load bound.
    fn select_oracle_engine(&self, chat: ChatKey, prompt_len: usize) -> usize {
        let slots = self.engines.slots();
        let available = available_engines(&slots);
        let load_bound = self.load_bound(&slots, &available);
        let cost = |index: &usize| {
            let slot = &slots[*index];
            let cached = slot.cached_tokens(chat).min(prompt_len);
            let in_flight = f64::from(slot.in_flight());
            let prefill_s = (prompt_len - cached) as f64 / self.prefill_tokens_per_s;
            // Breaks ties between engines with equally many cached tokens by load.
            let busy_s = in_flight / 10_000.0;
            (in_flight > load_bound, prefill_s + busy_s)
        };
        available
            .into_iter()
            .min_by(|one, other| {
                let (one, other) = (cost(one), cost(other));
                one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
            })
            .unwrap_or(0)
    }
}

/// Returns the engines that accept requests; cold ones only while they have capacity.
fn available_engines(slots: &[EngineSlot]) -> Vec<usize> {
    let is_available =
        |index: &usize| slots[*index].accepts_requests() && slots[*index].has_capacity();
    (0..slots.len()).filter(is_available).collect()
}

impl Placement for Baseline {
    async fn place(&self, call: ChatCall<'_>) -> PlacedCall {
        const VALID: &str = "the deployments' names are valid";
        let chat = ChatKey::new(
            &self.spec.model_service.parse().expect(VALID),
            &self.spec.model.parse().expect(VALID),
            &call.customer.parse().expect(VALID),
            call.chat,
        );
        let prompt_len = prompt_tokens(&call.request.messages).len();
        if self.strategy == BaselineStrategy::Oracle {
            self.wait_for_cache_holder(chat, prompt_len).await;
        }
        let route = self.select_route(chat, prompt_len);
        PlacedCall {
            target: CallTarget {
                address: self.engines.slots()[route.engine].address(),
                prefix: String::new(),
                customer: call.customer.to_owned(),
            },
            chat: chat.to_string(),
            route,
        }
    }

    fn record_end(&self, placed: &PlacedCall, _outcome: &Outcome<Completed>) {
        let Route { router, engine } = placed.route;
        let mut state = self.state();
        let count = &mut state.routers[router].local_in_flight[engine];
        *count = count.saturating_sub(1);
    }

    fn plain_service_targets(&self, _customer: &str, _service: &str) -> Vec<CallTarget> {
        Vec::new()
    }
}
