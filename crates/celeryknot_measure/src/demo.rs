//! A short run of everything: returning chats, bookings, and a zone that goes out and returns.

mod table;

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_standins::load::run_load;
use celeryknot_standins::{Caller, LoadPlan};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::cluster::{Cluster, ClusterOptions, PromptCount};
use crate::options::MeasureOptions;
use crate::sampler::{LoadSample, Sampler, Skew};
use crate::scrape::{control_bytes, largest_rate_per_s};

const DAEMONS: usize = 3;
/// Part of the measurements' load, so that a small machine bears it.
const LOAD: f64 = 0.5;
const OUT_AT: f64 = 0.4;
const IN_AT: f64 = 0.7;

/// What the callers and stand-ins counted.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoFigures {
    /// Calls started.
    pub requests: u64,
    /// Calls that got the whole answer.
    pub completed: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls with neither a whole answer nor a refusal that says `not-run`, and bookings whose
    /// answer was not true.
    pub lost: u64,
    /// Bookings that were run more than once.
    pub doubled_bookings: u64,
    /// Answers that ended before they were whole.
    pub truncated: u64,
    /// Answers that belong to another request.
    pub cross_delivered: u64,
    /// Cached part of the prompt tokens.
    pub cache_reuse_ratio: f64,
    /// The largest in-flight over the mean.
    pub max_over_mean_load: f64,
    /// Control traffic of the daemon that sent most.
    pub control_bytes_per_s: f64,
    /// The 95th percentile of the time to the first token.
    pub first_token_ms_p95: f64,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Lost calls by what was seen last.
    pub lost_by_reason: BTreeMap<String, u64>,
}

impl DemoFigures {
    /// Tells whether nothing was lost, doubled, truncated or delivered to another caller.
    pub fn is_clean(&self) -> bool {
        self.lost == 0
            && self.doubled_bookings == 0
            && self.truncated == 0
            && self.cross_delivered == 0
    }
}

/// A finished demo.
#[derive(Debug, Clone, Serialize)]
pub struct Demo {
    /// What was counted.
    #[serde(flatten)]
    pub figures: DemoFigures,
    #[serde(skip)]
    text: String,
}

impl Demo {
    /// Returns the figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures have a JSON form")
    }

    /// Returns the tables and the timeline for people.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Runs the demo with three daemons.
///
/// # Examples
///
/// ```no_run
/// use celeryknot_measure::{MeasureOptions, demo};
///
/// let options = MeasureOptions { seconds: 3, ..MeasureOptions::default() };
/// let demo = demo::run(&options)?;
/// assert!(demo.figures.is_clean());
/// # Ok::<(), eyre::Report>(())
/// ```
pub fn run(options: &MeasureOptions) -> eyre::Result<Demo> {
    smol::block_on(run_async(options))
}

async fn run_async(options: &MeasureOptions) -> eyre::Result<Demo> {
    let options = MeasureOptions {
        load: options.load * LOAD,
        ..*options
    };
    let plan = LoadPlan::draw(options.load_options());
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.daemons = DAEMONS;
    let cluster = Cluster::start(cluster_options).await?;
    let zone = cluster.spec().zones[0];
    let addresses = cluster.operators_addresses();
    let bytes_before = control_bytes(&addresses).await;
    let sampler = Sampler::start(Arc::clone(&cluster.engines));
    let caller = Caller::new(options.caller_options());
    let start = Instant::now();
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let script = future::zip(drain(&cluster, zone, &options), show_progress(&options));
    let (load, _) = future::zip(load, script).await;
    let bytes_after = control_bytes(&addresses).await;
    let seconds = start.elapsed().as_secs_f64();
    let samples = sampler.stop().await;
    let skew = Skew::new(&samples, cluster.options.load_multiple);
    let figures = DemoFigures {
        requests: load.requests,
        completed: load.completed,
        refused: load.refused,
        lost: load.lost + cluster.false_bookings(&load.bookings),
        doubled_bookings: cluster.doubled_bookings(),
        truncated: load.truncated,
        cross_delivered: load.cross_delivered,
        cache_reuse_ratio: cluster
            .engines
            .prompt_count()
            .reuse_ratio_since(PromptCount::default()),
        max_over_mean_load: skew.max_over_mean,
        control_bytes_per_s: largest_rate_per_s(&bytes_before, &bytes_after, seconds)
            .unwrap_or(0.0),
        first_token_ms_p95: load.first_token_ms(0.95, |_| true).unwrap_or(0.0),
        refused_by_code: load.refused_by_code.clone(),
        lost_by_reason: load.lost_by_reason.clone(),
    };
    let text = table::render(&cluster, &figures, &load, &samples, &events(&options, zone));
    cluster.stop().await;
    Ok(Demo { figures, text })
}

async fn drain(cluster: &Cluster, zone: &str, options: &MeasureOptions) {
    let start = Instant::now();
    Timer::at(start + options.part(OUT_AT)).await;
    cluster.set_zone(zone, false);
    Timer::at(start + options.part(IN_AT)).await;
    cluster.set_zone(zone, true);
}

/// What happens at which second, for the timeline.
fn events(options: &MeasureOptions, zone: &str) -> Vec<(f64, String)> {
    vec![
        (options.part(OUT_AT).as_secs_f64(), format!("{zone} out")),
        (options.part(IN_AT).as_secs_f64(), format!("{zone} in")),
    ]
}

/// Shows the seconds that have passed, on a terminal.
async fn show_progress(options: &MeasureOptions) {
    let mut terminal = std::io::stderr();
    if !terminal.is_terminal() {
        return;
    }
    for second in 0..=options.seconds {
        // A terminal that went away is no reason to end the run.
        let _ = write!(terminal, "\rrunning: {second} of {} s ", options.seconds);
        Timer::after(Duration::from_secs(1)).await;
    }
    let _ = writeln!(terminal);
}

/// Returns the second in which a sample was taken.
fn second_of(sample: &LoadSample) -> u64 {
    sample.at_ms / 1_000
}
