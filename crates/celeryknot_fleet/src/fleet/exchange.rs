//! Handling of messages from peers.

use celeryknot_core::{Incarnation, MemberName, MonotonicMs, Revision};

use super::{Fleet, PeerDigest, Pull};
use crate::instance_list::{InstanceKey, ListChange};
use crate::membership::{HeartbeatOutcome, MemberRecord};
use crate::message::{Heartbeat, ListPull, MemberUpdate, Message, ValuePage, ValuePull};
use crate::neighbours::Tree;
use crate::summaries::{EndpointHash, Origin, ReceivedSummaries, SummaryBatch, UpdateKind};

/// Size at which a page of values or of the list is full.
const PAGE_SIZE_MAX_BYTES: usize = 2_048;

impl Fleet {
    /// Handles a message from an incarnation of a peer.
    pub fn receive(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        incarnation: Incarnation,
        message: Message,
    ) {
        self.members.record_contact(now, from, incarnation);
        match message {
            Message::Heartbeat(heartbeat) => {
                self.receive_heartbeat(now, from, incarnation, &heartbeat);
            }
            Message::Members(records) => self.receive_records(now, from, &records),
            Message::Values(page) => self.receive_values(now, from, &page),
            Message::PullValues(pull) => self.answer_value_pull(now, from, &pull),
            Message::ListChanges(changes) => self.receive_list_changes(now, from, &changes),
            Message::ListPage(page) => {
                self.list_pull_sent_at = None;
                let next_after = page.next_after.clone();
                let is_newer = page.revision > self.list.revision();
                if self.list.add_page(&page).is_some() {
                    self.handle_list_change(now);
                } else if next_after.is_some() && is_newer {
                    self.pull_list(now, from, next_after);
                }
            }
            Message::PullList(pull) => self.answer_list_pull(now, from, &pull),
            Message::Summaries(batches) => {
                self.receive_summaries(now, from, incarnation, &batches, UpdateKind::Change);
            }
            Message::Refreshes(batches) => {
                self.receive_summaries(now, from, incarnation, &batches, UpdateKind::Refresh);
            }
            Message::SuspectUpdates(updates) => self.receive_suspect_updates(now, &updates),
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) {
        let stored = self.members.record(from).map(|record| record.info.clone());
        let listed = || self.members.info(from).cloned();
        let Some(info) = heartbeat.info.clone().or(stored).or_else(listed) else {
            return;
        };
        if info.name != *from {
            return;
        }
        let record = MemberRecord {
            info,
            incarnation,
            sequence: heartbeat.sequence,
            state: heartbeat.state,
        };
        match self.members.apply_heartbeat(now, &record) {
            HeartbeatOutcome::Unchanged => {}
            HeartbeatOutcome::Changed(changed) => {
                self.relay_records(now, Some(changed), Some(from))
            }
            HeartbeatOutcome::Conflicting(stored) => {
                let update = self.member_update(&stored.info.name);
                self.send(now, from, Message::Members(update.into_iter().collect()));
                return;
            }
        }
        self.update_peer_digest(now, from, heartbeat);
    }

    fn update_peer_digest(&mut self, now: MonotonicMs, from: &MemberName, heartbeat: &Heartbeat) {
        let own_members = self.members.digest();
        let has_same_values = heartbeat.values_digest == self.values.digest();
        let has_list = heartbeat.list_revision <= self.list.revision();
        if heartbeat.is_ready && has_same_values && has_list {
            self.readiness.note_peer_in_sync();
        }
        if let Some(age) = heartbeat.settings_age.filter(|_| has_same_values) {
            let confirmed_at = MonotonicMs(now.0.saturating_sub(age.0));
            self.settings_confirmed_at = self.settings_confirmed_at.max(Some(confirmed_at));
        }
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        let previous = link.peer_digest.take();
        let previous_differ_count = previous
            .as_ref()
            .map_or(0, |peer| peer.members_differ_count);
        let is_same_digest = |peer: &PeerDigest| peer.values_digest == heartbeat.values_digest;
        let empty_pull_digest = previous
            .filter(is_same_digest)
            .and_then(|peer| peer.empty_pull_digest);
        let members_differ = heartbeat.members_digest != own_members;
        link.peer_digest = Some(PeerDigest {
            received_at: now,
            is_ready: heartbeat.is_ready,
            list_revision: heartbeat.list_revision,
            values_digest: heartbeat.values_digest,
            members_digest: heartbeat.members_digest,
            members_differ_count: if members_differ {
                previous_differ_count + 1
            } else {
                0
            },
            empty_pull_digest,
        });
    }

    fn receive_records(&mut self, now: MonotonicMs, from: &MemberName, updates: &[MemberUpdate]) {
        let mut changed = Vec::new();
        for update in updates {
            let Some(record) = self.record_from_update(update) else {
                continue;
            };
            changed.extend(self.members.merge(now, &record));
            if let Some(link) = self.links.get_mut(from)
                && self.members.record(&update.name) == Some(&record)
            {
                link.pending_members.remove(&update.name);
            }
        }
        let (own, others): (Vec<_>, Vec<_>) = changed
            .into_iter()
            .partition(|record| record.info.name == self.config.own.name);
        self.relay_records(now, own, None);
        self.relay_records(now, others, Some(from));
    }

    fn record_from_update(&self, update: &MemberUpdate) -> Option<MemberRecord> {
        let listed = || Some(self.list.daemon(&update.name)?.info.clone());
        let stored = || self.members.info(&update.name).cloned();
        let info = update.info.clone().or_else(listed).or_else(stored)?;
        if info.name != update.name {
            return None;
        }
        Some(MemberRecord {
            info,
            incarnation: update.incarnation,
            sequence: update.sequence,
            state: update.state,
        })
    }

    fn receive_values(&mut self, now: MonotonicMs, from: &MemberName, page: &ValuePage) {
        let has_updates = self.merge_values(now, &page.values, Some(from));
        let is_expected = self.value_pull.as_ref().is_some_and(|p| p.from == *from);
        if !page.is_answer || !is_expected {
            return;
        }
        let Some(mut pull) = self.value_pull.take() else {
            return;
        };
        pull.has_updates |= has_updates;
        if page.next_before.is_some() {
            self.pull_values(now, from, page.next_before, pull.has_updates);
            return;
        }
        self.finish_pull(from, pull.has_updates);
    }

    fn finish_pull(&mut self, from: &MemberName, has_updates: bool) {
        let own_digest = self.values.digest();
        let own_revision = self.list.revision();
        let Some(peer) = self
            .links
            .get_mut(from)
            .and_then(|link| link.peer_digest.as_mut())
        else {
            return;
        };
        if !has_updates {
            peer.empty_pull_digest = Some(own_digest);
        }
        if peer.is_ready && peer.list_revision <= own_revision {
            self.readiness.note_peer_in_sync();
        }
    }

    pub(super) fn pull_values(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        before: Option<Revision>,
        has_updates: bool,
    ) {
        let pull = ValuePull {
            buckets: self.values.buckets(),
            before,
        };
        if self.send(now, from, Message::PullValues(pull)) {
            self.value_pull = Some(Pull {
                from: from.clone(),
                sent_at: now,
                has_updates,
            });
        }
    }

    fn answer_value_pull(&mut self, now: MonotonicMs, from: &MemberName, pull: &ValuePull) {
        let (values, next_before) =
            self.values
                .page(&pull.buckets, pull.before, PAGE_SIZE_MAX_BYTES);
        let page = ValuePage {
            values,
            is_answer: true,
            next_before,
        };
        self.send(now, from, Message::Values(page));
    }

    fn receive_list_changes(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        changes: &[ListChange],
    ) {
        self.list_pull_sent_at = None;
        let applied: Vec<ListChange> = changes
            .iter()
            .filter(|change| self.list.apply(change))
            .cloned()
            .collect();
        if applied.is_empty() {
            return;
        }
        self.handle_list_change(now);
        if self.is_relaying() {
            self.flood(now, &Message::ListChanges(applied), Some(from));
        }
    }

    pub(super) fn pull_list(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        after: Option<InstanceKey>,
    ) {
        let have = self.list.revision();
        if self.send(now, from, Message::PullList(ListPull { have, after })) {
            self.list_pull_sent_at = Some(now);
        }
    }

    fn answer_list_pull(&mut self, now: MonotonicMs, from: &MemberName, pull: &ListPull) {
        if pull.have >= self.list.revision() {
            return;
        }
        let answer = match self.list.changes_since(pull.have) {
            Some(changes) if pull.after.is_none() => Message::ListChanges(changes),
            Some(_) | None => {
                Message::ListPage(self.list.page(pull.after.as_ref(), PAGE_SIZE_MAX_BYTES))
            }
        };
        self.send(now, from, answer);
    }

    fn receive_summaries(
        &mut self,
        now: MonotonicMs,
        from: &MemberName,
        incarnation: Incarnation,
        batches: &[SummaryBatch],
        update_kind: UpdateKind,
    ) {
        let tree = match update_kind {
            UpdateKind::Change => Tree::LongFirst,
            UpdateKind::Refresh => Tree::ShortFirst,
        };
        for batch in batches {
            let sender = || Origin {
                name: from.clone(),
                incarnation,
            };
            let origin = batch.origin.clone().unwrap_or_else(sender);
            if origin.name == self.config.own.name {
                continue;
            }
            let owners = &self.owners_by_hash;
            let is_owner = |endpoint: EndpointHash| owners.get(&endpoint) == Some(&origin.name);
            let relay_to = self
                .ring
                .children(&origin.name, &self.config.own.name, tree);
            let received = ReceivedSummaries {
                from,
                origin: &origin,
                entries: &batch.entries,
                update_kind,
            };
            self.summaries.receive(now, &received, is_owner, &relay_to);
        }
    }
}
