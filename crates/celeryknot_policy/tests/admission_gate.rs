//! Checks the admission of plain requests: its decisions one by one, and what callers get of a
//! simulated fleet with more demand than room.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

#[path = "admission_gate/simulation.rs"]
mod simulation;

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, RequestId};
use celeryknot_policy::direct::admission_gate::WAITING_MAX;
use celeryknot_policy::direct::{
    AdmissionGate, EndpointPool, GateAction, GateDecision, GatedRequest, ListedEndpoint,
    PlacementRequest, PoolLimits, ReportedLoad, ServiceRoom,
};
use proptest::prelude::*;
use simulation::{Load, Report, simulate};

const NOW: MonotonicMs = MonotonicMs(10_000);

/// Service time that the gates of the tests know.
const SERVICE_MS: DurationMs = DurationMs(40);

fn room(free: u32, load: u32) -> ServiceRoom {
    ServiceRoom {
        slots: 24,
        load,
        free,
        places: free,
        own_growth: 0,
        age_ms: DurationMs(200),
        counted_at: MonotonicMs(9_800),
        daemons: 12,
    }
}

fn full() -> ServiceRoom {
    room(0, 36)
}

/// A gate that knows the service time and has no release left.
fn gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(NOW, 0.0);
    gate.observe_answer(None, SERVICE_MS);
    gate
}

fn request(id: u64, customer: &str, priority: u8, remaining_ms: u64) -> GatedRequest {
    GatedRequest {
        id: RequestId(id),
        customer: customer.parse().unwrap(),
        priority,
        answer_by: NOW + DurationMs(remaining_ms),
    }
}

/// Polls the gate every 10 ms while the endpoints are full; returns the ids that leave in order.
fn leaving(gate: &mut AdmissionGate, count: usize) -> Vec<u64> {
    let mut ids = Vec::new();
    for step in 0..100_000 {
        let now = NOW + DurationMs(step * 10);
        while let Some(action) = gate.poll(now, Some(full()), 0.5) {
            match action {
                GateAction::Send(id) => ids.push(id.0),
                GateAction::Refuse(id, refusal) => panic!("refused {id}: {refusal:?}"),
            }
        }
        if ids.len() >= count {
            return ids;
        }
    }
    panic!("only {ids:?} left");
}

/// Guards against refusals or waits while there is room, and against sends while there is none.
#[test]
fn first_requests_are_decided_by_room_and_time() {
    struct Case {
        name: &'static str,
        room: Option<ServiceRoom>,
        knows_service_time: bool,
        remaining_ms: u64,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "no figures",
            room: None,
            knows_service_time: true,
            remaining_ms: 1,
            expected: "send",
        },
        Case {
            name: "a daemon that starts",
            room: Some(full()),
            knows_service_time: false,
            remaining_ms: 1,
            expected: "send",
        },
        Case {
            name: "all slots free",
            room: Some(room(24, 0)),
            knows_service_time: true,
            remaining_ms: 1,
            expected: "send",
        },
        Case {
            name: "one slot free",
            room: Some(room(1, 35)),
            knows_service_time: true,
            remaining_ms: 1,
            expected: "send",
        },
        Case {
            name: "full",
            room: Some(full()),
            knows_service_time: true,
            remaining_ms: 1_000,
            expected: "wait",
        },
        Case {
            name: "full, too late",
            room: Some(full()),
            knows_service_time: true,
            remaining_ms: 50,
            expected: "refuse",
        },
    ];
    for case in cases {
        let mut gate = match case.knows_service_time {
            true => gate(),
            false => AdmissionGate::new(NOW, 0.0),
        };
        let request = request(1, "otaru", 0, case.remaining_ms);
        let decision = match gate.offer(NOW, &request, case.room, 0.5) {
            GateDecision::Send => "send",
            GateDecision::Wait => "wait",
            GateDecision::Refuse(refusal) => {
                assert_eq!(
                    refusal.kind,
                    ErrorKind::DeadlineUnreachable,
                    "{}",
                    case.name
                );
                "refuse"
            }
        };
        assert_eq!(decision, case.expected, "{}", case.name);
        assert_eq!(
            gate.waiting(),
            usize::from(decision == "wait"),
            "{}",
            case.name
        );
    }
}

/// Guards against urgent requests that wait behind less urgent ones, and against less urgent ones
/// that never leave.
#[test]
fn urgent_requests_leave_first_and_others_still_leave() {
    let mut gate = gate();
    let first = request(100, "otaru", 5, 900_000);
    assert_eq!(
        gate.offer(NOW, &first, Some(full()), 0.5),
        GateDecision::Wait
    );
    for id in 0..20 {
        let urgent = request(id, "otaru", 0, 900_000);
        assert_eq!(
            gate.offer(NOW, &urgent, Some(full()), 0.5),
            GateDecision::Wait
        );
    }
    let ids = leaving(&mut gate, 21);
    assert_eq!(ids[..8], [0, 1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(ids.iter().position(|id| *id == 100), Some(8));
}

/// Guards against a customer with many waiting requests that delays those of another.
#[test]
fn customers_leave_in_turn() {
    let mut gate = gate();
    for id in 0..30 {
        let surge = request(id, "surge", 1, 900_000);
        assert_eq!(
            gate.offer(NOW, &surge, Some(full()), 0.5),
            GateDecision::Wait
        );
    }
    for id in 100..104 {
        let other = request(id, "otaru", 1, 900_000);
        assert_eq!(
            gate.offer(NOW, &other, Some(full()), 0.5),
            GateDecision::Wait
        );
    }
    let ids = leaving(&mut gate, 34);
    assert_eq!(
        ids.len(),
        34,
        "the share that otaru doesn't use goes to the surge"
    );
    assert!(
        ids[..9].iter().filter(|id| **id >= 100).count() >= 4,
        "{ids:?}"
    );
}

/// Guards against a request that is kept until its caller's time is over.
#[test]
fn late_requests_are_refused_as_not_run() {
    let mut gate = gate();
    let waiting = request(1, "otaru", 0, 400);
    assert_eq!(
        gate.offer(NOW, &waiting, Some(full()), 0.5),
        GateDecision::Wait
    );
    // The endpoints become far slower than the wait was expected with.
    let slow = ServiceRoom {
        load: 240,
        ..full()
    };
    let action = gate.poll(NOW + DurationMs(10), Some(slow), 0.5);
    let Some(GateAction::Refuse(RequestId(1), refusal)) = action else {
        panic!("{action:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnreachable);
    assert!(gate.is_idle());
}

/// Guards against refusals by figures that are out of date.
#[test]
fn waiting_requests_are_sent_once_the_figures_are_too_old() {
    let mut gate = gate();
    let waiting = request(1, "otaru", 0, 400);
    assert_eq!(
        gate.offer(NOW, &waiting, Some(full()), 0.5),
        GateDecision::Wait
    );
    let action = gate.poll(NOW + DurationMs(399), None, 0.5);
    assert_eq!(action, Some(GateAction::Send(RequestId(1))));
}

/// Guards against a late request that is refused although a slot has become free.
#[test]
fn late_requests_are_sent_while_a_slot_is_free() {
    let mut gate = gate();
    let waiting = request(1, "otaru", 0, 400);
    assert_eq!(
        gate.offer(NOW, &waiting, Some(full()), 0.5),
        GateDecision::Wait
    );
    let action = gate.poll(NOW + DurationMs(390), Some(room(1, 23)), 0.0);
    assert_eq!(action, Some(GateAction::Send(RequestId(1))));
}

/// Guards against a place or a turn that is lost to a caller that has left.
#[test]
fn a_request_whose_caller_left_leaves_the_queue_at_once() {
    let mut gate = gate();
    for id in 1..=2 {
        let waiting = request(id, "otaru", 0, 1_000);
        assert_eq!(
            gate.offer(NOW, &waiting, Some(full()), 0.5),
            GateDecision::Wait
        );
    }
    gate.cancel(RequestId(1));
    assert_eq!(gate.waiting(), 1);
    assert_eq!(leaving(&mut gate, 1), [2]);
}

/// Guards against a queue without a bound, and against one customer that takes all of it.
#[test]
fn a_full_queue_refuses_the_customer_with_the_most_requests() {
    let mut gate = gate();
    let fill = WAITING_MAX as u64;
    for id in 0..fill {
        let surge = request(id, "surge", 1, 900_000);
        assert_eq!(
            gate.offer(NOW, &surge, Some(full()), 0.5),
            GateDecision::Wait
        );
    }
    let surge = request(fill, "surge", 1, 900_000);
    let GateDecision::Refuse(refusal) = gate.offer(NOW, &surge, Some(full()), 0.5) else {
        panic!("not refused");
    };
    assert_eq!(refusal.kind, ErrorKind::QueueFull);
    let other = request(fill + 1, "otaru", 1, 900_000);
    assert_eq!(
        gate.offer(NOW, &other, Some(full()), 0.5),
        GateDecision::Wait
    );
    let evicted = gate.poll(NOW, Some(full()), 0.5);
    assert!(
        matches!(evicted, Some(GateAction::Refuse(RequestId(id), _)) if id < fill),
        "{evicted:?}"
    );
    assert_eq!(gate.waiting(), WAITING_MAX);
}

/// Guards against a decision about a request whose caller left after it was made.
#[test]
fn a_pending_decision_ends_with_its_request() {
    let mut gate = gate();
    for id in 0..WAITING_MAX as u64 {
        let surge = request(id, "surge", 1, 900_000);
        let decision = gate.offer(NOW, &surge, Some(full()), 0.5);
        assert_eq!(decision, GateDecision::Wait);
    }
    let other = request(1_000, "otaru", 1, 900_000);
    let decision = gate.offer(NOW, &other, Some(full()), 0.5);
    assert_eq!(decision, GateDecision::Wait, "another request is evicted");
    (0..WAITING_MAX as u64).for_each(|id| gate.cancel(RequestId(id)));
    assert_eq!(gate.poll(NOW, Some(full()), 0.5), None);
    assert_eq!(gate.waiting(), 1);
}

/// Guards against retry delays that send all refused callers back at once, or at a time when the
/// requests before them still wait.
#[test]
fn retry_delays_grow_with_the_refused_requests() {
    let mut gate = gate();
    let mut delays = Vec::new();
    for id in 0..40 {
        let late = request(id, "otaru", 1, 30);
        let GateDecision::Refuse(refusal) = gate.offer(NOW, &late, Some(full()), 0.5) else {
            panic!("not refused");
        };
        delays.push(refusal.retry_after_ms.unwrap());
    }
    assert!(delays.is_sorted(), "{delays:?}");
    // 24 slots of 40 ms finish 600 requests a second, 50 of them of this daemon.
    let last = delays.last().unwrap().0;
    assert!((700..=1_000).contains(&last), "{delays:?}");
    assert!(
        delays.iter().all(|it| (50..=3_000).contains(&it.0)),
        "{delays:?}"
    );
}

/// Guards against daemons that all take the same free slot.
#[test]
fn a_daemon_takes_its_part_of_the_free_slots() {
    struct Case {
        name: &'static str,
        free: u32,
        daemons: u32,
        draw: f64,
        expected: usize,
    }
    let cases = [
        Case {
            name: "alone",
            free: 5,
            daemons: 1,
            draw: 0.0,
            expected: 5,
        },
        Case {
            name: "a third",
            free: 12,
            daemons: 3,
            draw: 0.0,
            expected: 4,
        },
        Case {
            name: "rounded up",
            free: 1,
            daemons: 12,
            draw: 0.95,
            expected: 1,
        },
        Case {
            name: "rounded down",
            free: 1,
            daemons: 12,
            draw: 0.5,
            expected: 0,
        },
    ];
    for case in cases {
        let mut gate = gate();
        for id in 0..10 {
            let waiting = request(id, "otaru", 1, 900_000);
            let decision = gate.offer(NOW, &waiting, Some(full()), 0.5);
            assert_eq!(decision, GateDecision::Wait, "{}", case.name);
        }
        let mut sent = 0;
        loop {
            let figures = ServiceRoom {
                daemons: case.daemons,
                counted_at: NOW,
                ..room(case.free, 24 - case.free)
            };
            let figures = figures.with_unplaced(sent as u32);
            match gate.poll(NOW, Some(figures), case.draw) {
                Some(GateAction::Send(_)) => sent += 1,
                Some(GateAction::Refuse(id, _)) => panic!("{}: refused {id}", case.name),
                None => break,
            }
        }
        assert_eq!(sent, case.expected, "{}", case.name);
    }
}

/// One step of a sequence of events at a gate.
#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    /// Free slots by the figures; `None` if they are missing.
    free: Option<u32>,
    /// The priority, the customer and the time of a request that arrives.
    arrival: Option<(u8, u8, u64)>,
    /// Whether the caller of the oldest waiting request leaves.
    leaves: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrival = prop::option::weighted(0.8, (0..3_u8, 0..4_u8, 0..800_u64));
    let free = prop::option::weighted(0.9, prop_oneof![4 => Just(0_u32), 1 => 1..4_u32]);
    let step = (0..40_u64, free, arrival, prop::bool::weighted(0.1));
    let step = step.prop_map(|(after_ms, free, arrival, leaves)| Step {
        after_ms,
        free,
        arrival,
        leaves,
    });
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// Guards against requests that are lost or decided twice, and against refusals while a slot is
    /// free or without figures.
    #[test]
    fn each_request_gets_one_decision(steps in steps(), draw in 0.0..1.0_f64) {
        let mut gate = gate();
        let mut now = NOW;
        let mut waiting: Vec<RequestId> = Vec::new();
        for (id, step) in steps.iter().enumerate() {
            now = now + DurationMs(step.after_ms);
            let figures = step.free.map(|free| ServiceRoom {
                counted_at: now,
                ..room(free, 48 - free)
            });
            let may_refuse = step.free == Some(0);
            if step.leaves && !waiting.is_empty() {
                gate.cancel(waiting.remove(0));
            }
            if let Some((priority, customer, remaining_ms)) = step.arrival {
                let request = GatedRequest {
                    id: RequestId(id as u64),
                    customer: format!("team-{customer}").parse().unwrap(),
                    priority,
                    answer_by: now + DurationMs(remaining_ms),
                };
                match gate.offer(now, &request, figures, draw) {
                    GateDecision::Send => {}
                    GateDecision::Wait => waiting.push(request.id),
                    GateDecision::Refuse(_) => prop_assert!(may_refuse),
                }
            }
            while let Some(action) = gate.poll(now, figures, draw) {
                let id = match action {
                    GateAction::Send(id) => id,
                    GateAction::Refuse(id, _) => {
                        prop_assert!(may_refuse);
                        id
                    }
                };
                let index = waiting.iter().position(|it| *it == id);
                prop_assert!(index.is_some(), "decided twice, or after its caller left");
                waiting.remove(index.unwrap());
            }
            prop_assert_eq!(gate.waiting(), waiting.len());
        }
        while gate.poll(now, None, draw).is_some() {}
        prop_assert!(gate.is_idle());
    }
}

fn pool() -> EndpointPool {
    let members = (0..4).map(|it| format!("edge-{it}").parse().unwrap());
    let mut pool = EndpointPool::new(PoolLimits {
        own_name: "edge-0".parse().unwrap(),
        members: members.collect(),
        members_min: 1,
        load_factor: 1.6,
        cache_ttl_ms: DurationMs(20_000),
        drain_ms: DurationMs(5_000),
        cold_rate_limit: None,
    });
    let listed = [("i-0", "hkd-a"), ("i-1", "hkd-b")].map(|(name, zone)| ListedEndpoint {
        name: name.parse().unwrap(),
        started_at_ms: Some(1),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 6,
        accepts_requests: true,
        cold_until: None,
    });
    pool.relist(NOW, listed);
    pool
}

/// Guards against decisions by figures that are missing, too old, or of endpoints that may not
/// serve the request.
#[test]
fn room_counts_the_endpoints_that_may_serve() {
    let mut pool = pool();
    assert_eq!(pool.room(NOW, None), None, "no figures");
    pool.observe_totals(NOW, |name| if name.as_str() == "i-0" { 8 } else { 2 });
    let all = pool.room(NOW, None).unwrap();
    assert_eq!((all.slots, all.load, all.free, all.daemons), (12, 10, 4, 4));
    let zones = ["hkd-a".parse().unwrap()];
    let full = pool.room(NOW, Some(&zones)).unwrap();
    assert_eq!((full.slots, full.load, full.free), (6, 8, 0));
    assert_eq!(pool.room(NOW, Some(&["hkd-c".parse().unwrap()])), None);

    let request = PlacementRequest {
        shared: None,
        draw: 0.5,
        allowed_zones: None,
        version: None,
        tried: &[],
        suspect: None,
        wait_max_ms: DurationMs(0),
    };
    let placement = pool.place(NOW, &request).unwrap();
    let after = pool.room(NOW, None).unwrap();
    assert_eq!((after.load, after.own_growth), (11, 1));
    pool.finish(&placement.endpoint);
    assert_eq!(pool.room(NOW, None).unwrap().own_growth, 0);

    assert!(pool.room(NOW + DurationMs(2_000), None).is_some());
    let stale = NOW + DurationMs(2_001);
    assert_eq!(pool.room(stale, None), None, "too old");
    let report = ReportedLoad {
        running: 6,
        waiting: 3,
        slots: 6,
        pace: None,
    };
    pool.observe_load(stale, &"i-0".parse().unwrap(), report);
    assert_eq!(pool.room(stale, None), None, "one endpoint is unknown");
    pool.observe_load(stale, &"i-1".parse().unwrap(), report);
    assert_eq!(
        pool.room(stale, None).unwrap().load,
        18,
        "reported by the endpoints"
    );
}

fn percent(part: u32, whole: u32) -> f64 {
    100.0 * f64::from(part) / f64::from(whole.max(1))
}

/// Simulates a load with some seeds; prints what callers got.
fn measure(load: &Load) -> Report {
    let mut report = Report::default();
    for seed in 1..=4 {
        report.add(&simulate(&Load {
            seed,
            ..load.clone()
        }));
    }
    println!(
        "{load:?}: {} arrived, {:.1}% in time, {:.1}% by objective, {:.1}% refused by endpoints, \
         {:.1}% by daemons ({} with room by their figures, {} with a free slot), \
         others by objective {:.1}%, {:.1}% waited for {:.0} ms",
        report.arrived,
        percent(report.in_time, report.arrived),
        percent(report.in_objective, report.arrived),
        percent(report.rejected, report.arrived),
        percent(report.refused, report.arrived),
        report.refused_with_room,
        report.refused_with_slot,
        percent(report.others_in_objective, report.others_arrived),
        percent(report.waited, report.arrived),
        f64::from(u32::try_from(report.wait_ms_sum).unwrap()) / f64::from(report.waited.max(1)),
    );
    report
}

/// Guards against a gate by which callers get fewer answers, later answers, or refusals while there
/// is room.
#[test]
fn callers_get_no_fewer_answers_under_load() {
    struct Case {
        demand: f64,
        /// Answers in time that the gate may cost, in points: a daemon sees too few requests to
        /// tell a moment without room from a lasting one.
        loss_max: f64,
        /// The same for answers within the objective; negative where the gate must gain some.
        objective_loss_max: f64,
    }
    let cases = [
        Case {
            demand: 0.6,
            loss_max: 0.1,
            objective_loss_max: 0.5,
        },
        Case {
            demand: 0.9,
            loss_max: 2.0,
            objective_loss_max: 2.0,
        },
        Case {
            demand: 1.0,
            loss_max: 4.0,
            objective_loss_max: 4.0,
        },
        Case {
            demand: 1.5,
            loss_max: 2.0,
            objective_loss_max: -2.0,
        },
        Case {
            demand: 2.6,
            loss_max: 2.0,
            objective_loss_max: -0.5,
        },
    ];
    for Case {
        demand,
        loss_max,
        objective_loss_max,
    } in cases
    {
        for interval_max_ms in [200, 1_800] {
            let load = Load {
                demand,
                interval_max_ms,
                ..Load::default()
            };
            let before = measure(&Load {
                has_gate: false,
                ..load.clone()
            });
            let after = measure(&load);
            let share = |report: &Report, part: u32| percent(part, report.arrived);
            let in_time = share(&after, after.in_time);
            assert!(
                in_time >= share(&before, before.in_time) - loss_max,
                "{load:?}"
            );
            let in_objective = share(&after, after.in_objective);
            let in_objective_min = share(&before, before.in_objective) - objective_loss_max;
            assert!(in_objective >= in_objective_min, "{load:?}");
            assert_eq!(after.refused_with_room, 0, "{load:?}");
            if demand >= 1.5 {
                assert!(after.rejected * 4 < before.rejected, "{load:?}");
            }
        }
    }
}

/// Guards against one customer's surge that takes the room of the others.
#[test]
fn a_surging_customer_leaves_the_others_their_room() {
    for interval_max_ms in [200, 1_800] {
        let load = Load {
            demand: 0.8,
            surge: 7.5,
            interval_max_ms,
            ..Load::default()
        };
        let before = measure(&Load {
            has_gate: false,
            ..load.clone()
        });
        let after = measure(&load);
        let others = |report: &Report| percent(report.others_in_objective, report.others_arrived);
        assert!(others(&after) >= others(&before) + 20.0, "{load:?}");
        assert_eq!(after.refused_with_room, 0, "{load:?}");
    }
}
