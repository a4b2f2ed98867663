//! Times as plain numbers, which allows decisions to take the time as an argument.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quantity::QuantityError;

/// A point on a process's own monotonic clock, in milliseconds.
///
/// Values of different processes are not comparable.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
///
/// let start = MonotonicMs(100);
/// assert_eq!(start + DurationMs(50), MonotonicMs(150));
/// assert_eq!(start - MonotonicMs(150), DurationMs(0));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicMs(pub u64);

impl MonotonicMs {
    /// The time at which the clock of a process starts.
    ///
    /// Somewhat more than a day, so that a process that has just started can represent the times of
    /// what its peers report from before.
    pub const PROCESS_START: Self = Self(25 * 3_600_000);
}

impl fmt::Display for MonotonicMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl Add<DurationMs> for MonotonicMs {
    type Output = MonotonicMs;

    fn add(self, duration: DurationMs) -> MonotonicMs {
        MonotonicMs(self.0.saturating_add(duration.0))
    }
}

impl Sub for MonotonicMs {
    type Output = DurationMs;

    /// Returns the time since `earlier`, or zero if `earlier` is in the future.
    fn sub(self, earlier: MonotonicMs) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

/// A duration in milliseconds, written as `250ms`, `4s`, `10min` or `250`.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
///
/// assert_eq!("4s".parse(), Ok(DurationMs(4000)));
/// assert_eq!("250".parse(), Ok(DurationMs(250)));
/// assert_eq!(DurationMs(250).to_string(), "250ms");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationMs(pub u64);

impl DurationMs {
    /// Converts to the standard library's type.
    pub const fn as_std(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration in whole seconds, rounded up, for `Retry-After`.
    pub const fn as_secs_rounded_up(self) -> u64 {
        self.0.div_ceil(1000)
    }
}

impl Add for DurationMs {
    type Output = DurationMs;

    fn add(self, other: DurationMs) -> DurationMs {
        DurationMs(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl From<Duration> for DurationMs {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for DurationMs {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        const EXPECTED: &str = "a length of time such as 250, 250ms, 4s or 10min";
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale_ms = match &text[digits.len()..] {
            "" | "ms" => 1,
            "s" => 1000,
            "min" => 60_000,
            _ => return Err(QuantityError::new(text, EXPECTED)),
        };
        let count: u64 = digits
            .parse()
            .map_err(|_| QuantityError::new(text, EXPECTED))?;
        count
            .checked_mul(scale_ms)
            .map(Self)
            .ok_or_else(|| QuantityError::new(text, EXPECTED))
    }
}
