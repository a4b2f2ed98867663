//! Detection of stalls of this process from ticks that arrive late.

use celeryknot_core::{DurationMs, MonotonicMs};

/// Detects stalls of the process by the delay of a regular tick.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::stall::StallDetector;
///
/// let mut detector = StallDetector::new(DurationMs(100), DurationMs(500), MonotonicMs(0));
/// assert_eq!(detector.tick(MonotonicMs(130)), None);
/// assert_eq!(detector.tick(MonotonicMs(1_230)), Some(DurationMs(1_000)));
/// ```
#[derive(Debug, Clone)]
pub struct StallDetector {
    period_ms: DurationMs,
    threshold_ms: DurationMs,
    last_tick_at: MonotonicMs,
}

impl StallDetector {
    /// Creates a detector that expects a tick every `period_ms` and reports a stall when one is
    /// late by more than `threshold_ms`.
    pub fn new(period_ms: DurationMs, threshold_ms: DurationMs, now: MonotonicMs) -> Self {
        Self {
            period_ms,
            threshold_ms,
            last_tick_at: now,
        }
    }

    /// Records a tick and returns by how much it was late, if that is a stall.
    pub fn tick(&mut self, now: MonotonicMs) -> Option<DurationMs> {
        let late_ms = self.late_ms(now);
        self.last_tick_at = self.last_tick_at.max(now);
        (late_ms > self.threshold_ms).then_some(late_ms)
    }

    /// Returns, without a tick, whether the process has stalled since the last one.
    ///
    /// A traffic thread checks this after its last await and before the first byte, since it may
    /// run before the tick does.
    pub fn is_overdue(&self, now: MonotonicMs) -> bool {
        self.late_ms(now) > self.threshold_ms
    }

    fn late_ms(&self, now: MonotonicMs) -> DurationMs {
        now - (self.last_tick_at + self.period_ms)
    }
}
