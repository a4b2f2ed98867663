//! A small HTTP/1.1 server that can be stopped together with its connections.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use eyre::WrapErr;
use futures_lite::{FutureExt, Stream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::executor::spawn;

const BODY_SIZE_MAX_BYTES: usize = 16 << 20;

/// The connection is to be closed without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("aborted by the stand-in")
    }
}

impl std::error::Error for Aborted {}

/// One piece of an answer body.
pub(crate) type Part = Result<Bytes, Aborted>;

/// An answer body: whole, or in parts as they come.
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Parts(Pin<Box<Receiver<Part>>>),
}

impl AnswerBody {
    pub(crate) fn parts(receiver: Receiver<Part>) -> Self {
        Self::Parts(Box::pin(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(receiver) => receiver
                .as_mut()
                .poll_next(cx)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

pub(crate) type Answer = Response<AnswerBody>;

/// Answers the requests of one server.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Answer, Aborted>> + Send;
}

/// A running server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: Sender<()>,
    task: smol::Task<()>,
}

impl Server {
    pub(crate) fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let listener = TcpListener::try_from(listener)?;
        let (stop, stopped) = async_channel::bounded(1);
        let task = spawn(accept(listener, handler, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection, and waits for the listener to be closed.
    pub(crate) async fn stop(self) {
        self.stop.close();
        self.task.cancel().await;
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, stopped: Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let handler = Arc::clone(&handler);
        let stopped = stopped.clone();
        spawn(async move {
            let stop = async {
                // An error here means that the server's handle is gone.
                let _ = stopped.recv().await;
            };
            serve_connection(stream, handler).or(stop).await;
        })
        .detach();
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // A connection that can't be tuned is served all the same.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    // How a connection ends is the peer's business; the stand-ins count requests.
    let _ = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(None));
    *answer.status_mut() = status;
    answer
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("the stand-ins' types have a JSON form");
    json_bytes(status, Bytes::from(text))
}

pub(crate) fn json_bytes(status: StatusCode, text: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Some(text)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    answer
}

/// Reads a whole body within the size limit.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    match Limited::new(body, BODY_SIZE_MAX_BYTES).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, StatusCode> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Returns one number of a query string.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Turns a refused request into its answer.
pub(crate) fn answer_or_status(result: Result<Answer, StatusCode>) -> Result<Answer, Aborted> {
    Ok(result.unwrap_or_else(empty))
}
