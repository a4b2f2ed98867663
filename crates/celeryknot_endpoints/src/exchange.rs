//! A request on one connection, up to the response head.

use std::future::Future;
use std::pin::pin;

use celeryknot_core::ErrorKind;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::connection::EndpointConnection;
use crate::framing::has_known_transfer_coding;
use crate::request_body::RequestBody;

/// The reason why an exchange ended before the response head.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request did not reach the connection's write buffer.
    NotSent,
    /// Bytes of the request may have been sent.
    MaybeSent,
}

impl ExchangeError {
    /// Returns the error kind: `OutcomeUnknown` if the endpoint may have run the request.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotSent => ErrorKind::ConnectFailed,
            Self::MaybeSent => ErrorKind::OutcomeUnknown,
        }
    }
}

/// Sends a request and drives the connection until the response head arrives.
///
/// # Errors
///
/// `NotSent` if the request did not reach the connection's write buffer. After `MaybeSent`, the
/// endpoint may have run it.
pub async fn exchange(
    connection: &mut EndpointConnection,
    request: Request<RequestBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    connection.start_part();
    connection.count_request();
    let response = connection.sender().try_send_request(request);
    let mut response = pin!(response);
    let result = future::poll_fn(|context| {
        connection.poll_io(context);
        response.as_mut().poll(context)
    })
    .await;
    let response = result.map_err(|mut error| match error.take_message() {
        Some(_) => ExchangeError::NotSent,
        None => ExchangeError::MaybeSent,
    })?;
    let is_readable =
        is_final_status(response.status()) && has_known_transfer_coding(response.headers());
    match is_readable {
        true => Ok(response),
        // Like any other head that can't be read.
        false => Err(ExchangeError::MaybeSent),
    }
}

/// Returns whether a status ends an exchange by the protocol.
///
/// The HTTP library also accepts three-digit numbers above 599, which have no meaning, and the
/// switch to another protocol, which no request asks for.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
