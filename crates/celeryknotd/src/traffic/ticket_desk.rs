//! Actor that holds the tickets issued by this daemon, in one of its threads.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName, SizeBytes};
use celeryknot_policy::ticket::{Claim, Ticket, TicketBook, TicketBookLimits};
use http::{HeaderMap, StatusCode};
use prometheus::IntGauge;

/// Response that is replayed to later submissions of the same ticket.
#[derive(Debug, Clone)]
pub(crate) struct StoredAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredAnswer {
    /// Returns the memory that the response uses.
    fn size(&self) -> SizeBytes {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        SizeBytes((headers + self.body.len()) as u64)
    }
}

/// Outcome of the call of a ticket.
#[derive(Debug)]
pub(crate) enum TicketEnd {
    /// The call was answered.
    Answered(StoredAnswer),
    /// The call was not run.
    NotRun,
    /// It is unknown whether the call was run.
    Unknown,
}

/// Message to the ticket actor.
#[derive(Debug)]
pub(crate) enum TicketMessage {
    /// Issues new tickets.
    Issue {
        customer: CustomerName,
        service: ServiceName,
        count: u32,
        reply: Sender<Vec<Ticket>>,
    },
    /// Claims a ticket for a call that arrived.
    Claim {
        ticket: Ticket,
        fingerprint: u64,
        reply: Sender<Claim<StoredAnswer>>,
    },
    /// Records how the call of a ticket ended.
    End { ticket: Ticket, end: TicketEnd },
}

/// Serves ticket messages until the daemon shuts down.
pub(crate) async fn keep_tickets(
    member: MemberName,
    incarnation: Incarnation,
    messages: Receiver<TicketMessage>,
    held: IntGauge,
) {
    let mut book = TicketBook::new(member, incarnation, TicketBookLimits::default());
    while let Ok(message) = messages.recv().await {
        take(&mut book, message);
        held.set(book.answers() as i64);
    }
}

fn take(book: &mut TicketBook<StoredAnswer>, message: TicketMessage) {
    match message {
        TicketMessage::Issue {
            customer,
            service,
            count,
            reply,
        } => {
            let tickets = (0..count)
                .map(|_| book.issue(customer.clone(), service.clone()))
                .collect();
            // If the caller disconnected, its unused ticket numbers cost nothing.
            let _ = reply.try_send(tickets);
        }
        TicketMessage::Claim {
            ticket,
            fingerprint,
            reply,
        } => {
            let claim = book.claim(&ticket, fingerprint);
            let is_run = matches!(claim, Claim::Run);
            if reply.try_send(claim).is_err() && is_run {
                // The claimant is gone, so that the call will not run.
                book.release_not_run(&ticket);
            }
        }
        TicketMessage::End { ticket, end } => {
            match end {
                TicketEnd::Answered(answer) => {
                    let size = answer.size();
                    book.complete(&ticket, answer, size)
                }
                TicketEnd::NotRun => book.release_not_run(&ticket),
                TicketEnd::Unknown => book.set_unknown(&ticket),
            };
        }
    }
}
