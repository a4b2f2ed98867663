//! State derived from the store's items: the active configuration and the endpoints.
//!
//! A store that is restored from a copy lacks its last changes until they are written again. What
//! was acknowledged before holds meanwhile: departures, evacuations, and the configuration.
//!
//! No I/O and no clock: items and the time are arguments.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{DurationMs, MonotonicMs, ServiceName, ZoneName};
use celeryknot_policy::direct::ListedEndpoint;
use celeryknot_policy::routing::{ActiveConfiguration, EntryDefect, RequestLimits, RoutingTable};

use crate::platform_protocol::{EndpointRecord, StoreEra, StoreRecord, StoreRevision};

/// Time after a store outage within which removed entries may reappear.
///
/// Live endpoints whose entries expired during the outage register again within about two seconds.
const OUTAGE_RECOVERY_WINDOW: DurationMs = DurationMs(2_500);

/// Time for which an endpoint whose entry was removed around an outage still gets requests.
///
/// Shorter than the two seconds within which a removed endpoint must stop getting requests.
const REMOVAL_GRACE: DurationMs = DurationMs(1_500);

/// Time for which an evacuation that a restored store lacks still holds.
const EVACUATION_GRACE: DurationMs = DurationMs(5_000);

/// Time for which removed endpoints are remembered; longer than a copy of the store is old.
const DEPARTURE_TTL: DurationMs = DurationMs(60_000);

/// Maximum number of characters of a key or reason in the logs, as other writers choose them.
const LOGGED_CHARS_MAX: usize = 120;

/// When, and in which era, something was removed from the store.
#[derive(Debug, Clone, Copy)]
struct Removal {
    at: MonotonicMs,
    era: StoreEra,
}

#[derive(Debug, Clone)]
struct EndpointEntry {
    record: EndpointRecord,
    revision: StoreRevision,
    cold_until: Option<MonotonicMs>,
    /// Its removal, if that may be due to an outage or a restored store.
    removal: Option<Removal>,
    /// The last report that was ignored as one of an earlier incarnation.
    ignored_report: Option<ReportId>,
}

/// Identifies a report of an endpoint about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportId {
    started_at_ms: Option<u64>,
    sequence: u64,
}

impl ReportId {
    fn of(record: &EndpointRecord) -> Self {
        Self {
            started_at_ms: record.started_at_ms,
            sequence: record.sequence,
        }
    }

    /// Returns whether this is an earlier report of the same incarnation.
    fn is_earlier_than(self, other: Self) -> bool {
        self.started_at_ms == other.started_at_ms && self.sequence < other.sequence
    }
}

impl EndpointEntry {
    /// Returns whether a report was made before the one in the entry: the store may complete a write
    /// after a later one.
    ///
    /// The clock of an endpoint may have been set back before it restarted; it then goes on
    /// reporting, which an earlier incarnation does not.
    fn is_late(&mut self, record: &EndpointRecord) -> bool {
        let report = ReportId::of(record);
        if report.started_at_ms >= self.record.started_at_ms {
            return report.is_earlier_than(ReportId::of(&self.record));
        }
        let previous = self.ignored_report.replace(report);
        !previous.is_some_and(|previous| previous.is_earlier_than(report))
    }
}

#[derive(Debug, Clone)]
struct EvacuatedZone {
    zone: ZoneName,
    revision: StoreRevision,
    /// Its removal, if that may be due to a restored store.
    removal: Option<Removal>,
}

/// An endpoint that was removed, and that a restored store may show again.
#[derive(Debug, Clone)]
struct Departure {
    last_report: ReportId,
    removal: Removal,
    /// The revision under which a restored store shows it.
    shown_revision: Option<StoreRevision>,
}

impl Departure {
    /// Returns whether an entry is one of before the departure; the first one that a restored store
    /// shows is.
    fn is_earlier(&mut self, revision: StoreRevision, record: &EndpointRecord) -> bool {
        let report = ReportId::of(record);
        if report.is_earlier_than(self.last_report) {
            return true;
        }
        let is_restored = revision.era > self.removal.era;
        if !is_restored || record.started_at_ms != self.last_report.started_at_ms {
            return false;
        }
        // A change within the era is the endpoint's own.
        *self.shown_revision.get_or_insert(revision) >= revision
    }
}

/// A state change caused by an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A configuration became active.
    Configuration {
        /// Its version.
        version: u64,
        /// The limits on callers.
        limits: RequestLimits,
        /// What could not be read of it.
        defects: Vec<EntryDefect>,
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
        /// The item's key, shortened.
        key: String,
        /// The reason, shortened.
        reason: String,
    },
}

/// A daemon's state of the platform.
#[derive(Debug, Default)]
pub struct StoreState {
    active: ActiveConfiguration,
    endpoints: HashMap<String, EndpointEntry>,
    departures: HashMap<String, Departure>,
    evacuated_zones: HashMap<String, EvacuatedZone>,
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
            let era = revision.era;
            return self.remove(key, Removal { at: now, era });
        };
        match record {
            StoreRecord::Configuration(configuration) => {
                let defects = configuration.defects.clone();
                if !self.active.offer(*configuration) {
                    return None;
                }
                self.table().map(|table| StateChange::Configuration {
                    version: table.version(),
                    limits: *table.limits(),
                    defects,
                })
            }
            StoreRecord::Endpoint(record) => self.put_endpoint(now, key, revision, record),
            StoreRecord::ZoneEvacuated(zone) => {
                let evacuated = EvacuatedZone {
                    zone: zone.clone(),
                    revision,
                    removal: None,
                };
                let previous = self.evacuated_zones.insert(key.to_owned(), evacuated);
                previous
                    .is_none()
                    .then_some(StateChange::ZoneEvacuated(zone))
            }
            StoreRecord::Invalid(reason) => {
                self.endpoints.remove(key);
                Some(StateChange::Invalid {
                    key: shorten(key),
                    reason: shorten(&reason),
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
        mut record: EndpointRecord,
    ) -> Option<StateChange> {
        if let Some(entry) = self.endpoints.get_mut(key)
            && entry.revision >= revision
        {
            entry.removal = None;
            return None;
        }
        if let Some(entry) = self.endpoints.get_mut(key)
            && entry.is_late(&record)
        {
            (entry.revision, entry.removal) = (revision, None);
            return None;
        }
        if let Some(departure) = self.departures.get_mut(key) {
            if departure.is_earlier(revision, &record) {
                return None;
            }
            self.departures.remove(key);
        }
        let mut cold_until =
            (record.cold_remaining_ms.0 > 0).then(|| now + record.cold_remaining_ms);
        if let Some(entry) = self.endpoints.get(key)
            && revision.era > entry.revision.era
            && record.started_at_ms == entry.record.started_at_ms
        {
            // The restored entry may be an earlier one than that known before.
            record.is_draining |= entry.record.is_draining;
            cold_until = entry.cold_until;
        }
        let entry = EndpointEntry {
            record: record.clone(),
            revision,
            cold_until,
            removal: None,
            ignored_report: None,
        };
        self.endpoints.insert(key.to_owned(), entry);
        Some(StateChange::Endpoint(record))
    }

    fn remove(&mut self, key: &str, removal: Removal) -> Option<StateChange> {
        if let Some(evacuated) = self.evacuated_zones.get_mut(key) {
            if removal.era > evacuated.revision.era {
                evacuated.removal.get_or_insert(removal);
                return None;
            }
            let evacuated = self.evacuated_zones.remove(key)?;
            return Some(StateChange::ZoneRestored(evacuated.zone));
        }
        let is_after_outage = self
            .last_outage_at
            .is_some_and(|last_outage_at| removal.at - last_outage_at <= OUTAGE_RECOVERY_WINDOW);
        let entry = self.endpoints.get_mut(key)?;
        let may_return = is_after_outage || removal.era > entry.revision.era;
        if may_return && !entry.record.is_draining {
            entry.removal.get_or_insert(removal);
            return None;
        }
        let entry = self.endpoints.remove(key)?;
        self.record_departure(key, &entry.record, removal);
        Some(StateChange::EndpointRemoved(entry.record))
    }

    fn record_departure(&mut self, key: &str, record: &EndpointRecord, removal: Removal) {
        let departure = Departure {
            last_report: ReportId::of(record),
            removal,
            shown_revision: None,
        };
        self.departures.insert(key.to_owned(), departure);
    }

    /// Records that the store could not be read.
    pub fn note_outage(&mut self, now: MonotonicMs) {
        self.last_outage_at = Some(now);
    }

    /// Removes endpoints and evacuations whose entries did not reappear.
    pub fn advance(&mut self, now: MonotonicMs) -> Vec<StateChange> {
        let is_due = |removal: Option<Removal>, grace| {
            removal.is_some_and(|removal| now - removal.at >= grace)
        };
        let endpoints = self
            .endpoints
            .extract_if(|_, entry| is_due(entry.removal, REMOVAL_GRACE));
        let endpoints: Vec<_> = endpoints.collect();
        let zones = self
            .evacuated_zones
            .extract_if(|_, evacuated| is_due(evacuated.removal, EVACUATION_GRACE));
        let mut changes: Vec<StateChange> = zones
            .map(|(_, evacuated)| StateChange::ZoneRestored(evacuated.zone))
            .collect();
        for (key, entry) in endpoints {
            if let Some(removal) = entry.removal {
                self.record_departure(&key, &entry.record, removal);
            }
            changes.push(StateChange::EndpointRemoved(entry.record));
        }
        self.departures
            .retain(|_, departure| now - departure.removal.at < DEPARTURE_TTL);
        changes
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
                .any(|evacuated| evacuated.zone == record.zone);
            let listed = ListedEndpoint {
                name: record.name.clone(),
                started_at_ms: record.started_at_ms,
                address: record.address,
                zone: record.zone.clone(),
                version: record.version.clone(),
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

/// Returns the first characters of a text.
pub(crate) fn shorten(text: &str) -> String {
    let end = text.char_indices().nth(LOGGED_CHARS_MAX);
    text[..end.map_or(text.len(), |(at, _)| at)].to_owned()
}
