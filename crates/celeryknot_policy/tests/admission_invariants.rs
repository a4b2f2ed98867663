//! The invariants of admission under random sequences of events.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::{DurationMs, EndpointCondition, ErrorKind, MonotonicMs, RequestId};
use celeryknot_policy::admission::{
    AdmissionAction, AdmissionLimits, AdmissionRequest, Decision, EndpointAdmission, FinishOutcome,
    FinishStatus, ReportedLoad,
};
use celeryknot_policy::bound::ServiceLoad;
use celeryknot_policy::health::HealthState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const QUEUE_LEN_MAX: u32 = 12;
const QUEUE_WAIT_MAX_MS: u64 = 5_000;
const IN_FLIGHT_MAX: u32 = 9;
const COLD_IN_FLIGHT_MAX: u32 = 2;

#[derive(Debug, Clone)]
enum Event {
    Offer {
        customer: u8,
        weight: f64,
        urgency: u8,
        cost: u32,
        deadline_ms: Option<u64>,
        alternative_ms: Option<u64>,
    },
    Finish(usize, FinishStatus),
    Cancel(usize),
    Report(ReportedLoad),
    Mean(f64, u32),
    Stall,
    AcceptsRequests(bool),
    Health(HealthState),
    Advance(u64),
}

fn statuses() -> impl Strategy<Value = FinishStatus> {
    prop_oneof![
        8 => Just(FinishStatus::Succeeded),
        1 => Just(FinishStatus::Failed),
        1 => Just(FinishStatus::Refused),
        1 => Just(FinishStatus::ConnectFailed),
        1 => Just(FinishStatus::TimedOut),
    ]
}

fn reports() -> impl Strategy<Value = ReportedLoad> {
    (0..12u32, any::<bool>(), proptest::option::of(0..12u32)).prop_map(
        |(in_flight, is_cold, bound)| ReportedLoad {
            in_flight,
            queued: 0,
            is_cold,
            bound,
            may_be_stale: false,
        },
    )
}

fn events() -> impl Strategy<Value = Event> {
    let offers = (
        0..4u8,
        0.1..4.0f64,
        0..8u8,
        1..2_000u32,
        proptest::option::of(0..8_000u64),
        proptest::option::of(0..4_000u64),
    )
        .prop_map(
            |(customer, weight, urgency, cost, deadline_ms, alternative_ms)| Event::Offer {
                customer,
                weight,
                urgency,
                cost,
                deadline_ms,
                alternative_ms,
            },
        );
    prop_oneof![
        12 => offers,
        8 => (any::<usize>(), statuses()).prop_map(|(at, status)| Event::Finish(at, status)),
        2 => any::<usize>().prop_map(Event::Cancel),
        3 => reports().prop_map(Event::Report),
        2 => (0.0..12.0f64, 1..12u32).prop_map(|(mean, count)| Event::Mean(mean, count)),
        1 => Just(Event::Stall),
        1 => any::<bool>().prop_map(Event::AcceptsRequests),
        1 => prop_oneof![
            Just(HealthState::Healthy), Just(HealthState::Unhealthy), Just(HealthState::Probing)
        ].prop_map(Event::Health),
        6 => (0..3_000u64).prop_map(Event::Advance),
    ]
}

struct CheckedAdmission {
    endpoint: EndpointAdmission,
    now: MonotonicMs,
    next_id: u64,
    queued: BTreeMap<RequestId, MonotonicMs>,
    in_flight: BTreeSet<RequestId>,
    accepts_requests: bool,
    last_report: Option<ReportedLoad>,
    health: HealthState,
}

impl CheckedAdmission {
    fn new() -> Self {
        let limits = AdmissionLimits::default()
            .with_in_flight_max(IN_FLIGHT_MAX)
            .with_cold_in_flight_max(COLD_IN_FLIGHT_MAX)
            .with_queue_len_max(QUEUE_LEN_MAX)
            .with_queue_wait_max_ms(DurationMs(QUEUE_WAIT_MAX_MS));
        Self {
            endpoint: EndpointAdmission::new(limits, MonotonicMs(0)),
            now: MonotonicMs(0),
            next_id: 0,
            queued: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            accepts_requests: true,
            last_report: None,
            health: HealthState::Healthy,
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Offer { .. } => self.offer(event),
            Event::Finish(at, status) => {
                if let Some(id) = pick_id(self.in_flight.iter(), *at) {
                    self.in_flight.remove(&id);
                    if *status == FinishStatus::ConnectFailed {
                        // The endpoint may have restarted, which invalidates its last report.
                        self.last_report = None;
                    }
                    self.endpoint
                        .finish(self.now, id, FinishOutcome::new(*status));
                }
            }
            Event::Cancel(at) => {
                if let Some(id) = pick_id(self.queued.keys(), *at) {
                    self.queued.remove(&id);
                    self.endpoint.cancel(self.now, id);
                }
            }
            Event::Report(load) => {
                self.last_report = Some(*load);
                self.endpoint.observe_load(self.now, *load);
            }
            Event::Mean(mean_in_flight, endpoint_count) => {
                let load = ServiceLoad {
                    endpoint_count: *endpoint_count,
                    mean_in_flight: *mean_in_flight,
                    ..ServiceLoad::default()
                };
                self.endpoint.observe_service_load(self.now, load);
            }
            Event::Stall => {
                self.last_report = None;
                self.endpoint.observe_stall(self.now);
            }
            Event::AcceptsRequests(accepts) => {
                self.accepts_requests = *accepts;
                self.endpoint.set_accepts_requests(*accepts);
            }
            Event::Health(health) => {
                self.health = *health;
                self.endpoint.set_health(*health);
            }
            Event::Advance(ms) => self.now = self.now + DurationMs(*ms),
        }
        self.poll_all();
    }

    fn offer(&mut self, event: &Event) {
        let Event::Offer {
            customer,
            weight,
            urgency,
            cost,
            deadline_ms,
            alternative_ms,
        } = event
        else {
            return;
        };
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let request =
            AdmissionRequest::builder(id, format!("customer-{customer}").parse().unwrap())
                .weight(*weight)
                .urgency(*urgency)
                .cost_tokens(*cost)
                .deadline_at(deadline_ms.map(|ms| self.now + DurationMs(ms)))
                .alternative_wait_ms(alternative_ms.map(DurationMs))
                .build();
        let before = self.endpoint.summary(self.now);
        match self.endpoint.offer(self.now, request) {
            Decision::Start => self.record_start(id, before.in_flight, before.in_flight_max),
            Decision::Queued => {
                assert!(
                    self.accepts_requests,
                    "queued while no requests are accepted"
                );
                self.queued.insert(id, self.now);
            }
            Decision::Refuse(refusal) => {
                if refusal.kind == ErrorKind::EndpointBusy {
                    assert!(refusal.retry_after_ms.is_some_and(|ms| ms > DurationMs(0)));
                }
            }
        }
    }

    fn poll_all(&mut self) {
        loop {
            let before = self.endpoint.summary(self.now);
            let Some(action) = self.endpoint.poll(self.now) else {
                break;
            };
            match action {
                AdmissionAction::Start(id) => {
                    assert!(
                        self.queued.remove(&id).is_some(),
                        "started a request that was not queued"
                    );
                    self.record_start(id, before.in_flight, before.in_flight_max);
                }
                AdmissionAction::Refuse(id, _) => {
                    assert!(
                        self.queued.remove(&id).is_some(),
                        "refused a request that was not queued"
                    );
                }
            }
        }
        self.check();
    }

    fn record_start(&mut self, id: RequestId, in_flight: u32, in_flight_max: u32) {
        assert!(
            in_flight < in_flight_max,
            "started with {in_flight} in flight at a limit of {in_flight_max}"
        );
        assert!(
            self.accepts_requests,
            "started while no requests are accepted"
        );
        assert_ne!(
            self.health,
            HealthState::Unhealthy,
            "started at an unhealthy endpoint"
        );
        if let Some(load) = self.last_report {
            let bound = load.bound.unwrap_or(u32::MAX);
            assert!((self.in_flight.len() as u32) < bound.min(IN_FLIGHT_MAX));
            if load.is_cold {
                assert!((self.in_flight.len() as u32) < COLD_IN_FLIGHT_MAX.min(bound));
            }
        }
        assert!(self.in_flight.insert(id), "started twice");
    }

    fn check(&self) {
        let summary = self.endpoint.summary(self.now);
        assert_eq!(summary.queued as usize, self.queued.len());
        assert_eq!(self.endpoint.own_in_flight() as usize, self.in_flight.len());
        assert!(summary.in_flight as usize >= self.in_flight.len());
        assert!(
            summary.queued <= QUEUE_LEN_MAX,
            "the queue is longer than its limit"
        );
        for queued_at in self.queued.values() {
            assert!(
                (self.now - *queued_at).0 < QUEUE_WAIT_MAX_MS,
                "a wait is longer than its limit"
            );
        }
        if !self.accepts_requests || self.health == HealthState::Unhealthy {
            assert!(
                self.queued.is_empty(),
                "requests stay queued although none can start"
            );
        }
        if !self.queued.is_empty() {
            let wakeup = self.endpoint.next_wakeup(self.now);
            assert!(
                wakeup.is_some_and(|at| at > self.now),
                "no wake-up for a queued request"
            );
        }
        if self.last_report.is_some_and(|load| load.is_cold) && self.health == HealthState::Healthy
        {
            let is_cold = summary.condition == EndpointCondition::Cold;
            assert!(
                is_cold,
                "a cold endpoint has the condition {}",
                summary.condition
            );
        }
    }
}

fn pick_id<'a>(
    mut ids: impl ExactSizeIterator<Item = &'a RequestId>,
    at: usize,
) -> Option<RequestId> {
    if ids.len() == 0 {
        return None;
    }
    let at = at % ids.len();
    ids.nth(at).copied()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn admission_keeps_its_limits(events in proptest::collection::vec(events(), 1..200)) {
        let mut checked = CheckedAdmission::new();
        for event in &events {
            checked.apply(event);
        }
    }
}
