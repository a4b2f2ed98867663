//! Plans of planned seeds have series of shutdowns that overlap.

use std::collections::BTreeSet;

use celeryknot_faults::plan::Seed;
use celeryknot_faults::soak::fleet::DAEMON_COUNT;
use celeryknot_faults::soak::plan::{SoakPlan, Step, StepKind};

/// The planned seeds among the first ones.
fn planned_plans() -> impl Iterator<Item = SoakPlan> {
    let plans = (0..300).map(|seed| SoakPlan::from_seed(Seed(seed)));
    plans.filter(SoakPlan::is_planned_work)
}

fn shutdowns(plan: &SoakPlan) -> Vec<&Step> {
    let is_shutdown = |step: &&Step| {
        matches!(
            step.kind,
            StepKind::TerminateDaemon
                | StepKind::TerminateDaemonTwice
                | StepKind::TerminateAndReloadDaemon
        )
    };
    plan.steps.iter().filter(is_shutdown).collect()
}

#[test]
fn every_planned_seed_shuts_down_several_daemons() {
    for plan in planned_plans() {
        let daemons: BTreeSet<usize> = shutdowns(&plan)
            .iter()
            .map(|step| step.target % DAEMON_COUNT)
            .collect();
        assert!(daemons.len() >= 3, "{plan}");
    }
}

#[test]
fn planned_seeds_cover_each_situation() {
    struct Case {
        name: &'static str,
        covers: fn(&SoakPlan) -> bool,
    }
    let cases = [
        Case {
            name: "all daemons are within their grace times at once",
            covers: |plan| {
                let shutdowns = shutdowns(plan);
                shutdowns.iter().any(|first| {
                    let end_ms = first.start_ms + plan.limits.shutdown_grace_s * 1_000;
                    let daemons: BTreeSet<usize> = shutdowns
                        .iter()
                        .filter(|step| (first.start_ms..end_ms).contains(&step.start_ms))
                        .map(|step| step.target % DAEMON_COUNT)
                        .collect();
                    daemons.len() == DAEMON_COUNT
                })
            },
        },
        Case {
            name: "a second SIGTERM",
            covers: |plan| has(plan, StepKind::TerminateDaemonTwice),
        },
        Case {
            name: "SIGHUP during a shutdown",
            covers: |plan| has(plan, StepKind::TerminateAndReloadDaemon),
        },
        Case {
            name: "an idle timeout shorter than the longest streams",
            covers: |plan| plan.limits.idle_timeout_ms <= 1_500,
        },
        Case {
            name: "an idle timeout longer than the longest streams",
            covers: |plan| plan.limits.idle_timeout_ms >= 10_000,
        },
        Case {
            name: "the users' grace time",
            covers: |plan| plan.limits.shutdown_grace_s == 8,
        },
    ];
    for case in cases {
        let count = planned_plans().filter(|plan| (case.covers)(plan)).count();
        assert!(count >= 10, "{}: {count} of 100 seeds", case.name);
    }
}

fn has(plan: &SoakPlan, kind: StepKind) -> bool {
    plan.steps.iter().any(|step| step.kind == kind)
}
