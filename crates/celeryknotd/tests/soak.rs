//! A short seeded run of the fault soak, and every seed that ever failed.

use std::path::Path;

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::plan::SoakPlan;
use celeryknot_faults::soak::run_plan;

/// Runs of this file are numbered apart from those of other test files.
const FIRST_RUN: u16 = 900;

fn assert_holds(run: u16, seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
    let plan = SoakPlan::from_seed(Seed(seed));
    let verdict = run_plan(binary, FIRST_RUN + run, plan).expect("the run can be carried out");
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

/// A seed that failed once.
struct Case {
    seed: u64,
    cause: &'static str,
}

/// All of these ended with a daemon that was gone: a signal came while it started, before it took
/// signals. It takes them before all else now, and the soak waits until it listens.
const FAILED_ONCE: [Case; 5] = [
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
fn planned_work_costs_no_request() {
    assert_holds(0, 3);
    assert_holds(1, 6);
}

#[test]
fn promises_hold_under_series_of_faults() {
    assert_holds(2, 1);
    assert_holds(3, 2);
}

#[test]
fn seeds_that_failed_once_hold() {
    for (run, case) in (4..).zip(&FAILED_ONCE) {
        println!("seed {}: {}", case.seed, case.cause);
        assert_holds(run, case.seed);
    }
}
