//! Queues of the summaries to send to a neighbour.

use std::collections::BTreeSet;
use std::ops::Bound;

use super::record::EndpointHash;

/// Endpoints whose summaries are to be sent to a neighbour, in round-robin order.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    pub(super) endpoints: BTreeSet<EndpointHash>,
    pub(super) last_sent: Option<EndpointHash>,
}

impl Queue {
    /// Returns the endpoints, starting after the one that was sent last.
    pub(super) fn round_robin(&self) -> impl Iterator<Item = EndpointHash> + '_ {
        let after = self.last_sent.map_or(Bound::Unbounded, Bound::Excluded);
        let until = self
            .last_sent
            .map_or(Bound::Excluded(EndpointHash(0)), Bound::Included);
        let rest = self.endpoints.range((after, Bound::Unbounded));
        let first = self.endpoints.range((Bound::Unbounded, until));
        rest.chain(first).copied()
    }
}

/// Why a summary is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The summary has changed.
    Change,
    /// The summary is sent again unchanged.
    Refresh,
}

/// The queues of one neighbour.
#[derive(Debug, Clone, Default)]
pub(super) struct NeighbourQueues {
    pub(super) changes: Queue,
    pub(super) refreshes: Queue,
}

impl NeighbourQueues {
    pub(super) fn queue(&self, update_kind: UpdateKind) -> &Queue {
        match update_kind {
            UpdateKind::Change => &self.changes,
            UpdateKind::Refresh => &self.refreshes,
        }
    }

    pub(super) fn queue_mut(&mut self, update_kind: UpdateKind) -> &mut Queue {
        match update_kind {
            UpdateKind::Change => &mut self.changes,
            UpdateKind::Refresh => &mut self.refreshes,
        }
    }

    pub(super) fn remove(&mut self, endpoint: EndpointHash) {
        self.changes.endpoints.remove(&endpoint);
        self.refreshes.endpoints.remove(&endpoint);
    }
}
