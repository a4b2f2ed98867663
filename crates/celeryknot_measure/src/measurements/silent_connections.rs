//! Share of requests on time after all open connections stop delivering data, compared with a run
//! without this fault.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_core::Execution;
use celeryknot_standins::load::{OutcomeKind, Sample, run_load};
use celeryknot_standins::{Caller, Fault, LoadPlan, LoadReport};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::MeasureOptions;
use crate::report::Report;

const NAME: &str = "silent-connections";
/// Fraction of the run after which the open connections go silent.
const SILENCE_START: f64 = 0.3;
/// Time from the start of the silence in which calls count.
const ON_TIME_WINDOW: Duration = Duration::from_secs(10);
/// Multiple of the 99th percentile of the calm run within which a call is on time.
const ON_TIME_MULTIPLE: u64 = 2;
/// Minimum time within which a call is on time.
const ON_TIME_MIN_MS: u64 = 2_000;

#[derive(Debug, Serialize)]
struct Figures {
    on_time_ms: u64,
    reads_on_time_share_calm: f64,
    reads_on_time_share: f64,
    chats_on_time_share_calm: f64,
    chats_on_time_share: f64,
    bookings_unknown: usize,
    doubled_bookings: u64,
    truncated: u64,
    lost: u64,
    refused: u64,
    refused_by_code: BTreeMap<String, u64>,
    lost_by_reason: BTreeMap<String, u64>,
}

struct RunResult {
    load: LoadReport,
    doubled_bookings: u64,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let calm = run(options, false).await?;
    let silent = run(options, true).await?;
    let calm_p99_ms = calm.load.histogram_ms().value_at_quantile(0.99);
    let on_time_ms = (calm_p99_ms * ON_TIME_MULTIPLE).max(ON_TIME_MIN_MS);
    let share = |load: &LoadReport, is_chat| on_time_share(load, options, is_chat, on_time_ms);
    let is_unknown = |execution: Option<Execution>| execution == Some(Execution::Unknown);
    let bookings = silent.load.bookings.iter();
    let figures = Figures {
        on_time_ms,
        reads_on_time_share_calm: share(&calm.load, false),
        reads_on_time_share: share(&silent.load, false),
        chats_on_time_share_calm: share(&calm.load, true),
        chats_on_time_share: share(&silent.load, true),
        bookings_unknown: bookings.filter(|end| is_unknown(end.execution)).count(),
        doubled_bookings: silent.doubled_bookings,
        truncated: silent.load.truncated,
        lost: silent.load.lost,
        refused: silent.load.refused,
        refused_by_code: silent.load.refused_by_code,
        lost_by_reason: silent.load.lost_by_reason,
    };
    Ok(Report::new(NAME, &figures)
        .with_verdict(
            "at least 99 % of the calls of plain services on time",
            figures.reads_on_time_share >= 0.99,
        )
        .with_verdict("0 doubled bookings", figures.doubled_bookings == 0)
        .with_verdict(
            "0 bookings with an unknown outcome",
            figures.bookings_unknown == 0,
        )
        .with_verdict(
            "0 lost or truncated",
            figures.lost == 0 && figures.truncated == 0,
        ))
}

async fn run(options: &MeasureOptions, drops_silently: bool) -> eyre::Result<RunResult> {
    let load_options = options.load_options();
    let reads_per_s = load_options.reads_per_s * 5.0;
    let plan = LoadPlan::draw(load_options.reads_per_s(reads_per_s));
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.has_proxies = true;
    let cluster = Cluster::start_settled(cluster_options).await?;
    let caller = Caller::new(options.caller_options());
    let load = run_load(Arc::new(plan), caller, Arc::clone(&cluster.balancer));
    let start = Instant::now();
    let fault = async {
        Timer::at(start + options.duration_fraction(SILENCE_START)).await;
        if drops_silently {
            cluster.inject_fault(Fault::SilentDrop);
        }
    };
    let (load, ()) = future::zip(load, fault).await;
    let doubled_bookings = cluster.doubled_bookings();
    cluster.stop().await;
    Ok(RunResult {
        load,
        doubled_bookings,
    })
}

fn on_time_share(
    load: &LoadReport,
    options: &MeasureOptions,
    is_chat: bool,
    on_time_ms: u64,
) -> f64 {
    let from_ms = options.duration_fraction(SILENCE_START).as_millis() as u64;
    let to_ms = from_ms + ON_TIME_WINDOW.as_millis() as u64;
    let in_window =
        |sample: &&Sample| sample.is_chat == is_chat && (from_ms..to_ms).contains(&sample.at_ms);
    let samples: Vec<&Sample> = load.samples.iter().filter(in_window).collect();
    let is_on_time =
        |sample: &&&Sample| sample.end == OutcomeKind::Completed && sample.whole_ms <= on_time_ms;
    samples.iter().filter(is_on_time).count() as f64 / samples.len().max(1) as f64
}
