//! The soak's checks report each broken promise, and nothing for correct observations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::callers::{Answer, Call, RequestKind, RequestRecord};
use celeryknot_faults::soak::check::{Promise, check};
use celeryknot_faults::soak::fleet::{BAD_PART, BAD_PATH};
use celeryknot_faults::soak::observations::{
    EndpointCut, Observations, Shutdown, StatedLimit, StatedPause, Withdrawal,
};
use celeryknot_faults::soak::plan::{RunLimits, SoakPlan, Step, StepKind};
use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_kinrin_standins::http::{Message, PROMPT_PARTS};
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

/// Returns a stream that was cut after three events.
fn cut_stream(sent_at: Instant, ended_at: Instant) -> RequestRecord {
    let mut cut = request(RequestKind::Chat, sent_at, 200, &events(&[1, 2, 3]));
    cut.ended_at = ended_at;
    if let Some(response) = &mut cut.response {
        response.is_whole = false;
    }
    cut
}

/// Returns a stream that was cut during a shutdown of edge-0, whose grace time is 8 s; the times are
/// relative to SIGTERM.
fn cut_in_shutdown(at: Instant, sent_ms: u64, ended_ms: u64) -> Observations {
    let after = |ms| at + Duration::from_millis(ms);
    let sent_at = after(sent_ms);
    let mut observations = observations(
        vec![cut_stream(sent_at, after(ended_ms))],
        vec![arrival(sent_at, CUSTOMER)],
    );
    observations.started_at = at;
    observations.shutdowns.push(Shutdown {
        daemon: 0,
        terminated_at: at,
        exited_at: after(ended_ms + 10),
    });
    observations
}

fn observations(requests: Vec<RequestRecord>, arrivals: Vec<Arrival>) -> Observations {
    Observations {
        requests,
        arrivals: vec![(ENGINE.to_owned(), arrivals)],
        started_at: Instant::now(),
        shutdowns: Vec::new(),
        withdrawals: Vec::new(),
        cold: Vec::new(),
        stated_limits: Vec::new(),
        stated_departures: Vec::new(),
        stated_pauses: Vec::new(),
        endpoint_cuts: Vec::new(),
        generations: Vec::new(),
        revoked_at: None,
    }
}

/// Returns arrivals of prompts with the part on which engines crash, and of some 3.1 s later.
fn bad_prompts(at: Instant, crashes: usize, late: usize) -> Observations {
    let times = std::iter::repeat_n(at, crashes)
        .chain(std::iter::repeat_n(at + Duration::from_millis(3_100), late));
    let arrivals = times.map(|at| {
        let mut arrival = arrival(at, CUSTOMER);
        let prompt = format!("a1:300,{BAD_PART}:150,c3:50");
        arrival.head.headers.push((PROMPT_PARTS.into(), prompt));
        arrival
    });
    observations(Vec::new(), arrivals.collect())
}

/// Returns arrivals of the request on which endpoints crash, and of some 3.1 s later.
fn bad_requests(at: Instant, crashes: usize, late: usize) -> Observations {
    let times = std::iter::repeat_n(at, crashes)
        .chain(std::iter::repeat_n(at + Duration::from_millis(3_100), late));
    let arrivals = times.map(|at| {
        let mut arrival = arrival(at, CUSTOMER);
        arrival.head.start = format!("GET {BAD_PATH} HTTP/1.1");
        arrival
    });
    observations(Vec::new(), arrivals.collect())
}

/// Returns requests with an id each, at times in milliseconds from the start, that the engine got.
fn requests_at(from: Instant, times_ms: impl IntoIterator<Item = u64>) -> Observations {
    let mut requests = Vec::new();
    let mut arrivals = Vec::new();
    for (number, ms) in times_ms.into_iter().enumerate() {
        let at = from + Duration::from_millis(ms);
        let id = format!("{number:016x}");
        let mut request = request(RequestKind::Read, at, 200, ENGINE);
        if let Some(response) = &mut request.response {
            response.echoed = Some(id.clone());
        }
        request.id.clone_from(&id);
        requests.push(request);
        let mut arrival = arrival(at, CUSTOMER);
        arrival.head.headers[0].1 = id;
        arrivals.push(arrival);
    }
    observations(requests, arrivals)
}

/// Returns requests at an interval to an engine that states a rate limit of one a second.
fn limited(from: Instant, interval_ms: u64) -> Observations {
    let times_ms = (0..8_000 / interval_ms).map(|number| number * interval_ms);
    let mut observations = requests_at(from, times_ms);
    observations.stated_limits.push(StatedLimit {
        endpoint: ENGINE.to_owned(),
        rate_per_s: 1.0,
        from,
        until: from + Duration::from_secs(9),
    });
    observations
}

/// Returns requests to an engine that states that it is leaving.
fn leaving(from: Instant, times_ms: &[u64]) -> Observations {
    let mut observations = requests_at(from, times_ms.iter().copied());
    observations.stated_departures = vec![(ENGINE.to_owned(), from)];
    observations
}

/// Returns requests to an engine that asks for a pause of 2.5 s in the first 0.4 s.
fn pausing(from: Instant, times_ms: &[u64]) -> Observations {
    let mut observations = requests_at(from, times_ms.iter().copied());
    observations.stated_pauses.push(StatedPause {
        endpoint: ENGINE.to_owned(),
        pause: Duration::from_millis(2_500),
        from,
        until: from + Duration::from_millis(400),
    });
    observations
}

/// Returns requests to a daemon that is cut off from endpoints and to another one, of which the first
/// refuses some, sent so many milliseconds after the beginning of the cut.
fn severed(from: Instant, sent_ms: u64, refused: usize) -> Observations {
    const REQUESTS: usize = 30;
    let sent_at = from + Duration::from_millis(sent_ms);
    let of_daemon = |daemon: usize, refused: usize| {
        (0..REQUESTS).map(move |number| {
            let status = if number < refused { 503 } else { 200 };
            let mut request = request(RequestKind::Read, sent_at, status, ENGINE);
            request.daemon = daemon;
            request
        })
    };
    let requests = of_daemon(0, refused).chain(of_daemon(1, 0)).collect();
    let mut observations = observations(requests, vec![arrival(sent_at, CUSTOMER)]);
    observations.endpoint_cuts.push(EndpointCut {
        daemon: 0,
        from,
        until: from + Duration::from_millis(6_000),
    });
    observations
}

/// Returns a request that a daemon refused for its key, and a later one, by the same incarnation or
/// another, that was served.
fn served_after_revocation(at: Instant, incarnation: u64) -> Observations {
    let mut refused = request(RequestKind::Read, at, 401, "{}");
    refused.call.has_spare_key = true;
    let later = at + Duration::from_secs(1);
    let mut served = request(RequestKind::Read, later, 200, ENGINE);
    served.call.has_spare_key = true;
    served.incarnation = Some(incarnation);
    observations(vec![refused, served], vec![arrival(later, CUSTOMER)])
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

const CASES: [Case; 44] = [
    Case {
        name: "requests within the drain time of an engine that leaves",
        broken: None,
        observations: |at| leaving(at, &[0, 500, 2_500]),
    },
    Case {
        name: "a request later than that",
        broken: Some(Promise::StatedDeparture),
        observations: |at| leaving(at, &[0, 500, 2_700]),
    },
    Case {
        name: "few requests in a pause, and others before and after it",
        broken: None,
        observations: |at| pausing(at, &[0, 420, 480, 600, 2_400, 2_600, 2_700]),
    },
    Case {
        name: "more requests in a pause",
        broken: Some(Promise::StatedPause),
        observations: |at| pausing(at, &[0, 600, 1_000, 2_400]),
    },
    Case {
        name: "a daemon that fails few requests behind a cut",
        broken: None,
        observations: |at| severed(at, 3_500, 10),
    },
    Case {
        name: "a daemon that fails many just after the beginning of a cut",
        broken: None,
        observations: |at| severed(at, 2_500, 30),
    },
    Case {
        name: "a daemon that gets many requests without a valid key behind a cut",
        broken: None,
        observations: |at| {
            let mut observations = severed(at, 3_500, 15);
            let refused = observations.requests.iter_mut().take(15);
            for response in refused.filter_map(|request| request.response.as_mut()) {
                response.status = 401;
            }
            observations
        },
    },
    Case {
        name: "a daemon that fails many behind a cut",
        broken: Some(Promise::SeveredDaemonsServe),
        observations: |at| severed(at, 3_500, 15),
    },
    Case {
        name: "a key that another incarnation accepts",
        broken: None,
        observations: |at| served_after_revocation(at, 2),
    },
    Case {
        name: "a key that a daemon has refused and accepts again",
        broken: Some(Promise::RevocationNeverBack),
        observations: |at| served_after_revocation(at, 1),
    },
    Case {
        name: "a request that crashes endpoints, stopped in time",
        broken: None,
        observations: |at| bad_requests(at, 3, 3),
    },
    Case {
        name: "a request that crashes endpoints, not stopped in time",
        broken: Some(Promise::CrashesBounded),
        observations: |at| bad_requests(at, 3, 4),
    },
    Case {
        name: "a sound request refused as banned",
        broken: Some(Promise::SoundPromptsServed),
        observations: |at| {
            let body = "request-banned";
            observations(vec![request(RequestKind::Read, at, 503, body)], Vec::new())
        },
    },
    Case {
        name: "an endpoint at its stated rate limit",
        broken: None,
        observations: |at| limited(at, 400),
    },
    Case {
        name: "an endpoint above its stated rate limit",
        broken: Some(Promise::RateLimit),
        observations: |at| limited(at, 200),
    },
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
        name: "a request that no daemon read",
        broken: None,
        observations: |at| {
            let mut unread = request(RequestKind::Book, at, 200, ENGINE);
            unread.response = None;
            observations(vec![unread], vec![])
        },
    },
    Case {
        name: "a stream cut on a daemon that is not shut down",
        broken: Some(Promise::NoneLost),
        observations: |at| {
            let cut = cut_stream(at, at + Duration::from_secs(1));
            observations(vec![cut], vec![arrival(at, CUSTOMER)])
        },
    },
    Case {
        name: "a cut response that no endpoint sent",
        broken: Some(Promise::NoneLost),
        observations: |at| observations(vec![cut_stream(at, at)], vec![]),
    },
    Case {
        name: "a stream sent soon after SIGTERM and cut at the end of the grace time",
        broken: None,
        observations: |at| cut_in_shutdown(at, 2_990, 7_400),
    },
    Case {
        name: "a stream sent long after SIGTERM and cut at the end of the grace time",
        broken: Some(Promise::NoneLost),
        observations: |at| cut_in_shutdown(at, 3_010, 7_400),
    },
    Case {
        name: "a stream cut before the end of the grace time",
        broken: Some(Promise::NoneLost),
        observations: |at| cut_in_shutdown(at, 100, 6_990),
    },
    Case {
        name: "a stream cut at the end of another daemon's grace time",
        broken: Some(Promise::NoneLost),
        observations: |at| {
            let mut observations = cut_in_shutdown(at, 100, 7_400);
            observations.shutdowns[0].daemon = 1;
            observations
        },
    },
    Case {
        name: "a stream cut after the daemon's shutdown",
        broken: Some(Promise::NoneLost),
        observations: |at| {
            let mut observations = cut_in_shutdown(at, 2_000, 7_400);
            observations.shutdowns[0].exited_at = at + Duration::from_millis(1_000);
            observations
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
    Case {
        name: "four requests with a part long after it crashed five engines",
        broken: Some(Promise::CrashesBounded),
        observations: |at| bad_prompts(at, 5, 4),
    },
    Case {
        name: "three requests with a part long after it crashed five engines",
        broken: None,
        observations: |at| bad_prompts(at, 5, 3),
    },
    Case {
        name: "a sound prompt that is refused for a banned part",
        broken: Some(Promise::SoundPromptsServed),
        observations: |at| {
            let refused = request(RequestKind::Chat, at, 503, "{\"error\":\"prompt-banned\"}");
            observations(vec![refused], Vec::new())
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
fn lost_request_is_described_with_daemon_seed_and_times() {
    let observations = cut_in_shutdown(Instant::now(), 3_100, 7_400);
    let (broken, _) = check(&planned_work(), &observations);
    let details: Vec<&str> = broken.iter().map(|it| it.detail.as_str()).collect();
    let expected = "seed 3: chat 00000000000000aa at edge-0, sent at 3.100 s, ended at 7.400 s \
                    with status 200 and 3 of 6 events; SIGTERM at 0.000 s, exit at 7.410 s";
    assert_eq!(details, [expected]);
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
