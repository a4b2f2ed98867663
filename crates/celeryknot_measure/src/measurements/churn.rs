//! Engines that leave and join, and daemons that are replaced, from a seed.

use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use futures_lite::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol::Timer;

use crate::cluster::Cluster;

const ENGINE_INTERVAL: Duration = Duration::from_secs(3);
const ENGINE_GRACE: Duration = Duration::from_millis(1_500);
const ENGINE_AWAY: Duration = Duration::from_millis(500);
const ENGINE_COLD_MS: DurationMs = DurationMs(500);
const DAEMON_INTERVAL: Duration = Duration::from_secs(4);

/// Lets an engine leave and return every few seconds, and replaces daemons, for a time.
pub(super) async fn run(cluster: &mut Cluster, seed: u64, length: Duration) -> eyre::Result<()> {
    let end = Instant::now() + length;
    let mut random = SmallRng::seed_from_u64(seed ^ 0xc4);
    let engine_count = cluster.engines.slots().len();
    let engines: Vec<usize> = (0..1_000)
        .map(|_| random.random_range(0..engine_count))
        .collect();
    let daemons = cluster.daemon_count();
    let mut next_engine = Instant::now() + ENGINE_INTERVAL;
    let mut next_daemon = Instant::now() + DAEMON_INTERVAL;
    let mut turn = 0;
    while Instant::now() + ENGINE_INTERVAL < end {
        Timer::at(next_engine.min(next_daemon)).await;
        if next_engine <= Instant::now() {
            next_engine += ENGINE_INTERVAL;
            let engine = engines[turn % engines.len()];
            turn += 1;
            cluster.remove_engine(engine, ENGINE_GRACE).await;
            Timer::after(ENGINE_AWAY).await;
            cluster.add_engine(engine, ENGINE_COLD_MS)?;
        }
        if next_daemon <= Instant::now() {
            next_daemon += DAEMON_INTERVAL;
            if daemons > 1 {
                cluster.replace_daemon(turn % daemons).await?;
            }
        }
        future::yield_now().await;
    }
    Ok(())
}
