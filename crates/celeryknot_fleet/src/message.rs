//! Messages between daemons.

use celeryknot_core::{DurationMs, EndpointTag, Incarnation, MemberName, Revision, SuspectTag};

use crate::byte_budget::ControlKind;
use crate::instance_list::{InstanceKey, ListChange, ListPage};
use crate::membership::MemberInfo;
use crate::settings_store::{BUCKET_COUNT, ValueRecord};
use crate::summaries::SummaryBatch;
use crate::view::MemberState;

/// A heartbeat with digests of the sender's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sequence of the sender's own record.
    pub sequence: u64,
    /// The sender's own state.
    pub state: MemberState,
    /// Whether the sender is ready.
    pub is_ready: bool,
    /// The revision of the sender's instance list.
    pub list_revision: Revision,
    /// The digest of the sender's settings.
    pub values_digest: u64,
    /// The digest of the sender's member records.
    pub members_digest: u64,
    /// The time since the platform last confirmed the sender's settings, there or at a peer.
    pub settings_age: Option<DurationMs>,
    /// The sender's zone and addresses; sent in the first heartbeat and periodically after it.
    pub info: Option<MemberInfo>,
}

/// A member's state, without the data that the instance list holds as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member.
    pub name: MemberName,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Incremented only by the member itself.
    pub sequence: u64,
    /// The member's state.
    pub state: MemberState,
    /// The member's zone and addresses, or `None` if they equal those in the instance list.
    pub info: Option<MemberInfo>,
}

/// A request for values that the sender may be missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValuePull {
    /// The digest of each bucket of the sender's settings.
    pub buckets: [u64; BUCKET_COUNT],
    /// Restricts the response to values with lower revisions.
    pub before: Option<Revision>,
}

/// A page of values, newest first in a response to a pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValuePage {
    /// The values.
    pub values: Vec<ValueRecord>,
    /// Whether the page is a response to a pull.
    pub is_answer: bool,
    /// The revision below which the next page continues, or `None` on the last page.
    pub next_before: Option<Revision>,
}

/// A request for a newer instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPull {
    /// The revision of the sender's list.
    pub have: Revision,
    /// The key after which the requested page of a complete list starts.
    pub after: Option<InstanceKey>,
}

/// An update about a part of prompts, or about equal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// The part or the request.
    pub suspect: SuspectTag,
    /// The endpoint that crashed on it, or answered it.
    pub endpoint: EndpointTag,
    /// Whether the endpoint answered; otherwise it crashed.
    pub is_answer: bool,
    /// The time since then.
    pub age: DurationMs,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Updates of members' states.
    Members(Vec<MemberUpdate>),
    /// Settings.
    Values(ValuePage),
    /// A request for settings.
    PullValues(ValuePull),
    /// Changes of the instance list, in revision order.
    ListChanges(Vec<ListChange>),
    /// A page of the complete instance list.
    ListPage(ListPage),
    /// A request for the instance list.
    PullList(ListPull),
    /// Changed summaries of endpoints.
    Summaries(Vec<SummaryBatch>),
    /// Unchanged summaries of endpoints, sent again.
    Refreshes(Vec<SummaryBatch>),
    /// Updates about parts of prompts and about requests.
    SuspectUpdates(Vec<SuspectUpdate>),
}

/// Framing overhead of a message in its stream.
pub const FRAME_SIZE_BYTES: usize = 20;

/// Approximate size of an update about a part of prompts or a request.
const SUSPECT_UPDATE_SIZE_BYTES: usize = 22;

impl Message {
    /// Returns the kind of traffic that the message is counted as.
    pub fn kind(&self) -> ControlKind {
        match self {
            Self::Heartbeat(_) => ControlKind::Heartbeat,
            Self::Members(_) => ControlKind::Members,
            Self::Values(_) | Self::PullValues(_) => ControlKind::Values,
            Self::ListChanges(_) | Self::ListPage(_) | Self::PullList(_) => ControlKind::Instances,
            Self::Summaries(_) => ControlKind::Summaries,
            Self::Refreshes(_) => ControlKind::Refreshes,
            Self::SuspectUpdates(_) => ControlKind::SuspectUpdates,
        }
    }

    /// Returns the approximate size of the message in a stream, including framing.
    pub fn size_bytes(&self) -> usize {
        let content = match self {
            Self::Heartbeat(heartbeat) => 38 + heartbeat.info.as_ref().map_or(0, info_size),
            Self::Members(updates) => updates.iter().map(member_update_size).sum(),
            Self::Values(page) => {
                8 + page
                    .values
                    .iter()
                    .map(ValueRecord::size_bytes)
                    .sum::<usize>()
            }
            Self::PullValues(_) => BUCKET_COUNT * 8 + 12,
            Self::ListChanges(changes) => changes.iter().map(ListChange::size_bytes).sum(),
            Self::ListPage(page) => {
                let entries = page.entries.iter().map(|entry| entry.size_bytes());
                40 + entries.sum::<usize>()
            }
            Self::PullList(_) => 40,
            Self::Summaries(batches) | Self::Refreshes(batches) => {
                batches.iter().map(SummaryBatch::size_bytes).sum()
            }
            Self::SuspectUpdates(updates) => updates.len() * SUSPECT_UPDATE_SIZE_BYTES,
        };
        content + FRAME_SIZE_BYTES
    }
}

fn member_update_size(update: &MemberUpdate) -> usize {
    update.name.as_str().len() + 17 + update.info.as_ref().map_or(0, info_size)
}

fn info_size(info: &MemberInfo) -> usize {
    info.name.as_str().len() + info.zone.as_str().len() + 52
}
