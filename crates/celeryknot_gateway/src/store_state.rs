//! State derived from the store's items: the active configuration and the endpoints.
//!
//! No I/O and no clock: items and the time are arguments.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{DurationMs, MonotonicMs, ServiceName, ZoneName};
use celeryknot_policy::direct::ListedEndpoint;
use celeryknot_policy::routing::{ActiveConfiguration, RequestLimits, RoutingTable};

use crate::platform_protocol::{EndpointRecord, StoreRecord, StoreRevision};

/// Time after a store outage within which removed entries may reappear.
///
/// Live endpoints whose entries expired during the outage register again within about two seconds.
const OUTAGE_RECOVERY_WINDOW: DurationMs = DurationMs(2_500);

/// Time for which an endpoint whose entry was removed around an outage still gets requests.
///
/// Shorter than the two seconds within which a removed endpoint must stop getting requests.
const REMOVAL_GRACE: DurationMs = DurationMs(1_500);

#[derive(Debug, Clone)]
struct EndpointEntry {
    record: EndpointRecord,
    revision: StoreRevision,
    cold_until: Option<MonotonicMs>,
    /// When the entry was removed, if that may be due to an outage.
    removed_at: Option<MonotonicMs>,
}

/// A state change caused by an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A configuration became active.
    Configuration {
        /// Its version.
        version: u64,
        /// Its limits on callers.
        limits: RequestLimits,
    },
    /// An endpoint's entry was added or changed.
    Endpoint(EndpointRecord),
    /// An endpoint's entry was removed.
    EndpointRemoved(EndpointRecord),
    /// A zone was evacuated.
    ZoneEvacuated(ZoneName),
    /// A zone's evacuation ended.
    ZoneRestored(ZoneName),
    /// An item is invalid.
    Invalid {
        /// The item's key.
        key: String,
        /// The reason.
        reason: String,
    },
}

/// A daemon's state of the platform.
#[derive(Debug, Default)]
pub struct StoreState {
    active: ActiveConfiguration,
    endpoints: HashMap<String, EndpointEntry>,
    evacuated_zones: HashMap<String, ZoneName>,
    /// When the store was last unavailable.
    last_outage_at: Option<MonotonicMs>,
}

impl StoreState {
    /// Applies an item or its removal; returns the resulting change.
    pub fn apply(
        &mut self,
        now: MonotonicMs,
        key: &str,
        revision: StoreRevision,
        record: Option<StoreRecord>,
    ) -> Option<StateChange> {
        let Some(record) = record else {
            return self.remove(now, key);
        };
        match record {
            StoreRecord::Configuration(configuration) => {
                let (version, limits) = (configuration.version, configuration.limits);
                let is_new = self.active.offer(*configuration);
                is_new.then_some(StateChange::Configuration { version, limits })
            }
            StoreRecord::Endpoint(record) => self.put_endpoint(now, key, revision, record),
            StoreRecord::ZoneEvacuated(zone) => {
                let previous = self.evacuated_zones.insert(key.to_owned(), zone.clone());
                previous
                    .is_none()
                    .then_some(StateChange::ZoneEvacuated(zone))
            }
            StoreRecord::Invalid(reason) => {
                self.endpoints.remove(key);
                Some(StateChange::Invalid {
                    key: key.to_owned(),
                    reason,
                })
            }
            StoreRecord::Unrelated => None,
        }
    }

    fn put_endpoint(
        &mut self,
        now: MonotonicMs,
        key: &str,
        revision: StoreRevision,
        record: EndpointRecord,
    ) -> Option<StateChange> {
        if let Some(entry) = self.endpoints.get_mut(key)
            && entry.revision >= revision
        {
            entry.removed_at = None;
            return None;
        }
        let cold_until = (record.cold_remaining_ms.0 > 0).then(|| now + record.cold_remaining_ms);
        let entry = EndpointEntry {
            record: record.clone(),
            revision,
            cold_until,
            removed_at: None,
        };
        self.endpoints.insert(key.to_owned(), entry);
        Some(StateChange::Endpoint(record))
    }

    fn remove(&mut self, now: MonotonicMs, key: &str) -> Option<StateChange> {
        if let Some(zone) = self.evacuated_zones.remove(key) {
            return Some(StateChange::ZoneRestored(zone));
        }
        let is_after_outage = self
            .last_outage_at
            .is_some_and(|last_outage_at| now - last_outage_at <= OUTAGE_RECOVERY_WINDOW);
        let entry = self.endpoints.get_mut(key)?;
        if is_after_outage && !entry.record.is_draining {
            entry.removed_at.get_or_insert(now);
            return None;
        }
        let entry = self.endpoints.remove(key)?;
        Some(StateChange::EndpointRemoved(entry.record))
    }

    /// Records that the store could not be read.
    pub fn note_outage(&mut self, now: MonotonicMs) {
        self.last_outage_at = Some(now);
    }

    /// Removes endpoints whose entries did not reappear after an outage.
    pub fn advance(&mut self, now: MonotonicMs) -> Vec<StateChange> {
        let is_expired = |entry: &EndpointEntry| {
            entry
                .removed_at
                .is_some_and(|removed_at| now - removed_at >= REMOVAL_GRACE)
        };
        self.endpoints
            .extract_if(|_, entry| is_expired(entry))
            .map(|(_, entry)| StateChange::EndpointRemoved(entry.record))
            .collect()
    }

    /// Returns the active configuration, if any is known.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.active.table()
    }

    /// Returns the endpoints of each service for request placement.
    pub fn endpoints(&self) -> HashMap<ServiceName, Vec<ListedEndpoint>> {
        let mut services: HashMap<ServiceName, Vec<ListedEndpoint>> = HashMap::new();
        for entry in self.endpoints.values() {
            let record = &entry.record;
            let is_zone_evacuated = self
                .evacuated_zones
                .values()
                .any(|zone| *zone == record.zone);
            let listed = ListedEndpoint {
                name: record.name.clone(),
                started_at_ms: record.started_at_ms,
                address: record.address,
                zone: record.zone.clone(),
                slots: record.slots,
                accepts_requests: !record.is_draining && !is_zone_evacuated,
                cold_until: entry.cold_until,
            };
            let service = services.entry(record.service.clone()).or_default();
            service.push(listed);
        }
        services
    }
}
