//! Issues tickets, and runs calls with tickets or forwards them to the issuer.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::rc::Rc;

use bytes::Bytes;
use celeryknot_callers::CallerRequest;
use celeryknot_callers::problem::problem_response;
use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::{DurationMs, ErrorKind, Execution, Refusal, ServiceName, SizeBytes, header};
use celeryknot_operators::metrics::RequestKind;
use celeryknot_policy::ticket::{Claim, Ticket, TicketError};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use serde::Serialize;

use super::body::DaemonBody;
use super::context::ThreadContext;
use super::dispatch::Dispatch;
use super::failure::Failure;
use super::hop;
use super::owner::Answer;
use super::peer_connection::{self, ForwardTarget};
use super::requests::{ValidatedRequest, header_value};
use super::shared::CountGuard;
use super::ticket_actor::{StoredAnswer, TicketMessage, TicketOutcome};

#[cfg(test)]
mod tests;

/// Limits the size of a response that is stored for a ticket.
const STORED_SIZE_MAX: SizeBytes = SizeBytes(1 << 20);

/// Attempts to reach the issuer of a ticket; the ticket makes retries safe.
const ISSUER_ATTEMPTS: u32 = 2;

/// Margin above the issuer's own timeouts, so that its response arrives first.
const ISSUER_MARGIN: DurationMs = DurationMs(2_000);

#[derive(Serialize)]
struct TicketList {
    tickets: Vec<String>,
}

/// Serves a request for tickets.
pub(crate) async fn issue(
    context: &Rc<ThreadContext>,
    request: &CallerRequest,
    service: &ServiceName,
    count: u32,
) -> Result<Response<DaemonBody>, Refusal> {
    let metrics = &context.shared.metrics.traffic;
    metrics.service(service).count_request(RequestKind::Tickets);
    let ticket_list = TicketList {
        tickets: issue_tickets(context, request.customer.clone(), service, count).await?,
    };
    let body = serde_json::to_vec(&ticket_list).expect("a list of strings serializes to JSON");
    let mut answer = Response::new(DaemonBody::buffered(Bytes::from(body)));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(answer)
}

async fn issue_tickets(
    context: &Rc<ThreadContext>,
    customer: celeryknot_core::CustomerName,
    service: &ServiceName,
    count: u32,
) -> Result<Vec<String>, Refusal> {
    let (reply, replies) = async_channel::bounded(1);
    let message = TicketMessage::Issue {
        customer,
        service: service.clone(),
        count,
        reply,
    };
    // The channel is closed only when the daemon shuts down.
    let _ = context.shared.ticket_sender.send(message).await;
    let tickets = replies
        .recv()
        .await
        .map_err(|_| Refusal::new(ErrorKind::Draining))?;
    context
        .shared
        .metrics
        .traffic
        .tickets_issued
        .inc_by(u64::from(count));
    let keys = &context.shared.settings.caller_keys;
    Ok(tickets.iter().map(|ticket| ticket.to_text(keys)).collect())
}

/// Runs a call that must not run twice, with the caller's idempotency key.
pub(crate) async fn run_with_key(
    context: &Rc<ThreadContext>,
    call: ValidatedRequest,
    key: Option<&str>,
) -> Result<Answer, Refusal> {
    let keys = &context.shared.settings.caller_keys;
    let parsed = key.map_or(Err(TicketError::NotATicket), |key| Ticket::parse(key, keys));
    match (parsed, key) {
        (Err(TicketError::NotATicket), _) | (_, None) => require_ticket(context, call).await,
        (Err(TicketError::Forged), _) => Err(Refusal::new(ErrorKind::TicketInvalid)),
        (Ok(ticket), Some(text)) => {
            check_ticket_matches(&ticket, &call).map_err(Refusal::new)?;
            run_with_ticket(context, ticket, call, text).await
        }
    }
}

/// Reads the ticket of a call that the entry daemon has checked already.
///
/// # Errors
///
/// `TicketInvalid` if it is no ticket of this fleet, customer and service.
pub(crate) fn read_ticket(
    context: &Rc<ThreadContext>,
    call: &ValidatedRequest,
    text: &str,
) -> Result<Ticket, ErrorKind> {
    let ticket = Ticket::parse(text, &context.shared.settings.caller_keys)
        .map_err(|_| ErrorKind::TicketInvalid)?;
    check_ticket_matches(&ticket, call)?;
    Ok(ticket)
}

/// Corrects a refusal that was made without a lookup in the issuer's ticket registry.
///
/// An earlier submission of the ticket may have run the call, so that `not-run` would be wrong.
pub(crate) fn without_registry_lookup(refusal: Refusal) -> Refusal {
    let is_of_this_submission = matches!(
        refusal.kind,
        ErrorKind::NotReady
            | ErrorKind::Paused
            | ErrorKind::Draining
            | ErrorKind::DeadlinePast
            | ErrorKind::RequestTimeout
    );
    if !is_of_this_submission {
        return refusal;
    }
    let unknown = Refusal::new(ErrorKind::IssuerUnreachable);
    Refusal {
        retry_after_ms: refusal.retry_after_ms.or(unknown.retry_after_ms),
        ..unknown
    }
}

/// Returns whether a key is a ticket of this fleet.
pub(crate) fn is_ticket(context: &Rc<ThreadContext>, key: &str) -> bool {
    Ticket::parse(key, &context.shared.settings.caller_keys).is_ok()
}

fn check_ticket_matches(ticket: &Ticket, call: &ValidatedRequest) -> Result<(), ErrorKind> {
    if ticket.customer == call.customer && ticket.service == call.service.name {
        return Ok(());
    }
    Err(ErrorKind::TicketInvalid)
}

/// Refuses the call and returns a ticket for its retry.
async fn require_ticket(
    context: &Rc<ThreadContext>,
    call: ValidatedRequest,
) -> Result<Answer, Refusal> {
    let tickets = issue_tickets(context, call.customer.clone(), &call.service.name, 1).await?;
    let kind = ErrorKind::TicketRequired;
    context.shared.metrics.traffic.refused(kind);
    let mut answer = problem_response(Refusal::new(kind), call.id);
    if let Some(ticket) = tickets.first() {
        answer
            .headers_mut()
            .insert(header::IDEMPOTENCY_KEY, header_value(ticket));
    }
    let (head, body) = answer.into_parts();
    Ok(Answer {
        head,
        body: DaemonBody::buffered(body),
    })
}

async fn run_with_ticket(
    context: &Rc<ThreadContext>,
    ticket: Ticket,
    call: ValidatedRequest,
    text: &str,
) -> Result<Answer, Refusal> {
    if ticket.issuer == context.shared.settings.name {
        return run_as_issuer(context, ticket, call).await;
    }
    let mut refusal = Refusal::new(ErrorKind::IssuerUnreachable);
    for _ in 0..ISSUER_ATTEMPTS {
        refusal = match try_issuer(context, &ticket, &call, text).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if refusal.kind != ErrorKind::IssuerUnreachable {
            return Err(refusal);
        }
    }
    Err(refusal)
}

async fn try_issuer(
    context: &Rc<ThreadContext>,
    ticket: &Ticket,
    call: &ValidatedRequest,
    text: &str,
) -> Result<Answer, Refusal> {
    let snapshot = context.snapshot();
    // An issuer that is not listed may be one that this daemon has not discovered yet.
    let Some(member) = snapshot.members.get(&ticket.issuer) else {
        return Err(Refusal::new(ErrorKind::IssuerUnreachable));
    };
    let settings = &call.service.settings;
    let wait_ms = settings.queue_wait_max_ms.0 + settings.first_byte_timeout_ms.0;
    let target = ForwardTarget {
        member: &member.name,
        address: member.forwards_address,
        may_resend: false,
        deadline_at: call.deadline_at,
        timeout_ms: DurationMs(wait_ms + ISSUER_MARGIN.0),
        idle_timeout: DurationMs(settings.idle_timeout_ms.0 + ISSUER_MARGIN.0),
    };
    let result = peer_connection::forward_to_issuer(context, target, call, text).await;
    let Err(refusal) = result else {
        return result;
    };
    let has_restarted = member
        .incarnation
        .is_some_and(|incarnation| incarnation != ticket.incarnation);
    // The issuer may have run the call for an earlier submission.
    Err(match Failure::from(refusal.kind) {
        Failure::NoConnection if has_restarted => Refusal::new(ErrorKind::IssuerGone),
        Failure::NoConnection | Failure::ConnectionLost => {
            Refusal::new(ErrorKind::IssuerUnreachable)
        }
        Failure::Final
        | Failure::NotAdmitted
        | Failure::Stalled
        | Failure::Refused
        | Failure::TimedOut
        | Failure::Incomplete
        | Failure::Mismatched
        | Failure::TooLarge => without_registry_lookup(refusal),
    })
}

/// Runs the call on its first submission, and replays the stored response to later ones.
pub(crate) async fn run_as_issuer(
    context: &Rc<ThreadContext>,
    ticket: Ticket,
    call: ValidatedRequest,
) -> Result<Answer, Refusal> {
    let (reply, replies) = async_channel::bounded(1);
    let message = TicketMessage::Claim {
        ticket: ticket.clone(),
        fingerprint: fingerprint(&call),
        reply,
    };
    let (result_sender, results) = async_channel::bounded(1);
    let in_flight = CountGuard::new(&context.shared.in_flight);
    let run = run_claimed(
        Rc::clone(context),
        ticket,
        call,
        replies,
        result_sender,
        in_flight,
    );
    // The call runs to its end even if the caller disconnects, so that its response is stored.
    context.executor.spawn(run).detach();
    // The channel is closed only when the daemon shuts down.
    let _ = context.shared.ticket_sender.send(message).await;
    results
        .recv()
        .await
        .unwrap_or(Err(Refusal::new(ErrorKind::InternalError)))
        .map(into_answer)
}

async fn run_claimed(
    context: Rc<ThreadContext>,
    ticket: Ticket,
    call: ValidatedRequest,
    claims: async_channel::Receiver<Claim<StoredAnswer>>,
    result_sender: async_channel::Sender<Result<StoredAnswer, Refusal>>,
    _in_flight: CountGuard,
) {
    let Ok(claim) = claims.recv().await else {
        return;
    };
    let result = match claim {
        Claim::Run => run_once(&context, ticket, call).await,
        Claim::Answered(answer) => {
            context.shared.metrics.traffic.tickets_replayed.inc();
            Ok(answer)
        }
        Claim::InProgress => Err(Refusal::new(ErrorKind::TicketInProgress)),
        Claim::AnswerEvicted => Err(Refusal::new(ErrorKind::TicketSpent)),
        Claim::Unknown => Err(Refusal::new(ErrorKind::OutcomeUnknown)),
        Claim::Mismatched => Err(Refusal::new(ErrorKind::TicketMismatched)),
        Claim::Invalid => Err(Refusal::new(ErrorKind::TicketInvalid)),
        Claim::Gone => Err(Refusal::new(ErrorKind::IssuerGone)),
        Claim::Busy => Err(Refusal::new(ErrorKind::QueueFull)),
    };
    // The caller may have disconnected.
    let _ = result_sender.try_send(result);
}

async fn run_once(
    context: &Rc<ThreadContext>,
    ticket: Ticket,
    call: ValidatedRequest,
) -> Result<StoredAnswer, Refusal> {
    let dispatch = Dispatch::new(Rc::clone(context), Rc::new(call));
    let result = run_dispatch(&dispatch).await;
    let outcome = match &result {
        Ok(answer) => TicketOutcome::Answered(answer.clone()),
        Err(refusal) => match refusal.kind.answer().execution {
            Execution::NotRun => TicketOutcome::NotRun,
            Execution::Run | Execution::Unknown => TicketOutcome::Unknown,
        },
    };
    // The channel is closed only when the daemon shuts down.
    let _ = context
        .shared
        .ticket_sender
        .send(TicketMessage::End { ticket, outcome })
        .await;
    result
}

async fn run_dispatch(dispatch: &Dispatch) -> Result<StoredAnswer, Refusal> {
    dispatch.check_crashes()?;
    let placed = dispatch.next_answer(None).await?;
    let answer = buffer_stored_answer(placed.answer).await?;
    dispatch.record_sound_answer(&placed.endpoint);
    Ok(answer)
}

/// Reads a response completely, up to the size limit.
async fn buffer_stored_answer(answer: Answer) -> Result<StoredAnswer, Refusal> {
    let mut head = answer.head;
    let body = http_body_util::Limited::new(answer.body, STORED_SIZE_MAX.0 as usize)
        .collect()
        .await
        .map_err(|error| {
            let kind = error
                .downcast_ref::<celeryknot_endpoints::AnswerError>()
                .map_or(ErrorKind::AnswerTooLarge, |error| error.0);
            Refusal::new(kind)
        })?
        .to_bytes();
    hop::strip_answer(&mut head.headers);
    Ok(StoredAnswer {
        status: head.status,
        headers: head.headers,
        body,
        has_unverified_end: UnverifiedEnd::is_set(&head.extensions),
    })
}

fn into_answer(answer: StoredAnswer) -> Answer {
    let mut response = Response::new(DaemonBody::buffered(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    if answer.has_unverified_end {
        response.extensions_mut().insert(UnverifiedEnd);
    }
    let (head, body) = response.into_parts();
    Answer { head, body }
}

/// Hashes the parts that identify a call; the hash never leaves the process.
fn fingerprint(call: &ValidatedRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    for part in [
        call.method.as_str().as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
