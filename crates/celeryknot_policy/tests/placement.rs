//! Placement in individual cases and as properties of arbitrary endpoint lists.

#![allow(clippy::unwrap_used)]

use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use celeryknot_policy::placement::{
    Candidate, CandidateReason, ChatAnswer, ConsistentHash, ContextAware, LeastLoad, Placement,
    PlacementEndpoint, PlacementRequest, Random, RoundRobin, TwoChoices,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: MonotonicMs = MonotonicMs(1_000_000);
const CHAT: ChatKey = ChatKey(77);
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(3)
}

fn summary(in_flight: u32, wait_ms: u64) -> EndpointSummary {
    EndpointSummary {
        in_flight,
        queued: u32::from(wait_ms > 0),
        in_flight_max: 10,
        wait_ms: DurationMs(wait_ms),
        condition: EndpointCondition::Warm,
    }
}

fn fleet(count: usize) -> Vec<PlacementEndpoint> {
    (0..count)
        .map(|number| {
            PlacementEndpoint::new(format!("engine-{number}").parse().unwrap())
                .with_summary(Some(summary(5, 0)))
        })
        .collect()
}

fn request(prompt_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        chat: Some(CHAT),
        prompt_tokens,
        ..PlacementRequest::default()
    }
}

fn best(
    placement: &mut ContextAware,
    request: &PlacementRequest,
    endpoints: &[PlacementEndpoint],
) -> Candidate {
    placement.rank(NOW, request, endpoints, &mut rng())[0]
}

fn placement_with_context_at(
    endpoints: &[PlacementEndpoint],
    index: usize,
    context_tokens: u32,
) -> ContextAware {
    let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S).with_kv_import(true);
    let answer = ChatAnswer {
        chat: CHAT,
        endpoint: endpoints[index].name_hash,
        context_tokens,
        cached_tokens: None,
    };
    placement.observe_answer(MonotonicMs(NOW.0 - 30_000), &answer);
    placement
}

struct HolderCase {
    name: &'static str,
    wait_ms: u64,
    context_tokens: u32,
    accepts_requests: bool,
    condition: EndpointCondition,
    expected_holder: bool,
    expected_import: bool,
}

#[test]
fn weighs_the_cached_context_against_the_wait_at_its_holder() {
    let case = |name, wait_ms, context_tokens, expected_holder, expected_import| HolderCase {
        name,
        wait_ms,
        context_tokens,
        accepts_requests: true,
        condition: EndpointCondition::Warm,
        expected_holder,
        expected_import,
    };
    let cases = [
        case("no wait", 0, 4_000, true, false),
        case("short wait for a long context", 80, 8_000, true, false),
        case("long wait for a long context", 2_000, 8_000, false, true),
        case("long wait for a short context", 300, 100, false, false),
        HolderCase {
            accepts_requests: false,
            ..case("holder is draining", 0, 8_000, false, true)
        },
        HolderCase {
            condition: EndpointCondition::Unhealthy,
            ..case("holder is unhealthy", 0, 8_000, false, true)
        },
    ];
    for case in cases {
        let mut endpoints = fleet(10);
        let holder_summary = EndpointSummary {
            condition: case.condition,
            ..summary(5, case.wait_ms)
        };
        endpoints[4] = endpoints[4]
            .clone()
            .with_summary(Some(holder_summary))
            .with_accepts_requests(case.accepts_requests);
        let mut placement = placement_with_context_at(&endpoints, 4, case.context_tokens);
        let best = best(&mut placement, &request(case.context_tokens), &endpoints);
        assert_eq!(best.index == 4, case.expected_holder, "{}", case.name);
        let expected = case.expected_import.then_some(4);
        assert_eq!(best.kv_source, expected, "{}", case.name);
    }
}

#[test]
fn affinity_value_selects_the_endpoint_after_all_daemons_are_replaced() {
    let endpoints = fleet(10);
    let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S);
    let request = PlacementRequest {
        affinity: Some("engine-6".parse().unwrap()),
        cached_tokens_hint: 3_000,
        ..request(3_100)
    };
    let best = best(&mut placement, &request, &endpoints);
    assert_eq!((best.index, best.reason), (6, CandidateReason::Affinity));
}

#[test]
fn affinity_value_of_an_unknown_endpoint_keeps_the_usual_candidate() {
    let endpoints = fleet(10);
    let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S);
    let without_affinity = best(&mut placement, &request(3_100), &endpoints);
    let request = PlacementRequest {
        affinity: Some("engine-that-left".parse().unwrap()),
        cached_tokens_hint: u32::MAX,
        ..request(3_100)
    };
    let ranked = placement.rank(NOW, &request, &endpoints, &mut rng());
    assert!(
        ranked
            .iter()
            .any(|candidate| candidate.index == without_affinity.index)
    );
}

#[test]
fn daemons_without_shared_state_choose_the_same_endpoint_for_a_long_chat() {
    let endpoints = fleet(10);
    let choose = |seed| {
        let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S);
        let mut rng = SmallRng::seed_from_u64(seed);
        placement.rank(NOW, &request(4_000), &endpoints, &mut rng)[0].index
    };
    let first = choose(0);
    assert!((1..50).all(|seed| choose(seed) == first));
}

#[test]
fn overflow_goes_to_the_second_endpoint_in_rendezvous_order() {
    let mut endpoints = fleet(10);
    let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S);
    let first = best(&mut placement, &request(4_000), &endpoints).index;
    endpoints[first] = endpoints[first]
        .clone()
        .with_summary(Some(summary(10, 5_000)));
    let next = best(&mut placement, &request(4_000), &endpoints).index;
    let order = ConsistentHash.rank(NOW, &request(4_000), &endpoints, &mut rng());
    assert_eq!([order[0].index, order[1].index], [first, next]);
}

#[test]
fn evicted_context_is_not_a_placement_reason() {
    let endpoints = fleet(10);
    let mut placement = placement_with_context_at(&endpoints, 4, 8_000);
    placement.observe_evicted(CHAT, endpoints[4].name_hash);
    let ranked = placement.rank(NOW, &request(8_000), &endpoints, &mut rng());
    assert!(
        ranked
            .iter()
            .all(|candidate| candidate.reason != CandidateReason::Recent)
    );
}

#[test]
fn short_cache_lifetime_is_learned_from_responses() {
    let endpoints = fleet(10);
    let mut placement = placement_with_context_at(&endpoints, 4, 8_000);
    for number in 0..200 {
        let answer = |cached_tokens| ChatAnswer {
            chat: ChatKey(1_000 + number),
            endpoint: endpoints[1].name_hash,
            context_tokens: 8_000,
            cached_tokens,
        };
        placement.observe_answer(MonotonicMs(NOW.0 - 30_000), &answer(None));
        placement.observe_answer(NOW, &answer(Some(0)));
    }
    let best = best(&mut placement, &request(8_000), &endpoints);
    assert!(best.index != 4 || best.uncached_tokens > 7_000);
}

#[test]
fn chat_tables_stay_bounded() {
    let endpoints = fleet(10);
    let mut placement = ContextAware::new(1_000, PREFILL_TOKENS_PER_S);
    let size = placement.size_bytes();
    for chat in 0..100_000 {
        let answer = ChatAnswer {
            chat: ChatKey(chat),
            endpoint: endpoints[0].name_hash,
            context_tokens: 10,
            cached_tokens: None,
        };
        placement.observe_answer(NOW, &answer);
        placement.observe_stored(NOW, ChatKey(chat), endpoints[0].name_hash, 10);
    }
    assert_eq!(placement.size_bytes(), size);
    assert!(size < 2 * 1_008 * 32);
}

fn endpoint_lists() -> impl Strategy<Value = Vec<PlacementEndpoint>> {
    let condition = prop_oneof![
        Just(EndpointCondition::Warm),
        Just(EndpointCondition::Cold),
        Just(EndpointCondition::Ramping),
        Just(EndpointCondition::Unhealthy),
    ];
    let one = (
        any::<bool>(),
        any::<bool>(),
        proptest::option::of((0..50u32, 0..50u32, 0..50u32, any::<u32>(), condition)),
    );
    proptest::collection::vec(one, 0..30).prop_map(|list| {
        let build = |(number, (accepts, own_zone, state)): (usize, (bool, bool, Option<_>))| {
            let summary = state.map(|(in_flight, queued, in_flight_max, wait_ms, condition)| {
                EndpointSummary {
                    in_flight,
                    queued,
                    in_flight_max,
                    wait_ms: DurationMs(u64::from(wait_ms)),
                    condition,
                }
            });
            PlacementEndpoint::new(format!("engine-{number}").parse().unwrap())
                .with_accepts_requests(accepts)
                .with_own_zone(own_zone)
                .with_summary(summary)
        };
        list.into_iter().enumerate().map(build).collect()
    })
}

fn check_candidates<P: Placement>(
    mut placement: P,
    request: &PlacementRequest,
    endpoints: &[PlacementEndpoint],
) {
    let ranked = placement.rank(NOW, request, endpoints, &mut rng());
    let eligible = |endpoint: &&PlacementEndpoint| {
        endpoint.accepts_requests && !request.excluded.contains(&endpoint.name)
    };
    let eligible_count = endpoints.iter().filter(eligible).count();
    assert_eq!(ranked.is_empty(), eligible_count == 0);
    assert!(ranked.len() <= eligible_count.min(4));
    for (position, candidate) in ranked.iter().enumerate() {
        assert!(
            eligible(&&endpoints[candidate.index]),
            "ineligible candidate"
        );
        assert!(candidate.cost_ms.is_finite());
        let is_duplicate = ranked[..position]
            .iter()
            .any(|other| other.index == candidate.index);
        assert!(!is_duplicate, "duplicate candidate");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn candidates_are_eligible_and_distinct(
        endpoints in endpoint_lists(),
        excluded in proptest::collection::vec(0..30usize, 0..4),
        affinity in proptest::option::of(0..40usize),
        prompt_tokens in any::<u32>(),
        hint in any::<u32>(),
        has_chat in any::<bool>(),
    ) {
        let name = |number: usize| format!("engine-{number}").parse().unwrap();
        let request = PlacementRequest {
            chat: has_chat.then_some(CHAT),
            affinity: affinity.map(name),
            cached_tokens_hint: hint,
            prompt_tokens,
            excluded: excluded.into_iter().map(name).collect(),
        };
        check_candidates(ContextAware::new(100, PREFILL_TOKENS_PER_S), &request, &endpoints);
        check_candidates(Random, &request, &endpoints);
        check_candidates(RoundRobin::default(), &request, &endpoints);
        check_candidates(LeastLoad, &request, &endpoints);
        check_candidates(ConsistentHash, &request, &endpoints);
        check_candidates(TwoChoices, &request, &endpoints);
    }
}

#[test]
fn rendezvous_order_is_even_and_moves_only_chats_of_a_removed_endpoint() {
    let endpoints = fleet(10);
    let mut firsts = [0u32; 10];
    let mut pairs = [[0u32; 10]; 10];
    let smaller = &endpoints[..9];
    for chat in 0..20_000 {
        let request = PlacementRequest {
            chat: Some(ChatKey(chat)),
            ..PlacementRequest::default()
        };
        let order = ConsistentHash.rank(NOW, &request, &endpoints, &mut rng());
        firsts[order[0].index] += 1;
        pairs[order[0].index][order[1].index] += 1;
        let without_last = ConsistentHash.rank(NOW, &request, smaller, &mut rng())[0].index;
        let expected = order
            .iter()
            .find(|candidate| candidate.index != 9)
            .unwrap()
            .index;
        assert_eq!(
            without_last, expected,
            "chat {chat} moved although its endpoint remains"
        );
    }
    assert!(
        firsts.iter().all(|count| (1_800..2_200).contains(count)),
        "{firsts:?}"
    );
    for (first, seconds) in pairs.iter().enumerate() {
        for (second, count) in seconds
            .iter()
            .enumerate()
            .filter(|(second, _)| *second != first)
        {
            assert!((130..320).contains(count), "{first} then {second}: {count}");
        }
    }
}
