//! The snapshot for traffic threads, built from the fleet's view and the settings in force.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{Incarnation, ServiceName, TeamName};
use celeryknot_fleet::{EndpointView, FleetView};
use celeryknot_settings::{DaemonSettings, ServiceSettings};

use super::sources::Sources;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot, Snapshot};

/// Returns the snapshot of a daemon that knows nothing yet.
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

/// Builds the snapshot that follows `before`.
pub(super) fn build_snapshot(before: &Snapshot, view: &FleetView, sources: &Sources) -> Snapshot {
    let members: HashMap<_, _> = view
        .members
        .iter()
        .map(|member| (member.name.clone(), member.clone()))
        .collect();
    let members = if members == *before.members {
        Arc::clone(&before.members)
    } else {
        Arc::new(members)
    };
    let services = sources
        .services
        .iter()
        .map(|(key, settings)| {
            let built = build_service(key, settings, view, sources);
            (key.clone(), unchanged_or_new(before, key, built))
        })
        .collect();
    Snapshot {
        version: before.version + 1,
        is_ready: view.is_ready,
        own_name: before.own_name.clone(),
        own_incarnation: before.own_incarnation,
        own_zone: before.own_zone.clone(),
        members,
        services,
        customers: Arc::clone(&sources.customers),
    }
}

fn unchanged_or_new(
    before: &Snapshot,
    key: &(TeamName, ServiceName),
    built: ServiceSnapshot,
) -> Arc<ServiceSnapshot> {
    match before.services.get(key) {
        Some(known) if **known == built => Arc::clone(known),
        Some(_) | None => Arc::new(built),
    }
}

fn build_service(
    (team, name): &(TeamName, ServiceName),
    settings: &Arc<ServiceSettings>,
    view: &FleetView,
    sources: &Sources,
) -> ServiceSnapshot {
    let endpoints = view
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.service == *name)
        .map(|endpoint| build_endpoint(team, endpoint, sources))
        .collect();
    ServiceSnapshot {
        team: team.clone(),
        name: name.clone(),
        settings: Arc::clone(settings),
        endpoints,
    }
}

fn build_endpoint(team: &TeamName, endpoint: &EndpointView, sources: &Sources) -> EndpointSnapshot {
    EndpointSnapshot {
        name: endpoint.name.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address,
        owner: endpoint.owner.clone(),
        takes_new_work: !endpoint.is_leaving && sources.is_zone_in(team, &endpoint.zone),
        summary: endpoint.summary,
    }
}
