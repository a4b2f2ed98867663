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
use super::hop::{self, Hop};
use super::owner::{self, Answered};
use super::shared::Counted;
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
        Err(kind) => return Ok(refused(Refusal::new(kind))),
    };
    if hop == Hop::Alive {
        let mut answer = Response::new(DaemonBody::whole(bytes::Bytes::new()));
        *answer.status_mut() = StatusCode::NO_CONTENT;
        return Ok(answer);
    }
    context.shared.metrics.traffic.forwards_in.inc();
    let in_flight = Counted::new(&context.shared.in_flight);
    let result = match hop {
        Hop::Owner => take_attempt(&context, head, body).await,
        Hop::Issuer => take_ticketed(&context, head, body).await,
        Hop::Alive => Err(Refusal::new(ErrorKind::InternalError)),
    };
    Ok(match result {
        Ok(answered) => passed_on(answered, in_flight),
        Err(refusal) => refused(refusal),
    })
}

async fn take_attempt(
    context: &Rc<ThreadContext>,
    head: http::request::Parts,
    body: Incoming,
) -> Result<Answered, Refusal> {
    let snapshot = context.snapshot();
    if !snapshot.is_ready {
        return Err(Refusal::new(ErrorKind::NotReady));
    }
    let service = hop::read_service(&head.headers, &snapshot).map_err(Refusal::new)?;
    let size_max = service.settings.request_size_max_bytes;
    let (body, _room) = read_bounded(context, body, size_max)
        .await
        .map_err(Refusal::new)?;
    let work = hop::read_attempt(&head, service, body, context.now()).map_err(Refusal::new)?;
    let answered = owner::run(context, &work, || Ok(())).await?;
    read_if_small(answered).await
}

/// Buffers a small response completely, so that a broken one is refused with its error kind.
async fn read_if_small(answered: Answered) -> Result<Answered, Refusal> {
    if !answered.body.is_small() {
        return Ok(answered);
    }
    let collected = answered.body.collect().await;
    let bytes = collected.map_err(|error| Refusal::new(error.0))?.to_bytes();
    Ok(Answered {
        head: answered.head,
        body: DaemonBody::whole(bytes),
    })
}

async fn take_ticketed(
    context: &Rc<ThreadContext>,
    head: http::request::Parts,
    body: Incoming,
) -> Result<Answered, Refusal> {
    let snapshot = context.snapshot();
    let service = hop::read_service(&head.headers, &snapshot).map_err(Refusal::new)?;
    let size_max = service.settings.request_size_max_bytes;
    let (body, room) = read_bounded(context, body, size_max)
        .await
        .map_err(Refusal::new)?;
    let (work, text) =
        hop::read_ticketed(&head, service, body, room, context.now()).map_err(Refusal::new)?;
    let ticket = ticketed::read_ticket(context, &work, &text).map_err(Refusal::new)?;
    ticketed::run_as_issuer(context, ticket, work).await
}

fn passed_on(answered: Answered, in_flight: Counted) -> Response<DaemonBody> {
    let mut head = answered.head;
    hop::strip_answer(&mut head.headers);
    head.version = http::Version::HTTP_2;
    Response::from_parts(head, answered.body.counted(in_flight))
}

fn refused(refusal: Refusal) -> Response<DaemonBody> {
    let mut answer = Response::new(DaemonBody::whole(bytes::Bytes::new()));
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    hop::write_refusal(refusal, answer.headers_mut());
    answer
}
