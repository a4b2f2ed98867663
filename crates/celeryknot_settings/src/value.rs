//! A value under a path of the configuration service.

use strum::{Display, EnumString, IntoStaticStr};

use crate::{CustomerSettings, RolloutSettings, ServiceSettings, ZoneSettings};

/// The kinds of value, told apart by their path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ValueKind {
    /// `fleet/zones/<zone>`.
    FleetZone,
    /// `teams/<team>/zones/<zone>`.
    TeamZone,
    /// `teams/<team>/services/<service>`.
    Service,
    /// `teams/<team>/customers/<customer>`.
    Customer,
    /// `teams/<team>/rollouts/<service>`.
    Rollout,
}

/// A parsed value.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingValue {
    /// A zone, for the whole fleet or for one team.
    Zone(ZoneSettings),
    /// A service of a team.
    Service(Box<ServiceSettings>),
    /// A customer of a team.
    Customer(CustomerSettings),
    /// A rollout of a team's service.
    Rollout(RolloutSettings),
}
