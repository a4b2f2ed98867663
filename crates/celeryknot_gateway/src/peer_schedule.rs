//! Which peer a daemon polls next, and for how long that peer may wait.
//!
//! No I/O and no clock: what is known and the time are arguments.

use std::net::SocketAddr;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, MonotonicMs};

use crate::members::MemberTable;

/// Number of peers that a daemon polls concurrently, so that one peer's failure causes no delay.
pub const PEERS_POLLED: usize = 2;

/// Interval between checks whether this daemon is a reader.
const ROLE_CHECK_INTERVAL: DurationMs = DurationMs(500);

/// Shortest and longest time for which a peer waits for updates before it replies without any.
const POLL_WAIT_MIN: DurationMs = DurationMs(100);
const POLL_WAIT_MAX: DurationMs = DurationMs(400);

/// Poll wait multiplied by the number of daemons, clamped to `POLL_WAIT_MIN..=POLL_WAIT_MAX`.
///
/// With more daemons, each of them causes and observes a smaller part of the endpoints' load, and
/// needs updates sooner.
const POLL_WAIT_TIMES_DAEMONS_MS: u64 = 4_000;

/// Time for which the same peer is polled unless it fails.
const PEER_ROTATION_MS: u64 = 10_000;

/// One poll in this many goes to a seed, so that separate groups of daemons merge.
const SEED_POLL_EVERY: u64 = 16;

/// Delay if there is no peer to poll or a poll failed; shorter until the store's state is known.
const POLL_RETRY_DELAY: DurationMs = DurationMs(200);
const FIRST_POLL_RETRY_DELAY: DurationMs = DurationMs(30);

/// Poll wait per endpoint, for many endpoints.
///
/// A reply contains some six bytes for each endpoint with requests; two concurrent polls stay
/// within the 8 KB per second that a daemon may spend on peers.
const POLL_WAIT_PER_ENDPOINT_MS: f64 = 0.75;

/// Upper limit of the per-endpoint poll wait; counts expire after two seconds.
const POLL_WAIT_FOR_ENDPOINTS_MAX: DurationMs = DurationMs(1_000);

/// What a daemon does next to hear from peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollStep {
    /// It polls the peer at an address.
    Poll(SocketAddr),
    /// It has no peer to poll, and decides again after a time.
    Pause(DurationMs),
}

/// What the choice of a peer depends on.
#[derive(Debug, Clone, Copy)]
pub struct PollContext<'a> {
    /// The time.
    pub now: MonotonicMs,
    /// The known daemons.
    pub members: &'a MemberTable,
    /// The addresses of the configured seeds.
    pub seeds: &'a [SocketAddr],
    /// Whether the daemon has a copy of the store.
    pub has_copy: bool,
}

/// The polls of the peer at one rank of the poll targets.
///
/// Beyond the first ranks only readers poll, to exchange their subtotals of requests in flight.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{Incarnation, MonotonicMs};
/// use celeryknot_gateway::members::{Member, MemberTable};
/// use celeryknot_gateway::peer_schedule::{PeerSchedule, PollContext, PollStep};
///
/// let own = Member {
///     name: "edge-1".parse()?,
///     zone: "hkd-a".parse()?,
///     address: "10.1.0.40:8229".parse()?,
///     incarnation: Incarnation(1),
///     cores_percent: 25,
///     hop_address: None,
/// };
/// let seeds = ["10.1.0.41:8229".parse()?];
/// let context = PollContext {
///     now: MonotonicMs(0),
///     members: &MemberTable::new(own),
///     seeds: &seeds,
///     has_copy: false,
/// };
/// let mut schedule = PeerSchedule::new(0);
/// assert_eq!(schedule.next_step(context), PollStep::Poll(seeds[0]));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct PeerSchedule {
    rank: usize,
    poll_count: u64,
}

impl PeerSchedule {
    /// Creates the schedule of a rank.
    pub fn new(rank: usize) -> Self {
        Self {
            rank,
            poll_count: 0,
        }
    }

    /// Returns whether this daemon's own counts go to the peer at this rank.
    pub fn reports_own(&self) -> bool {
        self.rank == 0
    }

    /// Returns the next step.
    pub fn next_step(&mut self, context: PollContext<'_>) -> PollStep {
        self.poll_count += 1;
        if self.rank >= PEERS_POLLED && !context.members.is_reader(context.now) {
            return PollStep::Pause(ROLE_CHECK_INTERVAL);
        }
        match self.pick_peer(context) {
            Some(address) => PollStep::Poll(address),
            None => PollStep::Pause(retry_delay(context.has_copy)),
        }
    }

    fn pick_peer(&self, context: PollContext<'_>) -> Option<SocketAddr> {
        let PollContext {
            now,
            members,
            seeds,
            has_copy: _,
        } = context;
        let own = members.own();
        let epoch = now.0 / PEER_ROTATION_MS;
        let shuffle_key = rendezvous_score(epoch, own.name.as_str());
        let poll_targets = members.poll_targets(now, shuffle_key);
        let is_seed_due = self.rank > 0 && self.poll_count.is_multiple_of(SEED_POLL_EVERY);
        if let Some(target) = poll_targets.get(self.rank)
            && !is_seed_due
        {
            return Some(target.address);
        }
        let seeds: Vec<SocketAddr> = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own.address)
            .collect();
        let seed_index = usize::try_from(self.poll_count).unwrap_or(0) + self.rank;
        let seed = seeds.get(seed_index.checked_rem(seeds.len())?).copied();
        // Without a peer at this rank, don't poll another rank's peer twice.
        match poll_targets.is_empty() || is_seed_due {
            true => seed,
            false => None,
        }
    }
}

/// Returns how long a peer may wait for updates before it replies without any.
pub fn poll_wait(daemons: usize, endpoints: usize) -> DurationMs {
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX).max(1);
    let for_daemons =
        DurationMs(POLL_WAIT_TIMES_DAEMONS_MS / daemons).clamp(POLL_WAIT_MIN, POLL_WAIT_MAX);
    let for_endpoints = DurationMs((endpoints as f64 * POLL_WAIT_PER_ENDPOINT_MS) as u64);
    for_daemons.max(for_endpoints.min(POLL_WAIT_FOR_ENDPOINTS_MAX))
}

/// Returns the delay after a poll that failed.
pub fn retry_delay(has_copy: bool) -> DurationMs {
    match has_copy {
        false => FIRST_POLL_RETRY_DELAY,
        true => POLL_RETRY_DELAY,
    }
}
