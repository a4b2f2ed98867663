//! Interrupted token streams are resumed, or aborted so that callers detect the truncation.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;
mod raw;

use celeryknot_settings::ServiceSettings;
use celeryknot_standins::wire::EndpointMode;
use celeryknot_standins::{Caller, CallerOptions, Engine, EngineOptions, LOOPBACK, Outcome};
use fleet::{MODEL_SERVICE, TestEndpoint, TestFleet, TestOptions, chat_request, model_settings};

/// Percentage of responses that the first engine truncates.
const TRUNCATE_PERCENT: u32 = 100;

fn options(daemons: usize) -> TestOptions {
    TestOptions {
        daemons,
        model: ServiceSettings {
            retry_percent_max: 100,
            ..model_settings()
        },
        ..TestOptions::default()
    }
}

fn engine(truncate_percent: u32) -> Engine {
    let engine = Engine::start(EngineOptions::default(), LOOPBACK).unwrap();
    engine.set_mode(EndpointMode {
        truncate_percent: Some(truncate_percent),
        ..EndpointMode::default()
    });
    engine
}

fn endpoints(engines: &[Engine; 2], owner: usize) -> Vec<TestEndpoint> {
    let named = ["engine-1", "engine-2"].into_iter().zip(engines);
    named
        .map(|(name, engine)| TestEndpoint {
            service: MODEL_SERVICE,
            name,
            address: engine.address(),
            owner,
        })
        .collect()
}

#[test]
fn truncated_stream_resumes_at_another_engine() {
    for (name, stream, daemons, owner) in [
        ("stream, own engines", true, 1, 0),
        ("stream, engines of another daemon", true, 2, 1),
        ("not streamed, own engines", false, 1, 0),
        ("not streamed, engines of another daemon", false, 2, 1),
    ] {
        let engines = [engine(TRUNCATE_PERCENT), engine(0)];
        let fleet = TestFleet::start(options(daemons), &endpoints(&engines, owner));
        let caller = Caller::new(CallerOptions::default());
        let target = fleet.target(0, MODEL_SERVICE);
        for chat in 0..8 {
            let chat_name = format!("chat-{chat}");
            let request = chat_request(&format!("file {chat}"), stream);
            let outcome = smol::block_on(caller.chat(&target, &chat_name, None, &request));
            assert!(
                matches!(outcome, Outcome::Completed(_)),
                "{name}, {chat_name}: {outcome:?}"
            );
        }
        assert!(
            engines[0].counters().taken > 0,
            "{name}: nothing was truncated"
        );
    }
}

#[test]
fn stream_that_cannot_resume_is_aborted() {
    for (daemons, owner) in [(1, 0), (2, 1)] {
        let engine = engine(TRUNCATE_PERCENT);
        let endpoints = [TestEndpoint {
            service: MODEL_SERVICE,
            name: "engine-1",
            address: engine.address(),
            owner,
        }];
        let fleet = TestFleet::start(options(daemons), &endpoints);
        let body = r#"{"model": "wakai-8b", "messages": [{"role": "user", "content": "a b"}], "stream": true}"#;
        let request = format!(
            "POST /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
             celeryknot-customer: otaru\r\nceleryknot-chat: a\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = raw::exchange(fleet.callers_address(0), request.as_bytes());
        assert_eq!(raw::status_of(&response), 200, "{response}");
        assert!(
            response.contains("\"code\": \"answer-incomplete\""),
            "{response}"
        );
        assert!(!response.contains("[DONE]"), "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "a clean end: {response}");
    }
}

#[test]
fn failed_request_is_retried_at_another_engine() {
    for (name, daemons, owner) in [("own engines", 1, 0), ("engines of another daemon", 2, 1)] {
        let engines = [engine(0), engine(0)];
        engines[0].set_mode(EndpointMode {
            fail_percent: Some(100),
            ..EndpointMode::default()
        });
        let fleet = TestFleet::start(options(daemons), &endpoints(&engines, owner));
        let caller = Caller::new(CallerOptions::default());
        let target = fleet.target(0, MODEL_SERVICE);
        for chat in 0..8 {
            let chat_name = format!("chat-{chat}");
            let request = chat_request(&format!("file {chat}"), chat % 2 == 0);
            let outcome = smol::block_on(caller.chat(&target, &chat_name, None, &request));
            assert!(
                matches!(outcome, Outcome::Completed(_)),
                "{name}, {chat_name}: {outcome:?}"
            );
        }
    }
}
