//! The soak's checks report each broken promise, and nothing for correct observations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::callers::{Answer, Call, RequestKind, RequestRecord};
use celeryknot_faults::soak::check::{Promise, check};
use celeryknot_faults::soak::fleet::{Observations, Withdrawal};
use celeryknot_faults::soak::plan::{RunLimits, SoakPlan, Step, StepKind};
use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_kinrin_standins::http::Message;
use celeryknot_kinrin_standins::site::CUSTOMER;
use strum::IntoEnumIterator;

const ENGINE: &str = "i-1";

fn request(kind: RequestKind, at: Instant, status: u16, body: &str) -> RequestRecord {
    RequestRecord {
        id: "00000000000000aa".to_owned(),
        call: Call {
            kind,
            event_count: 6,
            has_spare_key: false,
        },
        daemon: 0,
        incarnation: Some(1),
        sent_at: at,
        ended_at: at,
        response: Some(Answer {
            status,
            is_whole: true,
            is_signed: true,
            echoed: Some("00000000000000aa".to_owned()),
            body: body.to_owned(),
        }),
    }
}

fn arrival(at: Instant, customer: &str) -> Arrival {
    let headers = [("attempt-id", "00000000000000aa"), ("tenant", customer)];
    Arrival {
        at,
        head: Message {
            start: "GET /read/1 HTTP/1.1".to_owned(),
            headers: headers
                .map(|(name, value)| (name.into(), value.into()))
                .into(),
            ..Message::default()
        },
        is_run: true,
        closed_at: None,
    }
}

fn observations(requests: Vec<RequestRecord>, arrivals: Vec<Arrival>) -> Observations {
    Observations {
        requests,
        arrivals: vec![(ENGINE.to_owned(), arrivals)],
        withdrawals: Vec::new(),
        cold: Vec::new(),
        generations: Vec::new(),
        revoked_at: None,
    }
}

fn events(ids: &[usize]) -> String {
    ids.iter()
        .map(|id| format!("id: {id}\ndata: x\n\n"))
        .collect()
}

struct Case {
    name: &'static str,
    /// The promise that is broken, if any.
    broken: Option<Promise>,
    observations: fn(Instant) -> Observations,
}

const CASES: [Case; 18] = [
    Case {
        name: "a booking that ran once",
        broken: None,
        observations: |at| {
            observations(
                vec![request(RequestKind::Book, at, 200, ENGINE)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "a booking that ran twice",
        broken: Some(Promise::AtMostOnce),
        observations: |at| {
            let arrivals = vec![arrival(at, CUSTOMER), arrival(at, CUSTOMER)];
            observations(vec![request(RequestKind::Book, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "a read that ran twice",
        broken: None,
        observations: |at| {
            let arrivals = vec![arrival(at, CUSTOMER), arrival(at, CUSTOMER)];
            observations(vec![request(RequestKind::Read, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "a booking that was refused and ran",
        broken: Some(Promise::TrueRefusals),
        observations: |at| {
            observations(
                vec![request(RequestKind::Book, at, 503, "")],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "a response that no endpoint sent",
        broken: Some(Promise::WholeAnswers),
        observations: |at| {
            observations(
                vec![request(RequestKind::Read, at, 200, "half")],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "a response to another request",
        broken: Some(Promise::WholeAnswers),
        observations: |at| {
            let mut other = request(RequestKind::Read, at, 200, ENGINE);
            other.id = "00000000000000bb".to_owned();
            observations(vec![other], vec![])
        },
    },
    Case {
        name: "a stream with an event twice",
        broken: Some(Promise::EventsInOrder),
        observations: |at| {
            let body = events(&[1, 2, 2, 3, 4, 5, 6]);
            observations(
                vec![request(RequestKind::Draft, at, 200, &body)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "an incomplete stream that ends cleanly",
        broken: Some(Promise::EventsInOrder),
        observations: |at| {
            let body = events(&[1, 2, 3]);
            observations(
                vec![request(RequestKind::Chat, at, 200, &body)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "another customer's name",
        broken: Some(Promise::Keys),
        observations: |at| {
            observations(
                vec![request(RequestKind::Read, at, 200, ENGINE)],
                vec![arrival(at, "other")],
            )
        },
    },
    Case {
        name: "a request that ran and received no response",
        broken: Some(Promise::NoneLost),
        observations: |at| {
            let mut lost = request(RequestKind::Book, at, 200, ENGINE);
            lost.response = None;
            observations(vec![lost], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "a request to an endpoint after the drain time",
        broken: Some(Promise::LeavingLeftAlone),
        observations: |at| {
            let late = at + Duration::from_millis(2_100);
            let mut observations = observations(
                vec![request(RequestKind::Read, late, 200, ENGINE)],
                vec![arrival(late, CUSTOMER)],
            );
            observations.withdrawals.push(Withdrawal {
                endpoint: ENGINE.to_owned(),
                at,
            });
            observations
        },
    },
    Case {
        name: "a request to an endpoint within the drain time",
        broken: None,
        observations: |at| {
            let soon = at + Duration::from_millis(1_900);
            let mut observations = observations(
                vec![request(RequestKind::Read, soon, 200, ENGINE)],
                vec![arrival(soon, CUSTOMER)],
            );
            observations.withdrawals.push(Withdrawal {
                endpoint: ENGINE.to_owned(),
                at,
            });
            observations
        },
    },
    Case {
        name: "a route that was removed longer ago than the allowed delay",
        broken: Some(Promise::ConfigurationInForce),
        observations: |at| {
            let late = at + Duration::from_millis(2_100);
            let kind = RequestKind::Generation(1);
            let mut observations = observations(
                vec![request(kind, late, 200, ENGINE)],
                vec![arrival(late, CUSTOMER)],
            );
            observations.generations = vec![(1, at), (2, at)];
            observations
        },
    },
    Case {
        name: "a key that was revoked",
        broken: Some(Promise::ConfigurationInForce),
        observations: |at| {
            let late = at + Duration::from_millis(2_100);
            let mut request = request(RequestKind::Read, late, 200, ENGINE);
            request.call.has_spare_key = true;
            let mut observations = observations(vec![request], vec![arrival(late, CUSTOMER)]);
            observations.revoked_at = Some(at);
            observations
        },
    },
    Case {
        name: "an older configuration in the same incarnation",
        broken: Some(Promise::ConfigurationNeverBack),
        observations: |at| {
            let later = at + Duration::from_millis(300);
            let newer = request(RequestKind::Generation(5), at, 200, ENGINE);
            let older = request(RequestKind::Generation(4), later, 200, ENGINE);
            observations(vec![newer, older], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "an older configuration in another incarnation",
        broken: None,
        observations: |at| {
            let later = at + Duration::from_millis(300);
            let newer = request(RequestKind::Generation(5), at, 200, ENGINE);
            let mut older = request(RequestKind::Generation(4), later, 200, ENGINE);
            older.incarnation = Some(2);
            observations(vec![newer, older], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "more retries than the budget allows",
        broken: Some(Promise::RetryBudget),
        observations: |at| {
            let arrivals = vec![arrival(at, CUSTOMER); 62];
            observations(vec![request(RequestKind::Read, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "more requests to a cold engine than its rate limit",
        broken: Some(Promise::ColdBound),
        observations: |at| {
            let arrivals = vec![arrival(at, CUSTOMER); 25];
            let mut observations =
                observations(vec![request(RequestKind::Read, at, 200, ENGINE)], arrivals);
            observations.cold = vec![(ENGINE.to_owned(), at + Duration::from_secs(1))];
            observations
        },
    },
];

fn planned_work() -> SoakPlan {
    let step = Step {
        kind: StepKind::ReloadDaemon,
        target: 0,
        start_ms: 0,
        duration_ms: 0,
    };
    SoakPlan {
        seed: Seed(3),
        limits: RunLimits {
            idle_timeout_ms: 1_000,
            shutdown_grace_s: 8,
        },
        steps: vec![step],
    }
}

#[test]
fn checks_report_each_broken_promise() {
    let mut found: BTreeMap<Promise, usize> = BTreeMap::new();
    for case in &CASES {
        let (broken, _) = check(&planned_work(), &(case.observations)(Instant::now()));
        let promises: Vec<Promise> = broken.iter().map(|it| it.promise).collect();
        let expected: Vec<Promise> = case.broken.into_iter().collect();
        assert_eq!(promises, expected, "{}: {broken:?}", case.name);
        for promise in promises {
            *found.entry(promise).or_default() += 1;
        }
    }
    assert_eq!(
        found.len(),
        Promise::iter().count(),
        "a case for each promise"
    );
}

#[test]
fn promises_for_planned_work_are_not_checked_under_faults() {
    let mut plan = planned_work();
    plan.steps[0].kind = StepKind::KillDaemon;
    let at = Instant::now();
    let mut lost = request(RequestKind::Book, at, 200, ENGINE);
    lost.response = None;
    let (broken, _) = check(
        &plan,
        &observations(vec![lost], vec![arrival(at, CUSTOMER)]),
    );
    assert!(broken.is_empty(), "{broken:?}");
}
