//! Time of a placement decision, and memory of the placement.

use std::hint::black_box;
use std::time::Instant;

use celeryknot_core::MonotonicMs;
use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, EndpointName, EndpointSummary};
use celeryknot_policy::placement::{
    ChatAnswer, ContextAware, EndpointHash, Placement, PlacementEndpoint, PlacementRequest,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::options::MeasureOptions;
use crate::report::Report;

const NAME: &str = "decision";
const CHAT_COUNT: u64 = 2_700_000;
const CHATS_HELD_MAX: usize = 65_536;
const CHAT_COUNT_SMALL: u64 = 10_000;
const DECISION_COUNT: u64 = 20_000;
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;
const PAGE_SIZE_BYTES: u64 = 4_096;

#[derive(Debug, Serialize)]
struct Figures {
    us_at_10: f64,
    us_at_100: f64,
    us_at_600: f64,
    us_at_600_many_chats: f64,
    chats_offered: u64,
    chats_held_max: usize,
    memory_mb_many_chats: f64,
}

pub(super) fn measure(options: &MeasureOptions) -> Report {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let resident_before = resident_bytes();
    let mut placement = ContextAware::new(CHATS_HELD_MAX, PREFILL_TOKENS_PER_S);
    let us_at_10 = us_per_decision(&mut placement, 10, CHAT_COUNT_SMALL, &mut rng);
    let us_at_100 = us_per_decision(&mut placement, 100, CHAT_COUNT_SMALL, &mut rng);
    let us_at_600 = us_per_decision(&mut placement, 600, CHAT_COUNT_SMALL, &mut rng);
    for chat in 0..CHAT_COUNT {
        let endpoint = EndpointHash(chat % 600);
        let answer = chat_answer(chat_key(chat), endpoint, 800);
        placement.observe_answer(MonotonicMs(chat / 100), &answer);
    }
    let us_at_600_many_chats = us_per_decision(&mut placement, 600, CHAT_COUNT, &mut rng);
    let resident = resident_bytes().saturating_sub(resident_before);
    let figures = Figures {
        us_at_10,
        us_at_100,
        us_at_600,
        us_at_600_many_chats,
        chats_offered: CHAT_COUNT,
        chats_held_max: CHATS_HELD_MAX,
        memory_mb_many_chats: resident as f64 / f64::from(1 << 20),
    };
    Report::new(NAME, &figures)
        .with_verdict("under 5 µs at 600 endpoints", us_at_600 < 5.0)
        .with_verdict(
            "flat in chats (at most 1.5 times as long)",
            us_at_600_many_chats <= us_at_600 * 1.5,
        )
}

fn chat_key(chat: u64) -> ChatKey {
    ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn us_per_decision(
    placement: &mut ContextAware,
    endpoint_count: usize,
    chats: u64,
    rng: &mut SmallRng,
) -> f64 {
    let endpoints: Vec<PlacementEndpoint> = (0..endpoint_count)
        .map(|index| engine_endpoint(index, rng))
        .collect();
    let mut now = MonotonicMs(0);
    let start = Instant::now();
    for decision in 0..DECISION_COUNT {
        now = now + DurationMs(decision % 2);
        let chat = chat_key(rng.random_range(0..chats));
        let request = PlacementRequest {
            chat: Some(chat),
            prompt_tokens: 1_000,
            ..PlacementRequest::default()
        };
        let ranked = placement.rank(now, &request, &endpoints, rng);
        if let Some(first) = black_box(ranked).first() {
            let endpoint = endpoints[first.index].name_hash;
            placement.observe_answer(now, &chat_answer(chat, endpoint, 1_100));
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISION_COUNT as f64
}

fn engine_endpoint(index: usize, rng: &mut SmallRng) -> PlacementEndpoint {
    let name: EndpointName = format!("engine-{index}")
        .parse()
        .expect("the name is valid");
    let summary = EndpointSummary {
        in_flight: rng.random_range(0..12),
        queued: rng.random_range(0..3),
        in_flight_max: 16,
        wait_ms: DurationMs(rng.random_range(0..40)),
        condition: EndpointCondition::Warm,
    };
    PlacementEndpoint::new(name)
        .with_own_zone(index.is_multiple_of(3))
        .with_summary(Some(summary))
}

/// Returns the resident memory of the process; 0 if the system does not report it.
pub(super) fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE_BYTES
}

fn chat_answer(chat: ChatKey, endpoint: EndpointHash, context_tokens: u32) -> ChatAnswer {
    ChatAnswer {
        chat,
        endpoint,
        context_tokens,
        cached_tokens: None,
    }
}
