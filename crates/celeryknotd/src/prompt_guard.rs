//! Bans prompts with parts on which engines crash, for all threads of a daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{EndpointName, EndpointTag, MonotonicMs, PromptTag, RequestId};
use celeryknot_gateway::clock::Clock;
use celeryknot_policy::direct::{CrashSuspects, CrashVerdict, PromptVerdict};
use smallvec::SmallVec;

/// The tags of the parts of a prompt; the last one is the part that other prompts don't share.
pub type PromptParts = SmallVec<[PromptTag; 4]>;

/// What a crash under a prompt shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashFinding {
    /// The parts against which the crash counts.
    pub counted: PromptParts,
    /// Whether not all of its shared parts are known to be sound.
    pub has_unproven_part: bool,
    /// Whether another endpoint has crashed under one of its parts before.
    pub is_repeated: bool,
}

/// The suspected and banned parts of prompts that a daemon knows.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{PromptTag, RequestId};
/// use celeryknot_policy::direct::PromptVerdict;
/// use celeryknotd::prompt_guard::PromptGuard;
///
/// let guard = PromptGuard::default();
/// let parts = [PromptTag(7), PromptTag(8)];
/// for endpoint in ["engine-1", "engine-2", "engine-3"] {
///     guard.record_crash(RequestId(1), &endpoint.parse()?, &parts);
/// }
/// assert_eq!(guard.check(&parts, |_| false), PromptVerdict::Banned(PromptTag(7)));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug)]
pub struct PromptGuard {
    clock: Clock,
    suspects: Mutex<CrashSuspects>,
    suspected_count: AtomicU64,
}

impl Default for PromptGuard {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            suspects: Mutex::default(),
            suspected_count: AtomicU64::new(0),
        }
    }
}

impl PromptGuard {
    /// Checks a prompt before it is sent to an endpoint.
    ///
    /// `runs_trials` returns whether this daemon tries a banned part for the whole fleet.
    pub fn check(
        &self,
        parts: &[PromptTag],
        runs_trials: impl FnOnce(PromptTag) -> bool,
    ) -> PromptVerdict {
        let now = self.clock.now();
        self.suspects().check(now, parts, runs_trials)
    }

    /// Records that an endpoint crashed before or as it began to answer a prompt.
    pub fn record_crash(
        &self,
        request_id: RequestId,
        endpoint: &EndpointName,
        parts: &[PromptTag],
    ) -> CrashFinding {
        let now = self.clock.now();
        let tag = EndpointTag::new(endpoint);
        let mut suspects = self.suspects();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut finding = CrashFinding {
            has_unproven_part: !shared.iter().all(|part| suspects.is_sound(now, *part)),
            is_repeated: parts.iter().any(|part| suspects.is_suspected(now, *part)),
            ..CrashFinding::default()
        };
        for part in parts {
            let verdict = suspects.record_crash(now, *part, tag);
            tracing::info!(
                %request_id,
                %endpoint,
                %part,
                %verdict,
                "endpoint crashed as it began to answer"
            );
            if self.count_verdict(*part, verdict) {
                finding.counted.push(*part);
            }
        }
        finding
    }

    /// Records that an answer to a prompt got beyond its beginning; returns the suspected parts that
    /// it clears.
    pub fn record_answer(&self, endpoint: &EndpointName, parts: &[PromptTag]) -> PromptParts {
        let now = self.clock.now();
        let mut suspects = self.suspects();
        let parts = parts.iter().copied();
        let cleared: PromptParts = parts
            .filter(|part| suspects.record_answer(now, *part))
            .collect();
        for part in &cleared {
            tracing::info!(%part, %endpoint, "part cleared");
        }
        cleared
    }

    /// Applies a peer's update; returns the answer that contradicts it, if there is one.
    ///
    /// The times are of the clock of `update_now`.
    pub fn apply(
        &self,
        update_now: MonotonicMs,
        update: &EndpointUpdate,
    ) -> Option<EndpointUpdate> {
        let now = self.clock.now();
        let at = MonotonicMs(now.0.saturating_sub((update_now - update.at).0));
        let mut suspects = self.suspects();
        match update.observation {
            Observation::CrashedOn { part } => {
                let verdict = suspects.record_crash(at, part, update.endpoint);
                self.count_verdict(part, verdict);
                let cleared_at = suspects.cleared_at(part);
                cleared_at
                    .filter(|_| verdict == CrashVerdict::Cleared)
                    .map(|cleared_at| EndpointUpdate {
                        endpoint: update.endpoint,
                        observation: Observation::Answered { part },
                        at: MonotonicMs(update_now.0.saturating_sub((now - cleared_at).0)),
                    })
            }
            Observation::Answered { part } => {
                suspects.record_answer(at, part);
                None
            }
            Observation::Load { .. }
            | Observation::Unreachable
            | Observation::HoldsPrompt { .. } => None,
        }
    }

    /// Counts a crash; returns whether it counts against the part.
    fn count_verdict(&self, part: PromptTag, verdict: CrashVerdict) -> bool {
        match verdict {
            CrashVerdict::Cleared | CrashVerdict::Known => return false,
            CrashVerdict::Suspected => {}
            CrashVerdict::Banned => tracing::warn!(%part, "part banned"),
        }
        self.suspected_count.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Returns the number of banned parts.
    pub fn banned_count(&self) -> usize {
        self.suspects().banned_count(self.clock.now())
    }

    /// Takes the number of crashes, by part, that have counted against their part since the last
    /// call.
    pub fn take_suspected_count(&self) -> u64 {
        self.suspected_count.swap(0, Ordering::Relaxed)
    }

    fn suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
