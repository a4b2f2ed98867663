//! Validation of values for the fleet's state machines.

use celeryknot_core::SettingPath;
use celeryknot_fleet::Rejection;
use celeryknot_settings::value::parse_value;

/// Validates the text of a value by the rules for its path.
///
/// # Examples
///
/// ```
/// use celeryknotd::control::validate_value;
///
/// let path = "fleet/zones/hkd-a".parse()?;
/// assert!(validate_value(&path, "[zone]\nstate = out\n").is_ok());
/// let rejection = validate_value(&path, "[zone]\nstate = gone\n").unwrap_err();
/// assert!(rejection.findings[0].starts_with("fleet/zones/hkd-a:2:"));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn validate_value(path: &SettingPath, text: &str) -> Result<(), Rejection> {
    match parse_value(path, text) {
        Ok(_) => Ok(()),
        Err(findings) => Err(Rejection {
            findings: findings
                .into_iter()
                .map(|finding| finding.in_source(path.as_str()).to_string())
                .collect(),
        }),
    }
}
