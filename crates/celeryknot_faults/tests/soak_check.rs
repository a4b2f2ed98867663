//! The soak's checks: each promise is seen to be broken where it is, and only there.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::callers::{Answer, AskKind, Asked};
use celeryknot_faults::soak::check::{Promise, check};
use celeryknot_faults::soak::fleet::{Seen, Withdrawal};
use celeryknot_faults::soak::plan::{SoakPlan, Step, StepKind};
use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_kinrin_standins::http::Message;
use celeryknot_kinrin_standins::site::CUSTOMER;
use strum::IntoEnumIterator;

const ENGINE: &str = "i-1";

fn asked(kind: AskKind, at: Instant, status: u16, body: &str) -> Asked {
    Asked {
        id: "00000000000000aa".to_owned(),
        kind,
        daemon: 0,
        life: Some(1),
        has_spare_key: false,
        sent_at: at,
        ended_at: at,
        answer: Some(Answer {
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
        left_at: None,
    }
}

fn seen(asked: Vec<Asked>, arrivals: Vec<Arrival>) -> Seen {
    Seen {
        asked,
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
    /// The promise that is broken, if one is.
    broken: Option<Promise>,
    seen: fn(Instant) -> Seen,
}

const CASES: [Case; 18] = [
    Case {
        name: "a booking that ran once",
        broken: None,
        seen: |at| {
            seen(
                vec![asked(AskKind::Book, at, 200, ENGINE)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "a booking that ran twice",
        broken: Some(Promise::AtMostOnce),
        seen: |at| {
            let arrivals = vec![arrival(at, CUSTOMER), arrival(at, CUSTOMER)];
            seen(vec![asked(AskKind::Book, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "a read that ran twice",
        broken: None,
        seen: |at| {
            let arrivals = vec![arrival(at, CUSTOMER), arrival(at, CUSTOMER)];
            seen(vec![asked(AskKind::Read, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "a booking that was refused and ran",
        broken: Some(Promise::TrueRefusals),
        seen: |at| {
            seen(
                vec![asked(AskKind::Book, at, 503, "")],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "an answer that no endpoint gave",
        broken: Some(Promise::WholeAnswers),
        seen: |at| {
            seen(
                vec![asked(AskKind::Read, at, 200, "half")],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "an answer to another request",
        broken: Some(Promise::WholeAnswers),
        seen: |at| {
            let mut other = asked(AskKind::Read, at, 200, ENGINE);
            other.id = "00000000000000bb".to_owned();
            seen(vec![other], vec![])
        },
    },
    Case {
        name: "a stream with an event twice",
        broken: Some(Promise::EventsInOrder),
        seen: |at| {
            let body = events(&[1, 2, 2, 3, 4, 5, 6]);
            seen(
                vec![asked(AskKind::Draft, at, 200, &body)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "a short stream that looks complete",
        broken: Some(Promise::EventsInOrder),
        seen: |at| {
            let body = events(&[1, 2, 3]);
            seen(
                vec![asked(AskKind::Chat, at, 200, &body)],
                vec![arrival(at, CUSTOMER)],
            )
        },
    },
    Case {
        name: "another customer's name",
        broken: Some(Promise::Keys),
        seen: |at| {
            seen(
                vec![asked(AskKind::Read, at, 200, ENGINE)],
                vec![arrival(at, "other")],
            )
        },
    },
    Case {
        name: "a request that ran and got no answer",
        broken: Some(Promise::NoneLost),
        seen: |at| {
            let mut lost = asked(AskKind::Book, at, 200, ENGINE);
            lost.answer = None;
            seen(vec![lost], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "a request at an endpoint that had left",
        broken: Some(Promise::LeavingLeftAlone),
        seen: |at| {
            let late = at + Duration::from_millis(2_100);
            let mut seen = seen(
                vec![asked(AskKind::Read, late, 200, ENGINE)],
                vec![arrival(late, CUSTOMER)],
            );
            seen.withdrawals.push(Withdrawal {
                endpoint: ENGINE.to_owned(),
                at,
            });
            seen
        },
    },
    Case {
        name: "a request within the drain time",
        broken: None,
        seen: |at| {
            let soon = at + Duration::from_millis(1_900);
            let mut seen = seen(
                vec![asked(AskKind::Read, soon, 200, ENGINE)],
                vec![arrival(soon, CUSTOMER)],
            );
            seen.withdrawals.push(Withdrawal {
                endpoint: ENGINE.to_owned(),
                at,
            });
            seen
        },
    },
    Case {
        name: "a route that is gone since long",
        broken: Some(Promise::ConfigurationInForce),
        seen: |at| {
            let late = at + Duration::from_millis(2_100);
            let kind = AskKind::Generation(1);
            let mut seen = seen(
                vec![asked(kind, late, 200, ENGINE)],
                vec![arrival(late, CUSTOMER)],
            );
            seen.generations = vec![(1, at), (2, at)];
            seen
        },
    },
    Case {
        name: "a key that was taken away",
        broken: Some(Promise::ConfigurationInForce),
        seen: |at| {
            let late = at + Duration::from_millis(2_100);
            let mut asked = asked(AskKind::Read, late, 200, ENGINE);
            asked.has_spare_key = true;
            let mut seen = seen(vec![asked], vec![arrival(late, CUSTOMER)]);
            seen.revoked_at = Some(at);
            seen
        },
    },
    Case {
        name: "an older configuration in the same life",
        broken: Some(Promise::ConfigurationNeverBack),
        seen: |at| {
            let later = at + Duration::from_millis(300);
            let newer = asked(AskKind::Generation(5), at, 200, ENGINE);
            let older = asked(AskKind::Generation(4), later, 200, ENGINE);
            seen(vec![newer, older], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "an older configuration in another life",
        broken: None,
        seen: |at| {
            let later = at + Duration::from_millis(300);
            let newer = asked(AskKind::Generation(5), at, 200, ENGINE);
            let mut older = asked(AskKind::Generation(4), later, 200, ENGINE);
            older.life = Some(2);
            seen(vec![newer, older], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "more further sends than the budget has",
        broken: Some(Promise::RetryBudget),
        seen: |at| {
            let arrivals = vec![arrival(at, CUSTOMER); 62];
            seen(vec![asked(AskKind::Read, at, 200, ENGINE)], arrivals)
        },
    },
    Case {
        name: "more requests at a cold engine than it bears",
        broken: Some(Promise::ColdBound),
        seen: |at| {
            let arrivals = vec![arrival(at, CUSTOMER); 25];
            let mut seen = seen(vec![asked(AskKind::Read, at, 200, ENGINE)], arrivals);
            seen.cold = vec![(ENGINE.to_owned(), at + Duration::from_secs(1))];
            seen
        },
    },
];

fn planned_work() -> SoakPlan {
    let step = Step {
        kind: StepKind::HupDaemon,
        target: 0,
        starts_ms: 0,
        lasts_ms: 0,
    };
    SoakPlan {
        seed: Seed(3),
        steps: vec![step],
    }
}

#[test]
fn each_promise_is_seen_to_be_broken() {
    let mut found: BTreeMap<Promise, usize> = BTreeMap::new();
    for case in &CASES {
        let (broken, _) = check(&planned_work(), &(case.seen)(Instant::now()));
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
fn what_holds_only_around_planned_work_is_not_asked_of_faults() {
    let mut plan = planned_work();
    plan.steps[0].kind = StepKind::KillDaemon;
    let at = Instant::now();
    let mut lost = asked(AskKind::Book, at, 200, ENGINE);
    lost.answer = None;
    let (broken, _) = check(&plan, &seen(vec![lost], vec![arrival(at, CUSTOMER)]));
    assert!(broken.is_empty(), "{broken:?}");
}
