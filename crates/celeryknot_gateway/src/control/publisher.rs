//! Owns the daemon's state of the platform and of its peers, and publishes it as a view.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable};
use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_peers::relay::{PendingPoll, RelayVersions, UpdatesRequest, UpdatesResponse};
use celeryknot_policy::direct::ListedVersions;
use celeryknot_policy::routing::EntryDefect;

use super::long_polls::{
    EncodedUpdates, PendingPolls, ReceivedUpdates, ReplyState, before, build_reply, decode_counts,
    decode_member, decode_updates, decode_versions, encode_counts, encode_member, encode_updates,
};
use crate::in_flight::InFlightTable;
use crate::members::{Member, MemberTable};
use crate::peer_schedule::{PeerSchedule, PollContext, PollStep, poll_wait};
use crate::platform_protocol::{PlatformProtocol, StoreEra, StoreRevision};
use crate::relay_log::{RawItem, RelayLog};
use crate::shared::{PeerUpdate, Shared, TrafficUpdate, try_queue};
use crate::store_calls::{copy_age_max, must_read_store};
use crate::store_state::{StateChange, StoreState, shorten};
use crate::view::{COPY_GAP_MIN, View};

/// Age of the store state that counts as a store outage, during which entries may expire.
const STORE_OUTAGE_AGE: DurationMs = DurationMs(4_000);

/// Time for which the software versions have been observed that is enough for any stream.
const OBSERVATION_ENOUGH: DurationMs = DurationMs(120_000);

/// Time without several versions of a service after which peers need not know of streams.
const SETTLED_WINDOW: DurationMs = DurationMs(30_000);

/// Maximum number of defects of a configuration in the logs.
const LOGGED_DEFECTS_MAX: usize = 20;

/// The origin of an update, for the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum UpdateSource {
    Store,
    Peer,
}

/// Versions of the last endpoint updates sent to and received from a peer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UpdateCursor {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Publisher {
    pub(crate) shared: Arc<Shared>,
    state: RefCell<StoreState>,
    store_log: RefCell<RelayLog>,
    /// The item that contains the active configuration.
    active_configuration: RefCell<Option<RawItem>>,
    members: RefCell<MemberTable>,
    /// The published list's version, and whether it was settled.
    published_members: Cell<Option<(u64, bool)>>,
    /// Age of the copy of the store when it was last found stale; `None` while it is recent.
    stale_copy_age: Cell<Option<DurationMs>>,
    endpoint_updates: RefCell<EndpointUpdateTable>,
    in_flight: RefCell<InFlightTable>,
    /// The software versions of all services, also in the view.
    versions: RefCell<Arc<ListedVersions>>,
    pending_polls: RefCell<PendingPolls>,
}

impl Publisher {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let members = MemberTable::new(Member {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.peers_address,
            incarnation: Incarnation(rand::random()),
            cores_percent: (settings.cores * 100.0).round() as u32,
            hop_address: settings.hop_address,
        });
        Self {
            shared,
            state: RefCell::default(),
            store_log: RefCell::default(),
            active_configuration: RefCell::default(),
            members: RefCell::new(members),
            published_members: Cell::default(),
            stale_copy_age: Cell::default(),
            endpoint_updates: RefCell::default(),
            in_flight: RefCell::default(),
            versions: RefCell::default(),
            pending_polls: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.now()
    }

    /// Returns the revision of this daemon's copy of the store.
    pub(crate) fn position(&self) -> Option<StoreRevision> {
        self.store_log.borrow().at()
    }

    /// Returns whether this daemon must read the store itself.
    pub(crate) fn must_read_store(&self) -> bool {
        must_read_store(self.is_reader(), self.shared.store_age(), self.poll_wait())
    }

    pub(crate) fn is_reader(&self) -> bool {
        self.members.borrow().is_reader(self.now())
    }

    pub(crate) fn reader_rank(&self) -> Option<usize> {
        self.members.borrow().reader_rank(self.now())
    }

    /// Returns how long peers may wait for updates before they reply to this daemon without any.
    pub(crate) fn poll_wait(&self) -> DurationMs {
        let view = self.shared.view.load();
        let endpoints = view.endpoints.values().map(Vec::len).sum();
        // Streams are short, and peers must know which version began them.
        let daemons = match view.versions.is_settled(self.now(), SETTLED_WINDOW) {
            true => view.members.len(),
            false => usize::MAX,
        };
        poll_wait(daemons, endpoints)
    }

    /// Returns the next step of a schedule of polls.
    pub(crate) fn next_poll(&self, schedule: &mut PeerSchedule) -> PollStep {
        schedule.next_step(PollContext {
            now: self.now(),
            members: &self.members.borrow(),
            seeds: &self.shared.settings.seeds,
            has_copy: self.position().is_some(),
        })
    }

    pub(crate) fn note_unresponsive(&self, address: std::net::SocketAddr) {
        let now = self.now();
        self.members.borrow_mut().note_unresponsive(now, address);
    }

    /// Applies a complete listing of the store, or the changes since a known revision.
    pub(crate) fn apply_items<P: PlatformProtocol>(
        &self,
        source: UpdateSource,
        at: StoreRevision,
        is_snapshot: bool,
        items: Vec<RawItem>,
    ) {
        let updates = {
            let mut store_log = self.store_log.borrow_mut();
            match is_snapshot {
                true => store_log.replace(at, items),
                false => store_log.apply(at, items),
            }
        };
        if updates.is_empty() {
            return;
        }
        let now = self.now();
        if self.shared.store_age() > STORE_OUTAGE_AGE {
            self.state.borrow_mut().note_outage(now);
        }
        let changes: Vec<StateChange> = updates
            .iter()
            .filter_map(|item| {
                let value = item.value.as_deref();
                let record = value.map(|value| P::read_item(&item.key, value));
                let mut state = self.state.borrow_mut();
                let change = state.apply(now, &item.key, item.revision, record);
                self.keep_configuration(item, change.as_ref());
                change
            })
            .collect();
        self.publish(source, at, &changes);
        self.answer_polls();
    }

    /// Keeps the item of the active configuration in the relayed copy of the store, also if the store
    /// has an earlier one or none, so that daemons that start now get it.
    fn keep_configuration(&self, item: &RawItem, change: Option<&StateChange>) {
        let mut active = self.active_configuration.borrow_mut();
        if let Some(StateChange::Configuration { defects, .. }) = change {
            let metrics = &self.shared.metrics;
            metrics.configuration_defects.set(defects.len() as i64);
            *active = Some(item.clone());
        }
        let Some(kept) = active.as_ref().filter(|kept| kept.key == item.key) else {
            return;
        };
        if item.value != kept.value {
            let revision = item.revision;
            let mut store_log = self.store_log.borrow_mut();
            store_log.keep(RawItem {
                revision,
                ..kept.clone()
            });
        }
    }

    /// Records that a daemon, this one or another, read the store `age` ago.
    pub(crate) fn note_store_read(&self, age: DurationMs) {
        if self.shared.store_age() > COPY_GAP_MIN {
            let now = self.now();
            self.change_versions(|versions| versions.restart(now));
        }
        let at = MonotonicMs(self.now().0.saturating_sub(age.0));
        self.shared.note_store_read(at);
    }

    pub(crate) fn note_outage(&self) {
        self.state.borrow_mut().note_outage(self.now());
    }

    /// Performs time-based work: expiry, publication and overdue replies.
    pub(crate) fn advance(&self) {
        let now = self.now();
        self.shared.metrics.reader.set(i64::from(self.is_reader()));
        let changes = self.state.borrow_mut().advance(now);
        self.publish(UpdateSource::Store, StoreRevision::default(), &changes);
        self.members.borrow_mut().advance(now);
        self.endpoint_updates.borrow_mut().advance(now);
        self.in_flight.borrow_mut().advance(now);
        self.send_own_total(now);
        self.publish_members();
        self.observe_copy_age();
        self.pending_polls
            .borrow_mut()
            .answer_expired(now, |request| self.reply_to(request));
    }

    /// Sends a reader's own total to its traffic thread.
    fn send_own_total(&self, now: MonotonicMs) {
        if self.is_reader() {
            let total = self.in_flight.borrow().total(now);
            self.send_to_traffic(PeerUpdate::Totals(total));
        }
    }

    /// Logs when the copy of the store becomes stale, and when it is recent again.
    fn observe_copy_age(&self) {
        let age = self.shared.store_age();
        if age > copy_age_max(self.poll_wait()) {
            let revision = self.position().unwrap_or_default();
            if self.stale_copy_age.replace(Some(age)).is_none() {
                self.shared.metrics.stale_copies.inc();
                tracing::warn!(
                    copy_age_ms = age.0,
                    revision = revision.number,
                    is_reader = self.is_reader(),
                    "the copy of the store is stale"
                );
            }
        } else if let Some(age) = self.stale_copy_age.take() {
            tracing::info!(copy_age_ms = age.0, "the copy of the store is recent again");
        }
    }

    fn publish(&self, source: UpdateSource, at: StoreRevision, changes: &[StateChange]) {
        if changes.is_empty() {
            return;
        }
        let origin = ChangeOrigin {
            source,
            at,
            copy_age: self.shared.store_age(),
        };
        for change in changes {
            log_change(origin, change);
        }
        let state = self.state.borrow();
        let endpoints = state.endpoints();
        let mut versions = self.versions.borrow_mut();
        let listed = endpoints.iter().flat_map(|(service, listed)| {
            let versions = listed.iter().map(|it| &it.version);
            versions.map(move |version| (service, version))
        });
        Arc::make_mut(&mut versions).observe(self.now(), listed);
        let previous = self.shared.view.load();
        self.shared.view.store(Arc::new(View {
            version: previous.version + 1,
            table: state.table().cloned(),
            endpoints,
            versions: Arc::clone(&versions),
            members: previous.members.clone(),
            peers: Arc::clone(&previous.peers),
            are_members_settled: previous.are_members_settled,
        }));
    }

    fn publish_members(&self) {
        let now = self.now();
        let members = self.members.borrow();
        let are_members_settled = members.is_settled(now, self.expects_others());
        let current = (members.version(), are_members_settled);
        if self.published_members.replace(Some(current)) == Some(current) {
            return;
        }
        let previous = self.shared.view.load();
        let names = members.names();
        let peers = members.others(now).map(|(member, _)| member.clone());
        tracing::info!(
            daemons = names.len(),
            is_reader = members.is_reader(now),
            is_settled = are_members_settled,
            "member list changed"
        );
        self.shared.view.store(Arc::new(View {
            version: previous.version + 1,
            members: names,
            peers: peers.collect(),
            are_members_settled,
            ..View::clone(&previous)
        }));
    }

    /// Returns whether the settings name other daemons.
    fn expects_others(&self) -> bool {
        let settings = &self.shared.settings;
        let mut seeds = settings.seeds.iter();
        seeds.any(|seed| *seed != settings.peers_address)
    }

    /// Builds the request that polls a peer.
    ///
    /// With `reports_own`, a daemon that is not a reader includes its in-flight counts for the peer
    /// to add up.
    pub(crate) fn poll_request(
        &self,
        wait: DurationMs,
        cursor: &UpdateCursor,
        reports_own: bool,
    ) -> UpdatesRequest {
        let now = self.now();
        let is_reader = self.is_reader();
        let updates = self.endpoint_updates.borrow().after(now, cursor.sent);
        let EncodedUpdates {
            loads,
            holders,
            parts,
            rate_limits,
            requests,
            streams,
        } = encode_updates(now, updates);
        let members = self.members.borrow();
        UpdatesRequest {
            member: Some(encode_member(members.own(), DurationMs(0))),
            after: self.position().map(|at| at.number),
            after_era: self.position().unwrap_or_default().era.0,
            wait_ms: u32::try_from(wait.0).unwrap_or(u32::MAX),
            members_digest: members.digest(),
            ages: members.ages(now),
            loads,
            holders,
            parts,
            rate_limits,
            requests,
            streams,
            wants_versions: self.wants_versions(now),
            updates_after: cursor.received,
            in_flight: (reports_own && !is_reader)
                .then(|| encode_counts(self.in_flight.borrow().own())),
            is_aggregator: is_reader,
        }
    }

    /// Returns the version of the last stored endpoint update.
    pub(crate) fn update_version(&self) -> u64 {
        self.endpoint_updates.borrow().version()
    }

    /// Applies a peer's reply.
    pub(crate) fn apply_reply<P: PlatformProtocol>(&self, reply: UpdatesResponse) {
        let now = self.now();
        self.apply_peer_updates(ReceivedUpdates::from(&reply));
        self.apply_in_flight_counts(&reply);
        {
            let mut members = self.members.borrow_mut();
            let reported = reply.members.iter().chain(&reply.member);
            for (member, age) in reported.filter_map(decode_member) {
                members.observe(now, member, age);
            }
            if reply.members_digest == members.digest() {
                members.observe_ages(now, &reply.ages);
            }
        }
        if let Some(versions) = &reply.versions
            && DurationMs(u64::from(reply.store_age_ms)) <= COPY_GAP_MIN
        {
            self.merge_versions(now, versions);
        }
        if let Some(at) = reply.at {
            self.note_store_read(DurationMs(u64::from(reply.store_age_ms)));
            let era = StoreEra(reply.era);
            let items = reply.items.into_iter().map(|item| RawItem {
                key: item.key,
                revision: era.revision(item.revision),
                value: item.value,
            });
            self.apply_items::<P>(
                UpdateSource::Peer,
                era.revision(at),
                reply.is_snapshot,
                items.collect(),
            );
            self.shared
                .note_copied(before(now, u64::from(reply.store_age_ms)));
        }
        self.publish_members();
    }

    /// Returns whether peers may know software versions of before this daemon's first list.
    fn wants_versions(&self, now: MonotonicMs) -> bool {
        let observed_since = self.versions.borrow().observed_since();
        observed_since.is_some_and(|since| now - since < OBSERVATION_ENOUGH)
    }

    fn merge_versions(&self, now: MonotonicMs, received: &RelayVersions) {
        let Some(decoded) = decode_versions(now, &received.versions) else {
            return;
        };
        let observed_since = before(now, received.observed_ms);
        self.change_versions(|versions| versions.merge(now, observed_since, decoded));
    }

    /// Changes the software versions, and publishes them.
    fn change_versions(&self, change: impl FnOnce(&mut ListedVersions)) {
        let mut versions = self.versions.borrow_mut();
        let mut changed = ListedVersions::clone(&versions);
        change(&mut changed);
        if changed == **versions {
            return;
        }
        *versions = Arc::new(changed);
        let previous = self.shared.view.load();
        self.shared.view.store(Arc::new(View {
            versions: Arc::clone(&versions),
            ..View::clone(&previous)
        }));
    }

    /// Accepts a peer's poll; replies immediately if the peer's copy of the store is outdated.
    pub(crate) fn accept_poll(&self, poll: PendingPoll) {
        let now = self.now();
        let request = &poll.request;
        self.apply_peer_updates(ReceivedUpdates::from(request));
        {
            let mut members = self.members.borrow_mut();
            let sender = poll.request.member.as_ref();
            if let Some((member, age)) = sender.and_then(decode_member) {
                if let Some(counts) = &poll.request.in_flight {
                    let mut in_flight = self.in_flight.borrow_mut();
                    in_flight.note_follower(now, member.name.clone(), decode_counts(counts));
                }
                members.observe(now, member, age);
            }
            if poll.request.members_digest == members.digest() {
                members.observe_ages(now, &poll.request.ages);
            }
        }
        self.pending_polls.borrow_mut().add(now, poll);
        self.answer_polls();
    }

    fn answer_polls(&self) {
        let position = self.position();
        let mut pending_polls = self.pending_polls.borrow_mut();
        pending_polls.answer_outdated(position, |request| self.reply_to(request));
    }

    fn reply_to(&self, request: &UpdatesRequest) -> UpdatesResponse {
        let state = ReplyState {
            now: self.now(),
            members: &self.members.borrow(),
            store_log: &self.store_log.borrow(),
            endpoints: &self.endpoint_updates.borrow(),
            in_flight: &self.in_flight.borrow(),
            store_age: self.shared.store_age(),
            versions: &self.versions.borrow(),
        };
        build_reply(state, request)
    }

    /// Applies an update from the traffic thread.
    pub(crate) fn apply_traffic_update(&self, update: TrafficUpdate) {
        match update {
            TrafficUpdate::Endpoint(update) => {
                self.endpoint_updates.borrow_mut().observe(update);
            }
            TrafficUpdate::InFlight { endpoint, count } => {
                self.in_flight.borrow_mut().set_own(endpoint, count);
            }
        }
    }

    fn send_to_traffic(&self, update: PeerUpdate) {
        if !try_queue(&self.shared.peer_updates, update) {
            tracing::debug!("the traffic thread's queue is full; dropped an update");
        }
    }

    /// Stores a peer's subtotal and forwards the total to the traffic thread.
    fn apply_in_flight_counts(&self, reply: &UpdatesResponse) {
        let now = self.now();
        let peer = reply.member.as_ref().and_then(decode_member);
        if let (Some((peer, _)), Some(subtotal)) = (peer, &reply.in_flight_subtotal) {
            let mut in_flight = self.in_flight.borrow_mut();
            in_flight.note_reader(now, peer.name, decode_counts(subtotal));
        }
        if let Some(total) = &reply.in_flight_total {
            self.send_to_traffic(PeerUpdate::Totals(decode_counts(total)));
        }
    }

    /// Stores a peer's endpoint updates and forwards the new ones to the traffic thread.
    fn apply_peer_updates(&self, received: ReceivedUpdates<'_>) {
        let now = self.now();
        let updates: Vec<EndpointUpdate> = {
            let mut table = self.endpoint_updates.borrow_mut();
            let decoded = decode_updates(now, received);
            decoded.filter(|update| table.observe(*update)).collect()
        };
        for update in updates {
            self.send_to_traffic(PeerUpdate::Endpoint(update));
        }
    }
}

/// Where changes came from, for the logs.
#[derive(Debug, Clone, Copy)]
struct ChangeOrigin {
    source: UpdateSource,
    at: StoreRevision,
    /// Time since the last known read of the store when the changes were applied.
    copy_age: DurationMs,
}

fn log_change(origin: ChangeOrigin, change: &StateChange) {
    let ChangeOrigin {
        source,
        at,
        copy_age,
    } = origin;
    let (era, revision, copy_age_ms) = (at.era.0, at.number, copy_age.0);
    match change {
        StateChange::Configuration {
            version,
            limits,
            defects,
        } => {
            tracing::info!(
                %source,
                era,
                revision,
                copy_age_ms,
                version,
                header_timeout_ms = limits.header_timeout_ms.0,
                idle_timeout_ms = limits.idle_timeout_ms.0,
                defects = defects.len(),
                "configuration in force"
            );
            log_defects(*version, defects);
        }
        StateChange::Endpoint(record) => tracing::info!(
            %source,
            era,
            revision,
            copy_age_ms,
            sequence = record.sequence,
            endpoint = %record.name,
            service = %record.service,
            address = %record.address,
            zone = %record.zone,
            version = %record.version,
            is_leaving = record.is_draining,
            cold_ms = record.cold_remaining_ms.0,
            "endpoint listed"
        ),
        StateChange::EndpointRemoved(record) => {
            tracing::info!(%source, revision, endpoint = %record.name, "endpoint delisted");
        }
        StateChange::ZoneEvacuated(zone) => {
            tracing::info!(%source, revision, %zone, "zone evacuated")
        }
        StateChange::ZoneRestored(zone) => {
            tracing::info!(%source, revision, %zone, "zone restored")
        }
        StateChange::Invalid { key, reason } => {
            tracing::warn!(%source, revision, key, reason, "invalid store item");
        }
    }
}

/// Logs the first defects of a configuration, as an operator's mistake may be in every entry.
fn log_defects(version: u64, defects: &[EntryDefect]) {
    for defect in defects.iter().take(LOGGED_DEFECTS_MAX) {
        tracing::warn!(
            version,
            kind = %defect.kind,
            name = shorten(&defect.name),
            reason = shorten(&defect.reason),
            "configuration entry can't be read"
        );
    }
}
