//! Settings of one customer, under `teams/<team>/customers/<customer>`.

use crate::diagnostic::Diagnostic;
use crate::fields::Fields;
use crate::key_table::CUSTOMER_KEYS;

/// Settings for the traffic of one customer.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSettings {
    /// The customer's weight when customers compete for an endpoint.
    pub share_weight: f64,
    /// SHA-256 of the bearer token that the customer's callers must send, in hex.
    pub token_sha256: Option<String>,
}

impl Default for CustomerSettings {
    fn default() -> Self {
        Self {
            share_weight: 1.0,
            token_sha256: None,
        }
    }
}

impl CustomerSettings {
    /// Parses and validates the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::CustomerSettings;
    ///
    /// let settings = CustomerSettings::parse("[customer]\nshare_weight = 4\n")?;
    /// assert_eq!(settings.share_weight, 4.0);
    /// # Ok::<(), Vec<celeryknot_settings::Diagnostic>>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let fields = Fields::parse(CUSTOMER_KEYS, text)?;
        let token_sha256: Option<String> = fields.optional("customer", "token_sha256");
        Ok(Self {
            share_weight: fields.get("customer", "share_weight"),
            token_sha256: token_sha256.map(|digest| digest.to_ascii_lowercase()),
        })
    }
}
