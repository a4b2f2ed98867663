//! The part of an endpoint's cost that does not depend on the chat.

use celeryknot_core::{EndpointCondition, EndpointSummary};

/// Assumed wait at an endpoint without a summary.
const WAIT_DEFAULT_MS: f64 = 500.0;
/// Added cost of an unhealthy endpoint, which ranks it last.
const UNHEALTHY_PENALTY_MS: f64 = 60_000.0;
/// Added cost of an endpoint in cold start.
const COLD_PENALTY_MS: f64 = 200.0;
/// Added cost of a full endpoint over an idle one.
const FULL_LOAD_PENALTY_MS: f64 = 100.0;

/// Returns the wait plus the penalties for the endpoint's condition and load.
pub(super) fn base_cost_ms(summary: Option<&EndpointSummary>) -> f64 {
    let Some(summary) = summary else {
        return WAIT_DEFAULT_MS;
    };
    let condition_ms = match summary.condition {
        EndpointCondition::Warm | EndpointCondition::Ramping => 0.0,
        EndpointCondition::Cold => COLD_PENALTY_MS,
        EndpointCondition::Unhealthy => UNHEALTHY_PENALTY_MS,
    };
    let utilization = f64::from(summary.in_flight) / f64::from(summary.in_flight_max.max(1));
    summary.wait_ms.0 as f64 + condition_ms + FULL_LOAD_PENALTY_MS * utilization.min(2.0)
}

/// Returns whether the owner can start a request immediately.
pub(super) fn has_capacity(summary: Option<&EndpointSummary>) -> bool {
    let Some(summary) = summary else {
        return false;
    };
    match summary.condition {
        EndpointCondition::Warm | EndpointCondition::Ramping => {
            summary.queued == 0 && summary.in_flight < summary.in_flight_max
        }
        EndpointCondition::Cold | EndpointCondition::Unhealthy => false,
    }
}
