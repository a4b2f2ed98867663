//! Requests that arrive, or still wait for an answer, during a shutdown.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, Refusal};
use celeryknot_policy::direct::{AnswerTime, AnswerTimes, ShutdownAdmission, ShutdownPhase};

use super::call::Call;
use super::context::TrafficThread;

/// `Retry-After` of a refusal that is specific to this daemon; another daemon can serve the retry.
pub(super) const OTHER_DAEMON_RETRY_DELAY: DurationMs = DurationMs(100);

/// Durations of answers by route name.
#[derive(Debug, Default)]
pub(super) struct RouteTimes(HashMap<Arc<str>, AnswerTimes>);

impl RouteTimes {
    fn observe(&mut self, now: MonotonicMs, route: &Arc<str>, answer: &AnswerTime) {
        if !self.0.contains_key(route) {
            // Configurations remove routes; their times would otherwise stay forever.
            self.0.retain(|_, times| !times.is_empty(now));
        }
        let times = self.0.entry(Arc::clone(route)).or_default();
        times.observe(now, answer);
    }
}

/// Returns the refusal of a request that did not run and that another daemon can serve.
pub(super) fn draining_refusal() -> Refusal {
    Refusal::with_retry_after(ErrorKind::Draining, OTHER_DAEMON_RETRY_DELAY)
}

impl TrafficThread {
    /// Counts a complete answer of a route.
    pub(super) fn observe_answer_time(&self, route: &Arc<str>, answer: &AnswerTime) {
        let mut times = self.route_times.borrow_mut();
        times.observe(self.now(), route, answer);
    }

    /// Refuses a request whose answer may not end before the daemon's shutdown does.
    pub(super) fn check_shutdown(&self, call: &Call) -> Result<(), Refusal> {
        let Some(time_left_ms) = self.shared.time_left() else {
            return Ok(());
        };
        let now = self.now();
        let route_times = self.route_times.borrow();
        let times = route_times.0.get(&call.route.name);
        let tokens = call.head.output_tokens_max;
        let admission = ShutdownAdmission {
            phase: match self.shared.drain_connections.is_closed() {
                true => ShutdownPhase::Announced,
                false => ShutdownPhase::Announcing,
            },
            time_left_ms,
            time_limit_ms: call.deadline - now,
            expected: times.and_then(|it| it.longest(now, tokens)),
            allowed: times.and_then(|it| it.longest_allowed(now, tokens)),
        };
        log_admission(call, &admission);
        match admission.is_accepted() {
            true => Ok(()),
            false => Err(draining_refusal()),
        }
    }

    /// Signals that requests still waiting for an answer must end, once the time has come.
    pub(super) fn signal_final_answers(&self) {
        if self.shared.time_left() == Some(DurationMs(0)) {
            self.final_answers.close();
        }
    }

    /// Waits until requests that still wait for an answer must end.
    pub(super) async fn final_answers_due(&self) {
        while self.final_answers.recv().await.is_ok() {}
    }
}

fn log_admission(call: &Call, admission: &ShutdownAdmission) {
    let message = match admission.is_accepted() {
        true => "request accepted in the shutdown",
        false => "request may outlast the shutdown",
    };
    tracing::info!(
        request_id = call.head.request_id,
        route = %call.route.name,
        phase = %admission.phase,
        time_left_ms = admission.time_left_ms.0,
        time_limit_ms = admission.time_limit_ms.0,
        output_tokens_max = call.head.output_tokens_max.map(|tokens| tokens.0),
        answers = admission.answers(),
        expected_ms = admission.needed_ms().map(|needed_ms| needed_ms.0),
        "{message}"
    );
}
