//! What operators see of the control thread.

use std::collections::BTreeMap;

use celeryknot_core::{MonotonicMs, Revision, ZoneName};
use celeryknot_fleet::{EndpointView, Fleet, FleetView, MemberState, MemberView, SettingsStore};
use celeryknot_operators::{
    ControlCounters, ControlStatus, EndpointStatus, MemberStatus, SettingStatus, ZoneStatus,
};

use celeryknot_operators::status::{RefusedSetting, RolloutStatus};

use super::orders::OrdersDesk;
use super::platform::Role;
use super::sources::Sources;
use crate::snapshot::Snapshot;

/// Builds the status that goes with a snapshot.
pub(super) fn build_status(
    fleet: &Fleet,
    now: MonotonicMs,
    view: &FleetView,
    sources: &Sources,
    snapshot: &Snapshot,
    role: &Role,
    orders: &OrdersDesk,
) -> ControlStatus {
    let in_force = view.settings.values().map(|value| value.revision);
    ControlStatus {
        snapshot_version: snapshot.version,
        is_reader: fleet.reader_place(now).is_some(),
        settings_revision: in_force.max().unwrap_or(Revision(0)),
        settings_age_ms: fleet.settings_age(now),
        members: view.members.iter().map(member_status).collect(),
        endpoints: view
            .endpoints
            .iter()
            .map(|endpoint| endpoint_status(endpoint, snapshot))
            .collect(),
        zones: zone_statuses(view, sources),
        settings: setting_statuses(fleet.values()),
        rollouts: rollout_statuses(orders),
        counters: counters(fleet, role, orders),
    }
}

fn counters(fleet: &Fleet, role: &Role, orders: &OrdersDesk) -> ControlCounters {
    ControlCounters {
        traffic: fleet.budget().counts().collect(),
        platform_calls: role.calls.get(),
        orders: orders.counts(),
        pauses: role.read_again_count.get(),
    }
}

/// Builds what operators see of the rollouts.
pub(super) fn rollout_statuses(orders: &OrdersDesk) -> Vec<RolloutStatus> {
    orders
        .states()
        .map(|(rollout, state)| RolloutStatus {
            service: rollout.service.clone(),
            revision: rollout.revision,
            version: rollout.reported_version(),
            state,
        })
        .collect()
}

fn member_status(member: &MemberView) -> MemberStatus {
    MemberStatus {
        name: member.name.clone(),
        zone: member.zone.clone(),
        incarnation: member.incarnation,
        peers_address: member.peers_address,
        state: member.state,
    }
}

fn endpoint_status(endpoint: &EndpointView, snapshot: &Snapshot) -> EndpointStatus {
    let takes_new_work = snapshot.services.values().any(|service| {
        let placed = service.endpoints.iter().find(|e| e.name == endpoint.name);
        placed.is_some_and(|e| e.takes_new_work)
    });
    EndpointStatus {
        name: endpoint.name.clone(),
        service: endpoint.service.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address,
        takes_new_work,
        is_leaving: endpoint.is_leaving,
        fencing: endpoint.fencing,
        owner: endpoint.owner.clone(),
        summary: endpoint.summary,
    }
}

fn zone_statuses(view: &FleetView, sources: &Sources) -> Vec<ZoneStatus> {
    let mut zones: BTreeMap<&ZoneName, ZoneStatus> = BTreeMap::new();
    let member_zones = view.members.iter().map(|member| &member.zone);
    let endpoint_zones = view.endpoints.iter().map(|endpoint| &endpoint.zone);
    for name in member_zones.chain(endpoint_zones).chain(&sources.zones_out) {
        zones
            .entry(name)
            .or_insert_with(|| zone_status(name, sources));
    }
    for member in &view.members {
        if let Some(zone) = zones.get_mut(&member.zone)
            && member.state == MemberState::Alive
        {
            zone.members_alive += 1;
        }
    }
    for endpoint in &view.endpoints {
        if let Some(zone) = zones.get_mut(&endpoint.zone) {
            zone.endpoints += 1;
        }
    }
    zones.into_values().collect()
}

fn zone_status(name: &ZoneName, sources: &Sources) -> ZoneStatus {
    let out_for_teams = sources
        .team_zones_out
        .iter()
        .filter(|(_, zone)| zone == name)
        .map(|(team, _)| team.to_string())
        .collect();
    ZoneStatus {
        name: name.clone(),
        is_out: sources.zones_out.contains(name),
        out_for_teams,
        members_alive: 0,
        endpoints: 0,
    }
}

fn setting_statuses(store: &SettingsStore) -> Vec<SettingStatus> {
    let mut settings: BTreeMap<_, SettingStatus> = BTreeMap::new();
    for (path, value) in store.in_force() {
        let status = SettingStatus {
            path: path.clone(),
            revision_in_force: Some(value.revision),
            refused: None,
        };
        settings.insert(path, status);
    }
    for (path, rejected) in store.rejected() {
        let status = settings.entry(path).or_insert_with(|| SettingStatus {
            path: path.clone(),
            revision_in_force: None,
            refused: None,
        });
        status.refused = Some(RefusedSetting {
            revision: rejected.revision,
            findings: rejected.rejection.findings.clone(),
        });
    }
    settings.into_values().collect()
}
