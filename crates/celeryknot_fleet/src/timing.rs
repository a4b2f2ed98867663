//! Intervals and limits of the fleet's state machines.

use celeryknot_core::{DurationMs, SizeBytes};

/// Intervals and limits; the defaults are those of a daemon.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_fleet::FleetTiming;
///
/// let timing = FleetTiming::default().with_heartbeat(DurationMs(500));
/// assert!(timing.suspect_after > timing.heartbeat_period);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time between two heartbeats to one neighbour.
    pub heartbeat_period: DurationMs,
    /// Time without a message after which a neighbour is suspected.
    pub suspect_after: DurationMs,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    pub dead_after: DurationMs,
    /// Time after which an unlisted dead member is evicted.
    pub dead_retention: DurationMs,
    /// Longest time for which a flapping member gets no duties.
    pub flap_suspension_max: DurationMs,
    /// Time without a flap after which the flap count is reset.
    pub flap_reset_after: DurationMs,
    /// Shortest time between two messages with summaries to one neighbour.
    pub summary_interval_min: DurationMs,
    /// Time after which an unchanged summary is sent again.
    pub summary_refresh_interval: DurationMs,
    /// Age beyond which a summary is left out of the view.
    pub summary_age_max: DurationMs,
    /// Timeout of a pull, after which another neighbour may be tried.
    pub pull_timeout: DurationMs,
    /// Time that a starting daemon waits for a source that does not respond.
    pub readiness_timeout: DurationMs,
    /// Duration of a holder's lease to send orders, unless renewed.
    pub order_lease: DurationMs,
    /// Maximum control traffic in bytes per second.
    pub control_bytes_per_s: SizeBytes,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            heartbeat_period: DurationMs(1_000),
            suspect_after: DurationMs(2_500),
            dead_after: DurationMs(2_500),
            dead_retention: DurationMs(60_000),
            flap_suspension_max: DurationMs(60_000),
            flap_reset_after: DurationMs(300_000),
            summary_interval_min: DurationMs(100),
            summary_refresh_interval: DurationMs(2_000),
            summary_age_max: DurationMs(10_000),
            pull_timeout: DurationMs(1_000),
            readiness_timeout: DurationMs(1_500),
            order_lease: DurationMs(3_000),
            control_bytes_per_s: SizeBytes(8_192),
        }
    }
}

impl FleetTiming {
    /// Sets the time between two heartbeats, and scales the failure detection timeouts with it.
    pub fn with_heartbeat(mut self, period: DurationMs) -> Self {
        self.heartbeat_period = period;
        self.suspect_after = DurationMs(period.0 * 5 / 2);
        self.dead_after = DurationMs(period.0 * 5 / 2);
        self
    }

    /// Sets the maximum control traffic in bytes per second.
    pub fn with_control_bytes_per_s(mut self, size: SizeBytes) -> Self {
        self.control_bytes_per_s = size;
        self
    }

    /// Sets the time that a starting daemon waits for a source that does not respond.
    pub fn with_readiness_timeout(mut self, timeout: DurationMs) -> Self {
        self.readiness_timeout = timeout;
        self
    }
}
