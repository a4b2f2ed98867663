//! Requests from a caller through daemons to endpoints, and the responses.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use celeryknot_standins::{
    Caller, CallerOptions, Engine, EngineOptions, LOOPBACK, Outcome, Service, ServiceOptions,
};
use fleet::{
    MODEL_SERVICE, PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, booking, chat_request,
};

struct Case {
    name: &'static str,
    daemons: usize,
    /// Index of the daemon that owns the endpoints; the caller connects to the first one.
    owner: usize,
}

const CASES: [Case; 2] = [
    Case {
        name: "the entry daemon owns the endpoint",
        daemons: 1,
        owner: 0,
    },
    Case {
        name: "another daemon owns the endpoint",
        daemons: 2,
        owner: 1,
    },
];

#[test]
fn requests_reach_endpoints_and_responses_are_complete() {
    for case in CASES {
        let engine = Engine::start(EngineOptions::default(), LOOPBACK).unwrap();
        let service = Service::start(ServiceOptions::default(), LOOPBACK).unwrap();
        let endpoints = [
            TestEndpoint {
                service: MODEL_SERVICE,
                name: "engine-1",
                address: engine.address(),
                owner: case.owner,
            },
            TestEndpoint {
                service: PLAIN_SERVICE,
                name: "service-1",
                address: service.address(),
                owner: case.owner,
            },
        ];
        let options = TestOptions {
            daemons: case.daemons,
            ..TestOptions::default()
        };
        let fleet = TestFleet::start(options, &endpoints);
        smol::block_on(call_all(case.name, &fleet));
        assert_eq!(service.counters().bookings.len(), 2, "{}", case.name);
    }
}

async fn call_all(name: &str, fleet: &TestFleet) {
    let caller = Caller::new(CallerOptions::default());
    let model = fleet.target(0, MODEL_SERVICE);
    for stream in [false, true] {
        let request = chat_request("a long complaint file", stream);
        let outcome = caller.chat(&model, "chat-1", None, &request).await;
        let Outcome::Completed(completed) = outcome else {
            panic!("{name}: stream {stream}: {outcome:?}");
        };
        assert!(completed.affinity.is_some(), "{name}");
    }
    let plain = fleet.target(0, PLAIN_SERVICE);
    let outcome = caller.read_record(&plain, "case-7").await;
    assert!(
        matches!(outcome, Outcome::Completed(_)),
        "{name}: {outcome:?}"
    );
    let outcome = caller.book_once(&plain, None, &booking("monday-10")).await;
    assert!(
        matches!(outcome, Outcome::Completed(_)),
        "{name}: {outcome:?}"
    );
    let targets = [plain];
    let outcome = caller
        .book(&targets, PLAIN_SERVICE, &booking("monday-11"))
        .await;
    assert!(
        matches!(outcome, Outcome::Completed(_)),
        "{name}: {outcome:?}"
    );
}
