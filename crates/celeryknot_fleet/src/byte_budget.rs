//! Shared byte budget for all control traffic, with priorities and counters by kind.

use celeryknot_core::{MonotonicMs, SizeBytes};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Kinds of control traffic.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumCount,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ControlKind {
    /// Heartbeats between daemons.
    Heartbeat,
    /// Updates of members' states.
    Members,
    /// Settings and requests for them.
    Values,
    /// The instance list and requests for it.
    Instances,
    /// Updates about parts of prompts and requests that crash endpoints.
    #[strum(serialize = "part-updates")]
    #[serde(rename = "part-updates")]
    SuspectUpdates,
    /// Reads and watches of the platform.
    Platform,
    /// Orders to engines.
    Orders,
    /// Changed summaries of endpoints.
    Summaries,
    /// Probes of endpoints.
    Probes,
    /// Unchanged summaries of endpoints, sent again.
    Refreshes,
}

/// Priority of a message: how far it may draw down the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Priority {
    /// May overdraw the budget by one second's refill.
    Critical,
    /// May overdraw the budget by half a second's refill.
    High,
    /// May empty the budget.
    Normal,
    /// May use the upper half of a full budget.
    Low,
}

impl ControlKind {
    fn priority(self) -> Priority {
        match self {
            Self::Heartbeat => Priority::Critical,
            Self::Members
            | Self::Values
            | Self::Instances
            | Self::SuspectUpdates
            | Self::Platform
            | Self::Orders => Priority::High,
            Self::Summaries | Self::Probes => Priority::Normal,
            Self::Refreshes => Priority::Low,
        }
    }
}

/// Counters of sent and dropped traffic of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCount {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages dropped or deferred because the budget was exhausted.
    pub dropped: u64,
}

/// Token bucket shared by all control traffic.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, SizeBytes};
/// use celeryknot_fleet::{ByteBudget, ControlKind};
///
/// let mut budget = ByteBudget::new(SizeBytes(1_000), MonotonicMs(0));
/// assert!(budget.try_spend(MonotonicMs(0), ControlKind::Summaries, 1_000));
/// assert!(!budget.try_spend(MonotonicMs(0), ControlKind::Summaries, 10));
/// assert!(budget.try_spend(MonotonicMs(0), ControlKind::Heartbeat, 10));
/// assert_eq!(budget.count(ControlKind::Summaries).dropped, 1);
/// ```
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate_bytes_per_s: i64,
    available_millibytes: i64,
    refilled_at: MonotonicMs,
    counts: [KindCount; ControlKind::COUNT],
}

const MILLI: i64 = 1_000;

impl ByteBudget {
    /// Creates a full budget.
    pub fn new(rate: SizeBytes, now: MonotonicMs) -> Self {
        let rate_bytes_per_s = i64::try_from(rate.0).unwrap_or(i64::MAX / MILLI);
        Self {
            rate_bytes_per_s,
            available_millibytes: rate_bytes_per_s * MILLI,
            refilled_at: now,
            counts: [KindCount::default(); ControlKind::COUNT],
        }
    }

    /// Spends the bytes of a message, or counts the message as dropped.
    pub fn try_spend(&mut self, now: MonotonicMs, kind: ControlKind, size_bytes: usize) -> bool {
        if !self.has_capacity(now, kind, size_bytes) {
            self.counts[kind as usize].dropped += 1;
            return false;
        }
        self.spend(now, kind, size_bytes);
        true
    }

    /// Returns whether the budget allows sending a message now.
    pub fn has_capacity(&mut self, now: MonotonicMs, kind: ControlKind, size_bytes: usize) -> bool {
        self.refill(now);
        let capacity = self.rate_bytes_per_s * MILLI;
        let minimum = match kind.priority() {
            Priority::Critical => -capacity,
            Priority::High => -capacity / 2,
            Priority::Normal => 0,
            Priority::Low => capacity / 2,
        };
        let cost = to_millibytes(size_bytes).min(capacity / 2);
        self.available_millibytes - cost >= minimum
    }

    /// Spends the bytes of a message that has already been sent.
    pub fn spend(&mut self, now: MonotonicMs, kind: ControlKind, size_bytes: usize) {
        self.refill(now);
        let capacity = self.rate_bytes_per_s * MILLI;
        let remaining = self.available_millibytes - to_millibytes(size_bytes);
        self.available_millibytes = remaining.max(-capacity);
        let count = &mut self.counts[kind as usize];
        count.sent += 1;
        count.sent_bytes += size_bytes as u64;
    }

    /// Returns the counters of one kind.
    pub fn count(&self, kind: ControlKind) -> KindCount {
        self.counts[kind as usize]
    }

    /// Returns the counters of all kinds.
    pub fn counts(&self) -> impl Iterator<Item = (ControlKind, KindCount)> + '_ {
        ControlKind::iter().map(|kind| (kind, self.count(kind)))
    }

    fn refill(&mut self, now: MonotonicMs) {
        let passed_ms = i64::try_from((now - self.refilled_at).0).unwrap_or(i64::MAX);
        let refilled = passed_ms.saturating_mul(self.rate_bytes_per_s);
        let capacity = self.rate_bytes_per_s * MILLI;
        self.available_millibytes = self
            .available_millibytes
            .saturating_add(refilled)
            .min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn to_millibytes(size_bytes: usize) -> i64 {
    i64::try_from(size_bytes).unwrap_or(i64::MAX / MILLI) * MILLI
}
