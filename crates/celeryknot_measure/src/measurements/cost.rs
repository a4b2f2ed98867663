//! Overhead of one daemon per call, compared with a minimal pass-through proxy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use celeryknot_standins::caller::CallTarget;
use celeryknot_standins::executor::spawn;
use celeryknot_standins::{Caller, Outcome, ServiceOptions};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::decision::resident_bytes;
use super::pass_through::{PassThrough, THREAD_NAME};
use crate::cluster::{Cluster, ClusterOptions};
use crate::options::MeasureOptions;
use crate::report::Report;

const NAME: &str = "cost";
/// Concurrent callers in latency measurements.
const LATENCY_CALLERS: usize = 2;
/// Concurrent callers in throughput measurements.
const THROUGHPUT_CALLERS: usize = 48;
/// Rounds of a run; each round measures all call paths in turn.
const ROUNDS: u32 = 5;
const HISTOGRAM_DIGITS: u8 = 3;
/// The kernel counts the CPU time of a thread in hundredths of a second.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
struct CallPath {
    address: SocketAddr,
    is_router: bool,
    /// Prefix of the names of the threads that carry the traffic.
    thread_prefix: &'static str,
}

#[derive(Debug)]
struct PathStats {
    latency_us: Histogram<u64>,
    calls: u64,
    failed: u64,
    cpu_s: f64,
}

impl Default for PathStats {
    fn default() -> Self {
        Self {
            latency_us: Histogram::new(HISTOGRAM_DIGITS).expect("three digits are allowed"),
            calls: 0,
            failed: 0,
            cpu_s: 0.0,
        }
    }
}

impl PathStats {
    fn quantile_us(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64
    }

    fn calls_per_cpu_s(&self) -> f64 {
        self.calls as f64 / self.cpu_s.max(1.0 / TICKS_PER_S)
    }
}

#[derive(Debug, Serialize)]
struct Figures {
    added_p50_ratio: f64,
    added_p99_ratio: f64,
    throughput_ratio: f64,
    resident_mb: f64,
    direct_p50_us: f64,
    direct_p99_us: f64,
    pass_through_p50_us: f64,
    pass_through_p99_us: f64,
    daemon_p50_us: f64,
    daemon_p99_us: f64,
    pass_through_calls_per_cpu_s: f64,
    daemon_calls_per_cpu_s: f64,
    failed: u64,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.daemons = 1;
    cluster_options.service = ServiceOptions::default().work_ms(DurationMs(0));
    cluster_options.plain_endpoints = Some(1);
    let resident_before = resident_bytes();
    let cluster = Cluster::start_settled(cluster_options).await?;
    let target = cluster.services[0].service.address();
    let pass_through = PassThrough::start(target)?;
    let call_paths = [
        call_path(target, false, "none"),
        call_path(pass_through.address, false, THREAD_NAME),
        call_path(cluster.callers_addresses()[0], true, "traffic"),
    ];
    let mut latency: [PathStats; 3] = Default::default();
    let mut throughput: [PathStats; 3] = Default::default();
    let slice = options.duration_fraction(1.0 / f64::from(6 * ROUNDS));
    for _ in 0..ROUNDS {
        for (index, call_path) in call_paths.iter().enumerate() {
            run_slice(
                &cluster,
                *call_path,
                LATENCY_CALLERS,
                slice,
                &mut latency[index],
            )
            .await;
            run_slice(
                &cluster,
                *call_path,
                THROUGHPUT_CALLERS,
                slice,
                &mut throughput[index],
            )
            .await;
        }
    }
    let resident = resident_bytes().saturating_sub(resident_before);
    pass_through.stop();
    cluster.stop().await;
    Ok(report(&latency, &throughput, resident))
}

fn call_path(address: SocketAddr, is_router: bool, thread_prefix: &'static str) -> CallPath {
    CallPath {
        address,
        is_router,
        thread_prefix,
    }
}

fn report(latency: &[PathStats; 3], throughput: &[PathStats; 3], resident: u64) -> Report {
    let [direct, pass_through, daemon] = latency;
    let added_ratio = |quantile: f64| {
        let base = direct.quantile_us(quantile);
        let pass_through_us = (pass_through.quantile_us(quantile) - base).max(1.0);
        (daemon.quantile_us(quantile) - base).max(1.0) / pass_through_us
    };
    let figures = Figures {
        added_p50_ratio: added_ratio(0.5),
        added_p99_ratio: added_ratio(0.99),
        throughput_ratio: throughput[2].calls_per_cpu_s() / throughput[1].calls_per_cpu_s(),
        resident_mb: resident as f64 / f64::from(1 << 20),
        direct_p50_us: direct.quantile_us(0.5),
        direct_p99_us: direct.quantile_us(0.99),
        pass_through_p50_us: pass_through.quantile_us(0.5),
        pass_through_p99_us: pass_through.quantile_us(0.99),
        daemon_p50_us: daemon.quantile_us(0.5),
        daemon_p99_us: daemon.quantile_us(0.99),
        pass_through_calls_per_cpu_s: throughput[1].calls_per_cpu_s(),
        daemon_calls_per_cpu_s: throughput[2].calls_per_cpu_s(),
        failed: latency
            .iter()
            .chain(throughput)
            .map(|stats| stats.failed)
            .sum(),
    };
    Report::new(NAME, &figures)
        .with_verdict("added p50 at most 1.3", figures.added_p50_ratio <= 1.3)
        .with_verdict("added p99 at most 1.3", figures.added_p99_ratio <= 1.3)
        .with_verdict("throughput at least 0.8", figures.throughput_ratio >= 0.8)
        .with_verdict("no call failed", figures.failed == 0)
}

/// Runs concurrent callers without pauses for one slice and adds their results to `stats`.
async fn run_slice(
    cluster: &Cluster,
    call_path: CallPath,
    callers: usize,
    slice: Duration,
    stats: &mut PathStats,
) {
    let spec = cluster.spec();
    let prefix = if call_path.is_router {
        format!("/{}", spec.plain_service)
    } else {
        String::new()
    };
    let target = CallTarget {
        address: call_path.address,
        prefix,
        customer: spec.customers[0].0.to_owned(),
    };
    let caller = Caller::default();
    let cpu_before = cpu_s(call_path.thread_prefix);
    let deadline = Instant::now() + slice;
    let tasks: Vec<_> = (0..callers)
        .map(|number| spawn(call_until(caller.clone(), target.clone(), number, deadline)))
        .collect();
    for task in tasks {
        let (latencies_us, failed) = task.await;
        stats.calls += latencies_us.len() as u64;
        stats.failed += failed;
        for latency_us in latencies_us {
            stats.latency_us.saturating_record(latency_us);
        }
    }
    stats.cpu_s += cpu_s(call_path.thread_prefix) - cpu_before;
}

async fn call_until(
    caller: Caller,
    target: CallTarget,
    number: usize,
    deadline: Instant,
) -> (Vec<u64>, u64) {
    let mut latencies_us = Vec::new();
    let mut failed = 0;
    let record = format!("record-{number}");
    while Instant::now() < deadline {
        match caller.read_record(&target, &record).await {
            Outcome::Completed(latency) => latencies_us.push(latency.as_micros() as u64),
            Outcome::Refused(_)
            | Outcome::Truncated
            | Outcome::Aborted
            | Outcome::CrossDelivered
            | Outcome::Lost(_) => failed += 1,
        }
    }
    (latencies_us, failed)
}

/// Returns the CPU time of this process's threads whose names start with `thread_prefix`.
fn cpu_s(thread_prefix: &str) -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks
        .filter_map(Result::ok)
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| parse_thread_cpu_s(&stat, thread_prefix))
        .sum()
}

fn parse_thread_cpu_s(stat: &str, thread_prefix: &str) -> Option<f64> {
    let (before, after) = stat.rsplit_once(')')?;
    let name = before.split_once('(')?.1;
    if !name.starts_with(thread_prefix) {
        return None;
    }
    // User and system time are the 12th and 13th fields after the name.
    let mut times = after.split_whitespace().skip(11);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}
