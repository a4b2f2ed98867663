//! Which endpoints this daemon can't connect to, and when to try again.
//!
//! An endpoint that doesn't answer may be down, or out of reach for this daemon alone. Requests for
//! one with a broken path go through another daemon; probes find out when that is no longer needed.

use std::collections::HashMap;
use std::net::SocketAddr;

use celeryknot_core::{DurationMs, MonotonicMs};
use smallvec::SmallVec;

/// Minimum time between two probes of an endpoint; the time until the next one is up to twice that.
const PROBE_INTERVAL_MIN: DurationMs = DurationMs(500);

/// Time within which paths to several endpoints must break for the others to be probed as well.
const BREAKS_WINDOW: DurationMs = DurationMs(1_000);

/// Number of such endpoints.
const BREAKS_TO_PROBE_ALL: usize = 2;

/// Time since the last answer of an endpoint after which its path isn't taken for granted.
const SILENCE_MIN: DurationMs = DurationMs(300);

#[derive(Debug, Clone, Copy)]
struct BrokenPath {
    broke_at: MonotonicMs,
    probe_at: MonotonicMs,
}

/// The paths from this daemon to endpoints, by the endpoints' addresses.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MonotonicMs;
/// use celeryknot_policy::direct::EndpointPaths;
///
/// let mut paths = EndpointPaths::default();
/// let address = "10.1.64.26:8600".parse()?;
/// paths.record_failure(MonotonicMs(10), address, 0.5);
/// assert!(paths.is_broken(address));
/// paths.record_connection(address);
/// assert!(!paths.is_broken(address));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndpointPaths {
    broken: HashMap<SocketAddr, BrokenPath>,
    answered_at: HashMap<SocketAddr, MonotonicMs>,
    all_probed_at: Option<MonotonicMs>,
}

impl EndpointPaths {
    /// Records that a connection could not be opened; returns whether the path was not known to be
    /// broken.
    ///
    /// `draw`, from 0 to 1, is random, so that daemons don't probe at the same moments.
    pub fn record_failure(&mut self, now: MonotonicMs, address: SocketAddr, draw: f64) -> bool {
        let interval_ms = PROBE_INTERVAL_MIN.0 as f64 * (1.0 + draw);
        let probe_at = now + DurationMs(interval_ms as u64);
        let mut is_new = false;
        let path = self.broken.entry(address).or_insert_with(|| {
            is_new = true;
            BrokenPath {
                broke_at: now,
                probe_at,
            }
        });
        path.probe_at = path.probe_at.max(probe_at);
        is_new
    }

    /// Records that a connection was opened; returns whether the path was broken.
    pub fn record_connection(&mut self, address: SocketAddr) -> bool {
        self.broken.remove(&address).is_some()
    }

    /// Records an answer of the endpoint to this daemon itself.
    pub fn record_answer(&mut self, now: MonotonicMs, address: SocketAddr) {
        self.answered_at.insert(address, now);
    }

    /// Returns whether the last connection to the endpoint could not be opened.
    pub fn is_broken(&self, address: SocketAddr) -> bool {
        self.broken.contains_key(&address)
    }

    /// Returns whether a request may try a path itself: it isn't broken, or its next probe is due,
    /// which the request is then.
    pub fn may_try(&mut self, now: MonotonicMs, address: SocketAddr) -> bool {
        match self.broken.get_mut(&address) {
            Some(path) if now < path.probe_at => false,
            Some(path) => {
                path.probe_at = now + PROBE_INTERVAL_MIN;
                true
            }
            None => true,
        }
    }

    /// Returns whether [`Self::due_probes`] may have an endpoint to probe.
    pub fn is_probe_due(&self, now: MonotonicMs) -> bool {
        self.broken.values().any(|path| now >= path.probe_at) || self.must_probe_all(now)
    }

    /// Returns whether the paths to most of a service's endpoints are broken.
    pub fn are_most_broken(&self, service: impl IntoIterator<Item = SocketAddr>) -> bool {
        let (mut total, mut broken) = (0, 0);
        for address in service {
            total += 1;
            broken += usize::from(self.is_broken(address));
        }
        total > 1 && broken * 2 > total
    }

    /// Returns the endpoints to probe now, of all that are listed; forgets those that aren't.
    pub fn due_probes(
        &mut self,
        now: MonotonicMs,
        listed: &[SocketAddr],
    ) -> SmallVec<[SocketAddr; 8]> {
        self.broken.retain(|address, _| listed.contains(address));
        self.answered_at
            .retain(|address, _| listed.contains(address));
        let mut due: SmallVec<[SocketAddr; 8]> = SmallVec::new();
        for (address, path) in &mut self.broken {
            if now >= path.probe_at {
                // The probe's end sets the next one.
                path.probe_at = now + PROBE_INTERVAL_MIN + PROBE_INTERVAL_MIN;
                due.push(*address);
            }
        }
        if self.must_probe_all(now) {
            self.all_probed_at = Some(now);
            let is_silent = |address: &SocketAddr| {
                let answered_at = self.answered_at.get(address);
                answered_at.is_none_or(|at| now - *at >= SILENCE_MIN)
            };
            let others = listed.iter().copied();
            due.extend(others.filter(|it| !self.is_broken(*it) && is_silent(it)));
        }
        due
    }

    fn must_probe_all(&self, now: MonotonicMs) -> bool {
        let has_probed = self
            .all_probed_at
            .is_some_and(|at| now - at < BREAKS_WINDOW);
        let is_recent = |path: &&BrokenPath| now - path.broke_at < BREAKS_WINDOW;
        !has_probed && self.broken.values().filter(is_recent).count() >= BREAKS_TO_PROBE_ALL
    }
}

#[cfg(test)]
mod tests;
