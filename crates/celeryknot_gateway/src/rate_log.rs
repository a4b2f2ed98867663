//! Log lines about the rate limits that endpoints state.

use celeryknot_core::{EndpointName, RatePerS};
use celeryknot_policy::rate_limit::RateChange;

/// Logs what a statement of an endpoint changed.
pub fn log_rate_change(endpoint: &EndpointName, rate: Option<RatePerS>, change: RateChange) {
    let rate_per_s = rate.map(tracing::field::display);
    match change {
        RateChange::Unchanged | RateChange::Confirmed => {}
        RateChange::Limited => tracing::info!(%endpoint, rate_per_s, "endpoint limits its rate"),
        RateChange::Lifted => tracing::info!(%endpoint, "endpoint no longer limits its rate"),
    }
}

/// Logs another limit of the refusals that an endpoint survives.
pub fn log_refusal_limit(endpoint: &EndpointName, rate: Option<RatePerS>) {
    match rate {
        Some(refusals_per_s) => {
            tracing::info!(%endpoint, %refusals_per_s, "endpoint fails above a rate of refusals")
        }
        None => tracing::info!(%endpoint, "endpoint no longer fails on refusals"),
    }
}

/// Logs a statement that can't be read.
pub fn log_malformed_rate(endpoint: &EndpointName, request_id: &str) {
    tracing::warn!(request_id, %endpoint, "endpoint states a rate limit that can't be read");
}
