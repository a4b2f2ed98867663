//! Fair shares of customers at a busy endpoint, by cost.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use celeryknot_core::{DurationMs, MonotonicMs, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, AdmissionRequest, Decision, EndpointAdmission, FinishOutcome,
    FinishStatus, ReportedLoad,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOT_COUNT: u32 = 4;
const BACKLOG: usize = 40;
/// Maximum virtual time by which urgency shifts a request, in tokens at the weight 1.
const URGENCY_TOKENS: f64 = 700.0;

#[derive(Debug, Clone)]
struct Customer {
    weight: f64,
    cost_tokens: u32,
    urgency: u8,
}

struct BusyEndpoint {
    endpoint: EndpointAdmission,
    customers: Vec<Customer>,
    next_id: u64,
    customer_of: BTreeMap<RequestId, usize>,
    in_flight: Vec<RequestId>,
    served_tokens: Vec<f64>,
    started: Vec<usize>,
}

impl BusyEndpoint {
    /// Creates an endpoint whose slots are all in use, with a backlog of every customer queued.
    fn new(customers: Vec<Customer>) -> Self {
        let limits = AdmissionLimits::default()
            .with_in_flight_max(SLOT_COUNT)
            .with_ramp_ms(DurationMs(0))
            .with_queue_len_max(100_000)
            .with_queue_wait_max_ms(DurationMs(u64::MAX / 4));
        let mut endpoint = EndpointAdmission::new(limits, MonotonicMs(0));
        endpoint.observe_load(MonotonicMs(0), ReportedLoad::default());
        let mut busy = Self {
            endpoint,
            served_tokens: vec![0.0; customers.len()],
            customers,
            next_id: 0,
            customer_of: BTreeMap::new(),
            in_flight: Vec::new(),
            started: Vec::new(),
        };
        for _ in 0..BACKLOG {
            (0..busy.customers.len()).for_each(|at| busy.offer(at));
        }
        busy.served_tokens.fill(0.0);
        busy.started.clear();
        busy
    }

    fn offer(&mut self, at: usize) {
        let customer = &self.customers[at];
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = AdmissionRequest::builder(id, format!("customer-{at}").parse().unwrap())
            .weight(customer.weight)
            .cost_tokens(customer.cost_tokens)
            .urgency(customer.urgency)
            .build();
        self.customer_of.insert(id, at);
        match self.endpoint.offer(MonotonicMs(0), request) {
            Decision::Start => self.start(id),
            Decision::Queued => {}
            Decision::Refuse(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    fn start(&mut self, id: RequestId) {
        let at = self.customer_of[&id];
        self.in_flight.push(id);
        self.served_tokens[at] += f64::from(self.customers[at].cost_tokens);
        self.started.push(at);
    }

    /// Ends the longest-running request and starts the next one.
    fn step(&mut self) {
        let ended = self.in_flight.remove(0);
        let outcome = FinishOutcome::new(FinishStatus::Succeeded);
        self.endpoint.finish(MonotonicMs(0), ended, outcome);
        while let Some(action) = self.endpoint.poll(MonotonicMs(0)) {
            match action {
                AdmissionAction::Start(id) => self.start(id),
                AdmissionAction::Refuse(id, refusal) => panic!("{id} refused: {refusal:?}"),
            }
        }
    }

    fn queued(&self) -> u32 {
        self.endpoint.summary(MonotonicMs(0)).queued
    }
}

fn customers() -> impl Strategy<Value = Vec<Customer>> {
    let fields = (0.5..4.0f64, 10..1_000u32, 0..8u8);
    let customer = fields.prop_map(|(weight, cost_tokens, urgency)| Customer {
        weight,
        cost_tokens,
        urgency,
    });
    proptest::collection::vec(customer, 2..5)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Start-time fair queueing serves backlogged customers by weight up to one request each.
    #[test]
    fn backlogged_customers_are_served_by_weight(customers in customers()) {
        let mut busy = BusyEndpoint::new(customers.clone());
        // Half the backlog, so that every customer still has queued requests.
        for _ in 0..BACKLOG / 2 {
            busy.step();
            let served = |at: usize| busy.served_tokens[at] / customers[at].weight;
            let slack = |at: usize| (2.0 * f64::from(customers[at].cost_tokens) + URGENCY_TOKENS) / customers[at].weight;
            for one in 0..customers.len() {
                for other in 0..one {
                    let gap = (served(one) - served(other)).abs();
                    prop_assert!(gap <= slack(one) + slack(other), "{one} and {other} are {gap} apart");
                }
            }
        }
    }

    #[test]
    fn all_queued_requests_are_served(customers in customers()) {
        let mut busy = BusyEndpoint::new(customers);
        let queued = busy.queued();
        (0..queued).for_each(|_| busy.step());
        prop_assert_eq!(busy.queued(), 0);
    }

    /// A new customer is served next, however long the queue of the others is.
    #[test]
    fn new_customer_is_served_before_a_backlog(cost_tokens in 10..1_000u32, backlog in 10..200usize) {
        let customer = |weight| Customer { weight, cost_tokens, urgency: 3 };
        let mut busy = BusyEndpoint::new(vec![customer(1.0)]);
        (0..backlog).for_each(|_| busy.offer(0));
        busy.customers.push(customer(1.0));
        busy.served_tokens.push(0.0);
        busy.offer(1);
        (0..2).for_each(|_| busy.step());
        prop_assert!(busy.started.contains(&1), "{:?}", busy.started);
    }
}

#[test]
fn customer_gains_no_share_by_marking_every_request_urgent() {
    let customer = |urgency| Customer {
        weight: 1.0,
        cost_tokens: 100,
        urgency,
    };
    let mut busy = BusyEndpoint::new(vec![customer(0), customer(7)]);
    (0..60).for_each(|_| busy.step());
    let [urgent, non_urgent] = [busy.served_tokens[0], busy.served_tokens[1]];
    assert!(
        urgent - non_urgent <= URGENCY_TOKENS + 200.0,
        "{urgent} and {non_urgent}"
    );
    assert!(urgent > non_urgent, "urgency had no effect");
}

#[test]
fn idle_customer_accumulates_no_credit() {
    let customer = Customer {
        weight: 1.0,
        cost_tokens: 100,
        urgency: 3,
    };
    let mut busy = BusyEndpoint::new(vec![customer.clone()]);
    (0..30).for_each(|_| busy.step());
    busy.customers.push(customer);
    busy.served_tokens.push(0.0);
    (0..10).for_each(|_| busy.offer(1));
    busy.started.clear();
    (0..10).for_each(|_| busy.step());
    let late_starts = busy.started.iter().filter(|at| **at == 1).count();
    assert!(
        (4..=6).contains(&late_starts),
        "{late_starts} of {}",
        busy.started.len()
    );
}
