//! The store's items as they are passed on to other daemons.
//!
//! Items are kept as the store wrote them; each daemon decodes them itself.

use std::collections::HashMap;

use crate::boundary::StoreRevision;

/// Removals that are remembered; a daemon that knows less is told the whole store.
const REMOVALS_MAX: usize = 2_048;

/// One item, or its removal, as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawItem {
    /// The item's key.
    pub key: String,
    /// The revision of its last change.
    pub revision: StoreRevision,
    /// What it holds; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// What one daemon knows of the store, and up to which revision.
///
/// # Examples
///
/// ```
/// use celeryknot_gateway::boundary::StoreRevision;
/// use celeryknot_gateway::relay_log::{RawItem, RelayLog};
///
/// let mut log = RelayLog::default();
/// let item = |revision, value| RawItem {
///     key: "servers/i-1".to_owned(),
///     revision: StoreRevision(revision),
///     value,
/// };
/// log.replace(StoreRevision(7), vec![item(5, Some(vec![1]))]);
/// assert!(log.apply(StoreRevision(9), vec![item(9, None)]).len() == 1);
/// let news = log.after(Some(StoreRevision(7)));
/// assert!(!news.is_whole && news.items == [item(9, None)]);
/// assert!(log.after(None).is_whole);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RelayLog {
    items: HashMap<String, RawItem>,
    removals: HashMap<String, StoreRevision>,
    /// Removals up to this revision are forgotten.
    forgotten: StoreRevision,
    at: Option<StoreRevision>,
}

/// What a daemon has not heard yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// Whether the items are the whole store.
    pub is_whole: bool,
    /// The items.
    pub items: Vec<RawItem>,
}

impl RelayLog {
    /// Returns the revision up to which the store is known.
    pub fn at(&self) -> Option<StoreRevision> {
        self.at
    }

    /// Takes over the whole store; returns the items that are new, removals included.
    ///
    /// A listing that is older than what is known is ignored.
    pub fn replace(&mut self, at: StoreRevision, items: Vec<RawItem>) -> Vec<RawItem> {
        if self.at.is_some_and(|known| at < known) {
            return Vec::new();
        }
        let unlisted: Vec<RawItem> = self
            .items
            .values()
            .filter(|held| held.revision <= at && items.iter().all(|item| item.key != held.key))
            .map(|held| RawItem {
                key: held.key.clone(),
                revision: at,
                value: None,
            })
            .collect();
        let mut changes = self.apply(at, items);
        changes.extend(self.apply(at, unlisted));
        changes
    }

    /// Takes over changes; returns those that are news.
    pub fn apply(&mut self, at: StoreRevision, items: Vec<RawItem>) -> Vec<RawItem> {
        let news = items
            .into_iter()
            .filter(|item| self.apply_one(item))
            .collect();
        self.at = self.at.max(Some(at));
        if self.removals.len() > REMOVALS_MAX {
            self.forget_removals();
        }
        news
    }

    fn apply_one(&mut self, item: &RawItem) -> bool {
        let held = self.items.get(&item.key).map(|held| held.revision);
        let known = held.max(self.removals.get(&item.key).copied());
        if known >= Some(item.revision) {
            return false;
        }
        if item.value.is_some() {
            self.removals.remove(&item.key);
            self.items.insert(item.key.clone(), item.clone());
            return true;
        }
        self.removals.insert(item.key.clone(), item.revision);
        self.items.remove(&item.key).is_some()
    }

    fn forget_removals(&mut self) {
        let mut revisions: Vec<StoreRevision> = self.removals.values().copied().collect();
        revisions.sort_unstable();
        let limit = revisions[revisions.len() / 2];
        self.removals.retain(|_, revision| *revision > limit);
        self.forgotten = self.forgotten.max(limit);
    }

    /// Returns what a daemon has not heard that knows the store up to a revision.
    pub fn after(&self, after: Option<StoreRevision>) -> News {
        let Some(after) = after.filter(|after| *after >= self.forgotten) else {
            return News {
                is_whole: true,
                items: self.items.values().cloned().collect(),
            };
        };
        let changed = self.items.values().filter(|item| item.revision > after);
        let removed = self
            .removals
            .iter()
            .filter(|(_, revision)| **revision > after)
            .map(|(key, revision)| RawItem {
                key: key.clone(),
                revision: *revision,
                value: None,
            });
        News {
            is_whole: false,
            items: changed.cloned().chain(removed).collect(),
        }
    }
}
