//! A client of one of the platform's replicas at a time.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::{DurationMs, Revision, SizeBytes};
use futures_lite::future;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::meter::{ByteMeter, MeteredStream};
use crate::wire::{InstanceList, ValueList};

/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time beyond the wait asked for after which a silent connection is given up.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(1_000);
/// Largest answer that is read.
pub const ANSWER_SIZE_MAX_BYTES: SizeBytes = SizeBytes(64 << 20);

/// Why the platform gave no usable answer.
#[derive(Debug)]
pub enum PlatformError {
    /// No address of the platform is known.
    NoAddress,
    /// No connection could be opened.
    Connect(std::io::Error),
    /// Nothing came in time.
    Timeout,
    /// The connection failed.
    Connection(hyper::Error),
    /// The replica answered with another status than 200.
    Status(StatusCode),
    /// The answer could not be read.
    Body(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("no address of the platform is known"),
            Self::Connect(error) => write!(f, "no connection to the platform: {error}"),
            Self::Timeout => f.write_str("the platform did not answer in time"),
            Self::Connection(error) => write!(f, "the connection to the platform failed: {error}"),
            Self::Status(status) => write!(f, "the platform answered {status}"),
            Self::Body(reason) => write!(f, "the platform's answer can't be read: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}

type Stream = FuturesIo<MeteredStream<TcpStream>>;

struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: http1::Connection<Stream, Empty<Bytes>>,
}

/// Reads and watches one of several replicas, and moves on when told to or after a failure.
///
/// A client does one request at a time on one connection; use one client for each watch.
pub struct PlatformClient {
    addresses: Vec<SocketAddr>,
    current: usize,
    connection: Option<Connection>,
    meter: Arc<ByteMeter>,
    calls: u64,
}

impl PlatformClient {
    /// Builds a client that starts with the replica numbered `first`, modulo their number.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use celeryknot_platform::PlatformClient;
    ///
    /// let addresses = vec!["127.0.0.1:7100".parse()?, "127.0.0.1:7101".parse()?];
    /// let client = PlatformClient::new(addresses, 3, Arc::default());
    /// assert_eq!(client.address(), Some("127.0.0.1:7101".parse()?));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(addresses: Vec<SocketAddr>, first: usize, meter: Arc<ByteMeter>) -> Self {
        let current = first.checked_rem(addresses.len()).unwrap_or(0);
        Self {
            addresses,
            current,
            connection: None,
            meter,
            calls: 0,
        }
    }

    /// Returns the replica that the next request goes to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.addresses.get(self.current).copied()
    }

    /// Returns how many requests were made.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Moves on to the next replica.
    pub fn rotate(&mut self) {
        if self.addresses.len() > 1 {
            self.current = (self.current + 1) % self.addresses.len();
            self.connection = None;
        }
    }

    /// Moves to the replica with the given number, modulo their number.
    pub fn select(&mut self, index: usize) {
        let index = index.checked_rem(self.addresses.len()).unwrap_or(0);
        if index != self.current {
            self.current = index;
            self.connection = None;
        }
    }

    /// Reads the values above a revision, or all; waits up to `wait` for the first one.
    pub async fn values(
        &mut self,
        after: Option<Revision>,
        wait: DurationMs,
    ) -> Result<ValueList, PlatformError> {
        self.get("/v1/values", after, wait).await
    }

    /// Reads the whole instance list, or waits up to `wait` for one above a revision.
    pub async fn instances(
        &mut self,
        after: Option<Revision>,
        wait: DurationMs,
    ) -> Result<InstanceList, PlatformError> {
        self.get("/v1/instances", after, wait).await
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        path: &str,
        after: Option<Revision>,
        wait: DurationMs,
    ) -> Result<T, PlatformError> {
        let uri = match after {
            Some(revision) => format!("{path}?after={revision}&wait_ms={}", wait.0),
            None => path.to_owned(),
        };
        let body = self.fetch(&uri, wait.as_std() + ANSWER_MARGIN).await?;
        serde_json::from_slice(&body).map_err(|error| {
            self.give_up_replica();
            PlatformError::Body(error.to_string())
        })
    }

    /// Reads one resource within a time; a failure closes the connection and moves on.
    ///
    /// # Errors
    ///
    /// Any status but 200 is an error, and so is silence.
    pub async fn fetch(&mut self, uri: &str, limit: Duration) -> Result<Bytes, PlatformError> {
        let result = future::or(self.exchange(uri), expire(limit)).await;
        if result.is_err() {
            self.give_up_replica();
        }
        result
    }

    /// Closes the connection and moves on to the next replica.
    fn give_up_replica(&mut self) {
        self.connection = None;
        self.rotate();
    }

    async fn exchange(&mut self, uri: &str) -> Result<Bytes, PlatformError> {
        let address = self.address().ok_or(PlatformError::NoAddress)?;
        let mut connection = match self.idle_connection().await {
            Some(idle) => idle,
            None => connect(address, Arc::clone(&self.meter)).await?,
        };
        self.calls += 1;
        let request = Request::get(uri)
            .header("host", address.to_string())
            .body(Empty::new())
            .map_err(|error| PlatformError::Body(error.to_string()))?;
        let answer = read_answer(connection.sender.send_request(request));
        let body = future::or(answer, drive(&mut connection.driver)).await?;
        self.connection = Some(connection);
        Ok(body)
    }

    /// Returns the open connection unless the replica has closed it.
    async fn idle_connection(&mut self) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        let ready = async { connection.sender.ready().await.is_ok() };
        let closed = async { drive(&mut connection.driver).await.is_ok() };
        future::or(ready, closed).await.then_some(connection)
    }
}

async fn expire<T>(limit: Duration) -> Result<T, PlatformError> {
    Timer::after(limit).await;
    Err(PlatformError::Timeout)
}

async fn connect(address: SocketAddr, meter: Arc<ByteMeter>) -> Result<Connection, PlatformError> {
    let open = async {
        TcpStream::connect(address)
            .await
            .map_err(PlatformError::Connect)
    };
    let stream = future::or(open, expire(CONNECT_TIMEOUT)).await?;
    stream.set_nodelay(true).map_err(PlatformError::Connect)?;
    let stream = FuturesIo::new(MeteredStream::new(stream, meter));
    let (sender, driver) = http1::handshake(stream)
        .await
        .map_err(PlatformError::Connection)?;
    Ok(Connection { sender, driver })
}

async fn drive(
    driver: &mut http1::Connection<Stream, Empty<Bytes>>,
) -> Result<Bytes, PlatformError> {
    match driver.await {
        Ok(()) => future::pending().await,
        Err(error) => Err(PlatformError::Connection(error)),
    }
}

async fn read_answer(
    answer: impl Future<Output = hyper::Result<http::Response<hyper::body::Incoming>>>,
) -> Result<Bytes, PlatformError> {
    let answer = answer.await.map_err(PlatformError::Connection)?;
    let status = answer.status();
    let size_max = usize::try_from(ANSWER_SIZE_MAX_BYTES.0).unwrap_or(usize::MAX);
    let body = Limited::new(answer.into_body(), size_max)
        .collect()
        .await
        .map_err(|error| PlatformError::Body(error.to_string()))?;
    if status != StatusCode::OK {
        return Err(PlatformError::Status(status));
    }
    Ok(body.to_bytes())
}
