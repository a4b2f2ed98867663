//! Immutable snapshots of the fleet, published by the control thread for traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryknot_core::{
    CustomerName, EndpointName, EndpointSummary, Incarnation, MemberName, ServiceName, TeamName,
    ZoneName,
};
use celeryknot_fleet::MemberView;
use celeryknot_settings::{CustomerSettings, ServiceSettings};

/// An endpoint on which requests can be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The address where the endpoint accepts requests.
    pub address: SocketAddr,
    /// The member that owns the endpoint.
    pub owner: Option<MemberName>,
    /// Whether the endpoint accepts new requests: it is not draining and its zone is in service.
    pub accepts_requests: bool,
    /// The last summary reported by the endpoint's owner.
    pub summary: Option<EndpointSummary>,
}

/// A service and its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSnapshot {
    /// The team that the service belongs to.
    pub team: TeamName,
    /// The service's name.
    pub name: ServiceName,
    /// The service's active settings.
    pub settings: Arc<ServiceSettings>,
    /// The service's endpoints, ordered by name.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// A customer and its team.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerSnapshot {
    /// The team that the customer belongs to.
    pub team: TeamName,
    /// The customer's active settings.
    pub settings: CustomerSettings,
}

/// The fleet and the active settings at a point in time.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Incremented on every publication.
    pub version: u64,
    /// Whether this daemon is up to date and can accept callers.
    pub is_ready: bool,
    /// This daemon's name.
    pub own_name: MemberName,
    /// This daemon's incarnation.
    pub own_incarnation: Incarnation,
    /// This daemon's zone.
    pub own_zone: ZoneName,
    /// All members by name, including this daemon.
    pub members: Arc<HashMap<MemberName, MemberView>>,
    /// The services, by team and name.
    pub services: HashMap<(TeamName, ServiceName), Arc<ServiceSnapshot>>,
    /// The customers, by name.
    pub customers: Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
}
