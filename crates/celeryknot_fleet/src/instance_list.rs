//! The platform's instance list, read by a few daemons and passed on as changes.
//!
//! A change holds all differences between two revisions and applies only to a list at exactly
//! the first one; whoever has another one pulls, so that every copy equals some published list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use celeryknot_core::{EndpointName, MemberName, Revision, ServiceName, ZoneName};

use crate::membership::MemberInfo;
use crate::view::FencingMode;

/// A daemon in the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedDaemon {
    /// Where the daemon runs and is reached.
    pub info: MemberInfo,
    /// Whether the platform is about to remove it.
    pub is_leaving: bool,
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
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub is_leaving: bool,
    /// Whether the endpoint refuses orders with an old fencing number.
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

/// The key of an entry: daemons and endpoints may share a name.
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

    /// Returns about how many bytes the entry takes in a message.
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
    /// The revision that it leads to.
    pub to: Revision,
    /// Entries that were added or changed.
    pub upserts: Vec<ListedInstance>,
    /// Entries that were removed.
    pub removed: Vec<InstanceKey>,
}

impl ListChange {
    /// Returns about how many bytes the change takes in a message.
    pub fn size_bytes(&self) -> usize {
        let upserts: usize = self.upserts.iter().map(ListedInstance::size_bytes).sum();
        let removed: usize = self.removed.iter().map(|key| key.name.len() + 6).sum();
        upserts + removed + 16
    }
}

/// A part of the whole list, in the order of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// The revision of the list that the page is of.
    pub revision: Revision,
    /// Whether this is the first page.
    pub is_first: bool,
    /// The entries of the page.
    pub entries: Vec<ListedInstance>,
    /// The key after which the next page starts, if there is one.
    pub next_after: Option<InstanceKey>,
}

/// Changes kept for daemons that are a little behind.
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
    /// Returns the revision of the copy; zero where there is none yet.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the listed daemons in the order of names.
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

    /// Returns the listed endpoints in the order of names.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().filter_map(|entry| match entry {
            ListedInstance::Endpoint(endpoint) => Some(endpoint),
            ListedInstance::Daemon(_) => None,
        })
    }

    /// Takes over a whole list if it is newer; returns what has changed.
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

    /// Applies a change if it starts at this copy's revision.
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

    /// Returns the changes that lead from a revision to this copy's, if they are kept.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<ListChange>> {
        let start = self.changes.iter().position(|c| c.from == revision)?;
        Some(self.changes.iter().skip(start).cloned().collect())
    }

    /// Returns the part of the whole list after a key, up to a size.
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

    /// Collects a page; takes the list over once the last page of one revision has come.
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
