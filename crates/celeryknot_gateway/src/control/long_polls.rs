//! Long polls of peers for updates, and the replies to them.

use std::rc::Rc;

use async_channel::Receiver;
use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable, Observation};
use celeryknot_core::{
    DurationMs, EndpointPace, EndpointTag, Incarnation, MemberName, MonotonicMs, PromptTag,
    RatePerS, RequestTag, ServiceName, SuspectTag, ZoneName,
};
use celeryknot_peers::relay::{
    InFlightCounts, PendingPoll, RelayHolder, RelayItem, RelayLoad, RelayMember, RelayPart,
    RelayRateLimit, RelayRequest, RelayStream, RelayVersion, RelayVersions, UpdatesRequest,
    UpdatesResponse,
};

use celeryknot_policy::direct::{ListedVersion, ListedVersions};

use super::Publisher;
use crate::in_flight::{Counts, InFlightTable};
use crate::members::{Member, MemberTable};
use crate::platform_protocol::{StoreEra, StoreRevision};
use crate::relay_log::RelayLog;

/// Longest wait that a peer may request.
const WAIT_MAX: DurationMs = DurationMs(2_000);

/// Polls that wait for updates, with their deadlines.
#[derive(Debug, Default)]
pub(super) struct PendingPolls(Vec<(MonotonicMs, PendingPoll)>);

impl PendingPolls {
    pub(super) fn add(&mut self, now: MonotonicMs, poll: PendingPoll) {
        let wait_ms = DurationMs(u64::from(poll.request.wait_ms)).min(WAIT_MAX);
        self.0.push((now + wait_ms, poll));
    }

    /// Replies to peers whose copy of the store is older than this daemon's.
    pub(super) fn answer_outdated(
        &mut self,
        position: Option<StoreRevision>,
        reply: impl Fn(&UpdatesRequest) -> UpdatesResponse,
    ) {
        let is_outdated = |request: &UpdatesRequest| revision_of(request, position) < position;
        self.answer_where(
            |_, request| is_outdated(request),
            reply,
            |reply| !reply.items.is_empty(),
        );
    }

    /// Replies to polls past their deadline.
    pub(super) fn answer_expired(
        &mut self,
        now: MonotonicMs,
        reply: impl Fn(&UpdatesRequest) -> UpdatesResponse,
    ) {
        self.answer_where(|deadline, _| now >= deadline, reply, |_| true);
    }

    fn answer_where(
        &mut self,
        is_due: impl Fn(MonotonicMs, &UpdatesRequest) -> bool,
        reply: impl Fn(&UpdatesRequest) -> UpdatesResponse,
        has_content: impl Fn(&UpdatesResponse) -> bool,
    ) {
        for (deadline, poll) in std::mem::take(&mut self.0) {
            if poll.is_canceled() {
                continue;
            }
            if is_due(deadline, &poll.request) {
                let reply_message = reply(&poll.request);
                if has_content(&reply_message) {
                    poll.respond(reply_message);
                    continue;
                }
            }
            self.0.push((deadline, poll));
        }
    }
}

/// Accepts peers' polls until the thread ends.
pub(super) async fn accept_polls(polls: Receiver<PendingPoll>, publisher: Rc<Publisher>) {
    while let Ok(poll) = polls.recv().await {
        publisher.accept_poll(poll);
    }
}

/// The state that a reply is built from.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplyState<'a> {
    pub(super) now: MonotonicMs,
    pub(super) members: &'a MemberTable,
    pub(super) store_log: &'a RelayLog,
    pub(super) endpoints: &'a EndpointUpdateTable,
    pub(super) in_flight: &'a InFlightTable,
    pub(super) store_age: DurationMs,
    pub(super) versions: &'a ListedVersions,
}

/// Returns the revision of the store that the sender of a poll has.
///
/// Daemons of earlier versions state no era. Theirs is taken for the current one: with snapshots,
/// which they can't order, their polls would be answered at once again and again.
fn revision_of(request: &UpdatesRequest, position: Option<StoreRevision>) -> Option<StoreRevision> {
    let era = match StoreEra(request.after_era) {
        StoreEra(0) => position.unwrap_or_default().era,
        era => era,
    };
    request.after.map(|number| era.revision(number))
}

pub(super) fn build_reply(state: ReplyState<'_>, request: &UpdatesRequest) -> UpdatesResponse {
    let ReplyState {
        now,
        members,
        store_log,
        endpoints,
        in_flight,
        store_age,
        versions,
    } = state;
    let updates = store_log.after(revision_of(request, store_log.at()));
    let EncodedUpdates {
        loads,
        holders,
        parts,
        rate_limits,
        requests,
        streams,
    } = encode_updates(now, endpoints.after(now, request.updates_after));
    let is_list_equal = request.members_digest == members.digest();
    let others = members.others(now);
    UpdatesResponse {
        loads,
        holders,
        parts,
        rate_limits,
        requests,
        streams,
        versions: request
            .wants_versions
            .then(|| encode_versions(now, versions))
            .flatten(),
        updates_version: endpoints.version(),
        // A daemon that isn't a reader reports its counts to one, whose subtotal contains them.
        in_flight_subtotal: (request.is_aggregator && members.is_reader(now))
            .then(|| encode_counts(&in_flight.subtotal(now))),
        in_flight_total: request
            .in_flight
            .is_some()
            .then(|| encode_counts(&in_flight.total(now))),
        member: Some(encode_member(members.own(), DurationMs(0))),
        at: store_log.at().map(|at| at.number),
        era: store_log.at().unwrap_or_default().era.0,
        store_age_ms: age_ms(store_age),
        is_snapshot: updates.is_snapshot,
        items: updates
            .items
            .into_iter()
            .map(|item| RelayItem {
                key: item.key,
                revision: item.revision.number,
                value: item.value,
            })
            .collect(),
        members_digest: members.digest(),
        ages: members.ages(now),
        members: match is_list_equal {
            true => Vec::new(),
            false => others
                .map(|(member, age)| encode_member(member, age))
                .collect(),
        },
    }
}

pub(super) fn encode_counts(counts: &Counts) -> InFlightCounts {
    let (endpoints, counts) = counts.iter().map(|(tag, count)| (tag.0, *count)).unzip();
    InFlightCounts { endpoints, counts }
}

pub(super) fn decode_counts(message: &InFlightCounts) -> Counts {
    let tags = message.endpoints.iter().map(|tag| EndpointTag(*tag));
    tags.zip(message.counts.iter().copied()).collect()
}

/// Endpoint updates in the form of messages.
#[derive(Debug, Default)]
pub(super) struct EncodedUpdates {
    /// Loads and failures.
    pub(super) loads: Vec<RelayLoad>,
    /// Holders of prompts.
    pub(super) holders: Vec<RelayHolder>,
    /// Observations of parts of prompts.
    pub(super) parts: Vec<RelayPart>,
    /// Rate limits that endpoints stated.
    pub(super) rate_limits: Vec<RelayRateLimit>,
    /// Observations of requests.
    pub(super) requests: Vec<RelayRequest>,
    /// Streams that began.
    pub(super) streams: Vec<RelayStream>,
}

/// Encodes endpoint updates.
pub(super) fn encode_updates(now: MonotonicMs, updates: Vec<EndpointUpdate>) -> EncodedUpdates {
    let mut encoded = EncodedUpdates::default();
    for EndpointUpdate {
        endpoint,
        observation,
        at,
    } in updates
    {
        let age_ms = age_ms(now - at);
        let load = |held, is_unreachable| RelayLoad {
            endpoint: endpoint.0,
            held,
            age_ms,
            is_unreachable,
            is_leaving: false,
            pace_percent: None,
        };
        let mut push_suspect = |suspect, is_answered| match suspect {
            SuspectTag::Part(part) => encoded.parts.push(RelayPart {
                endpoint: endpoint.0,
                part: part.0,
                age_ms,
                is_answered,
            }),
            SuspectTag::Request(request) => encoded.requests.push(RelayRequest {
                endpoint: endpoint.0,
                request: request.0,
                age_ms,
                is_answered,
            }),
        };
        match observation {
            Observation::Load { held, pace } => encoded.loads.push(RelayLoad {
                pace_percent: pace.map(EndpointPace::percent),
                ..load(held, false)
            }),
            Observation::Unreachable => encoded.loads.push(load(0, true)),
            Observation::Leaving => encoded.loads.push(RelayLoad {
                is_leaving: true,
                ..load(0, true)
            }),
            Observation::RateLimit { rate } => encoded.rate_limits.push(RelayRateLimit {
                endpoint: endpoint.0,
                rate_per_s: rate.map(|rate| rate.0),
                age_ms,
            }),
            Observation::CrashedOn { suspect } => push_suspect(suspect, false),
            Observation::Answered { suspect } => push_suspect(suspect, true),
            Observation::BeganStream { stream } => encoded.streams.push(RelayStream {
                endpoint: endpoint.0,
                stream: stream.0,
                age_ms,
            }),
            Observation::HoldsPrompt { prompt } => encoded.holders.push(RelayHolder {
                endpoint: endpoint.0,
                prompt: prompt.0,
                age_ms,
            }),
        }
    }
    encoded
}

/// The endpoint updates in a message of a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedUpdates<'a> {
    loads: &'a [RelayLoad],
    holders: &'a [RelayHolder],
    parts: &'a [RelayPart],
    rate_limits: &'a [RelayRateLimit],
    requests: &'a [RelayRequest],
    streams: &'a [RelayStream],
}

impl<'a> From<&'a UpdatesRequest> for ReceivedUpdates<'a> {
    fn from(message: &'a UpdatesRequest) -> Self {
        Self {
            loads: &message.loads,
            holders: &message.holders,
            parts: &message.parts,
            rate_limits: &message.rate_limits,
            requests: &message.requests,
            streams: &message.streams,
        }
    }
}

impl<'a> From<&'a UpdatesResponse> for ReceivedUpdates<'a> {
    fn from(message: &'a UpdatesResponse) -> Self {
        Self {
            loads: &message.loads,
            holders: &message.holders,
            parts: &message.parts,
            rate_limits: &message.rate_limits,
            requests: &message.requests,
            streams: &message.streams,
        }
    }
}

/// Decodes the endpoint updates of a peer; logs and skips those that are malformed.
pub(super) fn decode_updates<'a>(
    now: MonotonicMs,
    received: ReceivedUpdates<'a>,
) -> impl Iterator<Item = EndpointUpdate> + 'a {
    let update = move |endpoint, observation, age_ms| EndpointUpdate {
        endpoint: EndpointTag(endpoint),
        observation,
        at: MonotonicMs(now.0.saturating_sub(u64::from(age_ms))),
    };
    let loads = received.loads.iter().map(move |load| {
        let observation = match (load.is_leaving, load.is_unreachable) {
            (true, _) => Observation::Leaving,
            (false, true) => Observation::Unreachable,
            (false, false) => Observation::Load {
                held: load.held,
                pace: load.pace_percent.and_then(EndpointPace::from_percent),
            },
        };
        update(load.endpoint, observation, load.age_ms)
    });
    let holders = received.holders.iter().map(move |holder| {
        let prompt = PromptTag(holder.prompt);
        update(
            holder.endpoint,
            Observation::HoldsPrompt { prompt },
            holder.age_ms,
        )
    });
    let parts = received.parts.iter().map(move |it| {
        let observation = observe_suspect(PromptTag(it.part).into(), it.is_answered);
        update(it.endpoint, observation, it.age_ms)
    });
    let requests = received.requests.iter().map(move |it| {
        let observation = observe_suspect(RequestTag(it.request).into(), it.is_answered);
        update(it.endpoint, observation, it.age_ms)
    });
    let rate_limits = received.rate_limits.iter().filter_map(move |it| {
        let rate = decode_rate(it.rate_per_s)?;
        let observation = Observation::RateLimit { rate };
        Some(update(it.endpoint, observation, it.age_ms))
    });
    let streams = received.streams.iter().map(move |it| {
        let stream = RequestTag(it.stream);
        update(it.endpoint, Observation::BeganStream { stream }, it.age_ms)
    });
    let suspects = parts.chain(requests);
    loads
        .chain(streams)
        .chain(holders)
        .chain(suspects)
        .chain(rate_limits)
}

/// Encodes the software versions that the daemon has observed, if it has.
fn encode_versions(now: MonotonicMs, versions: &ListedVersions) -> Option<RelayVersions> {
    let observed_since = versions.observed_since()?;
    Some(RelayVersions {
        observed_ms: (now - observed_since).0,
        versions: versions
            .iter()
            .map(|(service, listed)| RelayVersion {
                service: service.to_string(),
                version: listed.version.to_string(),
                unlisted_ms: listed.unlisted_at.map(|at| (now - at).0),
            })
            .collect(),
    })
}

/// Decodes the software versions of a peer; `None` if one of them is malformed.
pub(super) fn decode_versions(
    now: MonotonicMs,
    versions: &[RelayVersion],
) -> Option<Vec<(ServiceName, ListedVersion)>> {
    let decode = |it: &RelayVersion| {
        let listed = ListedVersion {
            version: it.version.parse().ok()?,
            unlisted_at: it.unlisted_ms.map(|age_ms| before(now, age_ms)),
        };
        Some((ServiceName::assigned(&it.service).ok()?, listed))
    };
    let decoded: Option<Vec<_>> = versions.iter().map(decode).collect();
    if decoded.is_none() {
        tracing::warn!("a peer sent malformed software versions");
    }
    decoded
}

/// Returns the time that was some milliseconds ago.
pub(super) fn before(now: MonotonicMs, age_ms: u64) -> MonotonicMs {
    MonotonicMs(now.0.saturating_sub(age_ms))
}

fn observe_suspect(suspect: SuspectTag, is_answered: bool) -> Observation {
    match is_answered {
        true => Observation::Answered { suspect },
        false => Observation::CrashedOn { suspect },
    }
}

/// Decodes a stated rate; the outer `None` is a malformed one.
fn decode_rate(rate_per_s: Option<f64>) -> Option<Option<RatePerS>> {
    let is_valid = rate_per_s.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
    if !is_valid {
        tracing::warn!(rate_per_s, "a peer sent a malformed rate limit");
    }
    is_valid.then(|| rate_per_s.map(RatePerS))
}

pub(super) fn encode_member(member: &Member, age: DurationMs) -> RelayMember {
    RelayMember {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.incarnation.0,
        cores_percent: member.cores_percent,
        hop_address: member
            .hop_address
            .map_or_else(String::new, |it| it.to_string()),
        age_ms: age_ms(age),
    }
}

/// Decodes a peer's description of a daemon; logs and skips one that is malformed.
pub(super) fn decode_member(message: &RelayMember) -> Option<(Member, DurationMs)> {
    let decode = || {
        Some(Member {
            name: MemberName::assigned(&message.name).ok()?,
            zone: ZoneName::assigned(&message.zone).ok()?,
            address: message.address.parse().ok()?,
            incarnation: Incarnation(message.incarnation),
            cores_percent: message.cores_percent,
            hop_address: match message.hop_address.as_str() {
                "" => None,
                address => Some(address.parse().ok()?),
            },
        })
    };
    let member = decode();
    if member.is_none() {
        tracing::warn!(
            name = message.name,
            address = message.address,
            "a peer sent a malformed member"
        );
    }
    Some((member?, DurationMs(u64::from(message.age_ms))))
}

fn age_ms(age: DurationMs) -> u32 {
    u32::try_from(age.0).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
