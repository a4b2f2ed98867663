//! A small HTTP/1.1 client with a pool of idle connections, for callers, engines and tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use futures_lite::FutureExt;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::executor::spawn;

type Sender = SendRequest<Full<Bytes>>;

/// Limits the idle connections in the pool for each address.
const IDLE_PER_ADDRESS_MAX: usize = 256;

/// An HTTP/1.1 client.
///
/// [`Client::release`] returns a connection to the pool once its response is read.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

/// A response whose body has not been read yet, and its connection.
#[derive(Debug)]
pub struct UnreadAnswer {
    /// The response.
    pub answer: Response<Incoming>,
    address: SocketAddr,
    sender: Sender,
}

impl Client {
    /// Sends a request and returns once the response head has arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> eyre::Result<UnreadAnswer> {
        let host = HeaderValue::try_from(address.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let answer = sender
            .send_request(request)
            .await
            .wrap_err("no answer on the connection")?;
        Ok(UnreadAnswer {
            answer,
            address,
            sender,
        })
    }

    /// Returns a connection to the pool once its response is read.
    pub fn release(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the pool");
        let senders = idle.entry(address).or_default();
        if senders.len() < IDLE_PER_ADDRESS_MAX {
            senders.push(sender);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the pool");
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

impl UnreadAnswer {
    /// Splits the response from its connection.
    pub fn into_parts(self) -> (Response<Incoming>, SocketAddr, SendRequest<Full<Bytes>>) {
        (self.answer, self.address, self.sender)
    }
}

async fn connect(address: SocketAddr) -> eyre::Result<Sender> {
    let stream = TcpStream::connect(address)
        .await
        .wrap_err_with(|| format!("cannot connect to {address}"))?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    spawn(async move {
        // A connection error also fails the pending request.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends a request on a new connection and returns the status and the body.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    timeout: Duration,
) -> eyre::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body.into()))?;
    let exchange = async {
        let unread = Client::default().send(address, request).await?;
        let (answer, _, _sender) = unread.into_parts();
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        Ok((status, body))
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(eyre!("{address} did not respond within {timeout:?}"))
    };
    exchange.or(timed_out).await
}

/// Fetches a JSON value.
pub async fn fetch_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> eyre::Result<T> {
    let (status, body) = call(address, Method::GET, path, Bytes::new(), timeout).await?;
    if !status.is_success() {
        return Err(eyre!("{address}{path} responded with status {status}"));
    }
    Ok(serde_json::from_slice(&body)?)
}
