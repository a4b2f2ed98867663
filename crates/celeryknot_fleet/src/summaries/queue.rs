//! What a neighbour has yet to be told.

use std::collections::BTreeSet;
use std::ops::Bound;

use super::record::EndpointHash;

/// Endpoints whose summaries a neighbour has yet to be told, told in turn.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    pub(super) endpoints: BTreeSet<EndpointHash>,
    pub(super) last_sent: Option<EndpointHash>,
}

impl Queue {
    /// Returns the endpoints, starting after the one that was told last.
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

/// Whether a summary is told because it has changed or again as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The summary has changed.
    Change,
    /// The summary is sent again.
    Refresh,
}

/// What is queued for one neighbour.
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
