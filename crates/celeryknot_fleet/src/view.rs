//! One daemon's view of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{
    EndpointName, EndpointSummary, Incarnation, MemberName, Revision, ServiceName, SettingPath,
    ZoneName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// State of a member in this daemon's view.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member sends heartbeats.
    Alive,
    /// The member has been silent for a short time or cannot be reached; it keeps its duties.
    Suspect,
    /// The member is draining: it announced its shutdown, or the platform is about to remove it.
    #[strum(serialize = "leaving")]
    #[serde(rename = "leaving")]
    Draining,
    /// The member did not refute its suspicion in time; it has no duties.
    Dead,
}

/// One daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The daemon's name in the platform's instance list.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's current incarnation, once it has been reported.
    pub incarnation: Option<Incarnation>,
    /// Address at which the daemon accepts messages from its peers.
    pub peers_address: SocketAddr,
    /// Address at which the daemon accepts requests forwarded by its peers.
    pub forwards_address: SocketAddr,
    /// The daemon's state.
    pub state: MemberState,
}

/// How an endpoint handles orders with an outdated fencing number.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// The endpoint rejects orders with outdated numbers.
    Refuses,
    /// The endpoint does not check the number.
    #[default]
    Ignores,
}

/// One endpoint of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// The endpoint's name in the platform's instance list.
    pub name: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// Address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Whether the platform lists the endpoint as draining.
    pub is_draining: bool,
    /// How the endpoint handles orders with an outdated fencing number.
    pub fencing: FencingMode,
    /// The member that owns the endpoint, in this daemon's view.
    pub owner: Option<MemberName>,
    /// The latest summary from an owner.
    pub summary: Option<EndpointSummary>,
}

/// An active value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveSetting {
    /// The value's revision at the platform.
    pub revision: Revision,
    /// The value's text, or `None` if the value was removed.
    pub text: Option<Arc<str>>,
}

/// A complete snapshot of one daemon's view of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// Whether this daemon is in sync with the platform or its peers.
    pub is_ready: bool,
    /// All members including this daemon, in name order.
    pub members: Vec<MemberView>,
    /// All endpoints, in name order.
    pub endpoints: Vec<EndpointView>,
    /// The active values, by path.
    pub settings: BTreeMap<SettingPath, ActiveSetting>,
}
