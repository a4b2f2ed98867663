//! What the store's items add up to: the configuration in force and the endpoints.
//!
//! No I/O and no clock: items and the time come as arguments.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{DurationMs, MonotonicMs, ServiceName, ZoneName};
use celeryknot_policy::direct::ListedEndpoint;
use celeryknot_policy::routing::{ConfigurationRegister, RoutingTable};

use crate::boundary::{EndpointRecord, StoreRecord, StoreRevision};

/// Time after an outage of the store within which removed entries may come back.
///
/// Entries of living endpoints that expired meanwhile are back within about two seconds.
const RETURN_WINDOW: DurationMs = DurationMs(2_500);

/// Time for which an endpoint whose entry was removed around an outage still gets work.
///
/// Less than the two seconds in which an endpoint that has left must be let alone.
const DOUBT_MAX: DurationMs = DurationMs(1_500);

#[derive(Debug, Clone)]
struct EndpointEntry {
    record: EndpointRecord,
    revision: StoreRevision,
    cold_until: Option<MonotonicMs>,
    /// When the entry was seen to be removed, while that may be due to an outage.
    removed_at: Option<MonotonicMs>,
}

/// What an item changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
    },
    /// An endpoint's entry is new or differs.
    Endpoint(EndpointRecord),
    /// An endpoint's entry is gone.
    EndpointGone(EndpointRecord),
    /// A zone was taken out.
    ZoneOut(ZoneName),
    /// A zone was taken back.
    ZoneBack(ZoneName),
    /// An item can't be used.
    Unusable {
        /// The item's key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// The platform as one daemon knows it.
#[derive(Debug, Default)]
pub struct StoreState {
    register: ConfigurationRegister,
    endpoints: HashMap<String, EndpointEntry>,
    zones_out: HashMap<String, ZoneName>,
    /// When the store was last unusable.
    outage_at: Option<MonotonicMs>,
}

impl StoreState {
    /// Takes over one item, or its removal; returns what it changed.
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
                let version = configuration.version;
                let is_news = self.register.offer(*configuration);
                is_news.then_some(StateChange::Configuration { version })
            }
            StoreRecord::Endpoint(record) => self.put_endpoint(now, key, revision, record),
            StoreRecord::ZoneOut(zone) => {
                let is_news = self.zones_out.insert(key.to_owned(), zone.clone());
                is_news.is_none().then_some(StateChange::ZoneOut(zone))
            }
            StoreRecord::Unusable(reason) => {
                self.endpoints.remove(key);
                Some(StateChange::Unusable {
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
        let cold_until = (record.cold_ms.0 > 0).then(|| now + record.cold_ms);
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
        if let Some(zone) = self.zones_out.remove(key) {
            return Some(StateChange::ZoneBack(zone));
        }
        let is_after_outage = self
            .outage_at
            .is_some_and(|outage_at| now - outage_at <= RETURN_WINDOW);
        let entry = self.endpoints.get_mut(key)?;
        if is_after_outage && !entry.record.is_leaving {
            entry.removed_at.get_or_insert(now);
            return None;
        }
        let entry = self.endpoints.remove(key)?;
        Some(StateChange::EndpointGone(entry.record))
    }

    /// Notes that the store could not be read.
    pub fn note_outage(&mut self, now: MonotonicMs) {
        self.outage_at = Some(now);
    }

    /// Drops endpoints whose entries have not come back after an outage.
    pub fn advance(&mut self, now: MonotonicMs) -> Vec<StateChange> {
        let is_gone = |entry: &EndpointEntry| {
            entry
                .removed_at
                .is_some_and(|removed_at| now - removed_at >= DOUBT_MAX)
        };
        self.endpoints
            .extract_if(|_, entry| is_gone(entry))
            .map(|(_, entry)| StateChange::EndpointGone(entry.record))
            .collect()
    }

    /// Returns the configuration in force, if any is known.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.register.table()
    }

    /// Returns the endpoints of each service, as requests are placed on them.
    pub fn endpoints(&self) -> HashMap<ServiceName, Vec<ListedEndpoint>> {
        let mut services: HashMap<ServiceName, Vec<ListedEndpoint>> = HashMap::new();
        for entry in self.endpoints.values() {
            let record = &entry.record;
            let is_zone_out = self.zones_out.values().any(|zone| *zone == record.zone);
            let listed = ListedEndpoint {
                name: record.name.clone(),
                born_ms: record.born_ms,
                address: record.address,
                zone: record.zone.clone(),
                slots: record.slots,
                takes_new_work: !record.is_leaving && !is_zone_out,
                cold_until: entry.cold_until,
            };
            let service = services.entry(record.service.clone()).or_default();
            service.push(listed);
        }
        services
    }
}
