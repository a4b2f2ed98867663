//! Whether a daemon that shuts down accepts a request.

use celeryknot_core::DurationMs;

/// What is known of a request that arrives during a shutdown.
///
/// A caller whose answer is cut has half of it; one that is refused is served by another daemon at
/// once. A request is therefore accepted only if its answer ends in time.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::direct::ShutdownAdmission;
///
/// let mut request = ShutdownAdmission {
///     time_left_ms: DurationMs(2_000),
///     time_limit_ms: DurationMs(5_000),
///     expected_ms: None,
/// };
/// assert!(!request.is_accepted());
/// request.expected_ms = Some(DurationMs(300));
/// assert!(request.is_accepted());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownAdmission {
    /// Time until answers must have ended.
    pub time_left_ms: DurationMs,
    /// Time after which the request ends in any case: its deadline or its route's timeout.
    pub time_limit_ms: DurationMs,
    /// Upper estimate of the answer's length; `None` if there is no basis for one.
    pub expected_ms: Option<DurationMs>,
}

impl ShutdownAdmission {
    /// Returns whether the answer ends before the shutdown does.
    pub fn is_accepted(&self) -> bool {
        self.time_limit_ms <= self.time_left_ms
            || self
                .expected_ms
                .is_some_and(|expected_ms| expected_ms <= self.time_left_ms)
    }
}
