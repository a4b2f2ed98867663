//! When a daemon has caught up: the platform and the peers were asked, or did not answer in time.

use celeryknot_core::{DurationMs, MonotonicMs};

/// What a starting or woken daemon has heard so far.
#[derive(Debug, Clone)]
pub struct Readiness {
    asked_since: MonotonicMs,
    heard_platform: bool,
    heard_peer: bool,
    wait: DurationMs,
    is_ready: bool,
}

impl Readiness {
    /// Builds the state of a daemon that has heard nothing.
    pub fn new(now: MonotonicMs, wait: DurationMs) -> Self {
        Self {
            asked_since: now,
            heard_platform: false,
            heard_peer: false,
            wait,
            is_ready: false,
        }
    }

    /// Forgets what was heard, after a pause.
    pub fn restart(&mut self, now: MonotonicMs) {
        *self = Self::new(now, self.wait);
    }

    /// Notes that both the values and the instance list came from the platform.
    pub fn note_platform(&mut self) {
        self.heard_platform = true;
    }

    /// Notes that a peer's settings and list are held.
    pub fn note_peer(&mut self) {
        self.heard_peer = true;
    }

    /// Tells whether the daemon has caught up; once it has, it stays so until a pause.
    ///
    /// A list that does not have the daemon itself is an old one, with old endpoints or none; it
    /// does only after the wait.
    pub fn update(&mut self, now: MonotonicMs, has_peers: bool, is_listed: bool) -> bool {
        let has_waited = now - self.asked_since >= self.wait;
        if !is_listed && !has_waited {
            return self.is_ready;
        }
        let is_ready = match (self.heard_platform, self.heard_peer) {
            (true, true) => true,
            (true, false) => !has_peers || has_waited,
            (false, true) => has_waited,
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
