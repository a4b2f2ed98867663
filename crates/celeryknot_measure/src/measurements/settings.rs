//! Time from the publication of a value until it is active at every daemon.

use std::time::{Duration, Instant};

use celeryknot_standins::wire::PlatformMode;
use serde::Serialize;
use smol::Timer;

use crate::cluster::{Cluster, ClusterOptions};
use crate::options::MeasureOptions;
use crate::report::Report;
use crate::scrape::fetch_status;

const NAME: &str = "settings";
const REPLICAS: u32 = 3;
/// Time between two polls of the daemons for the published revision.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a value counts as never active.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between the activation of a value and the publication of the next.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(150);

/// Condition of the platform and the fleet while values are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Phase {
    Calm,
    StaleReplicas,
    DaemonsReplaced,
}

#[derive(Debug, Serialize)]
struct PhaseFigures {
    phase: Phase,
    changes: usize,
    p50_ms: u64,
    p99_ms: u64,
    worst_ms: u64,
}

#[derive(Debug, Serialize)]
struct Figures {
    p50_ms: u64,
    p99_ms: u64,
    worst_ms: u64,
    reverts: u64,
    never_in_force: u64,
    service_calls_per_s: f64,
    phases: Vec<PhaseFigures>,
}

struct Publisher {
    cluster: Cluster,
    revision: u64,
    last_revisions: Vec<u64>,
    reverts: u64,
    timed_out: u64,
}

pub(super) async fn measure(options: &MeasureOptions) -> eyre::Result<Report> {
    let mut cluster_options = ClusterOptions::new(options.deployment, options.seed);
    cluster_options.platform_replicas = REPLICAS;
    let cluster = Cluster::start_settled(cluster_options).await?;
    let start = Instant::now();
    let calls_before = cluster.platform.calls().calls;
    let daemons = cluster.daemon_count();
    let readers_max = 3 * cluster.spec().zones.len();
    let mut publisher = Publisher {
        revision: cluster.platform.revision(),
        last_revisions: vec![0; daemons],
        cluster,
        reverts: 0,
        timed_out: 0,
    };
    let mut phases = Vec::new();
    let mut all_ms = Vec::new();
    for phase in [Phase::Calm, Phase::StaleReplicas, Phase::DaemonsReplaced] {
        let times_ms = publisher
            .run_phase(phase, options.duration_fraction(1.0 / 3.0))
            .await?;
        all_ms.extend_from_slice(&times_ms);
        phases.push(PhaseFigures {
            phase,
            changes: times_ms.len(),
            p50_ms: quantile(&times_ms, 0.5),
            p99_ms: quantile(&times_ms, 0.99),
            worst_ms: quantile(&times_ms, 1.0),
        });
    }
    let calls = publisher.cluster.platform.calls().calls - calls_before;
    let figures = Figures {
        p50_ms: quantile(&all_ms, 0.5),
        p99_ms: quantile(&all_ms, 0.99),
        worst_ms: quantile(&all_ms, 1.0),
        reverts: publisher.reverts,
        never_in_force: publisher.timed_out,
        service_calls_per_s: calls as f64 / start.elapsed().as_secs_f64(),
        phases,
    };
    publisher.cluster.stop().await;
    let is_within_target = figures.worst_ms <= 2_000 && figures.never_in_force == 0;
    Ok(Report::new(NAME, &figures)
        .with_verdict("worst 2 s", is_within_target)
        .with_verdict("0 reverts", figures.reverts == 0)
        .with_verdict(
            &format!("no more watches at once than {readers_max} readers have"),
            is_call_rate_bounded(&figures, readers_max),
        ))
}

/// Returns whether the call rate fits the number of readers: each makes two calls per change of
/// values or instances, and occasional further ones.
fn is_call_rate_bounded(figures: &Figures, readers_max: usize) -> bool {
    let changes_per_s = 1.0 / PUBLISH_INTERVAL.as_secs_f64();
    figures.service_calls_per_s <= readers_max as f64 * (changes_per_s + 2.0)
}

fn quantile(times_ms: &[u64], quantile: f64) -> u64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

impl Publisher {
    async fn run_phase(&mut self, phase: Phase, duration: Duration) -> eyre::Result<Vec<u64>> {
        self.set_replicas_stale(phase == Phase::StaleReplicas);
        let deadline = Instant::now() + duration;
        let mut times_ms = Vec::new();
        while Instant::now() < deadline {
            if phase == Phase::DaemonsReplaced && times_ms.len() % 4 == 0 {
                let index = (times_ms.len() / 4) % self.cluster.daemon_count();
                self.cluster.replace_daemon(index).await?;
            }
            match self.publish_and_wait().await {
                Some(time) => times_ms.push(time.as_millis() as u64),
                None => self.timed_out += 1,
            }
            Timer::after(PUBLISH_INTERVAL).await;
        }
        self.set_replicas_stale(false);
        Ok(times_ms)
    }

    /// Makes two thirds of the replicas serve stale data, or current data again.
    fn set_replicas_stale(&self, is_stale: bool) {
        for replica in 1..REPLICAS as usize {
            let mode = PlatformMode {
                stale: Some(is_stale),
                ..PlatformMode::default()
            };
            self.cluster.platform.set_mode(replica, mode);
        }
    }

    async fn publish_and_wait(&mut self) -> Option<Duration> {
        let spec = self.cluster.spec();
        let (customer, _) = spec.customers[9];
        self.revision += 1;
        let weight = 1.0 + (self.revision % 7) as f64;
        let path = format!("teams/{}/customers/{customer}", spec.team);
        let text = format!("[customer]\nshare_weight = {weight}\n");
        self.cluster.platform.put_value(&path, &text);
        let start = Instant::now();
        while start.elapsed() < ACTIVE_TIMEOUT {
            if self.is_active_everywhere().await {
                return Some(start.elapsed());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        None
    }

    async fn is_active_everywhere(&mut self) -> bool {
        let mut is_active = true;
        let addresses = self.cluster.operators_addresses();
        for (last_revision, address) in self.last_revisions.iter_mut().zip(addresses) {
            let Some(status) = fetch_status(address).await else {
                // Unknown, and neither active nor reverted.
                is_active = false;
                continue;
            };
            let revision = status.control.settings_revision.0;
            if revision < *last_revision {
                self.reverts += 1;
            }
            *last_revision = revision;
            is_active &= revision >= self.revision;
        }
        is_active
    }
}
