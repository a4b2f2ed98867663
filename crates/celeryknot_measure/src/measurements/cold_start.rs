//! Work at engines in cold start, also at such as turn cold with no notice.

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
const COLD: Duration = Duration::from_millis(1_500);
const INTERVAL: Duration = Duration::from_secs(2);

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
    // All engines begin cold, as after a failure of the whole service.
    cluster_options.engine = cluster_options.engine.cold_ms(DurationMs::from(COLD));
    let bound_in_flight = cluster_options.engine.cold_bound;
    let cluster = Cluster::start(cluster_options).await?;
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let colds = turn_cold_in_turn(&cluster, options);
    let (load, cold_starts) = future::zip(load, colds).await;
    let cold_starts = cold_starts?;
    let seen: Vec<_> = cluster.engines.seen().into_iter().flatten().collect();
    let peak = |seen: &celeryknot_standins::Seen| seen.peak_in_flight_cold;
    let figures = Figures {
        peak_in_flight: seen.iter().map(peak).max().unwrap_or(0),
        bound_in_flight,
        cold_starts,
        work_while_cold: seen.iter().any(|seen| seen.peak_in_flight_cold > 0),
        overwhelmed: seen.iter().map(|seen| seen.overwhelmed).sum(),
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

/// Turns one engine after the other cold with no notice, and replaces every third one.
async fn turn_cold_in_turn(cluster: &Cluster, options: &MeasureOptions) -> eyre::Result<u64> {
    let end = Instant::now() + options.length();
    let count = cluster.engines.slots().len();
    let mut cold_starts = count as u64;
    let mut turn = 0;
    Timer::after(COLD).await;
    while Instant::now() + INTERVAL < end {
        let index = turn % count;
        turn += 1;
        cold_starts += 1;
        if turn % 3 == 0 {
            cluster.remove_engine(index, Duration::from_secs(1)).await;
            cluster.add_engine(index, DurationMs::from(COLD))?;
            continue;
        }
        cluster.engines.set_mode(index, cold(true));
        Timer::after(COLD).await;
        cluster.engines.set_mode(index, cold(false));
        Timer::after(INTERVAL - COLD).await;
    }
    Ok(cold_starts)
}

fn cold(is_cold: bool) -> EndpointMode {
    EndpointMode {
        cold: Some(is_cold),
        ..EndpointMode::default()
    }
}
