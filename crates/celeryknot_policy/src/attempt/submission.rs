//! All attempts of one submitted request.

use celeryknot_core::{ErrorKind, Execution};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

use super::{Attempt, AttemptEvent, AttemptOutcome, AttemptState, CallSafety};

/// Maximum number of attempts of one submission.
pub const ATTEMPTS_MAX: usize = 8;

/// Identifies one attempt of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptIndex(usize);

/// Why no further attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StartError {
    /// An earlier attempt may have been sent, and the request is not idempotent.
    MaybeRun,
    /// An attempt of the non-idempotent request has not ended.
    InProgress,
    /// The complete response was received.
    Answered,
    /// The submission has made [`ATTEMPTS_MAX`] attempts.
    TooMany,
}

/// Tracks the attempts of one submitted request and allows further ones only while that is safe.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::attempt::{AttemptEvent, CallSafety, StartError, Submission};
///
/// let mut booking = Submission::new(CallSafety::NonIdempotent);
/// let first = booking.start_attempt()?;
/// booking.apply(first, AttemptEvent::ConnectFailed);
/// let second = booking.start_attempt()?;
/// booking.apply(second, AttemptEvent::SendStarted);
/// booking.apply(second, AttemptEvent::ConnectionLost);
/// assert_eq!(booking.start_attempt(), Err(StartError::MaybeRun));
/// # Ok::<(), StartError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Submission {
    safety: CallSafety,
    attempts: SmallVec<[Attempt; 4]>,
}

impl Submission {
    /// Creates a submission without an attempt.
    pub fn new(safety: CallSafety) -> Self {
        Self {
            safety,
            attempts: SmallVec::new(),
        }
    }

    /// Returns whether the request may run more than once.
    pub const fn safety(&self) -> CallSafety {
        self.safety
    }

    /// Starts a further attempt if that is safe.
    ///
    /// An idempotent request may have several open attempts (hedged requests); a non-idempotent
    /// one has at most one, and none after an attempt that may have been sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if a further attempt is not safe.
    pub fn start_attempt(&mut self) -> Result<AttemptIndex, StartError> {
        self.check_start()?;
        self.attempts.push(Attempt::new());
        Ok(AttemptIndex(self.attempts.len() - 1))
    }

    /// Returns whether a further attempt is safe now.
    pub fn may_retry(&self) -> bool {
        self.check_start().is_ok()
    }

    /// Marks an attempt as sent and returns `true` if it may pass its first byte to a connection.
    ///
    /// The driver must call this directly before the first byte, after its last await.
    pub fn try_start_send(&mut self, index: AttemptIndex) -> bool {
        let Some(attempt) = self.attempts.get(index.0) else {
            return false;
        };
        if attempt.state() != AttemptState::NotSent || attempt.has_ended() {
            return false;
        }
        let allows_send = |(position, other): (usize, &Attempt)| {
            position == index.0
                || !matches!(
                    other.state(),
                    AttemptState::MaybeSent | AttemptState::Answered
                )
        };
        if self.safety == CallSafety::NonIdempotent
            && !self.attempts.iter().enumerate().all(allows_send)
        {
            return false;
        }
        self.apply(index, AttemptEvent::SendStarted);
        true
    }

    /// Applies an event to an attempt and returns the attempt's new state.
    pub fn apply(&mut self, index: AttemptIndex, event: AttemptEvent) -> AttemptState {
        self.attempts
            .get_mut(index.0)
            .map_or(AttemptState::NotSent, |attempt| attempt.apply(event))
    }

    /// Returns the outcome of the submission.
    ///
    /// A submission is `not run` only if every attempt is known not to have run.
    pub fn outcome(&self) -> AttemptOutcome {
        let mut last_not_run = None;
        let mut maybe_run = None;
        let mut is_pending = self.attempts.is_empty();
        for outcome in self.attempts.iter().map(Attempt::outcome) {
            match outcome {
                AttemptOutcome::Answered => return AttemptOutcome::Answered,
                AttemptOutcome::Pending => is_pending = true,
                AttemptOutcome::Failed { kind, execution } => match execution {
                    Execution::NotRun => last_not_run = Some(outcome),
                    Execution::Run | Execution::Unknown => {
                        maybe_run = Some(prefer_run(maybe_run, kind, execution));
                    }
                },
            }
        }
        if is_pending {
            return AttemptOutcome::Pending;
        }
        maybe_run
            .or(last_not_run)
            .unwrap_or(AttemptOutcome::Pending)
    }

    /// Returns the number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    fn check_start(&self) -> Result<(), StartError> {
        if self.attempts.len() >= ATTEMPTS_MAX {
            return Err(StartError::TooMany);
        }
        for attempt in &self.attempts {
            match (attempt.state(), self.safety) {
                (AttemptState::Answered, _) => return Err(StartError::Answered),
                (AttemptState::KnownNotRun, _)
                | (AttemptState::MaybeSent | AttemptState::NotSent, CallSafety::Idempotent) => {}
                (AttemptState::MaybeSent, CallSafety::NonIdempotent) => {
                    return Err(StartError::MaybeRun);
                }
                (AttemptState::NotSent, CallSafety::NonIdempotent) => {
                    if !attempt.has_ended() {
                        return Err(StartError::InProgress);
                    }
                }
            }
        }
        Ok(())
    }
}

fn prefer_run(
    previous: Option<AttemptOutcome>,
    kind: ErrorKind,
    execution: Execution,
) -> AttemptOutcome {
    match previous {
        Some(failed) if failed.execution() == Execution::Run => failed,
        Some(_) | None => AttemptOutcome::Failed { kind, execution },
    }
}
