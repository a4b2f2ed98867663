//! Cache hit ratio of prompt tokens during churn, compared with other placements.

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryknot_standins::load::{Placement, run_load};
use celeryknot_standins::{Caller, LoadPlan, LoadReport};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;
use strum::IntoEnumIterator;

use super::churn;
use crate::baseline::{Baseline, BaselineStrategy};
use crate::cluster::{Cluster, ClusterOptions};
use crate::options::{FIRST_TOKEN_TARGET_MS, MeasureOptions};
use crate::report::Report;
use crate::sampler::{Sampler, Skew};

const NAME: &str = "cache-reuse";
/// Name of the row of the router itself.
const ROUTER_NAME: &str = "celeryknot";
/// Fraction of a run that fills the caches and is not counted.
const WARM_UP_FRACTION: f64 = 0.3;

#[derive(Debug, Clone, Serialize)]
struct Row {
    name: &'static str,
    reuse_ratio: f64,
    max_over_mean: f64,
    share_above: f64,
    first_token_ms_p95: f64,
    completed: u64,
    refused: u64,
    lost: u64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct Figures {
    set_multiple: f64,
    alternatives: Vec<Row>,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let cluster_options = ClusterOptions::new(options.deployment, options.seed);
    let multiple = cluster_options.load_multiple;
    let plan = Arc::new(LoadPlan::draw(options.chat_load_options()));
    let mut rows = vec![run_router(options, &cluster_options, &plan).await?];
    for strategy in BaselineStrategy::iter() {
        rows.push(run_baseline(options, &cluster_options, &plan, strategy).await?);
    }
    let reuse_ratio = |name: &str| {
        rows.iter()
            .find(|row| row.name == name)
            .map_or(0.0, |row| row.reuse_ratio)
    };
    let router_ratio = reuse_ratio(ROUTER_NAME);
    let oracle_ratio = router_ratio / reuse_ratio(BaselineStrategy::Oracle.into()).max(1e-9);
    let random_multiple = router_ratio / reuse_ratio(BaselineStrategy::Random.into()).max(1e-9);
    let beats_consistent_hash = router_ratio > reuse_ratio(BaselineStrategy::ConsistentHash.into());
    let is_bounded = rows[0].share_above == 0.0;
    let is_on_time = rows[0].first_token_ms_p95 <= FIRST_TOKEN_TARGET_MS;
    let report = Report::new(
        NAME,
        &Figures {
            set_multiple: multiple,
            alternatives: rows,
        },
    );
    Ok(report
        .with_verdict(
            &format!("at least 0.95 of the oracle ({oracle_ratio:.3})"),
            oracle_ratio >= 0.95,
        )
        .with_verdict(
            &format!("at least 3 times random ({random_multiple:.2})"),
            random_multiple >= 3.0,
        )
        .with_verdict("ahead of consistent-hash", beats_consistent_hash)
        .with_verdict("within the load bound and one request", is_bounded)
        .with_verdict("the load is carried: p95 within 2 s", is_on_time))
}

async fn run_router(
    options: &MeasureOptions,
    cluster_options: &ClusterOptions,
    plan: &Arc<LoadPlan>,
) -> eyre::Result<Row> {
    let cluster = Cluster::start_settled(cluster_options.clone()).await?;
    let balancer = Arc::clone(&cluster.balancer);
    run_placement(ROUTER_NAME, options, cluster, plan, balancer).await
}

async fn run_baseline(
    options: &MeasureOptions,
    cluster_options: &ClusterOptions,
    plan: &Arc<LoadPlan>,
    strategy: BaselineStrategy,
) -> eyre::Result<Row> {
    let routers = cluster_options.daemons;
    let own_options = ClusterOptions {
        daemons: 0,
        ..cluster_options.clone()
    };
    let cluster = Cluster::start_settled(own_options).await?;
    let placement = Arc::new(Baseline::new(
        strategy,
        cluster.spec(),
        Arc::clone(&cluster.engines),
        cluster_options,
        routers,
    ));
    run_placement(strategy.into(), options, cluster, plan, placement).await
}

async fn run_placement<P: Placement>(
    name: &'static str,
    options: &MeasureOptions,
    mut cluster: Cluster,
    plan: &Arc<LoadPlan>,
    placement: Arc<P>,
) -> eyre::Result<Row> {
    let multiple = cluster.options.load_multiple;
    let sampler = Sampler::start(Arc::clone(&cluster.engines));
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::clone(plan), caller, placement);
    let engines = Arc::clone(&cluster.engines);
    let warm_up = async {
        Timer::after(options.duration_fraction(WARM_UP_FRACTION)).await;
        engines.prompt_count()
    };
    let churn = churn::run(&mut cluster, options.seed, options.duration());
    let (load, (before, churn_result)) = future::zip(load, future::zip(warm_up, churn)).await;
    let load: LoadReport = load;
    churn_result?;
    let skew = Skew::new(&sampler.stop().await, multiple);
    let row = Row {
        name,
        reuse_ratio: cluster.engines.prompt_count().reuse_ratio_since(before),
        max_over_mean: skew.max_over_mean,
        share_above: skew.share_above,
        first_token_ms_p95: load.first_token_ms(0.95, |_| true).unwrap_or(0.0),
        completed: load.completed,
        refused: load.refused,
        lost: load.lost + load.truncated,
        refused_by_code: load.refused_by_code,
        lost_by_reason: load.lost_by_reason,
    };
    cluster.stop().await;
    Ok(row)
}
