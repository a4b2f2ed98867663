//! Tests of the baseline placements.

use std::sync::Arc;

use celeryknot_core::DurationMs;
use celeryknot_measure::Deployment;
use celeryknot_measure::baseline::{Baseline, BaselineStrategy};
use celeryknot_measure::cluster::{Cluster, ClusterOptions, PromptCount};
use celeryknot_standins::load::run_load;
use celeryknot_standins::{Caller, LoadOptions, LoadPlan, LoadReport};

const SEED: u64 = 5;

/// Runs a short load of chats with short think times against one strategy.
async fn run(strategy: BaselineStrategy) -> (LoadReport, f64) {
    let mut options = ClusterOptions::new(Deployment::KinrinWakai, SEED);
    options.daemons = 0;
    options.engine = options.engine.decode_base_ms(2.0);
    let cluster = Cluster::start(options.clone())
        .await
        .expect("the cluster starts");
    let spec = cluster.spec();
    let load = LoadOptions::default()
        .chats_per_s(40.0)
        .bookings_per_s(0.0)
        .reads_per_s(0.0)
        .length_ms(DurationMs(6_000))
        .think_time_ms(DurationMs(1_300))
        .model(spec.model.to_owned())
        .customers(spec.customer_shares())
        .seed(SEED);
    let engines = Arc::clone(&cluster.engines);
    let baseline = Baseline::new(strategy, spec, engines, &options, 3);
    let plan = Arc::new(LoadPlan::draw(load));
    let report = run_load(plan, Caller::default(), Arc::new(baseline)).await;
    let count = cluster.engines.prompt_count();
    cluster.stop().await;
    (report, count.reuse_ratio_since(PromptCount::default()))
}

#[test]
fn placement_by_chat_reuses_more_cache_than_random_placement() {
    smol::block_on(async {
        let (random, random_reuse) = run(BaselineStrategy::Random).await;
        let (hash, hash_reuse) = run(BaselineStrategy::ConsistentHash).await;
        let (oracle, oracle_reuse) = run(BaselineStrategy::Oracle).await;
        for report in [&random, &hash, &oracle] {
            assert_eq!(report.completed, report.requests, "{report:?}");
        }
        assert!(
            hash_reuse > random_reuse * 2.0,
            "{hash_reuse} {random_reuse}"
        );
        assert!(
            oracle_reuse > random_reuse * 2.0,
            "{oracle_reuse} {random_reuse}"
        );
    });
}
