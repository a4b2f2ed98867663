//! Whether engines that go on serving can carry the load while another one loads.

use celeryknot_core::EndpointCondition;

use crate::view::EndpointView;

/// Most of the remaining engines' bounds that the present load may take, in a hundred.
const LOAD_PERCENT_MAX: u64 = 80;

/// Tells whether the remaining engines can carry the load of all.
///
/// Where no engine's load is known, half of them must remain.
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
