//! Relays updates of the platform's store between daemons by long polls.
//!
//! A request carries the revision of the store that its sender has. The receiver responds as soon
//! as it has a later revision, or when the wait ends. Both sides also exchange their member lists.

use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryknot_platform::client::RESPONSE_SIZE_MAX_BYTES;
use celeryknot_platform::{ByteMeter, MeteredStream};
use eyre::{WrapErr, bail};
use futures_lite::future;
use http::uri::PathAndQuery;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2 as client_http2;
use hyper::server::conn::http2 as server_http2;
use hyper::service::service_fn;
use prost::Message;
use smol::net::TcpStream;
use smol::{Async, LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use tonic::Status;
use tonic::body::Body;
use tonic::server::UnaryService;
use tonic_prost::ProstCodec;

use crate::executor::LocalSpawner;
use crate::service::Http2Channel;

/// The path of the call.
const UPDATES_PATH: PathAndQuery = PathAndQuery::from_static("/celeryknot.peers.v1.Relay/News");

/// Maximum size of a message: whatever a daemon accepts from the store, it can relay.
const MESSAGE_SIZE_MAX_BYTES: usize = RESPONSE_SIZE_MAX_BYTES.0 as usize;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond the requested wait, and between two parts of a response, after which a poll times out.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Longest time of a poll whose response keeps arriving.
const RESPONSE_TIME_MAX: Duration = Duration::from_secs(10);

/// Maximum number of polls queued for the receiver of [`listen`].
const PENDING_CALLS_MAX: usize = 512;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One daemon and the age of its last heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct RelayMember {
    /// The daemon's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The daemon's availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its address for peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Milliseconds since its last heartbeat.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Processor cores available to it, in hundredths.
    #[prost(uint32, tag = "6")]
    pub cores_percent: u32,
    /// Its address for attempts that other daemons can't make themselves; empty if it has none.
    #[prost(string, tag = "7")]
    pub hop_address: String,
}

/// One item of the store, or its removal.
#[derive(Clone, PartialEq, Message)]
pub struct RelayItem {
    /// The item's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The item's value; absent if it was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// The load that an endpoint reported, or that it was unreachable.
#[derive(Clone, PartialEq, Message)]
pub struct RelayLoad {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Requests running and waiting at it.
    #[prost(uint32, tag = "2")]
    pub held: u32,
    /// Milliseconds since the report.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether the endpoint was unreachable; there is no load then.
    #[prost(bool, tag = "4")]
    pub is_unreachable: bool,
    /// Whether the endpoint stated that it is leaving; marked as unreachable as well, for daemons of
    /// earlier versions.
    #[prost(bool, tag = "5")]
    pub is_leaving: bool,
    /// How long work takes there, in per cent of the usual time; absent if it isn't reported, and from
    /// daemons of earlier versions.
    #[prost(uint32, optional, tag = "6")]
    pub pace_percent: Option<u32>,
}

/// An endpoint that holds a cached prompt.
#[derive(Clone, PartialEq, Message)]
pub struct RelayHolder {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Hash of the prompt's shared parts in four bytes.
    #[prost(fixed32, tag = "2")]
    pub prompt: u32,
    /// Milliseconds since the prompt was sent to the endpoint.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// What an endpoint's answer says about a part of its prompt.
#[derive(Clone, PartialEq, Message)]
pub struct RelayPart {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Hash of the part in four bytes.
    #[prost(fixed32, tag = "2")]
    pub part: u32,
    /// Milliseconds since the observation.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether the answer got beyond its beginning; otherwise, the endpoint crashed there.
    #[prost(bool, tag = "4")]
    pub is_answered: bool,
}

/// What an endpoint did under requests that are equal.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRequest {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Hash of the requests in eight bytes.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Milliseconds since the observation.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether it answered one; otherwise, it crashed.
    #[prost(bool, tag = "4")]
    pub is_answered: bool,
}

/// What an endpoint stated about its rate limit.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRateLimit {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Requests per second that it accepts from all daemons; absent if it states no limit.
    #[prost(double, optional, tag = "2")]
    pub rate_per_s: Option<f64>,
    /// Milliseconds since the request was sent that it answered.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A stream whose first event an endpoint wrote.
#[derive(Clone, PartialEq, Message)]
pub struct RelayStream {
    /// Hash of the endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Hash of the stream in eight bytes.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// Milliseconds since the event.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A software version of a service.
#[derive(Clone, PartialEq, Message)]
pub struct RelayVersion {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Milliseconds since its last endpoint was delisted; absent while it has one.
    #[prost(uint64, optional, tag = "3")]
    pub unlisted_ms: Option<u64>,
}

/// The software versions that a daemon has observed.
#[derive(Clone, PartialEq, Message)]
pub struct RelayVersions {
    /// Milliseconds for which it has observed all changes.
    #[prost(uint64, tag = "1")]
    pub observed_ms: u64,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub versions: Vec<RelayVersion>,
}

/// Numbers of requests in flight at endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct InFlightCounts {
    /// Hashes of the endpoints' names in four bytes each.
    #[prost(fixed32, repeated, tag = "1")]
    pub endpoints: Vec<u32>,
    /// The number at each of them.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// A long poll for updates.
#[derive(Clone, PartialEq, Message)]
pub struct UpdatesRequest {
    /// The daemon that polls.
    #[prost(message, optional, tag = "1")]
    pub member: Option<RelayMember>,
    /// The revision of the store that it has; absent if it has none.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
    /// Longest time that the receiver may delay its response.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Digest of the members that it knows.
    #[prost(fixed64, tag = "4")]
    pub members_digest: u64,
    /// Age of each member's last heartbeat in half seconds, in the order of their names.
    #[prost(bytes = "vec", tag = "5")]
    pub ages: Vec<u8>,
    /// Loads received since its last poll of this peer.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<RelayLoad>,
    /// The version of the last endpoint updates received from this peer.
    #[prost(uint64, tag = "7")]
    pub updates_after: u64,
    /// Its own requests in flight, reported to one peer only.
    #[prost(message, optional, tag = "8")]
    pub in_flight: Option<InFlightCounts>,
    /// Whether it aggregates the counts of several daemons.
    #[prost(bool, tag = "9")]
    pub is_aggregator: bool,
    /// Holders of prompts received since its last poll of this peer.
    #[prost(message, repeated, tag = "10")]
    pub holders: Vec<RelayHolder>,
    /// Observations of parts of prompts received since its last poll of this peer.
    #[prost(message, repeated, tag = "11")]
    pub parts: Vec<RelayPart>,
    /// Rate limits stated since its last poll of this peer.
    #[prost(message, repeated, tag = "12")]
    pub rate_limits: Vec<RelayRateLimit>,
    /// Observations of requests received since its last poll of this peer.
    #[prost(message, repeated, tag = "13")]
    pub requests: Vec<RelayRequest>,
    /// The era of the store's revision that it has.
    #[prost(uint64, tag = "14")]
    pub after_era: u64,
    /// Streams that began since its last poll of this peer.
    #[prost(message, repeated, tag = "15")]
    pub streams: Vec<RelayStream>,
    /// Whether it needs the software versions that the receiver has observed.
    #[prost(bool, tag = "16")]
    pub wants_versions: bool,
}

/// The response to a long poll.
#[derive(Clone, PartialEq, Message)]
pub struct UpdatesResponse {
    /// The daemon that responds.
    #[prost(message, optional, tag = "1")]
    pub member: Option<RelayMember>,
    /// The revision of the store that it has; absent if it has none.
    #[prost(uint64, optional, tag = "2")]
    pub at: Option<u64>,
    /// Milliseconds since any daemon last read the store.
    #[prost(uint32, tag = "3")]
    pub store_age_ms: u32,
    /// Whether the items are a complete snapshot of the store, not only changes.
    #[prost(bool, tag = "4")]
    pub is_snapshot: bool,
    /// The items.
    #[prost(message, repeated, tag = "5")]
    pub items: Vec<RelayItem>,
    /// Digest of the members that it knows.
    #[prost(fixed64, tag = "6")]
    pub members_digest: u64,
    /// Age of each member's last heartbeat in half seconds, in the order of their names.
    #[prost(bytes = "vec", tag = "7")]
    pub ages: Vec<u8>,
    /// The members that it knows, if the digests differ.
    #[prost(message, repeated, tag = "8")]
    pub members: Vec<RelayMember>,
    /// Loads received since the polling daemon's version.
    #[prost(message, repeated, tag = "9")]
    pub loads: Vec<RelayLoad>,
    /// The version of its latest endpoint updates.
    #[prost(uint64, tag = "10")]
    pub updates_version: u64,
    /// Sum of the counts reported to this peer; only in responses of aggregating daemons to others.
    #[prost(message, optional, tag = "11")]
    pub in_flight_subtotal: Option<InFlightCounts>,
    /// Sum of the counts of all daemons; only in responses to polls that report their own.
    #[prost(message, optional, tag = "12")]
    pub in_flight_total: Option<InFlightCounts>,
    /// Holders of prompts received since the polling daemon's version.
    #[prost(message, repeated, tag = "13")]
    pub holders: Vec<RelayHolder>,
    /// Observations of parts of prompts received since the polling daemon's version.
    #[prost(message, repeated, tag = "14")]
    pub parts: Vec<RelayPart>,
    /// Rate limits stated since the polling daemon's version.
    #[prost(message, repeated, tag = "15")]
    pub rate_limits: Vec<RelayRateLimit>,
    /// Observations of requests received since the polling daemon's version.
    #[prost(message, repeated, tag = "16")]
    pub requests: Vec<RelayRequest>,
    /// The era of the store's revision that it has, and of all items.
    #[prost(uint64, tag = "17")]
    pub era: u64,
    /// Streams that began since the polling daemon's version.
    #[prost(message, repeated, tag = "18")]
    pub streams: Vec<RelayStream>,
    /// The software versions that it has observed, if the polling daemon wants them.
    #[prost(message, optional, tag = "19")]
    pub versions: Option<RelayVersions>,
}

/// A long poll that waits for its response.
#[derive(Debug)]
pub struct PendingPoll {
    /// The request.
    pub request: UpdatesRequest,
    reply: Sender<UpdatesResponse>,
}

impl PendingPoll {
    /// Sends the response; does nothing if the peer has disconnected.
    pub fn respond(self, reply: UpdatesResponse) {
        drop(self.reply.try_send(reply));
    }

    /// Returns whether the peer has canceled the poll.
    pub fn is_canceled(&self) -> bool {
        self.reply.is_closed()
    }
}

#[derive(Clone)]
struct UpdatesService {
    polls: Sender<PendingPoll>,
}

impl UnaryService<UpdatesRequest> for UpdatesService {
    type Response = UpdatesResponse;
    type Future =
        Pin<Box<dyn Future<Output = Result<tonic::Response<UpdatesResponse>, Status>> + Send>>;

    fn call(&mut self, request: tonic::Request<UpdatesRequest>) -> Self::Future {
        let (reply, response) = async_channel::bounded(1);
        let poll = PendingPoll {
            request: request.into_inner(),
            reply,
        };
        let has_room = self.polls.len() < PENDING_CALLS_MAX;
        let is_accepted = has_room && self.polls.try_send(poll).is_ok();
        Box::pin(async move {
            if !is_accepted {
                return Err(Status::resource_exhausted("too many questions wait"));
            }
            match response.recv().await {
                Ok(reply) => Ok(tonic::Response::new(reply)),
                Err(_) => Err(Status::unavailable("the daemon is ending")),
            }
        })
    }
}

/// Accepts long polls of peers; the returned channel yields each of them.
///
/// # Errors
///
/// The listening socket can't be set up.
pub fn listen(
    executor: &Rc<LocalExecutor<'static>>,
    listener: TcpListener,
) -> eyre::Result<Receiver<PendingPoll>> {
    let listener = smol::net::TcpListener::from(Async::new(listener)?);
    // A bounded channel would allocate all its places in advance.
    let (polls, received) = async_channel::unbounded();
    let spawner = LocalSpawner(Rc::downgrade(executor));
    let accept = async move {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let service = UpdatesService {
                        polls: polls.clone(),
                    };
                    spawner.spawn(serve_connection(spawner.clone(), socket, service));
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a peer connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(accept).detach();
    Ok(received)
}

async fn serve_connection(spawner: LocalSpawner, socket: TcpStream, service: UpdatesService) {
    if let Err(error) = socket.set_nodelay(true) {
        tracing::debug!(%error, "connection from a peer ended");
        return;
    }
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, std::convert::Infallible>(handle_request(service, request).await) }
    });
    let result = server_http2::Builder::new(spawner)
        .serve_connection(FuturesIo::new(socket), handler)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "connection from a peer ended");
    }
}

async fn handle_request(service: UpdatesService, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != UPDATES_PATH.path() {
        return Status::unimplemented("no such call").into_http();
    }
    tonic::server::Grpc::new(ProstCodec::<UpdatesResponse, UpdatesRequest>::default())
        .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES)
        .unary(service, request)
        .await
}

/// Polls one peer for updates on one connection, which is opened on demand.
pub struct UpdatesClient {
    address: SocketAddr,
    spawner: LocalSpawner,
    meter: Arc<ByteMeter>,
    client: Option<tonic::client::Grpc<Http2Channel>>,
}

impl UpdatesClient {
    /// Creates a client of the peer at an address.
    pub fn new(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> Self {
        Self {
            address,
            spawner: LocalSpawner(Rc::downgrade(executor)),
            meter: Arc::default(),
            client: None,
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Polls for updates; times out after the request's wait plus a margin, or later as long as the
    /// response keeps arriving.
    ///
    /// # Errors
    ///
    /// The peer can't be reached or does not respond in time; the connection is closed then.
    pub async fn poll(&mut self, request: UpdatesRequest) -> eyre::Result<UpdatesResponse> {
        let timeout = Duration::from_millis(u64::from(request.wait_ms)) + RESPONSE_MARGIN;
        let result = self.try_poll(request, timeout).await;
        if result.is_err() {
            self.client = None;
        }
        result
    }

    async fn try_poll(
        &mut self,
        request: UpdatesRequest,
        timeout: Duration,
    ) -> eyre::Result<UpdatesResponse> {
        if self.client.is_none() {
            let open = future::or(self.open(), fail_after(CONNECT_TIMEOUT));
            self.client = Some(open.await?);
        }
        let Some(client) = &mut self.client else {
            bail!("the connection is not open");
        };
        let poll = async {
            client.ready().await?;
            let codec = ProstCodec::<UpdatesRequest, UpdatesResponse>::default();
            let reply = client
                .unary(tonic::Request::new(request), UPDATES_PATH, codec)
                .await
                .wrap_err("the poll of the peer failed")?;
            Ok(reply.into_inner())
        };
        future::or(poll, fail_when_silent(Arc::clone(&self.meter), timeout)).await
    }

    async fn open(&self) -> eyre::Result<tonic::client::Grpc<Http2Channel>> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        let (sender, connection) = client_http2::Builder::new(self.spawner.clone())
            .handshake(FuturesIo::new(MeteredStream::new(
                socket,
                Arc::clone(&self.meter),
            )))
            .await?;
        self.spawner.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a peer ended");
            }
        });
        let origin = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()?;
        Ok(
            tonic::client::Grpc::with_origin(Http2Channel(sender), origin)
                .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES),
        )
    }
}

/// Fails when nothing was received for a time, at the latest after [`RESPONSE_TIME_MAX`].
async fn fail_when_silent<T>(meter: Arc<ByteMeter>, timeout: Duration) -> eyre::Result<T> {
    let silence = async {
        let mut received = meter.received();
        Timer::after(timeout).await;
        while meter.received() != received {
            received = meter.received();
            Timer::after(RESPONSE_MARGIN).await;
        }
        fail_after(Duration::ZERO).await
    };
    future::or(silence, fail_after(RESPONSE_TIME_MAX)).await
}

async fn fail_after<T>(timeout: Duration) -> eyre::Result<T> {
    Timer::after(timeout).await;
    bail!("the peer did not respond in time")
}
