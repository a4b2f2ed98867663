//! Settings of one customer, under `teams/<team>/customers/<customer>`.

use crate::diagnostic::Diagnostic;
use crate::fields::Fields;
use crate::key_table::CUSTOMER_KEYS;

/// How one customer's traffic is treated.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSettings {
    /// The customer's weight when customers compete for an endpoint.
    pub share_weight: f64,
    /// SHA-256 of the bearer token that the customer's callers must show, in hex.
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
    /// Parses and checks the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings where the text is not accepted.
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
        let fields = Fields::read(CUSTOMER_KEYS, text)?;
        let token_sha256: Option<String> = fields.optional("customer", "token_sha256");
        Ok(Self {
            share_weight: fields.get("customer", "share_weight"),
            token_sha256: token_sha256.map(|sum| sum.to_ascii_lowercase()),
        })
    }
}
