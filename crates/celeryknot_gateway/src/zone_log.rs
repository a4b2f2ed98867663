//! Log lines about requests that leave the daemon's own zone.

use celeryknot_core::{ServiceName, ZoneName};
use celeryknot_policy::direct::OverflowChange;

/// Logs that the overflow of a service begins or ends, with the pressures that decided it.
pub fn log_overflow_change(service: &ServiceName, zone: &ZoneName, change: &OverflowChange) {
    let rounded = |pressure: Option<f64>| pressure.map(|it| (it * 100.0).round() / 100.0);
    let own_pressure = rounded(change.own_pressure);
    let others_pressure = rounded(change.others_pressure);
    let fraction = (change.fraction * 1_000.0).round() / 1_000.0;
    match change.is_active {
        true => tracing::info!(
            %service,
            %zone,
            own_pressure,
            others_pressure,
            fraction,
            "requests begin to leave the zone"
        ),
        false => tracing::info!(
            %service,
            %zone,
            own_pressure,
            others_pressure,
            fraction,
            "requests no longer leave the zone"
        ),
    }
}
