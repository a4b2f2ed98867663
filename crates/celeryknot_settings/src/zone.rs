//! Settings of one availability zone, under `fleet/zones/<zone>` or `teams/<team>/zones/<zone>`.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::diagnostic::Diagnostic;
use crate::fields::Fields;
use crate::key_table::ZONE_KEYS;

/// Whether a zone takes new work.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneState {
    /// The zone takes new work.
    #[default]
    In,
    /// Operators have taken the zone out: it gets no new work.
    Out,
}

/// What operators decide about one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Whether the zone takes new work.
    pub state: ZoneState,
}

impl ZoneSettings {
    /// Parses and checks the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings where the text is not accepted.
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
        let fields = Fields::read(ZONE_KEYS, text)?;
        Ok(Self {
            state: fields.get("zone", "state"),
        })
    }
}
