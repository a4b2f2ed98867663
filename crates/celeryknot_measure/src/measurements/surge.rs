//! One customer at 20 times its share, and what the others feel of it.

use std::sync::Arc;

use celeryknot_core::DurationMs;
use celeryknot_standins::load::{EndKind, Sample, Surge, run_load};
use celeryknot_standins::{Caller, LoadOptions, LoadPlan, LoadReport};
use serde::Serialize;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::{CARRIED_MS, MeasureOptions};
use crate::report::Report;

const NAME: &str = "surge";
const SURGE_MULTIPLE: f64 = 20.0;
/// One of the small customers.
const SURGING: usize = 3;
const FROM: f64 = 0.25;
/// Small batches, so that the surge is more than the engines can carry.
const BATCH_MAX: u32 = 8;

#[derive(Debug, Serialize)]
struct Figures {
    quiet_p95_ratio: f64,
    quiet_p95_ms_calm: f64,
    quiet_p95_ms_surge: f64,
    quiet_refused_calm: usize,
    quiet_refused_surge: usize,
    surging_requests: usize,
    surging_completed: usize,
    surging_refused: usize,
    lost: u64,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let calm = run(options, options.chat_load_options()).await?;
    let surge = Surge {
        customer: SURGING,
        from_ms: DurationMs::from(options.part(FROM)),
        to_ms: DurationMs::from(options.length()),
        multiple: SURGE_MULTIPLE,
    };
    let surged = run(options, options.chat_load_options().surges(vec![surge])).await?;
    let from_ms = options.part(FROM).as_millis() as u64;
    let is_quiet = |sample: &Sample| sample.customer != SURGING && sample.at_ms >= from_ms;
    let is_surging = |sample: &Sample| sample.customer == SURGING && sample.at_ms >= from_ms;
    let p95 = |load: &LoadReport| load.first_token_ms(0.95, is_quiet).unwrap_or(0.0);
    let count = |load: &LoadReport, end: EndKind, keep: &dyn Fn(&Sample) -> bool| {
        let matching = load.samples.iter().filter(|sample| keep(sample));
        matching.filter(|sample| sample.end == end).count()
    };
    let figures = Figures {
        quiet_p95_ratio: p95(&surged) / p95(&calm).max(1.0),
        quiet_p95_ms_calm: p95(&calm),
        quiet_p95_ms_surge: p95(&surged),
        quiet_refused_calm: count(&calm, EndKind::Refused, &is_quiet),
        quiet_refused_surge: count(&surged, EndKind::Refused, &is_quiet),
        surging_requests: surged.samples.iter().filter(|s| is_surging(s)).count(),
        surging_completed: count(&surged, EndKind::Completed, &is_surging),
        surging_refused: count(&surged, EndKind::Refused, &is_surging),
        lost: calm.lost + surged.lost,
    };
    Ok(Report::new(NAME, &figures)
        .with_verdict(
            "p95 of the quiet customers at most 1.2 times that without the surge",
            figures.quiet_p95_ratio <= 1.2,
        )
        .with_verdict(
            "quiet customers are refused no more often than without the surge",
            figures.quiet_refused_surge <= figures.quiet_refused_calm,
        )
        .with_verdict(
            "the load is carried: p95 without the surge within 2 s",
            figures.quiet_p95_ms_calm <= CARRIED_MS,
        ))
}

async fn run(options: &MeasureOptions, load: LoadOptions) -> eyre::Result<LoadReport> {
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.engine = cluster_options.engine.batch_max(BATCH_MAX);
    let cluster = Cluster::start_settled(cluster_options).await?;
    let caller = Caller::new(options.caller_options());
    let plan = Arc::new(LoadPlan::draw(load));
    let report = run_load(plan, caller, Arc::clone(&cluster.balancer)).await;
    cluster.stop().await;
    Ok(report)
}
