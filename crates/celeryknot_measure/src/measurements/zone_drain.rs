//! Drain of a zone under load, and its return to service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_standins::load::{Sample, run_load};
use celeryknot_standins::{Caller, LoadPlan, LoadReport};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::{FIRST_TOKEN_TARGET_MS, MeasureOptions};
use crate::plot::{Plot, Series};
use crate::report::Report;
use crate::sampler::{LoadSample, Sampler, Skew};

const NAME: &str = "zone-drain";
/// Fraction of the run after which the zone goes out of service.
const ZONE_OUT_AT: f64 = 0.35;
/// Fraction of the run after which the zone returns to service.
const ZONE_IN_AT: f64 = 0.7;

#[derive(Debug, Serialize)]
struct Figures {
    zone: &'static str,
    last_new_work_ms: u64,
    lost: u64,
    refused: u64,
    doubled_bookings: u64,
    truncated: u64,
    completed: u64,
    first_token_ms_p95_before: f64,
    first_token_ms_p95_during: f64,
    first_token_ms_p95_after: f64,
    max_over_mean: f64,
    share_above: f64,
    returned_share: f64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let plan = LoadPlan::draw(options.load_options());
    let cluster =
        Cluster::start_settled(ClusterOptions::new(options.deployment, options.seed)).await?;
    let zone = cluster.spec().zones[0];
    let sampler = Sampler::start(Arc::clone(&cluster.engines));
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let (load, last_new_work) = future::zip(load, drain_zone(&cluster, zone, options)).await;
    let samples = sampler.stop().await;
    let skew = Skew::new(&samples, cluster.options.load_multiple);
    let figures = Figures {
        zone,
        last_new_work_ms: last_new_work.as_millis() as u64,
        lost: load.lost + cluster.misreported_bookings(&load.bookings),
        refused: load.refused,
        doubled_bookings: cluster.doubled_bookings(),
        truncated: load.truncated,
        completed: load.completed,
        first_token_ms_p95_before: first_token_p95_ms(&load, options, 0.1, ZONE_OUT_AT),
        first_token_ms_p95_during: first_token_p95_ms(&load, options, ZONE_OUT_AT, ZONE_IN_AT),
        first_token_ms_p95_after: first_token_p95_ms(&load, options, ZONE_IN_AT, 1.0),
        max_over_mean: skew.max_over_mean,
        share_above: skew.share_above,
        returned_share: returned_share(&cluster, &samples, zone),
        refused_by_code: load.refused_by_code.clone(),
        lost_by_reason: load.lost_by_reason.clone(),
    };
    cluster.stop().await;
    let slowdown = figures.first_token_ms_p95_during / figures.first_token_ms_p95_before.max(1.0);
    Ok(Report::new(NAME, &figures)
        .with_verdict("0 lost", figures.lost == 0 && figures.truncated == 0)
        .with_verdict(
            "last new work within 2 s",
            figures.last_new_work_ms <= 2_000,
        )
        .with_verdict(
            &format!("p95 during at most 1.5 times before ({slowdown:.2})"),
            slowdown <= 1.5,
        )
        .with_verdict(
            "the load is carried: p95 before within 2 s",
            figures.first_token_ms_p95_before <= FIRST_TOKEN_TARGET_MS,
        )
        .with_plot(plot(&load)))
}

/// Takes the zone out of service and back, and returns the time from taking it out to the last new
/// request there.
async fn drain_zone(cluster: &Cluster, zone: &str, options: &MeasureOptions) -> Duration {
    let start = Instant::now();
    Timer::at(start + options.duration_fraction(ZONE_OUT_AT)).await;
    let out_at = Instant::now();
    cluster.set_zone_in_service(zone, false);
    Timer::at(start + options.duration_fraction(ZONE_IN_AT)).await;
    let last = find_last_new_work(cluster, zone);
    cluster.set_zone_in_service(zone, true);
    last.map_or(Duration::ZERO, |at| at.saturating_duration_since(out_at))
}

fn find_last_new_work(cluster: &Cluster, zone: &str) -> Option<Instant> {
    let is_in_zone: Vec<bool> = cluster
        .engines
        .slots()
        .iter()
        .map(|slot| slot.zone == zone)
        .collect();
    let at_engines = cluster
        .engines
        .counters()
        .into_iter()
        .zip(is_in_zone)
        .filter(|(_, is_included)| *is_included)
        .flat_map(|(counters, _)| counters)
        .filter_map(|counters| counters.last_new_work);
    let at_services = cluster
        .services
        .iter()
        .filter(|slot| slot.zone == zone)
        .filter_map(|slot| slot.service.counters().last_new_work);
    at_engines.chain(at_services).max()
}

fn first_token_p95_ms(load: &LoadReport, options: &MeasureOptions, from: f64, to: f64) -> f64 {
    let from_ms = options.duration_fraction(from).as_millis() as u64;
    let to_ms = options.duration_fraction(to).as_millis() as u64;
    let in_range = |sample: &Sample| (from_ms..to_ms).contains(&sample.at_ms);
    load.first_token_ms(0.95, in_range).unwrap_or(0.0)
}

/// Returns the zone's share of the load in the last tenth of the samples, relative to its share of
/// the engines.
fn returned_share(cluster: &Cluster, samples: &[LoadSample], zone: &str) -> f64 {
    let is_in_zone: Vec<bool> = cluster
        .engines
        .slots()
        .iter()
        .map(|slot| slot.zone == zone)
        .collect();
    let last_samples = &samples[samples.len() * 9 / 10..];
    let (mut zone_total, mut total) = (0.0, 0.0);
    for sample in last_samples {
        for (engine, is_inside) in sample.engines.iter().zip(&is_in_zone) {
            total += f64::from(engine.in_flight);
            if *is_inside {
                zone_total += f64::from(engine.in_flight);
            }
        }
    }
    let engine_share =
        is_in_zone.iter().filter(|inside| **inside).count() as f64 / is_in_zone.len().max(1) as f64;
    zone_total / f64::max(total, 1.0) / engine_share.max(1e-9)
}

fn plot(load: &LoadReport) -> Plot {
    let mut points: Vec<(f64, f64)> = load
        .samples
        .iter()
        .filter_map(|sample| Some((sample.at_ms as f64 / 1_000.0, sample.first_token_ms? as f64)))
        .collect();
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    Plot {
        title: "Time to the first token while a zone is out".to_owned(),
        x_label: "seconds".to_owned(),
        y_label: "milliseconds".to_owned(),
        series: vec![Series {
            name: "first token".to_owned(),
            points,
        }],
    }
}
