//! Settings of one availability zone, under `fleet/zones/<zone>` or `teams/<team>/zones/<zone>`.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

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
