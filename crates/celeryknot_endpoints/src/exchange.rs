//! One request on one connection, up to the head of the answer.

use std::future::Future;
use std::pin::pin;

use celeryknot_core::ErrorKind;
use futures_lite::future;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::connection::Link;
use crate::request_body::RequestBody;

/// Why an exchange did not reach the head of an answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The request never reached the connection's buffer.
    NotSent,
    /// Bytes of the request may have been sent.
    MaybeSent,
}

impl ExchangeError {
    /// Returns the kind that says what is known of the request.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotSent => ErrorKind::ConnectFailed,
            Self::MaybeSent => ErrorKind::OutcomeUnknown,
        }
    }
}

/// Sends a request and waits for the head of its answer, moving the connection's bytes meanwhile.
///
/// # Errors
///
/// `NotSent` where the request never reached the connection's buffer; all else may have been run.
pub async fn exchange(
    link: &mut Link,
    request: Request<RequestBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    let answer = link.sender().try_send_request(request);
    let mut answer = pin!(answer);
    let result = future::poll_fn(|context| {
        link.poll_io(context);
        answer.as_mut().poll(context)
    })
    .await;
    result.map_err(|mut error| match error.take_message() {
        Some(_) => ExchangeError::NotSent,
        None => ExchangeError::MaybeSent,
    })
}
