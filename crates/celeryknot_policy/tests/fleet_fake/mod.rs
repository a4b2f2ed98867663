//! A fake fleet in virtual time: one owner for each engine, lagging summaries, fickle load.

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{CustomerName, DurationMs, EndpointSummary, MonotonicMs, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, AdmissionRequest, Decision, EndpointAdmission, FinishOutcome,
    FinishStatus, ReportedLoad,
};
use celeryknot_policy::bound::ServiceLoad;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 250;
const WAIT_AT_LEAST_MS: u64 = 100;

/// What the fake fleet is put through.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) engines: usize,
    pub(crate) lag_ms: u64,
    pub(crate) seconds: u64,
    pub(crate) limits: AdmissionLimits,
    /// Mean requests in flight at an engine that the load would make without any queue.
    pub(crate) mean_wanted: f64,
    pub(crate) service_ms: f64,
    /// Share of the requests that go to a few engines first.
    pub(crate) hot_share: f64,
    /// Load is multiplied by this in one second out of ten.
    pub(crate) surge: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: 10,
            lag_ms: 500,
            seconds: 120,
            limits: AdmissionLimits::default(),
            mean_wanted: 12.0,
            service_ms: 3_000.0,
            hot_share: 0.3,
            surge: 2.0,
        }
    }
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) samples: u64,
    /// Samples in which an engine carried more than the multiple of the mean plus one.
    pub(crate) above: u64,
    /// The most by which an engine was above the multiple of the mean plus one.
    pub(crate) excess_max: f64,
    pub(crate) max_over_mean: f64,
    pub(crate) mean_in_flight: f64,
    pub(crate) started: u64,
    pub(crate) refused: u64,
    pub(crate) wait_ms_sum: u64,
}

struct Engine {
    admission: EndpointAdmission,
    ends: BTreeMap<(u64, u64), u64>,
    queued_at: BTreeMap<u64, u64>,
    started: BTreeMap<u64, u64>,
}

/// Runs the plan and returns what was measured at the engines.
pub(crate) fn run(plan: &Plan) -> Outcome {
    let mut fleet = Fleet::new(plan.clone());
    for now in (0..plan.seconds * 1_000).step_by(TICK_MS as usize) {
        fleet.tick(now);
    }
    let mut outcome = fleet.outcome;
    outcome.mean_in_flight /= outcome.samples.max(1) as f64;
    outcome
}

struct Fleet {
    plan: Plan,
    rng: SmallRng,
    engines: Vec<Engine>,
    history: VecDeque<(u64, Vec<EndpointSummary>)>,
    next_id: u64,
    outcome: Outcome,
    customers: Vec<CustomerName>,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let engine = || Engine {
            admission: EndpointAdmission::new(plan.limits, MonotonicMs(0)),
            ends: BTreeMap::new(),
            queued_at: BTreeMap::new(),
            started: BTreeMap::new(),
        };
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            engines: (0..plan.engines).map(|_| engine()).collect(),
            history: VecDeque::new(),
            next_id: 0,
            outcome: Outcome::default(),
            customers: (0..10)
                .map(|n| format!("customer-{n}").parse().unwrap())
                .collect(),
            plan,
        }
    }

    fn tick(&mut self, now: u64) {
        for at in 0..self.engines.len() {
            self.end_requests(at, now);
        }
        if now.is_multiple_of(REPORT_MS) {
            self.report(now);
        }
        self.arrivals(now);
        for at in 0..self.engines.len() {
            self.poll(at, now);
        }
        if now.is_multiple_of(50) && now > 20_000 {
            self.sample();
        }
    }

    fn end_requests(&mut self, at: usize, now: u64) {
        let engine = &mut self.engines[at];
        while let Some(((_, id), _)) = engine
            .ends
            .first_key_value()
            .filter(|(key, _)| key.0 <= now)
        {
            let id = *id;
            let began = engine.started.remove(&id).unwrap();
            engine.ends.pop_first();
            let outcome =
                FinishOutcome::new(FinishStatus::Succeeded).with_answer(DurationMs(300), 100);
            assert!(began <= now);
            engine
                .admission
                .finish(MonotonicMs(now), RequestId(id), outcome);
        }
    }

    fn report(&mut self, now: u64) {
        for engine in &mut self.engines {
            let load = ReportedLoad {
                in_flight: engine.ends.len() as u32,
                ..ReportedLoad::default()
            };
            engine.admission.observe_load(MonotonicMs(now), load);
        }
        let at = MonotonicMs(now);
        let summaries = self
            .engines
            .iter()
            .map(|engine| engine.admission.summary(at))
            .collect();
        self.history.push_back((now, summaries));
        while self.history.len() > 1 && self.history[1].0 + self.plan.lag_ms <= now {
            self.history.pop_front();
        }
        let age_ms = DurationMs(now - self.history[0].0 + REPORT_MS / 2);
        let seen = self.history[0].1.clone();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let mut seen = seen.clone();
            seen[index] = engine.admission.summary(at);
            engine
                .admission
                .observe_mean(at, ServiceLoad::from_summaries(&seen).with_age_ms(age_ms));
        }
    }

    fn arrivals(&mut self, now: u64) {
        let is_surge = (now / 1_000).is_multiple_of(10);
        let factor = if is_surge { self.plan.surge } else { 1.0 };
        let per_ms = self.plan.mean_wanted * self.plan.engines as f64 / self.plan.service_ms;
        let mut expected = per_ms * TICK_MS as f64 * factor;
        while expected > 0.0 {
            if self.rng.random::<f64>() < expected.min(1.0) {
                self.place(now);
            }
            expected -= 1.0;
        }
    }

    fn place(&mut self, now: u64) {
        let count = self.engines.len();
        let is_hot = self.rng.random::<f64>() < self.plan.hot_share;
        let home = if is_hot {
            self.rng.random_range(0..2)
        } else {
            self.rng.random_range(0..count)
        };
        let seen = self.history[0].1.clone();
        let mut order: Vec<usize> = (0..count).filter(|at| *at != home).collect();
        order.sort_by_key(|at| (seen[*at].wait_ms, seen[*at].in_flight + seen[*at].queued));
        order.truncate(3);
        order.insert(0, home);
        let least = order[1..].iter().map(|at| seen[*at].wait_ms).min().unwrap();
        self.next_id += 1;
        let id = self.next_id;
        for (nth, at) in order.iter().enumerate() {
            let is_last = nth + 1 == order.len();
            let alternative = (!is_last).then_some(DurationMs(least.0.max(WAIT_AT_LEAST_MS)));
            let customer = self.customers[(id % 10) as usize].clone();
            let request = AdmissionRequest::builder(RequestId(id), customer)
                .cost_tokens(100)
                .alternative_wait_ms(alternative)
                .build();
            match self.engines[*at].admission.offer(MonotonicMs(now), request) {
                Decision::Start => return self.start(*at, id, now, now),
                Decision::Queued => {
                    self.engines[*at].queued_at.insert(id, now);
                    return;
                }
                Decision::Refuse(_) => {}
            }
        }
        self.outcome.refused += 1;
    }

    fn poll(&mut self, at: usize, now: u64) {
        while let Some(action) = self.engines[at].admission.poll(MonotonicMs(now)) {
            match action {
                AdmissionAction::Start(RequestId(id)) => {
                    let queued_at = self.engines[at].queued_at.remove(&id).unwrap();
                    self.start(at, id, queued_at, now);
                }
                AdmissionAction::Refuse(RequestId(id), _) => {
                    self.engines[at].queued_at.remove(&id);
                    self.outcome.refused += 1;
                }
            }
        }
    }

    fn start(&mut self, at: usize, id: u64, queued_at: u64, now: u64) {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        // Half fixed, half exponential, with the planned mean.
        let service_ms = self.plan.service_ms * (0.5 - 0.5 * uniform.ln());
        let engine = &mut self.engines[at];
        engine.ends.insert((now + service_ms as u64 + 1, id), id);
        engine.started.insert(id, now);
        self.outcome.started += 1;
        self.outcome.wait_ms_sum += now - queued_at;
    }

    fn sample(&mut self) {
        let loads: Vec<f64> = self
            .engines
            .iter()
            .map(|engine| engine.ends.len() as f64)
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let largest = loads.iter().copied().fold(0.0, f64::max);
        let excess = largest - (self.plan.limits.load_multiple * mean + 1.0);
        self.outcome.samples += 1;
        self.outcome.above += u64::from(excess > 1e-9);
        self.outcome.excess_max = self.outcome.excess_max.max(excess);
        self.outcome.max_over_mean = self.outcome.max_over_mean.max(largest / mean.max(1.0));
        self.outcome.mean_in_flight += mean;
    }
}
