//! Messages between daemons.

use celeryknot_core::{DurationMs, Incarnation, MemberName, Revision};

use crate::byte_budget::ControlKind;
use crate::instance_list::{InstanceKey, ListChange, ListPage};
use crate::membership::MemberInfo;
use crate::settings_store::{BUCKET_COUNT, ValueRecord};
use crate::summaries::SummaryBatch;
use crate::view::MemberState;

/// A sign of life, with hashes of what the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sequence of the sender's own record.
    pub sequence: u64,
    /// The sender's own state.
    pub state: MemberState,
    /// Whether the sender has caught up.
    pub is_ready: bool,
    /// The revision of the sender's instance list.
    pub list_revision: Revision,
    /// The hash of the sender's settings.
    pub values_digest: u64,
    /// The hash of the sender's member records.
    pub members_digest: u64,
    /// The time since the platform last confirmed the sender's settings, there or at a peer.
    pub settings_age: Option<DurationMs>,
    /// Where the sender runs; sent at first and now and then.
    pub info: Option<MemberInfo>,
}

/// A statement about a member, without what the receiver's instance list holds as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberNews {
    /// The member.
    pub name: MemberName,
    /// The life of the member.
    pub incarnation: Incarnation,
    /// Raised by the member itself.
    pub sequence: u64,
    /// What is stated.
    pub state: MemberState,
    /// Where the member runs, unless the instance list says the same.
    pub info: Option<MemberInfo>,
}

/// A request for values that the sender may lack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValuePull {
    /// The hash of each part of the sender's settings.
    pub buckets: [u64; BUCKET_COUNT],
    /// Only values of lower revisions are wanted.
    pub before: Option<Revision>,
}

/// Values, newest first where they answer a pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValuePage {
    /// The values.
    pub values: Vec<ValueRecord>,
    /// Whether the page answers a pull.
    pub is_answer: bool,
    /// The revision below which the next page goes on, if there is one.
    pub next_before: Option<Revision>,
}

/// A request for a newer instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPull {
    /// The revision that the sender has.
    pub have: Revision,
    /// The key after which the next page of a whole list is wanted.
    pub after: Option<InstanceKey>,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// News of members.
    Members(Vec<MemberNews>),
    /// Settings.
    Values(ValuePage),
    /// A request for settings.
    PullValues(ValuePull),
    /// Changes of the instance list, in order.
    ListChanges(Vec<ListChange>),
    /// A part of the whole instance list.
    ListPage(ListPage),
    /// A request for the instance list.
    PullList(ListPull),
    /// States of endpoints that have changed.
    Summaries(Vec<SummaryBatch>),
    /// States of endpoints, sent again.
    Refreshes(Vec<SummaryBatch>),
}

/// Bytes that a message takes besides its own, in the stream that carries it.
pub const FRAME_SIZE_BYTES: usize = 20;

impl Message {
    /// Returns the kind under which the message is counted.
    pub fn kind(&self) -> ControlKind {
        match self {
            Self::Heartbeat(_) => ControlKind::Heartbeat,
            Self::Members(_) => ControlKind::Members,
            Self::Values(_) | Self::PullValues(_) => ControlKind::Values,
            Self::ListChanges(_) | Self::ListPage(_) | Self::PullList(_) => ControlKind::Instances,
            Self::Summaries(_) => ControlKind::Summaries,
            Self::Refreshes(_) => ControlKind::Refreshes,
        }
    }

    /// Returns about how many bytes the message takes in a stream.
    pub fn size_bytes(&self) -> usize {
        let content = match self {
            Self::Heartbeat(heartbeat) => 38 + heartbeat.info.as_ref().map_or(0, info_size),
            Self::Members(news) => news.iter().map(member_update_size).sum(),
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
        };
        content + FRAME_SIZE_BYTES
    }
}

fn member_update_size(news: &MemberNews) -> usize {
    news.name.as_str().len() + 17 + news.info.as_ref().map_or(0, info_size)
}

fn info_size(info: &MemberInfo) -> usize {
    info.name.as_str().len() + info.zone.as_str().len() + 52
}
