//! API keys in messages.

use std::fmt;

/// Maximum number of characters of a key that are shown.
const SHOWN_CHARS_MAX: usize = 4;

/// Share of a key that may be shown: one in so many characters, so that a short key stays secret.
const CHARS_PER_SHOWN_CHAR: usize = 4;

/// An API key of which only the beginning is shown.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::routing::review::MaskedKey;
///
/// assert_eq!(MaskedKey::new("k-8f2c91d07be4a655").to_string(), "k-8f…");
/// assert_eq!(MaskedKey::new("abc").to_string(), "…");
/// ```
#[derive(Clone, Copy)]
pub struct MaskedKey<'a>(&'a str);

impl<'a> MaskedKey<'a> {
    /// Wraps a key.
    pub const fn new(key: &'a str) -> Self {
        Self(key)
    }
}

impl fmt::Display for MaskedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = (self.0.chars().count() / CHARS_PER_SHOWN_CHAR).min(SHOWN_CHARS_MAX);
        let beginning: String = self.0.chars().take(shown).collect();
        write!(f, "{beginning}…")
    }
}

impl fmt::Debug for MaskedKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
