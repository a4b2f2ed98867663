//! Duties, assigned by rendezvous hashing over the eligible members, without an election.
//!
//! While views differ, two daemons or none may hold a duty for some seconds. All duties tolerate
//! that: two owners of an endpoint each enforce its bounds on the requests that they admit and
//! count the load that the endpoint reports; two readers read the same values, and the highest
//! revision wins; two holders of orders assert the same desired state, with fencing numbers that
//! increase with the revision of the settings.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{EndpointName, MemberName, ServiceName, ZoneName};

use crate::membership::MemberInfo;

fn highest_ranked<'a>(
    salt: u64,
    key: &str,
    holders: impl Iterator<Item = &'a MemberInfo>,
) -> Option<&'a MemberName> {
    let key = rendezvous_score(salt, key);
    holders
        .max_by_key(|info| (rendezvous_score(key, info.name.as_str()), &info.name))
        .map(|info| &info.name)
}

const OWNER_SALT: u64 = 1;
const READER_SALT: u64 = 2;
const ORDERS_SALT: u64 = 3;

/// Returns the owner of an endpoint: a member of its zone, or any member if the zone has none.
///
/// # Examples
///
/// ```
/// use celeryknot_fleet::{MemberInfo, duties};
///
/// let member = |name: &str, zone: &str| MemberInfo {
///     name: name.parse().expect("a valid name"),
///     zone: zone.parse().expect("a valid zone"),
///     peers_address: "127.0.0.1:7001".parse().expect("an address"),
///     forwards_address: "127.0.0.1:7003".parse().expect("an address"),
/// };
/// let (one, two) = (member("daemon-1", "a"), member("daemon-2", "b"));
/// let owner = duties::owner(&"engine-1".parse()?, &"b".parse()?, &[&one, &two]);
/// assert_eq!(owner, Some(&two.name));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn owner<'a>(
    endpoint: &EndpointName,
    zone: &ZoneName,
    holders: &[&'a MemberInfo],
) -> Option<&'a MemberName> {
    let in_zone = holders.iter().copied().filter(|info| info.zone == *zone);
    highest_ranked(OWNER_SALT, endpoint.as_str(), in_zone)
        .or_else(|| highest_ranked(OWNER_SALT, endpoint.as_str(), holders.iter().copied()))
}

/// A reader's rank among the readers of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderAssignment {
    /// The reader's rank, from 0.
    pub rank: usize,
    /// The number of readers in the zone.
    pub reader_count: usize,
}

impl ReaderAssignment {
    /// Returns the platform replica to watch after a number of watches that returned no update.
    ///
    /// The readers of a zone divide the replicas among themselves. A stale replica looks like one
    /// without updates, so with enough readers, each replica is always watched.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_fleet::duties::ReaderAssignment;
    ///
    /// let last_of_three = ReaderAssignment { rank: 2, reader_count: 3 };
    /// assert_eq!([0, 1, 2].map(|turn| last_of_three.replica(turn, 3)), [2, 2, 2]);
    /// let first_of_two = ReaderAssignment { rank: 0, reader_count: 2 };
    /// assert_eq!([0, 1, 2].map(|turn| first_of_two.replica(turn, 3)), [0, 2, 0]);
    /// ```
    pub fn replica(self, empty_watches: usize, replicas: usize) -> usize {
        let replicas = replicas.max(1);
        let reader_count = self.reader_count.max(1);
        let first = self.rank % replicas;
        // With more readers than replicas, several readers watch the same replica.
        let replica_share = (replicas - first).div_ceil(reader_count.min(replicas));
        first + (empty_watches % replica_share) * reader_count
    }
}

/// Returns the rank of a member among the readers of its zone, if it is one of them.
pub fn reader_assignment(
    own: &MemberName,
    zone: &ZoneName,
    holders: &[&MemberInfo],
    readers_per_zone: u32,
) -> Option<ReaderAssignment> {
    let key = rendezvous_score(READER_SALT, zone.as_str());
    let mut ranked: Vec<(u64, &MemberName)> = holders
        .iter()
        .filter(|info| info.zone == *zone)
        .map(|info| (rendezvous_score(key, info.name.as_str()), &info.name))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    let rank = ranked.iter().position(|(_, name)| *name == own)?;
    let limit = usize::try_from(readers_per_zone).unwrap_or(usize::MAX);
    let reader_count = ranked.len().min(limit);
    (rank < reader_count).then_some(ReaderAssignment { rank, reader_count })
}

/// Returns the member that sends orders to the engines of a service.
pub fn orders_holder<'a>(
    service: &ServiceName,
    holders: &[&'a MemberInfo],
) -> Option<&'a MemberName> {
    highest_ranked(ORDERS_SALT, service.as_str(), holders.iter().copied())
}
