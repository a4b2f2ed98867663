//! Owns what this daemon believes of the platform and of its peers, and publishes it as a view.

use std::cell::RefCell;
use std::sync::Arc;

use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_peers::relay::{NewsCall, NewsReply, NewsRequest, RelayHolder, RelayLoad};

use super::questions::{
    Known, Questions, build_reply, read_counts, read_member, read_news, write_counts, write_member,
    write_news,
};
use crate::boundary::{Boundary, StoreRevision};
use crate::endpoint_news::{EndpointNews, NewsTable};
use crate::in_flight::InFlightTable;
use crate::members::{Member, MemberTable};
use crate::relay_log::{RawItem, RelayLog};
use crate::shared::{Heard, Shared, Told};
use crate::store_state::{StateChange, StoreState};
use crate::view::View;

/// Age of the last news beyond which a daemon that is no reader reads the store itself.
///
/// A reader's watch and the question to it last 2.5 s together where nothing happens.
const NEWS_AGE_MAX: DurationMs = DurationMs(3_000);

/// Age of the last news that counts as an outage of the store, in which entries may lapse.
const OUTAGE_AGE: DurationMs = DurationMs(4_000);

/// Where news came from, for the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum NewsSource {
    Store,
    Peer,
}

/// Up to which news of endpoints a peer was told, and up to which it has told.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NewsCursor {
    pub(crate) told: u64,
    pub(crate) heard: u64,
}

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Publisher {
    pub(crate) shared: Arc<Shared>,
    state: RefCell<StoreState>,
    log: RefCell<RelayLog>,
    members: RefCell<MemberTable>,
    members_published: RefCell<u64>,
    endpoint_news: RefCell<NewsTable>,
    in_flight: RefCell<InFlightTable>,
    questions: RefCell<Questions>,
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
        });
        Self {
            shared,
            state: RefCell::default(),
            log: RefCell::default(),
            members: RefCell::new(members),
            members_published: RefCell::new(0),
            endpoint_news: RefCell::default(),
            in_flight: RefCell::default(),
            questions: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.now()
    }

    /// Returns the revision up to which the store is known.
    pub(crate) fn position(&self) -> Option<StoreRevision> {
        self.log.borrow().at()
    }

    /// Tells whether this daemon should read the store itself now.
    pub(crate) fn must_read_store(&self) -> bool {
        self.is_reader() || self.shared.store_age() > NEWS_AGE_MAX
    }

    pub(crate) fn is_reader(&self) -> bool {
        self.members.borrow().is_reader(self.now())
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.borrow().names().len()
    }

    pub(crate) fn endpoint_count(&self) -> usize {
        self.shared
            .view
            .load()
            .endpoints
            .values()
            .map(Vec::len)
            .sum()
    }

    pub(crate) fn sources(&self, draw: u64) -> Vec<Member> {
        self.members.borrow().sources(self.now(), draw)
    }

    pub(crate) fn note_silent(&self, address: std::net::SocketAddr) {
        let now = self.now();
        self.members.borrow_mut().note_silent(now, address);
    }

    /// Takes over a whole listing of the store, or changes since a revision that is known.
    pub(crate) fn take_items<B: Boundary>(
        &self,
        source: NewsSource,
        at: StoreRevision,
        is_whole: bool,
        items: Vec<RawItem>,
    ) {
        let news = {
            let mut log = self.log.borrow_mut();
            match is_whole {
                true => log.replace(at, items),
                false => log.apply(at, items),
            }
        };
        if news.is_empty() {
            return;
        }
        let now = self.now();
        if self.shared.store_age() > OUTAGE_AGE {
            self.state.borrow_mut().note_outage(now);
        }
        let changes: Vec<StateChange> = {
            let mut state = self.state.borrow_mut();
            news.iter()
                .filter_map(|item| {
                    let value = item.value.as_deref();
                    let record = value.map(|value| B::read_item(&item.key, value));
                    state.apply(now, &item.key, item.revision, record)
                })
                .collect()
        };
        self.publish(source, at, &changes);
        self.answer_questions();
    }

    /// Notes that the store was read some time ago, by whichever daemon.
    pub(crate) fn note_store_heard(&self, age: DurationMs) {
        let at = MonotonicMs(self.now().0.saturating_sub(age.0));
        self.shared.note_store_heard(at);
    }

    pub(crate) fn note_outage(&self) {
        self.state.borrow_mut().note_outage(self.now());
    }

    /// Does what has become due.
    pub(crate) fn advance(&self) {
        let now = self.now();
        self.shared.metrics.reader.set(i64::from(self.is_reader()));
        let changes = self.state.borrow_mut().advance(now);
        self.publish(NewsSource::Store, StoreRevision::default(), &changes);
        self.members.borrow_mut().advance(now);
        self.endpoint_news.borrow_mut().advance(now);
        self.in_flight.borrow_mut().advance(now);
        self.tell_own_total(now);
        self.publish_members();
        self.questions
            .borrow_mut()
            .answer_overdue(now, |request| self.reply_to(request));
    }

    /// Lets the traffic thread of a reader know the total that the reader has added up itself.
    fn tell_own_total(&self, now: MonotonicMs) {
        if self.is_reader() {
            let total = self.in_flight.borrow().total(now);
            self.tell_traffic(Told::Totals(total));
        }
    }

    fn publish(&self, source: NewsSource, at: StoreRevision, changes: &[StateChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log_change(source, at, change);
        }
        let state = self.state.borrow();
        let before = self.shared.view.load();
        self.shared.view.store(Arc::new(View {
            version: before.version + 1,
            table: state.table().cloned(),
            endpoints: state.endpoints(),
            members: before.members.clone(),
        }));
    }

    fn publish_members(&self) {
        let members = self.members.borrow();
        if *self.members_published.borrow() == members.version() {
            return;
        }
        *self.members_published.borrow_mut() = members.version();
        let before = self.shared.view.load();
        let names = members.names();
        tracing::info!(
            daemons = names.len(),
            is_reader = members.is_reader(self.now()),
            "daemons known"
        );
        self.shared.view.store(Arc::new(View {
            version: before.version + 1,
            members: names,
            ..View::clone(&before)
        }));
    }

    /// Builds the question that is put to a peer.
    ///
    /// With `tells_own`, the peer adds up what this daemon has in flight, unless it does so itself.
    pub(crate) fn question(
        &self,
        wait: DurationMs,
        cursor: &NewsCursor,
        tells_own: bool,
    ) -> NewsRequest {
        let now = self.now();
        let is_reader = self.is_reader();
        let news = self.endpoint_news.borrow().after(now, cursor.told);
        let (loads, holders) = write_news(now, news);
        let members = self.members.borrow();
        NewsRequest {
            member: Some(write_member(members.own(), DurationMs(0))),
            after: self.position().map(|at| at.0),
            wait_ms: u32::try_from(wait.0).unwrap_or(u32::MAX),
            members_digest: members.digest(),
            ages: members.ages(now),
            loads,
            holders,
            news_after: cursor.heard,
            in_flight: (tells_own && !is_reader)
                .then(|| write_counts(self.in_flight.borrow().own())),
            adds_up: is_reader,
        }
    }

    /// Returns the number of the last news of endpoints that this daemon knows.
    pub(crate) fn news_version(&self) -> u64 {
        self.endpoint_news.borrow().version()
    }

    /// Takes over what a peer has answered.
    pub(crate) fn take_reply<B: Boundary>(&self, reply: NewsReply) {
        let now = self.now();
        self.take_peer_news(&reply.loads, &reply.holders);
        self.take_sums(&reply);
        {
            let mut members = self.members.borrow_mut();
            let told = reply.members.iter().chain(&reply.member);
            for (member, age) in told.filter_map(read_member) {
                members.observe(now, member, age);
            }
            if reply.members_digest == members.digest() {
                members.observe_ages(now, &reply.ages);
            }
        }
        if let Some(at) = reply.at {
            self.note_store_heard(DurationMs(u64::from(reply.store_age_ms)));
            let items = reply.items.into_iter().map(|item| RawItem {
                key: item.key,
                revision: StoreRevision(item.revision),
                value: item.value,
            });
            self.take_items::<B>(
                NewsSource::Peer,
                StoreRevision(at),
                reply.is_whole,
                items.collect(),
            );
        }
        self.publish_members();
    }

    /// Takes up a question of a peer; it is answered at once if there is news.
    pub(crate) fn take_question(&self, call: NewsCall) {
        let now = self.now();
        self.take_peer_news(&call.request.loads, &call.request.holders);
        {
            let mut members = self.members.borrow_mut();
            let asker = call.request.member.as_ref();
            if let Some((member, age)) = asker.and_then(read_member) {
                if let Some(counts) = &call.request.in_flight {
                    let mut in_flight = self.in_flight.borrow_mut();
                    in_flight.note_asker(now, member.name.clone(), read_counts(counts));
                }
                members.observe(now, member, age);
            }
            if call.request.members_digest == members.digest() {
                members.observe_ages(now, &call.request.ages);
            }
        }
        self.questions.borrow_mut().add(now, call);
        self.answer_questions();
    }

    fn answer_questions(&self) {
        let position = self.position();
        let mut questions = self.questions.borrow_mut();
        questions.answer_news(position, |request| self.reply_to(request));
    }

    fn reply_to(&self, request: &NewsRequest) -> NewsReply {
        let known = Known {
            now: self.now(),
            members: &self.members.borrow(),
            log: &self.log.borrow(),
            endpoints: &self.endpoint_news.borrow(),
            in_flight: &self.in_flight.borrow(),
            store_age: self.shared.store_age(),
        };
        build_reply(known, request)
    }

    /// Takes in what the traffic thread has heard of endpoints.
    pub(crate) fn take_heard(&self, heard: Heard) {
        match heard {
            Heard::News(news) => {
                self.endpoint_news.borrow_mut().observe(news);
            }
            Heard::InFlight { endpoint, count } => {
                self.in_flight.borrow_mut().set_own(endpoint, count);
            }
        }
    }

    fn tell_traffic(&self, told: Told) {
        if self.shared.news_told.try_send(told).is_err() {
            tracing::debug!("the traffic thread lags behind; it is told later news soon");
        }
    }

    /// Takes in what a peer has added up, and lets the traffic thread know the total.
    fn take_sums(&self, reply: &NewsReply) {
        let now = self.now();
        let peer = reply.member.as_ref().and_then(read_member);
        if let (Some((peer, _)), Some(here)) = (peer, &reply.in_flight_here) {
            let mut in_flight = self.in_flight.borrow_mut();
            in_flight.note_reader(now, peer.name, read_counts(here));
        }
        if let Some(total) = &reply.in_flight_total {
            self.tell_traffic(Told::Totals(read_counts(total)));
        }
    }

    /// Takes in what a peer tells of endpoints, and lets the traffic thread know.
    fn take_peer_news(&self, loads: &[RelayLoad], holders: &[RelayHolder]) {
        let now = self.now();
        let news: Vec<EndpointNews> = {
            let mut table = self.endpoint_news.borrow_mut();
            let read = read_news(now, loads, holders);
            read.filter(|news| table.observe(*news)).collect()
        };
        for news in news {
            self.tell_traffic(Told::News(news));
        }
    }
}

fn log_change(source: NewsSource, at: StoreRevision, change: &StateChange) {
    let revision = at.0;
    match change {
        StateChange::Configuration { version } => {
            tracing::info!(%source, revision, version, "configuration in force");
        }
        StateChange::Endpoint(record) => tracing::info!(
            %source,
            revision,
            endpoint = %record.name,
            service = %record.service,
            address = %record.address,
            zone = %record.zone,
            is_leaving = record.is_leaving,
            cold_ms = record.cold_ms.0,
            "endpoint listed"
        ),
        StateChange::EndpointGone(record) => {
            tracing::info!(%source, revision, endpoint = %record.name, "endpoint no longer listed");
        }
        StateChange::ZoneOut(zone) => tracing::info!(%source, revision, %zone, "zone taken out"),
        StateChange::ZoneBack(zone) => tracing::info!(%source, revision, %zone, "zone taken back"),
        StateChange::Unusable { key, reason } => {
            tracing::warn!(%source, revision, key, reason, "an item of the store can't be used");
        }
    }
}
