//! Short seeded runs of the fault soak, and every seed that has ever failed.

use std::path::Path;

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::plan::SoakPlan;
use celeryknot_faults::soak::run_plan;

/// Number of the first run; the runs of other test files have other numbers.
const FIRST_RUN_NUMBER: u16 = 900;

fn assert_passes(run: u16, seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
    let plan = SoakPlan::from_seed(Seed(seed));
    let verdict =
        run_plan(binary, FIRST_RUN_NUMBER + run, plan).expect("the run can be carried out");
    assert!(
        verdict.broken.is_empty(),
        "{}: {:#?}",
        verdict.plan,
        verdict.broken
    );
    assert!(verdict.served > 0, "{}: nothing was served", verdict.plan);
    assert!(
        !verdict.checks.is_empty(),
        "{}: nothing was checked",
        verdict.plan
    );
}

/// A seed that failed in the past.
struct Case {
    seed: u64,
    cause: &'static str,
}

/// In all of these, a signal killed a daemon during its start, before it handled signals. A daemon
/// now installs its signal handlers first, and the soak waits until it listens.
const PREVIOUSLY_FAILING: [Case; 5] = [
    Case {
        seed: 9,
        cause: "SIGHUP while a daemon started",
    },
    Case {
        seed: 14,
        cause: "SIGTERM while a daemon started",
    },
    Case {
        seed: 33,
        cause: "SIGHUP while a daemon started",
    },
    Case {
        seed: 42,
        cause: "SIGHUP while a daemon started",
    },
    Case {
        seed: 60,
        cause: "SIGHUP while a daemon started",
    },
];

#[test]
fn planned_work_fails_no_request() {
    assert_passes(0, 3);
    assert_passes(1, 6);
}

#[test]
fn guarantees_hold_under_series_of_faults() {
    assert_passes(2, 1);
    assert_passes(3, 2);
}

#[test]
fn previously_failing_seeds_pass() {
    for (run, case) in (4..).zip(&PREVIOUSLY_FAILING) {
        println!("seed {}: {}", case.seed, case.cause);
        assert_passes(run, case.seed);
    }
}
