//! Simulated platform with replicas that may be stale, and the readers of the daemons.

use std::sync::Arc;

use celeryknot_core::{MonotonicMs, Revision, SettingPath};

use crate::duties::ReaderAssignment;
use crate::fleet::Fleet;
use crate::instance_list::ListedInstance;
use crate::settings_store::ValueRecord;

/// Timeout of a watch, after which it moves on to the next replica.
const WATCH_TIMEOUT_MS: u64 = 2_000;
/// Duration of a read.
const READ_DURATION_MS: u64 = 5;

/// The platform's replicas.
#[derive(Debug, Clone)]
pub struct SimulatedPlatform {
    values: Vec<ValueRecord>,
    lists: Vec<(Revision, Vec<ListedInstance>)>,
    /// The number of values and lists that each stale replica returns; `None` for fresh replicas.
    stale_counts: Vec<Option<(usize, usize)>>,
    sides: Vec<u8>,
    is_down: bool,
    calls: u64,
}

impl SimulatedPlatform {
    pub(super) fn new(replicas: usize) -> Self {
        Self {
            values: Vec::new(),
            lists: Vec::new(),
            stale_counts: vec![None; replicas.max(1)],
            sides: vec![0, 1],
            is_down: false,
            calls: 0,
        }
    }

    /// Publishes a value and returns its revision.
    pub fn publish(&mut self, path: &SettingPath, text: Option<&str>) -> Revision {
        let revision = Revision(self.values.len() as u64 + 1);
        self.values.push(ValueRecord {
            path: path.clone(),
            revision,
            text: text.map(Arc::from),
        });
        revision
    }

    pub(super) fn publish_list(&mut self, list: Vec<ListedInstance>) {
        let revision = Revision(self.lists.len() as u64 + 1);
        self.lists.push((revision, list));
    }

    /// Makes the first `count` replicas stale and the others fresh.
    pub fn set_stale(&mut self, count: usize) {
        let visible_counts = (self.values.len(), self.lists.len());
        for (index, stale_counts) in self.stale_counts.iter_mut().enumerate() {
            *stale_counts = (index < count).then_some(stale_counts.unwrap_or(visible_counts));
        }
    }

    /// Sets whether the platform is down.
    pub fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
    }

    pub(super) fn set_sides(&mut self, sides: &[u8]) {
        self.sides = sides.to_vec();
    }

    /// Returns the number of calls; a watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    fn visible_counts(&self, replica: usize) -> (usize, usize) {
        self.stale_counts[replica % self.stale_counts.len()]
            .unwrap_or((self.values.len(), self.lists.len()))
    }
}

/// One daemon's reader of the platform.
#[derive(Debug, Clone)]
pub(super) struct SimulatedReader {
    replica: usize,
    assignment: Option<ReaderAssignment>,
    empty_watches: usize,
    has_read: bool,
    next_read_ms: u64,
    watch_ends_ms: u64,
    values_read: usize,
    lists_read: usize,
}

impl SimulatedReader {
    pub(super) fn new(now_ms: u64, replica: usize) -> Self {
        Self {
            replica,
            assignment: None,
            empty_watches: 0,
            has_read: false,
            next_read_ms: now_ms + READ_DURATION_MS,
            watch_ends_ms: now_ms + WATCH_TIMEOUT_MS,
            values_read: 0,
            lists_read: 0,
        }
    }

    pub(super) fn restart(&mut self, now_ms: u64) {
        self.has_read = false;
        self.next_read_ms = now_ms + READ_DURATION_MS;
    }

    pub(super) fn read(
        &mut self,
        platform: &mut SimulatedPlatform,
        fleet: &mut Fleet,
        now: MonotonicMs,
        assignment: Option<ReaderAssignment>,
        side: u8,
    ) {
        let is_due = now.0 >= self.next_read_ms && (!self.has_read || assignment.is_some());
        if !is_due || platform.is_down || !platform.sides.contains(&side) {
            return;
        }
        if assignment != self.assignment {
            self.assignment = assignment;
            self.empty_watches = 0;
        }
        if let Some(assignment) = assignment {
            self.replica = assignment.replica(self.empty_watches, platform.stale_counts.len());
        }
        let (values, lists) = platform.visible_counts(self.replica);
        let is_update = values > self.values_read || lists > self.lists_read || !self.has_read;
        if is_update {
            platform.calls += 2;
            let start = self.values_read.min(values);
            fleet.apply_platform_values(now, &platform.values[start..values]);
            if let Some((revision, list)) = platform.lists[..lists].last() {
                fleet.apply_platform_list(now, *revision, list.clone());
            }
            self.values_read = self.values_read.max(values);
            self.lists_read = self.lists_read.max(lists);
            self.has_read = true;
            self.watch_ends_ms = now.0 + WATCH_TIMEOUT_MS;
        } else if now.0 >= self.watch_ends_ms {
            platform.calls += 2;
            fleet.apply_platform_values(now, &[]);
            self.empty_watches += 1;
            self.watch_ends_ms = now.0 + WATCH_TIMEOUT_MS;
        }
    }
}
