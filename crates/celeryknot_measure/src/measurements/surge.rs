//! One customer at 20 times its share of the load, and the effect on the others.

use std::sync::Arc;

use celeryknot_core::DurationMs;
use celeryknot_standins::load::{OutcomeKind, Sample, Surge, run_load};
use celeryknot_standins::{Caller, LoadOptions, LoadPlan, LoadReport};
use serde::Serialize;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::{FIRST_TOKEN_TARGET_MS, MeasureOptions};
use crate::report::Report;

const NAME: &str = "surge";
const SURGE_MULTIPLE: f64 = 20.0;
/// Index of the surging customer, one of the small ones.
const SURGING_CUSTOMER: usize = 3;
/// Fraction of the run after which the surge starts.
const SURGE_START: f64 = 0.25;
/// Largest batch of an engine; small, so that the surge exceeds the engines' capacity.
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
        customer: SURGING_CUSTOMER,
        from_ms: DurationMs::from(options.duration_fraction(SURGE_START)),
        to_ms: DurationMs::from(options.duration()),
        multiple: SURGE_MULTIPLE,
    };
    let with_surge = run(options, options.chat_load_options().surges(vec![surge])).await?;
    let from_ms = options.duration_fraction(SURGE_START).as_millis() as u64;
    let is_quiet = |sample: &Sample| sample.customer != SURGING_CUSTOMER && sample.at_ms >= from_ms;
    let is_surging =
        |sample: &Sample| sample.customer == SURGING_CUSTOMER && sample.at_ms >= from_ms;
    let p95 = |load: &LoadReport| load.first_token_ms(0.95, is_quiet).unwrap_or(0.0);
    let count = |load: &LoadReport, end: OutcomeKind, filter: &dyn Fn(&Sample) -> bool| {
        let matching = load.samples.iter().filter(|sample| filter(sample));
        matching.filter(|sample| sample.end == end).count()
    };
    let figures = Figures {
        quiet_p95_ratio: p95(&with_surge) / p95(&calm).max(1.0),
        quiet_p95_ms_calm: p95(&calm),
        quiet_p95_ms_surge: p95(&with_surge),
        quiet_refused_calm: count(&calm, OutcomeKind::Refused, &is_quiet),
        quiet_refused_surge: count(&with_surge, OutcomeKind::Refused, &is_quiet),
        surging_requests: with_surge
            .samples
            .iter()
            .filter(|sample| is_surging(sample))
            .count(),
        surging_completed: count(&with_surge, OutcomeKind::Completed, &is_surging),
        surging_refused: count(&with_surge, OutcomeKind::Refused, &is_surging),
        lost: calm.lost + with_surge.lost,
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
            figures.quiet_p95_ms_calm <= FIRST_TOKEN_TARGET_MS,
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
