//! Protocol messages, written by hand with `prost`'s derive, so that the build needs no generator.
//!
//! Field numbers are never reused for another meaning. An envelope with a body of a later version
//! decodes to an envelope without a body, which is ignored.

mod convert;

pub use convert::WireError;
use prost::{Message, Oneof};

/// One message on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The incarnation of the sender; 0 stands for the one in the handshake.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Increases by one with each message of the stream.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<Body>,
}

/// The body of an envelope.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Opens a stream.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Accepts a stream.
    #[prost(message, tag = "4")]
    Welcome(Welcome),
    /// Proves that the side that opens the stream holds the key.
    #[prost(message, tag = "5")]
    Proof(Proof),
    /// Acknowledges a heartbeat by its sequence.
    #[prost(uint64, tag = "6")]
    Ack(u64),
    /// A heartbeat.
    #[prost(message, tag = "7")]
    Heartbeat(Heartbeat),
    /// Records of members.
    #[prost(message, tag = "8")]
    Members(Members),
    /// Settings.
    #[prost(message, tag = "9")]
    Values(Values),
    /// A request for settings.
    #[prost(message, tag = "10")]
    PullValues(PullValues),
    /// Changes of the instance list.
    #[prost(message, tag = "11")]
    ListChanges(ListChanges),
    /// A page of the instance list.
    #[prost(message, tag = "12")]
    ListPage(ListPage),
    /// A request for the instance list.
    #[prost(message, tag = "13")]
    PullList(PullList),
    /// Changed states of endpoints.
    #[prost(message, tag = "14")]
    Summaries(Summaries),
    /// States of endpoints, resent periodically.
    #[prost(message, tag = "15")]
    Refreshes(Summaries),
    /// Updates about parts of prompts and requests.
    #[prost(message, tag = "16")]
    PartUpdates(PartUpdates),
}

/// The first message of the side that opens the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The lowest version that the sender supports.
    #[prost(uint32, tag = "1")]
    pub version_min: u32,
    /// The highest version that the sender supports.
    #[prost(uint32, tag = "2")]
    pub version_max: u32,
    /// The sender's name.
    #[prost(string, tag = "3")]
    pub from: String,
    /// The name of the intended receiver.
    #[prost(string, tag = "4")]
    pub to: String,
    /// Random bytes for this stream.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
}

/// The first message of the side that accepts the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// The negotiated version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random bytes for this stream.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The authentication code over the transcript.
    #[prost(bytes = "vec", tag = "3")]
    pub auth_code: Vec<u8>,
}

/// The authentication of the side that opens the stream.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// The authentication code over the transcript.
    #[prost(bytes = "vec", tag = "1")]
    pub auth_code: Vec<u8>,
}

/// A daemon's zone and addresses.
#[derive(Clone, PartialEq, Message)]
pub struct MemberInfo {
    /// The daemon's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The daemon's availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its address for peer streams.
    #[prost(string, tag = "3")]
    pub peers_address: String,
    /// Its address for forwarded requests.
    #[prost(string, tag = "4")]
    pub forwards_address: String,
}

/// A heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sequence of the sender's own record.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The sender's state.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Whether the sender has caught up with the fleet.
    #[prost(bool, tag = "3")]
    pub is_ready: bool,
    /// The revision of the sender's instance list.
    #[prost(uint64, tag = "4")]
    pub list_revision: u64,
    /// The hash of the sender's settings.
    #[prost(fixed64, tag = "5")]
    pub values_digest: u64,
    /// The hash of the sender's member records.
    #[prost(fixed64, tag = "6")]
    pub members_digest: u64,
    /// The sender's zone and addresses.
    #[prost(message, optional, tag = "7")]
    pub info: Option<MemberInfo>,
    /// Milliseconds since the platform last confirmed the sender's settings.
    #[prost(uint64, optional, tag = "8")]
    pub settings_age_ms: Option<u64>,
}

/// A record of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// The member's zone and addresses, unless the instance list has the same.
    #[prost(message, optional, tag = "1")]
    pub info: Option<MemberInfo>,
    /// The member's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence of the record; only the member itself increases it.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The member's state.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// The member's name.
    #[prost(string, tag = "5")]
    pub name: String,
}

/// Records of members.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<MemberUpdate>,
}

/// One setting, or its removal.
#[derive(Clone, PartialEq, Message)]
pub struct Value {
    /// The path of the setting.
    #[prost(string, tag = "1")]
    pub path: String,
    /// The revision at the platform.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The value as text; absent if the setting was removed.
    #[prost(string, optional, tag = "3")]
    pub text: Option<String>,
}

/// A page of settings.
#[derive(Clone, PartialEq, Message)]
pub struct Values {
    /// The settings.
    #[prost(message, repeated, tag = "1")]
    pub values: Vec<Value>,
    /// Whether the message responds to a pull.
    #[prost(bool, tag = "2")]
    pub is_answer: bool,
    /// The revision below which the next page continues.
    #[prost(uint64, optional, tag = "3")]
    pub next_before: Option<u64>,
}

/// A request for settings that the sender may be missing.
#[derive(Clone, PartialEq, Message)]
pub struct PullValues {
    /// The hash of each bucket of the sender's settings.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
    /// Requests only revisions below this one.
    #[prost(uint64, optional, tag = "2")]
    pub before: Option<u64>,
}

/// The key of an entry of the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceKey {
    /// Whether the entry is an endpoint.
    #[prost(bool, tag = "1")]
    pub is_endpoint: bool,
    /// The entry's name.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// A daemon in the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct Daemon {
    /// The daemon's zone and addresses.
    #[prost(message, optional, tag = "1")]
    pub info: Option<MemberInfo>,
    /// Whether it is draining before the platform removes it.
    #[prost(bool, tag = "2")]
    pub is_draining: bool,
}

/// An endpoint in the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    /// The endpoint's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The endpoint's availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Its address for requests.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Whether it is draining before the platform removes it.
    #[prost(bool, tag = "5")]
    pub is_draining: bool,
    /// Whether it refuses orders with an old fencing token.
    #[prost(bool, tag = "6")]
    pub refuses_old_orders: bool,
}

/// An entry of the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct Instance {
    /// The entry.
    #[prost(oneof = "InstanceBody", tags = "1, 2")]
    pub body: Option<InstanceBody>,
}

/// The body of an entry, by kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum InstanceBody {
    /// A daemon.
    #[prost(message, tag = "1")]
    Daemon(Daemon),
    /// An endpoint.
    #[prost(message, tag = "2")]
    Endpoint(Endpoint),
}

/// The differences between two revisions of the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct ListChange {
    /// The revision that the change applies to.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The revision that results.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Entries added or changed.
    #[prost(message, repeated, tag = "3")]
    pub upserts: Vec<Instance>,
    /// Entries removed.
    #[prost(message, repeated, tag = "4")]
    pub removed: Vec<InstanceKey>,
}

/// Changes of the instance list, in order.
#[derive(Clone, PartialEq, Message)]
pub struct ListChanges {
    /// The changes.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<ListChange>,
}

/// A page of the complete instance list.
#[derive(Clone, PartialEq, Message)]
pub struct ListPage {
    /// The revision of the list.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether this is the first page.
    #[prost(bool, tag = "2")]
    pub is_first: bool,
    /// The entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Instance>,
    /// The key after which the next page starts.
    #[prost(message, optional, tag = "4")]
    pub next_after: Option<InstanceKey>,
}

/// A request for the instance list.
#[derive(Clone, PartialEq, Message)]
pub struct PullList {
    /// The revision that the sender has.
    #[prost(uint64, tag = "1")]
    pub have: u64,
    /// The key after which the requested page starts.
    #[prost(message, optional, tag = "2")]
    pub after: Option<InstanceKey>,
}

/// The state of one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// The hash of the endpoint's name.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Increases with every summary of the owner.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Requests in flight.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Requests queued.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// The concurrency limit.
    #[prost(uint32, tag = "5")]
    pub in_flight_max: u32,
    /// Expected wait in milliseconds.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// The endpoint's condition.
    #[prost(uint32, tag = "7")]
    pub condition: u32,
}

/// Summaries of one owner.
#[derive(Clone, PartialEq, Message)]
pub struct SummaryBatch {
    /// The owner, unless it is the sender.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The owner's incarnation, unless it is the sender's.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The summaries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Summary>,
}

/// Summaries of several owners.
#[derive(Clone, PartialEq, Message)]
pub struct Summaries {
    /// The batches.
    #[prost(message, repeated, tag = "1")]
    pub batches: Vec<SummaryBatch>,
}

/// An update about a part of prompts.
#[derive(Clone, PartialEq, Message)]
pub struct PartUpdate {
    /// The tag of the part.
    #[prost(fixed32, tag = "1")]
    pub part: u32,
    /// The tag of the endpoint.
    #[prost(fixed32, tag = "2")]
    pub endpoint: u32,
    /// Whether the endpoint answered the part; otherwise it crashed on it.
    #[prost(bool, tag = "3")]
    pub is_answer: bool,
    /// Milliseconds since then.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// An update about requests that are equal.
#[derive(Clone, PartialEq, Message)]
pub struct RequestUpdate {
    /// The tag of the requests.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The tag of the endpoint.
    #[prost(fixed32, tag = "2")]
    pub endpoint: u32,
    /// Whether the endpoint answered the request; otherwise it crashed on it.
    #[prost(bool, tag = "3")]
    pub is_answer: bool,
    /// Milliseconds since then.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Updates about parts of prompts and requests, the latest first.
#[derive(Clone, PartialEq, Message)]
pub struct PartUpdates {
    /// The updates about parts.
    #[prost(message, repeated, tag = "1")]
    pub updates: Vec<PartUpdate>,
    /// The updates about requests.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<RequestUpdate>,
}
