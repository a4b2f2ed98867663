//! Seeded churn: engines that are removed and restarted, and daemons that are replaced.

use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use futures_lite::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol::Timer;

use crate::cluster::Cluster;

const ENGINE_INTERVAL: Duration = Duration::from_secs(3);
const ENGINE_GRACE: Duration = Duration::from_millis(1_500);
const ENGINE_DOWNTIME: Duration = Duration::from_millis(500);
const ENGINE_COLD_MS: DurationMs = DurationMs(500);
const DAEMON_INTERVAL: Duration = Duration::from_secs(4);

/// Removes and restarts an engine, and replaces a daemon, every few seconds for `duration`.
pub(super) async fn run(cluster: &mut Cluster, seed: u64, duration: Duration) -> eyre::Result<()> {
    let deadline = Instant::now() + duration;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc4);
    let engine_count = cluster.engines.slots().len();
    let engines: Vec<usize> = (0..1_000)
        .map(|_| rng.random_range(0..engine_count))
        .collect();
    let daemons = cluster.daemon_count();
    let mut next_engine = Instant::now() + ENGINE_INTERVAL;
    let mut next_daemon = Instant::now() + DAEMON_INTERVAL;
    let mut round = 0;
    while Instant::now() + ENGINE_INTERVAL < deadline {
        Timer::at(next_engine.min(next_daemon)).await;
        if next_engine <= Instant::now() {
            next_engine += ENGINE_INTERVAL;
            let engine = engines[round % engines.len()];
            round += 1;
            cluster.remove_engine(engine, ENGINE_GRACE).await;
            Timer::after(ENGINE_DOWNTIME).await;
            cluster.restart_engine(engine, ENGINE_COLD_MS)?;
        }
        if next_daemon <= Instant::now() {
            next_daemon += DAEMON_INTERVAL;
            if daemons > 1 {
                cluster.replace_daemon(round % daemons).await?;
            }
        }
        future::yield_now().await;
    }
    Ok(())
}
