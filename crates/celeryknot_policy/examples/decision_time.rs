//! Prints the time per placement with 10, 100 and 600 endpoints, after 2.7 million chats.
//!
//! Run it with `cargo run --release -p celeryknot_policy --example decision_time`.

use std::hint::black_box;
use std::time::Instant;

use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use celeryknot_policy::placement::{
    ChatAnswer, ContextAware, Placement, PlacementEndpoint, PlacementRequest,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const CHATS: u64 = 2_700_000;
const DECISIONS: u32 = 200_000;

fn endpoints(count: u32, rng: &mut SmallRng) -> Vec<PlacementEndpoint> {
    (0..count)
        .map(|number| {
            let name = format!("engine-{number}").parse().expect("a valid name");
            let summary = EndpointSummary {
                in_flight: rng.random_range(0..40),
                queued: rng.random_range(0..3),
                in_flight_max: 40,
                wait_ms: DurationMs(rng.random_range(0..500)),
                condition: EndpointCondition::Warm,
            };
            PlacementEndpoint::new(name).with_summary(Some(summary))
        })
        .collect()
}

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    for count in [10, 100, 600] {
        let endpoints = endpoints(count, &mut rng);
        let mut placement = ContextAware::new(200_000, 8_000.0);
        let size_before_bytes = placement.size_bytes();
        let now = MonotonicMs(1_000_000);
        for chat in 0..CHATS {
            let endpoint = &endpoints[(chat % u64::from(count)) as usize];
            let answer = ChatAnswer {
                chat: ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                endpoint: endpoint.name_hash,
                context_tokens: 2_000,
                cached_tokens: None,
            };
            placement.observe_answer(now, &answer);
        }
        let started = Instant::now();
        for _ in 0..DECISIONS {
            let chat = rng.random_range(0..CHATS);
            let request = PlacementRequest {
                chat: Some(ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
                prompt_tokens: 2_100,
                ..PlacementRequest::default()
            };
            black_box(placement.rank(now, &request, &endpoints, &mut rng));
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
        let grown_bytes = placement.size_bytes() - size_before_bytes;
        println!("{count:4} endpoints: {us:.2} us a decision, grown by {grown_bytes} bytes");
    }
}
