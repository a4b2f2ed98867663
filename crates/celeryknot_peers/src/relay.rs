//! Passing on what the platform's store says: a call by which a daemon asks another one for news.
//!
//! The caller names the revision up to which it knows the store, and is answered as soon as the
//! other one knows more, or after a wait. Both tell each other which daemons they know.

use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
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
const NEWS_PATH: PathAndQuery = PathAndQuery::from_static("/celeryknot.peers.v1.Relay/News");

/// Largest message that is read: the store's largest value, and as much for all else.
const MESSAGE_SIZE_MAX_BYTES: usize = 3 << 20;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond the wait asked for after which a silent peer is given up.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Calls that wait to be taken up.
const CALLS_LEN_MAX: usize = 512;

/// Wait after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// One daemon, and how long ago it was heard.
#[derive(Clone, PartialEq, Message)]
pub struct RelayMember {
    /// The daemon's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The daemon's availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Where its peers reach it.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its life.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Milliseconds since it was heard.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Processor cores that it may use, in hundredths.
    #[prost(uint32, tag = "6")]
    pub cores_percent: u32,
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
    /// What it holds; absent if it was removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// What an endpoint said of its load.
#[derive(Clone, PartialEq, Message)]
pub struct RelayLoad {
    /// The endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// Requests that it held.
    #[prost(uint32, tag = "2")]
    pub held: u32,
    /// Milliseconds since it said so.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether it could not be reached instead.
    #[prost(bool, tag = "4")]
    pub is_unreachable: bool,
}

/// Which endpoint a prompt was sent to.
#[derive(Clone, PartialEq, Message)]
pub struct RelayHolder {
    /// The endpoint's name in four bytes.
    #[prost(fixed32, tag = "1")]
    pub endpoint: u32,
    /// The prompt's shared parts in four bytes.
    #[prost(fixed32, tag = "2")]
    pub prompt: u32,
    /// Milliseconds since it was sent.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// How many requests daemons have in flight at endpoints.
#[derive(Clone, PartialEq, Message)]
pub struct InFlightCounts {
    /// The endpoints' names, in four bytes each.
    #[prost(fixed32, repeated, tag = "1")]
    pub endpoints: Vec<u32>,
    /// The count at each of them.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// A question for news.
#[derive(Clone, PartialEq, Message)]
pub struct NewsRequest {
    /// The daemon that asks.
    #[prost(message, optional, tag = "1")]
    pub member: Option<RelayMember>,
    /// The revision up to which it knows the store; absent if it knows nothing.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
    /// How long it will wait.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Sum over the daemons that it knows.
    #[prost(fixed64, tag = "4")]
    pub members_digest: u64,
    /// Age of each of them, in the order of their names, in half seconds.
    #[prost(bytes = "vec", tag = "5")]
    pub ages: Vec<u8>,
    /// Loads that it has heard of since it asked this peer last.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<RelayLoad>,
    /// The number of the last news of endpoints that this peer has told it.
    #[prost(uint64, tag = "7")]
    pub news_after: u64,
    /// What it has in flight itself, told to one peer only.
    #[prost(message, optional, tag = "8")]
    pub in_flight: Option<InFlightCounts>,
    /// Whether it adds up the counts of several daemons itself.
    #[prost(bool, tag = "9")]
    pub adds_up: bool,
    /// Holders of prompts that it has heard of since it asked this peer last.
    #[prost(message, repeated, tag = "10")]
    pub holders: Vec<RelayHolder>,
}

/// The answer to a question for news.
#[derive(Clone, PartialEq, Message)]
pub struct NewsReply {
    /// The daemon that answers.
    #[prost(message, optional, tag = "1")]
    pub member: Option<RelayMember>,
    /// The revision up to which it knows the store; absent if it knows nothing.
    #[prost(uint64, optional, tag = "2")]
    pub at: Option<u64>,
    /// Milliseconds since the store was last read, by whomever.
    #[prost(uint32, tag = "3")]
    pub store_age_ms: u32,
    /// Whether the items are the whole store and not changes only.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// The items.
    #[prost(message, repeated, tag = "5")]
    pub items: Vec<RelayItem>,
    /// Sum over the daemons that it knows.
    #[prost(fixed64, tag = "6")]
    pub members_digest: u64,
    /// Age of each of them, in the order of their names, in half seconds.
    #[prost(bytes = "vec", tag = "7")]
    pub ages: Vec<u8>,
    /// The daemons that it knows, where the sums differ.
    #[prost(message, repeated, tag = "8")]
    pub members: Vec<RelayMember>,
    /// Loads that it has heard of since.
    #[prost(message, repeated, tag = "9")]
    pub loads: Vec<RelayLoad>,
    /// The number of the last news of endpoints that it has.
    #[prost(uint64, tag = "10")]
    pub news_at: u64,
    /// What the daemons that tell this peer have in flight together; to one that adds up.
    #[prost(message, optional, tag = "11")]
    pub in_flight_here: Option<InFlightCounts>,
    /// What all daemons have in flight together; to one that has told its own.
    #[prost(message, optional, tag = "12")]
    pub in_flight_total: Option<InFlightCounts>,
    /// Holders of prompts that it has heard of since.
    #[prost(message, repeated, tag = "13")]
    pub holders: Vec<RelayHolder>,
}

/// A question that a peer waits with.
#[derive(Debug)]
pub struct NewsCall {
    /// The question.
    pub request: NewsRequest,
    reply: Sender<NewsReply>,
}

impl NewsCall {
    /// Answers the question; a peer that is gone needs no answer.
    pub fn answer(self, reply: NewsReply) {
        drop(self.reply.try_send(reply));
    }

    /// Tells whether the peer has given the question up.
    pub fn is_given_up(&self) -> bool {
        self.reply.is_closed()
    }
}

#[derive(Clone)]
struct NewsService {
    calls: Sender<NewsCall>,
}

impl UnaryService<NewsRequest> for NewsService {
    type Response = NewsReply;
    type Future = Pin<Box<dyn Future<Output = Result<tonic::Response<NewsReply>, Status>> + Send>>;

    fn call(&mut self, request: tonic::Request<NewsRequest>) -> Self::Future {
        let (reply, answer) = async_channel::bounded(1);
        let call = NewsCall {
            request: request.into_inner(),
            reply,
        };
        let accepted = self.calls.try_send(call);
        Box::pin(async move {
            accepted.map_err(|_| Status::resource_exhausted("too many questions wait"))?;
            match answer.recv().await {
                Ok(reply) => Ok(tonic::Response::new(reply)),
                Err(_) => Err(Status::unavailable("the daemon is ending")),
            }
        })
    }
}

/// Accepts questions of peers; each comes out of the returned channel and waits for its answer.
///
/// # Errors
///
/// The listener can't be used.
pub fn listen(
    executor: &Rc<LocalExecutor<'static>>,
    listener: TcpListener,
) -> eyre::Result<Receiver<NewsCall>> {
    let listener = smol::net::TcpListener::from(Async::new(listener)?);
    let (calls, received) = async_channel::bounded(CALLS_LEN_MAX);
    let spawner = LocalSpawner(Rc::downgrade(executor));
    let accept = async move {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let service = NewsService {
                        calls: calls.clone(),
                    };
                    spawner.spawn(serve_connection(spawner.clone(), socket, service));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a peer failed");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    executor.spawn(accept).detach();
    Ok(received)
}

async fn serve_connection(spawner: LocalSpawner, socket: TcpStream, service: NewsService) {
    if let Err(error) = socket.set_nodelay(true) {
        tracing::debug!(%error, "connection from a peer ended");
        return;
    }
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(service, request).await) }
    });
    let result = server_http2::Builder::new(spawner)
        .serve_connection(FuturesIo::new(socket), handler)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "connection from a peer ended");
    }
}

async fn answer(service: NewsService, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != NEWS_PATH.path() {
        return Status::unimplemented("no such call").into_http();
    }
    tonic::server::Grpc::new(ProstCodec::<NewsReply, NewsRequest>::default())
        .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES)
        .unary(service, request)
        .await
}

/// Asks one peer for news, on one connection that is opened when it is needed.
pub struct NewsClient {
    address: SocketAddr,
    spawner: LocalSpawner,
    client: Option<tonic::client::Grpc<Http2Channel>>,
}

impl NewsClient {
    /// Builds a client of the peer at an address.
    pub fn new(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> Self {
        Self {
            address,
            spawner: LocalSpawner(Rc::downgrade(executor)),
            client: None,
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for news, and waits no longer than the question says and a margin.
    ///
    /// # Errors
    ///
    /// The peer can't be reached or does not answer in time; the connection is closed then.
    pub async fn ask(&mut self, request: NewsRequest) -> eyre::Result<NewsReply> {
        let limit = Duration::from_millis(u64::from(request.wait_ms)) + ANSWER_MARGIN;
        let result = self.try_ask(request, limit).await;
        if result.is_err() {
            self.client = None;
        }
        result
    }

    async fn try_ask(&mut self, request: NewsRequest, limit: Duration) -> eyre::Result<NewsReply> {
        if self.client.is_none() {
            let open = future::or(self.open(), expire(CONNECT_TIMEOUT));
            self.client = Some(open.await?);
        }
        let Some(client) = &mut self.client else {
            bail!("the connection was just opened");
        };
        let ask = async {
            client.ready().await?;
            let codec = ProstCodec::<NewsRequest, NewsReply>::default();
            let reply = client
                .unary(tonic::Request::new(request), NEWS_PATH, codec)
                .await
                .wrap_err("the peer did not answer")?;
            Ok(reply.into_inner())
        };
        future::or(ask, expire(limit)).await
    }

    async fn open(&self) -> eyre::Result<tonic::client::Grpc<Http2Channel>> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        let (sender, connection) = client_http2::Builder::new(self.spawner.clone())
            .handshake(FuturesIo::new(socket))
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

async fn expire<T>(limit: Duration) -> eyre::Result<T> {
    Timer::after(limit).await;
    bail!("the peer did not answer in time")
}
