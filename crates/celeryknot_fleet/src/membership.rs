//! Membership, derived from the platform's list, heartbeats and records relayed by peers.
//!
//! Records of one member are ordered by sequence, then state, then incarnation, so all daemons
//! that received the same records hold the same state, regardless of the order of arrival. Only
//! the member itself increments its sequence.

mod entry;

use std::collections::BTreeMap;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{Incarnation, MemberName, MonotonicMs};

use crate::instance_list::ListedDaemon;
use crate::timing::FleetTiming;
use crate::view::{MemberState, MemberView};

use entry::{Entry, severity};
pub use entry::{MemberInfo, MemberRecord};

/// Result of applying a member's own heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The member's state has not changed.
    Unchanged,
    /// The member's state has changed; the record must be relayed.
    Changed(MemberRecord),
    /// The stored record supersedes the heartbeat. It must be sent to the member, to be refuted.
    Conflicting(MemberRecord),
}

/// The members as this daemon sees them.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberRecord,
    entries: BTreeMap<MemberName, Entry>,
    timing: FleetTiming,
    version: u64,
}

impl Membership {
    /// Creates a view that contains only this daemon.
    pub fn new(own: MemberInfo, incarnation: Incarnation, timing: FleetTiming) -> Self {
        let own = MemberRecord {
            info: own,
            incarnation,
            sequence: 1,
            state: MemberState::Alive,
        };
        Self {
            own,
            entries: BTreeMap::new(),
            timing,
            version: 0,
        }
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns a version that increases with every change of a state, a listing or an address.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the daemons of a newer instance list.
    pub fn apply_list(&mut self, now: MonotonicMs, daemons: &[ListedDaemon]) {
        self.version += 1;
        for entry in self.entries.values_mut() {
            entry.listed_as_draining = None;
        }
        for daemon in daemons {
            if daemon.info.name == self.own.info.name {
                continue;
            }
            let entry = self
                .entries
                .entry(daemon.info.name.clone())
                .or_insert_with(|| Entry::new(daemon.info.clone(), now));
            entry.listed_as_draining = Some(daemon.is_draining);
            if entry.record.is_none() {
                entry.info = daemon.info.clone();
            }
        }
    }

    /// Applies a heartbeat received from the member itself.
    pub fn apply_heartbeat(&mut self, now: MonotonicMs, record: &MemberRecord) -> HeartbeatOutcome {
        if record.info.name == self.own.info.name {
            return HeartbeatOutcome::Unchanged;
        }
        if let Some(entry) = self.entries.get_mut(&record.info.name) {
            let stored = entry.record.as_ref();
            if let Some(stored) = stored.filter(|stored| stored.precedence() > record.precedence())
            {
                return HeartbeatOutcome::Conflicting(stored.clone());
            }
            entry.last_contact_at = now;
        }
        match self.merge(now, record) {
            Some(changed) => HeartbeatOutcome::Changed(changed),
            None => HeartbeatOutcome::Unchanged,
        }
    }

    /// Records the time of a message from a member's current incarnation.
    pub fn record_contact(
        &mut self,
        now: MonotonicMs,
        name: &MemberName,
        incarnation: Incarnation,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let current = entry.record.as_ref().map(|record| record.incarnation);
        if current == Some(incarnation) {
            entry.last_contact_at = now;
        }
    }

    /// Merges a record from any source; returns the record to relay if the merge changed anything.
    pub fn merge(&mut self, now: MonotonicMs, record: &MemberRecord) -> Option<MemberRecord> {
        if record.info.name == self.own.info.name {
            return self.refute(record);
        }
        let entry = self
            .entries
            .entry(record.info.name.clone())
            .or_insert_with(|| Entry::new(record.info.clone(), now));
        if let Some(stored) = &entry.record
            && stored.precedence() >= record.precedence()
        {
            return None;
        }
        entry.record_flap(record, now, &self.timing);
        let is_same_state = entry
            .record
            .as_ref()
            .is_some_and(|stored| stored.state == record.state);
        if !is_same_state {
            entry.state_changed_at = now;
        }
        entry.last_contact_at = match record.state {
            MemberState::Alive | MemberState::Draining => now,
            MemberState::Suspect | MemberState::Dead => entry.last_contact_at,
        };
        entry.info = record.info.clone();
        entry.record = Some(record.clone());
        self.version += 1;
        Some(record.clone())
    }

    fn refute(&mut self, record: &MemberRecord) -> Option<MemberRecord> {
        let is_own_state =
            record.incarnation == self.own.incarnation && record.state == self.own.state;
        if is_own_state && record.sequence <= self.own.sequence {
            return None;
        }
        if record.precedence() < self.own.precedence() {
            return None;
        }
        self.own.sequence = record.sequence.saturating_add(1);
        self.version += 1;
        Some(self.own.clone())
    }

    /// Announces that this daemon is shutting down.
    pub fn announce_draining(&mut self) -> MemberRecord {
        if self.own.state != MemberState::Draining {
            self.own.state = MemberState::Draining;
            self.own.sequence += 1;
            self.version += 1;
        }
        self.own.clone()
    }

    /// Suspects an unreachable member, unless a message arrived within the last heartbeat period.
    pub fn report_unreachable(
        &mut self,
        now: MonotonicMs,
        name: &MemberName,
    ) -> Option<MemberRecord> {
        let entry = self.entries.get(name)?;
        if now - entry.last_contact_at < self.timing.heartbeat_period {
            return None;
        }
        self.transition(now, name, MemberState::Suspect)
    }

    /// Suspects silent neighbours and declares members dead that did not refute in time.
    pub fn tick(&mut self, now: MonotonicMs, neighbours: &[MemberName]) -> Vec<MemberRecord> {
        let mut changes = Vec::new();
        for name in neighbours {
            let Some(entry) = self.entries.get(name) else {
                continue;
            };
            if now - entry.last_contact_at < self.timing.suspect_after {
                continue;
            }
            changes.extend(self.transition(now, name, MemberState::Suspect));
        }
        let expired: Vec<MemberName> = self
            .entries
            .iter()
            .filter(|(_, entry)| self.is_expired(now, entry))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            changes.extend(self.transition(now, name, MemberState::Dead));
        }
        self.evict(now);
        changes
    }

    fn is_expired(&self, now: MonotonicMs, entry: &Entry) -> bool {
        let Some(record) = &entry.record else {
            return false;
        };
        match record.state {
            MemberState::Suspect => now - entry.state_changed_at >= self.timing.dead_after,
            MemberState::Draining => {
                let silent_ms = (now - entry.last_contact_at.max(entry.state_changed_at)).0;
                silent_ms >= self.timing.suspect_after.0 + self.timing.dead_after.0
            }
            MemberState::Alive | MemberState::Dead => false,
        }
    }

    fn transition(
        &mut self,
        now: MonotonicMs,
        name: &MemberName,
        state: MemberState,
    ) -> Option<MemberRecord> {
        let stored = self.entries.get(name)?.record.as_ref()?;
        if severity(stored.state) >= severity(state) {
            return None;
        }
        let record = MemberRecord {
            state,
            ..stored.clone()
        };
        self.merge(now, &record)
    }

    fn evict(&mut self, now: MonotonicMs) {
        let dead_retention = self.timing.dead_retention;
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let is_evictable = match &entry.record {
                None => true,
                Some(record) => {
                    record.state == MemberState::Dead
                        && now - entry.state_changed_at >= dead_retention
                }
            };
            entry.listed_as_draining.is_some() || !is_evictable
        });
        if self.entries.len() != before {
            self.version += 1;
        }
    }

    /// Restarts the failure detection timeouts of all members after a stall of this daemon.
    pub fn observe_stall(&mut self, now: MonotonicMs) {
        for entry in self.entries.values_mut() {
            entry.last_contact_at = now;
            entry.state_changed_at = now;
        }
    }

    /// Returns the members that may hold duties, including this daemon, in name order.
    pub fn duty_holders(&self, now: MonotonicMs) -> Vec<&MemberInfo> {
        let mut holders: Vec<&MemberInfo> = self
            .entries
            .values()
            .filter(|entry| entry.has_duties(now))
            .map(|entry| &entry.info)
            .collect();
        if self.own.state == MemberState::Alive {
            holders.push(&self.own.info);
        }
        holders.sort_by(|a, b| a.name.cmp(&b.name));
        holders
    }

    /// Returns the other members that are not dead, in name order.
    pub fn peers_up(&self) -> impl Iterator<Item = &MemberInfo> {
        self.entries
            .values()
            .filter(|entry| entry.state() != MemberState::Dead)
            .map(|entry| &entry.info)
    }

    /// Returns the dead members that are listed as not draining, which are probed periodically.
    pub fn listed_dead_members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.entries
            .values()
            .filter(|entry| entry.state() == MemberState::Dead)
            .filter(|entry| entry.listed_as_draining == Some(false))
            .map(|entry| &entry.info)
    }

    /// Returns a member's zone and addresses, as reported by itself or as listed.
    pub fn info(&self, name: &MemberName) -> Option<&MemberInfo> {
        if *name == self.own.info.name {
            return Some(&self.own.info);
        }
        self.entries.get(name).map(|entry| &entry.info)
    }

    /// Returns the latest record of a member.
    pub fn record(&self, name: &MemberName) -> Option<&MemberRecord> {
        if *name == self.own.info.name {
            return Some(&self.own);
        }
        self.entries.get(name)?.record.as_ref()
    }

    /// Returns all records, starting with this daemon's own.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.entries.values().filter_map(|e| e.record.as_ref());
        std::iter::once(&self.own).chain(others)
    }

    /// Returns a digest of the records of members that are not dead, to compare views cheaply.
    pub fn digest(&self) -> u64 {
        self.records()
            .filter(|record| record.state != MemberState::Dead)
            .map(|record| {
                let key = record.incarnation.0 ^ record.sequence.rotate_left(17);
                rendezvous_score(
                    key ^ u64::from(severity(record.state)),
                    record.info.name.as_str(),
                )
            })
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// Returns all members including this daemon, in name order.
    pub fn view(&self) -> Vec<MemberView> {
        let own = member_view(&self.own.info, Some(&self.own), self.own.state);
        let mut members: Vec<MemberView> = self
            .entries
            .values()
            .map(|entry| member_view(&entry.info, entry.record.as_ref(), entry.state()))
            .collect();
        members.push(own);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }
}

fn member_view(info: &MemberInfo, record: Option<&MemberRecord>, state: MemberState) -> MemberView {
    MemberView {
        name: info.name.clone(),
        zone: info.zone.clone(),
        incarnation: record.map(|record| record.incarnation),
        peers_address: info.peers_address,
        forwards_address: info.forwards_address,
        state,
    }
}
