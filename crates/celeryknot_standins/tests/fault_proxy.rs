//! Tests of the fault proxy in front of an engine.

mod common;

use std::time::Duration;

use celeryknot_core::RequestId;
use celeryknot_standins::{Engine, EngineOptions, Fault, FaultPlan, FaultProxy, LOOPBACK, Outcome};
use futures_lite::FutureExt;
use http::StatusCode;
use http_body_util::BodyExt;

use common::{TestCaller, chat_request, completed, post, send_chat, wait_until};

/// Time after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(500);

fn start_engine_behind_proxy() -> (Engine, FaultProxy) {
    let options = EngineOptions::default()
        .decode_base_ms(5.0)
        .decode_per_request_ms(0.0);
    let engine = Engine::start(options, LOOPBACK).expect("a port is free");
    let proxy = FaultProxy::start_on_loopback(engine.address()).expect("a port is free");
    (engine, proxy)
}

#[test]
fn calls_survive_delays_but_not_truncation_or_black_holes() {
    struct Case {
        name: &'static str,
        fault: Fault,
        is_completed: bool,
    }
    let cases = [
        Case {
            name: "delay",
            fault: Fault::Delay { ms: 10 },
            is_completed: true,
        },
        Case {
            name: "split",
            fault: Fault::Split { segment_bytes: 3 },
            is_completed: true,
        },
        Case {
            name: "reorder",
            fault: Fault::Reorder { ms: 20 },
            is_completed: true,
        },
        Case {
            name: "truncate",
            fault: Fault::Truncate { after_bytes: 700 },
            is_completed: false,
        },
        Case {
            name: "black hole",
            fault: Fault::BlackHole,
            is_completed: false,
        },
        Case {
            name: "silent drop spares new connections",
            fault: Fault::SilentDrop,
            is_completed: true,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let (_engine, proxy) = start_engine_behind_proxy();
            proxy.apply(case.fault);
            let caller = TestCaller::with_timeout(proxy.address(), Duration::from_secs(3));
            let outcome = caller.chat("1", &chat_request(5, 0)).await;
            let is_completed = matches!(outcome, Outcome::Completed(_));
            assert_eq!(
                is_completed, case.is_completed,
                "{}: {outcome:?}",
                case.name
            );
        });
    }
}

#[test]
fn silent_drop_silences_open_connections_without_closing_them() {
    smol::block_on(async {
        let (engine, proxy) = start_engine_behind_proxy();
        let unread = send_chat(proxy.address(), &chat_request(5, 0), RequestId(1), None).await;
        proxy.apply(Fault::SilentDrop);
        let (answer, _, _sender) = unread.into_parts();
        let read_to_end = async { Some(answer.into_body().collect().await.is_ok()) };
        let timeout = async {
            smol::Timer::after(SILENCE).await;
            None
        };
        assert_eq!(
            read_to_end.or(timeout).await,
            None,
            "the connection was closed"
        );
        wait_until(|| engine.in_flight() == 0).await;
        completed(
            TestCaller::with(proxy.address())
                .chat("2", &chat_request(5, 0))
                .await,
        );
    });
}

#[test]
fn reset_aborts_open_connections() {
    smol::block_on(async {
        let (_engine, proxy) = start_engine_behind_proxy();
        let unread = send_chat(proxy.address(), &chat_request(5, 0), RequestId(1), None).await;
        proxy.apply(Fault::Reset);
        let (answer, _, _sender) = unread.into_parts();
        assert!(answer.into_body().collect().await.is_err());
    });
}

#[test]
fn fault_plan_is_accepted_over_http() {
    smol::block_on(async {
        let (_engine, proxy) = start_engine_behind_proxy();
        let plan = r#"{"steps": [{"at_ms": 0, "fault": "black-hole"}]}"#;
        let plan: FaultPlan = serde_json::from_str(plan).unwrap();
        let (status, _) = post(proxy.control_address(), "/stand-in/faults", &plan).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        let caller = TestCaller::with_timeout(proxy.address(), SILENCE);
        let outcome = caller.chat("1", &chat_request(5, 0)).await;
        assert!(matches!(outcome, Outcome::Lost(_)), "{outcome:?}");
    });
}
