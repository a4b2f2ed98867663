//! Tests of the engine's stand-in over HTTP.

mod common;

use std::time::Duration;

use celeryknot_core::{DurationMs, RequestId};
use celeryknot_standins::client::fetch_json;
use celeryknot_standins::wire::{
    CacheEvent, CacheEventKind, CacheEvents, EndpointMode, FencedOrder, KvExport, Order,
};
use celeryknot_standins::{Engine, EngineOptions, LOOPBACK, Outcome, Seen};
use http::{Method, StatusCode};

use common::{Exchange, TIMEOUT, chat_request, completed, post, raw_chat, wait_until};

fn quick() -> EngineOptions {
    EngineOptions::default()
        .decode_base_ms(1.0)
        .decode_per_request_ms(0.1)
        .event_lag_ms(DurationMs(0))
        .event_loss_percent(0)
}

#[test]
fn returning_chat_finds_its_prefix() {
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
            let options = quick().kv_tokens_max(case.kv_tokens_max);
            let engine = Engine::start(options, LOOPBACK).unwrap();
            let exchange = Exchange::with(engine.address());
            let first = chat_request(200, 0);
            completed(exchange.chat("0000000000000001", &first).await);
            let second = chat_request(200, 1);
            let usage = completed(exchange.chat(case.chat, &second).await).usage;
            let expected = if case.is_cached {
                common::answered_tokens(&first)
            } else {
                0
            };
            assert_eq!(usage.cached_tokens, expected, "{}", case.name);
            assert_eq!(
                engine.seen().cached_tokens,
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
        let engine = Engine::start(quick().kv_tokens_max(700), LOOPBACK).unwrap();
        let exchange = Exchange::with(engine.address());
        let request = chat_request(200, 0);
        for chat in [1, 2, 1, 3, 4] {
            completed(exchange.chat(&format!("{chat:016x}"), &request).await);
        }
        let path = "/v1/cache-events?after=0&wait_ms=1000";
        let seen: CacheEvents = fetch_json(engine.address(), path, TIMEOUT).await.unwrap();
        let evicted: Vec<&CacheEvent> = seen
            .events
            .iter()
            .filter(|event| event.kind == CacheEventKind::Evicted)
            .collect();
        let chats: Vec<&str> = evicted.iter().map(|event| event.chat.as_str()).collect();
        assert_eq!(chats, ["0000000000000002", "0000000000000001"]);
    });
}

#[test]
fn cache_events_have_gaps() {
    smol::block_on(async {
        let engine = Engine::start(quick().event_loss_percent(50), LOOPBACK).unwrap();
        let exchange = Exchange::with(engine.address());
        for chat in 1..=20 {
            completed(
                exchange
                    .chat(&format!("{chat:016x}"), &chat_request(5, 0))
                    .await,
            );
        }
        let path = "/v1/cache-events?after=0";
        let seen: CacheEvents = fetch_json(engine.address(), path, TIMEOUT).await.unwrap();
        assert!(
            (1..20).contains(&seen.events.len()),
            "{}",
            seen.events.len()
        );
        assert!(
            seen.events
                .iter()
                .any(|event| event.seq > seen.events.len() as u64)
        );
    });
}

#[test]
fn urgent_request_goes_first() {
    smol::block_on(async {
        let options = quick().batch_max(1).decode_base_ms(4.0);
        let engine = Engine::start(options, LOOPBACK).unwrap();
        let exchange = Exchange::with(engine.address());
        let request = chat_request(10, 0);
        let running = smol::spawn(exchange.clone().into_chat("1", request.clone()));
        wait_until(|| engine.in_flight() == 1).await;
        let ordinary = smol::spawn(exchange.clone().into_chat("2", request.clone()));
        wait_until(|| engine.in_flight() == 2).await;
        let urgent = exchange.with_urgency(0).into_chat("3", request);
        completed(urgent.await);
        assert!(!ordinary.is_finished(), "the urgent request came last");
        completed(running.await);
        completed(ordinary.await);
    });
}

#[test]
fn orders_are_fenced() {
    struct Case {
        name: &'static str,
        refuses: bool,
        fencings: [u64; 3],
        statuses: [StatusCode; 3],
    }
    const TAKEN: StatusCode = StatusCode::ACCEPTED;
    const OLD: StatusCode = StatusCode::CONFLICT;
    let cases = [
        Case {
            name: "refuses old",
            refuses: true,
            fencings: [5, 4, 5],
            statuses: [TAKEN, OLD, TAKEN],
        },
        Case {
            name: "ignores the number",
            refuses: false,
            fencings: [5, 4, 6],
            statuses: [TAKEN, TAKEN, TAKEN],
        },
    ];
    for case in cases {
        smol::block_on(async {
            let options = quick().refuses_old_orders(case.refuses);
            let engine = Engine::start(options, LOOPBACK).unwrap();
            let mut taken = 0;
            for (fencing, expected) in case.fencings.into_iter().zip(case.statuses) {
                let order = FencedOrder {
                    fencing,
                    order: Order::SetRole {
                        role: format!("role-{fencing}"),
                    },
                };
                let (status, _) = post(engine.address(), "/v1/orders", &order).await;
                assert_eq!(status, expected, "{}", case.name);
                taken += usize::from(status == TAKEN);
            }
            assert_eq!(engine.seen().orders.len(), taken, "{}", case.name);
        });
    }
}

#[test]
fn loaded_model_is_served_after_the_load() {
    smol::block_on(async {
        let engine = Engine::start(quick(), LOOPBACK).unwrap();
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
fn cancel_and_disconnect_free_the_slot() {
    struct Case {
        name: &'static str,
        cancels_by_call: bool,
    }
    let cases = [
        Case {
            name: "call",
            cancels_by_call: true,
        },
        Case {
            name: "disconnect",
            cancels_by_call: false,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let engine = Engine::start(quick().decode_base_ms(200.0), LOOPBACK).unwrap();
            let id = RequestId(7);
            let unread = raw_chat(engine.address(), &chat_request(5, 0), id, None).await;
            wait_until(|| engine.in_flight() == 1).await;
            if case.cancels_by_call {
                let path = format!("/v1/streams/{id}/cancel");
                let (status, _) = post(engine.address(), &path, &()).await;
                assert_eq!(status, StatusCode::NO_CONTENT, "{}", case.name);
            } else {
                drop(unread);
            }
            wait_until(|| engine.in_flight() == 0).await;
            assert_eq!(engine.seen().cancelled, 1, "{}", case.name);
        });
    }
}

#[test]
fn resumed_stream_gives_the_same_tokens() {
    smol::block_on(async {
        let engine = Engine::start(quick(), LOOPBACK).unwrap();
        let other = Engine::start(quick(), LOOPBACK).unwrap();
        let request = chat_request(20, 0);
        let whole = raw_chat(engine.address(), &request, RequestId(1), None).await;
        let resumed = raw_chat(other.address(), &request, RequestId(1), Some(5)).await;
        let (whole, resumed) = (common::words(whole).await, common::words(resumed).await);
        assert_eq!(whole[5..], resumed[..]);
    });
}

#[test]
fn exported_kv_helps_another_engine() {
    smol::block_on(async {
        let from = Engine::start(quick(), LOOPBACK).unwrap();
        let to = Engine::start(quick(), LOOPBACK).unwrap();
        let chat = "00000000000000aa";
        let first = chat_request(50, 0);
        completed(Exchange::with(from.address()).chat(chat, &first).await);
        let path = format!("/v1/kv/{chat}");
        let kv: KvExport = fetch_json(from.address(), &path, TIMEOUT).await.unwrap();
        let body = serde_json::to_vec(&kv).unwrap();
        let (status, _) =
            celeryknot_standins::client::call(to.address(), Method::PUT, &path, body, TIMEOUT)
                .await
                .unwrap();
        assert_eq!(status, StatusCode::NO_CONTENT);
        let exchange = Exchange::with(to.address());
        let usage = completed(exchange.chat(chat, &chat_request(50, 1)).await).usage;
        assert_eq!(usage.cached_tokens, kv.tokens);
    });
}

#[test]
fn cold_engine_counts_work_above_its_bound() {
    smol::block_on(async {
        let options = quick().cold_bound(2).decode_base_ms(20.0);
        let engine = Engine::start(options, LOOPBACK).unwrap();
        engine.set_mode(EndpointMode {
            cold: Some(true),
            ..EndpointMode::default()
        });
        let exchange = Exchange::with(engine.address());
        let mut tasks = Vec::new();
        for chat in 0..4 {
            let chat = format!("{chat:016x}");
            tasks.push(smol::spawn(
                exchange.clone().into_chat(&chat, chat_request(5, 0)),
            ));
        }
        wait_until(|| engine.in_flight() == 4).await;
        // Refusals too tell the load and echo the request id, which `raw_chat` checks.
        let refused = raw_chat(engine.address(), &chat_request(5, 0), RequestId(9), None).await;
        assert_eq!(refused.answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        let load = &refused.answer.headers()[celeryknot_core::header::LOAD];
        let load = load.to_str().unwrap();
        assert!(load.starts_with("in_flight=4;"), "{load}");
        assert!(load.ends_with(";cold=1;bound=2"), "{load}");
        let seen: Seen = fetch_json(engine.address(), "/stand-in/seen", TIMEOUT)
            .await
            .unwrap();
        assert_eq!((seen.peak_in_flight_cold, seen.overwhelmed), (4, 1));
    });
}

#[test]
fn sick_engine_is_caught_by_the_caller() {
    struct Case {
        name: &'static str,
        mode: EndpointMode,
        is_expected: fn(&Outcome<celeryknot_standins::caller::Completed>) -> bool,
    }
    let calm = EndpointMode::default();
    let cases = [
        Case {
            name: "failing",
            mode: EndpointMode {
                fail_percent: Some(100),
                ..calm
            },
            is_expected: |outcome| matches!(outcome, Outcome::Refused(r) if r.status == 500),
        },
        Case {
            name: "truncating",
            mode: EndpointMode {
                truncate_percent: Some(100),
                ..calm
            },
            is_expected: |outcome| matches!(outcome, Outcome::Aborted),
        },
        Case {
            name: "crossing",
            mode: EndpointMode {
                cross_percent: Some(100),
                ..calm
            },
            is_expected: |outcome| matches!(outcome, Outcome::CrossDelivered),
        },
        Case {
            name: "silent",
            mode: EndpointMode {
                silent: Some(true),
                ..calm
            },
            is_expected: |outcome| matches!(outcome, Outcome::Lost(_)),
        },
    ];
    for case in cases {
        smol::block_on(async {
            let engine = Engine::start(quick(), LOOPBACK).unwrap();
            engine.set_mode(case.mode);
            // Only the silent engine needs the short time; the others answer.
            let timeout = match case.mode.silent {
                Some(true) => Duration::from_millis(500),
                Some(false) | None => TIMEOUT,
            };
            let exchange = Exchange::with_timeout(engine.address(), timeout);
            let outcome = exchange.chat("1", &chat_request(5, 0)).await;
            assert!((case.is_expected)(&outcome), "{}: {outcome:?}", case.name);
        });
    }
}
