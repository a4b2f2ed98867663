//! The part of an endpoint's cost that is the same for all chats.

use celeryknot_core::{EndpointCondition, EndpointSummary};

/// Wait to reckon with where no summary has come.
const UNKNOWN_WAIT_MS: f64 = 500.0;
/// What a sick endpoint costs on top, so that it comes last.
const SICK_MS: f64 = 60_000.0;
/// What cold start costs on top.
const COLD_MS: f64 = 200.0;
/// How much longer a full endpoint takes than an empty one.
const LOAD_MS: f64 = 100.0;

/// The wait, and what the endpoint's condition and load add to it.
pub(super) fn base_ms(summary: Option<&EndpointSummary>) -> f64 {
    let Some(summary) = summary else {
        return UNKNOWN_WAIT_MS;
    };
    let condition_ms = match summary.condition {
        EndpointCondition::Warm | EndpointCondition::Ramping => 0.0,
        EndpointCondition::Cold => COLD_MS,
        EndpointCondition::Sick => SICK_MS,
    };
    let filled = f64::from(summary.in_flight) / f64::from(summary.in_flight_max.max(1));
    summary.wait_ms.0 as f64 + condition_ms + LOAD_MS * filled.min(2.0)
}

/// Whether the owner would start a request at once.
pub(super) fn has_room(summary: Option<&EndpointSummary>) -> bool {
    let Some(summary) = summary else {
        return false;
    };
    match summary.condition {
        EndpointCondition::Warm | EndpointCondition::Ramping => {
            summary.queued == 0 && summary.in_flight < summary.in_flight_max
        }
        EndpointCondition::Cold | EndpointCondition::Sick => false,
    }
}
