//! A simulated fleet: daemons with pools and gates of their own, plain endpoints with a short queue,
//! and figures that are 0.2 to 2 s old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use celeryknot_core::{CustomerName, DurationMs, EndpointName, MonotonicMs, RequestId};
use celeryknot_policy::direct::{
    AdmissionGate, EndpointPool, GateAction, GateDecision, GatedRequest, ListedEndpoint,
    PlacementRequest, PoolLimits,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DAEMONS: usize = 38;
const ENDPOINTS: usize = 4;
const SLOTS: usize = 6;
/// Requests that wait at an endpoint before it refuses more.
const ENDPOINT_QUEUE_MAX: usize = 18;
const SERVICE_MS: std::ops::Range<u64> = 15..61;
const CUSTOMERS: usize = 8;
/// The customer whose demand rises.
const SURGING: usize = 0;
const START_MS: u64 = 10_000;
/// Requests that arrive before are not counted, as gates don't know the service time yet.
const COUNTED_FROM_MS: u64 = START_MS + 3_000;
const END_MS: u64 = START_MS + 15_000;
/// Delay of a count besides the interval between counts.
const COUNT_DELAY_MS: u64 = 150;

/// What the simulated fleet has to serve.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    /// Demand as a multiple of what the endpoints can serve, before any surge.
    pub(crate) demand: f64,
    /// The factor by which one customer's demand rises.
    pub(crate) surge: f64,
    pub(crate) has_gate: bool,
    /// Longest interval between the counts that a daemon gets.
    pub(crate) interval_max_ms: u64,
    pub(crate) seed: u64,
}

impl Report {
    /// Adds the counts of another simulation.
    pub(crate) fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.in_time += other.in_time;
        self.in_objective += other.in_objective;
        self.late += other.late;
        self.rejected += other.rejected;
        self.refused += other.refused;
        self.refused_with_room += other.refused_with_room;
        self.refused_with_slot += other.refused_with_slot;
        self.others_arrived += other.others_arrived;
        self.others_in_objective += other.others_in_objective;
        self.waited += other.waited;
        self.wait_ms_sum += other.wait_ms_sum;
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            demand: 1.0,
            surge: 1.0,
            has_gate: true,
            interval_max_ms: 1_800,
            seed: 1,
        }
    }
}

/// What callers got.
#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) arrived: u32,
    pub(crate) in_time: u32,
    /// Requests answered within their objective.
    pub(crate) in_objective: u32,
    pub(crate) late: u32,
    /// Requests that two endpoints refused.
    pub(crate) rejected: u32,
    /// Requests that a daemon refused.
    pub(crate) refused: u32,
    /// Those of them that a daemon refused while its figures showed a free slot.
    pub(crate) refused_with_room: u32,
    /// Those of them that a daemon refused while an endpoint did have a free slot.
    pub(crate) refused_with_slot: u32,
    pub(crate) others_arrived: u32,
    pub(crate) others_in_objective: u32,
    pub(crate) waited: u32,
    pub(crate) wait_ms_sum: u64,
}

struct Request {
    customer: usize,
    daemon: usize,
    arrived_at: u64,
    deadline: u64,
    objective_at: u64,
    sent_at: u64,
    tried: Vec<EndpointName>,
}

struct Daemon {
    pool: EndpointPool,
    gate: AdmissionGate,
    interval_ms: u64,
    next_count_at: u64,
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    queue: VecDeque<u64>,
}

struct Fleet {
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    requests: HashMap<u64, Request>,
    /// Ends of running requests: time, request, endpoint.
    ends: BinaryHeap<Reverse<(u64, u64, usize)>>,
    counts: VecDeque<[u32; ENDPOINTS]>,
    report: Report,
    rng: StdRng,
}

fn endpoint_name(index: usize) -> EndpointName {
    format!("i-{index}").parse().unwrap()
}

fn endpoint_index(name: &EndpointName) -> usize {
    name.as_str()[2..].parse().unwrap()
}

fn customer(index: usize) -> CustomerName {
    format!("team-{index}").parse().unwrap()
}

fn new_pool(index: usize) -> EndpointPool {
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: format!("edge-{index}").parse().unwrap(),
        members: (0..DAEMONS)
            .map(|it| format!("edge-{it}").parse().unwrap())
            .collect(),
        members_min: 1,
        load_factor: 1.6,
        cache_ttl_ms: DurationMs(20_000),
        drain_ms: DurationMs(5_000),
        cold_rate_limit: None,
    });
    let listed = (0..ENDPOINTS).map(|it| ListedEndpoint {
        name: endpoint_name(it),
        started_at_ms: Some(1),
        address: format!("10.0.0.{}:80", it + 1).parse().unwrap(),
        zone: "hkd-a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SLOTS as u32,
        accepts_requests: true,
        cold_until: None,
    });
    pool.relist(MonotonicMs(START_MS), listed);
    pool
}

impl Fleet {
    fn count(&self) -> [u32; ENDPOINTS] {
        std::array::from_fn(|it| {
            let endpoint = &self.endpoints[it];
            (endpoint.running + endpoint.queue.len()) as u32
        })
    }

    fn is_counted(&self, id: u64) -> bool {
        self.requests[&id].arrived_at >= COUNTED_FROM_MS
    }

    fn arrive(&mut self, now: u64, id: u64, customer_index: usize, has_gate: bool) {
        let index = self.rng.random_range(0..DAEMONS);
        let deadline = now + self.rng.random_range(1_000..1_500);
        let objective_ms = self.rng.random_range(120..300);
        let request = Request {
            customer: customer_index,
            daemon: index,
            arrived_at: now,
            deadline,
            objective_at: now + objective_ms,
            sent_at: now,
            tried: Vec::new(),
        };
        self.requests.insert(id, request);
        if self.is_counted(id) {
            self.report.arrived += 1;
            self.report.others_arrived += u32::from(customer_index != SURGING);
        }
        if !has_gate {
            return self.send(now, id);
        }
        let daemon = &mut self.daemons[index];
        let at = MonotonicMs(now);
        let room = daemon.pool.room(at, None);
        let gated = GatedRequest {
            id: RequestId(id),
            customer: customer(customer_index),
            priority: 0,
            answer_by: MonotonicMs(now + objective_ms),
        };
        match daemon.gate.offer(at, &gated, room, self.rng.random()) {
            GateDecision::Send => self.send(now, id),
            GateDecision::Wait => {}
            GateDecision::Refuse(_) => self.refuse(id, room.is_some_and(|it| it.free > 0)),
        }
        self.poll(now, index);
    }

    fn refuse(&mut self, id: u64, has_room: bool) {
        if self.is_counted(id) {
            self.report.refused += 1;
            self.report.refused_with_room += u32::from(has_room);
            let is_slot_free = self.endpoints.iter().any(|it| it.running < SLOTS);
            self.report.refused_with_slot += u32::from(is_slot_free);
        }
        self.requests.remove(&id);
    }

    fn poll(&mut self, now: u64, index: usize) {
        loop {
            let daemon = &mut self.daemons[index];
            let at = MonotonicMs(now);
            let room = daemon.pool.room(at, None);
            match daemon.gate.poll(at, room, self.rng.random()) {
                Some(GateAction::Send(id)) => {
                    if self.is_counted(id.0) {
                        self.report.waited += 1;
                        self.report.wait_ms_sum += now - self.requests[&id.0].arrived_at;
                    }
                    self.send(now, id.0);
                }
                Some(GateAction::Refuse(id, _)) => {
                    self.refuse(id.0, room.is_some_and(|it| it.free > 0));
                }
                None => return,
            }
        }
    }

    fn send(&mut self, now: u64, id: u64) {
        loop {
            let request = self.requests.get_mut(&id).unwrap();
            request.sent_at = now;
            let daemon = &mut self.daemons[request.daemon];
            let placed = daemon.pool.place(
                MonotonicMs(now),
                &PlacementRequest {
                    shared: None,
                    draw: self.rng.random(),
                    allowed_zones: None,
                    version: None,
                    tried: &request.tried,
                    suspect: None,
                    wait_max_ms: DurationMs(0),
                },
            );
            let name = placed.unwrap().endpoint;
            let index = endpoint_index(&name);
            let endpoint = &mut self.endpoints[index];
            if endpoint.running < SLOTS {
                endpoint.running += 1;
                let end_at = now + self.rng.random_range(SERVICE_MS);
                return self.ends.push(Reverse((end_at, id, index)));
            }
            if endpoint.queue.len() < ENDPOINT_QUEUE_MAX {
                return endpoint.queue.push_back(id);
            }
            daemon.pool.finish(&name);
            request.tried.push(name);
            if request.tried.len() == 2 {
                if self.is_counted(id) {
                    self.report.rejected += 1;
                }
                self.requests.remove(&id);
                return;
            }
        }
    }

    fn end(&mut self, now: u64, id: u64, index: usize) {
        let is_counted = self.is_counted(id);
        let request = self.requests.remove(&id).unwrap();
        let daemon = &mut self.daemons[request.daemon];
        let room = daemon.pool.room(MonotonicMs(now), None);
        daemon.pool.finish(&endpoint_name(index));
        daemon
            .gate
            .observe_answer(room, DurationMs(now - request.sent_at));
        let is_in_time = now <= request.deadline;
        if is_counted {
            self.report.in_time += u32::from(is_in_time);
            self.report.late += u32::from(!is_in_time);
            let is_in_objective = now <= request.objective_at;
            let is_other = request.customer != SURGING;
            self.report.in_objective += u32::from(is_in_objective);
            self.report.others_in_objective += u32::from(is_in_objective && is_other);
        }
        self.endpoints[index].running -= 1;
        if let Some(next) = self.endpoints[index].queue.pop_front() {
            self.endpoints[index].running += 1;
            let end_at = now + self.rng.random_range(SERVICE_MS);
            self.ends.push(Reverse((end_at, next, index)));
        }
        self.poll(now, request.daemon);
    }

    fn deliver_counts(&mut self, now: u64) {
        let delayed = self.counts.front().copied().unwrap_or_default();
        for daemon in &mut self.daemons {
            if now >= daemon.next_count_at {
                daemon.next_count_at = now + daemon.interval_ms;
                daemon
                    .pool
                    .observe_totals(MonotonicMs(now), |name| delayed[endpoint_index(name)]);
            }
        }
    }
}

/// Simulates the fleet under a load.
pub(crate) fn simulate(load: &Load) -> Report {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let daemons = (0..DAEMONS).map(|index| {
        let interval_ms = rng.random_range(100..load.interval_max_ms);
        Daemon {
            pool: new_pool(index),
            gate: AdmissionGate::new(MonotonicMs(START_MS), rng.random()),
            interval_ms,
            next_count_at: START_MS + rng.random_range(0..interval_ms),
        }
    });
    let mut fleet = Fleet {
        daemons: daemons.collect(),
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
        requests: HashMap::new(),
        ends: BinaryHeap::new(),
        counts: VecDeque::new(),
        report: Report::default(),
        rng: StdRng::seed_from_u64(load.seed + 1),
    };
    let service_ms = (SERVICE_MS.start + SERVICE_MS.end - 1) as f64 / 2.0;
    let per_ms = load.demand * (ENDPOINTS * SLOTS) as f64 / service_ms / CUSTOMERS as f64;
    let mut next_id = 0;
    for now in START_MS..END_MS + 2_000 {
        while let Some(Reverse((at, id, index))) = fleet.ends.peek().copied()
            && at <= now
        {
            fleet.ends.pop();
            fleet.end(now, id, index);
        }
        fleet.counts.push_back(fleet.count());
        if fleet.counts.len() > COUNT_DELAY_MS as usize {
            fleet.counts.pop_front();
        }
        fleet.deliver_counts(now);
        for index in 0..CUSTOMERS {
            let factor = if index == SURGING { load.surge } else { 1.0 };
            let mut expected = per_ms * factor;
            while now < END_MS && expected > 0.0 {
                if fleet.rng.random::<f64>() < expected.min(1.0) {
                    fleet.arrive(now, next_id, index, load.has_gate);
                    next_id += 1;
                }
                expected -= 1.0;
            }
        }
        if now % 5 == 0 {
            for index in 0..DAEMONS {
                fleet.poll(now, index);
            }
        }
    }
    fleet.report
}
