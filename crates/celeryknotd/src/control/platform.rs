//! Tasks that read the platform once at the start, and watch it while this daemon is a reader.

use std::cell::Cell;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{Backoff, DurationMs, Revision};
use celeryknot_fleet::duties::ReaderPlace;
use celeryknot_operators::PlatformCallCounts;
use celeryknot_platform::{ByteMeter, InstanceList, PlatformClient, PlatformError, ValueList};
use celeryknot_settings::DaemonSettings;
use futures_lite::future;
use smol::{LocalExecutor, Timer};

/// Time for which a watch of values waits before it goes on, at another replica if readers are few.
const VALUES_WAIT: DurationMs = DurationMs(2_000);
/// The same for the instance list, which comes whole also when nothing has changed.
const INSTANCES_WAIT: DurationMs = DurationMs(20_000);
/// Longest wait for the instance list.
const INSTANCES_WAIT_MAX: DurationMs = DurationMs(60_000);
/// Bytes a second that unchanged instance lists may take.
const UNCHANGED_BYTES_PER_S: u64 = 1_000;
const MS_PER_S: u64 = 1_000;
/// Time between two looks at whether this daemon is a reader.
const ROLE_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two calls of one watch.
const CALL_GAP: Duration = Duration::from_millis(50);
/// Events that wait for the control loop.
const EVENTS_LEN_MAX: usize = 64;
const BACKOFF_FIRST_MS: DurationMs = DurationMs(100);
const BACKOFF_LONGEST_MS: DurationMs = DurationMs(2_000);

/// What the control loop tells the tasks.
#[derive(Debug, Default)]
pub(super) struct Role {
    /// This daemon's place among its zone's readers, if it is one.
    pub(super) reader_place: Cell<Option<ReaderPlace>>,
    /// Raised when both lists must be read again, after a pause.
    pub(super) read_again_count: Cell<u64>,
    /// The tasks' calls so far.
    pub(super) calls: Cell<PlatformCallCounts>,
}

impl Role {
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

/// What the tasks tell the control loop.
#[derive(Debug)]
pub(super) enum PlatformEvent {
    /// Values came.
    Values(ValueList),
    /// An instance list came.
    Instances(InstanceList),
    /// A call was made.
    Called {
        /// Bytes written and read by it.
        size_bytes: u64,
    },
}

/// Starts the tasks for both lists and returns what they tell.
pub(super) fn watch(
    executor: &Rc<LocalExecutor<'static>>,
    settings: &DaemonSettings,
    role: &Rc<Role>,
) -> Receiver<PlatformEvent> {
    let (sender, events) = async_channel::bounded(EVENTS_LEN_MAX);
    let first = rendezvous_score(0, settings.name.as_str()) % 1_024;
    for subject in [Subject::Values, Subject::Instances] {
        let task = PlatformTask::new(
            subject,
            settings.platform_addresses.clone(),
            usize::try_from(first).unwrap_or(0),
            Rc::clone(role),
            sender.clone(),
        );
        executor.spawn(task.run()).detach();
    }
    events
}

/// One of the two lists that the platform gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    /// The configuration service's values.
    Values,
    /// The instance list.
    Instances,
}

impl Subject {
    /// Returns how long a watch waits, given the size of the last answer.
    fn watch_wait(self, size_bytes: u64) -> DurationMs {
        match self {
            Self::Values => VALUES_WAIT,
            Self::Instances => {
                let wait = DurationMs(size_bytes * MS_PER_S / UNCHANGED_BYTES_PER_S);
                wait.clamp(INSTANCES_WAIT, INSTANCES_WAIT_MAX)
            }
        }
    }
}

/// A task that reads or watches one list.
struct PlatformTask {
    subject: Subject,
    client: PlatformClient,
    meter: Arc<ByteMeter>,
    role: Rc<Role>,
    events: Sender<PlatformEvent>,
    cursor: Option<Revision>,
    place_seen: Option<ReaderPlace>,
    /// Watches in a row that ended empty.
    turns: usize,
    replicas: usize,
    read_count_seen: Option<u64>,
    has_failed: bool,
    answer_size_bytes: u64,
}

impl PlatformTask {
    /// Builds the task for one list.
    fn new(
        subject: Subject,
        addresses: Vec<SocketAddr>,
        first: usize,
        role: Rc<Role>,
        events: Sender<PlatformEvent>,
    ) -> Self {
        let meter = Arc::new(ByteMeter::default());
        let replicas = addresses.len();
        Self {
            subject,
            client: PlatformClient::new(addresses, first, Arc::clone(&meter)),
            meter,
            role,
            events,
            cursor: None,
            place_seen: None,
            turns: 0,
            replicas,
            read_count_seen: None,
            has_failed: false,
            answer_size_bytes: 0,
        }
    }

    /// Reads and watches until the control loop is gone.
    async fn run(mut self) {
        let mut backoff = Backoff::new(BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS);
        while !self.events.is_closed() {
            let Some(wait) = self.next_wait() else {
                Timer::after(ROLE_PERIOD).await;
                continue;
            };
            let pause_noted = await_pause(Rc::clone(&self.role));
            let call = async { Some(self.call(wait).await) };
            let Some(result) = future::or(call, pause_noted).await else {
                continue;
            };
            // The client has moved on by itself after a failure; it comes back once one is over.
            self.has_failed = result.is_err();
            let pause = match result {
                Ok(()) => {
                    backoff.reset();
                    CALL_GAP
                }
                Err(error) => {
                    tracing::debug!(subject = ?self.subject, %error, "the platform was not read");
                    backoff.next_wait(rand::random()).as_std()
                }
            };
            Timer::after(pause).await;
        }
    }

    /// Returns how long the next call may wait, or none if no call is due.
    fn next_wait(&mut self) -> Option<DurationMs> {
        if self.read_count_seen != Some(self.role.read_again_count.get()) {
            return Some(DurationMs(0));
        }
        let place = self.role.reader_place.get()?;
        if self.place_seen != Some(place) {
            self.place_seen = Some(place);
            self.turns = 0;
        }
        if !self.has_failed {
            self.client.select(place.replica(self.turns, self.replicas));
        }
        Some(self.subject.watch_wait(self.answer_size_bytes))
    }

    async fn call(&mut self, wait: DurationMs) -> Result<(), PlatformError> {
        let read_count = self.role.read_again_count.get();
        let before = self.size_bytes();
        let cursor = self.cursor;
        let result = match self.subject {
            Subject::Values => self.read_values(wait).await,
            Subject::Instances => self.read_instances(wait).await,
        };
        self.answer_size_bytes = self.size_bytes() - before;
        let called = PlatformEvent::Called {
            size_bytes: self.answer_size_bytes,
        };
        // A closed channel ends the task's loop.
        drop(self.events.send(called).await);
        self.role.count_call(outcome_of(&result, cursor));
        let event = result?;
        self.read_count_seen = Some(read_count);
        drop(self.events.send(event).await);
        Ok(())
    }

    async fn read_values(&mut self, wait: DurationMs) -> Result<PlatformEvent, PlatformError> {
        let list = self.client.values(self.cursor, wait).await?;
        self.turns += usize::from(list.values.is_empty());
        self.cursor = self.cursor.max(Some(list.revision));
        Ok(PlatformEvent::Values(list))
    }

    async fn read_instances(&mut self, wait: DurationMs) -> Result<PlatformEvent, PlatformError> {
        let list = self.client.instances(self.cursor, wait).await?;
        self.turns += usize::from(Some(list.revision) <= self.cursor);
        self.cursor = self.cursor.max(Some(list.revision));
        Ok(PlatformEvent::Instances(list))
    }

    fn size_bytes(&self) -> u64 {
        self.meter.sent().0 + self.meter.received().0
    }
}

/// Ends a watch that began before a pause of the process.
async fn await_pause<T>(role: Rc<Role>) -> Option<T> {
    let count = role.read_again_count.get();
    while role.read_again_count.get() == count {
        Timer::after(ROLE_PERIOD).await;
    }
    None
}

/// Compares an answer with the revision that was known before.
fn outcome_of(
    result: &Result<PlatformEvent, PlatformError>,
    cursor: Option<Revision>,
) -> CallOutcome {
    let revision = match result {
        Ok(PlatformEvent::Values(list)) => list.revision,
        Ok(PlatformEvent::Instances(list)) => list.revision,
        Ok(PlatformEvent::Called { .. }) | Err(_) => return CallOutcome::Failed,
    };
    match Some(revision).cmp(&cursor) {
        Ordering::Greater => CallOutcome::Changed,
        Ordering::Equal => CallOutcome::Unchanged,
        Ordering::Less => CallOutcome::Stale,
    }
}
