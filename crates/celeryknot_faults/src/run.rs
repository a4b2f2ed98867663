//! One run: starts the testbed, sends load, injects the planned failures and checks the history.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use celeryknot_standins::Fault;
use celeryknot_standins::wire::{EndpointMode, PlatformMode};
use eyre::WrapErr;
use serde::Serialize;
use smol::Timer;

use crate::check::{Finding, check_history};
use crate::history::{BookingKey, BookingOutcome, HistoryEvent, Recorder, RunMicros};
use crate::plan::{FailureKind, Plan, PlannedFailure};
use crate::testbed::{
    DAEMON_COUNT, ENDPOINT_COUNT, ENGINE_COUNT, SIDE_COUNT, Testbed, ZONES, endpoint_name, zone_of,
};
use crate::workload::Workload;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Time between two faults on the connections to an endpoint.
const FAULT_INTERVAL: Duration = Duration::from_millis(13);
/// Maximum delay of messages that are reordered between daemons.
const PEER_DELAY_MAX_MS: u64 = 40;

/// The result of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// The injected failures.
    pub plan: Plan,
    /// The guarantees that were violated; empty if all held.
    pub findings: Vec<Finding>,
    /// Bookings submitted at least once.
    pub bookings: u64,
    /// Bookings confirmed as done.
    pub bookings_done: u64,
    /// Reads and chats sent.
    pub asks: u64,
    /// Reads and chats that received a complete response.
    pub asks_whole: u64,
    /// Number of refused or unanswered submissions of bookings, by code.
    pub refusals: BTreeMap<String, u64>,
}

/// Executes a plan with real daemons and returns the verdict.
///
/// # Errors
///
/// Fails when the testbed can't be started or a daemon does not exit successfully in time.
pub fn run_plan(binary: &Path, run: u16, plan: Plan) -> eyre::Result<Verdict> {
    smol::block_on(execute_plan(binary, run, plan))
}

async fn execute_plan(binary: &Path, run: u16, plan: Plan) -> eyre::Result<Verdict> {
    let recorder = Arc::new(Recorder::default());
    let testbed = Testbed::start(binary, run)
        .await
        .wrap_err("starting the site")?;
    let workload = Workload::start(&testbed, &recorder, plan.seed);
    let started = Instant::now();
    let mut failures = Vec::new();
    for failure in &plan.failures {
        failures.push(inject_failure(&testbed, &recorder, started, *failure));
    }
    for result in join_all(failures).await {
        result.wrap_err_with(|| plan.to_string())?;
    }
    Timer::at(started + LOAD_DURATION).await;
    let counts = workload.finish().await;
    record_executions(&testbed, &recorder);
    let events = recorder.take();
    Ok(Verdict {
        findings: check_history(&events),
        refusals: count_refusals(&events),
        plan,
        bookings: counts.bookings.load(Ordering::Relaxed),
        bookings_done: counts.bookings_done.load(Ordering::Relaxed),
        asks: counts.requests.load(Ordering::Relaxed),
        asks_whole: counts.requests_completed.load(Ordering::Relaxed),
    })
}

fn count_refusals(events: &[HistoryEvent]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for event in events {
        if let HistoryEvent::Submitted {
            outcome: BookingOutcome::Refused { code, .. },
            ..
        } = event
        {
            *counts.entry(code.clone()).or_default() += 1;
        }
    }
    counts
}

/// Runs up to two futures concurrently.
async fn join_all<F: Future<Output = eyre::Result<()>>>(futures: Vec<F>) -> Vec<eyre::Result<()>> {
    let mut futures = futures.into_iter();
    let Some(first) = futures.next() else {
        return Vec::new();
    };
    let Some(second) = futures.next() else {
        return vec![first.await];
    };
    let (first, second) = futures_lite::future::zip(first, second).await;
    vec![first, second]
}

fn record_executions(testbed: &Testbed, recorder: &Recorder) {
    for service in testbed.services() {
        for (index, execution) in service.counters().bookings.into_iter().enumerate() {
            let booking = u64::try_from(index + 1).expect("few bookings");
            recorder.record(HistoryEvent::Executed {
                key: BookingKey(execution.request.slot),
                booking,
                at: execution
                    .at
                    .map_or(RunMicros(0), |at| recorder.since_start(at)),
            });
        }
    }
}

async fn inject_failure(
    testbed: &Testbed,
    recorder: &Recorder,
    started: Instant,
    failure: PlannedFailure,
) -> eyre::Result<()> {
    Timer::at(started + Duration::from_millis(failure.starts_ms)).await;
    let until = started + Duration::from_millis(failure.starts_ms + failure.lasts_ms);
    let daemon = failure.target % DAEMON_COUNT;
    let endpoint = failure.target % ENDPOINT_COUNT;
    match failure.kind {
        FailureKind::KillDaemon => {
            testbed.kill_daemon(daemon)?;
            Timer::at(until).await;
            testbed.start_daemon(daemon)
        }
        FailureKind::FreezeDaemon => {
            testbed.set_frozen(daemon, true)?;
            Timer::at(until).await;
            testbed.set_frozen(daemon, false)
        }
        FailureKind::ReplaceDaemon => {
            testbed.terminate_daemon(daemon).await?;
            testbed.start_daemon(daemon)
        }
        FailureKind::CutEndpoint => {
            inject_repeatedly(testbed, endpoint, Fault::Reset, until).await;
            Ok(())
        }
        FailureKind::SilenceEndpoint => {
            inject_repeatedly(testbed, endpoint, Fault::SilentDrop, until).await;
            Ok(())
        }
        FailureKind::SilencePeers => {
            testbed.inject_peer_fault(Fault::SilentDrop);
            Ok(())
        }
        FailureKind::SplitFleet => {
            testbed.inject_partition_fault(Fault::BlackHole);
            Timer::at(until).await;
            testbed.inject_partition_fault(Fault::Heal);
            Ok(())
        }
        FailureKind::DelayPeers => {
            testbed.inject_peer_fault(Fault::Reorder {
                ms: PEER_DELAY_MAX_MS,
            });
            Timer::at(until).await;
            testbed.inject_peer_fault(Fault::Heal);
            Ok(())
        }
        FailureKind::PlatformDown => {
            set_platforms(testbed, 0..SIDE_COUNT, Some(true), None);
            Timer::at(until).await;
            set_platforms(testbed, 0..SIDE_COUNT, Some(false), None);
            Ok(())
        }
        FailureKind::PlatformStale => {
            let side = failure.target % SIDE_COUNT;
            set_platforms(testbed, side..side + 1, None, Some(true));
            Timer::at(until).await;
            set_platforms(testbed, side..side + 1, None, Some(false));
            Ok(())
        }
        FailureKind::ZoneOut => {
            take_zone_out_of_service(testbed, recorder, failure.target, until).await
        }
        FailureKind::EndpointLeaves => drain_endpoint(testbed, recorder, endpoint, until).await,
        FailureKind::EndpointCold => {
            set_endpoint_cold(testbed, endpoint, true);
            Timer::at(until).await;
            set_endpoint_cold(testbed, endpoint, false);
            Ok(())
        }
        FailureKind::OperatorsRace => {
            alternate_setting(testbed, until).await;
            Ok(())
        }
    }
}

/// Injects the fault often enough that it hits some connections while they carry a call.
async fn inject_repeatedly(testbed: &Testbed, endpoint: usize, fault: Fault, until: Instant) {
    while Instant::now() < until {
        testbed.inject_endpoint_fault(endpoint, fault);
        Timer::after(FAULT_INTERVAL).await;
    }
}

fn set_platforms(
    testbed: &Testbed,
    sides: std::ops::Range<usize>,
    down: Option<bool>,
    stale: Option<bool>,
) {
    for side in sides {
        let mode = PlatformMode {
            down,
            stale,
            ..PlatformMode::default()
        };
        testbed.set_platform_mode(side, mode);
    }
}

fn set_endpoint_cold(testbed: &Testbed, endpoint: usize, is_cold: bool) {
    let mode = EndpointMode {
        cold: Some(is_cold),
        ..EndpointMode::default()
    };
    match endpoint.checked_sub(ENGINE_COUNT) {
        None => testbed.engines()[endpoint].set_mode(mode),
        Some(service) => testbed.services()[service].set_mode(mode),
    }
}

async fn take_zone_out_of_service(
    testbed: &Testbed,
    recorder: &Recorder,
    target: usize,
    until: Instant,
) -> eyre::Result<()> {
    let zone = ZONES[target % ZONES.len()];
    let path = format!("fleet/zones/{zone}");
    let from = recorder.now();
    testbed.put_value(&path, "[zone]\nstate = out\n");
    Timer::at(until).await;
    for endpoint in (0..ENDPOINT_COUNT).filter(|endpoint| zone_of(*endpoint) == zone) {
        record_withdrawal(testbed, recorder, endpoint, from);
    }
    testbed.put_value(&path, "[zone]\nstate = in\n");
    Ok(())
}

async fn drain_endpoint(
    testbed: &Testbed,
    recorder: &Recorder,
    endpoint: usize,
    until: Instant,
) -> eyre::Result<()> {
    let from = recorder.now();
    testbed.set_draining(endpoint, true);
    Timer::at(until).await;
    record_withdrawal(testbed, recorder, endpoint, from);
    testbed.set_draining(endpoint, false);
    Ok(())
}

fn record_withdrawal(testbed: &Testbed, recorder: &Recorder, endpoint: usize, from: RunMicros) {
    let name = endpoint_name(endpoint);
    if let Some(at) = testbed.last_new_work(endpoint) {
        recorder.record(HistoryEvent::WorkStarted {
            endpoint: name.clone(),
            at: recorder.since_start(at),
        });
    }
    recorder.record(HistoryEvent::Withdrawn {
        endpoint: name,
        from,
        until: recorder.now(),
    });
}

async fn alternate_setting(testbed: &Testbed, until: Instant) {
    const WEIGHTS: [&str; 2] = ["1", "2"];
    const CHANGE_INTERVAL: Duration = Duration::from_millis(40);
    let mut change_count = 0;
    while Instant::now() < until {
        let text = format!(
            "[customer]\nshare_weight = {}\n",
            WEIGHTS[change_count % WEIGHTS.len()]
        );
        testbed.put_value("teams/kinrin/customers/otaru", &text);
        change_count += 1;
        Timer::after(CHANGE_INTERVAL).await;
    }
}
