//! Whether a daemon that shuts down accepts a request.

use celeryknot_core::DurationMs;
use strum::{Display, EnumIter, IntoStaticStr};

use super::answer_times::LongestAnswer;

/// Whether callers can know of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ShutdownPhase {
    /// The balancer may not have noticed yet: a retry may come back to this daemon, or to another
    /// one in the same phase.
    Announcing,
    /// The balancer has had time to notice.
    Announced,
}

/// What is known of a request that arrives during a shutdown.
///
/// A caller whose answer is cut has half of it, while one that is refused can be served by another
/// daemon. A request is therefore accepted only if its time limit or its length fits: the longest
/// that it may get, or, while a retry may come back, the longest to expect.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::direct::{LongestAnswer, ShutdownAdmission, ShutdownPhase};
///
/// let mut request = ShutdownAdmission {
///     phase: ShutdownPhase::Announced,
///     time_left_ms: DurationMs(2_000),
///     time_limit_ms: DurationMs(5_000),
///     expected: None,
///     allowed: None,
/// };
/// assert!(!request.is_accepted());
/// let longest_ms = DurationMs(300);
/// request.allowed = Some(LongestAnswer { answers: 50, longest_ms });
/// assert!(request.is_accepted());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownAdmission {
    /// The phase of the shutdown.
    pub phase: ShutdownPhase,
    /// Time until answers must have ended.
    pub time_left_ms: DurationMs,
    /// Time after which the request ends in any case: its deadline or its route's timeout.
    pub time_limit_ms: DurationMs,
    /// The longest answer to expect; `None` if there is no basis for one.
    pub expected: Option<LongestAnswer>,
    /// The longest answer that the request may get; `None` if only its time limit bounds it.
    pub allowed: Option<LongestAnswer>,
}

impl ShutdownAdmission {
    /// Returns whether the answer ends before the shutdown does.
    pub fn is_accepted(&self) -> bool {
        let fits = |needed_ms: DurationMs| needed_ms <= self.time_left_ms;
        fits(self.time_limit_ms) || self.needed_ms().is_some_and(fits)
    }

    /// Returns the time that the answer needs at most.
    ///
    /// A refusal costs more while retries come back, so that the expected length counts then,
    /// without a margin.
    pub fn needed_ms(&self) -> Option<DurationMs> {
        match self.phase {
            ShutdownPhase::Announcing => self.expected.map(|longest| longest.longest_ms),
            ShutdownPhase::Announced => self.allowed?.upper_bound(),
        }
    }

    /// Returns the number of answers that the needed time is derived from.
    pub fn answers(&self) -> u32 {
        let longest = match self.phase {
            ShutdownPhase::Announcing => self.expected,
            ShutdownPhase::Announced => self.allowed,
        };
        longest.map_or(0, |longest| longest.answers)
    }
}
