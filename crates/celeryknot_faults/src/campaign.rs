//! Runs one plan per seed, several in parallel.

use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::plan::{Plan, Seed};
use crate::run::{Verdict, run_plan};

/// A run that violated a guarantee or could not be completed.
#[derive(Debug, Clone, Serialize)]
pub struct FailedRun {
    /// The seed that reproduces the run.
    pub seed: Seed,
    /// The plan and its findings, or the error.
    pub reason: String,
}

/// The summary over a range of seeds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CampaignReport {
    /// Number of runs, including failed ones.
    pub runs: u64,
    /// Runs that violated a guarantee or could not be completed, sorted by seed.
    pub failed: Vec<FailedRun>,
    /// Bookings submitted at least once.
    pub bookings: u64,
    /// Bookings confirmed as done.
    pub bookings_done: u64,
    /// Reads and chats sent.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Reads and chats that received a complete response.
    #[serde(rename = "asks_whole")]
    pub requests_completed: u64,
}

impl CampaignReport {
    /// Returns the command that reproduces the first failed run.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_faults::campaign::CampaignReport;
    ///
    /// assert_eq!(CampaignReport::default().repeat_command(), None);
    /// ```
    pub fn repeat_command(&self) -> Option<String> {
        let seed = self.failed.first()?.seed.0;
        Some(format!(
            "celeryknot measure faults --seeds {seed}..{}",
            seed + 1
        ))
    }

    fn add(&mut self, seed: Seed, result: eyre::Result<Verdict>) {
        self.runs += 1;
        let reason = match result {
            Ok(verdict) => {
                self.bookings += verdict.bookings;
                self.bookings_done += verdict.bookings_done;
                self.requests += verdict.asks;
                self.requests_completed += verdict.asks_whole;
                if verdict.findings.is_empty() {
                    return;
                }
                format!("{}: {:?}", verdict.plan, verdict.findings)
            }
            Err(error) => format!("{error:#}"),
        };
        self.failed.push(FailedRun { seed, reason });
        self.failed.sort_by_key(|failed| failed.seed);
    }
}

/// Runs the plan of each seed and calls `on_progress` with the number of finished runs.
///
/// Each run has 4 daemons, so a machine with 10 cores can handle about 4 parallel runs.
pub fn run_seeds(
    binary: &Path,
    seeds: Range<u64>,
    parallel_runs: u16,
    on_progress: impl Fn(u64) + Sync,
) -> CampaignReport {
    let report = Mutex::new(CampaignReport::default());
    for_each_seed(seeds, parallel_runs, |run, seed| {
        let result = run_plan(binary, run, Plan::from_seed(seed));
        let mut report = report.lock().expect("no thread panics with the report");
        report.add(seed, result);
        on_progress(report.runs);
    });
    report
        .into_inner()
        .expect("no thread panics with the report")
}

/// Calls `run_seed` for each seed on `parallel_runs` threads, with the index of its thread.
pub(crate) fn for_each_seed(
    seeds: Range<u64>,
    parallel_runs: u16,
    run_seed: impl Fn(u16, Seed) + Sync,
) {
    let next = AtomicU64::new(seeds.start);
    std::thread::scope(|scope| {
        for run in 0..parallel_runs.max(1) {
            let (next, run_seed, end) = (&next, &run_seed, seeds.end);
            scope.spawn(move || {
                loop {
                    let seed = Seed(next.fetch_add(1, Ordering::Relaxed));
                    if seed.0 >= end {
                        return;
                    }
                    run_seed(run, seed);
                }
            });
        }
    });
}
