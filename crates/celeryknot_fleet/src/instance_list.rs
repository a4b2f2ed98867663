//! The platform's instance list, read by a few daemons and relayed to the others as changes.
//!
//! A change holds all differences between two revisions and applies only to a list at exactly
//! the first revision. A daemon at any other revision pulls the list, so every copy equals a
//! published list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use celeryknot_core::{EndpointName, MemberName, Revision, ServiceName, ZoneName};

use crate::membership::MemberInfo;
use crate::view::FencingMode;

/// A daemon in the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedDaemon {
    /// The daemon's zone and addresses.
    pub info: MemberInfo,
    /// Whether the daemon is draining because the platform is about to remove it.
    pub is_draining: bool,
}

/// An endpoint in the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Whether the endpoint is draining because the platform is about to remove it.
    pub is_draining: bool,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    pub fencing: FencingMode,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListedInstance {
    /// A daemon.
    Daemon(ListedDaemon),
    /// An endpoint.
    Endpoint(ListedEndpoint),
}

/// The key of an entry. Includes the kind because a daemon and an endpoint may share a name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey {
    /// Whether the entry is an endpoint.
    pub is_endpoint: bool,
    /// The entry's name.
    pub name: String,
}

impl ListedInstance {
    /// Returns the entry's key.
    pub fn key(&self) -> InstanceKey {
        match self {
            Self::Daemon(daemon) => InstanceKey {
                is_endpoint: false,
                name: daemon.info.name.to_string(),
            },
            Self::Endpoint(endpoint) => InstanceKey {
                is_endpoint: true,
                name: endpoint.name.to_string(),
            },
        }
    }

    /// Returns the approximate size of the entry in a message.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Daemon(daemon) => {
                daemon.info.name.as_str().len() + daemon.info.zone.as_str().len() + 64
            }
            Self::Endpoint(endpoint) => {
                let names = endpoint.name.as_str().len() + endpoint.service.as_str().len();
                names + endpoint.zone.as_str().len() + 44
            }
        }
    }
}

/// All differences between two revisions of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListChange {
    /// The revision that the change applies to.
    pub from: Revision,
    /// The revision that results from the change.
    pub to: Revision,
    /// Added or changed entries.
    pub upserts: Vec<ListedInstance>,
    /// Keys of removed entries.
    pub removed: Vec<InstanceKey>,
}

impl ListChange {
    /// Returns the approximate size of the change in a message.
    pub fn size_bytes(&self) -> usize {
        let upserts: usize = self.upserts.iter().map(ListedInstance::size_bytes).sum();
        let removed: usize = self.removed.iter().map(|key| key.name.len() + 6).sum();
        upserts + removed + 16
    }
}

/// A page of the complete list, in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// The revision of the list.
    pub revision: Revision,
    /// Whether this is the first page.
    pub is_first: bool,
    /// The entries of the page.
    pub entries: Vec<ListedInstance>,
    /// The key after which the next page starts, or `None` on the last page.
    pub next_after: Option<InstanceKey>,
}

/// Maximum number of recent changes kept for daemons that lag by a few revisions.
const STORED_CHANGES_MAX: usize = 32;

/// This daemon's copy of the list.
#[derive(Debug, Clone, Default)]
pub struct InstanceList {
    revision: Revision,
    entries: BTreeMap<InstanceKey, ListedInstance>,
    changes: VecDeque<ListChange>,
    pending_pages: Option<(Revision, BTreeMap<InstanceKey, ListedInstance>)>,
}

impl InstanceList {
    /// Returns the revision of the copy, or zero before the first list arrives.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the listed daemons in name order.
    pub fn daemons(&self) -> Vec<ListedDaemon> {
        self.entries
            .values()
            .filter_map(|entry| match entry {
                ListedInstance::Daemon(daemon) => Some(daemon.clone()),
                ListedInstance::Endpoint(_) => None,
            })
            .collect()
    }

    /// Returns one listed daemon.
    pub fn daemon(&self, name: &MemberName) -> Option<&ListedDaemon> {
        let key = InstanceKey {
            is_endpoint: false,
            name: name.to_string(),
        };
        match self.entries.get(&key)? {
            ListedInstance::Daemon(daemon) => Some(daemon),
            ListedInstance::Endpoint(_) => None,
        }
    }

    /// Returns the listed endpoints in name order.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().filter_map(|entry| match entry {
            ListedInstance::Endpoint(endpoint) => Some(endpoint),
            ListedInstance::Daemon(_) => None,
        })
    }

    /// Replaces the copy with a complete list if that is newer, and returns the difference.
    pub fn replace(
        &mut self,
        revision: Revision,
        instances: Vec<ListedInstance>,
    ) -> Option<ListChange> {
        if revision <= self.revision {
            return None;
        }
        let entries: BTreeMap<InstanceKey, ListedInstance> = instances
            .into_iter()
            .map(|instance| (instance.key(), instance))
            .collect();
        let upserts = entries
            .iter()
            .filter(|(key, entry)| self.entries.get(key) != Some(entry))
            .map(|(_, entry)| entry.clone())
            .collect();
        let removed = self
            .entries
            .keys()
            .filter(|key| !entries.contains_key(key))
            .cloned()
            .collect();
        let change = ListChange {
            from: self.revision,
            to: revision,
            upserts,
            removed,
        };
        self.entries = entries;
        self.revision = revision;
        self.store_change(change.clone());
        Some(change)
    }

    /// Applies a change if it starts at this copy's revision; returns whether it was applied.
    pub fn apply(&mut self, change: &ListChange) -> bool {
        if change.from != self.revision || change.to <= change.from {
            return false;
        }
        for key in &change.removed {
            self.entries.remove(key);
        }
        for entry in &change.upserts {
            self.entries.insert(entry.key(), entry.clone());
        }
        self.revision = change.to;
        self.store_change(change.clone());
        true
    }

    fn store_change(&mut self, change: ListChange) {
        if change.from == Revision(0) {
            self.changes.clear();
            return;
        }
        self.changes.push_back(change);
        if self.changes.len() > STORED_CHANGES_MAX {
            self.changes.pop_front();
        }
    }

    /// Returns the changes from a revision to this copy's, if all of them are still stored.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<ListChange>> {
        let start = self.changes.iter().position(|c| c.from == revision)?;
        Some(self.changes.iter().skip(start).cloned().collect())
    }

    /// Returns the page of the list that starts after a key and has about the given size.
    pub fn page(&self, after: Option<&InstanceKey>, size_max_bytes: usize) -> ListPage {
        let mut size_bytes = 0;
        let mut entries = Vec::new();
        let rest = self
            .entries
            .iter()
            .filter(|(key, _)| after.is_none_or(|limit| *key > limit));
        let mut next_after = None;
        for (_, entry) in rest {
            if size_bytes >= size_max_bytes {
                next_after = entries.last().map(ListedInstance::key);
                break;
            }
            size_bytes += entry.size_bytes();
            entries.push(entry.clone());
        }
        ListPage {
            revision: self.revision,
            is_first: after.is_none(),
            entries,
            next_after,
        }
    }

    /// Adds a received page, and replaces the copy once all pages of one revision have arrived.
    pub fn add_page(&mut self, page: &ListPage) -> Option<ListChange> {
        if page.revision <= self.revision {
            return None;
        }
        if page.is_first {
            self.pending_pages = Some((page.revision, BTreeMap::new()));
        }
        let (revision, entries) = self.pending_pages.as_mut()?;
        if *revision != page.revision {
            self.pending_pages = None;
            return None;
        }
        let added = page
            .entries
            .iter()
            .map(|entry| (entry.key(), entry.clone()));
        entries.extend(added);
        if page.next_after.is_some() {
            return None;
        }
        let (revision, entries) = self.pending_pages.take()?;
        self.replace(revision, entries.into_values().collect())
    }
}
