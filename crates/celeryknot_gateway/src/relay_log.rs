//! The store's items as relayed to other daemons.
//!
//! Items keep the store's encoding; each daemon decodes them itself.

use std::collections::HashMap;

use crate::platform_protocol::StoreRevision;

/// Maximum number of tombstones; a daemon whose copy predates a dropped one gets a snapshot.
const TOMBSTONES_MAX: usize = 2_048;

/// A relayed item, or its tombstone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawItem {
    /// The item's key.
    pub key: String,
    /// The revision of its last change.
    pub revision: StoreRevision,
    /// Its value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// A daemon's copy of the store at a revision.
///
/// # Examples
///
/// ```
/// use celeryknot_gateway::platform_protocol::StoreRevision;
/// use celeryknot_gateway::relay_log::{RawItem, RelayLog};
///
/// let mut log = RelayLog::default();
/// let item = |revision, value| RawItem {
///     key: "servers/i-1".to_owned(),
///     revision: StoreRevision::from(revision),
///     value,
/// };
/// log.replace(StoreRevision::from(7), vec![item(5, Some(vec![1]))]);
/// assert!(log.apply(StoreRevision::from(9), vec![item(9, None)]).len() == 1);
/// let updates = log.after(Some(StoreRevision::from(7)));
/// assert!(!updates.is_snapshot && updates.items == [item(9, None)]);
/// assert!(log.after(None).is_snapshot);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RelayLog {
    items: HashMap<String, RawItem>,
    tombstones: HashMap<String, StoreRevision>,
    /// Tombstones up to this revision have been dropped.
    compacted_revision: StoreRevision,
    at: Option<StoreRevision>,
}

/// Items that a daemon has not received yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdates {
    /// Whether the items are the complete store.
    pub is_snapshot: bool,
    /// The items.
    pub items: Vec<RawItem>,
}

impl RelayLog {
    /// Returns the revision of the copy.
    pub fn at(&self) -> Option<StoreRevision> {
        self.at
    }

    /// Replaces the copy with a complete listing; returns the changed items and tombstones.
    ///
    /// Ignores a listing that is older than the copy.
    pub fn replace(&mut self, at: StoreRevision, items: Vec<RawItem>) -> Vec<RawItem> {
        if self.at.is_some_and(|known| at < known) {
            return Vec::new();
        }
        let removed_items: Vec<RawItem> = self
            .items
            .values()
            .filter(|existing| {
                existing.revision <= at && items.iter().all(|item| item.key != existing.key)
            })
            .map(|existing| RawItem {
                key: existing.key.clone(),
                revision: at,
                value: None,
            })
            .collect();
        let mut changes = self.apply(at, items);
        changes.extend(self.apply(at, removed_items));
        changes
    }

    /// Applies changes; returns those that were not known yet.
    pub fn apply(&mut self, at: StoreRevision, items: Vec<RawItem>) -> Vec<RawItem> {
        let updates = items
            .into_iter()
            .filter(|item| self.apply_one(item))
            .collect();
        self.at = self.at.max(Some(at));
        if self.tombstones.len() > TOMBSTONES_MAX {
            self.compact_tombstones();
        }
        updates
    }

    fn apply_one(&mut self, item: &RawItem) -> bool {
        let existing = self.items.get(&item.key).map(|existing| existing.revision);
        let known = existing.max(self.tombstones.get(&item.key).copied());
        if known >= Some(item.revision) {
            return false;
        }
        if item.value.is_some() {
            self.tombstones.remove(&item.key);
            self.items.insert(item.key.clone(), item.clone());
            return true;
        }
        self.tombstones.insert(item.key.clone(), item.revision);
        self.items.remove(&item.key).is_some()
    }

    fn compact_tombstones(&mut self) {
        let mut revisions: Vec<StoreRevision> = self.tombstones.values().copied().collect();
        revisions.sort_unstable();
        let cutoff = revisions[revisions.len() / 2];
        self.tombstones.retain(|_, revision| *revision > cutoff);
        self.compacted_revision = self.compacted_revision.max(cutoff);
    }

    /// Sets the value of an item without a new revision, in place of an older one that the store has
    /// under this revision.
    pub fn keep(&mut self, item: RawItem) {
        self.tombstones.remove(&item.key);
        self.items.insert(item.key.clone(), item);
    }

    /// Returns the updates for a daemon whose copy is at revision `after`: a snapshot if that is of an
    /// earlier era, and nothing if it is of a later one.
    pub fn after(&self, after: Option<StoreRevision>) -> StoreUpdates {
        let era = self.at.unwrap_or_default().era;
        if after.is_some_and(|after| after.era > era) {
            return StoreUpdates {
                is_snapshot: false,
                items: Vec::new(),
            };
        }
        let is_covered =
            |after: &StoreRevision| after.era == era && *after >= self.compacted_revision;
        let Some(after) = after.filter(is_covered) else {
            return StoreUpdates {
                is_snapshot: true,
                items: self.items.values().cloned().collect(),
            };
        };
        let changed = self.items.values().filter(|item| item.revision > after);
        let removed = self
            .tombstones
            .iter()
            .filter(|(_, revision)| **revision > after)
            .map(|(key, revision)| RawItem {
                key: key.clone(),
                revision: *revision,
                value: None,
            });
        StoreUpdates {
            is_snapshot: false,
            items: changed.cloned().chain(removed).collect(),
        }
    }
}
