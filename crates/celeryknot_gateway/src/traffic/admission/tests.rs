//! Checks the lanes: who is woken, and what happens when callers leave or figures are lost.

use std::rc::Rc;

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs};
use celeryknot_policy::direct::{GatedRequest, ServiceRoom};
use futures_lite::future;

use super::{Admission, AdmissionLanes, LaneKey, Outcome, WaitingRequest};

const NOW: MonotonicMs = MonotonicMs(10_000);

/// So far above the slots that the rate lets no request leave within a test.
const FULL_LOAD: u32 = 400;

fn room(free: u32) -> ServiceRoom {
    ServiceRoom {
        slots: 24,
        load: FULL_LOAD,
        free,
        places: free,
        own_growth: 0,
        age_ms: DurationMs(100),
        counted_at: MonotonicMs(9_900),
        daemons: 1,
    }
}

fn key(zone: Option<&str>) -> LaneKey {
    LaneKey {
        service: "summaries".parse().unwrap(),
        allowed_zones: zone.map(|zone| [zone.parse().unwrap()].into_iter().collect()),
    }
}

fn offer(lanes: &Rc<AdmissionLanes>, free: Option<u32>, zone: Option<&str>) -> Admission {
    lanes.offer(NOW, key(zone), free.map(room), |id| GatedRequest {
        id,
        customer: "otaru".parse().unwrap(),
        priority: 0,
        answer_by: NOW + DurationMs(60_000),
    })
}

fn waiting(admission: Admission) -> WaitingRequest {
    match admission {
        Admission::Waiting(waiting, _) => waiting,
        Admission::Decided(outcome) => panic!("{outcome:?}"),
    }
}

/// Returns the decision on a waiting request, if there is one.
fn decision(request: &WaitingRequest) -> Option<Outcome> {
    request.outcome.try_recv().ok()
}

/// Lanes whose gates know the service time.
fn lanes() -> Rc<AdmissionLanes> {
    let lanes = Rc::<AdmissionLanes>::default();
    for zone in [None, Some("hkd-a")] {
        drop(offer(&lanes, Some(24), zone));
        lanes.observe_answer(&key(zone), None, DurationMs(40));
    }
    lanes
}

/// Guards against a daemon that starts, or has no figures, and holds requests back.
#[test]
fn requests_are_sent_at_once_without_figures_or_with_room() {
    struct Case {
        name: &'static str,
        lanes: Rc<AdmissionLanes>,
        free: Option<u32>,
    }
    let cases = [
        Case {
            name: "no figures",
            lanes: lanes(),
            free: None,
        },
        Case {
            name: "room",
            lanes: lanes(),
            free: Some(1),
        },
        Case {
            name: "no service time",
            lanes: Rc::default(),
            free: Some(0),
        },
    ];
    for Case { name, lanes, free } in cases {
        let admission = offer(&lanes, free, None);
        assert!(
            matches!(admission, Admission::Decided(Ok(_))),
            "{name}: {admission:?}"
        );
        assert_eq!(lanes.waiting(), 0, "{name}");
    }
}

/// Guards against requests that are never woken, or woken before there is room.
#[test]
fn a_waiting_request_leaves_when_there_is_room() {
    let lanes = lanes();
    let first = waiting(offer(&lanes, Some(0), None));
    let second = waiting(offer(&lanes, Some(0), None));
    lanes.poll(NOW, |_| Some(room(0)));
    assert!(decision(&first).is_none());
    // One slot: the second request leaves only after the first is placed.
    lanes.poll(NOW, |_| Some(room(1)));
    let admitted = decision(&first).unwrap().unwrap();
    lanes.poll(NOW, |_| Some(room(1)));
    assert!(
        decision(&second).is_none(),
        "the slot is taken by a request on its way"
    );
    drop(admitted);
    lanes.poll(NOW, |_| Some(room(1)));
    assert!(future::block_on(second.decided()).is_ok());
    assert_eq!(lanes.waiting(), 0);
}

/// Guards against places and turns that are lost to callers who have left.
#[test]
fn a_request_whose_caller_leaves_takes_no_place() {
    let lanes = lanes();
    let left = waiting(offer(&lanes, Some(0), None));
    let next = waiting(offer(&lanes, Some(0), None));
    drop(left);
    assert_eq!(lanes.waiting(), 1);
    lanes.poll(NOW, |_| Some(room(1)));
    assert_eq!(lanes.waiting(), 0);
    // This caller leaves after the decision and before its request is placed.
    drop(next);
    let admission = offer(&lanes, Some(1), None);
    assert!(
        matches!(admission, Admission::Decided(Ok(_))),
        "{admission:?}"
    );
}

/// Guards against requests that wait until their callers' time is over.
#[test]
fn a_late_request_is_woken_with_a_refusal() {
    let lanes = lanes();
    let late = waiting(offer(&lanes, Some(0), None));
    lanes.poll(NOW + DurationMs(59_990), |_| Some(room(0)));
    let refused = decision(&late).unwrap().unwrap_err();
    assert_eq!(refused.refusal.kind, ErrorKind::DeadlineUnreachable);
    assert!(refused.refusal.retry_after_ms.is_some());
    assert_eq!(refused.figures.unwrap().room.slots, 24);
}

/// Guards against requests that are held back, or refused, by figures that no longer come.
#[test]
fn waiting_requests_leave_when_the_figures_are_lost() {
    let lanes = lanes();
    let requests = [(); 3].map(|()| waiting(offer(&lanes, Some(0), None)));
    lanes.poll(NOW, |_| None);
    assert!(requests.iter().all(|it| decision(it).unwrap().is_ok()));
}

/// Guards against requests that wait for endpoints which they may not use.
#[test]
fn zones_have_lanes_of_their_own() {
    let lanes = lanes();
    let anywhere = waiting(offer(&lanes, Some(0), None));
    let zone = waiting(offer(&lanes, Some(0), Some("hkd-a")));
    lanes.poll(NOW, |lane| {
        Some(room(u32::from(lane.allowed_zones.is_some())))
    });
    assert!(decision(&anywhere).is_none());
    assert!(decision(&zone).unwrap().is_ok());
}
