//! Placements to compare with: the usual ones, and one that knows everything.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_core::{ChatKey, EndpointName, EndpointSummary, MonotonicMs};
use celeryknot_policy::placement::{
    ConsistentHash, LeastLoad, Placement as PolicyPlacement, PlacementEndpoint, PlacementRequest,
    Random, RoundRobin,
};
use celeryknot_standins::Outcome;
use celeryknot_standins::caller::{CallTarget, Completed};
use celeryknot_standins::load::{ChatCall, Placed, Placement, Route};
use celeryknot_standins::text::prompt_tokens;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::Timer;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::cluster::{EngineSlot, Engines};
use crate::deployment::DeploymentSpec;

/// A placement that takes the router's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Alternative {
    /// Any engine.
    Random,
    /// Each router in turn.
    RoundRobin,
    /// The least load that each router knows of.
    LeastLoad,
    /// The first engine in the chat's rendezvous order.
    ConsistentHash,
    /// One placer with full, instant knowledge.
    Oracle,
}

/// How old the load is that the routers of a baseline know.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks for room.
const ROOM_CHECK: Duration = Duration::from_millis(2);

/// One router of a baseline, with its own view.
#[derive(Debug)]
struct Router {
    turn: RoundRobin,
    reports: Vec<u32>,
    reported: Option<Instant>,
    own_in_flight: Vec<u32>,
}

#[derive(Debug)]
struct State {
    routers: Vec<Router>,
    next: usize,
    random: SmallRng,
}

/// Places chats straight on the engines.
#[derive(Debug)]
pub struct Baseline {
    alternative: Alternative,
    spec: &'static DeploymentSpec,
    engines: Arc<Engines>,
    load_multiple: f64,
    prefill_tokens_per_s: f64,
    /// Where each request is in flight, for the routers' own counts.
    state: Mutex<State>,
}

impl Baseline {
    /// Builds a baseline of so many routers.
    pub fn new(
        alternative: Alternative,
        spec: &'static DeploymentSpec,
        engines: Arc<Engines>,
        options: &crate::cluster::ClusterOptions,
        routers: usize,
    ) -> Self {
        let count = engines.slots().len();
        let router = || Router {
            turn: RoundRobin::default(),
            reports: vec![0; count],
            reported: None,
            own_in_flight: vec![0; count],
        };
        Self {
            alternative,
            spec,
            engines,
            load_multiple: options.load_multiple,
            prefill_tokens_per_s: options.engine.prefill_tokens_per_s,
            state: Mutex::new(State {
                routers: (0..routers.max(1)).map(|_| router()).collect(),
                next: 0,
                random: SmallRng::seed_from_u64(options.engine.seed),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the state")
    }

    /// Picks an engine, and the router that counts the request.
    fn pick(&self, chat: ChatKey, prompt_len: usize) -> Route {
        // The router's own count stays with the request until it ends.
        let mut state = self.state();
        let State {
            routers,
            next,
            random,
        } = &mut *state;
        *next = (*next + 1) % routers.len();
        let router = &mut routers[*next];
        if self.alternative == Alternative::Oracle {
            let engine = self.pick_with_full_knowledge(chat, prompt_len);
            return Route {
                router: *next,
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
        let ranked = match self.alternative {
            Alternative::Random => Random.rank(now, &request, &endpoints, random),
            Alternative::RoundRobin => router.turn.rank(now, &request, &endpoints, random),
            Alternative::LeastLoad => LeastLoad.rank(now, &request, &endpoints, random),
            Alternative::ConsistentHash | Alternative::Oracle => {
                ConsistentHash.rank(now, &request, &endpoints, random)
            }
        };
        let engine = ranked.first().map_or(0, |candidate| candidate.index);
        router.own_in_flight[engine] += 1;
        Route {
            router: *next,
            engine,
        }
    }

    /// Returns the engines as the router knows them.
    fn endpoints(&self, router: &mut Router) -> Vec<PlacementEndpoint> {
        let slots = self.engines.slots();
        let is_due = router
            .reported
            .is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
        if is_due {
            router.reported = Some(Instant::now());
            router.reports = slots.iter().map(|slot| slot.in_flight()).collect();
        }
        slots
            .iter()
            .enumerate()
            .map(|(index, slot)| {
                let name: EndpointName = slot.name.parse().expect("the engines' names are valid");
                let summary = EndpointSummary {
                    in_flight: router.reports[index] + router.own_in_flight[index],
                    ..EndpointSummary::default()
                };
                PlacementEndpoint::new(name)
                    .with_takes_new_work(slot.takes_new_work())
                    .with_summary(Some(summary))
            })
            .collect()
    }

    /// Waits for room at the engine with the chat's context, as long as that is worth it.
    async fn wait_for_context(&self, chat: ChatKey, prompt_len: usize) {
        let start = Instant::now();
        loop {
            let (best, with_room) = {
                let slots = self.engines.slots();
                let saved = |index: usize| slots[index].cached_tokens(chat).min(prompt_len);
                let live = live_engines(&slots);
                let bound = self.bound(&slots, &live);
                let has_room = |index: &usize| f64::from(slots[*index].in_flight()) <= bound;
                let best = live.iter().copied().map(saved).max().unwrap_or(0);
                let with_room = live.iter().copied().filter(has_room).map(saved).max();
                (best, with_room.unwrap_or(0))
            };
            let worth_s = best.saturating_sub(with_room) as f64 / self.prefill_tokens_per_s;
            if start.elapsed().as_secs_f64() >= worth_s {
                return;
            }
            Timer::after(ROOM_CHECK).await;
        }
    }

    /// Returns the most work with which an engine may get one more request.
    fn bound(&self, slots: &[EngineSlot], live: &[usize]) -> f64 {
        let total: u32 = live.iter().map(|index| slots[*index].in_flight()).sum();
        self.load_multiple * f64::from(total + 1) / live.len().max(1) as f64
    }

    /// Takes the engine with the most of the prompt in its cache that stays under the bound.
    fn pick_with_full_knowledge(&self, chat: ChatKey, prompt_len: usize) -> usize {
        let slots = self.engines.slots();
        let live = live_engines(&slots);
        let bound = self.bound(&slots, &live);
        let cost = |index: &usize| {
            let slot = &slots[*index];
            let cached = slot.cached_tokens(chat).min(prompt_len);
            let in_flight = f64::from(slot.in_flight());
            let prefill_s = (prompt_len - cached) as f64 / self.prefill_tokens_per_s;
            // Among engines with the same context the one with less work goes first.
            let busy_s = in_flight / 10_000.0;
            (in_flight > bound, prefill_s + busy_s)
        };
        live.into_iter()
            .min_by(|one, other| {
                let (one, other) = (cost(one), cost(other));
                one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
            })
            .unwrap_or(0)
    }
}

/// Returns the engines that may get new work; one in cold start only if it can bear more.
fn live_engines(slots: &[EngineSlot]) -> Vec<usize> {
    let takes_work = |index: &usize| slots[*index].takes_new_work() && slots[*index].has_room();
    (0..slots.len()).filter(takes_work).collect()
}

impl Placement for Baseline {
    async fn place(&self, call: ChatCall<'_>) -> Placed {
        const VALID: &str = "the deployments' names are valid";
        let chat = ChatKey::new(
            &self.spec.model_service.parse().expect(VALID),
            &self.spec.model.parse().expect(VALID),
            &call.customer.parse().expect(VALID),
            call.chat,
        );
        let prompt_len = prompt_tokens(&call.request.messages).len();
        if self.alternative == Alternative::Oracle {
            self.wait_for_context(chat, prompt_len).await;
        }
        let route = self.pick(chat, prompt_len);
        Placed {
            target: CallTarget {
                address: self.engines.slots()[route.engine].address(),
                prefix: String::new(),
                customer: call.customer.to_owned(),
            },
            chat: chat.to_string(),
            route,
        }
    }

    fn ended(&self, placed: &Placed, _outcome: &Outcome<Completed>) {
        let Route { router, engine } = placed.route;
        let mut state = self.state();
        let count = &mut state.routers[router].own_in_flight[engine];
        *count = count.saturating_sub(1);
    }

    fn plain_targets(&self, _customer: &str, _service: &str) -> Vec<CallTarget> {
        Vec::new()
    }
}
