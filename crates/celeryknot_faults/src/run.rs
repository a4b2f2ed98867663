//! One run: start the site, load it, break what the plan says, and check the history.

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
use crate::history::{BookingAnswer, BookingKey, HistoryEvent, Recorder, RunMicros};
use crate::plan::{FailureKind, Plan, PlannedFailure};
use crate::site::{
    DAEMON_COUNT, ENDPOINT_COUNT, ENGINE_COUNT, SIDE_COUNT, Site, ZONES, endpoint_name, zone_of,
};
use crate::workload::Workload;

/// How long callers load the site.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time between two disturbances of the connections to an endpoint.
const DISTURB_PERIOD: Duration = Duration::from_millis(13);
/// Largest delay of what overtakes each other between daemons.
const PEER_DELAY_MS: u64 = 40;

/// What came out of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// What was broken.
    pub plan: Plan,
    /// What did not hold; empty where all did.
    pub findings: Vec<Finding>,
    /// Bookings whose submission began.
    pub bookings: u64,
    /// Bookings that were answered as done.
    pub bookings_done: u64,
    /// Reads and chats that began.
    pub asks: u64,
    /// Reads and chats that were answered whole.
    pub asks_whole: u64,
    /// Submissions of bookings that were refused, by code.
    pub refusals: BTreeMap<String, u64>,
}

/// Carries out one plan with real daemons and returns the verdict.
///
/// # Errors
///
/// Fails when the site can't be started or a daemon does not end as it should.
pub fn run_plan(binary: &Path, run: u16, plan: Plan) -> eyre::Result<Verdict> {
    smol::block_on(carry_out(binary, run, plan))
}

async fn carry_out(binary: &Path, run: u16, plan: Plan) -> eyre::Result<Verdict> {
    let recorder = Arc::new(Recorder::default());
    let site = Site::start(binary, run)
        .await
        .wrap_err("starting the site")?;
    let workload = Workload::start(&site, &recorder, plan.seed);
    let started = Instant::now();
    let mut failures = Vec::new();
    for failure in &plan.failures {
        failures.push(bring_about(&site, &recorder, started, *failure));
    }
    for result in join_all(failures).await {
        result.wrap_err_with(|| plan.to_string())?;
    }
    Timer::at(started + LOAD_TIME).await;
    let tally = workload.finish().await;
    record_executions(&site, &recorder);
    let events = recorder.take();
    Ok(Verdict {
        findings: check_history(&events),
        refusals: count_refusals(&events),
        plan,
        bookings: tally.bookings.load(Ordering::Relaxed),
        bookings_done: tally.bookings_done.load(Ordering::Relaxed),
        asks: tally.asks.load(Ordering::Relaxed),
        asks_whole: tally.asks_whole.load(Ordering::Relaxed),
    })
}

fn count_refusals(events: &[HistoryEvent]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for event in events {
        if let HistoryEvent::Submitted {
            answer: BookingAnswer::Refused { code, .. },
            ..
        } = event
        {
            *counts.entry(code.clone()).or_default() += 1;
        }
    }
    counts
}

/// Drives one or two futures side by side.
async fn join_all<F: Future<Output = eyre::Result<()>>>(futures: Vec<F>) -> Vec<eyre::Result<()>> {
    let mut futures = futures.into_iter();
    let Some(first) = futures.next() else {
        return Vec::new();
    };
    let Some(second) = futures.next() else {
        return vec![first.await];
    };
    let (one, other) = futures_lite::future::zip(first, second).await;
    vec![one, other]
}

fn record_executions(site: &Site, recorder: &Recorder) {
    for service in site.services() {
        for (index, seen) in service.seen().bookings.into_iter().enumerate() {
            let booking = u64::try_from(index + 1).expect("few bookings");
            recorder.record(HistoryEvent::Executed {
                key: BookingKey(seen.request.slot),
                booking,
                at: seen.at.map_or(RunMicros(0), |at| recorder.at(at)),
            });
        }
    }
}

async fn bring_about(
    site: &Site,
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
            site.kill_daemon(daemon)?;
            Timer::at(until).await;
            site.start_daemon(daemon)
        }
        FailureKind::FreezeDaemon => {
            site.set_frozen(daemon, true)?;
            Timer::at(until).await;
            site.set_frozen(daemon, false)
        }
        FailureKind::ReplaceDaemon => {
            site.terminate_daemon(daemon).await?;
            site.start_daemon(daemon)
        }
        FailureKind::CutEndpoint => {
            disturb_again_and_again(site, endpoint, Fault::Reset, until).await;
            Ok(())
        }
        FailureKind::SilenceEndpoint => {
            disturb_again_and_again(site, endpoint, Fault::SilentDrop, until).await;
            Ok(())
        }
        FailureKind::SilencePeers => {
            site.disturb_peers(Fault::SilentDrop);
            Ok(())
        }
        FailureKind::SplitFleet => {
            site.disturb_between_sides(Fault::BlackHole);
            Timer::at(until).await;
            site.disturb_between_sides(Fault::Heal);
            Ok(())
        }
        FailureKind::DelayPeers => {
            site.disturb_peers(Fault::Reorder { ms: PEER_DELAY_MS });
            Timer::at(until).await;
            site.disturb_peers(Fault::Heal);
            Ok(())
        }
        FailureKind::PlatformDown => {
            set_platforms(site, 0..SIDE_COUNT, Some(true), None);
            Timer::at(until).await;
            set_platforms(site, 0..SIDE_COUNT, Some(false), None);
            Ok(())
        }
        FailureKind::PlatformStale => {
            let side = failure.target % SIDE_COUNT;
            set_platforms(site, side..side + 1, None, Some(true));
            Timer::at(until).await;
            set_platforms(site, side..side + 1, None, Some(false));
            Ok(())
        }
        FailureKind::ZoneOut => take_zone_out(site, recorder, failure.target, until).await,
        FailureKind::EndpointLeaves => leave(site, recorder, endpoint, until).await,
        FailureKind::EndpointCold => {
            set_cold(site, endpoint, true);
            Timer::at(until).await;
            set_cold(site, endpoint, false);
            Ok(())
        }
        FailureKind::OperatorsRace => {
            race_operators(site, until).await;
            Ok(())
        }
    }
}

/// Hits the connections to an endpoint often enough that some carry a call at that moment.
async fn disturb_again_and_again(site: &Site, endpoint: usize, fault: Fault, until: Instant) {
    while Instant::now() < until {
        site.disturb_endpoint(endpoint, fault);
        Timer::after(DISTURB_PERIOD).await;
    }
}

fn set_platforms(
    site: &Site,
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
        site.set_platform_mode(side, mode);
    }
}

fn set_cold(site: &Site, endpoint: usize, is_cold: bool) {
    let mode = EndpointMode {
        cold: Some(is_cold),
        ..EndpointMode::default()
    };
    match endpoint.checked_sub(ENGINE_COUNT) {
        None => site.engines()[endpoint].set_mode(mode),
        Some(service) => site.services()[service].set_mode(mode),
    }
}

async fn take_zone_out(
    site: &Site,
    recorder: &Recorder,
    target: usize,
    until: Instant,
) -> eyre::Result<()> {
    let zone = ZONES[target % ZONES.len()];
    let path = format!("fleet/zones/{zone}");
    let from = recorder.now();
    site.put_value(&path, "[zone]\nstate = out\n");
    Timer::at(until).await;
    for endpoint in (0..ENDPOINT_COUNT).filter(|endpoint| zone_of(*endpoint) == zone) {
        record_withdrawal(site, recorder, endpoint, from);
    }
    site.put_value(&path, "[zone]\nstate = in\n");
    Ok(())
}

async fn leave(
    site: &Site,
    recorder: &Recorder,
    endpoint: usize,
    until: Instant,
) -> eyre::Result<()> {
    let from = recorder.now();
    site.set_leaving(endpoint, true);
    Timer::at(until).await;
    record_withdrawal(site, recorder, endpoint, from);
    site.set_leaving(endpoint, false);
    Ok(())
}

fn record_withdrawal(site: &Site, recorder: &Recorder, endpoint: usize, from: RunMicros) {
    let name = endpoint_name(endpoint);
    if let Some(at) = site.last_new_work(endpoint) {
        recorder.record(HistoryEvent::WorkStarted {
            endpoint: name.clone(),
            at: recorder.at(at),
        });
    }
    recorder.record(HistoryEvent::Withdrawn {
        endpoint: name,
        from,
        until: recorder.now(),
    });
}

async fn race_operators(site: &Site, until: Instant) {
    const WEIGHTS: [&str; 2] = ["1", "2"];
    const PAUSE: Duration = Duration::from_millis(40);
    let mut turn = 0;
    while Instant::now() < until {
        let text = format!(
            "[customer]\nshare_weight = {}\n",
            WEIGHTS[turn % WEIGHTS.len()]
        );
        site.put_value("teams/kinrin/customers/otaru", &text);
        turn += 1;
        Timer::after(PAUSE).await;
    }
}
