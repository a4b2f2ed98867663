//! The active settings, parsed once per revision.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{CustomerName, Revision, ServiceName, SettingPath, TeamName, ZoneName};
use celeryknot_fleet::SettingsStore;
use celeryknot_settings::value::parse_value;
use celeryknot_settings::{RolloutSettings, ServiceSettings, SettingValue, ValueKind, ZoneState};

use crate::snapshot::CustomerSnapshot;

/// A rollout and the revision of its settings.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ActiveRollout {
    pub(super) revision: Revision,
    pub(super) settings: RolloutSettings,
}

/// All active settings by subject.
#[derive(Debug, Clone, Default)]
pub(super) struct ActiveSettings {
    pub(super) services: HashMap<(TeamName, ServiceName), Arc<ServiceSettings>>,
    pub(super) customers: Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
    pub(super) rollouts: HashMap<(TeamName, ServiceName), ActiveRollout>,
    /// Zones whose state is `out` for the whole fleet.
    pub(super) zones_out: Vec<ZoneName>,
    /// Zones whose state is `out` for one team.
    pub(super) team_zones_out: Vec<(TeamName, ZoneName)>,
}

impl ActiveSettings {
    /// Returns whether a zone is in service for a team.
    pub(super) fn is_zone_in_service(&self, team: &TeamName, zone: &ZoneName) -> bool {
        let is_out_for_team =
            |(out_team, out_zone): &(TeamName, ZoneName)| out_team == team && out_zone == zone;
        !self.zones_out.contains(zone) && !self.team_zones_out.iter().any(is_out_for_team)
    }
}

type Parsed = HashMap<SettingPath, (Revision, SettingValue)>;

/// Caches the parsed form of active values.
#[derive(Debug, Default)]
pub(super) struct ActiveSettingsCache {
    parsed: Parsed,
    parsed_version: Option<u64>,
    settings: Arc<ActiveSettings>,
}

impl ActiveSettingsCache {
    /// Returns the active settings, parsing only values that have changed.
    pub(super) fn refresh(&mut self, store: &SettingsStore) -> Arc<ActiveSettings> {
        if self.parsed_version == Some(store.version()) {
            return Arc::clone(&self.settings);
        }
        self.parsed_version = Some(store.version());
        self.parse_changed(store);
        let previous_customers = Arc::clone(&self.settings.customers);
        self.settings = Arc::new(build_settings(&self.parsed, &previous_customers));
        Arc::clone(&self.settings)
    }

    fn parse_changed(&mut self, store: &SettingsStore) {
        for (path, value) in store.active_values() {
            let parsed_revision = self.parsed.get(path).map(|(revision, _)| *revision);
            if parsed_revision == Some(value.revision) {
                continue;
            }
            let parsed = value
                .text
                .as_deref()
                .and_then(|text| parse_value(path, text).ok());
            match parsed {
                Some(parsed) => {
                    self.parsed.insert(path.clone(), (value.revision, parsed));
                }
                None => {
                    self.parsed.remove(path);
                }
            }
        }
    }
}

fn last_segment<T: std::str::FromStr>(path: &SettingPath) -> Option<T> {
    path.as_str().rsplit('/').next()?.parse().ok()
}

fn build_settings(
    parsed: &Parsed,
    previous_customers: &Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
) -> ActiveSettings {
    let mut active = ActiveSettings::default();
    let mut customers = HashMap::new();
    // Sorted by path, so that every daemon resolves duplicate names the same way.
    let mut paths: Vec<&SettingPath> = parsed.keys().collect();
    paths.sort();
    for path in paths {
        let (revision, value) = &parsed[path];
        add_value(&mut active, &mut customers, path, *revision, value);
    }
    let is_unchanged = customers == **previous_customers;
    active.customers = if is_unchanged {
        Arc::clone(previous_customers)
    } else {
        Arc::new(customers)
    };
    active
}

fn add_value(
    active: &mut ActiveSettings,
    customers: &mut HashMap<CustomerName, Arc<CustomerSnapshot>>,
    path: &SettingPath,
    revision: Revision,
    value: &SettingValue,
) -> Option<()> {
    let team = path.team();
    match value {
        SettingValue::Zone(zone) if zone.state == ZoneState::Out => {
            let name = last_segment(path)?;
            match ValueKind::of_path(path).ok()? {
                ValueKind::FleetZone => active.zones_out.push(name),
                ValueKind::TeamZone => active.team_zones_out.push((team?, name)),
                ValueKind::Service | ValueKind::Customer | ValueKind::Rollout => {}
            }
        }
        SettingValue::Zone(_) => {}
        SettingValue::Service(service) => {
            let settings = Arc::new((**service).clone());
            active
                .services
                .insert((team?, last_segment(path)?), settings);
        }
        SettingValue::Customer(settings) => {
            let customer = CustomerSnapshot {
                team: team?,
                settings: settings.clone(),
            };
            customers
                .entry(last_segment(path)?)
                .or_insert_with(|| Arc::new(customer));
        }
        SettingValue::Rollout(settings) => {
            let rollout = ActiveRollout {
                revision,
                settings: settings.clone(),
            };
            active
                .rollouts
                .insert((team?, last_segment(path)?), rollout);
        }
    }
    Some(())
}
