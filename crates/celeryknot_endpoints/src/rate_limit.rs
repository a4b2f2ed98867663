//! The rate limit that an endpoint states in its response.

use celeryknot_core::RatePerS;
use http::HeaderMap;

/// What a response states about the rate at which its endpoint accepts requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimitField {
    /// It states no limit.
    #[default]
    Absent,
    /// The rate that the endpoint accepts from all daemons together.
    Limit(RatePerS),
    /// It states a limit that can't be read.
    Malformed,
}

/// Reads the header field that states a rate limit; one that occurs twice is malformed.
///
/// # Examples
///
/// ```
/// use celeryknot_core::RatePerS;
/// use celeryknot_endpoints::rate_limit::{RateLimitField, read_rate_limit};
///
/// let mut headers = http::HeaderMap::new();
/// assert_eq!(read_rate_limit(&headers, "celeryknot-rate-limit"), RateLimitField::Absent);
/// headers.insert("celeryknot-rate-limit", "2.5".parse()?);
/// let limit = read_rate_limit(&headers, "celeryknot-rate-limit");
/// assert_eq!(limit, RateLimitField::Limit(RatePerS(2.5)));
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
pub fn read_rate_limit(headers: &HeaderMap, name: &str) -> RateLimitField {
    let mut values = headers.get_all(name).iter();
    let (Some(value), second) = (values.next(), values.next()) else {
        return RateLimitField::Absent;
    };
    let rate = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match rate.filter(|_| second.is_none()) {
        Some(rate) => RateLimitField::Limit(rate),
        None => RateLimitField::Malformed,
    }
}
