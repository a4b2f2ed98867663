//! Tests of the engine stand-in over HTTP.

mod common;

use std::time::Duration;

use celeryknot_core::{DurationMs, RequestId};
use celeryknot_standins::client::fetch_json;
use celeryknot_standins::wire::{
    CacheEvent, CacheEventKind, CacheEvents, EndpointMode, FencedOrder, KvExport, Order,
};
use celeryknot_standins::{EndpointCounters, Engine, EngineOptions, LOOPBACK, Outcome};
use http::{Method, StatusCode};

use common::{TIMEOUT, TestCaller, chat_request, completed, post, send_chat, wait_until};

fn quick_options() -> EngineOptions {
    EngineOptions::default()
        .decode_base_ms(1.0)
        .decode_per_request_ms(0.1)
        .event_lag_ms(DurationMs(0))
        .event_loss_percent(0)
}

#[test]
fn later_request_of_a_chat_reuses_its_cached_prefix() {
    struct Case {
        name: &'static str,
        chat: &'static str,
        kv_tokens_max: usize,
        is_cached: bool,
    }
    let cases = [
        Case {
            name: "same chat",
            chat: "0000000000000001",
            kv_tokens_max: 10_000,
            is_cached: true,
        },
        Case {
            name: "another chat",
            chat: "0000000000000002",
            kv_tokens_max: 10_000,
            is_cached: false,
        },
        Case {
            name: "cache too small",
            chat: "0000000000000001",
            kv_tokens_max: 100,
            is_cached: false,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let options = quick_options().kv_tokens_max(case.kv_tokens_max);
            let engine = Engine::start(options, LOOPBACK).unwrap();
            let caller = TestCaller::with(engine.address());
            let first = chat_request(200, 0);
            completed(caller.chat("0000000000000001", &first).await);
            let second = chat_request(200, 1);
            let usage = completed(caller.chat(case.chat, &second).await).usage;
            let expected = if case.is_cached {
                common::count_tokens_with_answer(&first)
            } else {
                0
            };
            assert_eq!(usage.cached_tokens, expected, "{}", case.name);
            assert_eq!(
                engine.counters().cached_tokens,
                u64::from(expected),
                "{}",
                case.name
            );
        });
    }
}

#[test]
fn least_recently_used_chat_is_evicted() {
    smol::block_on(async {
        let engine = Engine::start(quick_options().kv_tokens_max(700), LOOPBACK).unwrap();
        let caller = TestCaller::with(engine.address());
        let request = chat_request(200, 0);
        for chat in [1, 2, 1, 3, 4] {
            completed(caller.chat(&format!("{chat:016x}"), &request).await);
        }
        let path = "/v1/cache-events?after=0&wait_ms=1000";
        let log: CacheEvents = fetch_json(engine.address(), path, TIMEOUT).await.unwrap();
        let evicted: Vec<&CacheEvent> = log
            .events
            .iter()
            .filter(|event| event.kind == CacheEventKind::Evicted)
            .collect();
        let chats: Vec<&str> = evicted.iter().map(|event| event.chat.as_str()).collect();
        assert_eq!(chats, ["0000000000000002", "0000000000000001"]);
    });
}

#[test]
fn dropped_cache_events_leave_gaps() {
    smol::block_on(async {
        let engine = Engine::start(quick_options().event_loss_percent(50), LOOPBACK).unwrap();
        let caller = TestCaller::with(engine.address());
        for chat in 1..=20 {
            completed(
                caller
                    .chat(&format!("{chat:016x}"), &chat_request(5, 0))
                    .await,
            );
        }
        let path = "/v1/cache-events?after=0";
        let log: CacheEvents = fetch_json(engine.address(), path, TIMEOUT).await.unwrap();
        assert!((1..20).contains(&log.events.len()), "{}", log.events.len());
        assert!(
            log.events
                .iter()
                .any(|event| event.seq > log.events.len() as u64)
        );
    });
}

#[test]
fn urgent_request_overtakes_queued_request() {
    smol::block_on(async {
        let options = quick_options().batch_max(1).decode_base_ms(4.0);
        let engine = Engine::start(options, LOOPBACK).unwrap();
        let caller = TestCaller::with(engine.address());
        let request = chat_request(10, 0);
        let running = smol::spawn(caller.clone().into_chat("1", request.clone()));
        wait_until(|| engine.in_flight() == 1).await;
        let ordinary = smol::spawn(caller.clone().into_chat("2", request.clone()));
        wait_until(|| engine.in_flight() == 2).await;
        let urgent = caller.with_urgency(0).into_chat("3", request);
        completed(urgent.await);
        assert!(
            !ordinary.is_finished(),
            "the urgent request did not overtake the ordinary one"
        );
        completed(running.await);
        completed(ordinary.await);
    });
}

#[test]
fn outdated_orders_are_refused_unless_the_engine_ignores_fencing() {
    struct Case {
        name: &'static str,
        refuses_old_orders: bool,
        fencings: [u64; 3],
        statuses: [StatusCode; 3],
    }
    const ACCEPTED: StatusCode = StatusCode::ACCEPTED;
    const OUTDATED: StatusCode = StatusCode::CONFLICT;
    let cases = [
        Case {
            name: "refuses outdated orders",
            refuses_old_orders: true,
            fencings: [5, 4, 5],
            statuses: [ACCEPTED, OUTDATED, ACCEPTED],
        },
        Case {
            name: "ignores fencing tokens",
            refuses_old_orders: false,
            fencings: [5, 4, 6],
            statuses: [ACCEPTED, ACCEPTED, ACCEPTED],
        },
    ];
    for case in cases {
        smol::block_on(async {
            let options = quick_options().refuses_old_orders(case.refuses_old_orders);
            let engine = Engine::start(options, LOOPBACK).unwrap();
            let mut accepted = 0;
            for (fencing, expected) in case.fencings.into_iter().zip(case.statuses) {
                let order = FencedOrder {
                    fencing,
                    order: Order::SetRole {
                        role: format!("role-{fencing}"),
                    },
                };
                let (status, _) = post(engine.address(), "/v1/orders", &order).await;
                assert_eq!(status, expected, "{}", case.name);
                accepted += usize::from(status == ACCEPTED);
            }
            assert_eq!(engine.counters().orders.len(), accepted, "{}", case.name);
        });
    }
}

#[test]
fn engine_is_cold_until_the_ordered_model_is_loaded() {
    smol::block_on(async {
        let engine = Engine::start(quick_options(), LOOPBACK).unwrap();
        let order = FencedOrder {
            fencing: 1,
            order: Order::LoadModel {
                model: "wakai-8b".to_owned(),
                version: "2".to_owned(),
                adapter: None,
            },
        };
        post(engine.address(), "/v1/orders", &order).await;
        assert!(engine.load().cold);
        wait_until(|| !engine.load().cold).await;
        assert_eq!(engine.load().version.as_deref(), Some("2"));
    });
}

#[test]
fn cancellation_and_disconnect_end_the_request() {
    struct Case {
        name: &'static str,
        is_cancelled_by_call: bool,
    }
    let cases = [
        Case {
            name: "cancel call",
            is_cancelled_by_call: true,
        },
        Case {
            name: "disconnect",
            is_cancelled_by_call: false,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let engine = Engine::start(quick_options().decode_base_ms(200.0), LOOPBACK).unwrap();
            let id = RequestId(7);
            let unread = send_chat(engine.address(), &chat_request(5, 0), id, None).await;
            wait_until(|| engine.in_flight() == 1).await;
            if case.is_cancelled_by_call {
                let path = format!("/v1/streams/{id}/cancel");
                let (status, _) = post(engine.address(), &path, &()).await;
                assert_eq!(status, StatusCode::NO_CONTENT, "{}", case.name);
            } else {
                drop(unread);
            }
            wait_until(|| engine.in_flight() == 0).await;
            assert_eq!(engine.counters().cancelled, 1, "{}", case.name);
        });
    }
}

#[test]
fn resumed_stream_continues_with_the_same_tokens() {
    smol::block_on(async {
        let engine = Engine::start(quick_options(), LOOPBACK).unwrap();
        let other = Engine::start(quick_options(), LOOPBACK).unwrap();
        let request = chat_request(20, 0);
        let full = send_chat(engine.address(), &request, RequestId(1), None).await;
        let resumed = send_chat(other.address(), &request, RequestId(1), Some(5)).await;
        let (full, resumed) = (common::words(full).await, common::words(resumed).await);
        assert_eq!(full[5..], resumed[..]);
    });
}

#[test]
fn exported_kv_cache_is_reused_by_another_engine() {
    smol::block_on(async {
        let exporter = Engine::start(quick_options(), LOOPBACK).unwrap();
        let importer = Engine::start(quick_options(), LOOPBACK).unwrap();
        let chat = "00000000000000aa";
        let first = chat_request(50, 0);
        completed(
            TestCaller::with(exporter.address())
                .chat(chat, &first)
                .await,
        );
        let path = format!("/v1/kv/{chat}");
        let kv: KvExport = fetch_json(exporter.address(), &path, TIMEOUT)
            .await
            .unwrap();
        let body = serde_json::to_vec(&kv).unwrap();
        let (status, _) = celeryknot_standins::client::call(
            importer.address(),
            Method::PUT,
            &path,
            body,
            TIMEOUT,
        )
        .await
        .unwrap();
        assert_eq!(status, StatusCode::NO_CONTENT);
        let caller = TestCaller::with(importer.address());
        let usage = completed(caller.chat(chat, &chat_request(50, 1)).await).usage;
        assert_eq!(usage.cached_tokens, kv.tokens);
    });
}

#[test]
fn cold_engine_refuses_and_counts_overload() {
    smol::block_on(async {
        let options = quick_options().cold_bound(2).decode_base_ms(20.0);
        let engine = Engine::start(options, LOOPBACK).unwrap();
        engine.set_mode(EndpointMode {
            cold: Some(true),
            ..EndpointMode::default()
        });
        let caller = TestCaller::with(engine.address());
        let mut tasks = Vec::new();
        for chat in 0..4 {
            let chat = format!("{chat:016x}");
            tasks.push(smol::spawn(
                caller.clone().into_chat(&chat, chat_request(5, 0)),
            ));
        }
        wait_until(|| engine.in_flight() == 4).await;
        // Refusals also report the load and echo the request id, which `send_chat` checks.
        let refused = send_chat(engine.address(), &chat_request(5, 0), RequestId(9), None).await;
        assert_eq!(refused.answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        let load = &refused.answer.headers()[celeryknot_core::header::LOAD];
        let load = load.to_str().unwrap();
        assert!(load.starts_with("in_flight=4;"), "{load}");
        assert!(load.ends_with(";cold=1;bound=2"), "{load}");
        let counters: EndpointCounters = fetch_json(engine.address(), "/stand-in/seen", TIMEOUT)
            .await
            .unwrap();
        assert_eq!((counters.peak_in_flight_cold, counters.overwhelmed), (4, 1));
    });
}

#[test]
fn caller_detects_engine_faults() {
    struct Case {
        name: &'static str,
        mode: EndpointMode,
        is_expected: fn(&Outcome<celeryknot_standins::caller::Completed>) -> bool,
    }
    let no_faults = EndpointMode::default();
    let cases = [
        Case {
            name: "failing",
            mode: EndpointMode {
                fail_percent: Some(100),
                ..no_faults
            },
            is_expected: |outcome| matches!(outcome, Outcome::Refused(r) if r.status == 500),
        },
        Case {
            name: "truncating",
            mode: EndpointMode {
                truncate_percent: Some(100),
                ..no_faults
            },
            is_expected: |outcome| matches!(outcome, Outcome::Aborted),
        },
        Case {
            name: "cross-delivering",
            mode: EndpointMode {
                cross_percent: Some(100),
                ..no_faults
            },
            is_expected: |outcome| matches!(outcome, Outcome::CrossDelivered),
        },
        Case {
            name: "silent",
            mode: EndpointMode {
                silent: Some(true),
                ..no_faults
            },
            is_expected: |outcome| matches!(outcome, Outcome::Lost(_)),
        },
    ];
    for case in cases {
        smol::block_on(async {
            let engine = Engine::start(quick_options(), LOOPBACK).unwrap();
            engine.set_mode(case.mode);
            // Only the silent engine runs into the timeout, so only it gets a short one.
            let timeout = match case.mode.silent {
                Some(true) => Duration::from_millis(500),
                Some(false) | None => TIMEOUT,
            };
            let caller = TestCaller::with_timeout(engine.address(), timeout);
            let outcome = caller.chat("1", &chat_request(5, 0)).await;
            assert!((case.is_expected)(&outcome), "{}: {outcome:?}", case.name);
        });
    }
}
