//! What traffic threads know of the fleet: immutable, published whole by the control thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{
    CustomerName, EndpointName, EndpointSummary, Incarnation, MemberName, ServiceName, TeamName,
    ZoneName,
};
use celeryknot_fleet::MemberView;
use celeryknot_settings::{CustomerSettings, ServiceSettings};

/// One endpoint as requests are placed on it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// The member that owns the endpoint.
    pub owner: Option<MemberName>,
    /// Whether the endpoint may get new work: it is not leaving and its zone is in.
    pub takes_new_work: bool,
    /// The last summary of the endpoint's owner.
    pub summary: Option<EndpointSummary>,
}

/// One service with its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSnapshot {
    /// The team that the service belongs to.
    pub team: TeamName,
    /// The service's name.
    pub name: ServiceName,
    /// The service's settings in force.
    pub settings: Arc<ServiceSettings>,
    /// The service's endpoints, in the order of their names.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// One customer and the team that it belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSnapshot {
    /// The team that the customer belongs to.
    pub team: TeamName,
    /// The customer's settings in force.
    pub settings: CustomerSettings,
}

/// The fleet and the settings in force at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Rises by one with every publication.
    pub version: u64,
    /// Whether this daemon has caught up and may take callers.
    pub is_ready: bool,
    /// This daemon's name.
    pub own_name: MemberName,
    /// This daemon's life.
    pub own_incarnation: Incarnation,
    /// This daemon's zone.
    pub own_zone: ZoneName,
    /// All members, this daemon included, by name.
    pub members: Arc<HashMap<MemberName, MemberView>>,
    /// The services, by team and name.
    pub services: HashMap<(TeamName, ServiceName), Arc<ServiceSnapshot>>,
    /// The customers, by name.
    pub customers: Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
}
