//! When a daemon has caught up: the platform and the peers were asked, or did not answer in time.

use celeryknot_core::{DurationMs, MonotonicMs};

/// What a starting or woken daemon has heard so far.
#[derive(Debug, Clone)]
pub struct Readiness {
    waiting_since: MonotonicMs,
    has_read_platform: bool,
    is_peer_in_sync: bool,
    wait: DurationMs,
    is_ready: bool,
}

impl Readiness {
    /// Builds the state of a daemon that has heard nothing.
    pub fn new(now: MonotonicMs, wait: DurationMs) -> Self {
        Self {
            waiting_since: now,
            has_read_platform: false,
            is_peer_in_sync: false,
            wait,
            is_ready: false,
        }
    }

    /// Forgets what was heard, after a pause.
    pub fn restart(&mut self, now: MonotonicMs) {
        *self = Self::new(now, self.wait);
    }

    /// Notes that both the values and the instance list came from the platform.
    pub fn note_platform_read(&mut self) {
        self.has_read_platform = true;
    }

    /// Notes that a peer's settings and list are held.
    pub fn note_peer_in_sync(&mut self) {
        self.is_peer_in_sync = true;
    }

    /// Tells whether the daemon has caught up; once it has, it stays so until a pause.
    ///
    /// A list that does not have the daemon itself is an old one, with old endpoints or none; it
    /// does only after the wait.
    pub fn update(&mut self, now: MonotonicMs, has_peers: bool, is_listed: bool) -> bool {
        let has_timed_out = now - self.waiting_since >= self.wait;
        if !is_listed && !has_timed_out {
            return self.is_ready;
        }
        let is_ready = match (self.has_read_platform, self.is_peer_in_sync) {
            (true, true) => true,
            (true, false) => !has_peers || has_timed_out,
            (false, true) => has_timed_out,
            (false, false) => false,
        };
        self.is_ready |= is_ready;
        self.is_ready
    }

    /// Tells whether the daemon has caught up.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }
}
