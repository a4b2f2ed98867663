//! Which requests a daemon accepts during its shutdown, and how their length is estimated.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use celeryknot_core::{DurationMs, MonotonicMs, TokenCount};
use celeryknot_policy::direct::{
    AnswerTime, AnswerTimes, LongestAnswer, ShutdownAdmission, ShutdownPhase,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn request_is_accepted_only_if_its_time_limit_or_its_expected_length_fits() {
    struct Case {
        name: &'static str,
        phase: ShutdownPhase,
        time_left_ms: u64,
        time_limit_ms: u64,
        /// Number of answers and the longest one.
        longest: Option<(u32, u64)>,
        is_accepted: bool,
    }
    use ShutdownPhase::{Announced, Announcing};
    let case = |name, phase, time_left_ms, time_limit_ms, longest, is_accepted| Case {
        name,
        phase,
        time_left_ms,
        time_limit_ms,
        longest,
        is_accepted,
    };
    let cases = [
        case("limit fits", Announced, 5_000, 4_000, None, true),
        case("limit just fits", Announced, 5_000, 5_000, None, true),
        case("limit too long", Announced, 5_000, 5_001, None, false),
        case(
            "limit too long, early",
            Announcing,
            5_000,
            5_001,
            None,
            false,
        ),
        case(
            "limit fits, length not",
            Announced,
            800,
            700,
            Some((9, 60_000)),
            true,
        ),
        case("length fits", Announced, 800, 5_000, Some((50, 300)), true),
        case(
            "length fits only without a margin",
            Announced,
            800,
            5_000,
            Some((50, 799)),
            false,
        ),
        case("and early", Announcing, 800, 5_000, Some((50, 799)), true),
        case(
            "length just fits",
            Announcing,
            800,
            5_000,
            Some((50, 800)),
            true,
        ),
        case(
            "length too long, early",
            Announcing,
            800,
            5_000,
            Some((50, 801)),
            false,
        ),
        case(
            "length of too few answers",
            Announced,
            800,
            5_000,
            Some((1, 5)),
            false,
        ),
        case(
            "length of few answers, early",
            Announcing,
            800,
            5_000,
            Some((1, 5)),
            true,
        ),
        case("no time left", Announced, 0, 5_000, Some((50, 1)), false),
        case("no time left, none needed", Announced, 0, 0, None, true),
    ];
    for case in &cases {
        let request = ShutdownAdmission {
            phase: case.phase,
            time_left_ms: DurationMs(case.time_left_ms),
            time_limit_ms: DurationMs(case.time_limit_ms),
            longest: case.longest.map(|(answers, longest_ms)| LongestAnswer {
                answers,
                longest_ms: DurationMs(longest_ms),
            }),
        };
        assert_eq!(request.is_accepted(), case.is_accepted, "{}", case.name);
    }
}

fn answer(head_ms: u64, total_ms: u64, tokens: Option<u32>) -> AnswerTime {
    AnswerTime {
        head_ms: DurationMs(head_ms),
        total_ms: DurationMs(total_ms),
        output_tokens_max: tokens.map(TokenCount),
    }
}

#[test]
fn length_is_estimated_from_enough_recent_answers_of_the_kind() {
    struct Case {
        name: &'static str,
        answers: Vec<(u64, AnswerTime)>,
        at_ms: u64,
        tokens: Option<u32>,
        /// Shortest and longest estimate that is right.
        expected_ms: Option<(u64, u64)>,
    }
    let many = |at_ms, time: AnswerTime| vec![(at_ms, time); 20];
    let streams = || many(0, answer(100, 1_100, Some(100)));
    let plain = || many(0, answer(60, 60, None));
    let with = |mut answers: Vec<_>, at_ms, time| {
        answers.push((at_ms, time));
        answers
    };
    let cases = [
        Case {
            name: "no answers",
            answers: vec![],
            at_ms: 0,
            tokens: None,
            expected_ms: None,
        },
        Case {
            name: "too few answers",
            answers: vec![(0, answer(60, 60, None)); 3],
            at_ms: 0,
            tokens: None,
            expected_ms: None,
        },
        Case {
            name: "plain answers",
            answers: plain(),
            at_ms: 0,
            tokens: None,
            expected_ms: Some((60, 180)),
        },
        Case {
            name: "one long answer decides",
            answers: with(plain(), 100, answer(2_000, 2_000, None)),
            at_ms: 200,
            tokens: None,
            expected_ms: Some((2_000, 6_000)),
        },
        Case {
            name: "the long answer is out of the window",
            answers: [
                vec![(0, answer(2_000, 2_000, None))],
                many(38_000, answer(60, 60, None)),
            ]
            .concat(),
            at_ms: 40_000,
            tokens: None,
            expected_ms: Some((60, 180)),
        },
        Case {
            name: "all answers are out of the window",
            answers: plain(),
            at_ms: 60_000,
            tokens: None,
            expected_ms: None,
        },
        Case {
            name: "stream of as many tokens",
            answers: streams(),
            at_ms: 0,
            tokens: Some(100),
            expected_ms: Some((1_100, 3_300)),
        },
        Case {
            name: "stream of ten times as many tokens",
            answers: streams(),
            at_ms: 0,
            tokens: Some(1_000),
            expected_ms: Some((10_100, 30_300)),
        },
        Case {
            name: "stream of few tokens waits for its head",
            answers: streams(),
            at_ms: 0,
            tokens: Some(1),
            expected_ms: Some((110, 330)),
        },
        Case {
            name: "stream without a bound on its tokens",
            answers: streams(),
            at_ms: 0,
            tokens: None,
            expected_ms: Some((1_100, 3_300)),
        },
        Case {
            name: "tokens without an answer that had a bound",
            answers: plain(),
            at_ms: 0,
            tokens: Some(100),
            expected_ms: None,
        },
        Case {
            name: "a bound of zero tokens",
            answers: many(0, answer(100, 120, Some(0))),
            at_ms: 0,
            tokens: Some(0),
            expected_ms: Some((100, 300)),
        },
        Case {
            name: "the most tokens that can be declared",
            answers: many(0, answer(0, u64::MAX / 1_000, Some(1))),
            at_ms: 0,
            tokens: Some(u32::MAX),
            expected_ms: Some((u64::MAX / 1_000, u64::MAX)),
        },
    ];
    for case in &cases {
        let mut times = AnswerTimes::default();
        for (at_ms, answer) in &case.answers {
            times.observe(MonotonicMs(*at_ms), answer);
        }
        let tokens = case.tokens.map(TokenCount);
        let longest = times.longest(MonotonicMs(case.at_ms), tokens);
        let estimate = longest.and_then(|longest| longest.upper_bound());
        let is_right = match (estimate, case.expected_ms) {
            (Some(estimate), Some((least, most))) => (least..=most).contains(&estimate.0),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        assert!(is_right, "{}: {estimate:?}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), ..ProptestConfig::default() })]

    #[test]
    fn estimate_is_never_below_an_answer_in_the_window(
        answers in prop::collection::vec((0_u64..60_000, 0_u64..2_000, 0_u64..9_000, 1_u32..500), 1..60),
    ) {
        let mut answers = answers;
        answers.sort_unstable();
        let mut times = AnswerTimes::default();
        for (at_ms, head_ms, body_ms, tokens) in &answers {
            let time = answer(*head_ms, head_ms + body_ms, Some(*tokens));
            times.observe(MonotonicMs(*at_ms), &time);
        }
        let now_ms = answers.last().unwrap().0;
        let recent = answers.iter().filter(|(at_ms, ..)| now_ms - at_ms < 30_000);
        for (_, head_ms, body_ms, tokens) in recent {
            for tokens in [Some(TokenCount(*tokens)), None] {
                let longest = times.longest(MonotonicMs(now_ms), tokens).unwrap();
                prop_assert!(longest.longest_ms.0 >= head_ms + body_ms);
                let upper_bound = longest.upper_bound();
                prop_assert!(upper_bound.is_none_or(|it| it >= longest.longest_ms));
            }
        }
    }
}
