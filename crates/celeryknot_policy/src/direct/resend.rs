//! Whether a request may be sent once more.
//!
//! | failure | may have run | sent again |
//! | --- | --- | --- |
//! | not sent | no | yes |
//! | refused, misdirected | no | yes |
//! | unanswered, broken, mismatched | yes | if the route's requests are repeatable |
//! | error of the endpoint | yes | if the route's requests are repeatable |

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::routing::RouteKind;

/// Sends of one request that were certainly not run before it is refused.
pub const NOT_RUN_MAX: u32 = 3;

/// How a send failed before a byte of its answer was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendFailure {
    /// No connection could be opened; no byte was sent.
    NotSent,
    /// The endpoint said that it did not run the request.
    Refused,
    /// Another endpoint has the address.
    Misdirected,
    /// The connection ended, or no answer came in time.
    Unanswered,
    /// The answer ended early or can't be read.
    Broken,
    /// The answer belongs to another request.
    Mismatched,
    /// The endpoint answered with an error of its own.
    EndpointError,
}

impl SendFailure {
    /// Tells whether the endpoint is not there at all.
    pub const fn is_unreachable(self) -> bool {
        match self {
            Self::NotSent | Self::Misdirected => true,
            Self::Refused
            | Self::Unanswered
            | Self::Broken
            | Self::Mismatched
            | Self::EndpointError => false,
        }
    }

    /// Tells whether the endpoint may have run the request.
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::Refused | Self::Misdirected => false,
            Self::Unanswered | Self::Broken | Self::Mismatched | Self::EndpointError => true,
        }
    }
}

/// What has become of the sends of one request.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::{SendFailure, SendHistory};
/// use celeryknot_policy::routing::RouteKind;
///
/// let mut history = SendHistory::new(RouteKind::NonIdempotent, 2);
/// history.note(SendFailure::Refused);
/// assert!(history.may_send_again());
/// history.note(SendFailure::Unanswered);
/// assert!(!history.may_send_again());
/// assert!(history.may_have_run());
/// ```
#[derive(Debug, Clone)]
pub struct SendHistory {
    kind: RouteKind,
    runs_max: u32,
    runs: u32,
    not_run: u32,
}

impl SendHistory {
    /// Starts with no send; `attempts_max` endpoints may run the request.
    pub fn new(kind: RouteKind, attempts_max: u32) -> Self {
        Self {
            kind,
            runs_max: attempts_max.max(1),
            runs: 0,
            not_run: 0,
        }
    }

    /// Notes that a send failed.
    pub fn note(&mut self, failure: SendFailure) {
        if failure.may_have_run() {
            self.runs += 1;
        } else {
            self.not_run += 1;
        }
    }

    /// Returns how many sends failed.
    pub fn sends(&self) -> u32 {
        self.runs + self.not_run
    }

    /// Tells whether an endpoint may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Tells whether one more send can do no harm and is within the route's limits.
    pub fn may_send_again(&self) -> bool {
        let is_safe = self.runs == 0 || self.kind.is_repeatable();
        is_safe && self.runs < self.runs_max && self.not_run < NOT_RUN_MAX
    }
}
