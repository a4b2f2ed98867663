//! Summaries as sent between daemons, and which changes are sent.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{EndpointName, EndpointSummary, Incarnation, MemberName};

/// Short hash that replaces an endpoint's name in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointHash(pub u32);

impl EndpointHash {
    /// Hashes a name.
    pub fn new(name: &EndpointName) -> Self {
        let low = rendezvous_score(ENDPOINT_SALT, name.as_str()) & u64::from(u32::MAX);
        Self(u32::try_from(low).unwrap_or(u32::MAX))
    }
}

const ENDPOINT_SALT: u64 = 0x656e_6470;

/// The owner that published a summary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The owner's name.
    pub name: MemberName,
    /// The owner's incarnation.
    pub incarnation: Incarnation,
}

/// Summaries of one owner as sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryBatch {
    /// The owner that published the summaries; `None` if it is the sender itself.
    pub origin: Option<Origin>,
    /// The summaries.
    pub entries: Vec<SummaryEntry>,
}

/// One endpoint's summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SummaryEntry {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Increases with every summary of the owner.
    pub sequence: u64,
    /// The endpoint's state.
    pub summary: EndpointSummary,
}

impl SummaryBatch {
    /// Returns the approximate size of the batch in a message.
    pub fn size_bytes(&self) -> usize {
        let entries: usize = self.entries.iter().map(SummaryEntry::size_bytes).sum();
        let origin = self.origin.as_ref();
        4 + origin.map_or(0, |origin| origin.name.as_str().len() + 13) + entries
    }
}

impl SummaryEntry {
    pub(super) fn size_bytes(&self) -> usize {
        let varint = |value: u64| (64 - value.leading_zeros() as usize).div_ceil(7);
        let optional = |value: u64| if value == 0 { 0 } else { 1 + varint(value) };
        let summary = &self.summary;
        7 + optional(self.sequence)
            + optional(u64::from(summary.in_flight))
            + optional(u64::from(summary.queued))
            + optional(u64::from(summary.in_flight_max))
            + optional(summary.wait_ms.0)
            + 2
    }
}

/// Changes of the expected wait up to this size are not significant.
const WAIT_CHANGE_MIN_MS: u64 = 20;

/// Returns whether a change affects placement so much that it must be sent immediately.
pub(super) fn is_urgent_change(published: &EndpointSummary, latest: &EndpointSummary) -> bool {
    let bound = published.in_flight_max.max(latest.in_flight_max);
    let bound_change = published.in_flight_max.abs_diff(latest.in_flight_max);
    published.condition != latest.condition || bound_change > bound / 2
}

pub(super) fn is_significant_change(published: &EndpointSummary, latest: &EndpointSummary) -> bool {
    let count_differs = |a: u32, b: u32| a.abs_diff(b) > a.max(b) / 8;
    let wait_ms = published.wait_ms.0.max(latest.wait_ms.0);
    count_differs(published.in_flight, latest.in_flight)
        || count_differs(published.in_flight_max, latest.in_flight_max)
        || count_differs(published.queued, latest.queued)
        || published.wait_ms.0.abs_diff(latest.wait_ms.0) > WAIT_CHANGE_MIN_MS.max(wait_ms / 4)
}
