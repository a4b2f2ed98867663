//! The status of a daemon, as returned by `/status` and shown by `celeryknot status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::{
    DurationMs, EndpointName, EndpointSummary, Incarnation, MemberName, Revision, ServiceName,
    SettingPath, ZoneName,
};
use celeryknot_fleet::{ControlKind, FencingMode, KindCount, MemberState, RolloutState};
use serde::{Deserialize, Serialize};

/// The status of one daemon at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// The version of the program.
    pub version: String,
    /// Whether the daemon accepts callers.
    pub is_ready: bool,
    /// Whether the daemon is shutting down.
    pub is_shutting_down: bool,
    /// The status of the control thread.
    pub control: ControlStatus,
    /// The status of the traffic threads.
    pub traffic: TrafficStatus,
}

/// The control thread's view of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The version of the published snapshot; increases by one with each.
    pub snapshot_version: u64,
    /// Whether this daemon watches the platform for its zone.
    pub is_reader: bool,
    /// The highest accepted revision of the settings.
    pub settings_revision: Revision,
    /// The time since this daemon or a peer last confirmed the settings with the platform.
    pub settings_age_ms: Option<DurationMs>,
    /// The daemons, sorted by name.
    pub members: Vec<MemberStatus>,
    /// The endpoints, sorted by name.
    pub endpoints: Vec<EndpointStatus>,
    /// The zones, sorted by name.
    pub zones: Vec<ZoneStatus>,
    /// The settings, sorted by path.
    pub settings: Vec<SettingStatus>,
    /// The rollouts, sorted by service.
    #[serde(default)]
    pub rollouts: Vec<RolloutStatus>,
    /// Counters since the daemon started.
    #[serde(default)]
    pub counters: ControlCounters,
}

/// Counters of the control thread since the daemon started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCounters {
    /// Control traffic by kind.
    pub traffic: BTreeMap<ControlKind, KindCount>,
    /// Calls of the platform's service.
    pub platform_calls: PlatformCallCounts,
    /// Orders to engines.
    pub orders: OrderCounts,
    /// Stalls of the process that exceeded the peers' timeout.
    pub pauses: u64,
}

/// Calls of the platform's service, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCallCounts {
    /// The response contained changes.
    pub changed: u64,
    /// The response contained no changes.
    pub unchanged: u64,
    /// The response had an older revision than an earlier response.
    pub stale: u64,
    /// The service did not respond.
    pub failed: u64,
}

/// Orders to engines, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCounts {
    /// The engine accepted the order.
    pub accepted: u64,
    /// The engine refused the fencing token.
    pub refused: u64,
    /// The engine did not respond.
    pub failed: u64,
}

/// One rollout in this daemon's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service whose engines are updated.
    pub service: ServiceName,
    /// The revision of the rollout's settings.
    pub revision: Revision,
    /// The version, followed by `+<adapter>` if an adapter is loaded.
    pub version: String,
    /// The state of the rollout on this daemon.
    pub state: RolloutState,
}

/// One daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's incarnation, once it has sent a heartbeat.
    pub incarnation: Option<Incarnation>,
    /// The address for its peers.
    pub peers_address: SocketAddr,
    /// The membership state.
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
    /// The address for requests.
    pub address: SocketAddr,
    /// Whether the endpoint accepts new requests.
    pub takes_new_work: bool,
    /// Whether the platform reports the endpoint as draining.
    pub is_leaving: bool,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    pub fencing: FencingMode,
    /// The daemon that owns the endpoint, in this daemon's view.
    pub owner: Option<MemberName>,
    /// The last summary from the owner.
    pub summary: Option<EndpointSummary>,
}

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone's name.
    pub name: ZoneName,
    /// Whether operators have evacuated the zone for the whole fleet.
    pub is_out: bool,
    /// The teams that have evacuated the zone for themselves.
    pub out_for_teams: Vec<String>,
    /// Number of alive daemons in the zone.
    pub members_alive: u32,
    /// Number of endpoints in the zone.
    pub endpoints: u32,
}

/// One value of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingStatus {
    /// The value's path.
    pub path: SettingPath,
    /// The active revision; `None` if no revision was ever accepted.
    pub revision_in_force: Option<Revision>,
    /// A newer, rejected revision with its findings.
    pub refused: Option<RejectedRevision>,
}

/// A rejected revision of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedRevision {
    /// The rejected revision.
    pub revision: Revision,
    /// The findings, one line each.
    pub findings: Vec<String>,
}

/// The status of a daemon's traffic threads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficStatus {
    /// Open caller connections.
    pub connections: u64,
    /// Requests from callers to this daemon that are still in flight.
    pub requests_in_flight: u64,
    /// Endpoints that this daemon owns.
    pub endpoints_owned: u64,
    /// Tickets whose state this daemon holds.
    pub tickets_held: u64,
}
