//! The issuer's memory of its tickets.

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName, SizeBytes};

use super::text::Ticket;
use super::used::{UsedState, UsedTickets};

/// How much the issuer remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketBookLimits {
    /// Most calls with tickets that run at the same time.
    pub in_progress_max: usize,
    /// Most answers held.
    pub answers_max: usize,
    /// Most bytes of answers held.
    pub answers_size_max_bytes: SizeBytes,
    /// Tickets of which it is remembered whether they were used.
    pub tickets_max: u64,
}

impl Default for TicketBookLimits {
    fn default() -> Self {
        Self {
            in_progress_max: 4_096,
            answers_max: 16_384,
            answers_size_max_bytes: SizeBytes(64 << 20),
            tickets_max: 1 << 26,
        }
    }
}

/// What the issuer says to a call with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Claim<A> {
    /// The call is to be run now; its end must be told by `complete`, `release_not_run` or
    /// `set_unknown`.
    Run,
    /// The first submission is running.
    InProgress,
    /// The call was run; this is its answer.
    Answered(A),
    /// The call was run; its answer is no longer held.
    Spent,
    /// The call may have been run; nobody will learn more.
    Unknown,
    /// The ticket was first used with another request.
    Mismatched,
    /// The ticket was never issued by this daemon in this life's numbering.
    Invalid,
    /// The ticket belongs to another life of this daemon, or is too old to be remembered.
    Gone,
    /// Too many calls with tickets are running; this one was not run.
    Busy,
}

#[derive(Debug, Clone)]
struct Held<A> {
    fingerprint: u64,
    answer: Option<(A, SizeBytes)>,
}

/// Issues tickets and lets each run at most once.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{Incarnation, SizeBytes};
/// use celeryknot_policy::ticket::{Claim, TicketBook, TicketBookLimits};
///
/// let mut book = TicketBook::<&str>::new(
///     "daemon-1".parse()?,
///     Incarnation(7),
///     TicketBookLimits::default(),
/// );
/// let ticket = book.issue("otaru".parse()?, "case-svc".parse()?);
/// assert_eq!(book.claim(&ticket, 99), Claim::Run);
/// assert_eq!(book.claim(&ticket, 99), Claim::InProgress);
/// book.complete(&ticket, "booked", SizeBytes(6));
/// assert_eq!(book.claim(&ticket, 99), Claim::Answered("booked"));
/// assert_eq!(book.claim(&ticket, 98), Claim::Mismatched);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct TicketBook<A> {
    issuer: MemberName,
    incarnation: Incarnation,
    limits: TicketBookLimits,
    next_counter: u64,
    used: UsedTickets,
    held: BTreeMap<u64, Held<A>>,
    answered: VecDeque<u64>,
    answers_size: SizeBytes,
}

impl<A: Clone> TicketBook<A> {
    /// Starts the book of one life of a daemon.
    pub fn new(issuer: MemberName, incarnation: Incarnation, limits: TicketBookLimits) -> Self {
        Self {
            issuer,
            incarnation,
            limits,
            next_counter: 0,
            used: UsedTickets::new(limits.tickets_max),
            held: BTreeMap::new(),
            answered: VecDeque::new(),
            answers_size: SizeBytes(0),
        }
    }

    /// Issues a fresh ticket.
    pub fn issue(&mut self, customer: CustomerName, service: ServiceName) -> Ticket {
        let counter = self.next_counter;
        self.next_counter += 1;
        Ticket {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            counter,
            customer,
            service,
        }
    }

    /// Decides about a call with a verified ticket.
    ///
    /// The fingerprint stands for all that makes the call the same: method, path, query and body.
    pub fn claim(&mut self, ticket: &Ticket, fingerprint: u64) -> Claim<A> {
        if ticket.issuer != self.issuer || ticket.incarnation != self.incarnation {
            return Claim::Gone;
        }
        if ticket.counter >= self.next_counter {
            return Claim::Invalid;
        }
        if let Some(held) = self.held.get(&ticket.counter) {
            return held.claim(fingerprint);
        }
        match self.used.state(ticket.counter) {
            UsedState::Used => Claim::Spent,
            UsedState::Unknown => Claim::Unknown,
            UsedState::Forgotten => Claim::Gone,
            UsedState::Unused => self.run(ticket.counter, fingerprint),
        }
    }

    /// Ends a running call with its answer, which later submissions get.
    ///
    /// Returns `false`, and keeps nothing, if the ticket is not running.
    pub fn complete(&mut self, ticket: &Ticket, answer: A, size: SizeBytes) -> bool {
        let Some(held) = self.running_mut(ticket) else {
            return false;
        };
        held.answer = Some((answer, size));
        self.answers_size.0 = self.answers_size.0.saturating_add(size.0);
        self.answered.push_back(ticket.counter);
        self.drop_oldest_answers();
        true
    }

    /// Ends a running call that is known not to have run; the ticket may run again.
    ///
    /// Returns `false` if the ticket is not running.
    pub fn release_not_run(&mut self, ticket: &Ticket) -> bool {
        self.end_without_answer(ticket, UsedState::Unused)
    }

    /// Ends a running call whose outcome is unknown; the ticket never runs again.
    ///
    /// Returns `false` if the ticket is not running.
    pub fn set_unknown(&mut self, ticket: &Ticket) -> bool {
        self.end_without_answer(ticket, UsedState::Unknown)
    }

    /// Returns the number of calls with tickets that are running.
    pub fn in_progress(&self) -> usize {
        self.held.len() - self.answered.len()
    }

    /// Returns the number of answers held.
    pub fn answers(&self) -> usize {
        self.answered.len()
    }

    /// Returns the bytes of answers held.
    pub fn answers_size(&self) -> SizeBytes {
        self.answers_size
    }

    fn run(&mut self, counter: u64, fingerprint: u64) -> Claim<A> {
        if self.in_progress() >= self.limits.in_progress_max {
            return Claim::Busy;
        }
        if !self.used.set(counter, UsedState::Used) {
            return Claim::Gone;
        }
        let answer = None;
        self.held.insert(
            counter,
            Held {
                fingerprint,
                answer,
            },
        );
        Claim::Run
    }

    fn running_mut(&mut self, ticket: &Ticket) -> Option<&mut Held<A>> {
        if ticket.issuer != self.issuer || ticket.incarnation != self.incarnation {
            return None;
        }
        let held = self.held.get_mut(&ticket.counter)?;
        held.answer.is_none().then_some(held)
    }

    fn end_without_answer(&mut self, ticket: &Ticket, state: UsedState) -> bool {
        if self.running_mut(ticket).is_none() {
            return false;
        }
        self.held.remove(&ticket.counter);
        self.used.set(ticket.counter, state);
        true
    }

    fn drop_oldest_answers(&mut self) {
        while self.answered.len() > self.limits.answers_max
            || self.answers_size > self.limits.answers_size_max_bytes
        {
            let Some(counter) = self.answered.pop_front() else {
                return;
            };
            if let Some(Held {
                answer: Some((_, size)),
                ..
            }) = self.held.remove(&counter)
            {
                self.answers_size.0 = self.answers_size.0.saturating_sub(size.0);
            }
        }
    }
}

impl<A: Clone> Held<A> {
    fn claim(&self, fingerprint: u64) -> Claim<A> {
        if self.fingerprint != fingerprint {
            return Claim::Mismatched;
        }
        match &self.answer {
            Some((answer, _)) => Claim::Answered(answer.clone()),
            None => Claim::InProgress,
        }
    }
}
