//! Many runs, one for each seed, several at a time.

use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::plan::{Plan, Seed};
use crate::run::{Verdict, run_plan};

/// A run that broke a promise or could not be carried out.
#[derive(Debug, Clone, Serialize)]
pub struct FailedRun {
    /// The seed that repeats the run.
    pub seed: Seed,
    /// What was seen.
    pub reason: String,
}

/// What came out of a range of seeds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CampaignReport {
    /// Runs carried out.
    pub runs: u64,
    /// Runs that broke a promise or could not be carried out, by seed.
    pub failed: Vec<FailedRun>,
    /// Bookings whose submission began.
    pub bookings: u64,
    /// Bookings that were answered as done.
    pub bookings_done: u64,
    /// Reads and chats that began.
    pub asks: u64,
    /// Reads and chats that were answered whole.
    pub asks_whole: u64,
}

impl CampaignReport {
    /// Returns the command that repeats the first failed run.
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
                self.asks += verdict.asks;
                self.asks_whole += verdict.asks_whole;
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

/// Runs the plan of each seed; `watch` hears of the number of runs done.
///
/// Each run has 4 daemons, so that a machine with 10 cores bears about 4 runs at a time.
pub fn run_seeds(
    binary: &Path,
    seeds: Range<u64>,
    parallel_runs: u16,
    watch: impl Fn(u64) + Sync,
) -> CampaignReport {
    let report = Mutex::new(CampaignReport::default());
    for_each_seed(seeds, parallel_runs, |run, seed| {
        let result = run_plan(binary, run, Plan::from_seed(seed));
        let mut report = report.lock().expect("no thread panics with the report");
        report.add(seed, result);
        watch(report.runs);
    });
    report
        .into_inner()
        .expect("no thread panics with the report")
}

/// Carries out one run for each seed, some at a time; each hears its place among those.
pub(crate) fn for_each_seed(
    seeds: Range<u64>,
    parallel_runs: u16,
    carry_out: impl Fn(u16, Seed) + Sync,
) {
    let next = AtomicU64::new(seeds.start);
    std::thread::scope(|scope| {
        for run in 0..parallel_runs.max(1) {
            let (next, carry_out, end) = (&next, &carry_out, seeds.end);
            scope.spawn(move || {
                loop {
                    let seed = Seed(next.fetch_add(1, Ordering::Relaxed));
                    if seed.0 >= end {
                        return;
                    }
                    carry_out(run, seed);
                }
            });
        }
    });
}
