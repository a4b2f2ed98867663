//! What a neighbour has yet to be told.

use std::collections::BTreeSet;
use std::ops::Bound;

use super::record::EndpointHash;

/// Endpoints whose summaries a neighbour has yet to be told, told in turn.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    pub(super) endpoints: BTreeSet<EndpointHash>,
    pub(super) last_told: Option<EndpointHash>,
}

impl Queue {
    /// Returns the endpoints, starting after the one that was told last.
    pub(super) fn in_turn(&self) -> impl Iterator<Item = EndpointHash> + '_ {
        let after = self.last_told.map_or(Bound::Unbounded, Bound::Excluded);
        let until = self
            .last_told
            .map_or(Bound::Excluded(EndpointHash(0)), Bound::Included);
        let rest = self.endpoints.range((after, Bound::Unbounded));
        let first = self.endpoints.range((Bound::Unbounded, until));
        rest.chain(first).copied()
    }
}

/// Whether a summary is told because it has changed or again as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// The summary has changed.
    Change,
    /// The summary is sent again.
    Refresh,
}

/// What is queued for one neighbour.
#[derive(Debug, Clone, Default)]
pub(super) struct Queues {
    pub(super) changes: Queue,
    pub(super) refreshes: Queue,
}

impl Queues {
    pub(super) fn queue(&self, telling: Telling) -> &Queue {
        match telling {
            Telling::Change => &self.changes,
            Telling::Refresh => &self.refreshes,
        }
    }

    pub(super) fn queue_mut(&mut self, telling: Telling) -> &mut Queue {
        match telling {
            Telling::Change => &mut self.changes,
            Telling::Refresh => &mut self.refreshes,
        }
    }

    pub(super) fn remove(&mut self, endpoint: EndpointHash) {
        self.changes.endpoints.remove(&endpoint);
        self.refreshes.endpoints.remove(&endpoint);
    }
}
