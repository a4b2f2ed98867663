//! How long work takes at an endpoint, compared with the usual time.

use std::fmt;
use std::str::FromStr;

use crate::quantity::QuantityError;

/// How long work takes at an endpoint, in per cent of the usual time: 250 is two and a half times as
/// long.
///
/// # Examples
///
/// ```
/// use celeryknot_core::EndpointPace;
///
/// let pace: EndpointPace = "250".parse()?;
/// assert_eq!(pace.factor(), 2.5);
/// assert_eq!(pace.to_string(), "250");
/// assert_eq!("99.6".parse(), Ok(EndpointPace::USUAL));
/// assert!("9".parse::<EndpointPace>().is_err());
/// # Ok::<(), celeryknot_core::QuantityError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointPace(u16);

impl EndpointPace {
    /// The usual time.
    pub const USUAL: Self = Self(100);

    /// The shortest time that an endpoint can report; shorter ones are taken for faults.
    pub const MIN: Self = Self(10);

    /// The longest time that an endpoint can report; longer ones are taken for faults.
    pub const MAX: Self = Self(10_000);

    /// Returns the pace of a number of per cent, if it is in the range.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::EndpointPace;
    ///
    /// assert_eq!(EndpointPace::from_percent(100), Some(EndpointPace::USUAL));
    /// assert_eq!(EndpointPace::from_percent(10_001), None);
    /// ```
    pub fn from_percent(percent: u32) -> Option<Self> {
        let pace = Self(u16::try_from(percent).ok()?);
        (Self::MIN..=Self::MAX).contains(&pace).then_some(pace)
    }

    /// Returns the pace nearest to a multiple of the usual time.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::EndpointPace;
    ///
    /// assert_eq!(EndpointPace::from_factor(2.5).percent(), 250);
    /// assert_eq!(EndpointPace::from_factor(0.0), EndpointPace::MIN);
    /// ```
    pub fn from_factor(factor: f64) -> Self {
        let percent = (factor * 100.0).round() as u16;
        Self(percent).clamp(Self::MIN, Self::MAX)
    }

    /// Returns the per cent of the usual time.
    pub fn percent(self) -> u32 {
        u32::from(self.0)
    }

    /// Returns the multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for EndpointPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for EndpointPace {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let factor = text.parse().ok().map(|percent: f64| percent / 100.0);
        factor
            .filter(|factor| (Self::MIN.factor()..=Self::MAX.factor()).contains(factor))
            .map(Self::from_factor)
            .ok_or_else(|| QuantityError::new(text, "a pace in per cent, from 10 to 10000"))
    }
}
