//! A small HTTP/1.1 server whose shutdown also closes its open connections.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

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
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::executor::spawn;

const BODY_SIZE_MAX_BYTES: usize = 16 << 20;

/// Pause between the attempts to listen again.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Closes the connection without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closed the connection before the response was complete")
    }
}

impl std::error::Error for Aborted {}

/// One chunk of a response body, which is complete only with its last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyChunk {
    Part(Bytes),
    Last(Bytes),
    Aborted,
}

/// A response body: complete, or streamed in chunks.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Complete(Option<Bytes>),
    Chunks(Pin<Box<Receiver<BodyChunk>>>),
}

impl AnswerBody {
    pub(crate) fn chunks(receiver: Receiver<BodyChunk>) -> Self {
        Self::Chunks(Box::pin(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let body = self.get_mut();
        let receiver = match body {
            Self::Complete(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Self::Chunks(receiver) => receiver,
        };
        let chunk = ready!(receiver.as_mut().poll_next(cx)).unwrap_or(BodyChunk::Aborted);
        Poll::Ready(Some(match chunk {
            BodyChunk::Part(bytes) => Ok(Frame::data(bytes)),
            BodyChunk::Last(bytes) => {
                *body = Self::Complete(None);
                Ok(Frame::data(bytes))
            }
            BodyChunk::Aborted => Err(Aborted),
        }))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

pub(crate) type Answer = Response<AnswerBody>;

/// Handles the requests of one server.
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

/// Keeps a server, and starts it again at the same address some time after each crash.
pub(crate) async fn restart_after_crashes<H: Handler>(
    server: Server,
    crash_signal: Receiver<()>,
    restart_delay: Duration,
    on_crash: impl Fn(),
    handler: impl Fn() -> Arc<H>,
) {
    let mut server = server;
    while crash_signal.recv().await.is_ok() {
        let address = server.address();
        server.stop().await;
        on_crash();
        Timer::after(restart_delay).await;
        // A signal during the crash was about the same one.
        while crash_signal.try_recv().is_ok() {}
        server = loop {
            match Server::start(address, handler()) {
                Ok(server) => break server,
                // Another socket may hold the port until it closes.
                Err(_) => Timer::after(LISTEN_RETRY_DELAY).await,
            };
        };
    }
}

impl Server {
    pub(crate) fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let listener = TcpListener::try_from(listener)?;
        let (stop, stop_signal) = async_channel::bounded(1);
        let task = spawn(accept(listener, handler, stop_signal));
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

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, stop_signal: Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let handler = Arc::clone(&handler);
        let stop_signal = stop_signal.clone();
        spawn(async move {
            let stop = async {
                // An error means that the sender was closed or dropped: the server stops.
                let _ = stop_signal.recv().await;
            };
            serve_connection(stream, handler).or(stop).await;
        })
        .detach();
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Serves the connection even if TCP_NODELAY cannot be set.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    // Connection errors are ignored: the stand-ins count requests, not connections.
    let _ = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Complete(None));
    *answer.status_mut() = status;
    answer
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("the stand-ins' types serialize to JSON");
    json_bytes(status, Bytes::from(text))
}

pub(crate) fn json_bytes(status: StatusCode, text: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Complete(Some(text)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    answer
}

/// Reads a complete body of at most [`BODY_SIZE_MAX_BYTES`].
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    match Limited::new(body, BODY_SIZE_MAX_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Reads and parses a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, StatusCode> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Returns a numeric parameter of a query string.
pub(crate) fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Turns an error status into an empty response.
pub(crate) fn into_answer(result: Result<Answer, StatusCode>) -> Result<Answer, Aborted> {
    Ok(result.unwrap_or_else(empty))
}

#[cfg(test)]
mod tests;
