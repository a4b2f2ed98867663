//! Asks a daemon for what operators want to know.

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

/// Longest time for a daemon to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest accepted answer in bytes.
const ANSWER_SIZE_MAX_BYTES: usize = 64 << 20;

/// Why a daemon could not be asked.
#[derive(Debug)]
pub enum ClientError {
    /// No connection could be opened.
    Connect(std::io::Error),
    /// No whole answer came in time.
    Timeout,
    /// The connection broke or carried no HTTP.
    Broken(String),
    /// The daemon refused the request.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// What the daemon says.
        reason: String,
    },
    /// The answer has another form than this program knows.
    Unreadable(serde_json::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "the daemon can't be reached: {error}"),
            Self::Timeout => write!(f, "no answer within {} s", ANSWER_TIMEOUT.as_secs()),
            Self::Broken(reason) => write!(f, "the connection broke: {reason}"),
            Self::Refused { status, reason } => write!(f, "refused with {status}: {reason}"),
            Self::Unreadable(error) => write!(f, "the answer can't be read: {error}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// Fetches a daemon's status.
///
/// # Errors
///
/// Returns why the daemon could not be asked.
pub async fn fetch_status(address: SocketAddr) -> Result<Status, ClientError> {
    fetch_json(address, "/status").await
}

/// Fetches the ranking of the endpoints for a chat.
///
/// # Errors
///
/// Returns why the daemon could not be asked, or its refusal.
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
    serde_json::from_slice(&body).map_err(ClientError::Unreadable)
}

/// Fetches the body of a path.
///
/// # Errors
///
/// Returns why the daemon could not be asked, or its refusal.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
    let timeout = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        Err(ClientError::Timeout)
    };
    request(address, path).or(timeout).await
}

async fn request(address: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
    let broken = |error: &dyn std::error::Error| ClientError::Broken(error.to_string());
    let stream = TcpStream::connect(address)
        .await
        .map_err(ClientError::Connect)?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| broken(&error))?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| broken(&error))?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| broken(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_SIZE_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| ClientError::Broken(error.to_string()))?
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
    let drive = async {
        // The exchange ends by itself once the connection does.
        let _ = connection.await;
        std::future::pending().await
    };
    exchange.or(drive).await
}
