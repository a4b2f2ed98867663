//! Real daemons under one or two failures: no request is lost, executed twice, truncated, delivered
//! to the wrong caller or falsely refused.

use std::path::Path;
use std::sync::{Condvar, Mutex};

use celeryknot_faults::plan::{FailureKind, Plan, PlannedFailure, Seed};
use celeryknot_faults::run::{Verdict, run_plan};

/// Maximum number of concurrent runs, so that a small machine is not overloaded.
const PARALLEL_RUNS_MAX: u32 = 2;

static ACTIVE_RUNS: Mutex<u32> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

struct RunPermit;

impl RunPermit {
    fn acquire() -> Self {
        let runs = ACTIVE_RUNS
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut runs = RUN_ENDED
            .wait_while(runs, |runs| *runs >= PARALLEL_RUNS_MAX)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *runs += 1;
        Self
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let mut runs = ACTIVE_RUNS
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *runs -= 1;
        RUN_ENDED.notify_one();
    }
}

fn run(plan: Plan) -> Verdict {
    let _permit = RunPermit::acquire();
    let run_number = u16::try_from(plan.seed.0).expect("the seeds of this file are small");
    let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
    let verdict = run_plan(binary, run_number, plan).expect("the run can be carried out");
    println!("{verdict:?}");
    verdict
}

fn assert_passes(verdict: &Verdict) {
    assert!(
        verdict.findings.is_empty(),
        "{}: {:#?}",
        verdict.plan,
        verdict.findings
    );
    assert!(verdict.bookings_done > 0, "{}: no booking", verdict.plan);
    assert!(verdict.asks_whole > 0, "{}: no response", verdict.plan);
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

    const fn with_duration_ms(self, lasts_ms: u64) -> Self {
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

macro_rules! failure_tests {
    ($($name:ident: $case:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_passes(&$case.run());
            }
        )*
    };
}

failure_tests! {
    guarantees_hold_when_a_daemon_is_killed: Case::new(1, FailureKind::KillDaemon, 1);
    guarantees_hold_when_a_daemon_is_frozen: Case::new(2, FailureKind::FreezeDaemon, 2);
    guarantees_hold_when_a_daemon_is_frozen_for_long: Case::new(3, FailureKind::FreezeDaemon, 0).with_duration_ms(10_000);
    guarantees_hold_when_a_daemon_is_replaced: Case::new(4, FailureKind::ReplaceDaemon, 3);
    guarantees_hold_when_engine_connections_are_reset: Case::new(5, FailureKind::CutEndpoint, 0);
    guarantees_hold_when_service_connections_are_reset: Case::new(6, FailureKind::CutEndpoint, 4);
    guarantees_hold_when_an_engine_goes_silent: Case::new(7, FailureKind::SilenceEndpoint, 1);
    guarantees_hold_when_a_service_goes_silent: Case::new(8, FailureKind::SilenceEndpoint, 5);
    guarantees_hold_when_peers_go_silent: Case::new(9, FailureKind::SilencePeers, 0);
    guarantees_hold_when_the_fleet_is_partitioned: Case::new(10, FailureKind::SplitFleet, 0).with_duration_ms(3_000);
    guarantees_hold_when_peer_messages_are_reordered: Case::new(11, FailureKind::DelayPeers, 0);
    guarantees_hold_when_the_platform_is_down: Case::new(12, FailureKind::PlatformDown, 0);
    guarantees_hold_when_the_platform_is_stale: Case::new(13, FailureKind::PlatformStale, 1);
    guarantees_hold_when_a_zone_is_out_of_service: Case::new(14, FailureKind::ZoneOut, 0).with_duration_ms(4_000);
    guarantees_hold_when_an_endpoint_drains: Case::new(15, FailureKind::EndpointLeaves, 2).with_duration_ms(4_000);
    guarantees_hold_when_an_engine_becomes_cold: Case::new(16, FailureKind::EndpointCold, 3);
    guarantees_hold_when_operators_change_a_setting_concurrently: Case::new(17, FailureKind::OperatorsRace, 0);
}

#[test]
fn all_requests_complete_without_failures() {
    let verdict = run(Plan {
        seed: Seed(18),
        failures: Vec::new(),
    });
    assert_passes(&verdict);
    assert_eq!(verdict.bookings_done, verdict.bookings, "{verdict:?}");
    assert_eq!(verdict.asks_whole, verdict.asks, "{verdict:?}");
    // The second of two concurrent submissions may find the first one still running.
    let codes: Vec<&str> = verdict.refusals.keys().map(String::as_str).collect();
    assert!(
        codes.is_empty() || codes == ["ticket-in-progress"],
        "{verdict:?}"
    );
}

/// Seeds of the runs with one or two failures that CI repeats.
const CI_SEEDS: std::ops::Range<u64> = 100..112;

#[test]
fn guarantees_hold_for_ci_seeds() {
    for seed in CI_SEEDS {
        assert_passes(&run(Plan::from_seed(Seed(seed))));
    }
}
