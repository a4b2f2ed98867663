//! Bytes of control traffic per daemon, in a calm fleet and during churn.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use celeryknot_standins::load::run_load;
use celeryknot_standins::{Caller, LoadPlan};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use super::churn;
use crate::cluster::{Cluster, ClusterOptions};
use crate::options::MeasureOptions;
use crate::report::Report;
use crate::scrape::{fetch_control_bytes, fetch_control_bytes_by_kind, max_rate_per_s};

const NAME: &str = "control-traffic";

#[derive(Debug, Serialize)]
struct Figures {
    calm_bytes_per_s_max: f64,
    churn_bytes_per_s_max: f64,
    /// Mean over the daemons.
    calm_bytes_per_s_by_kind: BTreeMap<String, f64>,
    daemons: usize,
    completed: u64,
    refused: u64,
    lost: u64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let plan = LoadPlan::draw(options.load_options());
    let mut cluster =
        Cluster::start_settled(ClusterOptions::new(options.deployment, options.seed)).await?;
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let rates = async {
        let addresses = cluster.operators_addresses();
        let (before, start) = (
            fetch_control_bytes_by_kind(&addresses).await,
            Instant::now(),
        );
        let calm = measure_rate(&mut cluster, options, false).await?;
        let after = fetch_control_bytes_by_kind(&addresses).await;
        let daemon_seconds = addresses.len() as f64 * start.elapsed().as_secs_f64();
        let by_kind = rates_by_kind(&before, &after, daemon_seconds);
        let churn = measure_rate(&mut cluster, options, true).await?;
        Ok::<_, eyre::Report>((calm, churn, by_kind))
    };
    let (load, rates) = future::zip(load, rates).await;
    let (calm, churn, by_kind) = rates?;
    let figures = Figures {
        calm_bytes_per_s_max: calm,
        churn_bytes_per_s_max: churn,
        calm_bytes_per_s_by_kind: by_kind,
        daemons: cluster.daemon_count(),
        completed: load.completed,
        refused: load.refused,
        lost: load.lost,
        refused_by_code: load.refused_by_code,
        lost_by_reason: load.lost_by_reason,
    };
    cluster.stop().await;
    Ok(Report::new(NAME, &figures)
        .with_verdict("counted at all", figures.calm_bytes_per_s_max > 0.0)
        .with_verdict(
            "under 2 KB/s in calm and in churn",
            figures.calm_bytes_per_s_max.max(churn) < 2_000.0,
        ))
}

fn rates_by_kind(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    daemon_seconds: f64,
) -> BTreeMap<String, f64> {
    let rate = |(kind, bytes): (&String, &u64)| {
        let before = before.get(kind).copied().unwrap_or(0);
        let rate = bytes.saturating_sub(before) as f64 / daemon_seconds;
        (kind.clone(), rate)
    };
    after.iter().map(rate).collect()
}

async fn measure_rate(
    cluster: &mut Cluster,
    options: &MeasureOptions,
    has_churn: bool,
) -> eyre::Result<f64> {
    let addresses = cluster.operators_addresses();
    let before = fetch_control_bytes(&addresses).await;
    let start = Instant::now();
    let duration = options.duration_fraction(0.45);
    if has_churn {
        churn::run(cluster, options.seed, duration).await?;
    }
    Timer::at(start + duration).await;
    let after = fetch_control_bytes(&addresses).await;
    let seconds = start.elapsed().as_secs_f64();
    Ok(max_rate_per_s(&before, &after, seconds).unwrap_or(0.0))
}
