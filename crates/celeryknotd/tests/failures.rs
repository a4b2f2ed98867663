//! Real daemons under one or two failures: nothing lost, doubled, cut, crossed or falsely refused.

use std::path::Path;
use std::sync::{Condvar, Mutex};

use celeryknot_faults::plan::{FailureKind, Plan, PlannedFailure, Seed};
use celeryknot_faults::run::{Verdict, run_plan};

/// Runs that may be under way at the same time, so that a small machine is not overloaded.
const PARALLEL_RUNS_MAX: u32 = 2;

static RUNS: Mutex<u32> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

struct RunPermit;

impl RunPermit {
    fn acquire() -> Self {
        let runs = RUNS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut runs = RUN_ENDED
            .wait_while(runs, |runs| *runs >= PARALLEL_RUNS_MAX)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *runs += 1;
        Self
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let mut runs = RUNS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        *runs -= 1;
        RUN_ENDED.notify_one();
    }
}

fn run(plan: Plan) -> Verdict {
    let _permit = RunPermit::acquire();
    let run = u16::try_from(plan.seed.0).expect("the seeds of this file are small");
    let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
    let verdict = run_plan(binary, run, plan).expect("the run can be carried out");
    println!("{verdict:?}");
    verdict
}

fn assert_holds(verdict: &Verdict) {
    assert!(
        verdict.findings.is_empty(),
        "{}: {:#?}",
        verdict.plan,
        verdict.findings
    );
    assert!(verdict.bookings_done > 0, "{}: no booking", verdict.plan);
    assert!(verdict.asks_whole > 0, "{}: no answer", verdict.plan);
}

struct Case {
    seed: u64,
    kind: FailureKind,
    target: usize,
    starts_ms: u64,
    lasts_ms: u64,
}

impl Case {
    const fn new(seed: u64, kind: FailureKind, target: usize) -> Self {
        Self {
            seed,
            kind,
            target,
            starts_ms: 800,
            lasts_ms: 2_000,
        }
    }

    const fn lasting(self, lasts_ms: u64) -> Self {
        Self { lasts_ms, ..self }
    }

    fn run(self) -> Verdict {
        let failure = PlannedFailure {
            kind: self.kind,
            target: self.target,
            starts_ms: self.starts_ms,
            lasts_ms: self.lasts_ms,
        };
        run(Plan::single(Seed(self.seed), failure))
    }
}

macro_rules! holds_under {
    ($($name:ident: $case:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_holds(&$case.run());
            }
        )*
    };
}

holds_under! {
    holds_when_a_daemon_is_killed: Case::new(1, FailureKind::KillDaemon, 1);
    holds_when_a_daemon_is_frozen: Case::new(2, FailureKind::FreezeDaemon, 2);
    holds_when_a_daemon_is_frozen_for_long: Case::new(3, FailureKind::FreezeDaemon, 0).lasting(10_000);
    holds_when_a_daemon_is_replaced: Case::new(4, FailureKind::ReplaceDaemon, 3);
    holds_when_an_engine_is_cut: Case::new(5, FailureKind::CutEndpoint, 0);
    holds_when_a_service_is_cut: Case::new(6, FailureKind::CutEndpoint, 4);
    holds_when_an_engine_goes_silent: Case::new(7, FailureKind::SilenceEndpoint, 1);
    holds_when_a_service_goes_silent: Case::new(8, FailureKind::SilenceEndpoint, 5);
    holds_when_peers_go_silent: Case::new(9, FailureKind::SilencePeers, 0);
    holds_when_the_fleet_is_split: Case::new(10, FailureKind::SplitFleet, 0).lasting(3_000);
    holds_when_messages_overtake_each_other: Case::new(11, FailureKind::DelayPeers, 0);
    holds_when_the_platform_is_down: Case::new(12, FailureKind::PlatformDown, 0);
    holds_when_the_platform_is_stale: Case::new(13, FailureKind::PlatformStale, 1);
    holds_when_a_zone_is_taken_out: Case::new(14, FailureKind::ZoneOut, 0).lasting(4_000);
    holds_when_an_endpoint_leaves: Case::new(15, FailureKind::EndpointLeaves, 2).lasting(4_000);
    holds_when_an_engine_turns_cold: Case::new(16, FailureKind::EndpointCold, 3);
    holds_when_operators_race: Case::new(17, FailureKind::OperatorsRace, 0);
}

#[test]
fn books_everything_in_calm() {
    let verdict = run(Plan {
        seed: Seed(18),
        failures: Vec::new(),
    });
    assert_holds(&verdict);
    assert_eq!(verdict.bookings_done, verdict.bookings, "{verdict:?}");
    assert_eq!(verdict.asks_whole, verdict.asks, "{verdict:?}");
    // The second of two submissions at once may find the first one running.
    let codes: Vec<&str> = verdict.refusals.keys().map(String::as_str).collect();
    assert!(
        codes.is_empty() || codes == ["ticket-in-progress"],
        "{verdict:?}"
    );
}

/// The seeds of runs with one or two failures that CI repeats.
const CI_SEEDS: std::ops::Range<u64> = 100..112;

#[test]
fn holds_under_the_seeds_of_ci() {
    for seed in CI_SEEDS {
        assert_holds(&run(Plan::from_seed(Seed(seed))));
    }
}
