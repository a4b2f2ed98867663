//! Sizes, rates and counts with their units.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::time::DurationMs;

/// The error returned when a text is not a valid size, rate or duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuantityError {
    text: String,
    expected: &'static str,
}

impl QuantityError {
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.chars().take(40).collect(),
            expected,
        }
    }
}

impl fmt::Display for QuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not {}", self.text.escape_debug(), self.expected)
    }
}

impl std::error::Error for QuantityError {}

const MS_PER_S: f64 = 1_000.0;
const KIB_BYTES: u64 = 1 << 10;
const MIB_BYTES: u64 = 1 << 20;
const GIB_BYTES: u64 = 1 << 30;

/// A size in bytes, written as `512`, `8KiB`, `1MiB` or `2GiB`.
///
/// # Examples
///
/// ```
/// use celeryknot_core::SizeBytes;
///
/// assert_eq!("8KiB".parse(), Ok(SizeBytes(8192)));
/// assert_eq!(SizeBytes(8192).to_string(), "8KiB");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SizeBytes(pub u64);

impl fmt::Display for SizeBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0"),
            n if n % GIB_BYTES == 0 => write!(f, "{}GiB", n / GIB_BYTES),
            n if n % MIB_BYTES == 0 => write!(f, "{}MiB", n / MIB_BYTES),
            n if n % KIB_BYTES == 0 => write!(f, "{}KiB", n / KIB_BYTES),
            n => write!(f, "{n}"),
        }
    }
}

impl FromStr for SizeBytes {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        const EXPECTED: &str = "a size such as 512, 8KiB, 1MiB or 2GiB";
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let scale = match &text[digits.len()..] {
            "" | "B" => 1,
            "KiB" => KIB_BYTES,
            "MiB" => MIB_BYTES,
            "GiB" => GIB_BYTES,
            _ => return Err(QuantityError::new(text, EXPECTED)),
        };
        let count: u64 = digits
            .parse()
            .map_err(|_| QuantityError::new(text, EXPECTED))?;
        count
            .checked_mul(scale)
            .map(Self)
            .ok_or_else(|| QuantityError::new(text, EXPECTED))
    }
}

/// A rate per second.
///
/// # Examples
///
/// ```
/// use celeryknot_core::RatePerS;
///
/// assert_eq!("2.5".parse(), Ok(RatePerS(2.5)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RatePerS(pub f64);

impl RatePerS {
    /// Returns how many events occur in a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, RatePerS};
    ///
    /// assert_eq!(RatePerS(2.5).count_in(DurationMs(4_000)), 10.0);
    /// ```
    pub fn count_in(self, time: DurationMs) -> f64 {
        self.0 * time.0 as f64 / MS_PER_S
    }

    /// Returns the time in which a number of events occur, rounded up; the longest time for rate 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, RatePerS};
    ///
    /// assert_eq!(RatePerS(2.5).time_for(3.0), DurationMs(1_200));
    /// ```
    pub fn time_for(self, count: f64) -> DurationMs {
        DurationMs((count * MS_PER_S / self.0).ceil() as u64)
    }
}

impl fmt::Display for RatePerS {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RatePerS {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        const EXPECTED: &str = "a rate per second, a number from 0 up";
        let rate: f64 = text
            .parse()
            .map_err(|_| QuantityError::new(text, EXPECTED))?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(QuantityError::new(text, EXPECTED));
        }
        Ok(Self(rate))
    }
}

/// A number of tokens.
///
/// # Examples
///
/// ```
/// use celeryknot_core::TokenCount;
///
/// assert_eq!("120".parse(), Ok(TokenCount(120)));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u32);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        text.parse()
            .map(Self)
            .map_err(|_| QuantityError::new(text, "a number of tokens"))
    }
}
