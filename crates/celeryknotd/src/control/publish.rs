//! Builds the snapshot for traffic threads from the fleet's view and the active settings.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{Incarnation, ServiceName, TeamName};
use celeryknot_fleet::{EndpointView, FleetView};
use celeryknot_settings::{DaemonSettings, ServiceSettings};

use super::active_settings::ActiveSettings;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot, Snapshot};

/// Returns the initial snapshot of a daemon, without members or services.
pub(super) fn empty_snapshot(settings: &DaemonSettings, own_incarnation: Incarnation) -> Snapshot {
    Snapshot {
        version: 0,
        is_ready: false,
        own_name: settings.name.clone(),
        own_incarnation,
        own_zone: settings.zone.clone(),
        members: Arc::default(),
        services: HashMap::new(),
        customers: Arc::default(),
    }
}

/// Builds the snapshot that follows `previous`.
pub(super) fn build_snapshot(
    previous: &Snapshot,
    view: &FleetView,
    active: &ActiveSettings,
) -> Snapshot {
    let members: HashMap<_, _> = view
        .members
        .iter()
        .map(|member| (member.name.clone(), member.clone()))
        .collect();
    let members = if members == *previous.members {
        Arc::clone(&previous.members)
    } else {
        Arc::new(members)
    };
    let services = active
        .services
        .iter()
        .map(|(key, settings)| {
            let built = build_service(key, settings, view, active);
            (key.clone(), reuse_unchanged(previous, key, built))
        })
        .collect();
    Snapshot {
        version: previous.version + 1,
        is_ready: view.is_ready,
        own_name: previous.own_name.clone(),
        own_incarnation: previous.own_incarnation,
        own_zone: previous.own_zone.clone(),
        members,
        services,
        customers: Arc::clone(&active.customers),
    }
}

fn reuse_unchanged(
    previous: &Snapshot,
    key: &(TeamName, ServiceName),
    built: ServiceSnapshot,
) -> Arc<ServiceSnapshot> {
    match previous.services.get(key) {
        Some(existing) if **existing == built => Arc::clone(existing),
        Some(_) | None => Arc::new(built),
    }
}

fn build_service(
    (team, name): &(TeamName, ServiceName),
    settings: &Arc<ServiceSettings>,
    view: &FleetView,
    active: &ActiveSettings,
) -> ServiceSnapshot {
    let endpoints = view
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.service == *name)
        .map(|endpoint| build_endpoint(team, endpoint, active))
        .collect();
    ServiceSnapshot {
        team: team.clone(),
        name: name.clone(),
        settings: Arc::clone(settings),
        endpoints,
    }
}

fn build_endpoint(
    team: &TeamName,
    endpoint: &EndpointView,
    active: &ActiveSettings,
) -> EndpointSnapshot {
    EndpointSnapshot {
        name: endpoint.name.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address,
        owner: endpoint.owner.clone(),
        accepts_requests: !endpoint.is_draining && active.is_zone_in_service(team, &endpoint.zone),
        summary: endpoint.summary,
    }
}
