//! A short demo run: recurring chats, bookings, and a zone drain with return.

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
use crate::scrape::{fetch_control_bytes, max_rate_per_s};

const DAEMONS: usize = 3;
/// Load as a fraction of the measurements' load, for small machines.
const LOAD_FACTOR: f64 = 0.5;
/// Fraction of the run after which the zone goes out of service.
const ZONE_OUT_AT: f64 = 0.4;
/// Fraction of the run after which the zone returns to service.
const ZONE_IN_AT: f64 = 0.7;

/// Figures counted by the callers and stand-ins.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoFigures {
    /// Calls started.
    pub requests: u64,
    /// Calls that received a complete response.
    pub completed: u64,
    /// Calls refused as `not-run`.
    pub refused: u64,
    /// Calls that received neither a complete response nor a `not-run` refusal, and bookings whose
    /// outcome was misreported.
    pub lost: u64,
    /// Bookings that ran more than once.
    pub doubled_bookings: u64,
    /// Truncated responses.
    pub truncated: u64,
    /// Responses that belong to another request.
    pub cross_delivered: u64,
    /// Share of prompt tokens found in a cache.
    pub cache_reuse_ratio: f64,
    /// Largest ratio of an engine's requests in flight to the mean.
    pub max_over_mean_load: f64,
    /// Control traffic of the daemon that sent the most.
    pub control_bytes_per_s: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_ms_p95: f64,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Lost calls by the last failure that the caller observed.
    pub lost_by_reason: BTreeMap<String, u64>,
}

impl DemoFigures {
    /// Returns whether no call was lost, truncated or delivered to another caller, and no booking
    /// ran twice.
    pub fn has_no_failures(&self) -> bool {
        self.lost == 0
            && self.doubled_bookings == 0
            && self.truncated == 0
            && self.cross_delivered == 0
    }
}

/// A finished demo.
#[derive(Debug, Clone, Serialize)]
pub struct Demo {
    /// The counted figures.
    #[serde(flatten)]
    pub figures: DemoFigures,
    #[serde(skip)]
    text: String,
}

impl Demo {
    /// Returns the figures as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures serialize to JSON")
    }

    /// Returns the tables and the timeline as human-readable text.
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
/// assert!(demo.figures.has_no_failures());
/// # Ok::<(), eyre::Report>(())
/// ```
pub fn run(options: &MeasureOptions) -> eyre::Result<Demo> {
    smol::block_on(run_async(options))
}

async fn run_async(options: &MeasureOptions) -> eyre::Result<Demo> {
    let options = MeasureOptions {
        load: options.load * LOAD_FACTOR,
        ..*options
    };
    let plan = LoadPlan::draw(options.load_options());
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.daemons = DAEMONS;
    let cluster = Cluster::start(cluster_options).await?;
    let zone = cluster.spec().zones[0];
    let addresses = cluster.operators_addresses();
    let bytes_before = fetch_control_bytes(&addresses).await;
    let sampler = Sampler::start(Arc::clone(&cluster.engines));
    let caller = Caller::new(options.caller_options());
    let start = Instant::now();
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let background = future::zip(
        drain_zone(&cluster, zone, &options),
        show_progress(&options),
    );
    let (load, _) = future::zip(load, background).await;
    let bytes_after = fetch_control_bytes(&addresses).await;
    let seconds = start.elapsed().as_secs_f64();
    let samples = sampler.stop().await;
    let skew = Skew::new(&samples, cluster.options.load_multiple);
    let figures = DemoFigures {
        requests: load.requests,
        completed: load.completed,
        refused: load.refused,
        lost: load.lost + cluster.misreported_bookings(&load.bookings),
        doubled_bookings: cluster.doubled_bookings(),
        truncated: load.truncated,
        cross_delivered: load.cross_delivered,
        cache_reuse_ratio: cluster
            .engines
            .prompt_count()
            .reuse_ratio_since(PromptCount::default()),
        max_over_mean_load: skew.max_over_mean,
        control_bytes_per_s: max_rate_per_s(&bytes_before, &bytes_after, seconds).unwrap_or(0.0),
        first_token_ms_p95: load.first_token_ms(0.95, |_| true).unwrap_or(0.0),
        refused_by_code: load.refused_by_code.clone(),
        lost_by_reason: load.lost_by_reason.clone(),
    };
    let text = table::render(
        &cluster,
        &figures,
        &load,
        &samples,
        &timeline_events(&options, zone),
    );
    cluster.stop().await;
    Ok(Demo { figures, text })
}

async fn drain_zone(cluster: &Cluster, zone: &str, options: &MeasureOptions) {
    let start = Instant::now();
    Timer::at(start + options.duration_fraction(ZONE_OUT_AT)).await;
    cluster.set_zone_in_service(zone, false);
    Timer::at(start + options.duration_fraction(ZONE_IN_AT)).await;
    cluster.set_zone_in_service(zone, true);
}

/// Returns the zone changes with their seconds, for the timeline.
fn timeline_events(options: &MeasureOptions, zone: &str) -> Vec<(f64, String)> {
    vec![
        (
            options.duration_fraction(ZONE_OUT_AT).as_secs_f64(),
            format!("{zone} out"),
        ),
        (
            options.duration_fraction(ZONE_IN_AT).as_secs_f64(),
            format!("{zone} in"),
        ),
    ]
}

/// Shows the elapsed seconds if stderr is a terminal.
async fn show_progress(options: &MeasureOptions) {
    let mut terminal = std::io::stderr();
    if !terminal.is_terminal() {
        return;
    }
    for second in 0..=options.seconds {
        // A closed terminal must not end the run.
        let _ = write!(terminal, "\rrunning: {second} of {} s ", options.seconds);
        Timer::after(Duration::from_secs(1)).await;
    }
    let _ = writeln!(terminal);
}

/// Returns the second in which a sample was taken.
fn second_index(sample: &LoadSample) -> u64 {
    sample.at_ms / 1_000
}
