//! A client of the operators API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::explanation::{ExplainQuery, Explanation};
use crate::status::Status;

/// Timeout for the complete exchange with a daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body.
const RESPONSE_SIZE_MAX_BYTES: usize = 64 << 20;

/// The error of a query to a daemon.
#[derive(Debug)]
pub enum ClientError {
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The complete response did not arrive in time.
    Timeout,
    /// The connection failed, or the response is not valid HTTP or is too large.
    ConnectionFailed(String),
    /// The daemon refused the request with an error status.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The response body.
        reason: String,
    },
    /// The response body can't be decoded, for example because the daemon runs another version.
    InvalidBody(serde_json::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "the daemon can't be reached: {error}"),
            Self::Timeout => write!(f, "no response within {} s", RESPONSE_TIMEOUT.as_secs()),
            Self::ConnectionFailed(reason) => write!(f, "the connection failed: {reason}"),
            Self::Refused { status, reason } => write!(f, "refused with {status}: {reason}"),
            Self::InvalidBody(error) => write!(f, "the response can't be decoded: {error}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// Fetches a daemon's status.
///
/// # Errors
///
/// Returns an error if the query fails.
pub async fn fetch_status(address: SocketAddr) -> Result<Status, ClientError> {
    fetch_json(address, "/status").await
}

/// Fetches the endpoint ranking for a chat.
///
/// # Errors
///
/// Returns an error if the query fails or the daemon refuses it.
pub async fn fetch_explanation(
    address: SocketAddr,
    query: &ExplainQuery,
) -> Result<Explanation, ClientError> {
    fetch_json(address, &format!("/explain?{}", query.to_query())).await
}

async fn fetch_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, ClientError> {
    let body = fetch(address, path).await?;
    serde_json::from_slice(&body).map_err(ClientError::InvalidBody)
}

/// Fetches the response body of a path.
///
/// # Errors
///
/// Returns an error if the query fails or the daemon refuses it.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
    let timeout = async {
        smol::Timer::after(RESPONSE_TIMEOUT).await;
        Err(ClientError::Timeout)
    };
    fetch_without_timeout(address, path).or(timeout).await
}

async fn fetch_without_timeout(address: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
    let connection_failed =
        |error: &dyn std::error::Error| ClientError::ConnectionFailed(error.to_string());
    let stream = TcpStream::connect(address)
        .await
        .map_err(ClientError::Connect)?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| connection_failed(&error))?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| connection_failed(&error))?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| connection_failed(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_SIZE_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| ClientError::ConnectionFailed(error.to_string()))?
            .to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let reason = String::from_utf8_lossy(&body).trim().to_owned();
        Err(ClientError::Refused {
            status: status.as_u16(),
            reason,
        })
    };
    let drive_connection = async {
        // `exchange` fails by itself if the connection ends.
        let _ = connection.await;
        std::future::pending().await
    };
    exchange.or(drive_connection).await
}
