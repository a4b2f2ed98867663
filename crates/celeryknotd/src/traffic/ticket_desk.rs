//! The tickets that this daemon issued, kept by one of its threads.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName, SizeBytes};
use celeryknot_policy::ticket::{Claim, Ticket, TicketBook, TicketBookLimits};
use http::{HeaderMap, StatusCode};
use prometheus::IntGauge;

/// An answer that is given again to later submissions.
#[derive(Debug, Clone)]
pub(crate) struct StoredAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredAnswer {
    /// Returns what the answer costs in memory.
    fn size(&self) -> SizeBytes {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        SizeBytes((headers + self.body.len()) as u64)
    }
}

/// How the call of a ticket ended.
#[derive(Debug)]
pub(crate) enum TicketEnd {
    /// With an answer.
    Answered(StoredAnswer),
    /// It was not run.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// A message to the thread that keeps the tickets.
#[derive(Debug)]
pub(crate) enum TicketMessage {
    /// Fresh tickets are wanted.
    Issue {
        customer: CustomerName,
        service: ServiceName,
        count: u32,
        reply: Sender<Vec<Ticket>>,
    },
    /// A call with a ticket came in.
    Claim {
        ticket: Ticket,
        fingerprint: u64,
        reply: Sender<Claim<StoredAnswer>>,
    },
    /// The call of a ticket has ended.
    End { ticket: Ticket, end: TicketEnd },
}

/// Keeps the tickets until the daemon ends.
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
            // A caller that went away leaves unused numbers behind, which cost nothing.
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
                // Nobody is there to run it.
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
