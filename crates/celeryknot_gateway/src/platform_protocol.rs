//! The interface between a gateway and a platform's wire formats.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use bytes::Bytes;
use celeryknot_core::{
    CustomerName, DurationMs, EndpointName, ErrorKind, Refusal, ServiceName, SoftwareVersion,
    TokenCount, ZoneName,
};
use celeryknot_endpoints::{EventId, RateLimitField};
use celeryknot_policy::direct::{Prompt, ReportedLoad};
use celeryknot_policy::routing::Configuration;
use http::{HeaderMap, Response, request, response};

use crate::relay_log::RawItem;

/// Number of the store's contents, which rises each time it is restored from a copy; 0 for a store
/// that doesn't state it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A revision of the platform's store.
///
/// A restored store uses revisions again, so they are ordered by era first.
///
/// # Examples
///
/// ```
/// use celeryknot_gateway::platform_protocol::{StoreEra, StoreRevision};
///
/// let before = StoreRevision { era: StoreEra(1), number: 90 };
/// let after = StoreRevision { era: StoreEra(2), number: 71 };
/// assert!(before < after);
/// assert!(StoreRevision::from(7) < StoreRevision::from(9));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The era in which it was read.
    pub era: StoreEra,
    /// The store's number of the revision.
    pub number: u64,
}

impl From<u64> for StoreRevision {
    /// Returns a revision of a store without eras.
    fn from(number: u64) -> Self {
        StoreEra::default().revision(number)
    }
}

impl StoreEra {
    /// Returns a revision of this era.
    pub const fn revision(self, number: u64) -> StoreRevision {
        StoreRevision { era: self, number }
    }
}

/// An endpoint as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its start time, by its own clock.
    pub started_at_ms: Option<u64>,
    /// Number of the report in its incarnation; increases with each one.
    pub sequence: u64,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Remaining cold start time when the entry was written.
    pub cold_remaining_ms: DurationMs,
}

/// The decoded content of a store item.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord {
    /// A version of the complete configuration.
    Configuration(Box<Configuration>),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// The zone is evacuated: its endpoints get no requests.
    ZoneEvacuated(ZoneName),
    /// The item is invalid, for the given reason.
    Invalid(String),
    /// The item is irrelevant to the gateway.
    Unrelated,
}

/// One page of a listing, or the changes of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// The items.
    pub items: Vec<RawItem>,
    /// Number of further items, which can't be read.
    pub unreadable_items: usize,
    /// Whether the listing continues after the last item.
    pub has_more: bool,
    /// The store's revision.
    pub at: StoreRevision,
}

impl StorePage {
    /// Sets the era of all revisions.
    #[must_use]
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.at.era = era;
        for item in &mut self.items {
            item.revision.era = era;
        }
        self
    }
}

/// A message of the platform that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't decode a message of the platform: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

/// The decoded head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerRequestHead {
    /// The caller's id of this attempt.
    pub request_id: String,
    /// The requested host.
    pub host: String,
    /// The caller's timeout.
    pub deadline_ms: Option<DurationMs>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The prompt's parts, if the request has a prompt.
    pub prompt: Option<Prompt>,
    /// Upper bound on the answer's size, if the caller declares one.
    pub output_tokens_max: Option<TokenCount>,
    /// The stream that the request takes up, if the caller has events of it.
    pub taken_up: Option<TakenUpStream>,
}

/// A stream that broke off, and that a caller takes up after the last event that it has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakenUpStream {
    /// The caller's id of the attempt that brought the first event, if it names one.
    pub first_request_id: Option<String>,
}

/// The router's additions to the head of a request that it sends to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Time left for the response.
    pub deadline_ms: DurationMs,
    /// The intended endpoint.
    pub endpoint: &'a EndpointName,
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerName>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Another endpoint, from which this one may copy the cached part of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The last event that the caller received, when a stream is resumed.
    pub last_event_id: Option<&'a EventId>,
}

/// The time for which an endpoint that refuses a request asks for no further ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PauseField {
    /// It states none.
    #[default]
    Absent,
    /// The time from the response on.
    For(DurationMs),
    /// It states a time that can't be read.
    Malformed,
}

/// The decoded head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the endpoint reports that it is leaving, so that it accepts no further requests.
    pub is_leaving: bool,
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_executed: bool,
    /// Whether the endpoint reports that the request was intended for another endpoint.
    pub is_misdirected: bool,
    /// Whether the response carries the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint's load, if reported.
    pub load: Option<ReportedLoad>,
    /// The endpoint's idle timeout for the connection.
    pub keep_alive_ms: Option<DurationMs>,
    /// What the response states about the endpoint's rate limit.
    pub rate_limit: RateLimitField,
    /// What the response states about the refusals a second that the endpoint survives.
    pub refusal_limit: RateLimitField,
    /// The time for which the endpoint asks this daemon for no further requests.
    pub pause: PauseField,
}

/// Encodes and decodes the messages of a platform, its callers and its endpoints.
///
/// Implementations make no routing decisions.
pub trait PlatformProtocol: Sized + 'static {
    /// Returns the path and query that list the store's items after a key.
    fn list_uri(after: Option<&str>) -> String;

    /// Returns the path and query that wait for changes after a revision.
    fn watch_uri(after: StoreRevision, wait: DurationMs) -> String;

    /// Reads the era of the store from the header fields of its response; 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails if it isn't a number.
    fn read_era(headers: &HeaderMap) -> Result<StoreEra, DecodeError>;

    /// Decodes a page of a listing, whose revisions are of no era.
    ///
    /// # Errors
    ///
    /// Fails if the message itself is malformed.
    fn read_list(body: &[u8]) -> Result<StorePage, DecodeError>;

    /// Decodes the response to a watch.
    ///
    /// # Errors
    ///
    /// See [`Self::read_list`].
    fn read_watch(body: &[u8]) -> Result<StorePage, DecodeError>;

    /// Decodes an item's value; an item that can't be decoded is `Invalid`.
    fn read_item(key: &str, value: &[u8]) -> StoreRecord;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` if a field that the router needs is missing or malformed.
    fn read_call(head: &request::Parts) -> Result<CallerRequestHead, ErrorKind>;

    /// Removes fields that callers must not set, and adds the router's fields.
    fn write_attempt_headers(headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Replaces the time left in the head of a request to an endpoint.
    fn write_deadline(headers: &mut HeaderMap, remaining_ms: DurationMs);

    /// Decodes the head of an endpoint's response.
    fn read_answer(head: &response::Parts) -> AnswerHead;

    /// Removes fields that are intended for the router only.
    fn strip_answer(headers: &mut HeaderMap);

    /// Builds the response to a refused request.
    fn write_refusal(refusal: Refusal, request_id: &str) -> Response<Bytes>;
}
