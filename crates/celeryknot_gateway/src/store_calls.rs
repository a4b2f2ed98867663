//! When a daemon calls the platform's store, and what it asks for.
//!
//! No I/O and no clock: what is known and the random numbers are arguments.

use celeryknot_core::{Backoff, DurationMs};
use strum::{Display, IntoStaticStr};

use crate::members::READER_COUNT;
use crate::platform_protocol::StoreRevision;

/// Age of a follower's copy of the store, beyond two polls, that is no sign of failed readers.
///
/// The readers' watches end one after the other, a sixth of [`WATCH_WAIT`] apart; replies to polls
/// are up to 50 ms late.
const READ_INTERVAL_MAX: DurationMs = DurationMs(500);

/// Shortest age of its copy at which a daemon that is not a reader reads the store itself.
const COPY_AGE_MAX_MIN: DurationMs = DurationMs(1_000);

/// Longest wait of one watch.
///
/// A connection may go silent without a reset. The next watch must then deliver updates before the
/// instance counts as connected again, three seconds later.
const WATCH_WAIT: DurationMs = DurationMs(2_000);

/// Time beyond the wait after which a silent store counts as unreachable.
const RESPONSE_MARGIN: DurationMs = DurationMs(400);

/// Shortest and longest delay between two watches, which batches changes that arrive together.
///
/// The same change completes all readers' watches. With randomized delays, one reader watches again
/// early and relays the next change to the others, which then query the store less often.
const BATCH_DELAY_MIN: DurationMs = DurationMs(50);
const BATCH_DELAY_MAX: DurationMs = DurationMs(400);

/// Delay after the first listing, in which a newly started daemon discovers existing readers.
const FIRST_WATCH_DELAY: DurationMs = DurationMs(600);

/// Time without a call after which a connection may have gone silent unnoticed.
const CONNECTION_IDLE_MAX: DurationMs = DurationMs(1_000);

/// Interval between checks whether this daemon must read the store.
pub const ROLE_CHECK_INTERVAL: DurationMs = DurationMs(100);

const BACKOFF_MIN: DurationMs = DurationMs(50);
const BACKOFF_MAX: DurationMs = DurationMs(400);

/// Longest additional backoff of a daemon that is not a reader.
const FOLLOWER_BACKOFF_MAX: DurationMs = DurationMs(2_000);

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads everything.
    List {
        /// Whether it must be complete even if a peer sends the complete store meanwhile.
        must_finish: bool,
    },
    /// Waits for changes.
    Watch(StoreWatch),
}

/// A call that waits for changes after a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWatch {
    /// The revision.
    pub after: StoreRevision,
    /// How long the store may wait for a change.
    pub wait_ms: DurationMs,
    /// How long the response may take.
    pub timeout_ms: DurationMs,
}

/// How a call of the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// The store responded.
    Answered {
        /// Whether there were changes.
        has_changes: bool,
    },
    /// A peer sent the complete store before the listing ended.
    #[strum(serialize = "answered")]
    SentByPeer,
    /// The store is in a later era than the daemon's copy, or than the listing's first page.
    Restored,
    /// The store no longer has the history that the watch needs.
    HistoryDropped,
    /// The store didn't respond, or refused.
    Failed,
}

/// The state of a daemon's calls of the store.
///
/// # Examples
///
/// ```
/// use celeryknot_gateway::store_calls::{CallOutcome, StoreCall, StoreCalls};
///
/// let mut calls = StoreCalls::default();
/// let rank = Some(0);
/// assert_eq!(calls.next_call(None, rank), StoreCall::List { must_finish: false });
/// calls.finish(CallOutcome::Answered { has_changes: true }, rank, 0);
/// let after = Some(7.into());
/// assert!(matches!(calls.next_call(after, rank), StoreCall::Watch(_)));
/// calls.finish(CallOutcome::HistoryDropped, rank, 0);
/// assert_eq!(calls.next_call(after, rank), StoreCall::List { must_finish: true });
/// ```
#[derive(Debug)]
pub struct StoreCalls {
    backoff: Backoff,
    must_list: bool,
    has_read: bool,
    /// The delay since the last call, if that ended for all readers at once.
    delay_in_step: Option<DurationMs>,
}

impl Default for StoreCalls {
    fn default() -> Self {
        Self {
            backoff: Backoff::new(BACKOFF_MIN, BACKOFF_MAX),
            must_list: false,
            has_read: false,
            delay_in_step: Some(DurationMs(0)),
        }
    }
}

impl StoreCalls {
    /// Returns the next call of a daemon whose copy of the store is at a revision.
    pub fn next_call(
        &self,
        position: Option<StoreRevision>,
        reader_rank: Option<usize>,
    ) -> StoreCall {
        match position.filter(|_| !self.must_list) {
            None => StoreCall::List {
                must_finish: self.must_list,
            },
            Some(after) => {
                let wait_ms = self.watch_wait(reader_rank);
                StoreCall::Watch(StoreWatch {
                    after,
                    wait_ms,
                    timeout_ms: wait_ms + RESPONSE_MARGIN,
                })
            }
        }
    }

    /// Returns how long the next watch may wait.
    ///
    /// A change ends the watches of all readers at once. Each rank then waits for another part of
    /// the longest wait, so that some reader confirms its copy often while nothing changes.
    fn watch_wait(&self, reader_rank: Option<usize>) -> DurationMs {
        let (Some(rank), Some(delay)) = (reader_rank, self.delay_in_step) else {
            return WATCH_WAIT;
        };
        let parts = (rank as u64 + 1).min(READER_COUNT as u64);
        let end_ms = WATCH_WAIT.0 * parts / READER_COUNT as u64;
        DurationMs(end_ms.saturating_sub(delay.0))
    }

    /// Records the end of a call; returns the delay until the next one.
    pub fn finish(
        &mut self,
        outcome: CallOutcome,
        reader_rank: Option<usize>,
        random: u64,
    ) -> DurationMs {
        match outcome {
            CallOutcome::Answered { has_changes } => {
                let is_first = !self.has_read;
                (self.has_read, self.must_list) = (true, false);
                self.backoff.reset();
                self.delay_in_step = match (is_first, has_changes) {
                    (true, _) => Some(FIRST_WATCH_DELAY),
                    (false, true) => Some(draw_delay(BATCH_DELAY_MIN, BATCH_DELAY_MAX, random)),
                    (false, false) => None,
                };
                // The store may end a watch at once.
                self.delay_in_step.unwrap_or(BATCH_DELAY_MIN)
            }
            CallOutcome::SentByPeer => DurationMs(0),
            CallOutcome::Restored => {
                self.must_list = true;
                // All readers see it at once, and replicas may be of different eras for a while.
                self.backoff.next_delay(random)
            }
            CallOutcome::HistoryDropped => {
                self.must_list = true;
                DurationMs(0)
            }
            CallOutcome::Failed => {
                let delay = self.backoff.next_delay(random);
                match reader_rank {
                    Some(_) => delay,
                    // The readers retry; all daemons together must not overload the store.
                    None => {
                        let random = random.rotate_left(u64::BITS / 2);
                        delay + draw_delay(DurationMs(0), FOLLOWER_BACKOFF_MAX, random)
                    }
                }
            }
        }
    }
}

/// Returns the age of its copy beyond which a daemon doesn't rely on the readers.
///
/// A reader's copy is confirmed by its own reads and those of the others, which it polls; so two
/// polls lie between a read and this daemon.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_gateway::store_calls::copy_age_max;
///
/// assert_eq!(copy_age_max(DurationMs(100)), DurationMs(1_000));
/// assert_eq!(copy_age_max(DurationMs(450)), DurationMs(1_400));
/// ```
pub fn copy_age_max(poll_wait: DurationMs) -> DurationMs {
    (READ_INTERVAL_MAX + poll_wait + poll_wait).max(COPY_AGE_MAX_MIN)
}

/// Returns whether a daemon must read the store itself.
pub fn must_read_store(is_reader: bool, copy_age: DurationMs, poll_wait: DurationMs) -> bool {
    is_reader || copy_age > copy_age_max(poll_wait)
}

/// Returns whether a call needs a new connection, after the time since the last call.
pub fn must_reconnect(idle_time: DurationMs) -> bool {
    idle_time > CONNECTION_IDLE_MAX
}

fn draw_delay(min: DurationMs, max: DurationMs, random: u64) -> DurationMs {
    let range_ms = u128::from(max.0 - min.0);
    let drawn_ms = (u128::from(random) * range_ms) >> u64::BITS;
    min + DurationMs(u64::try_from(drawn_ms).unwrap_or(0))
}
