//! Whether a failed request may be retried.
//!
//! | failure | may have run | retried |
//! | --- | --- | --- |
//! | not sent, not sent in time | no | yes |
//! | refused, misdirected | no | yes |
//! | unanswered, connection lost, broken, mismatched | yes | if the route's requests are repeatable |
//! | error of the endpoint | yes | if the route's requests are repeatable |

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::routing::RouteKind;

/// Maximum number of attempts that certainly did not run; after that the request is refused.
pub const NOT_RUN_ATTEMPTS_MAX: u32 = 3;

/// How an attempt failed before any byte of its response was forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptFailure {
    /// The connection could not be opened; no byte was sent.
    NotSent,
    /// The time for the attempt passed before a byte was sent.
    NotSentInTime,
    /// The endpoint refused the request without running it.
    Refused,
    /// Another endpoint now has the address.
    Misdirected,
    /// No response arrived in time.
    Unanswered,
    /// The connection ended before a response.
    ConnectionLost,
    /// The response is truncated or malformed.
    Broken,
    /// The response belongs to another request.
    Mismatched,
    /// The endpoint responded with an error of its own.
    EndpointError,
}

impl AttemptFailure {
    /// Returns whether the endpoint was not reached at all.
    pub const fn is_unreachable(self) -> bool {
        match self {
            Self::NotSent | Self::Misdirected => true,
            Self::NotSentInTime
            | Self::Refused
            | Self::Unanswered
            | Self::ConnectionLost
            | Self::Broken
            | Self::Mismatched
            | Self::EndpointError => false,
        }
    }

    /// Returns whether a byte of the request may have reached the endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::direct::AttemptFailure;
    ///
    /// assert!(AttemptFailure::Refused.may_have_arrived());
    /// assert!(!AttemptFailure::NotSentInTime.may_have_arrived());
    /// ```
    pub const fn may_have_arrived(self) -> bool {
        match self {
            Self::NotSent | Self::NotSentInTime => false,
            Self::Refused
            | Self::Misdirected
            | Self::Unanswered
            | Self::ConnectionLost
            | Self::Broken
            | Self::Mismatched
            | Self::EndpointError => true,
        }
    }

    /// Returns whether the endpoint may have run the request.
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::NotSentInTime | Self::Refused | Self::Misdirected => false,
            Self::Unanswered
            | Self::ConnectionLost
            | Self::Broken
            | Self::Mismatched
            | Self::EndpointError => true,
        }
    }
}

/// Outcomes of the failed attempts of one request.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::{AttemptFailure, AttemptHistory};
/// use celeryknot_policy::routing::RouteKind;
///
/// let mut history = AttemptHistory::new(RouteKind::NonIdempotent, 2);
/// history.record_failure(AttemptFailure::Refused);
/// assert!(history.may_retry());
/// history.record_failure(AttemptFailure::Unanswered);
/// assert!(!history.may_retry());
/// assert!(history.may_have_run());
/// ```
#[derive(Debug, Clone)]
pub struct AttemptHistory {
    kind: RouteKind,
    attempts_max: u32,
    maybe_run: u32,
    not_run: u32,
    /// Attempts that reached an endpoint.
    arrivals: u32,
    /// Attempts for which the retry budget has paid.
    paid: u32,
}

impl AttemptHistory {
    /// Creates an empty history; at most `attempts_max` endpoints may run the request.
    pub fn new(kind: RouteKind, attempts_max: u32) -> Self {
        Self {
            kind,
            attempts_max: attempts_max.max(1),
            maybe_run: 0,
            not_run: 0,
            arrivals: 0,
            paid: 0,
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        if failure.may_have_run() {
            self.maybe_run += 1;
        } else {
            self.not_run += 1;
        }
        self.arrivals += u32::from(failure.may_have_arrived());
    }

    /// Records that the retry budget pays for another attempt.
    pub fn record_payment(&mut self) {
        self.paid += 1;
    }

    /// Returns whether the retry budget must pay for another attempt, if one that is still running
    /// failed now.
    ///
    /// The first that reaches an endpoint is free, and so is one after another that was paid for and
    /// reached none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::direct::{AttemptFailure, AttemptHistory};
    /// use celeryknot_policy::routing::RouteKind;
    ///
    /// let mut history = AttemptHistory::new(RouteKind::Idempotent, 2);
    /// assert!(!history.is_payment_due_after(AttemptFailure::NotSent));
    /// history.record_failure(AttemptFailure::Refused);
    /// assert!(history.is_payment_due());
    /// history.record_payment();
    /// assert!(!history.is_payment_due_after(AttemptFailure::NotSent));
    /// ```
    pub fn is_payment_due_after(&self, failure: AttemptFailure) -> bool {
        let mut history = self.clone();
        history.record_failure(failure);
        history.is_payment_due()
    }

    /// Returns whether the retry budget must pay for another attempt.
    pub fn is_payment_due(&self) -> bool {
        self.arrivals > self.paid
    }

    /// Returns the number of failed attempts.
    pub fn failed_attempts(&self) -> u32 {
        self.maybe_run + self.not_run
    }

    /// Returns whether an endpoint may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.maybe_run > 0
    }

    /// Returns whether a retry would be safe and within the route's limits if an attempt that is
    /// still running failed now.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::direct::{AttemptFailure, AttemptHistory};
    /// use celeryknot_policy::routing::RouteKind;
    ///
    /// let mut history = AttemptHistory::new(RouteKind::Idempotent, 2);
    /// assert!(history.may_retry_after(AttemptFailure::Unanswered));
    /// history.record_failure(AttemptFailure::EndpointError);
    /// assert!(!history.may_retry_after(AttemptFailure::Unanswered));
    /// ```
    pub fn may_retry_after(&self, failure: AttemptFailure) -> bool {
        let mut history = self.clone();
        history.record_failure(failure);
        history.may_retry()
    }

    /// Returns whether a retry is safe and within the route's limits.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.maybe_run == 0 || self.kind.is_repeatable();
        is_safe && self.maybe_run < self.attempts_max && self.not_run < NOT_RUN_ATTEMPTS_MAX
    }
}
