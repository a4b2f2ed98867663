//! Concurrency at engines in cold start, including engines that become cold without notice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use celeryknot_standins::load::run_load;
use celeryknot_standins::wire::EndpointMode;
use celeryknot_standins::{Caller, LoadPlan};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::MeasureOptions;
use crate::report::Report;

const NAME: &str = "cold-start";
/// Duration of a cold start.
const COLD_DURATION: Duration = Duration::from_millis(1_500);
/// Time from one cold start to the next, unless the engine is restarted.
const COLD_START_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize)]
struct Figures {
    peak_in_flight: u32,
    bound_in_flight: u32,
    cold_starts: u64,
    work_while_cold: bool,
    overwhelmed: u64,
    completed: u64,
    refused: u64,
    lost: u64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let plan = LoadPlan::draw(options.chat_load_options());
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    // All engines start cold, as after a failure of the whole service.
    cluster_options.engine = cluster_options
        .engine
        .cold_ms(DurationMs::from(COLD_DURATION));
    let bound_in_flight = cluster_options.engine.cold_bound;
    let cluster = Cluster::start(cluster_options).await?;
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let cold_start_runs = run_cold_starts(&cluster, options);
    let (load, cold_starts) = future::zip(load, cold_start_runs).await;
    let cold_starts = cold_starts?;
    let counters: Vec<_> = cluster.engines.counters().into_iter().flatten().collect();
    let cold_peak = |counters: &celeryknot_standins::EndpointCounters| counters.peak_in_flight_cold;
    let figures = Figures {
        peak_in_flight: counters.iter().map(cold_peak).max().unwrap_or(0),
        bound_in_flight,
        cold_starts,
        work_while_cold: counters
            .iter()
            .any(|counters| counters.peak_in_flight_cold > 0),
        overwhelmed: counters.iter().map(|counters| counters.overwhelmed).sum(),
        completed: load.completed,
        refused: load.refused,
        lost: load.lost + load.truncated,
        refused_by_code: load.refused_by_code,
        lost_by_reason: load.lost_by_reason,
    };
    cluster.stop().await;
    let is_bounded = figures.peak_in_flight <= bound_in_flight;
    Ok(Report::new(NAME, &figures)
        .with_verdict("never above what a cold engine can bear", is_bounded)
        .with_verdict("cold engines got work at all", figures.work_while_cold))
}

/// Makes one engine after the other cold without notice, and restarts every third one instead.
/// Returns the number of cold starts.
async fn run_cold_starts(cluster: &Cluster, options: &MeasureOptions) -> eyre::Result<u64> {
    let deadline = Instant::now() + options.duration();
    let count = cluster.engines.slots().len();
    let mut cold_starts = count as u64;
    let mut round = 0;
    Timer::after(COLD_DURATION).await;
    while Instant::now() + COLD_START_INTERVAL < deadline {
        let index = round % count;
        round += 1;
        cold_starts += 1;
        if round % 3 == 0 {
            cluster.remove_engine(index, Duration::from_secs(1)).await;
            cluster.restart_engine(index, DurationMs::from(COLD_DURATION))?;
            continue;
        }
        cluster.engines.set_mode(index, cold_mode(true));
        Timer::after(COLD_DURATION).await;
        cluster.engines.set_mode(index, cold_mode(false));
        Timer::after(COLD_START_INTERVAL - COLD_DURATION).await;
    }
    Ok(cold_starts)
}

fn cold_mode(is_cold: bool) -> EndpointMode {
    EndpointMode {
        cold: Some(is_cold),
        ..EndpointMode::default()
    }
}
