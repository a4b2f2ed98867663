//! The fault soak of a gateway: real daemons before stand-ins in the platform's form.
//!
//! Faults come from outside only: signals to processes, proxies before the store and the
//! endpoints, endpoints that fail, and what the operator writes. They come in series that overlap.
//! Callers go on using connections for as long as they are open. What callers and endpoints saw is
//! checked against the promises of docs/GUARANTEES.md.

pub mod callers;
pub mod check;
pub mod fleet;
pub mod plan;

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde::Serialize;

use crate::campaign::{FailedRun, for_each_seed};
use crate::plan::Seed;
use callers::Callers;
use check::{Broken, Promise, check};
use fleet::Fleet;
use plan::{SoakPlan, Step};

/// Time after the last step in which a daemon may still end what it has begun.
const QUIET_END: Duration = Duration::from_millis(1_500);

/// What came out of one seed.
#[derive(Debug, Clone)]
pub struct SoakVerdict {
    /// What was broken.
    pub plan: SoakPlan,
    /// Promises that did not hold.
    pub broken: Vec<Broken>,
    /// How often each promise was checked.
    pub checks: BTreeMap<Promise, u64>,
    /// Requests that were sent.
    pub requests: u64,
    /// Requests that were answered with success, whole.
    pub served: u64,
}

/// What came out of a range of seeds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakReport {
    /// Runs carried out.
    pub runs: u64,
    /// Runs that broke a promise, checked nothing or could not be carried out, by seed.
    pub failed: Vec<FailedRun>,
    /// Requests that were sent.
    pub requests: u64,
    /// Requests that were answered with success, whole.
    pub served: u64,
    /// How often each promise was checked.
    pub checks: BTreeMap<Promise, u64>,
}

impl SoakReport {
    fn add(&mut self, seed: Seed, result: eyre::Result<SoakVerdict>) {
        self.runs += 1;
        let reason = match result {
            Ok(verdict) => {
                self.requests += verdict.requests;
                self.served += verdict.served;
                for (promise, count) in &verdict.checks {
                    *self.checks.entry(*promise).or_default() += count;
                }
                if verdict.broken.is_empty() && verdict.served > 0 {
                    return;
                }
                format!(
                    "{}: {} of {} served; {:?}",
                    verdict.plan, verdict.served, verdict.requests, verdict.broken
                )
            }
            Err(error) => format!("{error:#}"),
        };
        self.failed.push(FailedRun { seed, reason });
        self.failed.sort_by_key(|failed| failed.seed);
    }
}

/// Runs the plan of each seed, some at a time, each with five daemon processes.
pub fn run_seeds(binary: &Path, seeds: Range<u64>, parallel_runs: u16) -> SoakReport {
    let report = Mutex::new(SoakReport::default());
    for_each_seed(seeds, parallel_runs, |run, seed| {
        let result = run_plan(binary, run, SoakPlan::from_seed(seed));
        let mut report = report.lock().expect("no thread panics with the report");
        report.add(seed, result);
    });
    report
        .into_inner()
        .expect("no thread panics with the report")
}

/// Carries out one plan and checks what was seen.
///
/// # Errors
///
/// Fails when a process can't be started or does not end as it should.
pub fn run_plan(binary: &Path, run: u16, plan: SoakPlan) -> eyre::Result<SoakVerdict> {
    let fleet = Arc::new(Fleet::start(binary, run).wrap_err("starting the fleet")?);
    let started = Instant::now();
    let callers = Callers::start(&fleet, plan.seed);
    let carried_out = std::thread::scope(|scope| {
        let carry = |step: Step| {
            let fleet = Arc::clone(&fleet);
            scope.spawn(move || {
                std::thread::sleep(step.starts_at().saturating_sub(started.elapsed()));
                fleet.carry_out(&step)
            })
        };
        let threads: Vec<_> = plan.steps.iter().copied().map(carry).collect();
        threads.into_iter().try_for_each(|thread| {
            let result = thread.join().expect("no step panics");
            result.wrap_err_with(|| plan.to_string())
        })
    });
    std::thread::sleep(QUIET_END);
    let asked = callers.finish();
    carried_out?;
    let seen = fleet.seen(asked);
    let (broken, checks) = check(&plan, &seen);
    Ok(SoakVerdict {
        requests: seen.asked.len() as u64,
        served: seen.asked.iter().filter(|it| it.is_success()).count() as u64,
        plan,
        broken,
        checks,
    })
}
