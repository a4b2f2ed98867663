//! A client of the platform, which uses one replica at a time.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::{DurationMs, Revision, SizeBytes};
use futures_lite::future;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::meter::{ByteMeter, MeteredStream};
use crate::wire::{InstanceList, ValueList};

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time allowed for a response beyond the long poll's wait.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(1_000);
/// Largest accepted response body.
pub const RESPONSE_SIZE_MAX_BYTES: SizeBytes = SizeBytes(64 << 20);

/// The reason why a request to the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// No address of the platform is configured.
    NoAddress,
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The request timed out.
    Timeout,
    /// The connection failed.
    Connection(hyper::Error),
    /// The replica responded with a status other than 200.
    Status(StatusCode),
    /// The response could not be read or parsed.
    Body(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("no address of the platform is configured"),
            Self::Connect(error) => write!(f, "no connection to the platform: {error}"),
            Self::Timeout => f.write_str("the platform did not respond in time"),
            Self::Connection(error) => write!(f, "the connection to the platform failed: {error}"),
            Self::Status(status) => write!(f, "the platform responded with status {status}"),
            Self::Body(reason) => write!(f, "the platform's response can't be read: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}

type Stream = FuturesIo<MeteredStream<TcpStream>>;

struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: http1::Connection<Stream, Empty<Bytes>>,
}

/// Reads and watches one of several replicas, and fails over to the next one after an error.
///
/// A client sends one request at a time on one connection, so each watch needs its own client.
pub struct PlatformClient {
    addresses: Vec<SocketAddr>,
    current: usize,
    connection: Option<Connection>,
    meter: Arc<ByteMeter>,
    calls: u64,
}

impl PlatformClient {
    /// Creates a client that starts with replica `first`, modulo the number of replicas.
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

    /// Returns the address of the replica that receives the next request.
    pub fn address(&self) -> Option<SocketAddr> {
        self.addresses.get(self.current).copied()
    }

    /// Returns the number of requests sent.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Switches to the next replica, if any.
    pub fn rotate(&mut self) {
        if self.addresses.len() > 1 {
            self.current = (self.current + 1) % self.addresses.len();
            self.connection = None;
        }
    }

    /// Closes the idle connection, so that the next request opens one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Switches to the replica with the given index, modulo the number of replicas.
    pub fn select(&mut self, index: usize) {
        let index = index.checked_rem(self.addresses.len()).unwrap_or(0);
        if index != self.current {
            self.current = index;
            self.connection = None;
        }
    }

    /// Reads the values with a revision above `after`, waiting up to `wait` for one; without
    /// `after`, reads all values at once.
    pub async fn values(
        &mut self,
        after: Option<Revision>,
        wait: DurationMs,
    ) -> Result<ValueList, PlatformError> {
        self.get("/v1/values", after, wait).await
    }

    /// Reads the complete instance list, waiting up to `wait` for a revision above `after`; without
    /// `after`, reads it at once.
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
        let response = self.fetch(&uri, wait.as_std() + RESPONSE_MARGIN).await?;
        serde_json::from_slice(response.body()).map_err(|error| {
            self.fail_over();
            PlatformError::Body(error.to_string())
        })
    }

    /// Reads one resource within a timeout; an error closes the connection and fails over to the
    /// next replica.
    ///
    /// # Errors
    ///
    /// Any status other than 200 is an error, and so is a timeout.
    pub async fn fetch(
        &mut self,
        uri: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let result = future::or(self.exchange(uri), time_out(timeout)).await;
        if result.is_err() {
            self.fail_over();
        }
        result
    }

    /// Closes the connection and switches to the next replica.
    fn fail_over(&mut self) {
        self.connection = None;
        self.rotate();
    }

    /// Sends a request on the idle connection, or else on a new one.
    ///
    /// A replica may close an idle connection just as the request is sent. As requests only read,
    /// one that fails so is sent again on a new connection.
    async fn exchange(&mut self, uri: &str) -> Result<Response<Bytes>, PlatformError> {
        let address = self.address().ok_or(PlatformError::NoAddress)?;
        if let Some(idle) = self.take_idle_connection().await {
            match self.exchange_on(idle, address, uri).await {
                Err(PlatformError::Connection(error)) => {
                    tracing::debug!(%address, %error, "idle connection failed, opening a new one");
                }
                result => return result,
            }
        }
        let connection = connect(address, Arc::clone(&self.meter)).await?;
        self.exchange_on(connection, address, uri).await
    }

    async fn exchange_on(
        &mut self,
        mut connection: Connection,
        address: SocketAddr,
        uri: &str,
    ) -> Result<Response<Bytes>, PlatformError> {
        self.calls += 1;
        let request = Request::get(uri)
            .header("host", address.to_string())
            .body(Empty::new())
            .map_err(|error| PlatformError::Body(error.to_string()))?;
        let response = read_response(connection.sender.send_request(request));
        let response = future::or(response, drive(&mut connection.driver)).await?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Takes the idle connection unless the replica has closed it.
    async fn take_idle_connection(&mut self) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        let ready = async { connection.sender.ready().await.is_ok() };
        let closed = async { drive(&mut connection.driver).await.is_ok() };
        future::or(ready, closed).await.then_some(connection)
    }
}

async fn time_out<T>(timeout: Duration) -> Result<T, PlatformError> {
    Timer::after(timeout).await;
    Err(PlatformError::Timeout)
}

async fn connect(address: SocketAddr, meter: Arc<ByteMeter>) -> Result<Connection, PlatformError> {
    let open = async {
        TcpStream::connect(address)
            .await
            .map_err(PlatformError::Connect)
    };
    let stream = future::or(open, time_out(CONNECT_TIMEOUT)).await?;
    stream.set_nodelay(true).map_err(PlatformError::Connect)?;
    let stream = FuturesIo::new(MeteredStream::new(stream, meter));
    let (sender, driver) = http1::handshake(stream)
        .await
        .map_err(PlatformError::Connection)?;
    Ok(Connection { sender, driver })
}

async fn drive(
    driver: &mut http1::Connection<Stream, Empty<Bytes>>,
) -> Result<Response<Bytes>, PlatformError> {
    match driver.await {
        Ok(()) => future::pending().await,
        Err(error) => Err(PlatformError::Connection(error)),
    }
}

async fn read_response(
    response: impl Future<Output = hyper::Result<Response<hyper::body::Incoming>>>,
) -> Result<Response<Bytes>, PlatformError> {
    let (head, body) = response
        .await
        .map_err(PlatformError::Connection)?
        .into_parts();
    let size_max = usize::try_from(RESPONSE_SIZE_MAX_BYTES.0).unwrap_or(usize::MAX);
    let body = Limited::new(body, size_max)
        .collect()
        .await
        .map_err(|error| PlatformError::Body(error.to_string()))?;
    if head.status != StatusCode::OK {
        return Err(PlatformError::Status(head.status));
    }
    Ok(Response::from_parts(head, body.to_bytes()))
}
