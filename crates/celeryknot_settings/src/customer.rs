//! Settings of one customer, under `teams/<team>/customers/<customer>`.

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
