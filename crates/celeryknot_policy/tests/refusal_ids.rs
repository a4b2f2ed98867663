//! For how long refusals without an id are expected.

use celeryknot_core::MonotonicMs;
use celeryknot_policy::direct::RefusalIds;

struct Case {
    name: &'static str,
    observed_at_ms: &'static [u64],
    now_ms: u64,
    are_missing: bool,
}

/// Guards against new connections for all requests long after the last such refusal.
#[test]
fn refusals_without_an_id_are_expected_for_ten_minutes() {
    let case = |name, observed_at_ms, now_ms, are_missing| Case {
        name,
        observed_at_ms,
        now_ms,
        are_missing,
    };
    let cases = [
        case("none yet", &[][..], 5_000, false),
        case("one", &[5_000], 5_000, true),
        case("the end of the time", &[5_000], 604_999, true),
        case("after it", &[5_000], 605_000, false),
        case("a later one", &[5_000, 300_000], 605_000, true),
    ];
    for case in cases {
        let mut ids = RefusalIds::default();
        for at in case.observed_at_ms {
            ids.observe_missing(MonotonicMs(*at));
        }
        let actual = ids.are_missing(MonotonicMs(case.now_ms));
        assert_eq!(actual, case.are_missing, "{}", case.name);
    }
}
