//! Orders to engines: load a model, take a role.

use std::net::SocketAddr;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, ModelName, SizeBytes};
use futures_lite::future;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::call::{Call, CallTimeouts, Reuse};
use crate::connection::Connections;
use crate::load::time_out;
use crate::request_body::RequestBody;

/// Largest answer to an order.
const ANSWER_SIZE_MAX: SizeBytes = SizeBytes(16 << 10);

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
        /// An adapter on top of it.
        adapter: Option<String>,
    },
    /// Change role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Rises with every holder of the duty to give orders.
    pub fencing: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Accepted,
    /// The engine has seen a higher number.
    Outdated {
        /// The highest number that the engine has seen.
        fencing: u64,
    },
    /// The engine refused it for another reason.
    Refused,
}

#[derive(Deserialize)]
struct OutdatedForm {
    fencing: u64,
}

/// Gives an order to an engine, on a new connection.
///
/// `may_send` is asked directly before the first byte, so that a holder whose lease has ended
/// meanwhile sends nothing.
///
/// # Errors
///
/// Why no answer came; the order may have been carried out unless the kind says `not-run`.
pub async fn give_order(
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
        must_echo: false,
        reuse: Reuse::Never,
        answer_size_max: ANSWER_SIZE_MAX,
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
        .send(&Connections::default(), address, may_send)
        .await
        .map_err(|failure| failure.kind)?;
    if answer.head.status == StatusCode::ACCEPTED {
        return Ok(OrderOutcome::Accepted);
    }
    if answer.head.status != StatusCode::CONFLICT {
        return Ok(OrderOutcome::Refused);
    }
    let body = answer.body.collect().await.map_err(|error| error.0)?;
    let form: OutdatedForm =
        serde_json::from_slice(&body.to_bytes()).map_err(|_| ErrorKind::AnswerIncomplete)?;
    Ok(OrderOutcome::Outdated {
        fencing: form.fencing,
    })
}
