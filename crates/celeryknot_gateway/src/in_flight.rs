//! Requests that all daemons have in flight at each endpoint, summed up without a leader.
//!
//! No I/O and no clock. Each daemon reports its own counts to one reader; each reader adds up the
//! reported counts and polls the other readers for their subtotals; replies carry the total. A
//! daemon that switches readers is briefly counted at both, which does no harm.

use std::collections::HashMap;

use celeryknot_core::{DurationMs, EndpointTag, MemberName, MonotonicMs};

/// Lifetime of reported counts.
const COUNTS_TTL: DurationMs = DurationMs(2_000);

/// Requests in flight at each endpoint.
pub type Counts = HashMap<EndpointTag, u32>;

/// The in-flight counts known to one daemon.
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
/// table.note_follower(now, "edge-2".parse()?, [(EndpointTag(1), 3)].into());
/// table.note_reader(now, "edge-3".parse()?, [(EndpointTag(1), 4)].into());
/// assert_eq!(table.subtotal(now)[&EndpointTag(1)], 5);
/// assert_eq!(table.total(now)[&EndpointTag(1)], 9);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct InFlightTable {
    own: Counts,
    followers: HashMap<MemberName, (MonotonicMs, Counts)>,
    readers: HashMap<MemberName, (MonotonicMs, Counts)>,
}

impl InFlightTable {
    /// Sets this daemon's count for an endpoint.
    pub fn set_own(&mut self, endpoint: EndpointTag, count: u32) {
        match count {
            0 => self.own.remove(&endpoint),
            _ => self.own.insert(endpoint, count),
        };
    }

    /// Returns this daemon's counts.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// Stores the counts that a daemon reports for itself.
    pub fn note_follower(&mut self, now: MonotonicMs, follower: MemberName, counts: Counts) {
        self.followers.insert(follower, (now, counts));
    }

    /// Stores the subtotal of another reader.
    pub fn note_reader(&mut self, now: MonotonicMs, reader: MemberName, counts: Counts) {
        self.readers.insert(reader, (now, counts));
    }

    /// Removes expired counts.
    pub fn advance(&mut self, now: MonotonicMs) {
        let is_fresh = |at: MonotonicMs| now - at < COUNTS_TTL;
        self.followers.retain(|_, (at, _)| is_fresh(*at));
        self.readers.retain(|_, (at, _)| is_fresh(*at));
    }

    /// Returns the sum over this daemon and the daemons that report to it.
    pub fn subtotal(&self, now: MonotonicMs) -> Counts {
        let mut sum = self.own.clone();
        add_fresh(&mut sum, now, &self.followers);
        sum
    }

    /// Returns the sum over all daemons whose readers are known.
    pub fn total(&self, now: MonotonicMs) -> Counts {
        let mut sum = self.subtotal(now);
        add_fresh(&mut sum, now, &self.readers);
        sum
    }
}

fn add_fresh(
    sum: &mut Counts,
    now: MonotonicMs,
    reported: &HashMap<MemberName, (MonotonicMs, Counts)>,
) {
    let fresh = reported.values().filter(|(at, _)| now - *at < COUNTS_TTL);
    for (endpoint, count) in fresh.flat_map(|(_, counts)| counts) {
        *sum.entry(*endpoint).or_default() += count;
    }
}
