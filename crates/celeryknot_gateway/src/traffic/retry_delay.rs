//! The retry delays of refusals for want of room.

use celeryknot_core::{DurationMs, ErrorKind, Refusal, ServiceName};
use celeryknot_policy::direct::RetryEstimate;

use super::context::TrafficThread;

/// What a retry delay follows from, as the metric counts it.
const EXPECTED: &str = "expected";
const FIXED: &str = "fixed";

/// Returns whether a refusal ends when there is room, at a time that no other rule states.
fn is_for_want_of_room(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectFailed | ErrorKind::EndpointRefused | ErrorKind::DeadlineUnreachable
    )
}

/// Returns whether a refused request may come back for want of room, whoever states the delay.
fn is_counted(kind: ErrorKind) -> bool {
    is_for_want_of_room(kind) || kind == ErrorKind::EndpointsFull
}

impl TrafficThread {
    /// Counts the refusal of a request and gives it the expected time until there is room.
    ///
    /// The delay stays as it is if the service's endpoints don't report their pace, or if too few
    /// requests finished lately.
    pub(super) fn with_retry_delay(
        &self,
        service: &ServiceName,
        request_id: &str,
        refusal: Refusal,
    ) -> Refusal {
        if !is_counted(refusal.kind) {
            return refusal;
        }
        let estimate = self.observe_refusal(service);
        if !is_for_want_of_room(refusal.kind) {
            return refusal;
        }
        let Some(estimate) = estimate else {
            self.shared.metrics.count_retry_delay(FIXED);
            return refusal;
        };
        self.shared.metrics.count_retry_delay(EXPECTED);
        let retry_after_ms = estimate.spread(rand::random());
        log_estimate(request_id, &estimate, retry_after_ms);
        Refusal::with_retry_after(refusal.kind, retry_after_ms)
    }
}

fn log_estimate(request_id: &str, estimate: &RetryEstimate, retry_after_ms: DurationMs) {
    tracing::info!(
        request_id,
        refused = estimate.refused,
        finished = estimate.finished,
        window_ms = estimate.window_ms.0,
        expected_ms = estimate.expected_ms.0,
        retry_after_ms = retry_after_ms.0,
        "retry delay estimated"
    );
}
