//! The daemons of the fleet, and which of them read the store for the others.
//!
//! No I/O and no clock. There is no election: each daemon ranks the known daemons and reads the
//! store if it is among the highest-ranked. While views differ, more daemons than necessary read
//! the store, which does no harm; a daemon without recent store updates reads the store anyway.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs, ZoneName};

/// Number of daemons that read the store; more than can fail at once when a zone fails.
pub const READER_COUNT: usize = 6;

/// Time without a heartbeat after which a daemon is removed.
///
/// Longer than the absence of an instance that returns under its name, so that its share of the
/// fleet's bounds is not redistributed meanwhile.
const REMOVAL_TIMEOUT: DurationMs = DurationMs(60_000);

/// Time without a heartbeat after which a daemon no longer counts as a reader.
const READER_TIMEOUT: DurationMs = DurationMs(6_000);

/// Time for which this daemon's rank is kept: to rank all daemons takes long where there are many.
const READER_RANK_TTL: DurationMs = DurationMs(100);

/// Time since the last addition of a daemon after which all are assumed to be known.
///
/// Longer than the backoff after a peer that did not respond.
const SETTLING_TIME: DurationMs = DurationMs(5_000);

/// Time for which a daemon that did not respond is not polled.
const UNRESPONSIVE_BACKOFF: DurationMs = DurationMs(3_000);

/// Unit in which heartbeat ages are encoded.
const AGE_UNIT_MS: u64 = 500;

/// Rendezvous hashing key for ranking readers.
const READER_RANKING_KEY: u64 = 0x7265_6164;

/// A daemon's identity, location and capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The daemon's name.
    pub name: MemberName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its incarnation; differs after each restart.
    pub incarnation: Incarnation,
    /// Processor cores that it may use, in hundredths.
    pub cores_percent: u32,
    /// Its address for attempts that other daemons can't make themselves, if it makes any.
    pub hop_address: Option<SocketAddr>,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// Score in the ranking of readers.
    reader_score: u64,
    last_heartbeat_at: MonotonicMs,
    backoff_until: MonotonicMs,
}

/// The daemons known to one daemon, including itself.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Member,
    entries: BTreeMap<MemberName, Entry>,
    version: u64,
    last_addition_at: MonotonicMs,
    own_rank: Cell<OwnRank>,
}

/// This daemon's rank among the readers, as of a time and a version of the table.
#[derive(Debug, Clone, Copy, Default)]
struct OwnRank {
    version: u64,
    at: MonotonicMs,
    rank: Option<usize>,
}

impl MemberTable {
    /// Creates a table that contains only the daemon itself.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{Incarnation, MonotonicMs};
    /// use celeryknot_gateway::members::{Member, MemberTable};
    ///
    /// let own = Member {
    ///     name: "edge-1".parse()?,
    ///     zone: "hkd-a".parse()?,
    ///     address: "10.1.0.40:8229".parse()?,
    ///     incarnation: Incarnation(1),
    ///     cores_percent: 25,
    ///     hop_address: None,
    /// };
    /// let table = MemberTable::new(own);
    /// assert!(table.is_reader(MonotonicMs(0)), "no other daemon is known");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(own: Member) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            version: 1,
            last_addition_at: MonotonicMs::PROCESS_START,
            own_rank: Cell::default(),
        }
    }

    /// Returns the daemon itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a version that increases when a daemon is added, changed or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether all daemons of the fleet are likely to be known.
    ///
    /// A daemon that expects others and knows none may be cut off from them.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
    /// use celeryknot_gateway::members::{Member, MemberTable};
    ///
    /// let member = |name: &str| -> Result<_, Box<dyn std::error::Error>> {
    ///     Ok(Member {
    ///         name: name.parse()?,
    ///         zone: "hkd-a".parse()?,
    ///         address: "10.1.0.40:8229".parse()?,
    ///         incarnation: Incarnation(1),
    ///         cores_percent: 25,
    ///         hop_address: None,
    ///     })
    /// };
    /// let mut table = MemberTable::new(member("edge-1")?);
    /// let later = MonotonicMs::PROCESS_START + DurationMs(60_000);
    /// assert!(!table.is_settled(later, true));
    /// table.observe(later, member("edge-2")?, DurationMs(0));
    /// assert!(!table.is_settled(later, true));
    /// assert!(table.is_settled(later + DurationMs(5_000), true));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn is_settled(&self, now: MonotonicMs, expects_others: bool) -> bool {
        let is_cut_off = expects_others && self.entries.is_empty();
        !is_cut_off && now - self.last_addition_at >= SETTLING_TIME
    }

    /// Stores a heartbeat of the given age, received directly or reported by a peer.
    pub fn observe(&mut self, now: MonotonicMs, member: Member, age: DurationMs) {
        if member.name == self.own.name || age >= REMOVAL_TIMEOUT {
            return;
        }
        let last_heartbeat_at = MonotonicMs(now.0.saturating_sub(age.0));
        match self.entries.get_mut(&member.name) {
            Some(entry) if last_heartbeat_at > entry.last_heartbeat_at => {
                let known = &entry.member;
                let member = match member.incarnation == known.incarnation {
                    // Daemons of earlier versions relay members without this address.
                    true => Member {
                        hop_address: member.hop_address.or(known.hop_address),
                        ..member
                    },
                    false => member,
                };
                if entry.member != member {
                    entry.backoff_until = MonotonicMs(0);
                    self.version += 1;
                }
                entry.member = member;
                entry.last_heartbeat_at = last_heartbeat_at;
            }
            Some(_) => {}
            None => {
                self.version += 1;
                self.last_addition_at = now;
                let entry = Entry {
                    reader_score: reader_score(&member),
                    member: member.clone(),
                    last_heartbeat_at,
                    backoff_until: MonotonicMs(0),
                };
                self.entries.insert(member.name, entry);
            }
        }
    }

    /// Starts the backoff for a daemon that did not respond.
    pub fn note_unresponsive(&mut self, now: MonotonicMs, address: SocketAddr) {
        let entry = self
            .entries
            .values_mut()
            .find(|entry| entry.member.address == address);
        if let Some(entry) = entry {
            entry.backoff_until = now + UNRESPONSIVE_BACKOFF;
            self.own_rank.take();
        }
    }

    /// Removes daemons without recent heartbeats.
    pub fn advance(&mut self, now: MonotonicMs) {
        let len = self.entries.len();
        self.entries
            .retain(|_, entry| now - entry.last_heartbeat_at < REMOVAL_TIMEOUT);
        if self.entries.len() != len {
            self.version += 1;
        }
    }

    /// Returns the sorted names of all daemons that may be running.
    pub fn names(&self) -> Vec<MemberName> {
        let mut names: Vec<MemberName> = self.entries.keys().cloned().collect();
        names.push(self.own.name.clone());
        names.sort();
        names
    }

    /// Returns all other daemons with the age of their last heartbeat.
    pub fn others(&self, now: MonotonicMs) -> impl Iterator<Item = (&Member, DurationMs)> {
        self.entries
            .values()
            .map(move |entry| (&entry.member, now - entry.last_heartbeat_at))
    }

    fn is_responsive(&self, now: MonotonicMs, entry: &Entry) -> bool {
        now - entry.last_heartbeat_at < READER_TIMEOUT && now >= entry.backoff_until
    }

    /// Returns whether this daemon reads the store for the others.
    pub fn is_reader(&self, now: MonotonicMs) -> bool {
        self.reader_rank(now).is_some()
    }

    /// Returns this daemon's rank among the readers; `None` if it isn't one.
    pub fn reader_rank(&self, now: MonotonicMs) -> Option<usize> {
        let cached = self.own_rank.get();
        if cached.version == self.version && now - cached.at < READER_RANK_TTL {
            return cached.rank;
        }
        let mut readers = self.reader_ranking(now).into_iter().take(READER_COUNT);
        let rank = readers.position(|member| *member == self.own);
        self.own_rank.set(OwnRank {
            version: self.version,
            at: now,
            rank,
        });
        rank
    }

    /// Returns the responsive daemons, including this one, ranked by priority as a reader.
    ///
    /// The ranking alternates between zones, so that a zone's outage takes few readers; within a
    /// zone the daemons with the most cores rank highest, since a reader answers many polls.
    fn reader_ranking(&self, now: MonotonicMs) -> Vec<&Member> {
        let responsive = self
            .entries
            .values()
            .filter(|it| self.is_responsive(now, it));
        let mut ranking: Vec<(&Member, u64)> = responsive
            .map(|entry| (&entry.member, entry.reader_score))
            .chain([(&self.own, reader_score(&self.own))])
            .collect();
        ranking.sort_by_key(|(member, score)| Reverse((member.cores_percent, *score)));
        let mut rounds: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut in_rounds: Vec<(usize, &Member)> = ranking
            .into_iter()
            .map(|(member, _)| {
                let round = rounds.entry(&member.zone).or_default();
                *round += 1;
                (*round, member)
            })
            .collect();
        // The sort is stable: within a round, daemons with the most cores stay first.
        in_rounds.sort_by_key(|(round, _)| *round);
        in_rounds.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the daemons to poll in order of preference: readers of the own zone, other readers,
    /// then all others.
    ///
    /// `shuffle_key` varies the order among equals, which spreads the readers' load.
    pub fn poll_targets(&self, now: MonotonicMs, shuffle_key: u64) -> Vec<&Member> {
        let mut targets: Vec<(bool, bool, u64, &Member)> = self
            .reader_ranking(now)
            .into_iter()
            .enumerate()
            .filter(|(_, member)| **member != self.own)
            .map(|(rank, member)| {
                let is_other_zone = member.zone != self.own.zone;
                let shuffled_rank = rendezvous_score(shuffle_key, member.name.as_str());
                (rank >= READER_COUNT, is_other_zone, shuffled_rank, member)
            })
            .collect();
        targets.sort_by_key(|(is_not_reader, is_other_zone, shuffled_rank, _)| {
            (*is_not_reader, *is_other_zone, *shuffled_rank)
        });
        targets
            .into_iter()
            .map(|(_, _, _, member)| member)
            .collect()
    }

    /// Returns a digest of the daemons, including this one; equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        let add = |digest: u64, member: &Member| {
            digest.wrapping_add(rendezvous_score(member.incarnation.0, member.name.as_str()))
        };
        let members = self.entries.values().map(|entry| &entry.member);
        members.fold(add(0, &self.own), add)
    }

    /// Returns the encoded heartbeat ages of all daemons, in the order of their names.
    pub fn ages(&self, now: MonotonicMs) -> Vec<u8> {
        let mut ages: Vec<u8> = self
            .entries
            .values()
            .map(|entry| encode_age(now - entry.last_heartbeat_at))
            .collect();
        ages.insert(self.own_index(), 0);
        ages
    }

    /// Returns the index of this daemon in the sorted names of all.
    fn own_index(&self) -> usize {
        self.entries.range(..&self.own.name).count()
    }

    /// Stores the ages that a daemon with the same digest reports.
    pub fn observe_ages(&mut self, now: MonotonicMs, ages: &[u8]) {
        if ages.len() != self.entries.len() + 1 {
            return;
        }
        let (before, after) = ages.split_at(self.own_index());
        let of_others = before.iter().chain(&after[1..]);
        for (entry, code) in self.entries.values_mut().zip(of_others) {
            // Encoding rounds up, so that an age does not decrease while it circulates.
            let age_ms = u64::from(*code) * AGE_UNIT_MS;
            let last_heartbeat_at = MonotonicMs(now.0.saturating_sub(age_ms));
            entry.last_heartbeat_at = entry.last_heartbeat_at.max(last_heartbeat_at);
        }
    }
}

fn reader_score(member: &Member) -> u64 {
    rendezvous_score(READER_RANKING_KEY, member.name.as_str())
}

fn encode_age(age: DurationMs) -> u8 {
    u8::try_from(age.0.div_ceil(AGE_UNIT_MS)).unwrap_or(u8::MAX)
}
