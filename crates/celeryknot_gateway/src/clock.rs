//! The monotonic clock of a daemon.

use std::time::Instant;

use celeryknot_core::{DurationMs, MonotonicMs};

/// A millisecond clock that starts at [`MonotonicMs::PROCESS_START`]; copies share their start time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_gateway::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicMs {
        MonotonicMs::PROCESS_START + DurationMs::from(self.start.elapsed())
    }
}
