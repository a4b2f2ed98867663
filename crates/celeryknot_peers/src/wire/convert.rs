//! Conversions between the protocol's messages and those of the fleet's state machines.

use std::fmt;
use std::sync::Arc;

use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointSummary, EndpointTag, Incarnation, PromptTag,
    RequestTag, Revision, SuspectTag,
};
use celeryknot_fleet::instance_list as fleet_list;
use celeryknot_fleet::message as fleet_message;
use celeryknot_fleet::settings_store::{BUCKET_COUNT, ValueRecord};
use celeryknot_fleet::summaries as fleet_summaries;
use celeryknot_fleet::{self as fleet, FencingMode, ListedInstance, MemberState, Message};

use super::{Body, InstanceBody};

/// An invalid field or type in a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(&'static str);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid peer message: {}", self.0)
    }
}

impl std::error::Error for WireError {}

fn parse<T: std::str::FromStr>(text: &str, field: &'static str) -> Result<T, WireError> {
    text.parse().map_err(|_| WireError(field))
}

fn encode_state(state: MemberState) -> u32 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Draining => 2,
        MemberState::Dead => 3,
    }
}

fn decode_state(number: u32) -> Result<MemberState, WireError> {
    match number {
        0 => Ok(MemberState::Alive),
        1 => Ok(MemberState::Suspect),
        2 => Ok(MemberState::Draining),
        3 => Ok(MemberState::Dead),
        _ => Err(WireError("state")),
    }
}

fn encode_condition(condition: EndpointCondition) -> u32 {
    match condition {
        EndpointCondition::Warm => 0,
        EndpointCondition::Cold => 1,
        EndpointCondition::Ramping => 2,
        EndpointCondition::Unhealthy => 3,
    }
}

fn decode_condition(number: u32) -> Result<EndpointCondition, WireError> {
    match number {
        0 => Ok(EndpointCondition::Warm),
        1 => Ok(EndpointCondition::Cold),
        2 => Ok(EndpointCondition::Ramping),
        3 => Ok(EndpointCondition::Unhealthy),
        _ => Err(WireError("condition")),
    }
}

impl From<&fleet::MemberInfo> for super::MemberInfo {
    fn from(info: &fleet::MemberInfo) -> Self {
        Self {
            name: info.name.to_string(),
            zone: info.zone.to_string(),
            peers_address: info.peers_address.to_string(),
            forwards_address: info.forwards_address.to_string(),
        }
    }
}

impl TryFrom<&super::MemberInfo> for fleet::MemberInfo {
    type Error = WireError;

    fn try_from(info: &super::MemberInfo) -> Result<Self, WireError> {
        Ok(Self {
            name: parse(&info.name, "member name")?,
            zone: parse(&info.zone, "zone")?,
            peers_address: parse(&info.peers_address, "address")?,
            forwards_address: parse(&info.forwards_address, "address")?,
        })
    }
}

fn decode_info(info: Option<&super::MemberInfo>) -> Result<fleet::MemberInfo, WireError> {
    info.ok_or(WireError("member info"))?.try_into()
}

impl From<&fleet_message::MemberUpdate> for super::MemberUpdate {
    fn from(update: &fleet_message::MemberUpdate) -> Self {
        Self {
            info: update.info.as_ref().map(Into::into),
            incarnation: update.incarnation.0,
            sequence: update.sequence,
            state: encode_state(update.state),
            name: update.name.to_string(),
        }
    }
}

impl TryFrom<&super::MemberUpdate> for fleet_message::MemberUpdate {
    type Error = WireError;

    fn try_from(update: &super::MemberUpdate) -> Result<Self, WireError> {
        Ok(Self {
            name: parse(&update.name, "member name")?,
            incarnation: Incarnation(update.incarnation),
            sequence: update.sequence,
            state: decode_state(update.state)?,
            info: update.info.as_ref().map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&fleet_message::Heartbeat> for super::Heartbeat {
    fn from(heartbeat: &fleet_message::Heartbeat) -> Self {
        Self {
            sequence: heartbeat.sequence,
            state: encode_state(heartbeat.state),
            is_ready: heartbeat.is_ready,
            list_revision: heartbeat.list_revision.0,
            values_digest: heartbeat.values_digest,
            members_digest: heartbeat.members_digest,
            info: heartbeat.info.as_ref().map(Into::into),
            settings_age_ms: heartbeat.settings_age.map(|age| age.0),
        }
    }
}

impl TryFrom<&super::Heartbeat> for fleet_message::Heartbeat {
    type Error = WireError;

    fn try_from(heartbeat: &super::Heartbeat) -> Result<Self, WireError> {
        Ok(Self {
            sequence: heartbeat.sequence,
            state: decode_state(heartbeat.state)?,
            is_ready: heartbeat.is_ready,
            list_revision: Revision(heartbeat.list_revision),
            values_digest: heartbeat.values_digest,
            members_digest: heartbeat.members_digest,
            info: heartbeat.info.as_ref().map(TryInto::try_into).transpose()?,
            settings_age: heartbeat.settings_age_ms.map(DurationMs),
        })
    }
}

impl From<&ValueRecord> for super::Value {
    fn from(value: &ValueRecord) -> Self {
        Self {
            path: value.path.to_string(),
            revision: value.revision.0,
            text: value.text.as_ref().map(ToString::to_string),
        }
    }
}

impl TryFrom<&super::Value> for ValueRecord {
    type Error = WireError;

    fn try_from(value: &super::Value) -> Result<Self, WireError> {
        Ok(Self {
            path: parse(&value.path, "path")?,
            revision: Revision(value.revision),
            text: value.text.as_deref().map(Arc::from),
        })
    }
}

impl From<&fleet_list::InstanceKey> for super::InstanceKey {
    fn from(key: &fleet_list::InstanceKey) -> Self {
        Self {
            is_endpoint: key.is_endpoint,
            name: key.name.clone(),
        }
    }
}

impl From<&super::InstanceKey> for fleet_list::InstanceKey {
    fn from(key: &super::InstanceKey) -> Self {
        Self {
            is_endpoint: key.is_endpoint,
            name: key.name.clone(),
        }
    }
}

impl From<&ListedInstance> for super::Instance {
    fn from(instance: &ListedInstance) -> Self {
        let body = match instance {
            ListedInstance::Daemon(daemon) => InstanceBody::Daemon(super::Daemon {
                info: Some((&daemon.info).into()),
                is_draining: daemon.is_draining,
            }),
            ListedInstance::Endpoint(endpoint) => InstanceBody::Endpoint(super::Endpoint {
                name: endpoint.name.to_string(),
                service: endpoint.service.to_string(),
                zone: endpoint.zone.to_string(),
                address: endpoint.address.to_string(),
                is_draining: endpoint.is_draining,
                refuses_old_orders: endpoint.fencing == FencingMode::Refuses,
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<&super::Instance> for ListedInstance {
    type Error = WireError;

    fn try_from(instance: &super::Instance) -> Result<Self, WireError> {
        match instance.body.as_ref().ok_or(WireError("instance"))? {
            InstanceBody::Daemon(daemon) => Ok(Self::Daemon(fleet::ListedDaemon {
                info: decode_info(daemon.info.as_ref())?,
                is_draining: daemon.is_draining,
            })),
            InstanceBody::Endpoint(endpoint) => Ok(Self::Endpoint(fleet::ListedEndpoint {
                name: parse(&endpoint.name, "endpoint name")?,
                service: parse(&endpoint.service, "service")?,
                zone: parse(&endpoint.zone, "zone")?,
                address: parse(&endpoint.address, "address")?,
                is_draining: endpoint.is_draining,
                fencing: if endpoint.refuses_old_orders {
                    FencingMode::Refuses
                } else {
                    FencingMode::Ignores
                },
            })),
        }
    }
}

impl From<&fleet_list::ListChange> for super::ListChange {
    fn from(change: &fleet_list::ListChange) -> Self {
        Self {
            from: change.from.0,
            to: change.to.0,
            upserts: convert_all(&change.upserts),
            removed: convert_all(&change.removed),
        }
    }
}

impl TryFrom<&super::ListChange> for fleet_list::ListChange {
    type Error = WireError;

    fn try_from(change: &super::ListChange) -> Result<Self, WireError> {
        Ok(Self {
            from: Revision(change.from),
            to: Revision(change.to),
            upserts: try_convert_all(&change.upserts)?,
            removed: convert_all(&change.removed),
        })
    }
}

impl From<&fleet_summaries::SummaryBatch> for super::SummaryBatch {
    fn from(batch: &fleet_summaries::SummaryBatch) -> Self {
        Self {
            origin: batch
                .origin
                .as_ref()
                .map(|origin| origin.name.to_string())
                .unwrap_or_default(),
            incarnation: batch
                .origin
                .as_ref()
                .map_or(0, |origin| origin.incarnation.0),
            entries: convert_all(&batch.entries),
        }
    }
}

impl TryFrom<&super::SummaryBatch> for fleet_summaries::SummaryBatch {
    type Error = WireError;

    fn try_from(batch: &super::SummaryBatch) -> Result<Self, WireError> {
        let origin = if batch.origin.is_empty() {
            None
        } else {
            Some(fleet_summaries::Origin {
                name: parse(&batch.origin, "member name")?,
                incarnation: Incarnation(batch.incarnation),
            })
        };
        Ok(Self {
            origin,
            entries: try_convert_all(&batch.entries)?,
        })
    }
}

impl From<&fleet_summaries::SummaryEntry> for super::Summary {
    fn from(entry: &fleet_summaries::SummaryEntry) -> Self {
        Self {
            endpoint: entry.endpoint.0,
            sequence: entry.sequence,
            in_flight: entry.summary.in_flight,
            queued: entry.summary.queued,
            in_flight_max: entry.summary.in_flight_max,
            wait_ms: entry.summary.wait_ms.0,
            condition: encode_condition(entry.summary.condition),
        }
    }
}

impl TryFrom<&super::Summary> for fleet_summaries::SummaryEntry {
    type Error = WireError;

    fn try_from(entry: &super::Summary) -> Result<Self, WireError> {
        Ok(Self {
            endpoint: fleet_summaries::EndpointHash(entry.endpoint),
            sequence: entry.sequence,
            summary: EndpointSummary {
                in_flight: entry.in_flight,
                queued: entry.queued,
                in_flight_max: entry.in_flight_max,
                wait_ms: DurationMs(entry.wait_ms),
                condition: decode_condition(entry.condition)?,
            },
        })
    }
}

impl From<&[fleet_message::SuspectUpdate]> for super::PartUpdates {
    fn from(suspect_updates: &[fleet_message::SuspectUpdate]) -> Self {
        let (mut updates, mut requests) = (Vec::new(), Vec::new());
        for update in suspect_updates {
            let (endpoint, is_answer) = (update.endpoint.0, update.is_answer);
            let age_ms = update.age.0;
            match update.suspect {
                SuspectTag::Part(part) => updates.push(super::PartUpdate {
                    part: part.0,
                    endpoint,
                    is_answer,
                    age_ms,
                }),
                SuspectTag::Request(request) => requests.push(super::RequestUpdate {
                    request: request.0,
                    endpoint,
                    is_answer,
                    age_ms,
                }),
            }
        }
        Self { updates, requests }
    }
}

impl From<&super::PartUpdates> for Vec<fleet_message::SuspectUpdate> {
    fn from(message: &super::PartUpdates) -> Self {
        let parts = message
            .updates
            .iter()
            .map(|update| fleet_message::SuspectUpdate {
                suspect: PromptTag(update.part).into(),
                endpoint: EndpointTag(update.endpoint),
                is_answer: update.is_answer,
                age: DurationMs(update.age_ms),
            });
        let requests = message
            .requests
            .iter()
            .map(|update| fleet_message::SuspectUpdate {
                suspect: RequestTag(update.request).into(),
                endpoint: EndpointTag(update.endpoint),
                is_answer: update.is_answer,
                age: DurationMs(update.age_ms),
            });
        parts.chain(requests).collect()
    }
}

fn convert_all<'a, A, B: From<&'a A>>(items: &'a [A]) -> Vec<B> {
    items.iter().map(Into::into).collect()
}

fn try_convert_all<'a, A, B: TryFrom<&'a A, Error = WireError>>(
    items: &'a [A],
) -> Result<Vec<B>, WireError> {
    items.iter().map(TryInto::try_into).collect()
}

impl From<&Message> for Body {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Message::Members(records) => Self::Members(super::Members {
                records: convert_all(records),
            }),
            Message::Values(page) => Self::Values(super::Values {
                values: convert_all(&page.values),
                is_answer: page.is_answer,
                next_before: page.next_before.map(|revision| revision.0),
            }),
            Message::PullValues(pull) => Self::PullValues(super::PullValues {
                buckets: pull.buckets.to_vec(),
                before: pull.before.map(|revision| revision.0),
            }),
            Message::ListChanges(changes) => Self::ListChanges(super::ListChanges {
                changes: convert_all(changes),
            }),
            Message::ListPage(page) => Self::ListPage(super::ListPage {
                revision: page.revision.0,
                is_first: page.is_first,
                entries: convert_all(&page.entries),
                next_after: page.next_after.as_ref().map(Into::into),
            }),
            Message::PullList(pull) => Self::PullList(super::PullList {
                have: pull.have.0,
                after: pull.after.as_ref().map(Into::into),
            }),
            Message::Summaries(batches) => Self::Summaries(super::Summaries {
                batches: convert_all(batches),
            }),
            Message::Refreshes(batches) => Self::Refreshes(super::Summaries {
                batches: convert_all(batches),
            }),
            Message::SuspectUpdates(updates) => Self::PartUpdates(updates.as_slice().into()),
        }
    }
}

impl TryFrom<&Body> for Message {
    type Error = WireError;

    fn try_from(body: &Body) -> Result<Self, WireError> {
        match body {
            Body::Hello(_) | Body::Welcome(_) | Body::Proof(_) | Body::Ack(_) => {
                Err(WireError("unexpected handshake message"))
            }
            Body::Heartbeat(heartbeat) => Ok(Self::Heartbeat(heartbeat.try_into()?)),
            Body::Members(members) => Ok(Self::Members(try_convert_all(&members.records)?)),
            Body::Values(values) => Ok(Self::Values(fleet_message::ValuePage {
                values: try_convert_all(&values.values)?,
                is_answer: values.is_answer,
                next_before: values.next_before.map(Revision),
            })),
            Body::PullValues(pull) => Ok(Self::PullValues(fleet_message::ValuePull {
                buckets: <[u64; BUCKET_COUNT]>::try_from(pull.buckets.as_slice())
                    .map_err(|_| WireError("buckets"))?,
                before: pull.before.map(Revision),
            })),
            Body::ListChanges(changes) => Ok(Self::ListChanges(try_convert_all(&changes.changes)?)),
            Body::ListPage(page) => Ok(Self::ListPage(fleet_list::ListPage {
                revision: Revision(page.revision),
                is_first: page.is_first,
                entries: try_convert_all(&page.entries)?,
                next_after: page.next_after.as_ref().map(Into::into),
            })),
            Body::PullList(pull) => Ok(Self::PullList(fleet_message::ListPull {
                have: Revision(pull.have),
                after: pull.after.as_ref().map(Into::into),
            })),
            Body::Summaries(summaries) => Ok(Self::Summaries(try_convert_all(&summaries.batches)?)),
            Body::Refreshes(summaries) => Ok(Self::Refreshes(try_convert_all(&summaries.batches)?)),
            Body::PartUpdates(updates) => Ok(Self::SuspectUpdates(updates.into())),
        }
    }
}
