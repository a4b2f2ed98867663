//! A fake fleet in virtual time: entry daemons without shared state, one owner per engine,
//! delayed summaries, engines with small caches, and chats that send requests at intervals.

mod engine;
mod outcome;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use celeryknot_core::{
    ChatKey, CustomerName, DurationMs, EndpointName, EndpointSummary, MonotonicMs, RequestId,
};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, AdmissionRequest, Decision, FinishOutcome, FinishStatus,
};
use celeryknot_policy::bound::ServiceLoad;
use celeryknot_policy::placement::{
    Candidate, CandidateReason, Candidates, ChatAnswer, Placement, PlacementEndpoint,
    PlacementRequest,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use engine::{Engine, Running};

pub(crate) use outcome::Outcome;

const TICK_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 250;
const ENTRY_DAEMON_COUNT: usize = 9;
const PREFILL_TOKENS_PER_MS: f64 = 8.0;
const WARM_UP_MS: u64 = 20_000;
const ATTEMPTS_MAX: usize = 4;

/// The parameters of a run of the fake fleet.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) engines: usize,
    pub(crate) chats: usize,
    pub(crate) cache_tokens: u32,
    pub(crate) lag_ms: u64,
    pub(crate) seconds: u64,
    pub(crate) limits: AdmissionLimits,
    /// Interval at which an engine drains and a daemon is replaced; 0 for never.
    pub(crate) churn_ms: u64,
    /// Share of the requests that carry the affinity value of the chat's last response.
    pub(crate) affinity_share: f64,
    /// Factor for the first customer's request rate during one second out of ten.
    pub(crate) surge: u32,
    /// Whether placement uses the current state of all engines.
    pub(crate) is_oracle: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: 10,
            chats: 600,
            cache_tokens: 200_000,
            lag_ms: 250,
            seconds: 150,
            limits: AdmissionLimits::default(),
            churn_ms: 0,
            affinity_share: 0.8,
            surge: 1,
            is_oracle: false,
        }
    }
}

#[derive(Debug, Clone)]
struct Chat {
    customer: CustomerName,
    context_tokens: u32,
    affinity: Option<(EndpointName, u32)>,
}

#[derive(Debug, Clone)]
struct Request {
    chat: usize,
    entry: usize,
    received_at: u64,
    prompt_tokens: u32,
    kv_source: Option<usize>,
}

/// Runs the plan with one placement for each entry daemon.
pub(crate) fn run<P: Placement>(plan: &Plan, new_placement: impl Fn() -> P) -> Outcome {
    let mut fleet = Fleet::new(plan.clone(), &new_placement);
    for now in (0..plan.seconds * 1_000).step_by(TICK_MS as usize) {
        fleet.tick(now, &new_placement);
    }
    let mut outcome = fleet.outcome;
    outcome.mean_in_flight /= outcome.samples.max(1) as f64;
    outcome
}

struct Fleet<P> {
    plan: Plan,
    rng: SmallRng,
    engines: Vec<Engine>,
    placements: Vec<P>,
    visible_endpoints: Vec<PlacementEndpoint>,
    history: VecDeque<(u64, Vec<EndpointSummary>)>,
    chats: Vec<Chat>,
    next_requests: BinaryHeap<Reverse<(u64, usize)>>,
    waiting: BTreeMap<u64, Request>,
    next_id: u64,
    outcome: Outcome,
}

impl<P: Placement> Fleet<P> {
    fn new(plan: Plan, new_placement: impl Fn() -> P) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let engines: Vec<Engine> = (0..plan.engines)
            .map(|index| Engine::new(index, plan.limits, plan.cache_tokens))
            .collect();
        let chats = (0..plan.chats).map(|index| Chat {
            customer: format!("customer-{}", index % 10).parse().unwrap(),
            context_tokens: rng.random_range(500..6_000),
            affinity: None,
        });
        let chats: Vec<Chat> = chats.collect();
        let next_requests = (0..plan.chats)
            .map(|index| Reverse((rng.random_range(0..WARM_UP_MS), index)))
            .collect();
        Self {
            placements: (0..ENTRY_DAEMON_COUNT).map(|_| new_placement()).collect(),
            visible_endpoints: engines
                .iter()
                .map(|engine| PlacementEndpoint::new(engine.name.clone()))
                .collect(),
            history: VecDeque::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
            outcome: Outcome::default(),
            engines,
            chats,
            next_requests,
            rng,
            plan,
        }
    }

    fn tick(&mut self, now: u64, new_placement: impl Fn() -> P) {
        self.churn(now, new_placement);
        for index in 0..self.engines.len() {
            self.finish_due_requests(index, now);
        }
        if now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report(now);
        }
        while let Some(Reverse((due, chat))) = self.next_requests.peek().copied() {
            if due > now {
                break;
            }
            self.next_requests.pop();
            self.submit_request(now, chat);
        }
        self.surge(now);
        for index in 0..self.engines.len() {
            self.poll(index, now);
        }
        if now.is_multiple_of(50) && now > WARM_UP_MS {
            self.sample();
        }
    }

    fn churn(&mut self, now: u64, new_placement: impl Fn() -> P) {
        let period = self.plan.churn_ms;
        if period == 0 || now == 0 {
            return;
        }
        if now.is_multiple_of(period) {
            let index = self.rng.random_range(0..self.engines.len());
            self.engines[index].drain(now);
            let entry = self.rng.random_range(0..ENTRY_DAEMON_COUNT);
            self.placements[entry] = new_placement();
        }
        for engine in &mut self.engines {
            engine.advance(now);
        }
    }

    fn finish_due_requests(&mut self, index: usize, now: u64) {
        while let Some((id, running)) = self.engines[index].pop_ended(now) {
            let engine = &mut self.engines[index];
            let first_token_ms = DurationMs(running.first_token_at - running.started_at);
            let outcome =
                FinishOutcome::new(FinishStatus::Succeeded).with_answer(first_token_ms, 150);
            engine
                .admission
                .finish(MonotonicMs(now), RequestId(id), outcome);
            let context_tokens = running.request.prompt_tokens + 150;
            engine.store(running.request.chat, context_tokens);
            let name = engine.name.clone();
            let answer = ChatAnswer {
                chat: key(running.request.chat),
                endpoint: self.visible_endpoints[index].name_hash,
                context_tokens,
                cached_tokens: Some(running.cached_tokens),
            };
            self.placements[running.request.entry].observe_answer(MonotonicMs(now), &answer);
            let chat = &mut self.chats[running.request.chat];
            let is_surge_copy = chat.context_tokens >= context_tokens;
            chat.context_tokens = if context_tokens > 10_000 {
                1_000
            } else {
                context_tokens
            };
            chat.affinity = Some((name, context_tokens));
            if !is_surge_copy {
                self.schedule_next_request(now, running.request.chat);
            }
        }
    }

    fn schedule_next_request(&mut self, now: u64, chat: usize) {
        let interval_ms = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(60_000..120_000),
            1..=4 => self.rng.random_range(15_000..60_000),
            _ => self.rng.random_range(2_000..15_000),
        };
        self.next_requests.push(Reverse((now + interval_ms, chat)));
    }

    fn report(&mut self, now: u64) {
        let now_ms = MonotonicMs(now);
        for engine in &mut self.engines {
            let load = engine.load(now);
            engine.admission.observe_load(now_ms, load);
        }
        let summaries = self
            .engines
            .iter()
            .map(|engine| engine.admission.summary(now_ms))
            .collect();
        self.history.push_back((now, summaries));
        while self.history.len() > 1 && self.history[1].0 + self.plan.lag_ms <= now {
            self.history.pop_front();
        }
        let (summaries_at, old) = self.history[0].clone();
        for (index, engine) in self.engines.iter().enumerate() {
            self.visible_endpoints[index] = self.visible_endpoints[index]
                .clone()
                .with_summary(Some(old[index]))
                .with_accepts_requests(engine.accepts_requests());
        }
        let age_ms = DurationMs(now - summaries_at + REPORT_INTERVAL_MS / 2);
        let accepting: Vec<bool> = self.engines.iter().map(Engine::accepts_requests).collect();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let mut summaries = old.clone();
            summaries[index] = engine.admission.summary(now_ms);
            let summaries = summaries
                .iter()
                .zip(&accepting)
                .filter(|(_, accepts)| **accepts)
                .map(|(summary, _)| summary);
            engine.admission.observe_service_load(
                now_ms,
                ServiceLoad::from_summaries(summaries).with_age_ms(age_ms),
            );
        }
    }

    fn surge(&mut self, now: u64) {
        if self.plan.surge <= 1 || !(now / 1_000).is_multiple_of(10) {
            return;
        }
        // The first customer's chats send further requests without waiting.
        let rate_per_ms = self.plan.chats as f64 / 10.0 / 12_000.0;
        let probability = rate_per_ms * TICK_MS as f64 * f64::from(self.plan.surge - 1);
        if self.rng.random::<f64>() < probability {
            let chat = self.rng.random_range(0..self.plan.chats / 10) * 10;
            self.submit_request(now, chat);
        }
    }

    fn submit_request(&mut self, now: u64, chat: usize) {
        let request = Request {
            chat,
            entry: self.rng.random_range(0..ENTRY_DAEMON_COUNT),
            received_at: now,
            prompt_tokens: self.chats[chat].context_tokens + self.rng.random_range(50..400),
            kv_source: None,
        };
        let has_affinity = self.rng.random::<f64>() < self.plan.affinity_share;
        let affinity = self.chats[chat].affinity.clone().filter(|_| has_affinity);
        let mut placement = PlacementRequest {
            chat: Some(key(chat)),
            affinity: affinity.as_ref().map(|(name, _)| name.clone()),
            cached_tokens_hint: affinity.map_or(0, |(_, tokens)| tokens),
            prompt_tokens: request.prompt_tokens,
            ..PlacementRequest::default()
        };
        for attempt in 0..ATTEMPTS_MAX {
            let candidates = self.rank(now, &request, &placement);
            let Some(first) = candidates.first() else {
                break;
            };
            let next = candidates.get(1).filter(|_| attempt + 1 < ATTEMPTS_MAX);
            let alternative = next.map(|next| first.break_even_wait_ms(next));
            if self.offer(now, &request, first, alternative) {
                return;
            }
            placement
                .excluded
                .push(self.engines[first.index].name.clone());
        }
        self.outcome.refused += 1;
        self.schedule_next_request(now, chat);
    }

    fn rank(&mut self, now: u64, request: &Request, placement: &PlacementRequest) -> Candidates {
        if self.plan.is_oracle {
            return self.rank_as_oracle(now, request, placement);
        }
        self.placements[request.entry].rank(
            MonotonicMs(now),
            placement,
            &self.visible_endpoints,
            &mut self.rng,
        )
    }

    fn rank_as_oracle(
        &self,
        now: u64,
        request: &Request,
        placement: &PlacementRequest,
    ) -> Candidates {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.accepts_requests() || placement.excluded.contains(&engine.name) {
                continue;
            }
            let summary = engine.admission.summary(MonotonicMs(now));
            let uncached =
                request.prompt_tokens - engine.cached(request.chat).min(request.prompt_tokens);
            let utilization =
                f64::from(summary.in_flight) / f64::from(summary.in_flight_max.max(1));
            candidates.push(Candidate {
                index,
                wait_ms: summary.wait_ms,
                uncached_tokens: uncached,
                cost_ms: summary.wait_ms.0 as f64
                    + f64::from(uncached) / PREFILL_TOKENS_PER_MS
                    + utilization,
                kv_source: None,
                reason: CandidateReason::LeastWait,
            });
        }
        candidates.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        candidates.into_iter().take(ATTEMPTS_MAX).collect()
    }

    fn offer(
        &mut self,
        now: u64,
        request: &Request,
        to: &Candidate,
        alternative: Option<DurationMs>,
    ) -> bool {
        self.next_id += 1;
        let id = self.next_id;
        let customer = self.chats[request.chat].customer.clone();
        let admission_request = AdmissionRequest::builder(RequestId(id), customer)
            .cost_tokens(150 + to.uncached_tokens / 4)
            .alternative_wait_ms(alternative)
            .build();
        let request = Request {
            kv_source: to.kv_source,
            ..request.clone()
        };
        match self.engines[to.index]
            .admission
            .offer(MonotonicMs(now), admission_request)
        {
            Decision::Start => self.start(to.index, id, request, now),
            Decision::Queued => {
                self.waiting.insert(id, request);
            }
            Decision::Refuse(_) => return false,
        }
        true
    }

    fn poll(&mut self, index: usize, now: u64) {
        while let Some(action) = self.engines[index].admission.poll(MonotonicMs(now)) {
            match action {
                AdmissionAction::Start(RequestId(id)) => {
                    let request = self.waiting.remove(&id).unwrap();
                    self.start(index, id, request, now);
                }
                AdmissionAction::Refuse(RequestId(id), _) => {
                    let request = self.waiting.remove(&id).unwrap();
                    self.outcome.refused += 1;
                    self.schedule_next_request(now, request.chat);
                }
            }
        }
    }

    fn start(&mut self, index: usize, id: u64, request: Request, now: u64) {
        let source_tokens = request
            .kv_source
            .map(|source| self.engines[source].cached(request.chat));
        let own_tokens = self.engines[index].cached(request.chat);
        let imported_tokens = source_tokens.unwrap_or(0).saturating_sub(own_tokens);
        let cached_tokens = (own_tokens + imported_tokens).min(request.prompt_tokens);
        let uncached_tokens = request.prompt_tokens - cached_tokens;
        let prefill_ms = f64::from(uncached_tokens) / PREFILL_TOKENS_PER_MS;
        let import_ms = f64::from(imported_tokens) / PREFILL_TOKENS_PER_MS / 8.0;
        let answer_ms = self.rng.random_range(1_000..3_500);
        if now > WARM_UP_MS {
            self.outcome.started += 1;
            self.outcome.prompt_tokens += u64::from(request.prompt_tokens);
            self.outcome.cached_tokens += u64::from(cached_tokens);
            let first_token_ms = now - request.received_at + (prefill_ms + import_ms) as u64;
            self.outcome.first_token_ms.push(first_token_ms);
            if !request.chat.is_multiple_of(10) {
                self.outcome
                    .other_customers_first_token_ms
                    .push(first_token_ms);
            }
        }
        let first_token_at = now + (prefill_ms + import_ms) as u64 + 50;
        let engine = &mut self.engines[index];
        let running = Running {
            request,
            cached_tokens,
            started_at: now,
            first_token_at,
        };
        engine.start(id, running, first_token_at + answer_ms);
        self.outcome.cold_excess += u64::from(engine.exceeds_cold_bound(now));
    }

    fn sample(&mut self) {
        let accepting = self
            .engines
            .iter()
            .filter(|engine| engine.accepts_requests());
        let loads: Vec<f64> = accepting
            .map(|engine| f64::from(engine.in_flight()))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let largest = loads.iter().copied().fold(0.0, f64::max);
        let excess = largest - (1.25 * mean + 1.0);
        self.outcome.samples += 1;
        self.outcome.above += u64::from(excess > 1e-9);
        self.outcome.excess_max = self.outcome.excess_max.max(excess);
        self.outcome.max_over_mean = self.outcome.max_over_mean.max(largest / mean.max(1.0));
        self.outcome.mean_in_flight += mean;
    }
}

fn key(chat: usize) -> ChatKey {
    ChatKey((chat as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
