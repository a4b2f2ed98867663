//! Settings in force, parsed once for each revision.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{CustomerName, Revision, ServiceName, SettingPath, TeamName, ZoneName};
use celeryknot_fleet::SettingsStore;
use celeryknot_settings::value::parse_value;
use celeryknot_settings::{RolloutSettings, ServiceSettings, SettingValue, ValueKind, ZoneState};

use crate::snapshot::CustomerSnapshot;

/// A rollout with the revision of its settings.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RolloutSource {
    pub(super) revision: Revision,
    pub(super) settings: RolloutSettings,
}

/// All settings in force, by what they are about.
#[derive(Debug, Clone, Default)]
pub(super) struct Sources {
    pub(super) services: HashMap<(TeamName, ServiceName), Arc<ServiceSettings>>,
    pub(super) customers: Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
    pub(super) rollouts: HashMap<(TeamName, ServiceName), RolloutSource>,
    pub(super) zones_out: Vec<ZoneName>,
    pub(super) team_zones_out: Vec<(TeamName, ZoneName)>,
}

impl Sources {
    /// Tells whether a zone takes new work of a team.
    pub(super) fn is_zone_in(&self, team: &TeamName, zone: &ZoneName) -> bool {
        let is_out_for_team = |(t, z): &(TeamName, ZoneName)| t == team && z == zone;
        !self.zones_out.contains(zone) && !self.team_zones_out.iter().any(is_out_for_team)
    }
}

type Parsed = HashMap<SettingPath, (Revision, SettingValue)>;

/// Parses values as they come into force.
#[derive(Debug, Default)]
pub(super) struct SourcesBuilder {
    parsed: Parsed,
    version_seen: Option<u64>,
    sources: Arc<Sources>,
}

impl SourcesBuilder {
    /// Returns the settings in force, from what was parsed before where nothing has changed.
    pub(super) fn update(&mut self, store: &SettingsStore) -> Arc<Sources> {
        if self.version_seen == Some(store.version()) {
            return Arc::clone(&self.sources);
        }
        self.version_seen = Some(store.version());
        self.parse_changed(store);
        let customers_before = Arc::clone(&self.sources.customers);
        self.sources = Arc::new(collect(&self.parsed, &customers_before));
        Arc::clone(&self.sources)
    }

    fn parse_changed(&mut self, store: &SettingsStore) {
        for (path, value) in store.in_force() {
            let known = self.parsed.get(path).map(|(revision, _)| *revision);
            if known == Some(value.revision) {
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

fn last_part<T: std::str::FromStr>(path: &SettingPath) -> Option<T> {
    path.as_str().rsplit('/').next()?.parse().ok()
}

fn collect(
    parsed: &Parsed,
    customers_before: &Arc<HashMap<CustomerName, Arc<CustomerSnapshot>>>,
) -> Sources {
    let mut sources = Sources::default();
    let mut customers = HashMap::new();
    // In the order of paths, so that every daemon resolves a name used twice alike.
    let mut paths: Vec<&SettingPath> = parsed.keys().collect();
    paths.sort();
    for path in paths {
        let (revision, value) = &parsed[path];
        add(&mut sources, &mut customers, path, *revision, value);
    }
    let is_unchanged = customers == **customers_before;
    sources.customers = if is_unchanged {
        Arc::clone(customers_before)
    } else {
        Arc::new(customers)
    };
    sources
}

fn add(
    sources: &mut Sources,
    customers: &mut HashMap<CustomerName, Arc<CustomerSnapshot>>,
    path: &SettingPath,
    revision: Revision,
    value: &SettingValue,
) -> Option<()> {
    let team = path.team();
    match value {
        SettingValue::Zone(zone) if zone.state == ZoneState::Out => {
            let name = last_part(path)?;
            match ValueKind::of_path(path).ok()? {
                ValueKind::FleetZone => sources.zones_out.push(name),
                ValueKind::TeamZone => sources.team_zones_out.push((team?, name)),
                ValueKind::Service | ValueKind::Customer | ValueKind::Rollout => {}
            }
        }
        SettingValue::Zone(_) => {}
        SettingValue::Service(service) => {
            let settings = Arc::new((**service).clone());
            sources.services.insert((team?, last_part(path)?), settings);
        }
        SettingValue::Customer(settings) => {
            let customer = CustomerSnapshot {
                team: team?,
                settings: settings.clone(),
            };
            customers
                .entry(last_part(path)?)
                .or_insert_with(|| Arc::new(customer));
        }
        SettingValue::Rollout(settings) => {
            let rollout = RolloutSource {
                revision,
                settings: settings.clone(),
            };
            sources.rollouts.insert((team?, last_part(path)?), rollout);
        }
    }
    Some(())
}
