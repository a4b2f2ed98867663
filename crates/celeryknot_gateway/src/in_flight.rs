//! How many requests all daemons have in flight at each endpoint, added up without a leader.
//!
//! No I/O and no clock. Each daemon tells its own counts to one of the readers; each reader adds
//! up what it was told and asks the other readers for their sums; the total goes back with the
//! answers. A daemon that changes its reader is counted at both for a moment, which does no harm.

use std::collections::HashMap;

use celeryknot_core::{DurationMs, EndpointTag, MemberName, MonotonicMs};

/// Age from which counts that were told are of no more use.
const AGE_MAX: DurationMs = DurationMs(2_000);

/// Requests in flight at each endpoint.
pub type Counts = HashMap<EndpointTag, u32>;

/// What one daemon knows of the requests in flight.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{EndpointTag, MonotonicMs};
/// use celeryknot_gateway::in_flight::InFlightTable;
///
/// let mut table = InFlightTable::default();
/// let now = MonotonicMs(100);
/// table.set_own(EndpointTag(1), 2);
/// table.note_asker(now, "edge-2".parse()?, [(EndpointTag(1), 3)].into());
/// table.note_reader(now, "edge-3".parse()?, [(EndpointTag(1), 4)].into());
/// assert_eq!(table.here(now)[&EndpointTag(1)], 5);
/// assert_eq!(table.total(now)[&EndpointTag(1)], 9);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct InFlightTable {
    own: Counts,
    askers: HashMap<MemberName, (MonotonicMs, Counts)>,
    readers: HashMap<MemberName, (MonotonicMs, Counts)>,
}

impl InFlightTable {
    /// Sets what this daemon has in flight at an endpoint.
    pub fn set_own(&mut self, endpoint: EndpointTag, count: u32) {
        match count {
            0 => self.own.remove(&endpoint),
            _ => self.own.insert(endpoint, count),
        };
    }

    /// Returns what this daemon has in flight.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// Takes in what a daemon tells of itself.
    pub fn note_asker(&mut self, now: MonotonicMs, asker: MemberName, counts: Counts) {
        self.askers.insert(asker, (now, counts));
    }

    /// Takes in what another reader has added up.
    pub fn note_reader(&mut self, now: MonotonicMs, reader: MemberName, counts: Counts) {
        self.readers.insert(reader, (now, counts));
    }

    /// Forgets what is too old.
    pub fn advance(&mut self, now: MonotonicMs) {
        let is_fresh = |at: MonotonicMs| now - at < AGE_MAX;
        self.askers.retain(|_, (at, _)| is_fresh(*at));
        self.readers.retain(|_, (at, _)| is_fresh(*at));
    }

    /// Returns the sum over this daemon and those that tell it.
    pub fn here(&self, now: MonotonicMs) -> Counts {
        let mut sum = self.own.clone();
        add_fresh(&mut sum, now, &self.askers);
        sum
    }

    /// Returns the sum over all daemons, as far as the readers are known.
    pub fn total(&self, now: MonotonicMs) -> Counts {
        let mut sum = self.here(now);
        add_fresh(&mut sum, now, &self.readers);
        sum
    }
}

fn add_fresh(
    sum: &mut Counts,
    now: MonotonicMs,
    told: &HashMap<MemberName, (MonotonicMs, Counts)>,
) {
    let fresh = told.values().filter(|(at, _)| now - *at < AGE_MAX);
    for (endpoint, count) in fresh.flat_map(|(_, counts)| counts) {
        *sum.entry(*endpoint).or_default() += count;
    }
}
