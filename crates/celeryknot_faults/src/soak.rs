//! The fault soak of a gateway: real daemons in front of stand-ins for the platform's interfaces.
//!
//! All faults are external: signals to processes, proxies in front of the store and the endpoints,
//! failing endpoints, and changes by operators. Steps overlap. Callers reuse each connection for
//! as long as it is open. The recorded requests and responses are checked against the promises of
//! docs/GUARANTEES.md.

pub mod callers;
pub mod check;
pub mod fleet;
pub mod observations;
pub mod plan;

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use serde::Serialize;

use crate::campaign::{FailedRun, for_each_seed};
use crate::plan::Seed;
use callers::Callers;
use check::{Broken, Promise, check};
use fleet::Fleet;
use plan::{SoakPlan, Step};

/// Time after the last step in which daemons can finish requests in progress.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The result of one seed.
#[derive(Debug, Clone)]
pub struct SoakVerdict {
    /// The executed steps.
    pub plan: SoakPlan,
    /// Promises that did not hold.
    pub broken: Vec<Broken>,
    /// How often each promise was checked.
    pub checks: BTreeMap<Promise, u64>,
    /// Number of requests sent.
    pub requests: u64,
    /// Number of requests with a complete, successful response.
    pub served: u64,
}

/// The summary over a range of seeds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakReport {
    /// Number of runs, including failed ones.
    pub runs: u64,
    /// Runs that broke a promise, served nothing or could not be completed, sorted by seed.
    pub failed: Vec<FailedRun>,
    /// Number of requests sent.
    pub requests: u64,
    /// Number of requests with a complete, successful response.
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

/// Runs the plan of each seed, `parallel_runs` at a time, each with five daemon processes.
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

/// Executes a plan and checks the observations.
///
/// # Errors
///
/// Fails when a process can't be started or does not exit as expected.
pub fn run_plan(binary: &Path, run: u16, plan: SoakPlan) -> eyre::Result<SoakVerdict> {
    let fleet = Arc::new(Fleet::start(binary, run, plan.limits).wrap_err("starting the fleet")?);
    let started = Instant::now();
    let callers = Callers::start(&fleet, plan.seed);
    let steps_result = std::thread::scope(|scope| {
        let spawn_step = |step: Step| {
            let fleet = Arc::clone(&fleet);
            scope.spawn(move || {
                std::thread::sleep(step.start().saturating_sub(started.elapsed()));
                fleet.execute_step(&step)
            })
        };
        let threads: Vec<_> = plan.steps.iter().copied().map(spawn_step).collect();
        // A panic here would leave the daemons running, as the callers still hold the fleet.
        let results: Vec<_> = threads.into_iter().map(ScopedJoinHandle::join).collect();
        results.into_iter().try_for_each(|result| {
            let result = result.unwrap_or_else(|_| Err(eyre!("a step panicked")));
            result.wrap_err_with(|| plan.to_string())
        })
    });
    std::thread::sleep(SETTLE_TIME);
    let requests = callers.finish();
    steps_result?;
    let observations = fleet.observations(started, requests);
    let (broken, checks) = check(&plan, &observations);
    Ok(SoakVerdict {
        requests: observations.requests.len() as u64,
        served: observations
            .requests
            .iter()
            .filter(|it| it.is_success())
            .count() as u64,
        plan,
        broken,
        checks,
    })
}
