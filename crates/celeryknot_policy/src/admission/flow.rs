//! The queued and running requests of one customer at one endpoint.

use celeryknot_core::{DurationMs, MonotonicMs, RequestId};

use super::request::AdmissionRequest;

/// Wait that raises a request by one class of urgency among those of its customer.
const AGE_STEP_MS: u64 = 1_000;

/// A request that waits in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) sequence: u64,
    pub(crate) queued_at: MonotonicMs,
    pub(crate) urgency: u8,
    pub(crate) cost_tokens: u32,
    pub(crate) deadline_at: Option<MonotonicMs>,
    pub(crate) needs_complete_answer: bool,
}

impl QueuedRequest {
    pub(crate) fn new(now: MonotonicMs, sequence: u64, request: &AdmissionRequest) -> Self {
        Self {
            id: request.id,
            sequence,
            queued_at: now,
            urgency: request.urgency,
            cost_tokens: request.cost_tokens,
            deadline_at: request.deadline_at,
            needs_complete_answer: request.needs_complete_answer,
        }
    }

    /// Returns the urgency after ageing; lower is more urgent, without a lower bound.
    pub(crate) fn aged_urgency(&self, now: MonotonicMs) -> i64 {
        i64::from(self.urgency) - ((now - self.queued_at).0 / AGE_STEP_MS) as i64
    }

    fn rank(&self, now: MonotonicMs) -> (i64, u64) {
        (self.aged_urgency(now), self.sequence)
    }
}

/// The requests of one customer, with its tags in virtual time.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) weight: f64,
    /// Virtual time at which the customer's next request starts while its queue is not empty.
    pub(crate) start_tag: f64,
    /// Virtual time at which the customer's last started request ends.
    pub(crate) finish_tag: f64,
    pub(crate) queue: Vec<QueuedRequest>,
    pub(crate) in_flight: u32,
    pub(crate) last_active_at: MonotonicMs,
}

impl Flow {
    pub(crate) fn new(now: MonotonicMs) -> Self {
        Self {
            weight: 1.0,
            start_tag: 0.0,
            finish_tag: 0.0,
            queue: Vec::new(),
            in_flight: 0,
            last_active_at: now,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight == 0
    }

    /// Returns the index of the request to start next.
    pub(crate) fn most_urgent(&self, now: MonotonicMs) -> Option<usize> {
        (0..self.queue.len()).min_by_key(|index| self.queue[*index].rank(now))
    }

    /// Returns the index of the request to evict first.
    pub(crate) fn least_urgent(&self, now: MonotonicMs) -> Option<usize> {
        (0..self.queue.len()).max_by_key(|index| self.queue[*index].rank(now))
    }

    pub(crate) fn queued_tokens(&self) -> f64 {
        self.queue
            .iter()
            .map(|request| f64::from(request.cost_tokens))
            .sum()
    }

    /// Returns the tokens of this customer that are served before a new request of the urgency.
    pub(crate) fn tokens_before(&self, now: MonotonicMs, urgency: u8) -> f64 {
        self.queue
            .iter()
            .filter(|request| request.aged_urgency(now) <= i64::from(urgency))
            .map(|request| f64::from(request.cost_tokens))
            .sum()
    }

    pub(crate) fn idle_ms(&self, now: MonotonicMs) -> DurationMs {
        now - self.last_active_at
    }
}
