//! One send of a request to one endpoint, up to the head of its answer.

use std::cell::Cell;

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, SizeBytes};
use celeryknot_endpoints::{AnswerBody, ExchangeError, Link, ReturnTo, Silence, exchange};
use celeryknot_policy::direct::{Placement, SendFailure};
use futures_lite::future;
use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::call::Call;
use super::context::{Started, TrafficThread};
use crate::boundary::{AnswerHead, Boundary};

/// Longest time for a connection to an endpoint to open.
///
/// Many times the delay between two zones; a lost packet costs another endpoint's turn.
const CONNECT_TIMEOUT: DurationMs = DurationMs(400);

/// Longest idle time of a connection that is used again for a request that must not run twice.
///
/// An endpoint that closes an idle connection at that moment leaves the outcome unknown.
const IDLE_MAX_NON_IDEMPOTENT: DurationMs = DurationMs(5_000);

/// Longest idle time of a connection that is used again for other requests.
const IDLE_MAX: DurationMs = DurationMs(10_000);

/// Time before the end that an endpoint states after which a connection is no longer used.
const KEEP_ALIVE_MARGIN: DurationMs = DurationMs(300);

/// Largest answer.
const ANSWER_SIZE_MAX: SizeBytes = SizeBytes(64 << 20);

/// Largest answer of a service without streams that is read whole before it is passed on.
const WHOLE_SIZE_MAX: SizeBytes = SizeBytes(256 << 10);

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) head: response::Parts,
    pub(super) body: AnswerBody,
    pub(super) started: Started,
}

/// What is noted while a send goes on, for whoever gives it up.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    /// Whether bytes of the request may have reached an endpoint.
    pub(super) is_handed: Cell<bool>,
}

/// Sends a request and waits for the head of its answer.
///
/// Dropping the future closes the connection, which cancels the request at the endpoint.
pub(super) async fn send<B: Boundary>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    started: &Started,
    progress: &SendProgress,
    last_event_id: Option<&str>,
) -> Result<(response::Parts, AnswerBody), SendFailure> {
    let (link, answer) = try_send::<B>(gateway, call, placement, progress, last_event_id).await?;
    check::<B>(gateway, call, placement, started, link, answer)
}

async fn try_send<B: Boundary>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    progress: &SendProgress,
    last_event_id: Option<&str>,
) -> Result<(Link, Response<Incoming>), SendFailure> {
    let idle_max = match call.route.kind.is_repeatable() {
        true => IDLE_MAX,
        false => IDLE_MAX_NON_IDEMPOTENT,
    };
    let mut link = match gateway.connections.take(placement.address, idle_max).await {
        Some(link) => link,
        None => Link::open(placement.address, CONNECT_TIMEOUT, &gateway.timers)
            .await
            .map_err(|_| SendFailure::NotSent)?,
    };
    let left_ms = call.ends_at - gateway.now();
    let request = call.request::<B>(placement, left_ms, last_event_id);
    progress.is_handed.set(true);
    match exchange(&mut link, request).await {
        Ok(answer) => Ok((link, answer)),
        Err(ExchangeError::NotSent) => {
            progress.is_handed.set(false);
            Err(SendFailure::NotSent)
        }
        Err(ExchangeError::MaybeSent) => Err(SendFailure::Unanswered),
    }
}

fn check<B: Boundary>(
    gateway: &TrafficThread,
    call: &Call,
    placement: &Placement,
    started: &Started,
    mut link: Link,
    answer: Response<Incoming>,
) -> Result<(response::Parts, AnswerBody), SendFailure> {
    let (head, incoming) = answer.into_parts();
    let facts = B::read_answer(&head);
    if let Some(load) = facts.load {
        started.observe_load(load);
    }
    let idle_max = facts
        .keep_alive_ms
        .map(|keep_alive_ms| DurationMs(keep_alive_ms.0.saturating_sub(KEEP_ALIVE_MARGIN.0)));
    if let Some(idle_max) = idle_max {
        link.set_idle_max(idle_max);
    }
    if let Some(failure) = failure_of(call, &head, &facts) {
        return Err(failure);
    }
    let return_to = Some(ReturnTo {
        connections: gateway.connections.clone(),
        address: placement.address,
    });
    let silence_max = call.ends_at - gateway.now();
    let silence = Silence::new(gateway.timers.clone(), silence_max);
    let body = AnswerBody::new(incoming, link, return_to, ANSWER_SIZE_MAX, silence);
    Ok((head, body))
}

/// Returns how an answer fails that can't be the final one.
fn failure_of(call: &Call, head: &response::Parts, facts: &AnswerHead) -> Option<SendFailure> {
    let echoed = facts.request_id.as_deref();
    if echoed.is_some_and(|echoed| echoed != call.head.request_id) {
        return Some(SendFailure::Mismatched);
    }
    if facts.is_misdirected {
        return Some(SendFailure::Misdirected);
    }
    if facts.is_not_run {
        return Some(SendFailure::Refused);
    }
    if head.status.is_success() && (echoed.is_none() || !facts.is_signed) {
        return Some(SendFailure::Mismatched);
    }
    None
}

/// Reads an answer that is no stream whole.
pub(super) async fn read_whole(answered: &mut Answered) -> Result<Bytes, SendFailure> {
    let mut whole = Vec::new();
    while let Some(frame) = answered.body.frame().await {
        let frame = frame.map_err(|error| {
            if error.0 == ErrorKind::AnswerTimeout {
                return SendFailure::Unanswered;
            }
            SendFailure::Broken
        })?;
        if let Some(data) = frame.data_ref() {
            whole.extend_from_slice(data);
        }
        if whole.len() as u64 > WHOLE_SIZE_MAX.0 {
            return Err(SendFailure::Broken);
        }
    }
    Ok(Bytes::from(whole))
}

/// Waits no longer than a time for a send's answer.
pub(super) async fn within<T>(
    gateway: &TrafficThread,
    time: DurationMs,
    result: impl Future<Output = Result<T, SendFailure>>,
) -> Result<T, SendFailure> {
    let give_up = async {
        gateway.timers.after(time).await;
        Err(SendFailure::Unanswered)
    };
    future::or(result, give_up).await
}
