//! The latest summary of each endpoint, and the queues of summaries to send to each neighbour.
//!
//! Owners number their summaries. Within one incarnation of an owner, the higher number wins. A
//! summary from another owner replaces one that is stale or whose owner has changed.

mod queue;
mod record;

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::{
    DurationMs, EndpointName, EndpointSummary, Incarnation, MemberName, MonotonicMs,
};

use crate::neighbours::Neighbours;

use queue::NeighbourQueues;
pub use queue::UpdateKind;
pub use record::{EndpointHash, Origin, SummaryBatch, SummaryEntry};
use record::{is_significant_change, is_urgent_change};

#[derive(Debug, Clone)]
struct StoredSummary {
    origin: Origin,
    sequence: u64,
    summary: EndpointSummary,
    updated_at: MonotonicMs,
}

#[derive(Debug, Clone)]
struct OwnSummary {
    latest: EndpointSummary,
    published: EndpointSummary,
    published_at: MonotonicMs,
}

/// Age beyond which a summary may be replaced by that of a daemon other than the endpoint's owner.
const TAKEOVER_AGE_MIN: DurationMs = DurationMs(3_000);

/// Intervals at which an owner publishes the state of its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishIntervals {
    /// Shortest time between two updates of gradual changes; urgent changes are sent at once.
    pub change_interval_min: DurationMs,
    /// Time after which an unchanged state is sent again.
    pub refresh_interval: DurationMs,
}

/// Summaries of one owner, received from a neighbour.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedSummaries<'a> {
    /// The neighbour that sent them.
    pub from: &'a MemberName,
    /// The owner.
    pub origin: &'a Origin,
    /// The summaries.
    pub entries: &'a [SummaryEntry],
    /// Whether they are changes or refreshes.
    pub update_kind: UpdateKind,
}

/// Size at which a message takes no further summaries.
const SUMMARIES_MESSAGE_SIZE_MAX_BYTES: usize = 1_024;

/// The latest summaries, and those queued for each neighbour.
#[derive(Debug, Clone, Default)]
pub struct Summaries {
    stored_summaries: BTreeMap<EndpointHash, StoredSummary>,
    own: BTreeMap<EndpointHash, OwnSummary>,
    sequence: u64,
    queues: BTreeMap<MemberName, NeighbourQueues>,
    version: u64,
}

impl Summaries {
    /// Returns a version that increases with every changed summary.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records the state of an endpoint that this daemon owns.
    pub fn observe_own(&mut self, endpoint: &EndpointName, summary: EndpointSummary) {
        let stored = self
            .own
            .entry(EndpointHash::new(endpoint))
            .or_insert_with(|| OwnSummary {
                latest: summary,
                published: EndpointSummary {
                    in_flight_max: u32::MAX,
                    ..summary
                },
                published_at: MonotonicMs(0),
            });
        stored.latest = summary;
    }

    /// Returns the number of endpoints whose summaries this daemon publishes.
    pub fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Removes own summaries of endpoints that this daemon no longer owns.
    pub fn retain_own(&mut self, owned: &BTreeSet<EndpointHash>) {
        self.own.retain(|endpoint, _| owned.contains(endpoint));
    }

    /// Publishes own summaries that have changed or are due for a refresh.
    pub fn publish_own(
        &mut self,
        now: MonotonicMs,
        own_name: &MemberName,
        incarnation: Incarnation,
        recipients_by_kind: &[Neighbours; 2],
        intervals: PublishIntervals,
    ) {
        let mut changed = Vec::new();
        let mut refreshed = Vec::new();
        for (endpoint, own) in &mut self.own {
            let age = now - own.published_at;
            let is_urgent = is_urgent_change(&own.published, &own.latest);
            let is_change = is_urgent
                || (age >= intervals.change_interval_min
                    && is_significant_change(&own.published, &own.latest));
            let is_due = age >= intervals.refresh_interval;
            if !is_change && !is_due {
                continue;
            }
            own.published = own.latest;
            own.published_at = now;
            self.sequence += 1;
            let stored = StoredSummary {
                origin: Origin {
                    name: own_name.clone(),
                    incarnation,
                },
                sequence: self.sequence,
                summary: own.latest,
                updated_at: now,
            };
            self.stored_summaries.insert(*endpoint, stored);
            let list = if is_change {
                &mut changed
            } else {
                &mut refreshed
            };
            list.push(*endpoint);
        }
        if !changed.is_empty() || !refreshed.is_empty() {
            self.version += 1;
        }
        let [change_recipients, refresh_recipients] = recipients_by_kind;
        for name in change_recipients {
            let queues = self.queues.entry(name.clone()).or_default();
            queues.changes.endpoints.extend(&changed);
        }
        for name in refresh_recipients {
            let queues = self.queues.entry(name.clone()).or_default();
            queues.refreshes.endpoints.extend(&refreshed);
        }
    }

    /// Applies a neighbour's batch and queues its newer summaries for `relay_to`.
    pub fn receive(
        &mut self,
        now: MonotonicMs,
        received: &ReceivedSummaries<'_>,
        is_owner: impl Fn(EndpointHash) -> bool,
        relay_to: &[MemberName],
    ) {
        for entry in received.entries {
            if self.own.contains_key(&entry.endpoint) {
                continue;
            }
            let is_update = self.accept(now, received.origin, entry, &is_owner);
            if let Some(queues) = self.queues.get_mut(received.from) {
                queues.remove(entry.endpoint);
            }
            if !is_update {
                continue;
            }
            for name in relay_to.iter().filter(|name| *name != received.from) {
                let queues = self.queues.entry(name.clone()).or_default();
                queues
                    .queue_mut(received.update_kind)
                    .endpoints
                    .insert(entry.endpoint);
            }
        }
    }

    fn accept(
        &mut self,
        now: MonotonicMs,
        origin: &Origin,
        entry: &SummaryEntry,
        is_owner: impl Fn(EndpointHash) -> bool,
    ) -> bool {
        if let Some(stored) = self.stored_summaries.get(&entry.endpoint) {
            let is_same_origin = stored.origin == *origin;
            let is_update = if is_same_origin {
                entry.sequence > stored.sequence
            } else {
                is_owner(entry.endpoint) || now - stored.updated_at > TAKEOVER_AGE_MIN
            };
            if !is_update {
                return false;
            }
        }
        let stored = StoredSummary {
            origin: origin.clone(),
            sequence: entry.sequence,
            summary: entry.summary,
            updated_at: now,
        };
        self.stored_summaries.insert(entry.endpoint, stored);
        self.version += 1;
        true
    }

    /// Drops the queues of members that are no longer neighbours.
    pub fn retain_neighbours(&mut self, neighbours: &[MemberName]) {
        self.queues.retain(|name, _| neighbours.contains(name));
    }

    /// Returns the summaries queued for a neighbour, up to the size of one message.
    pub fn batches_for(
        &self,
        own_name: &MemberName,
        neighbour: &MemberName,
        update_kind: UpdateKind,
    ) -> Vec<SummaryBatch> {
        let Some(queues) = self.queues.get(neighbour) else {
            return Vec::new();
        };
        let mut batches: BTreeMap<&Origin, Vec<SummaryEntry>> = BTreeMap::new();
        let mut size_bytes = 0;
        for endpoint in queues.queue(update_kind).round_robin() {
            let Some(stored) = self.stored_summaries.get(&endpoint) else {
                continue;
            };
            if stored.origin.name == *neighbour {
                continue;
            }
            let entry = SummaryEntry {
                endpoint,
                sequence: stored.sequence,
                summary: stored.summary,
            };
            size_bytes += entry.size_bytes();
            batches.entry(&stored.origin).or_default().push(entry);
            if size_bytes >= SUMMARIES_MESSAGE_SIZE_MAX_BYTES {
                break;
            }
        }
        batches
            .into_iter()
            .map(|(origin, entries)| SummaryBatch {
                origin: (origin.name != *own_name).then(|| origin.clone()),
                entries,
            })
            .collect()
    }

    /// Removes summaries from a neighbour's queues once they have been sent.
    pub fn mark_sent(
        &mut self,
        neighbour: &MemberName,
        update_kind: UpdateKind,
        endpoints: impl Iterator<Item = EndpointHash>,
    ) {
        let Some(queues) = self.queues.get_mut(neighbour) else {
            return;
        };
        for endpoint in endpoints {
            queues.remove(endpoint);
            queues.queue_mut(update_kind).last_sent = Some(endpoint);
        }
    }

    /// Queues all summaries for a new neighbour.
    pub fn queue_all(&mut self, neighbour: &MemberName) {
        let queues = self.queues.entry(neighbour.clone()).or_default();
        queues
            .changes
            .endpoints
            .extend(self.stored_summaries.keys());
    }

    /// Returns the latest summary of an endpoint unless it is older than `age_max`.
    pub fn get(
        &self,
        endpoint: &EndpointName,
        now: MonotonicMs,
        age_max: DurationMs,
    ) -> Option<EndpointSummary> {
        let hash = EndpointHash::new(endpoint);
        if let Some(own) = self.own.get(&hash) {
            return Some(own.latest);
        }
        let stored = self.stored_summaries.get(&hash)?;
        (now - stored.updated_at <= age_max).then_some(stored.summary)
    }

    /// Removes summaries of endpoints that are no longer listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<EndpointHash>) {
        self.stored_summaries
            .retain(|endpoint, _| listed.contains(endpoint));
    }
}
