//! A call to an endpoint, and whether the endpoint may have run a call that failed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::Poll;

use celeryknot_core::{DurationMs, ErrorKind, Execution, RequestId, SizeBytes, header};
use futures_lite::future;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Request, Response, StatusCode, response};
use hyper::body::{Body, Incoming};

use crate::answer::{AnswerBody, PoolEntry, ReceivedBody};
use crate::connection::{ConnectionPool, EndpointConnection};
use crate::exchange::exchange;
use crate::idle_timeout::IdleTimeout;
use crate::load::{LoadReport, parse_load_report};
use crate::rate_limit::{RateLimitField, read_rate_limit};
use crate::request_body::RequestBody;

/// Time without a response head on a reused connection after which a hedged call is also sent on a
/// new one.
const HEDGE_DELAY: DurationMs = DurationMs(300);

/// The connection that a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A new connection: opening it shows that the endpoint is alive just before the first byte.
    Never,
    /// A connection idle for less than this time, if any; for idempotent calls only.
    IdleUnder(DurationMs),
    /// Like `IdleUnder`, with a hedged request on a new connection if the response head is late.
    Hedged(DurationMs),
}

/// The timeouts of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Timeout for opening the connection.
    pub connect_ms: DurationMs,
    /// Timeout between the request and the response head.
    pub first_byte_ms: DurationMs,
    /// Longest gap between two chunks of the response body.
    pub idle_ms: DurationMs,
}

impl CallTimeouts {
    /// Uses the same value for all timeouts.
    pub fn all(timeout: DurationMs) -> Self {
        Self {
            connect_ms: timeout,
            first_byte_ms: timeout,
            idle_ms: timeout,
        }
    }
}

/// A call to an endpoint.
#[derive(Debug)]
pub struct Call {
    /// The request, including a `Host` header.
    pub request: Request<RequestBody>,
    /// The request id that the response must echo.
    pub request_id: Option<RequestId>,
    /// Whether a response without a request id is rejected.
    pub requires_echo: bool,
    /// The connection to use.
    pub reuse: Reuse,
    /// Largest accepted response body.
    pub answer_size_max: SizeBytes,
    /// The timeouts.
    pub timeouts: CallTimeouts,
}

/// A failure of a call before its response body.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallFailure {
    /// The kind of failure; its execution states whether the call was run.
    pub kind: ErrorKind,
    /// The endpoint's `Retry-After`, if it sent one.
    pub retry_after_ms: Option<DurationMs>,
    /// The endpoint's load, if it reported it.
    pub load: Option<LoadReport>,
    /// The rate limit that the endpoint stated; `None` if there was no response to this call.
    pub rate_limit: Option<RateLimitField>,
}

impl From<ErrorKind> for CallFailure {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after_ms: None,
            load: None,
            rate_limit: None,
        }
    }
}

/// The response of an endpoint.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// The endpoint's load, if it reported it.
    pub load: Option<LoadReport>,
    /// What it stated about its rate limit.
    pub rate_limit: RateLimitField,
    /// The body.
    pub body: AnswerBody,
}

impl Call {
    /// Sends the call and waits for the response head.
    ///
    /// `may_send` runs directly before each attempt sends its first byte, with no await in between.
    /// Its error ends the call, which then certainly was not run unless an earlier attempt was
    /// sent. Dropping the future cancels the call.
    ///
    /// # Errors
    ///
    /// `ConnectFailed`, `EndpointRefused` or an error of `may_send` if the call certainly was not
    /// run. After any other kind, the endpoint may have run it.
    pub async fn send<M>(
        self,
        connections: &ConnectionPool,
        address: SocketAddr,
        may_send: M,
    ) -> Result<EndpointResponse, CallFailure>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let first_byte_ms = self.timeouts.first_byte_ms;
        let was_sent = Cell::new(false);
        let may_send = || match may_send() {
            Ok(()) => {
                was_sent.set(true);
                Ok(())
            }
            // The endpoint may have run an earlier attempt.
            Err(_) if was_sent.get() => Err(ErrorKind::OutcomeUnknown),
            Err(kind) => Err(kind),
        };
        let attempts = self.send_without_timeout(connections, address, &may_send);
        let timed_out = async {
            connections.timers().after(first_byte_ms).await;
            if was_sent.get() {
                return Err(ErrorKind::AnswerTimeout.into());
            }
            Err(ErrorKind::ConnectFailed.into())
        };
        future::or(attempts, timed_out).await
    }

    async fn send_without_timeout<M>(
        self,
        connections: &ConnectionPool,
        address: SocketAddr,
        may_send: &M,
    ) -> Result<EndpointResponse, CallFailure>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let (reused, hedge_delay_ms) = match self.reuse {
            Reuse::Never => (None, None),
            Reuse::IdleUnder(idle_max) => (connections.take(address, idle_max).await, None),
            Reuse::Hedged(idle_max) => {
                let reused = connections.take(address, idle_max).await;
                (reused, Some(HEDGE_DELAY))
            }
        };
        let Some(connection) = reused else {
            let (connection, answer) = self
                .attempt_on_new_connection(connections, address, may_send)
                .await?;
            return self.check_response(connections, address, connection, answer);
        };
        // Usually, a reused connection fails because the endpoint has closed it. The call is
        // idempotent, so it is retried.
        let has_failed = Cell::new(false);
        let first = async {
            let result = self.attempt_on(connection, may_send).await;
            has_failed.set(result.is_err());
            result
        };
        let second = async {
            let mut hedge_delay = hedge_delay_ms.map(|delay| connections.timers().after(delay));
            future::poll_fn(|context| match &mut hedge_delay {
                _ if has_failed.get() => Poll::Ready(()),
                Some(delay) => Pin::new(delay).poll(context),
                None => Poll::Pending,
            })
            .await;
            self.attempt_on_new_connection(connections, address, may_send)
                .await
        };
        let (connection, answer) = first_success(first, second).await?;
        self.check_response(connections, address, connection, answer)
    }

    async fn attempt_on_new_connection<M>(
        &self,
        connections: &ConnectionPool,
        address: SocketAddr,
        may_send: &M,
    ) -> Result<(EndpointConnection, Response<Incoming>), ErrorKind>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let open =
            EndpointConnection::open(address, self.timeouts.connect_ms, connections.timers());
        let connection = Box::pin(open).await?;
        self.attempt_on(connection, may_send).await
    }

    async fn attempt_on<M>(
        &self,
        mut connection: EndpointConnection,
        may_send: &M,
    ) -> Result<(EndpointConnection, Response<Incoming>), ErrorKind>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        may_send()?;
        match exchange(&mut connection, self.request.clone()).await {
            Ok(answer) => Ok((connection, answer)),
            Err(error) => Err(error.kind()),
        }
    }

    fn check_response(
        &self,
        connections: &ConnectionPool,
        address: SocketAddr,
        connection: EndpointConnection,
        answer: Response<Incoming>,
    ) -> Result<EndpointResponse, CallFailure> {
        let (head, received) = ReceivedBody::split(self.request.method(), answer, connection);
        self.check_echo(&head.headers)?;
        let load = parse_load_report(&head.headers);
        let rate_limit = read_rate_limit(&head.headers, header::RATE_LIMIT);
        let failure = |kind| CallFailure {
            kind,
            retry_after_ms: parse_retry_after(&head.headers),
            load,
            rate_limit: Some(rate_limit),
        };
        if is_refusal(&head) {
            return Err(failure(ErrorKind::EndpointRefused));
        }
        if received.incoming.size_hint().lower() > self.answer_size_max.0 {
            return Err(failure(ErrorKind::AnswerTooLarge));
        }
        let pool_entry = (self.reuse != Reuse::Never).then(|| PoolEntry {
            connections: connections.clone(),
            address,
        });
        let body = AnswerBody::new(
            received,
            pool_entry,
            self.answer_size_max,
            IdleTimeout::new(connections.timers().clone(), self.timeouts.idle_ms),
        );
        Ok(EndpointResponse {
            head,
            load,
            rate_limit,
            body,
        })
    }

    fn check_echo(&self, headers: &HeaderMap) -> Result<(), ErrorKind> {
        let Some(request_id) = self.request_id else {
            return Ok(());
        };
        let echoed = headers.get(header::REQUEST_ID);
        let Some(echoed) = echoed else {
            return if self.requires_echo {
                Err(ErrorKind::AnswerMismatched)
            } else {
                Ok(())
            };
        };
        let echoed = echoed.to_str().ok().and_then(|text| text.parse().ok());
        if echoed == Some(request_id) {
            return Ok(());
        }
        Err(ErrorKind::AnswerMismatched)
    }
}

/// Returns the first success of two attempts of one call.
///
/// `first` is polled before `second`. If both fail, the error states that the call was not run only
/// if neither attempt may have run it.
async fn first_success<T>(
    first: impl Future<Output = Result<T, ErrorKind>>,
    second: impl Future<Output = Result<T, ErrorKind>>,
) -> Result<T, ErrorKind> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let (mut first_error, mut second_error) = (None, None);
    future::poll_fn(|context| {
        if first_error.is_none()
            && let Poll::Ready(result) = first.as_mut().poll(context)
        {
            match result {
                Ok(success) => return Poll::Ready(Ok(success)),
                Err(kind) => first_error = Some(kind),
            }
        }
        if second_error.is_none()
            && let Poll::Ready(result) = second.as_mut().poll(context)
        {
            match result {
                Ok(success) => return Poll::Ready(Ok(success)),
                Err(kind) => second_error = Some(kind),
            }
        }
        match (first_error, second_error) {
            (Some(ErrorKind::OutcomeUnknown), Some(_)) => {
                Poll::Ready(Err(ErrorKind::OutcomeUnknown))
            }
            (Some(_), Some(kind)) => Poll::Ready(Err(kind)),
            (Some(_), None) | (None, Some(_)) | (None, None) => Poll::Pending,
        }
    })
    .await
}

/// Returns whether the endpoint refused the call and reports that it did not run it.
fn is_refusal(head: &response::Parts) -> bool {
    let may_refuse = matches!(
        head.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let not_run: &str = Execution::NotRun.into();
    may_refuse
        && head
            .headers
            .get(header::EXECUTION)
            .is_some_and(|value| value == not_run)
}

fn parse_retry_after(headers: &HeaderMap) -> Option<DurationMs> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(DurationMs(seconds.saturating_mul(1000)))
}
