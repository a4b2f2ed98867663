//! One call of an endpoint, and what is known when it fails.

use std::cell::Cell;
use std::net::SocketAddr;

use celeryknot_core::{DurationMs, ErrorKind, Execution, RequestId, SizeBytes, header};
use futures_lite::future;
use http::header::{CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode, response};
use hyper::body::{Body, Incoming};

use crate::answer::{AnswerBody, ReturnTo};
use crate::connection::{Connections, Link};
use crate::exchange::exchange;
use crate::load::{LoadReport, load_of};
use crate::request_body::RequestBody;
use crate::silence::Silence;

/// Time without the head of an answer after which a used connection is held to be silent.
const SILENT_AFTER: DurationMs = DurationMs(300);

/// Which connection a call goes out on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A new connection: proved alive just before the first byte.
    Never,
    /// One that was idle for less than this time; the call is idempotent.
    IdleUnder(DurationMs),
    /// As `IdleUnder`; a call whose head does not come soon is sent on a new connection too.
    Hedged(DurationMs),
}

/// The longest waits of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimeouts {
    /// For the connection to open.
    pub connect_ms: DurationMs,
    /// From the request to the head of the answer.
    pub first_byte_ms: DurationMs,
    /// Between two pieces of the answer.
    pub idle_ms: DurationMs,
}

impl CallTimeouts {
    /// Uses one time for all waits.
    pub fn all(timeout: DurationMs) -> Self {
        Self {
            connect_ms: timeout,
            first_byte_ms: timeout,
            idle_ms: timeout,
        }
    }
}

/// One call of an endpoint.
#[derive(Debug)]
pub struct Call {
    /// The request, with a `Host` field.
    pub request: Request<RequestBody>,
    /// The id that the answer must echo.
    pub request_id: Option<RequestId>,
    /// Whether an answer without the id is refused as well.
    pub must_echo: bool,
    /// Which connection to use.
    pub reuse: Reuse,
    /// Largest body of the answer.
    pub answer_size_max: SizeBytes,
    /// The longest waits.
    pub timeouts: CallTimeouts,
}

/// Why a call failed before the body of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// What happened; its answer says whether the call was run.
    pub kind: ErrorKind,
    /// The time to come back, where the endpoint gave one.
    pub retry_after_ms: Option<DurationMs>,
    /// The endpoint's load, where it gave it.
    pub load: Option<LoadReport>,
}

impl From<ErrorKind> for CallFailure {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after_ms: None,
            load: None,
        }
    }
}

/// The answer of an endpoint.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status and headers.
    pub head: response::Parts,
    /// The endpoint's load, where it gave it.
    pub load: Option<LoadReport>,
    /// The body.
    pub body: AnswerBody,
}

impl Call {
    /// Sends the call and waits for the head of the answer.
    ///
    /// `may_send` is asked directly before the first byte, with no await in
    /// between; its error ends the call, which then certainly was not run
    /// unless an earlier copy of it was sent. Dropping the future cancels the
    /// call.
    ///
    /// # Errors
    ///
    /// `ConnectFailed`, `EndpointRefused` and the kinds of `may_send` where
    /// the call certainly was not run; all other kinds leave that open.
    pub async fn send<M>(
        self,
        connections: &Connections,
        address: SocketAddr,
        may_send: M,
    ) -> Result<EndpointAnswer, CallFailure>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let first_byte_ms = self.timeouts.first_byte_ms;
        let is_handed = Cell::new(false);
        let may_send = || match may_send() {
            Ok(()) => {
                is_handed.set(true);
                Ok(())
            }
            // An earlier copy of the call may have been run.
            Err(_) if is_handed.get() => Err(ErrorKind::OutcomeUnknown),
            Err(kind) => Err(kind),
        };
        let sent = self.send_untimed(connections, address, &may_send);
        let give_up = async {
            connections.timers().after(first_byte_ms).await;
            if is_handed.get() {
                return Err(ErrorKind::AnswerTimeout.into());
            }
            Err(ErrorKind::ConnectFailed.into())
        };
        future::or(sent, give_up).await
    }

    async fn send_untimed<M>(
        self,
        connections: &Connections,
        address: SocketAddr,
        may_send: &M,
    ) -> Result<EndpointAnswer, CallFailure>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let (used, is_hedged) = match self.reuse {
            Reuse::Never => (None, false),
            Reuse::IdleUnder(idle_max) => (connections.take(address, idle_max).await, false),
            Reuse::Hedged(idle_max) => (connections.take(address, idle_max).await, true),
        };
        let Some(link) = used else {
            let (link, answer) = self.try_new(connections, address, may_send).await?;
            return self.check(connections, address, link, answer);
        };
        let result = if is_hedged {
            let hedge = async {
                connections.timers().after(SILENT_AFTER).await;
                self.try_new(connections, address, may_send).await
            };
            future::or(self.try_on(link, may_send), hedge).await
        } else {
            self.try_on(link, may_send).await
        };
        let (link, answer) = match result {
            Ok(answered) => answered,
            // The endpoint closed the idle connection; the call is idempotent.
            Err(_) => self.try_new(connections, address, may_send).await?,
        };
        self.check(connections, address, link, answer)
    }

    async fn try_new<M>(
        &self,
        connections: &Connections,
        address: SocketAddr,
        may_send: &M,
    ) -> Result<(Link, Response<Incoming>), ErrorKind>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        let open = Link::open(address, self.timeouts.connect_ms, connections.timers());
        let link = Box::pin(open).await?;
        self.try_on(link, may_send).await
    }

    async fn try_on<M>(
        &self,
        mut link: Link,
        may_send: &M,
    ) -> Result<(Link, Response<Incoming>), ErrorKind>
    where
        M: Fn() -> Result<(), ErrorKind>,
    {
        may_send()?;
        match exchange(&mut link, self.request.clone()).await {
            Ok(answer) => Ok((link, answer)),
            Err(error) => Err(error.kind()),
        }
    }

    fn check(
        &self,
        connections: &Connections,
        address: SocketAddr,
        link: Link,
        answer: Response<Incoming>,
    ) -> Result<EndpointAnswer, CallFailure> {
        let (head, incoming) = answer.into_parts();
        self.check_echo(&head.headers)?;
        let load = load_of(&head.headers);
        if is_refusal(&head) {
            return Err(CallFailure {
                kind: ErrorKind::EndpointRefused,
                retry_after_ms: retry_after(&head.headers),
                load,
            });
        }
        if !has_known_end(self.request.method(), &head) {
            return Err(ErrorKind::AnswerIncomplete.into());
        }
        if incoming.size_hint().lower() > self.answer_size_max.0 {
            return Err(ErrorKind::AnswerTooLarge.into());
        }
        let return_to = (self.reuse != Reuse::Never).then(|| ReturnTo {
            connections: connections.clone(),
            address,
        });
        let body = AnswerBody::new(
            incoming,
            link,
            return_to,
            self.answer_size_max,
            Silence::new(connections.timers().clone(), self.timeouts.idle_ms),
        );
        Ok(EndpointAnswer { head, load, body })
    }

    fn check_echo(&self, headers: &HeaderMap) -> Result<(), ErrorKind> {
        let Some(request_id) = self.request_id else {
            return Ok(());
        };
        let echoed = headers.get(header::REQUEST_ID);
        let Some(echoed) = echoed else {
            return if self.must_echo {
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

/// Tells whether the endpoint says that it did not run the call.
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

fn retry_after(headers: &HeaderMap) -> Option<DurationMs> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(DurationMs(seconds.saturating_mul(1000)))
}

/// An answer that ends with its connection can't be told from a truncated one.
fn has_known_end(method: &Method, head: &response::Parts) -> bool {
    let has_no_body = method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    has_no_body
        || head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING)
}
