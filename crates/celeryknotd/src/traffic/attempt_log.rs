//! State of all attempts of one request, without any I/O.

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Execution, Refusal};
use celeryknot_policy::attempt::{
    AttemptEvent, AttemptIndex, AttemptOutcome, CallSafety, Submission,
};
use smallvec::SmallVec;

use super::failure::{Failure, RetryCost};

/// Limits the busy endpoints that are tried before one is allowed to queue the request.
const BUSY_ENDPOINTS_MAX: usize = 5;

/// Attempts of one request, with the reasons for their failure.
#[derive(Debug)]
pub(crate) struct AttemptLog {
    submission: Submission,
    excluded: SmallVec<[EndpointName; 4]>,
    /// Endpoints that had no capacity and may queue the request.
    busy: SmallVec<[EndpointName; 4]>,
    /// Endpoints whose failure may be caused by the network path to them.
    interrupted: SmallVec<[EndpointName; 4]>,
    is_last_round: bool,
    last_refusal: Option<Refusal>,
    min_retry_after_ms: Option<DurationMs>,
}

impl AttemptLog {
    pub(crate) fn new(safety: CallSafety) -> Self {
        Self {
            submission: Submission::new(safety),
            excluded: SmallVec::new(),
            busy: SmallVec::new(),
            interrupted: SmallVec::new(),
            is_last_round: false,
            last_refusal: None,
            min_retry_after_ms: None,
        }
    }

    /// Starts another attempt, if that is safe.
    pub(crate) fn start_attempt(&mut self) -> Option<AttemptIndex> {
        self.submission.start_attempt().ok()
    }

    /// Returns whether only one attempt was started.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.submission.attempt_count() == 1
    }

    /// Returns whether the first byte of an attempt may be written to a connection.
    pub(crate) fn try_start_send(&mut self, attempt: AttemptIndex) -> bool {
        // An idempotent request resent on a second connection is still the same attempt.
        self.submission.try_start_send(attempt)
            || self.submission.safety() == CallSafety::Idempotent
    }

    /// Returns the endpoints that failed and are not tried again.
    pub(crate) fn excluded(&self) -> &SmallVec<[EndpointName; 4]> {
        &self.excluded
    }

    /// Returns whether busy endpoints may queue the request.
    pub(crate) fn is_last_round(&self) -> bool {
        self.is_last_round
    }

    /// Starts the last round, in which endpoints may queue the request, once enough were busy.
    ///
    /// Otherwise the attempts would run out while every endpoint is busy.
    pub(crate) fn end_search_if_busy(&mut self) {
        if !self.is_last_round && self.busy.len() >= BUSY_ENDPOINTS_MAX {
            self.start_last_round();
        }
    }

    /// Makes excluded endpoints eligible for a retry; returns false if there are none.
    ///
    /// Busy endpoints come first: an endpoint that failed would most likely fail again, at the
    /// cost of the retry budget.
    pub(crate) fn start_last_round(&mut self) -> bool {
        self.is_last_round = true;
        let retriable = match self.busy.is_empty() {
            true => std::mem::take(&mut self.interrupted),
            false => std::mem::take(&mut self.busy),
        };
        if retriable.is_empty() {
            return false;
        }
        self.excluded.retain(|name| !retriable.contains(name));
        true
    }

    /// Records an event of an attempt that is no failure of its endpoint.
    pub(crate) fn record_event(&mut self, attempt: AttemptIndex, event: AttemptEvent) {
        self.submission.apply(attempt, event);
    }

    /// Records why an attempt failed.
    pub(crate) fn record_failure(
        &mut self,
        attempt: AttemptIndex,
        endpoint: &EndpointName,
        refusal: Refusal,
    ) {
        match refusal.kind.answer().execution {
            Execution::NotRun => {
                // Either the owner or the endpoint refused; neither ran the request.
                self.submission
                    .apply(attempt, AttemptEvent::EndpointRefused);
            }
            Execution::Run | Execution::Unknown => {
                self.submission.apply(attempt, AttemptEvent::SendStarted);
                let event = Failure::from(refusal.kind).event_after_send();
                self.submission.apply(attempt, event);
            }
        }
        match Failure::from(refusal.kind) {
            Failure::NotAdmitted
                if refusal.kind == ErrorKind::EndpointBusy && !self.is_last_round =>
            {
                self.busy.push(endpoint.clone());
            }
            Failure::ConnectionLost | Failure::Incomplete => {
                self.interrupted.push(endpoint.clone())
            }
            Failure::NotAdmitted
            | Failure::Final
            | Failure::Stalled
            | Failure::NoConnection
            | Failure::Refused
            | Failure::TimedOut
            | Failure::Mismatched
            | Failure::TooLarge => {}
        }
        self.excluded.push(endpoint.clone());
        self.last_refusal = Some(refusal);
        self.min_retry_after_ms = match (self.min_retry_after_ms, refusal.retry_after_ms) {
            (Some(earlier), Some(new)) => Some(earlier.min(new)),
            (earlier, new) => earlier.or(new),
        };
    }

    /// Records why no further attempt is made.
    pub(crate) fn record_give_up(&mut self, kind: ErrorKind) {
        self.last_refusal = Some(Refusal::new(kind));
    }

    /// Returns the last failure and the cost of a retry, if a retry is possible.
    pub(crate) fn next_retry_cost(&self) -> Option<(ErrorKind, RetryCost)> {
        let kind = self.last_refusal?.kind;
        let cost = Failure::from(kind).retry_cost();
        (self.submission.may_retry() && cost != RetryCost::NotRetryable).then_some((kind, cost))
    }

    /// Returns the refusal that sums up all attempts, with the shortest retry delay.
    pub(crate) fn refusal(&self) -> Refusal {
        let last = self
            .last_refusal
            .unwrap_or(Refusal::new(ErrorKind::NoEndpoint));
        let kind = match self.submission.outcome() {
            AttemptOutcome::Failed { kind, execution }
                if execution != Execution::NotRun
                    && last.kind.answer().execution == Execution::NotRun =>
            {
                kind
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Pending | AttemptOutcome::Answered => {
                last.kind
            }
        };
        let after_ms = self.min_retry_after_ms.or(last.retry_after_ms);
        match (kind.answer().retry_after_default_ms, after_ms) {
            (Some(_), Some(after_ms)) => Refusal::with_retry_after(kind, after_ms),
            (Some(_), None) | (None, _) => Refusal::new(kind),
        }
    }
}

#[cfg(test)]
mod tests;
