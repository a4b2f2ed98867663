//! Bans requests on which endpoints crash, and prompts with parts on which engines crash, for all
//! threads of a daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryknot_core::endpoint_updates::EndpointUpdate;
use celeryknot_core::{EndpointName, EndpointTag, RequestId, SuspectTag};
use celeryknot_gateway::clock::Clock;
use celeryknot_policy::direct::{CrashFinding, CrashSuspects, CrashVerdict, RequestVerdict};
use smallvec::SmallVec;

/// What an endpoint may crash on: the parts of a prompt, of which other prompts don't share the last
/// one, or one request.
pub type Suspects = SmallVec<[SuspectTag; 4]>;

/// The suspected and banned requests and parts of prompts that a daemon knows.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{PromptTag, RequestId};
/// use celeryknot_policy::direct::RequestVerdict;
/// use celeryknotd::crash_guard::CrashGuard;
///
/// let guard = CrashGuard::default();
/// let parts = [PromptTag(7).into(), PromptTag(8).into()];
/// for endpoint in ["engine-1", "engine-2", "engine-3"] {
///     guard.record_crash(RequestId(1), &endpoint.parse()?, &parts);
/// }
/// assert_eq!(guard.check(&parts, |_| false), RequestVerdict::Banned(PromptTag(7).into()));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug)]
pub struct CrashGuard {
    clock: Clock,
    suspects: Mutex<CrashSuspects>,
    suspected_count: AtomicU64,
}

impl Default for CrashGuard {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            suspects: Mutex::default(),
            suspected_count: AtomicU64::new(0),
        }
    }
}

impl CrashGuard {
    /// Checks a request before it is sent to an endpoint.
    ///
    /// `runs_trials` returns whether this daemon tries a banned suspect for the whole fleet.
    pub fn check(
        &self,
        parts: &[SuspectTag],
        runs_trials: impl FnOnce(SuspectTag) -> bool,
    ) -> RequestVerdict {
        let now = self.clock.now();
        self.suspects().check(now, parts, runs_trials)
    }

    /// Takes back a trial that reached no endpoint.
    pub fn return_trial(&self, suspect: SuspectTag) {
        self.suspects().return_trial(suspect);
    }

    /// Records that an endpoint crashed before or as it began to answer a request.
    pub fn record_crash(
        &self,
        request_id: RequestId,
        endpoint: &EndpointName,
        parts: &[SuspectTag],
    ) -> CrashFinding {
        let (shared, own) = match parts.split_last() {
            Some((own, shared)) => (shared, Some(*own)),
            None => (&[][..], None),
        };
        let (now, tag) = (self.clock.now(), EndpointTag::new(endpoint));
        let finding = self
            .suspects()
            .record_crashed_request(now, tag, shared, own);
        for (suspect, verdict) in &finding.verdicts {
            self.count_verdict(*suspect, *verdict);
            tracing::info!(
                %request_id,
                %endpoint,
                part = suspect.part().map(tracing::field::display),
                tag = suspect.request().map(tracing::field::display),
                %verdict,
                "endpoint crashed as it began to answer"
            );
        }
        finding
    }

    /// Records that an answer got beyond its beginning or is complete; returns the suspects that it
    /// clears.
    pub fn record_answer(&self, endpoint: &EndpointName, parts: &[SuspectTag]) -> Suspects {
        let now = self.clock.now();
        let mut suspects = self.suspects();
        let parts = parts.iter().copied();
        let cleared: Suspects = parts
            .filter(|part| suspects.record_answer(now, *part))
            .collect();
        for suspect in &cleared {
            tracing::info!(
                part = suspect.part().map(tracing::field::display),
                tag = suspect.request().map(tracing::field::display),
                %endpoint,
                "suspect cleared"
            );
        }
        cleared
    }

    /// Applies a peer's update; returns the answer that contradicts it, if there is one.
    pub fn apply(&self, update: &EndpointUpdate) -> Option<EndpointUpdate> {
        let applied = self.suspects().apply(update);
        if let Some((suspect, verdict)) = applied.crash {
            self.count_verdict(suspect, verdict);
        }
        applied.contradiction
    }

    fn count_verdict(&self, suspect: SuspectTag, verdict: CrashVerdict) {
        if verdict.counts() {
            self.suspected_count.fetch_add(1, Ordering::Relaxed);
        }
        if verdict == CrashVerdict::Banned {
            tracing::warn!(
                part = suspect.part().map(tracing::field::display),
                tag = suspect.request().map(tracing::field::display),
                "suspect banned"
            );
        }
    }

    /// Returns the clock that the times of updates are of.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the number of banned parts and requests.
    pub fn banned_count(&self) -> usize {
        self.suspects().banned_count(self.clock.now())
    }

    /// Takes the number of crashes, by suspect, that have counted against their suspect since the last
    /// call.
    pub fn take_suspected_count(&self) -> u64 {
        self.suspected_count.swap(0, Ordering::Relaxed)
    }

    fn suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
