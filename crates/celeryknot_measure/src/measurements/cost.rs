//! What one daemon adds to a call, side by side with a bare pass-through.

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
/// Callers at a time, for the latency.
const FEW_CALLERS: usize = 2;
/// Callers at a time, for the throughput.
const MANY_CALLERS: usize = 48;
/// Slices of the run, in which the ways take turns.
const ROUNDS: u32 = 5;
const HISTOGRAM_DIGITS: u8 = 3;
/// Processor time of a thread is counted in hundredths of a second.
const TICKS_PER_S: f64 = 100.0;

#[derive(Debug, Clone, Copy)]
struct Way {
    address: SocketAddr,
    is_router: bool,
    /// The start of the names of the threads that carry the traffic.
    thread: &'static str,
}

#[derive(Debug)]
struct Measured {
    latency_us: Histogram<u64>,
    calls: u64,
    failed: u64,
    cpu_s: f64,
}

impl Default for Measured {
    fn default() -> Self {
        Self {
            latency_us: Histogram::new(HISTOGRAM_DIGITS).expect("three digits are allowed"),
            calls: 0,
            failed: 0,
            cpu_s: 0.0,
        }
    }
}

impl Measured {
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
    let ways = [
        way(target, false, "none"),
        way(pass_through.address, false, THREAD_NAME),
        way(cluster.callers_addresses()[0], true, "traffic"),
    ];
    let mut latency: [Measured; 3] = Default::default();
    let mut throughput: [Measured; 3] = Default::default();
    let slice = options.part(1.0 / f64::from(6 * ROUNDS));
    for _ in 0..ROUNDS {
        for (index, way) in ways.iter().enumerate() {
            run_slice(&cluster, *way, FEW_CALLERS, slice, &mut latency[index]).await;
            run_slice(&cluster, *way, MANY_CALLERS, slice, &mut throughput[index]).await;
        }
    }
    let resident = resident_bytes().saturating_sub(resident_before);
    pass_through.stop();
    cluster.stop().await;
    Ok(report(&latency, &throughput, resident))
}

fn way(address: SocketAddr, is_router: bool, thread: &'static str) -> Way {
    Way {
        address,
        is_router,
        thread,
    }
}

fn report(latency: &[Measured; 3], throughput: &[Measured; 3], resident: u64) -> Report {
    let [direct, pass, daemon] = latency;
    let added = |quantile: f64| {
        let base = direct.quantile_us(quantile);
        let pass_us = (pass.quantile_us(quantile) - base).max(1.0);
        (daemon.quantile_us(quantile) - base).max(1.0) / pass_us
    };
    let figures = Figures {
        added_p50_ratio: added(0.5),
        added_p99_ratio: added(0.99),
        throughput_ratio: throughput[2].calls_per_cpu_s() / throughput[1].calls_per_cpu_s(),
        resident_mb: resident as f64 / f64::from(1 << 20),
        direct_p50_us: direct.quantile_us(0.5),
        direct_p99_us: direct.quantile_us(0.99),
        pass_through_p50_us: pass.quantile_us(0.5),
        pass_through_p99_us: pass.quantile_us(0.99),
        daemon_p50_us: daemon.quantile_us(0.5),
        daemon_p99_us: daemon.quantile_us(0.99),
        pass_through_calls_per_cpu_s: throughput[1].calls_per_cpu_s(),
        daemon_calls_per_cpu_s: throughput[2].calls_per_cpu_s(),
        failed: latency.iter().chain(throughput).map(|way| way.failed).sum(),
    };
    Report::new(NAME, &figures)
        .with_verdict("added p50 at most 1.3", figures.added_p50_ratio <= 1.3)
        .with_verdict("added p99 at most 1.3", figures.added_p99_ratio <= 1.3)
        .with_verdict("throughput at least 0.8", figures.throughput_ratio >= 0.8)
        .with_verdict("no call failed", figures.failed == 0)
}

/// Lets so many callers call as fast as they are answered, and adds what they saw.
async fn run_slice(
    cluster: &Cluster,
    way: Way,
    callers: usize,
    slice: Duration,
    measured: &mut Measured,
) {
    let spec = cluster.spec();
    let prefix = if way.is_router {
        format!("/{}", spec.plain_service)
    } else {
        String::new()
    };
    let target = CallTarget {
        address: way.address,
        prefix,
        customer: spec.customers[0].0.to_owned(),
    };
    let caller = Caller::default();
    let cpu_before = cpu_s(way.thread);
    let end = Instant::now() + slice;
    let tasks: Vec<_> = (0..callers)
        .map(|number| spawn(call_until(caller.clone(), target.clone(), number, end)))
        .collect();
    for task in tasks {
        let (latencies_us, failed) = task.await;
        measured.calls += latencies_us.len() as u64;
        measured.failed += failed;
        for latency_us in latencies_us {
            measured.latency_us.saturating_record(latency_us);
        }
    }
    measured.cpu_s += cpu_s(way.thread) - cpu_before;
}

async fn call_until(
    caller: Caller,
    target: CallTarget,
    number: usize,
    end: Instant,
) -> (Vec<u64>, u64) {
    let mut latencies_us = Vec::new();
    let mut failed = 0;
    let record = format!("record-{number}");
    while Instant::now() < end {
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

/// Returns the processor time of this process's threads whose names start so.
fn cpu_s(thread: &str) -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks
        .filter_map(Result::ok)
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| thread_cpu_s(&stat, thread))
        .sum()
}

fn thread_cpu_s(stat: &str, thread: &str) -> Option<f64> {
    let (before, after) = stat.rsplit_once(')')?;
    let name = before.split_once('(')?.1;
    if !name.starts_with(thread) {
        return None;
    }
    // The fields after the name: user and system time are the 12th and 13th.
    let mut times = after.split_whitespace().skip(11);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}
