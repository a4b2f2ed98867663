//! Chats and bookings through complete daemons, with a stand-in platform and endpoints.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod live;

use celeryknot_standins::executor::spawn;
use celeryknot_standins::text::Message;
use celeryknot_standins::wire::{BookingRequest, ChatRequest};
use celeryknot_standins::{Caller, CallerOptions, Outcome};
use live::{LiveFleet, MODEL_SERVICE, PLAIN_SERVICE};

const DAEMON_COUNT: usize = 3;
const CHAT_COUNT: usize = 6;
const BOOKING_COUNT: usize = 60;

#[test]
fn chats_and_bookings_complete_through_any_daemon() {
    let fleet = LiveFleet::start(DAEMON_COUNT, 3, 2);
    smol::block_on(async {
        let caller = Caller::new(CallerOptions::default());
        for chat in 0..CHAT_COUNT {
            let mut affinity = None;
            for turn in 0..3 {
                let target = fleet.target((chat + turn) % DAEMON_COUNT, MODEL_SERVICE);
                let request = chat_request(chat, turn);
                let name = format!("chat-{chat}");
                let outcome = caller
                    .chat(&target, &name, affinity.as_deref(), &request)
                    .await;
                let Outcome::Completed(completed) = outcome else {
                    panic!("chat {chat}, turn {turn}: {outcome:?}");
                };
                affinity = completed.affinity;
            }
        }
        for index in 0..DAEMON_COUNT {
            let booking = BookingRequest {
                slot: format!("slot-{index}"),
                party: "household".to_owned(),
            };
            let targets: Vec<_> = (0..DAEMON_COUNT)
                .map(|step| fleet.target((index + step) % DAEMON_COUNT, PLAIN_SERVICE))
                .collect();
            let outcome = caller.book(&targets, PLAIN_SERVICE, &booking).await;
            assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
        }
    });
    let bookings: usize = fleet
        .services
        .iter()
        .map(|service| service.counters().bookings.len())
        .sum();
    assert_eq!(bookings, DAEMON_COUNT);
}

#[test]
fn concurrent_bookings_refused_by_busy_owners_are_retried_elsewhere() {
    let fleet = LiveFleet::start(DAEMON_COUNT, 1, 2);
    let caller = Caller::new(CallerOptions::default());
    let bookings: Vec<_> = (0..BOOKING_COUNT)
        .map(|index| {
            let targets: Vec<_> = (0..DAEMON_COUNT)
                .map(|step| fleet.target((index + step) % DAEMON_COUNT, PLAIN_SERVICE))
                .collect();
            let caller = caller.clone();
            spawn(async move {
                let booking = BookingRequest {
                    slot: format!("slot-{index}"),
                    party: "household".to_owned(),
                };
                caller.book(&targets, PLAIN_SERVICE, &booking).await
            })
        })
        .collect();
    for booking in bookings {
        let outcome = smol::block_on(booking);
        assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
    }
    let bookings: usize = fleet
        .services
        .iter()
        .map(|service| service.counters().bookings.len())
        .sum();
    assert_eq!(bookings, BOOKING_COUNT);
}

fn chat_request(chat: usize, turn: usize) -> ChatRequest {
    let messages = (0..=turn)
        .map(|step| Message {
            role: "user".to_owned(),
            content: format!("complaint {chat} part {step}"),
        })
        .collect();
    ChatRequest {
        model: "wakai-8b".to_owned(),
        messages,
        stream: true,
        max_tokens: Some(12),
    }
}
