//! Resumption of aborted streams, and stall detection.

use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_policy::stall::StallDetector;
use celeryknot_policy::stream::{StreamCursor, TokenAction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn stream_with_a_different_token_count_is_incomplete() {
    let mut cursor = StreamCursor::new();
    assert_eq!(cursor.accept(0), TokenAction::Pass);
    assert!(!cursor.finish(Some(2)));
    assert!(!cursor.is_finished());
    assert_eq!(cursor.resume(1), Some(1));
    assert_eq!(cursor.resume(1), None);
    assert_eq!(cursor.accept(1), TokenAction::Pass);
    assert!(cursor.finish(Some(2)));
    assert_eq!(cursor.accept(2), TokenAction::AfterEnd);
}

#[test]
fn ticks_later_than_the_threshold_are_stalls() {
    let mut detector = StallDetector::new(DurationMs(100), DurationMs(500), MonotonicMs(0));
    for (now, expected) in [
        (100, None),
        (700, None),
        (1_301, Some(501)),
        (1_400, None),
        (1_350, None),
        (61_500, Some(60_000)),
    ] {
        assert_eq!(
            detector.tick(MonotonicMs(now)),
            expected.map(DurationMs),
            "at {now}"
        );
    }
    assert!(!detector.is_overdue(MonotonicMs(62_000)));
    assert!(detector.is_overdue(MonotonicMs(62_200)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_024, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Sources resume at the requested index or earlier, skip tokens and repeat some.
    #[test]
    fn resumed_stream_has_each_token_once_and_in_order(
        sources in proptest::collection::vec((0..5u64, proptest::collection::vec(0..10u8, 0..20)), 1..8),
    ) {
        let mut cursor = StreamCursor::new();
        let mut passed = Vec::new();
        for (earlier, noise) in sources {
            let mut index = cursor.resume_index().saturating_sub(earlier);
            for kind in noise {
                // One token in ten is repeated, one in ten is skipped.
                let sent = match kind {
                    0 => index.saturating_sub(1),
                    1 => index + 1,
                    _ => index,
                };
                match cursor.accept(sent) {
                    TokenAction::Pass => passed.push(sent),
                    TokenAction::Duplicate => {}
                    TokenAction::Gap | TokenAction::AfterEnd => break,
                }
                index = sent + 1;
            }
        }
        let expected: Vec<u64> = (0..cursor.resume_index()).collect();
        prop_assert_eq!(passed, expected);
    }
}
