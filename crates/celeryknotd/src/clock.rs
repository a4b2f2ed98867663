//! The daemon's monotonic clock.

use std::time::Instant;

use celeryknot_core::MonotonicMs;

/// A millisecond clock that starts at zero; copies share their start time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknotd::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> MonotonicMs {
        let elapsed_ms = self.start.elapsed().as_millis();
        MonotonicMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}
