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
/// daemon. A request is therefore accepted only if its time limit or its expected length fits.
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
///     longest: None,
/// };
/// assert!(!request.is_accepted());
/// let longest_ms = DurationMs(300);
/// request.longest = Some(LongestAnswer { answers: 50, longest_ms });
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
    pub longest: Option<LongestAnswer>,
}

impl ShutdownAdmission {
    /// Returns whether the answer is expected to end before the shutdown does.
    pub fn is_accepted(&self) -> bool {
        let fits = |needed_ms: DurationMs| needed_ms <= self.time_left_ms;
        fits(self.time_limit_ms) || self.expected_ms().is_some_and(fits)
    }

    /// Returns the length that is expected of the answer at most.
    ///
    /// A refusal costs more while retries come back, so that the length needs no margin then.
    pub fn expected_ms(&self) -> Option<DurationMs> {
        let longest = self.longest?;
        match self.phase {
            ShutdownPhase::Announcing => Some(longest.longest_ms),
            ShutdownPhase::Announced => longest.upper_bound(),
        }
    }
}
