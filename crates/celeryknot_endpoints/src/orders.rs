//! Orders to engines: load a model, change role.

use std::net::SocketAddr;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, ModelName, SizeBytes};
use futures_lite::future;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::call::{Call, CallTimeouts, Reuse};
use crate::connection::ConnectionPool;
use crate::load::time_out;
use crate::request_body::RequestBody;

/// Largest response to an order.
const RESPONSE_SIZE_MAX: SizeBytes = SizeBytes(16 << 10);

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
        /// The adapter to load on top of the model.
        adapter: Option<String>,
    },
    /// Change role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// An order with its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing token, which increases with each holder of the right to issue orders.
    pub fencing: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and carries it out.
    Accepted,
    /// The engine has seen a higher fencing token.
    Outdated {
        /// The highest fencing token that the engine has seen.
        fencing: u64,
    },
    /// The engine refused the order for another reason.
    Refused,
}

#[derive(Deserialize)]
struct OutdatedResponse {
    fencing: u64,
}

/// Sends an order to an engine on a new connection.
///
/// `may_send` runs directly before the first byte, so that a holder whose lease has expired in the
/// meantime sends nothing.
///
/// # Errors
///
/// The kind of failure. The engine may have carried out the order unless the kind's execution is
/// `not-run`.
pub async fn send_order(
    address: SocketAddr,
    order: &FencedOrder,
    timeout: DurationMs,
    may_send: impl Fn() -> Result<(), ErrorKind>,
) -> Result<OrderOutcome, ErrorKind> {
    let body = serde_json::to_vec(order).map_err(|_| ErrorKind::InternalError)?;
    let request = Request::post("/v1/orders")
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(RequestBody::new(Bytes::from(body)))
        .map_err(|_| ErrorKind::InternalError)?;
    let call = Call {
        request,
        request_id: None,
        requires_echo: false,
        reuse: Reuse::Never,
        answer_size_max: RESPONSE_SIZE_MAX,
        timeouts: CallTimeouts::all(timeout),
    };
    future::or(send(call, address, may_send), time_out(timeout)).await
}

async fn send(
    call: Call,
    address: SocketAddr,
    may_send: impl Fn() -> Result<(), ErrorKind>,
) -> Result<OrderOutcome, ErrorKind> {
    let answer = call
        .send(&ConnectionPool::default(), address, may_send)
        .await
        .map_err(|failure| failure.kind)?;
    if answer.head.status == StatusCode::ACCEPTED {
        return Ok(OrderOutcome::Accepted);
    }
    if answer.head.status != StatusCode::CONFLICT {
        return Ok(OrderOutcome::Refused);
    }
    let body = answer.body.collect().await.map_err(|error| error.0)?;
    let outdated: OutdatedResponse =
        serde_json::from_slice(&body.to_bytes()).map_err(|_| ErrorKind::AnswerIncomplete)?;
    Ok(OrderOutcome::Outdated {
        fencing: outdated.fencing,
    })
}
