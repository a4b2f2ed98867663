//! All attempts of one submitted request.

use celeryknot_core::{ErrorKind, Execution};
use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

use super::{Attempt, AttemptEvent, AttemptState, CallSafety, Judgement};

/// Most attempts of one submission.
pub const ATTEMPTS_MAX: usize = 8;

/// Names one attempt of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptIndex(usize);

/// Why no further attempt may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StartError {
    /// An earlier attempt may have been sent, and the request is not idempotent.
    MaybeRun,
    /// An attempt of the non-idempotent request has not ended.
    InProgress,
    /// The whole answer has come.
    Answered,
    /// The most attempts have been made.
    TooMany,
}

/// Runs one submitted request by as many attempts as are safe.
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
    /// Starts a submission without an attempt.
    pub fn new(safety: CallSafety) -> Self {
        Self {
            safety,
            attempts: SmallVec::new(),
        }
    }

    /// Returns whether running the request twice does harm.
    pub const fn safety(&self) -> CallSafety {
        self.safety
    }

    /// Starts a further attempt if that is safe.
    ///
    /// An idempotent request may have several attempts open (a hedge); a non-idempotent one has
    /// at most one, and none after an attempt that may have been sent.
    ///
    /// # Errors
    ///
    /// Says why a further attempt is not safe.
    pub fn start_attempt(&mut self) -> Result<AttemptIndex, StartError> {
        self.check_start()?;
        self.attempts.push(Attempt::new());
        Ok(AttemptIndex(self.attempts.len() - 1))
    }

    /// Tells whether a further attempt would be safe now.
    pub fn may_retry(&self) -> bool {
        self.check_start().is_ok()
    }

    /// Asks for leave to hand the first byte of an attempt to a connection, and notes it.
    ///
    /// The driver must call this directly before the first byte, after its last await.
    pub fn may_send(&mut self, index: AttemptIndex) -> bool {
        let Some(attempt) = self.attempts.get(index.0) else {
            return false;
        };
        if attempt.state() != AttemptState::NotSent || attempt.has_ended() {
            return false;
        }
        let is_first_send = |(at, other): (usize, &Attempt)| {
            at == index.0
                || !matches!(
                    other.state(),
                    AttemptState::MaybeSent | AttemptState::Answered
                )
        };
        if self.safety == CallSafety::NonIdempotent
            && !self.attempts.iter().enumerate().all(is_first_send)
        {
            return false;
        }
        self.apply(index, AttemptEvent::SendStarted);
        true
    }

    /// Takes in an event of an attempt and returns what is known of that attempt now.
    pub fn apply(&mut self, index: AttemptIndex, event: AttemptEvent) -> AttemptState {
        self.attempts
            .get_mut(index.0)
            .map_or(AttemptState::NotSent, |attempt| attempt.apply(event))
    }

    /// Returns what is to be said of the submission.
    ///
    /// A submission is `not run` only if that is known of every attempt.
    pub fn judge(&self) -> Judgement {
        let mut last_not_run = None;
        let mut worst = None;
        let mut is_pending = self.attempts.is_empty();
        for judgement in self.attempts.iter().map(Attempt::judge) {
            match judgement {
                Judgement::Answered => return Judgement::Answered,
                Judgement::Pending => is_pending = true,
                Judgement::Failed { kind, execution } => match execution {
                    Execution::NotRun => last_not_run = Some(judgement),
                    Execution::Run | Execution::Unknown => {
                        worst = Some(prefer_run(worst, kind, execution));
                    }
                },
            }
        }
        if is_pending {
            return Judgement::Pending;
        }
        worst.or(last_not_run).unwrap_or(Judgement::Pending)
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

fn prefer_run(worst: Option<Judgement>, kind: ErrorKind, execution: Execution) -> Judgement {
    match worst {
        Some(held) if held.execution() == Execution::Run => held,
        Some(_) | None => Judgement::Failed { kind, execution },
    }
}
