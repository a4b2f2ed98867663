//! Readiness of a daemon: it is in sync with the platform and a peer, or one of them timed out.

use celeryknot_core::{DurationMs, MonotonicMs};

/// Synchronization state of a daemon after a start or a stall.
#[derive(Debug, Clone)]
pub struct Readiness {
    waiting_since: MonotonicMs,
    has_read_platform: bool,
    is_peer_in_sync: bool,
    timeout: DurationMs,
    is_ready: bool,
}

impl Readiness {
    /// Creates the state of a daemon that has not synchronized yet.
    pub fn new(now: MonotonicMs, timeout: DurationMs) -> Self {
        Self {
            waiting_since: now,
            has_read_platform: false,
            is_peer_in_sync: false,
            timeout,
            is_ready: false,
        }
    }

    /// Resets the state after a stall.
    pub fn restart(&mut self, now: MonotonicMs) {
        *self = Self::new(now, self.timeout);
    }

    /// Records that the platform returned both the values and the instance list.
    pub fn note_platform_read(&mut self) {
        self.has_read_platform = true;
    }

    /// Records that this daemon has the settings and instance list of a peer.
    pub fn note_peer_in_sync(&mut self) {
        self.is_peer_in_sync = true;
    }

    /// Updates and returns whether the daemon is ready; it then stays ready until a stall.
    ///
    /// A list without the daemon itself is stale, with outdated endpoints or none, and is accepted
    /// only after the timeout.
    pub fn update(&mut self, now: MonotonicMs, has_peers: bool, is_listed: bool) -> bool {
        let has_timed_out = now - self.waiting_since >= self.timeout;
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

    /// Returns whether the daemon is ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }
}
