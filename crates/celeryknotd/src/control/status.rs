//! Builds the status of the control thread for operators.

use std::collections::BTreeMap;

use celeryknot_core::{MonotonicMs, Revision, ZoneName};
use celeryknot_fleet::{EndpointView, Fleet, FleetView, MemberState, MemberView, SettingsStore};
use celeryknot_operators::{
    ControlCounters, ControlStatus, EndpointStatus, MemberStatus, SettingStatus, ZoneStatus,
};

use celeryknot_operators::status::{RejectedRevision, RolloutStatus};

use super::active_settings::ActiveSettings;
use super::orders::OrderDispatcher;
use super::platform::WatchState;
use crate::snapshot::Snapshot;

/// Builds the status that belongs to a snapshot.
pub(super) fn build_status(
    fleet: &Fleet,
    now: MonotonicMs,
    view: &FleetView,
    active: &ActiveSettings,
    snapshot: &Snapshot,
    watch_state: &WatchState,
    orders: &OrderDispatcher,
) -> ControlStatus {
    let revisions = view.settings.values().map(|value| value.revision);
    ControlStatus {
        snapshot_version: snapshot.version,
        is_reader: fleet.reader_assignment(now).is_some(),
        settings_revision: revisions.max().unwrap_or(Revision(0)),
        settings_age_ms: fleet.settings_age(now),
        members: view.members.iter().map(member_status).collect(),
        endpoints: view
            .endpoints
            .iter()
            .map(|endpoint| endpoint_status(endpoint, snapshot))
            .collect(),
        zones: zone_statuses(view, active),
        settings: setting_statuses(fleet.values()),
        rollouts: rollout_statuses(orders),
        counters: counters(fleet, watch_state, orders),
    }
}

fn counters(fleet: &Fleet, watch_state: &WatchState, orders: &OrderDispatcher) -> ControlCounters {
    ControlCounters {
        traffic: fleet.budget().counts().collect(),
        platform_calls: watch_state.calls.get(),
        orders: orders.counts(),
        pauses: watch_state.resync_count.get(),
    }
}

/// Returns the status of each rollout.
pub(super) fn rollout_statuses(orders: &OrderDispatcher) -> Vec<RolloutStatus> {
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
    let accepts_requests = snapshot.services.values().any(|service| {
        let found = service
            .endpoints
            .iter()
            .find(|candidate| candidate.name == endpoint.name);
        found.is_some_and(|placed| placed.accepts_requests)
    });
    EndpointStatus {
        name: endpoint.name.clone(),
        service: endpoint.service.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address,
        takes_new_work: accepts_requests,
        is_leaving: endpoint.is_draining,
        fencing: endpoint.fencing,
        owner: endpoint.owner.clone(),
        summary: endpoint.summary,
    }
}

fn zone_statuses(view: &FleetView, active: &ActiveSettings) -> Vec<ZoneStatus> {
    let mut zones: BTreeMap<&ZoneName, ZoneStatus> = BTreeMap::new();
    let member_zones = view.members.iter().map(|member| &member.zone);
    let endpoint_zones = view.endpoints.iter().map(|endpoint| &endpoint.zone);
    for name in member_zones.chain(endpoint_zones).chain(&active.zones_out) {
        zones
            .entry(name)
            .or_insert_with(|| zone_status(name, active));
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

fn zone_status(name: &ZoneName, active: &ActiveSettings) -> ZoneStatus {
    let out_for_teams = active
        .team_zones_out
        .iter()
        .filter(|(_, zone)| zone == name)
        .map(|(team, _)| team.to_string())
        .collect();
    ZoneStatus {
        name: name.clone(),
        is_out: active.zones_out.contains(name),
        out_for_teams,
        members_alive: 0,
        endpoints: 0,
    }
}

fn setting_statuses(store: &SettingsStore) -> Vec<SettingStatus> {
    let mut settings: BTreeMap<_, SettingStatus> = BTreeMap::new();
    for (path, value) in store.active_values() {
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
        status.refused = Some(RejectedRevision {
            revision: rejected.revision,
            findings: rejected.rejection.findings.clone(),
        });
    }
    settings.into_values().collect()
}
