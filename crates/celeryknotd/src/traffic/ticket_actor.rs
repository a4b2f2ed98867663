//! Actor that holds the tickets issued by this daemon, in one of its threads.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName, SizeBytes};
use celeryknot_policy::ticket::{Claim, Ticket, TicketRegistry, TicketRegistryLimits};
use http::{HeaderMap, StatusCode};
use prometheus::IntGauge;

/// Response that is replayed to later submissions.
#[derive(Debug, Clone)]
pub(crate) struct StoredAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body may have been truncated before its end.
    pub(crate) has_unverified_end: bool,
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
pub(crate) enum TicketOutcome {
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
    /// Claims a ticket for a call.
    Claim {
        ticket: Ticket,
        fingerprint: u64,
        reply: Sender<Claim<StoredAnswer>>,
    },
    /// Records how the call of a ticket ended.
    End {
        ticket: Ticket,
        outcome: TicketOutcome,
    },
}

/// Serves ticket messages until the daemon shuts down.
pub(crate) async fn run_ticket_actor(
    member: MemberName,
    incarnation: Incarnation,
    messages: Receiver<TicketMessage>,
    tickets_held: IntGauge,
) {
    let mut registry = TicketRegistry::new(member, incarnation, TicketRegistryLimits::default());
    while let Ok(message) = messages.recv().await {
        handle_message(&mut registry, message);
        tickets_held.set(registry.answers() as i64);
    }
}

fn handle_message(registry: &mut TicketRegistry<StoredAnswer>, message: TicketMessage) {
    match message {
        TicketMessage::Issue {
            customer,
            service,
            count,
            reply,
        } => {
            let tickets = (0..count)
                .map(|_| registry.issue(customer.clone(), service.clone()))
                .collect();
            // If the caller disconnected, its unused ticket numbers cost nothing.
            let _ = reply.try_send(tickets);
        }
        TicketMessage::Claim {
            ticket,
            fingerprint,
            reply,
        } => {
            let claim = registry.claim(&ticket, fingerprint);
            let is_run = matches!(claim, Claim::Run);
            if reply.try_send(claim).is_err() && is_run {
                // The claiming task has ended and does not run the call.
                registry.release_not_run(&ticket);
            }
        }
        TicketMessage::End { ticket, outcome } => {
            match outcome {
                TicketOutcome::Answered(answer) => {
                    let size = answer.size();
                    registry.complete(&ticket, answer, size)
                }
                TicketOutcome::NotRun => registry.release_not_run(&ticket),
                TicketOutcome::Unknown => registry.mark_unknown(&ticket),
            };
        }
    }
}
