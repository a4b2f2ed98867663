//! The fleet as one daemon sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{
    EndpointName, EndpointSummary, Incarnation, MemberName, Revision, ServiceName, SettingPath,
    ZoneName,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What is known of a member.
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
    /// The member answers.
    Alive,
    /// The member has not been heard for a short time; it keeps its duties.
    Suspect,
    /// The member announced that it is shutting down.
    Leaving,
    /// The member has not been heard for longer; it has no duties.
    Dead,
}

/// One daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The daemon's name in the platform's instance list.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's current life, once it has been heard.
    pub incarnation: Option<Incarnation>,
    /// Where the daemon takes messages of its peers.
    pub peers_address: SocketAddr,
    /// Where the daemon takes requests handed over by its peers.
    pub forwards_address: SocketAddr,
    /// What is known of the daemon.
    pub state: MemberState,
}

/// Whether an endpoint refuses orders with an old fencing number.
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
    /// The endpoint refuses old numbers.
    Refuses,
    /// The endpoint ignores the number.
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
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Whether the platform says that the endpoint is leaving.
    pub is_leaving: bool,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fencing: FencingMode,
    /// The member that owns the endpoint, in this daemon's view.
    pub owner: Option<MemberName>,
    /// The last summary that an owner sent.
    pub summary: Option<EndpointSummary>,
}

/// One value in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveSetting {
    /// The value's revision at the platform.
    pub revision: Revision,
    /// The value's text; `None` where it was removed.
    pub text: Option<Arc<str>>,
}

/// The fleet as one daemon sees it, published whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// Whether this daemon has caught up with the platform or its peers.
    pub is_ready: bool,
    /// All members, this daemon included, in the order of their names.
    pub members: Vec<MemberView>,
    /// All endpoints, in the order of their names.
    pub endpoints: Vec<EndpointView>,
    /// The values in force, by path.
    pub settings: BTreeMap<SettingPath, ActiveSetting>,
}
