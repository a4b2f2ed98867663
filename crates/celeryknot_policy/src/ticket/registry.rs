//! The issuer's in-memory registry of its tickets.

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName, SizeBytes};

use super::text::Ticket;
use super::used::{UsedState, UsedTickets};

/// The limits of the issuer's registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketRegistryLimits {
    /// Maximum number of concurrent calls with tickets.
    pub in_progress_max: usize,
    /// Maximum number of stored responses.
    pub answers_max: usize,
    /// Maximum total size of stored responses.
    pub answers_size_max_bytes: SizeBytes,
    /// Minimum number of tickets whose used marks are kept.
    pub tickets_max: u64,
}

impl Default for TicketRegistryLimits {
    fn default() -> Self {
        Self {
            in_progress_max: 4_096,
            answers_max: 16_384,
            answers_size_max_bytes: SizeBytes(64 << 20),
            tickets_max: 1 << 26,
        }
    }
}

/// The issuer's decision on a call with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Claim<A> {
    /// The call must be run now; its end must be recorded by `complete`, `release_not_run` or
    /// `mark_unknown`.
    Run,
    /// The first submission is running.
    InProgress,
    /// The call was run; this is its response.
    Answered(A),
    /// The call was run; its response was evicted.
    AnswerEvicted,
    /// The call may have been run; its outcome stays unknown.
    Unknown,
    /// The ticket was first used with a different request.
    Mismatched,
    /// The ticket was never issued by this incarnation of the daemon.
    Invalid,
    /// The ticket belongs to another incarnation or daemon, or is too old for a used mark.
    Gone,
    /// Too many calls with tickets are running; this one was refused without running.
    Busy,
}

#[derive(Debug, Clone)]
struct Call<A> {
    fingerprint: u64,
    answer: Option<(A, SizeBytes)>,
}

/// Issues tickets and ensures that the call of each runs at most once.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{Incarnation, SizeBytes};
/// use celeryknot_policy::ticket::{Claim, TicketRegistry, TicketRegistryLimits};
///
/// let mut registry = TicketRegistry::<&str>::new(
///     "daemon-1".parse()?,
///     Incarnation(7),
///     TicketRegistryLimits::default(),
/// );
/// let ticket = registry.issue("otaru".parse()?, "case-svc".parse()?);
/// assert_eq!(registry.claim(&ticket, 99), Claim::Run);
/// assert_eq!(registry.claim(&ticket, 99), Claim::InProgress);
/// registry.complete(&ticket, "booked", SizeBytes(6));
/// assert_eq!(registry.claim(&ticket, 99), Claim::Answered("booked"));
/// assert_eq!(registry.claim(&ticket, 98), Claim::Mismatched);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct TicketRegistry<A> {
    issuer: MemberName,
    incarnation: Incarnation,
    limits: TicketRegistryLimits,
    next_counter: u64,
    used: UsedTickets,
    calls: BTreeMap<u64, Call<A>>,
    answered: VecDeque<u64>,
    answers_size: SizeBytes,
}

impl<A: Clone> TicketRegistry<A> {
    /// Creates the registry of one incarnation of a daemon.
    pub fn new(issuer: MemberName, incarnation: Incarnation, limits: TicketRegistryLimits) -> Self {
        Self {
            issuer,
            incarnation,
            limits,
            next_counter: 0,
            used: UsedTickets::new(limits.tickets_max),
            calls: BTreeMap::new(),
            answered: VecDeque::new(),
            answers_size: SizeBytes(0),
        }
    }

    /// Issues a new ticket.
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

    /// Decides whether the call with a verified ticket runs.
    ///
    /// The fingerprint covers what identifies the call: method, path, query and body.
    pub fn claim(&mut self, ticket: &Ticket, fingerprint: u64) -> Claim<A> {
        if ticket.issuer != self.issuer || ticket.incarnation != self.incarnation {
            return Claim::Gone;
        }
        if ticket.counter >= self.next_counter {
            return Claim::Invalid;
        }
        if let Some(call) = self.calls.get(&ticket.counter) {
            return call.claim(fingerprint);
        }
        match self.used.state(ticket.counter) {
            UsedState::Used => Claim::AnswerEvicted,
            UsedState::Unknown => Claim::Unknown,
            UsedState::Evicted => Claim::Gone,
            UsedState::Unused => self.start_call(ticket.counter, fingerprint),
        }
    }

    /// Ends a running call and stores its response for later submissions.
    ///
    /// Returns `false` and stores nothing if the ticket's call is not running.
    pub fn complete(&mut self, ticket: &Ticket, answer: A, size: SizeBytes) -> bool {
        let Some(call) = self.running_mut(ticket) else {
            return false;
        };
        call.answer = Some((answer, size));
        self.answers_size.0 = self.answers_size.0.saturating_add(size.0);
        self.answered.push_back(ticket.counter);
        self.evict_oldest_answers();
        true
    }

    /// Ends a call that is known not to have run; the ticket may be used again.
    ///
    /// Returns `false` if the ticket's call is not running.
    pub fn release_not_run(&mut self, ticket: &Ticket) -> bool {
        self.end_without_answer(ticket, UsedState::Unused)
    }

    /// Ends a running call whose outcome is unknown; the ticket can't be used again.
    ///
    /// Returns `false` if the ticket's call is not running.
    pub fn mark_unknown(&mut self, ticket: &Ticket) -> bool {
        self.end_without_answer(ticket, UsedState::Unknown)
    }

    /// Returns the number of running calls with tickets.
    pub fn in_progress(&self) -> usize {
        self.calls.len() - self.answered.len()
    }

    /// Returns the number of stored responses.
    pub fn answers(&self) -> usize {
        self.answered.len()
    }

    /// Returns the bytes of stored responses.
    pub fn answers_size(&self) -> SizeBytes {
        self.answers_size
    }

    fn start_call(&mut self, counter: u64, fingerprint: u64) -> Claim<A> {
        if self.in_progress() >= self.limits.in_progress_max {
            return Claim::Busy;
        }
        if !self.used.set(counter, UsedState::Used) {
            return Claim::Gone;
        }
        let answer = None;
        self.calls.insert(
            counter,
            Call {
                fingerprint,
                answer,
            },
        );
        Claim::Run
    }

    fn running_mut(&mut self, ticket: &Ticket) -> Option<&mut Call<A>> {
        if ticket.issuer != self.issuer || ticket.incarnation != self.incarnation {
            return None;
        }
        let call = self.calls.get_mut(&ticket.counter)?;
        call.answer.is_none().then_some(call)
    }

    fn end_without_answer(&mut self, ticket: &Ticket, state: UsedState) -> bool {
        if self.running_mut(ticket).is_none() {
            return false;
        }
        self.calls.remove(&ticket.counter);
        self.used.set(ticket.counter, state);
        true
    }

    fn evict_oldest_answers(&mut self) {
        while self.answered.len() > self.limits.answers_max
            || self.answers_size > self.limits.answers_size_max_bytes
        {
            let Some(counter) = self.answered.pop_front() else {
                return;
            };
            if let Some(Call {
                answer: Some((_, size)),
                ..
            }) = self.calls.remove(&counter)
            {
                self.answers_size.0 = self.answers_size.0.saturating_sub(size.0);
            }
        }
    }
}

impl<A: Clone> Call<A> {
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
