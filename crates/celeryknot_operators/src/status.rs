//! The state of a daemon as `/status` and `celeryknot status` give it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::{
    DurationMs, EndpointName, EndpointSummary, Incarnation, MemberName, Revision, ServiceName,
    SettingPath, ZoneName,
};
use celeryknot_fleet::{ControlKind, FencingMode, KindCount, MemberState, RolloutState};
use serde::{Deserialize, Serialize};

/// What one daemon knows and does at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's life.
    pub incarnation: Incarnation,
    /// The version of the program.
    pub version: String,
    /// Whether the daemon takes callers.
    pub is_ready: bool,
    /// Whether the daemon is shutting down.
    pub is_shutting_down: bool,
    /// What the control thread knows.
    pub control: ControlStatus,
    /// What the traffic threads do.
    pub traffic: TrafficStatus,
}

/// What the control thread knows of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Rises by one with every published snapshot.
    pub snapshot_version: u64,
    /// Whether this daemon watches the platform for its zone.
    pub is_reader: bool,
    /// The highest revision of the settings that was accepted.
    pub settings_revision: Revision,
    /// The time since the settings were last confirmed by the platform, here or at a peer.
    pub settings_age_ms: Option<DurationMs>,
    /// The daemons, in the order of their names.
    pub members: Vec<MemberStatus>,
    /// The endpoints, in the order of their names.
    pub endpoints: Vec<EndpointStatus>,
    /// The zones, in the order of their names.
    pub zones: Vec<ZoneStatus>,
    /// The settings, in the order of their paths.
    pub settings: Vec<SettingStatus>,
    /// The rollouts, in the order of their services.
    #[serde(default)]
    pub rollouts: Vec<RolloutStatus>,
    /// What was counted since the daemon started.
    #[serde(default)]
    pub counters: ControlCounters,
}

/// What the control thread has counted since the daemon started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCounters {
    /// Control traffic by kind.
    pub traffic: BTreeMap<ControlKind, KindCount>,
    /// Calls of the platform's service.
    pub platform_calls: PlatformCallCounts,
    /// Orders to engines.
    pub orders: OrderCounts,
    /// Times that the process was paused for longer than its peers wait.
    pub pauses: u64,
}

/// Calls of the platform's service, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCallCounts {
    /// The service answered with something new.
    pub changed: u64,
    /// The service answered that nothing is new.
    pub unchanged: u64,
    /// The service answered with a revision older than one seen before.
    pub stale: u64,
    /// The service did not answer.
    pub failed: u64,
}

/// Orders to engines, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCounts {
    /// The engine accepted the order.
    pub accepted: u64,
    /// The engine refused the fencing number.
    pub refused: u64,
    /// The engine did not answer.
    pub failed: u64,
}

/// One rollout as this daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service whose engines are updated.
    pub service: ServiceName,
    /// The revision of the rollout's settings.
    pub revision: Revision,
    /// The version, with `+<adapter>` where one is loaded.
    pub version: String,
    /// How far this daemon's duty has come.
    pub state: RolloutState,
}

/// One daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's life, once it has been heard.
    pub incarnation: Option<Incarnation>,
    /// Where its peers reach it.
    pub peers_address: SocketAddr,
    /// What is known of it.
    pub state: MemberState,
}

/// One endpoint of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Whether the endpoint may get new work.
    pub takes_new_work: bool,
    /// Whether the platform says that the endpoint is leaving.
    pub is_leaving: bool,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fencing: FencingMode,
    /// The daemon that owns the endpoint, in this daemon's view.
    pub owner: Option<MemberName>,
    /// The last summary that the owner sent.
    pub summary: Option<EndpointSummary>,
}

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone's name.
    pub name: ZoneName,
    /// Whether operators have taken the zone out for the whole fleet.
    pub is_out: bool,
    /// The teams that have taken the zone out for themselves.
    pub out_for_teams: Vec<String>,
    /// Alive daemons in the zone.
    pub members_alive: u32,
    /// Endpoints in the zone.
    pub endpoints: u32,
}

/// One value of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingStatus {
    /// The value's path.
    pub path: SettingPath,
    /// The revision in force; none where no revision was ever accepted.
    pub revision_in_force: Option<Revision>,
    /// A newer revision that is refused, with its findings.
    pub refused: Option<RefusedSetting>,
}

/// A revision of a value that is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedSetting {
    /// The refused revision.
    pub revision: Revision,
    /// What is wrong with it, one line each.
    pub findings: Vec<String>,
}

/// What the traffic threads of one daemon do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Open connections of callers.
    pub connections: u64,
    /// Requests that entered at this daemon and are not answered yet.
    pub requests_in_flight: u64,
    /// Endpoints that this daemon owns.
    pub endpoints_owned: u64,
    /// Tickets whose answers this daemon holds.
    pub tickets_held: u64,
}
