//! Capacity check: whether the remaining engines can carry the load while another one loads.

use celeryknot_core::EndpointCondition;

use crate::view::EndpointView;

/// Maximum current load, as a percentage of the remaining engines' capacity.
const LOAD_PERCENT_MAX: u64 = 80;

/// Returns whether the remaining engines can carry the load of all engines.
///
/// If no remaining engine has a summary, at least half of the engines must remain.
pub(super) fn can_carry_load<'a>(
    remaining: impl Iterator<Item = &'a EndpointView>,
    all: impl Iterator<Item = &'a EndpointView>,
) -> bool {
    let (mut count, mut load) = (0_u64, 0_u64);
    for summary in all.map(|view| view.summary) {
        count += 1;
        load += summary.map_or(0, |s| u64::from(s.in_flight) + u64::from(s.queued));
    }
    let (mut remaining_count, mut known_count, mut capacity) = (0_u64, 0_u64, 0_u64);
    for summary in remaining.map(|view| view.summary) {
        remaining_count += 1;
        let Some(summary) = summary else {
            continue;
        };
        known_count += 1;
        if summary.condition == EndpointCondition::Warm {
            capacity += u64::from(summary.in_flight_max);
        }
    }
    if known_count == 0 {
        return remaining_count * 2 >= count;
    }
    load * 100 <= capacity * LOAD_PERCENT_MAX
}
