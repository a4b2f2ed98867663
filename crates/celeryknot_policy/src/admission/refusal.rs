//! Refusal of requests, on arrival and while queued, and their retry delay.

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, Refusal, RequestId};

use super::EndpointAdmission;
use super::flow::QueuedRequest;
use super::request::AdmissionRequest;
use crate::health::HealthState;

impl EndpointAdmission {
    pub(super) fn immediate_refusal(
        &self,
        now: MonotonicMs,
        request: &AdmissionRequest,
    ) -> Option<Refusal> {
        if !self.accepts_requests {
            return Some(Refusal::new(ErrorKind::NoEndpoint));
        }
        if request.deadline_at.is_some_and(|at| now >= at) {
            return Some(Refusal::new(ErrorKind::DeadlinePast));
        }
        if self.in_flight.contains_key(&request.id) || self.queue.contains(request.id) {
            return Some(Refusal::new(ErrorKind::InternalError));
        }
        let is_probe_limit_reached =
            self.capacity.health() != HealthState::Healthy && !self.has_capacity(now);
        is_probe_limit_reached
            .then(|| Refusal::with_retry_after(ErrorKind::EndpointBusy, self.next_start_ms(now)))
    }

    /// Returns the refusal of a request that can neither start now nor be queued.
    ///
    /// If the queue is full, evicts a request of another customer or refuses this one.
    pub(super) fn queue_refusal(
        &mut self,
        now: MonotonicMs,
        request: &AdmissionRequest,
    ) -> Option<Refusal> {
        let wait_ms = self.wait_ms(now, request);
        if request
            .alternative_wait_ms
            .is_some_and(|alternative_ms| wait_ms > alternative_ms)
        {
            return Some(Refusal::with_retry_after(ErrorKind::EndpointBusy, wait_ms));
        }
        if let Some(deadline_miss_ms) = self.deadline_miss_ms(now, request, wait_ms) {
            return Some(Refusal::with_retry_after(
                ErrorKind::DeadlineUnreachable,
                deadline_miss_ms,
            ));
        }
        if wait_ms > self.limits.queue_wait_max_ms {
            let after_ms = DurationMs(wait_ms.0 - self.limits.queue_wait_max_ms.0);
            return Some(Refusal::with_retry_after(ErrorKind::QueueFull, after_ms));
        }
        let share = self.queue.queue_share(
            now,
            &request.customer,
            request.weight,
            self.limits.queue_len_max,
        );
        if self.queue.queued_of(&request.customer) >= share {
            return Some(Refusal::with_retry_after(
                ErrorKind::ShareExceeded,
                self.next_start_ms(now),
            ));
        }
        if self.queue.len() < self.limits.queue_len_max as usize {
            return None;
        }
        let after_ms = self.next_start_ms(now);
        match self.queue.evict(now, &request.customer, request.weight) {
            Some(id) => {
                let refusal = Refusal::with_retry_after(ErrorKind::ShareExceeded, after_ms);
                self.pending_refusals.push_back((id, refusal));
                None
            }
            None => Some(Refusal::with_retry_after(ErrorKind::QueueFull, after_ms)),
        }
    }

    fn wait_ms(&self, now: MonotonicMs, request: &AdmissionRequest) -> DurationMs {
        let ahead =
            self.queue
                .tokens_ahead(now, &request.customer, request.weight, request.urgency);
        self.wait_behind_ms(now, ahead)
    }

    /// Returns the expected wait; requests in flight above the limit must end before any starts.
    pub(super) fn wait_behind_ms(&self, now: MonotonicMs, tokens_ahead: f64) -> DurationMs {
        let slots = self.capacity.expected_slots(now);
        let excess = self.total_in_flight().saturating_sub(slots);
        let wait_ms = self
            .wait_model
            .wait_ms(tokens_ahead, excess, slots.saturating_add(excess));
        wait_ms.max(self.rate_gate.wait_ms(now, self.queue.len()))
    }

    /// Returns by how much the request would miss its deadline, if it would.
    ///
    /// After that time the queue is expected to be shorter by as much.
    fn deadline_miss_ms(
        &self,
        now: MonotonicMs,
        request: &AdmissionRequest,
        wait_ms: DurationMs,
    ) -> Option<DurationMs> {
        let deadline_at = request.deadline_at?;
        let response_ms = self.response_ms(request.needs_complete_answer, request.cost_tokens);
        let deadline_miss_ms = (now + wait_ms + response_ms) - deadline_at;
        (deadline_miss_ms > DurationMs(0)).then_some(deadline_miss_ms)
    }

    fn response_ms(&self, needs_complete_answer: bool, cost_tokens: u32) -> DurationMs {
        if needs_complete_answer {
            self.wait_model.answer_ms(cost_tokens)
        } else {
            self.wait_model.first_token_ms()
        }
    }

    /// Returns the expected time until one queued request starts.
    pub(super) fn next_start_ms(&self, now: MonotonicMs) -> DurationMs {
        self.wait_behind_ms(now, 0.0)
    }

    pub(super) fn next_expired(&self, now: MonotonicMs) -> Option<(RequestId, ErrorKind)> {
        let expired = self
            .queue
            .requests()
            .find(|queued| now >= self.expires_at(queued))?;
        let kind = match expired.deadline_at {
            Some(at) if now >= at => ErrorKind::DeadlinePast,
            Some(_) if now - expired.queued_at < self.limits.queue_wait_max_ms => {
                ErrorKind::DeadlineUnreachable
            }
            Some(_) | None => ErrorKind::QueueFull,
        };
        Some((expired.id, kind))
    }

    /// Returns when a queued request expires: after the longest wait, or once it would miss its
    /// deadline even if it started at once.
    pub(super) fn expires_at(&self, queued: &QueuedRequest) -> MonotonicMs {
        let by_wait = queued.queued_at + self.limits.queue_wait_max_ms;
        let Some(deadline_at) = queued.deadline_at else {
            return by_wait;
        };
        let response_ms = self.response_ms(queued.needs_complete_answer, queued.cost_tokens);
        let by_deadline = MonotonicMs(deadline_at.0.saturating_sub(response_ms.0));
        by_wait.min(by_deadline)
    }
}
