//! One daemon's state of the fleet, which turns events into actions.

mod exchange;
mod publish;
mod read;
mod suspects;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable};
use celeryknot_core::{
    EndpointName, EndpointSummary, Incarnation, MemberName, MonotonicMs, Revision,
};

use crate::byte_budget::{ByteBudget, ControlKind};
use crate::instance_list::{InstanceList, ListedInstance};
use crate::membership::{MemberInfo, MemberRecord, Membership};
use crate::message::{Message, ValuePage};
use crate::neighbours::{Neighbours, Ring};
use crate::readiness::Readiness;
use crate::settings_store::{MergeOutcome, SettingsStore, Validator, ValueRecord};
use crate::summaries::{EndpointHash, Summaries};
use crate::timing::FleetTiming;

/// Configuration of a [`Fleet`].
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// This daemon's name, zone and addresses.
    pub own: MemberInfo,
    /// This daemon's incarnation.
    pub incarnation: Incarnation,
    /// Daemons in each zone that watch the platform.
    pub readers_per_zone: u32,
    /// Validates the text of a value.
    pub validate: Validator,
    /// Intervals and limits.
    pub timing: FleetTiming,
}

/// An action for the daemon to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: MemberName,
        /// Address at which the peer accepts messages.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
}

/// State of the exchange with one neighbour.
#[derive(Debug, Clone, Default)]
struct NeighbourLink {
    /// Whether the next heartbeat must include this daemon's zone and addresses.
    needs_info: bool,
    heartbeats_sent: u64,
    /// Members whose records are queued for the peer.
    pending_members: BTreeSet<MemberName>,
    next_heartbeat_at: MonotonicMs,
    next_summaries_at: MonotonicMs,
    /// Version up to which the updates about parts were sent.
    suspect_updates_sent: u64,
    next_suspect_refresh_at: MonotonicMs,
    /// Digests from the peer's latest heartbeat.
    peer_digest: Option<PeerDigest>,
}

#[derive(Debug, Clone)]
struct PeerDigest {
    received_at: MonotonicMs,
    is_ready: bool,
    list_revision: Revision,
    values_digest: u64,
    members_digest: u64,
    /// Number of consecutive heartbeats whose member records differed.
    members_differ_count: u32,
    /// The own digest at which a pull from this peer returned no update.
    empty_pull_digest: Option<u64>,
}

#[derive(Debug, Clone)]
struct Pull {
    from: MemberName,
    sent_at: MonotonicMs,
    has_updates: bool,
}

/// One daemon's state of the fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    config: FleetConfig,
    members: Membership,
    values: SettingsStore,
    list: InstanceList,
    summaries: Summaries,
    suspect_updates: EndpointUpdateTable,
    /// Updates from peers that the daemon has not taken yet.
    received_suspect_updates: Vec<EndpointUpdate>,
    budget: ByteBudget,
    readiness: Readiness,
    links: BTreeMap<MemberName, NeighbourLink>,
    ring: Ring,
    neighbours: Neighbours,
    owners: BTreeMap<EndpointName, MemberName>,
    owners_by_hash: BTreeMap<EndpointHash, MemberName>,
    owned: BTreeSet<EndpointHash>,
    owners_assigned_for: Option<(u64, Revision)>,
    neighbours_version: Option<u64>,
    value_pull: Option<Pull>,
    list_pull_sent_at: Option<MonotonicMs>,
    next_probe_at: MonotonicMs,
    probe_cursor: usize,
    /// Index of the neighbour that gets the next summaries first.
    next_summary_recipient: usize,
    platform_values_at: Option<MonotonicMs>,
    platform_list_at: Option<MonotonicMs>,
    settings_confirmed_at: Option<MonotonicMs>,
    version: u64,
    actions: Vec<Action>,
}

impl Fleet {
    /// Creates the state of a daemon that has just started.
    pub fn new(config: FleetConfig, now: MonotonicMs) -> Self {
        let timing = config.timing.clone();
        Self {
            members: Membership::new(config.own.clone(), config.incarnation, timing.clone()),
            values: SettingsStore::new(config.validate),
            list: InstanceList::default(),
            summaries: Summaries::default(),
            suspect_updates: EndpointUpdateTable::default(),
            received_suspect_updates: Vec::new(),
            budget: ByteBudget::new(timing.control_bytes_per_s, now),
            readiness: Readiness::new(now, timing.readiness_timeout),
            links: BTreeMap::new(),
            ring: Ring::default(),
            neighbours: Neighbours::new(),
            owners: BTreeMap::new(),
            owners_by_hash: BTreeMap::new(),
            owned: BTreeSet::new(),
            owners_assigned_for: None,
            neighbours_version: None,
            value_pull: None,
            list_pull_sent_at: None,
            next_probe_at: now,
            probe_cursor: 0,
            next_summary_recipient: 0,
            platform_values_at: None,
            platform_list_at: None,
            settings_confirmed_at: None,
            version: 0,
            actions: Vec::new(),
            config,
        }
    }

    /// Applies values received from the platform.
    pub fn apply_platform_values(&mut self, now: MonotonicMs, values: &[ValueRecord]) {
        self.platform_values_at = Some(now);
        self.settings_confirmed_at = Some(now);
        self.note_platform_read();
        self.merge_values(now, values, None);
    }

    /// Applies a complete instance list received from the platform.
    pub fn apply_platform_list(
        &mut self,
        now: MonotonicMs,
        revision: Revision,
        instances: Vec<ListedInstance>,
    ) {
        self.platform_list_at = Some(now);
        self.note_platform_read();
        let Some(change) = self.list.replace(revision, instances) else {
            return;
        };
        self.handle_list_change(now);
        if change.from != Revision(0) {
            self.flood(now, &Message::ListChanges(vec![change]), None);
        }
    }

    fn note_platform_read(&mut self) {
        if self.platform_values_at.is_some() && self.platform_list_at.is_some() {
            self.readiness.note_platform_read();
        }
    }

    fn handle_list_change(&mut self, now: MonotonicMs) {
        self.version += 1;
        self.members.apply_list(now, &self.list.daemons());
        let listed = self
            .list
            .endpoints()
            .map(|endpoint| EndpointHash::new(&endpoint.name))
            .collect();
        self.summaries.retain_listed(&listed);
        self.refresh_neighbours(now);
    }

    /// Merges values and relays those that are updates.
    fn merge_values(
        &mut self,
        now: MonotonicMs,
        values: &[ValueRecord],
        from: Option<&MemberName>,
    ) -> bool {
        let updates: Vec<ValueRecord> = values
            .iter()
            .filter(|value| self.values.merge(value) != MergeOutcome::Stale)
            .cloned()
            .collect();
        if updates.is_empty() {
            return false;
        }
        self.version += 1;
        self.relay_values(now, updates, from);
        true
    }

    fn relay_values(
        &mut self,
        now: MonotonicMs,
        updates: Vec<ValueRecord>,
        from: Option<&MemberName>,
    ) {
        let sender_reached_all = from.is_some() && !self.is_relaying();
        if sender_reached_all || updates.len() > RELAYED_VALUES_MAX {
            return;
        }
        let page = ValuePage {
            values: updates,
            is_answer: false,
            next_before: None,
        };
        self.flood(now, &Message::Values(page), from);
    }

    /// Records the state of an endpoint that this daemon owns.
    pub fn observe_own_endpoint(&mut self, endpoint: &EndpointName, summary: EndpointSummary) {
        if self.owned.contains(&EndpointHash::new(endpoint)) {
            self.summaries.observe_own(endpoint, summary);
        }
    }

    /// Records that a peer could not be reached.
    pub fn report_unreachable(&mut self, now: MonotonicMs, member: &MemberName) {
        let change = self.members.report_unreachable(now, member);
        self.relay_records(now, change, None);
    }

    /// Records that a new stream to a peer was opened.
    pub fn link_opened(&mut self, now: MonotonicMs, member: &MemberName) {
        let link = self.links.entry(member.clone()).or_default();
        link.needs_info = true;
        link.next_heartbeat_at = now;
        link.next_suspect_refresh_at = now;
    }

    /// Discards state that may be stale after a stall of this process.
    pub fn observe_stall(&mut self, now: MonotonicMs) {
        self.members.observe_stall(now);
        self.readiness.restart(now);
        self.value_pull = None;
        self.list_pull_sent_at = None;
        self.platform_values_at = None;
        self.platform_list_at = None;
        for link in self.links.values_mut() {
            link.peer_digest = None;
            link.next_heartbeat_at = now;
        }
        self.version += 1;
    }

    /// Announces that this daemon is shutting down.
    pub fn start_draining(&mut self, now: MonotonicMs) {
        let record = self.members.announce_draining();
        self.relay_records(now, Some(record), None);
        self.send_member_records(now);
    }

    /// Spends the bytes of control traffic other than messages between daemons.
    pub fn record_control_bytes(&mut self, now: MonotonicMs, kind: ControlKind, size_bytes: usize) {
        self.budget.spend(now, kind, size_bytes);
    }

    /// Returns whether the budget allows control traffic other than messages between daemons.
    pub fn has_budget(&mut self, now: MonotonicMs, kind: ControlKind, size_bytes: usize) -> bool {
        self.budget.has_capacity(now, kind, size_bytes)
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn refresh_neighbours(&mut self, now: MonotonicMs) {
        let mut names: Vec<MemberName> = self
            .members
            .peers_up()
            .map(|info| info.name.clone())
            .collect();
        let own = self.config.own.name.clone();
        names.push(own.clone());
        self.ring = Ring::new(names);
        self.neighbours = self.ring.neighbours(&own);
        for name in &self.neighbours {
            if !self.links.contains_key(name) {
                let link = NeighbourLink {
                    needs_info: true,
                    next_heartbeat_at: now,
                    ..NeighbourLink::default()
                };
                self.links.insert(name.clone(), link);
                self.summaries.queue_all(name);
            }
        }
        let kept = &self.neighbours;
        self.links.retain(|name, _| kept.contains(name));
        self.summaries.retain_neighbours(kept);
    }

    /// Queues records for all neighbours except their sender.
    fn relay_records(
        &mut self,
        now: MonotonicMs,
        records: impl IntoIterator<Item = MemberRecord>,
        from: Option<&MemberName>,
    ) {
        let names: Vec<MemberName> = records.into_iter().map(|r| r.info.name).collect();
        if names.is_empty() {
            return;
        }
        self.version += 1;
        self.refresh_neighbours(now);
        for (neighbour, link) in &mut self.links {
            if Some(neighbour) != from {
                link.pending_members.extend(names.iter().cloned());
            }
        }
    }

    fn flood(&mut self, now: MonotonicMs, message: &Message, except: Option<&MemberName>) {
        for name in self.neighbours.clone() {
            if Some(&name) != except {
                self.send(now, &name, message.clone());
            }
        }
    }

    fn send(&mut self, now: MonotonicMs, to: &MemberName, message: Message) -> bool {
        let Some(address) = self.address_of(to) else {
            return false;
        };
        if !self
            .budget
            .try_spend(now, message.kind(), message.size_bytes())
        {
            return false;
        }
        self.actions.push(Action::Send {
            to: to.clone(),
            address,
            message,
        });
        true
    }

    fn address_of(&self, name: &MemberName) -> Option<SocketAddr> {
        self.members.info(name).map(|info| info.peers_address)
    }
}

/// Maximum number of values that are relayed at once; peers pull larger updates.
const RELAYED_VALUES_MAX: usize = 32;
