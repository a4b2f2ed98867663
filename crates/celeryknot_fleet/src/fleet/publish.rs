//! Periodic work: heartbeats, failure detection, pulls and summaries; and the published view.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, MemberName, MonotonicMs, Revision};

use super::{Fleet, PeerDigest};
use crate::duties;
use crate::message::{Heartbeat, MemberUpdate, Message};
use crate::neighbours::{MESH_MEMBERS_MAX, Tree};
use crate::summaries::{EndpointHash, PublishIntervals, UpdateKind};
use crate::view::{EndpointView, FleetView};

/// Delay before a digest mismatch leads to a pull, so that pushed updates can arrive first.
const PULL_DELAY: DurationMs = DurationMs(150);
/// Number of heartbeats after which one includes the sender's zone and addresses again.
const INFO_INTERVAL_HEARTBEATS: u64 = 8;
/// Number of consecutive heartbeats with differing member records after which all are sent.
const MEMBERS_DIFFER_COUNT_MIN: u32 = 3;
/// Maximum number of member records in one message.
const RECORDS_PER_MESSAGE_MAX: usize = 24;
/// Size of a summary that is sent in a message of its own.
const DIRECT_ENTRY_BYTES: u64 = 45;
/// Size of a summary that is relayed together with others.
const RELAYED_ENTRY_BYTES: u64 = 30;
/// Percentage of the byte budget that summaries may use in a full mesh.
const MESH_BUDGET_PERCENT: u64 = 15;
/// Percentage of the byte budget that summaries may use where daemons relay them.
const RELAY_BUDGET_PERCENT: u64 = 60;
const MS_PER_S: u64 = 1_000;
/// Factor of the interval between summaries where daemons relay them, to batch more per message.
const RELAY_INTERVAL_FACTOR: u64 = 2;

impl Fleet {
    /// Performs all work that is due.
    pub fn tick(&mut self, now: MonotonicMs) {
        let neighbours = self.neighbours.clone();
        let changes = self.members.tick(now, &neighbours);
        self.relay_records(now, changes, None);
        self.refresh_neighbours_if_changed(now);
        self.assign_owners(now);
        self.probe_dead_member(now);
        self.send_heartbeats(now);
        self.queue_differing_members();
        self.send_member_records(now);
        self.pull_differing_values(now);
        self.pull_newer_list(now);
        self.send_summaries(now);
        self.suspect_updates.advance(now);
        self.send_suspect_updates(now);
        let has_peers = self.members.peers_up().next().is_some();
        let was_ready = self.readiness.is_ready();
        let is_listed = was_ready || self.is_listed();
        if self.readiness.update(now, has_peers, is_listed) != was_ready {
            self.version += 1;
        }
    }

    fn is_listed(&self) -> bool {
        let own_name = &self.config.own.name;
        self.list
            .daemons()
            .iter()
            .any(|daemon| daemon.info.name == *own_name)
    }

    fn refresh_neighbours_if_changed(&mut self, now: MonotonicMs) {
        let version = Some(self.members.version());
        if self.neighbours_version != version {
            self.neighbours_version = version;
            self.refresh_neighbours(now);
            self.version += 1;
        }
    }

    /// Assigns an owner to each endpoint if the duty holders or the list have changed.
    fn assign_owners(&mut self, now: MonotonicMs) {
        let holders = self.members.duty_holders(now);
        let hash = holders.iter().fold(0_u64, |sum, info| {
            sum.rotate_left(1) ^ rendezvous_score(0, info.name.as_str())
        });
        let seen = Some((hash, self.list.revision()));
        if self.owners_assigned_for == seen {
            return;
        }
        self.owners_assigned_for = seen;
        self.owners.clear();
        self.owners_by_hash.clear();
        self.owned.clear();
        for endpoint in self.list.endpoints() {
            let Some(owner) = duties::owner(&endpoint.name, &endpoint.zone, &holders) else {
                continue;
            };
            let key = EndpointHash::new(&endpoint.name);
            if *owner == self.config.own.name {
                self.owned.insert(key);
            }
            self.owners.insert(endpoint.name.clone(), owner.clone());
            self.owners_by_hash.insert(key, owner.clone());
        }
        self.summaries.retain_own(&self.owned);
        self.version += 1;
    }

    /// Sends a heartbeat to a listed dead member, since a network partition may have healed.
    fn probe_dead_member(&mut self, now: MonotonicMs) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.config.timing.heartbeat_period;
        let dead: Vec<MemberName> = self
            .members
            .listed_dead_members()
            .map(|info| info.name.clone())
            .collect();
        if dead.is_empty() {
            return;
        }
        self.probe_cursor = (self.probe_cursor + 1) % dead.len();
        let heartbeat = self.heartbeat(now, true);
        let name = &dead[self.probe_cursor];
        self.send(now, name, Message::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, now: MonotonicMs, includes_info: bool) -> Heartbeat {
        let own = self.members.own();
        Heartbeat {
            sequence: own.sequence,
            state: own.state,
            is_ready: self.readiness.is_ready(),
            list_revision: self.list.revision(),
            values_digest: self.values.digest(),
            members_digest: self.members.digest(),
            settings_age: self.settings_age(now),
            info: includes_info.then(|| own.info.clone()),
        }
    }

    fn send_heartbeats(&mut self, now: MonotonicMs) {
        let period = self.config.timing.heartbeat_period;
        let due: Vec<MemberName> = self
            .links
            .iter()
            .filter(|(_, link)| now >= link.next_heartbeat_at)
            .map(|(name, _)| name.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        let (without_info, with_info) = (self.heartbeat(now, false), self.heartbeat(now, true));
        for name in due {
            let Some(link) = self.links.get_mut(&name) else {
                continue;
            };
            let includes_info =
                link.needs_info || link.heartbeats_sent % INFO_INTERVAL_HEARTBEATS == 0;
            link.needs_info = false;
            link.heartbeats_sent += 1;
            link.next_heartbeat_at = now + period;
            let heartbeat = if includes_info {
                &with_info
            } else {
                &without_info
            };
            self.send(now, &name, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Queues all member records for neighbours whose records have differed for several heartbeats.
    fn queue_differing_members(&mut self) {
        let own_digest = self.members.digest();
        for link in self.links.values_mut() {
            let Some(peer) = &mut link.peer_digest else {
                continue;
            };
            let differs = peer.members_digest != own_digest
                && peer.members_differ_count >= MEMBERS_DIFFER_COUNT_MIN;
            if differs && link.pending_members.is_empty() {
                peer.members_differ_count = 0;
                link.pending_members.extend(
                    self.members
                        .records()
                        .map(|record| record.info.name.clone()),
                );
            }
        }
    }

    /// Sends queued member records; those that exceed the budget stay queued.
    pub(super) fn send_member_records(&mut self, now: MonotonicMs) {
        let recipients: Vec<MemberName> = self
            .links
            .iter()
            .filter(|(_, link)| !link.pending_members.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in recipients {
            let batch: Vec<MemberName> = match self.links.get(&name) {
                Some(link) => link
                    .pending_members
                    .iter()
                    .take(RECORDS_PER_MESSAGE_MAX)
                    .cloned()
                    .collect(),
                None => continue,
            };
            let updates = batch.iter().filter_map(|member| self.member_update(member));
            let message = Message::Members(updates.collect());
            if !self.send(now, &name, message) {
                return;
            }
            if let Some(link) = self.links.get_mut(&name) {
                link.pending_members
                    .retain(|member| !batch.contains(member));
            }
        }
    }

    pub(super) fn member_update(&self, name: &MemberName) -> Option<MemberUpdate> {
        let record = self.members.record(name)?;
        let is_listed = self.list.daemon(name).map(|daemon| &daemon.info) == Some(&record.info);
        Some(MemberUpdate {
            name: name.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            state: record.state,
            info: (!is_listed).then(|| record.info.clone()),
        })
    }

    /// Pulls values from a neighbour whose settings digest differs.
    fn pull_differing_values(&mut self, now: MonotonicMs) {
        if let Some(pull) = &self.value_pull {
            if now - pull.sent_at < self.config.timing.pull_timeout {
                return;
            }
            self.value_pull = None;
        }
        let own_digest = self.values.digest();
        let differs = |peer: &PeerDigest| {
            peer.values_digest != own_digest
                && peer.empty_pull_digest != Some(own_digest)
                && now - peer.received_at >= PULL_DELAY
        };
        let Some(name) = self.latest_peer_matching(differs) else {
            return;
        };
        self.pull_values(now, &name, None, false);
        if let Some(peer) = self
            .links
            .get_mut(&name)
            .and_then(|link| link.peer_digest.as_mut())
        {
            peer.received_at = now;
        }
    }

    /// Pulls the instance list from a neighbour that has a newer one.
    fn pull_newer_list(&mut self, now: MonotonicMs) {
        let timeout = self.config.timing.pull_timeout;
        if self.list_pull_sent_at.is_some_and(|at| now - at < timeout) {
            return;
        }
        let own_revision = self.list.revision();
        let is_newer = |peer: &PeerDigest| {
            let awaits_push = own_revision != Revision(0) && now - peer.received_at < PULL_DELAY;
            peer.list_revision > own_revision && !awaits_push
        };
        if let Some(name) = self.latest_peer_matching(is_newer) {
            self.pull_list(now, &name, None);
        }
    }

    fn latest_peer_matching(&self, matches: impl Fn(&PeerDigest) -> bool) -> Option<MemberName> {
        let matching = self
            .links
            .iter()
            .filter(|(_, link)| link.peer_digest.as_ref().is_some_and(&matches));
        matching
            .max_by_key(|(_, link)| link.peer_digest.as_ref().map(|peer| peer.received_at))
            .map(|(name, _)| name.clone())
    }

    fn send_summaries(&mut self, now: MonotonicMs) {
        let own = self.members.own().clone();
        let neighbours = self.neighbours.clone();
        let timing = &self.config.timing;
        let interval_factor = if self.is_relaying() {
            RELAY_INTERVAL_FACTOR
        } else {
            1
        };
        let interval = DurationMs(timing.summary_interval_min.0 * interval_factor);
        let recipients_by_kind = [Tree::LongFirst, Tree::ShortFirst]
            .map(|tree| self.ring.children(&own.info.name, &own.info.name, tree));
        self.summaries.publish_own(
            now,
            &own.info.name,
            own.incarnation,
            &recipients_by_kind,
            self.publish_intervals(),
        );
        // Rotates the first neighbour, so that none is starved when the budget runs out.
        let start = self.next_summary_recipient % neighbours.len().max(1);
        self.next_summary_recipient = start + 1;
        for name in neighbours.iter().cycle().skip(start).take(neighbours.len()) {
            let Some(link) = self.links.get_mut(name) else {
                continue;
            };
            if now < link.next_summaries_at {
                continue;
            }
            link.next_summaries_at = now + interval;
            self.send_batches(now, name, UpdateKind::Change);
            self.send_batches(now, name, UpdateKind::Refresh);
        }
    }

    /// Sends the summaries queued for a neighbour; those that exceed the budget stay queued.
    fn send_batches(&mut self, now: MonotonicMs, to: &MemberName, update_kind: UpdateKind) {
        let batches = self
            .summaries
            .batches_for(&self.config.own.name, to, update_kind);
        if batches.is_empty() {
            return;
        }
        let entries = batches.iter().flat_map(|batch| &batch.entries);
        let endpoints: Vec<EndpointHash> = entries.map(|entry| entry.endpoint).collect();
        let message = match update_kind {
            UpdateKind::Change => Message::Summaries(batches),
            UpdateKind::Refresh => Message::Refreshes(batches),
        };
        if self.send(now, to, message) {
            self.summaries
                .mark_sent(to, update_kind, endpoints.into_iter());
        }
    }

    /// Returns the intervals at which all daemons together stay within the budget for summaries,
    /// so that no summary queues up on its way.
    fn publish_intervals(&self) -> PublishIntervals {
        let timing = &self.config.timing;
        let budget = timing.control_bytes_per_s.0.max(1);
        let change_interval_ms = if self.is_relaying() {
            let endpoints = self.owners.len() as u64;
            endpoints * RELAYED_ENTRY_BYTES * MS_PER_S * 100 / (budget * RELAY_BUDGET_PERCENT)
        } else {
            let own_sends = (self.summaries.own_count() * self.neighbours.len()) as u64;
            own_sends * DIRECT_ENTRY_BYTES * MS_PER_S * 100 / (budget * MESH_BUDGET_PERCENT)
        };
        PublishIntervals {
            change_interval_min: DurationMs(change_interval_ms.max(timing.summary_interval_min.0)),
            refresh_interval: DurationMs(timing.summary_refresh_interval.0 * self.mesh_multiple()),
        }
    }

    /// Returns the fleet size in full meshes, which scales the refresh interval and the age limit.
    fn mesh_multiple(&self) -> u64 {
        let members = self.members.peers_up().count() + 1;
        members.div_ceil(MESH_MEMBERS_MAX) as u64
    }

    /// Returns whether daemons relay messages because the fleet is too large for a full mesh.
    pub(super) fn is_relaying(&self) -> bool {
        !self.ring.is_mesh()
    }

    /// Returns a version that increases with every change of the [`Fleet::view`].
    pub fn version(&self) -> u64 {
        self.version + self.summaries.version()
    }

    /// Returns this daemon's current view of the fleet.
    pub fn view(&self, now: MonotonicMs) -> FleetView {
        let age_max = DurationMs(self.config.timing.summary_age_max.0 * self.mesh_multiple());
        let endpoints = self
            .list
            .endpoints()
            .map(|endpoint| EndpointView {
                name: endpoint.name.clone(),
                service: endpoint.service.clone(),
                zone: endpoint.zone.clone(),
                address: endpoint.address,
                is_draining: endpoint.is_draining,
                fencing: endpoint.fencing,
                owner: self.owners.get(&endpoint.name).cloned(),
                summary: self.summaries.get(&endpoint.name, now, age_max),
            })
            .collect();
        let settings = self
            .values
            .active_values()
            .map(|(path, value)| (path.clone(), value.clone()))
            .collect();
        FleetView {
            is_ready: self.readiness.is_ready(),
            members: self.members.view(),
            endpoints,
            settings,
        }
    }
}
