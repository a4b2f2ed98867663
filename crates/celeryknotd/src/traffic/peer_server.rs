//! Serves requests that other daemons forward.

use std::convert::Infallible;
use std::rc::Rc;

use celeryknot_core::{ErrorKind, Refusal};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::DaemonBody;
use super::body_read::read_bounded;
use super::context::ThreadContext;
use super::hop::{self, HopKind};
use super::owner::{self, Answer};
use super::shared::CountGuard;
use super::ticketed;

/// Serves one request of another daemon.
pub(crate) async fn serve_peer(
    context: Rc<ThreadContext>,
    request: Request<Incoming>,
) -> Result<Response<DaemonBody>, Infallible> {
    let (head, body) = request.into_parts();
    let keys = &context.shared.settings.peer_keys;
    let hop = match hop::verify(keys, &head.method, &head.headers) {
        Ok(hop) => hop,
        Err(kind) => return Ok(refusal_response(Refusal::new(kind))),
    };
    if hop == HopKind::Probe {
        let mut answer = Response::new(DaemonBody::buffered(bytes::Bytes::new()));
        *answer.status_mut() = StatusCode::NO_CONTENT;
        return Ok(answer);
    }
    context.shared.metrics.traffic.forwards_in.inc();
    let in_flight = CountGuard::new(&context.shared.in_flight);
    let accepts_unverified_end = hop::accepts_unverified_end(&head.headers);
    let result = match hop {
        HopKind::Owner | HopKind::Attempt => handle_attempt(&context, hop, head, body).await,
        HopKind::Issuer => handle_ticketed_call(&context, head, body).await,
        HopKind::Probe => Err(Refusal::new(ErrorKind::InternalError)),
    };
    let result = result.and_then(|answer| {
        hop::check_body_end(&answer.head, accepts_unverified_end)?;
        Ok(answer)
    });
    Ok(match result {
        Ok(answer) => forwarded_response(answer, hop, in_flight),
        Err(refusal) => refusal_response(refusal),
    })
}

async fn handle_attempt(
    context: &Rc<ThreadContext>,
    hop: HopKind,
    head: http::request::Parts,
    body: Incoming,
) -> Result<Answer, Refusal> {
    let snapshot = context.snapshot();
    if !snapshot.is_ready {
        return Err(Refusal::new(ErrorKind::NotReady));
    }
    let service = hop::read_service(&head.headers, &snapshot).map_err(Refusal::new)?;
    let size_max = service.settings.request_size_max_bytes;
    let (body, _reservation) = read_bounded(context, body, size_max)
        .await
        .map_err(Refusal::new)?;
    let attempt = hop::read_attempt(&head, service, body, context.now()).map_err(Refusal::new)?;
    let answer = match hop {
        HopKind::Attempt => owner::run_for_owner(context, &attempt).await?,
        HopKind::Owner | HopKind::Issuer | HopKind::Probe => {
            owner::run(context, &attempt, || Ok(())).await?
        }
    };
    buffer_if_small(answer).await
}

/// Buffers a small response completely, so that a broken one is refused with its error kind.
async fn buffer_if_small(answer: Answer) -> Result<Answer, Refusal> {
    if !answer.body.is_small() {
        return Ok(answer);
    }
    let collected = answer.body.collect().await;
    let bytes = collected.map_err(|error| Refusal::new(error.0))?.to_bytes();
    Ok(Answer {
        head: answer.head,
        body: DaemonBody::buffered(bytes),
    })
}

async fn handle_ticketed_call(
    context: &Rc<ThreadContext>,
    head: http::request::Parts,
    body: Incoming,
) -> Result<Answer, Refusal> {
    let snapshot = context.snapshot();
    let service = hop::read_service(&head.headers, &snapshot).map_err(Refusal::new)?;
    let size_max = service.settings.request_size_max_bytes;
    let (body, reservation) = read_bounded(context, body, size_max)
        .await
        .map_err(Refusal::new)?;
    let (call, text) = hop::read_ticketed(&head, service, body, reservation, context.now())
        .map_err(Refusal::new)?;
    let ticket = ticketed::read_ticket(context, &call, &text).map_err(Refusal::new)?;
    ticketed::run_as_issuer(context, ticket, call).await
}

fn forwarded_response(answer: Answer, hop: HopKind, in_flight: CountGuard) -> Response<DaemonBody> {
    let mut head = answer.head;
    match hop {
        HopKind::Attempt => hop::strip_answer_for_owner(&mut head.headers),
        HopKind::Owner | HopKind::Issuer | HopKind::Probe => hop::strip_answer(&mut head.headers),
    }
    head.version = http::Version::HTTP_2;
    Response::from_parts(head, answer.body.with_in_flight(in_flight))
}

fn refusal_response(refusal: Refusal) -> Response<DaemonBody> {
    let mut answer = Response::new(DaemonBody::buffered(bytes::Bytes::new()));
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    hop::write_refusal(refusal, answer.headers_mut());
    answer
}
