//! Whether the endpoints of a service state the request's id when they refuse it.
//!
//! A refusal without an id on a reused connection may be an earlier one, written again, so that the
//! outcome of the request is unknown. On a new connection it can only be a refusal of the request.

use celeryknot_core::{DurationMs, MonotonicMs};

/// Time after a refusal without an id for which further ones are expected.
///
/// The endpoints of a service run the same software, and refuse requests again in the next burst.
const MEMORY: DurationMs = DurationMs(600_000);

/// When an endpoint of a service last refused a request without its id.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MonotonicMs;
/// use celeryknot_policy::direct::RefusalIds;
///
/// let mut ids = RefusalIds::default();
/// assert!(!ids.are_missing(MonotonicMs(1_000)));
/// ids.observe_missing(MonotonicMs(1_000));
/// assert!(ids.are_missing(MonotonicMs(2_000)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalIds {
    missing_at: Option<MonotonicMs>,
}

impl RefusalIds {
    /// Records a refusal without an id.
    pub fn observe_missing(&mut self, now: MonotonicMs) {
        self.missing_at = Some(now);
    }

    /// Returns whether refusals without an id are to be expected.
    pub fn are_missing(&self, now: MonotonicMs) -> bool {
        self.missing_at.is_some_and(|at| now < at + MEMORY)
    }
}
