//! Which requests are refused, before and while they wait, and when they may come back.

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, Refusal, RequestId};

use super::EndpointAdmission;
use super::flow::QueuedRequest;
use super::request::AdmissionRequest;
use crate::health::HealthState;

impl EndpointAdmission {
    pub(super) fn refusal_at_once(
        &self,
        now: MonotonicMs,
        request: &AdmissionRequest,
    ) -> Option<Refusal> {
        if !self.takes_new_work {
            return Some(Refusal::new(ErrorKind::NoEndpoint));
        }
        if request.deadline_at.is_some_and(|at| now >= at) {
            return Some(Refusal::new(ErrorKind::DeadlinePast));
        }
        if self.in_flight.contains_key(&request.id) || self.queue.contains(request.id) {
            return Some(Refusal::new(ErrorKind::InternalError));
        }
        let is_full_probe = self.capacity.health() != HealthState::Healthy && !self.has_room(now);
        is_full_probe.then(|| Refusal::after(ErrorKind::EndpointBusy, self.drain_ms(now)))
    }

    /// Judges a request that can't start now: whether it may wait.
    pub(super) fn refusal_of_queue(
        &mut self,
        now: MonotonicMs,
        request: &AdmissionRequest,
    ) -> Option<Refusal> {
        let wait_ms = self.wait_ms(now, request);
        if request
            .alternative_wait_ms
            .is_some_and(|other| wait_ms > other)
        {
            return Some(Refusal::after(ErrorKind::EndpointBusy, wait_ms));
        }
        if let Some(late_ms) = self.late_ms(now, request, wait_ms) {
            return Some(Refusal::after(ErrorKind::DeadlineUnreachable, late_ms));
        }
        if wait_ms > self.limits.queue_wait_max_ms {
            let after_ms = DurationMs(wait_ms.0 - self.limits.queue_wait_max_ms.0);
            return Some(Refusal::after(ErrorKind::QueueFull, after_ms));
        }
        let share = self.queue.queue_share(
            now,
            &request.customer,
            request.weight,
            self.limits.queue_len_max,
        );
        if self.queue.queued_of(&request.customer) >= share {
            return Some(Refusal::after(ErrorKind::ShareExceeded, self.drain_ms(now)));
        }
        if self.queue.len() < self.limits.queue_len_max as usize {
            return None;
        }
        let after_ms = self.drain_ms(now);
        match self.queue.push_out(now, &request.customer, request.weight) {
            Some(id) => {
                let refusal = Refusal::after(ErrorKind::ShareExceeded, after_ms);
                self.refused.push_back((id, refusal));
                None
            }
            None => Some(Refusal::after(ErrorKind::QueueFull, after_ms)),
        }
    }

    fn wait_ms(&self, now: MonotonicMs, request: &AdmissionRequest) -> DurationMs {
        let ahead =
            self.queue
                .tokens_ahead(now, &request.customer, request.weight, request.urgency);
        self.wait_behind_ms(now, ahead)
    }

    /// Expected wait behind queued work; requests above the bound must end before any starts.
    pub(super) fn wait_behind_ms(&self, now: MonotonicMs, tokens_ahead: f64) -> DurationMs {
        let slots = self.capacity.slots_expected(now);
        let excess = self.all_in_flight().saturating_sub(slots);
        self.wait_model
            .wait_ms(tokens_ahead, excess, slots.saturating_add(excess))
    }

    /// Returns by how much the request would miss its deadline, if it would.
    ///
    /// The queue is expected to be shorter by that much after that much time.
    fn late_ms(
        &self,
        now: MonotonicMs,
        request: &AdmissionRequest,
        wait_ms: DurationMs,
    ) -> Option<DurationMs> {
        let deadline_at = request.deadline_at?;
        let work_ms = self.work_ms(request.needs_whole_answer, request.cost_tokens);
        let late_ms = (now + wait_ms + work_ms) - deadline_at;
        (late_ms > DurationMs(0)).then_some(late_ms)
    }

    fn work_ms(&self, needs_whole_answer: bool, cost_tokens: u32) -> DurationMs {
        if needs_whole_answer {
            self.wait_model.answer_ms(cost_tokens)
        } else {
            self.wait_model.first_token_ms()
        }
    }

    /// Time for one queued request to start.
    pub(super) fn drain_ms(&self, now: MonotonicMs) -> DurationMs {
        self.wait_behind_ms(now, 0.0)
    }

    pub(super) fn next_expired(&self, now: MonotonicMs) -> Option<(RequestId, ErrorKind)> {
        let held = self
            .queue
            .requests()
            .find(|held| now >= self.expires_at(held))?;
        let kind = match held.deadline_at {
            Some(at) if now >= at => ErrorKind::DeadlinePast,
            Some(_) if now - held.queued_at < self.limits.queue_wait_max_ms => {
                ErrorKind::DeadlineUnreachable
            }
            Some(_) | None => ErrorKind::QueueFull,
        };
        Some((held.id, kind))
    }

    /// When a queued request is given up: after the longest wait, or when its deadline can no
    /// longer be met even if it started at once.
    pub(super) fn expires_at(&self, held: &QueuedRequest) -> MonotonicMs {
        let by_wait = held.queued_at + self.limits.queue_wait_max_ms;
        let Some(deadline_at) = held.deadline_at else {
            return by_wait;
        };
        let work_ms = self.work_ms(held.needs_whole_answer, held.cost_tokens);
        let by_deadline = MonotonicMs(deadline_at.0.saturating_sub(work_ms.0));
        by_wait.min(by_deadline)
    }
}
