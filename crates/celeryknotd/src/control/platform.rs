//! Tasks that read the platform's lists at the start, and poll them while this daemon is a reader.

use std::cell::Cell;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{Backoff, DurationMs, Revision};
use celeryknot_fleet::duties::ReaderAssignment;
use celeryknot_operators::PlatformCallCounts;
use celeryknot_platform::{ByteMeter, InstanceList, PlatformClient, PlatformError, ValueList};
use celeryknot_settings::DaemonSettings;
use futures_lite::future;
use smol::{LocalExecutor, Timer};

/// Timeout of a long poll for values. If a zone has fewer readers than there are replicas, the next
/// poll goes to another replica.
const VALUES_POLL_TIMEOUT: DurationMs = DurationMs(2_000);
/// Minimum timeout of a long poll for the instance list, which is sent in full even if unchanged.
const INSTANCES_POLL_TIMEOUT_MIN: DurationMs = DurationMs(20_000);
/// Maximum timeout of a long poll for the instance list.
const INSTANCES_POLL_TIMEOUT_MAX: DurationMs = DurationMs(60_000);
/// Maximum rate at which unchanged instance lists are received.
const UNCHANGED_LIST_BYTES_PER_S: u64 = 1_000;
const MS_PER_S: u64 = 1_000;
/// Interval between checks of the state that the control loop shares.
const STATE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Delay after a successful call.
const CALL_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of events queued for the control loop.
const EVENT_QUEUE_LEN_MAX: usize = 64;
const BACKOFF_MIN: DurationMs = DurationMs(100);
const BACKOFF_MAX: DurationMs = DurationMs(2_000);

/// State shared by the control loop and the tasks.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// This daemon's assignment among its zone's readers, if it is a reader.
    pub(super) reader_assignment: Cell<Option<ReaderAssignment>>,
    /// Incremented after a stall of the process to make the tasks read both lists again.
    pub(super) resync_count: Cell<u64>,
    /// Calls of the tasks by outcome.
    pub(super) calls: Cell<PlatformCallCounts>,
}

impl WatchState {
    fn count_call(&self, outcome: CallOutcome) {
        let mut calls = self.calls.get();
        match outcome {
            CallOutcome::Changed => calls.changed += 1,
            CallOutcome::Unchanged => calls.unchanged += 1,
            CallOutcome::Stale => calls.stale += 1,
            CallOutcome::Failed => calls.failed += 1,
        }
        self.calls.set(calls);
    }
}

/// How a call of the platform's service ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Changed,
    Unchanged,
    Stale,
    Failed,
}

/// An event from a task to the control loop.
#[derive(Debug)]
pub(super) enum PlatformEvent {
    /// Values were received.
    Values(ValueList),
    /// An instance list was received.
    Instances(InstanceList),
    /// A call ended.
    CallEnded {
        /// Bytes sent and received by the call.
        size_bytes: u64,
    },
}

/// Starts the tasks for both lists and returns their events.
pub(super) fn start_tasks(
    executor: &Rc<LocalExecutor<'static>>,
    settings: &DaemonSettings,
    watch_state: &Rc<WatchState>,
) -> Receiver<PlatformEvent> {
    let (sender, events) = async_channel::bounded(EVENT_QUEUE_LEN_MAX);
    let first_replica = rendezvous_score(0, settings.name.as_str()) % 1_024;
    for list in [PlatformList::Values, PlatformList::Instances] {
        let task = PlatformTask::new(
            list,
            settings.platform_addresses.clone(),
            usize::try_from(first_replica).unwrap_or(0),
            Rc::clone(watch_state),
            sender.clone(),
        );
        executor.spawn(task.run()).detach();
    }
    events
}

/// A list served by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformList {
    /// The values of the configuration service.
    Values,
    /// The instance list.
    Instances,
}

impl PlatformList {
    /// Returns the timeout of a long poll, given the size of the last response.
    fn poll_timeout(self, size_bytes: u64) -> DurationMs {
        match self {
            Self::Values => VALUES_POLL_TIMEOUT,
            Self::Instances => {
                let timeout = DurationMs(size_bytes * MS_PER_S / UNCHANGED_LIST_BYTES_PER_S);
                timeout.clamp(INSTANCES_POLL_TIMEOUT_MIN, INSTANCES_POLL_TIMEOUT_MAX)
            }
        }
    }
}

/// A task that reads or polls one list.
struct PlatformTask {
    list: PlatformList,
    client: PlatformClient,
    meter: Arc<ByteMeter>,
    watch_state: Rc<WatchState>,
    events: Sender<PlatformEvent>,
    cursor: Option<Revision>,
    assignment_seen: Option<ReaderAssignment>,
    /// Polls that returned no change since the assignment last changed; selects the replica.
    unchanged_polls: usize,
    replicas: usize,
    resync_count_seen: Option<u64>,
    last_call_failed: bool,
    response_size_bytes: u64,
}

impl PlatformTask {
    /// Creates the task for one list.
    fn new(
        list: PlatformList,
        addresses: Vec<SocketAddr>,
        first_replica: usize,
        watch_state: Rc<WatchState>,
        events: Sender<PlatformEvent>,
    ) -> Self {
        let meter = Arc::new(ByteMeter::default());
        let replicas = addresses.len();
        Self {
            list,
            client: PlatformClient::new(addresses, first_replica, Arc::clone(&meter)),
            meter,
            watch_state,
            events,
            cursor: None,
            assignment_seen: None,
            unchanged_polls: 0,
            replicas,
            resync_count_seen: None,
            last_call_failed: false,
            response_size_bytes: 0,
        }
    }

    /// Reads and polls the list until the control loop ends.
    async fn run(mut self) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
        while !self.events.is_closed() {
            let Some(timeout) = self.next_poll_timeout() else {
                Timer::after(STATE_CHECK_PERIOD).await;
                continue;
            };
            let stall = wait_for_stall(Rc::clone(&self.watch_state));
            let call = async { Some(self.call(timeout).await) };
            let Some(result) = future::or(call, stall).await else {
                continue;
            };
            // After a failure the client has already moved to another replica. It stays there until
            // a call succeeds.
            self.last_call_failed = result.is_err();
            let delay = match result {
                Ok(()) => {
                    backoff.reset();
                    CALL_DELAY
                }
                Err(error) => {
                    tracing::debug!(subject = ?self.list, %error, "a call to the platform failed");
                    backoff.next_delay(rand::random()).as_std()
                }
            };
            Timer::after(delay).await;
        }
    }

    /// Returns the timeout of the next long poll, zero for a plain read, or `None` if no call is
    /// due.
    fn next_poll_timeout(&mut self) -> Option<DurationMs> {
        if self.resync_count_seen != Some(self.watch_state.resync_count.get()) {
            return Some(DurationMs(0));
        }
        let assignment = self.watch_state.reader_assignment.get()?;
        if self.assignment_seen != Some(assignment) {
            self.assignment_seen = Some(assignment);
            self.unchanged_polls = 0;
        }
        if !self.last_call_failed {
            self.client
                .select(assignment.replica(self.unchanged_polls, self.replicas));
        }
        Some(self.list.poll_timeout(self.response_size_bytes))
    }

    async fn call(&mut self, timeout: DurationMs) -> Result<(), PlatformError> {
        let resync_count = self.watch_state.resync_count.get();
        let before = self.size_bytes();
        let cursor = self.cursor;
        let result = match self.list {
            PlatformList::Values => self.read_values(timeout).await,
            PlatformList::Instances => self.read_instances(timeout).await,
        };
        self.response_size_bytes = self.size_bytes() - before;
        let call_ended = PlatformEvent::CallEnded {
            size_bytes: self.response_size_bytes,
        };
        // If the channel is closed, the loop in `run` ends.
        drop(self.events.send(call_ended).await);
        self.watch_state.count_call(call_outcome(&result, cursor));
        let event = result?;
        self.resync_count_seen = Some(resync_count);
        drop(self.events.send(event).await);
        Ok(())
    }

    async fn read_values(&mut self, timeout: DurationMs) -> Result<PlatformEvent, PlatformError> {
        let list = self.client.values(self.cursor, timeout).await?;
        self.unchanged_polls += usize::from(list.values.is_empty());
        self.cursor = self.cursor.max(Some(list.revision));
        Ok(PlatformEvent::Values(list))
    }

    async fn read_instances(
        &mut self,
        timeout: DurationMs,
    ) -> Result<PlatformEvent, PlatformError> {
        let list = self.client.instances(self.cursor, timeout).await?;
        self.unchanged_polls += usize::from(Some(list.revision) <= self.cursor);
        self.cursor = self.cursor.max(Some(list.revision));
        Ok(PlatformEvent::Instances(list))
    }

    fn size_bytes(&self) -> u64 {
        self.meter.sent().0 + self.meter.received().0
    }
}

/// Returns `None` after a stall of the process, which cancels a call in progress.
async fn wait_for_stall<T>(watch_state: Rc<WatchState>) -> Option<T> {
    let count = watch_state.resync_count.get();
    while watch_state.resync_count.get() == count {
        Timer::after(STATE_CHECK_PERIOD).await;
    }
    None
}

/// Compares the revision of a response with the one received before.
fn call_outcome(
    result: &Result<PlatformEvent, PlatformError>,
    cursor: Option<Revision>,
) -> CallOutcome {
    let revision = match result {
        Ok(PlatformEvent::Values(list)) => list.revision,
        Ok(PlatformEvent::Instances(list)) => list.revision,
        Ok(PlatformEvent::CallEnded { .. }) | Err(_) => return CallOutcome::Failed,
    };
    match Some(revision).cmp(&cursor) {
        Ordering::Greater => CallOutcome::Changed,
        Ordering::Equal => CallOutcome::Unchanged,
        Ordering::Less => CallOutcome::Stale,
    }
}
