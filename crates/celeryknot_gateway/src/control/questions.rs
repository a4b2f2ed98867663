//! Questions of peers for news, and their answers.

use std::rc::Rc;

use async_channel::Receiver;
use celeryknot_core::{DurationMs, EndpointTag, Incarnation, MonotonicMs, PromptTag};
use celeryknot_peers::relay::{
    InFlightCounts, NewsCall, NewsReply, NewsRequest, RelayHolder, RelayItem, RelayLoad,
    RelayMember,
};

use super::Publisher;
use crate::boundary::StoreRevision;
use crate::endpoint_news::{EndpointNews, Fact, NewsTable};
use crate::in_flight::{Counts, InFlightTable};
use crate::members::{Member, MemberTable};
use crate::relay_log::RelayLog;

/// Longest wait that a peer may ask for.
const WAIT_MAX: DurationMs = DurationMs(2_000);

/// Questions that wait for news, each until its time.
#[derive(Debug, Default)]
pub(super) struct Questions(Vec<(MonotonicMs, NewsCall)>);

impl Questions {
    pub(super) fn add(&mut self, now: MonotonicMs, call: NewsCall) {
        let wait_ms = DurationMs(u64::from(call.request.wait_ms)).min(WAIT_MAX);
        self.0.push((now + wait_ms, call));
    }

    /// Answers the questions of peers that know less than this daemon.
    pub(super) fn answer_news(
        &mut self,
        position: Option<StoreRevision>,
        reply: impl Fn(&NewsRequest) -> NewsReply,
    ) {
        let is_news = |request: &NewsRequest| request.after.map(StoreRevision) < position;
        self.answer_if(
            |_, request| is_news(request),
            reply,
            |reply| !reply.items.is_empty(),
        );
    }

    /// Answers the questions whose time is over.
    pub(super) fn answer_overdue(
        &mut self,
        now: MonotonicMs,
        reply: impl Fn(&NewsRequest) -> NewsReply,
    ) {
        self.answer_if(|until, _| now >= until, reply, |_| true);
    }

    fn answer_if(
        &mut self,
        is_due: impl Fn(MonotonicMs, &NewsRequest) -> bool,
        reply: impl Fn(&NewsRequest) -> NewsReply,
        is_worth: impl Fn(&NewsReply) -> bool,
    ) {
        for (until, call) in std::mem::take(&mut self.0) {
            if call.is_given_up() {
                continue;
            }
            if is_due(until, &call.request) {
                let answer = reply(&call.request);
                if is_worth(&answer) {
                    call.answer(answer);
                    continue;
                }
            }
            self.0.push((until, call));
        }
    }
}

/// Takes up peers' questions for as long as the thread runs.
pub(super) async fn take_questions(calls: Receiver<NewsCall>, publisher: Rc<Publisher>) {
    while let Ok(call) = calls.recv().await {
        publisher.take_question(call);
    }
}

/// What a reply is built from.
#[derive(Debug, Clone, Copy)]
pub(super) struct Known<'a> {
    pub(super) now: MonotonicMs,
    pub(super) members: &'a MemberTable,
    pub(super) log: &'a RelayLog,
    pub(super) endpoints: &'a NewsTable,
    pub(super) in_flight: &'a InFlightTable,
    pub(super) store_age: DurationMs,
}

pub(super) fn build_reply(known: Known<'_>, request: &NewsRequest) -> NewsReply {
    let Known {
        now,
        members,
        log,
        endpoints,
        in_flight,
        store_age,
    } = known;
    let news = log.after(request.after.map(StoreRevision));
    let (loads, holders) = write_news(now, endpoints.after(now, request.news_after));
    let is_list_known = request.members_digest == members.digest();
    let others = members.others(now);
    NewsReply {
        loads,
        holders,
        news_at: endpoints.version(),
        in_flight_here: request.adds_up.then(|| write_counts(&in_flight.here(now))),
        in_flight_total: request
            .in_flight
            .is_some()
            .then(|| write_counts(&in_flight.total(now))),
        member: Some(write_member(members.own(), DurationMs(0))),
        at: log.at().map(|at| at.0),
        store_age_ms: age_ms(store_age),
        is_whole: news.is_whole,
        items: news
            .items
            .into_iter()
            .map(|item| RelayItem {
                key: item.key,
                revision: item.revision.0,
                value: item.value,
            })
            .collect(),
        members_digest: members.digest(),
        ages: members.ages(now),
        members: match is_list_known {
            true => Vec::new(),
            false => others
                .map(|(member, age)| write_member(member, age))
                .collect(),
        },
    }
}

pub(super) fn write_counts(counts: &Counts) -> InFlightCounts {
    let (endpoints, counts) = counts.iter().map(|(tag, count)| (tag.0, *count)).unzip();
    InFlightCounts { endpoints, counts }
}

pub(super) fn read_counts(text: &InFlightCounts) -> Counts {
    let tags = text.endpoints.iter().map(|tag| EndpointTag(*tag));
    tags.zip(text.counts.iter().copied()).collect()
}

/// Writes news of endpoints: loads and failures, and holders of prompts.
pub(super) fn write_news(
    now: MonotonicMs,
    news: Vec<EndpointNews>,
) -> (Vec<RelayLoad>, Vec<RelayHolder>) {
    let (mut loads, mut holders) = (Vec::new(), Vec::new());
    for EndpointNews { endpoint, fact, at } in news {
        let age_ms = age_ms(now - at);
        let load = |held, is_unreachable| RelayLoad {
            endpoint: endpoint.0,
            held,
            age_ms,
            is_unreachable,
        };
        match fact {
            Fact::Load { held } => loads.push(load(held, false)),
            Fact::Unreachable => loads.push(load(0, true)),
            Fact::Holds { prompt } => holders.push(RelayHolder {
                endpoint: endpoint.0,
                prompt: prompt.0,
                age_ms,
            }),
        }
    }
    (loads, holders)
}

/// Reads news of endpoints as a peer has written them.
pub(super) fn read_news<'a>(
    now: MonotonicMs,
    loads: &'a [RelayLoad],
    holders: &'a [RelayHolder],
) -> impl Iterator<Item = EndpointNews> + 'a {
    let news = move |endpoint, fact, age_ms| EndpointNews {
        endpoint: EndpointTag(endpoint),
        fact,
        at: MonotonicMs(now.0.saturating_sub(u64::from(age_ms))),
    };
    let loads = loads.iter().map(move |load| {
        let fact = match load.is_unreachable {
            true => Fact::Unreachable,
            false => Fact::Load { held: load.held },
        };
        news(load.endpoint, fact, load.age_ms)
    });
    let holders = holders.iter().map(move |holder| {
        let prompt = PromptTag(holder.prompt);
        news(holder.endpoint, Fact::Holds { prompt }, holder.age_ms)
    });
    loads.chain(holders)
}

pub(super) fn write_member(member: &Member, age: DurationMs) -> RelayMember {
    RelayMember {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.incarnation.0,
        cores_percent: member.cores_percent,
        age_ms: age_ms(age),
    }
}

/// Reads what a peer says of a daemon; what can't be read is passed over with a line.
pub(super) fn read_member(text: &RelayMember) -> Option<(Member, DurationMs)> {
    let read = || {
        Some(Member {
            name: text.name.parse().ok()?,
            zone: text.zone.parse().ok()?,
            address: text.address.parse().ok()?,
            incarnation: Incarnation(text.incarnation),
            cores_percent: text.cores_percent,
        })
    };
    let member = read();
    if member.is_none() {
        tracing::warn!(
            name = text.name,
            address = text.address,
            "a peer names a daemon that can't be read"
        );
    }
    Some((member?, DurationMs(u64::from(text.age_ms))))
}

fn age_ms(age: DurationMs) -> u32 {
    u32::try_from(age.0).unwrap_or(u32::MAX)
}
