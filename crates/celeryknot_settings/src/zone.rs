//! Settings of one availability zone, under `fleet/zones/<zone>` or `teams/<team>/zones/<zone>`.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::diagnostic::Diagnostic;
use crate::fields::Fields;
use crate::key_table::ZONE_KEYS;

/// Whether a zone accepts requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneState {
    /// The zone accepts requests.
    #[default]
    In,
    /// Operators have evacuated the zone: it receives no new requests.
    Out,
}

/// Settings of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Whether the zone accepts requests.
    pub state: ZoneState,
}

impl ZoneSettings {
    /// Parses and validates the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::{ZoneSettings, ZoneState};
    ///
    /// assert_eq!(ZoneSettings::parse("[zone]\nstate = out\n")?.state, ZoneState::Out);
    /// # Ok::<(), Vec<celeryknot_settings::Diagnostic>>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let fields = Fields::parse(ZONE_KEYS, text)?;
        Ok(Self {
            state: fields.get("zone", "state"),
        })
    }
}
