//! Largest load of an engine relative to the mean, with surging customers and delayed load reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryknot_core::DurationMs;
use celeryknot_standins::load::{Surge, run_load};
use celeryknot_standins::{Caller, LoadPlan, LoadReport};
use serde::Serialize;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::{FIRST_TOKEN_TARGET_MS, MeasureOptions};
use crate::plot::{Plot, Series};
use crate::report::Report;
use crate::sampler::{LoadSample, Sampler, Skew};

const NAME: &str = "skew";
const SURGE_MULTIPLE: f64 = 6.0;
/// Minimum share of requests whose first token arrives on time.
const ON_TIME_SHARE_MIN: f64 = 0.95;

#[derive(Debug, Serialize)]
struct Figures {
    max_over_mean: f64,
    set_multiple: f64,
    mean_in_flight: f64,
    share_above: f64,
    excess_max: f64,
    first_token_ms_p95: f64,
    on_time_share: f64,
    samples: usize,
    completed: u64,
    refused: u64,
    lost: u64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let surge = |customer, from, to| Surge {
        customer,
        from_ms: DurationMs::from(options.duration_fraction(from)),
        to_ms: DurationMs::from(options.duration_fraction(to)),
        multiple: SURGE_MULTIPLE,
    };
    let surges = vec![surge(3, 0.2, 0.5), surge(4, 0.4, 0.7)];
    let plan = LoadPlan::draw(options.chat_load_options().surges(surges));
    let cluster =
        Cluster::start_settled(ClusterOptions::new(options.deployment, options.seed)).await?;
    let multiple = cluster.options.load_multiple;
    let sampler = Sampler::start(Arc::clone(&cluster.engines));
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer)).await;
    let mut samples = sampler.stop().await;
    // When the offered load ends, requests only complete, and no placement can balance the rest.
    samples.retain(|sample| u128::from(sample.at_ms) < options.duration_fraction(1.0).as_millis());
    cluster.stop().await;
    let skew = Skew::new(&samples, multiple);
    let figures = Figures {
        max_over_mean: skew.max_over_mean,
        set_multiple: multiple,
        mean_in_flight: skew.mean_in_flight,
        share_above: skew.share_above,
        excess_max: skew.excess_max,
        first_token_ms_p95: load.first_token_ms(0.95, |_| true).unwrap_or(0.0),
        on_time_share: on_time_share(&load),
        samples: samples.len(),
        completed: load.completed,
        refused: load.refused,
        lost: load.lost,
        refused_by_code: load.refused_by_code,
        lost_by_reason: load.lost_by_reason,
    };
    Ok(Report::new(NAME, &figures)
        .with_verdict(
            "never above the set multiple and one request",
            skew.share_above == 0.0,
        )
        .with_verdict(
            "the load is carried: 0.95 of the first tokens within 2 s",
            figures.on_time_share >= ON_TIME_SHARE_MIN,
        )
        .with_plot(plot(&samples, multiple)))
}

/// Returns the share of all requests whose first token arrives on time.
fn on_time_share(load: &LoadReport) -> f64 {
    let first_tokens = load
        .samples
        .iter()
        .filter_map(|sample| sample.first_token_ms);
    let on_time = first_tokens
        .filter(|ms| *ms as f64 <= FIRST_TOKEN_TARGET_MS)
        .count();
    on_time as f64 / load.samples.len().max(1) as f64
}

fn plot(samples: &[LoadSample], multiple: f64) -> Plot {
    let series = |name: &str, value: &dyn Fn(&LoadSample) -> f64| Series {
        name: name.to_owned(),
        points: samples
            .iter()
            .map(|sample| (sample.at_ms as f64 / 1_000.0, value(sample)))
            .collect(),
    };
    Plot {
        title: "Requests in flight at the engines".to_owned(),
        x_label: "seconds".to_owned(),
        y_label: "requests in flight".to_owned(),
        series: vec![
            series("most loaded engine", &LoadSample::max),
            series("mean", &LoadSample::mean),
            series("bound and one request", &|sample| {
                multiple * sample.mean() + 1.0
            }),
        ],
    }
}
