//! The version of an endpoint's software.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a version in bytes.
const VERSION_LEN_MAX_BYTES: usize = 200;

/// The version of the software that an endpoint runs; versions have no order.
///
/// # Examples
///
/// ```
/// use celeryknot_core::SoftwareVersion;
///
/// let version: SoftwareVersion = "v1.2+hotfix".parse()?;
/// assert_eq!(version.to_string(), "v1.2+hotfix");
/// assert!("".parse::<SoftwareVersion>().is_err());
/// # Ok::<(), celeryknot_core::SoftwareVersionError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

/// The error returned when a text is not a version: it is empty or longer than 200 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoftwareVersionError {
    len_bytes: usize,
}

impl fmt::Display for SoftwareVersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let len_bytes = self.len_bytes;
        write!(
            f,
            "a software version has 1 to {VERSION_LEN_MAX_BYTES} bytes, not {len_bytes}"
        )
    }
}

impl std::error::Error for SoftwareVersionError {}

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, SoftwareVersionError> {
        match text.len() {
            1..=VERSION_LEN_MAX_BYTES => Ok(Self(text.into())),
            len_bytes => Err(SoftwareVersionError { len_bytes }),
        }
    }
}
