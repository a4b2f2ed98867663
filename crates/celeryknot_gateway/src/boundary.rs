//! What a gateway asks of the form that a platform speaks.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use celeryknot_core::{
    CustomerName, DurationMs, EndpointName, ErrorKind, Refusal, ServiceName, ZoneName,
};
use celeryknot_policy::direct::{Prompt, ReportedLoad};
use celeryknot_policy::routing::Configuration;
use http::{HeaderMap, Response, request, response};

use crate::relay_log::RawItem;

/// A revision of the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An endpoint as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// When it started, by its own clock.
    pub born_ms: Option<u64>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// How much longer it was cold when the entry was written.
    pub cold_ms: DurationMs,
}

/// What one item of the store means.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord {
    /// A version of the whole configuration.
    Configuration(Box<Configuration>),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// The endpoints of this zone are to get nothing.
    ZoneOut(ZoneName),
    /// The item can't be used, for the reason given.
    Unusable(String),
    /// The item is of no interest.
    Unrelated,
}

/// One page of a listing, or the changes of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// The items.
    pub items: Vec<RawItem>,
    /// Whether the listing goes on behind the last item.
    pub has_more: bool,
    /// The store's revision.
    pub at: StoreRevision,
}

/// A message of the platform that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a message of the platform can't be read: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

/// What is read from the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub request_id: String,
    /// The host that the request names.
    pub host: String,
    /// How long the caller will wait.
    pub deadline_ms: Option<DurationMs>,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// The prompt's parts, where the request has a prompt.
    pub prompt: Option<Prompt>,
}

/// What is said to an endpoint with a request, besides what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct SendHead<'a> {
    /// How long the answer is waited for.
    pub deadline_ms: DurationMs,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointName,
    /// The customer that the request is made for.
    pub customer: Option<&'a CustomerName>,
    /// Rank of the request; 0 goes first.
    pub priority: u8,
    /// Another endpoint, from which this one may copy what it holds of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The last event that the caller has, where a stream is taken up again.
    pub last_event_id: Option<&'a str>,
}

/// What is read from the head of an endpoint's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// The request that is answered.
    pub request_id: Option<String>,
    /// Whether the endpoint said that it did not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint said that the request was meant for another one.
    pub is_misdirected: bool,
    /// Whether the endpoint has put its mark on the answer.
    pub is_signed: bool,
    /// The endpoint's load, where it tells it.
    pub load: Option<ReportedLoad>,
    /// How long the endpoint keeps the connection when it is idle.
    pub keep_alive_ms: Option<DurationMs>,
}

/// The form in which a platform, its callers and its endpoints speak.
///
/// It decodes and encodes, and decides nothing.
pub trait Boundary: Sized + 'static {
    /// Returns the path and query that list the store's items behind a key.
    fn list_uri(after: Option<&str>) -> String;

    /// Returns the path and query that wait for changes after a revision.
    fn watch_uri(after: StoreRevision, wait: DurationMs) -> String;

    /// Reads a page of a listing.
    ///
    /// # Errors
    ///
    /// The message as a whole can't be read.
    fn read_list(body: &[u8]) -> Result<StorePage, DecodeError>;

    /// Reads the answer to a watch.
    ///
    /// # Errors
    ///
    /// As [`Self::read_list`].
    fn read_watch(body: &[u8]) -> Result<StorePage, DecodeError>;

    /// Reads what an item holds; one that can't be read is `Unusable`.
    fn read_item(key: &str, value: &[u8]) -> StoreRecord;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` where a field that the router needs is missing or unreadable.
    fn read_call(head: &request::Parts) -> Result<CallHead, ErrorKind>;

    /// Removes what a caller may not say to an endpoint, and adds what the router says.
    fn write_send(headers: &mut HeaderMap, send: &SendHead<'_>);

    /// Reads the head of an endpoint's answer.
    fn read_answer(head: &response::Parts) -> AnswerHead;

    /// Removes what an endpoint says to the router only.
    fn strip_answer(headers: &mut HeaderMap);

    /// Builds the answer to a refused request.
    fn write_refusal(refusal: Refusal, request_id: &str) -> Response<Bytes>;
}
