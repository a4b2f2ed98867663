//! Which daemons there are, and which of them read the store for the others.
//!
//! No I/O and no clock. Nothing is elected: each daemon ranks those that it knows, and reads the
//! store itself if it ranks among the first. While views differ, some more daemons read than
//! need to, which does no harm; a daemon that hears nothing new of the store reads it anyway.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs, ZoneName};

/// Daemons that read the store; more than can fail at once in one zone's loss.
pub const READERS: usize = 6;

/// Time without a sign of life after which a daemon is forgotten.
///
/// Longer than a machine is away that comes back under its name, so that shares of the fleet's
/// bounds are not given to others meanwhile.
const FORGOTTEN_AFTER: DurationMs = DurationMs(60_000);

/// Time without a sign of life after which a daemon no longer counts as a reader.
const SILENT_AFTER: DurationMs = DurationMs(6_000);

/// Time for which a daemon that did not answer is passed over as a source of news.
const AVOID_MS: DurationMs = DurationMs(3_000);

/// Unit in which the ages of signs of life are told.
const AGE_UNIT_MS: u64 = 500;

/// Key of the ranking by which readers are picked.
const READER_KEY: u64 = 0x7265_6164;

/// Where a daemon runs and is reached by its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The daemon's name.
    pub name: MemberName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Processor cores that it may use, in hundredths.
    pub cores_percent: u32,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    heard_at: MonotonicMs,
    avoid_until: MonotonicMs,
}

/// The daemons that one daemon knows, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Member,
    entries: BTreeMap<MemberName, Entry>,
    version: u64,
}

impl MemberTable {
    /// Starts with the daemon itself.
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
    /// };
    /// let table = MemberTable::new(own);
    /// assert!(table.is_reader(MonotonicMs(0)), "nobody else is known");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn new(own: Member) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            version: 1,
        }
    }

    /// Returns the daemon itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a number that rises when a daemon is added or forgotten.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in that a daemon was heard, directly or by another one, some time ago.
    pub fn observe(&mut self, now: MonotonicMs, member: Member, age: DurationMs) {
        if member.name == self.own.name || age >= FORGOTTEN_AFTER {
            return;
        }
        let heard_at = MonotonicMs(now.0.saturating_sub(age.0));
        match self.entries.get_mut(&member.name) {
            Some(entry) if heard_at > entry.heard_at => {
                if entry.member != member {
                    entry.avoid_until = MonotonicMs(0);
                }
                entry.member = member;
                entry.heard_at = heard_at;
            }
            Some(_) => {}
            None => {
                self.version += 1;
                let entry = Entry {
                    member: member.clone(),
                    heard_at,
                    avoid_until: MonotonicMs(0),
                };
                self.entries.insert(member.name, entry);
            }
        }
    }

    /// Notes that a daemon did not answer.
    pub fn note_silent(&mut self, now: MonotonicMs, address: SocketAddr) {
        let entry = self
            .entries
            .values_mut()
            .find(|entry| entry.member.address == address);
        if let Some(entry) = entry {
            entry.avoid_until = now + AVOID_MS;
        }
    }

    /// Forgets daemons that have not been heard for long.
    pub fn advance(&mut self, now: MonotonicMs) {
        let len = self.entries.len();
        self.entries
            .retain(|_, entry| now - entry.heard_at < FORGOTTEN_AFTER);
        if self.entries.len() != len {
            self.version += 1;
        }
    }

    /// Returns the names of all daemons that may be running, in their order.
    pub fn names(&self) -> Vec<MemberName> {
        let mut names: Vec<MemberName> = self.entries.keys().cloned().collect();
        names.push(self.own.name.clone());
        names.sort();
        names
    }

    /// Returns all daemons but this one, with the age of their last sign of life.
    pub fn others(&self, now: MonotonicMs) -> impl Iterator<Item = (&Member, DurationMs)> {
        self.entries
            .values()
            .map(move |entry| (&entry.member, now - entry.heard_at))
    }

    fn is_heard(&self, now: MonotonicMs, entry: &Entry) -> bool {
        now - entry.heard_at < SILENT_AFTER && now >= entry.avoid_until
    }

    /// Tells whether this daemon reads the store for the others.
    pub fn is_reader(&self, now: MonotonicMs) -> bool {
        let readers = self.reader_order(now).into_iter().take(READERS);
        readers.into_iter().any(|member| *member == self.own)
    }

    /// Returns the daemons that are heard, this one included, the first readers first.
    ///
    /// The zones take turns, so that a zone's loss takes few readers; within a zone those with the
    /// most processor go first, since a reader answers the questions of many.
    fn reader_order(&self, now: MonotonicMs) -> Vec<&Member> {
        let heard = self.entries.values().filter(|it| self.is_heard(now, it));
        let mut order: Vec<(&Member, u64)> = heard
            .map(|entry| &entry.member)
            .chain([&self.own])
            .map(|member| (member, rendezvous_score(READER_KEY, member.name.as_str())))
            .collect();
        order.sort_by_key(|(member, score)| Reverse((member.cores_percent, *score)));
        let mut turns: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut in_turns: Vec<(usize, &Member)> = order
            .into_iter()
            .map(|(member, _)| {
                let turn = turns.entry(&member.zone).or_default();
                *turn += 1;
                (*turn, member)
            })
            .collect();
        // Stable: within a turn, those with the most processor go first.
        in_turns.sort_by_key(|(turn, _)| *turn);
        in_turns.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the daemons to ask for news, the best ones first: readers of the own zone, other
    /// readers, and then all others.
    ///
    /// `draw` varies the order among equals, so that the readers' work is spread.
    pub fn sources(&self, now: MonotonicMs, draw: u64) -> Vec<Member> {
        let mut ranked: Vec<(bool, bool, u64, &Member)> = self
            .reader_order(now)
            .into_iter()
            .enumerate()
            .filter(|(_, member)| **member != self.own)
            .map(|(rank, member)| {
                let is_far = member.zone != self.own.zone;
                let mix = rendezvous_score(draw, member.name.as_str());
                (rank >= READERS, is_far, mix, member)
            })
            .collect();
        ranked.sort_by_key(|(is_no_reader, is_far, mix, _)| (*is_no_reader, *is_far, *mix));
        ranked
            .into_iter()
            .map(|(_, _, _, member)| member.clone())
            .collect()
    }

    /// Returns a sum over the daemons, this one included, that tells whether two lists are equal.
    pub fn digest(&self) -> u64 {
        let add = |digest: u64, member: &Member| {
            digest.wrapping_add(rendezvous_score(member.incarnation.0, member.name.as_str()))
        };
        let members = self.entries.values().map(|entry| &entry.member);
        members.fold(add(0, &self.own), add)
    }

    /// Returns the ages of all daemons' signs of life, in the order of their names.
    pub fn ages(&self, now: MonotonicMs) -> Vec<u8> {
        self.names()
            .iter()
            .map(|name| match self.entries.get(name) {
                Some(entry) => age_code(now - entry.heard_at),
                None => 0,
            })
            .collect()
    }

    /// Takes in ages from a daemon whose list has the same sum.
    pub fn observe_ages(&mut self, now: MonotonicMs, ages: &[u8]) {
        let names = self.names();
        if names.len() != ages.len() {
            return;
        }
        for (name, code) in names.iter().zip(ages) {
            let Some(entry) = self.entries.get_mut(name) else {
                continue;
            };
            // The code is rounded up, so that an age that goes round does not get younger.
            let age_ms = u64::from(*code) * AGE_UNIT_MS;
            let heard_at = MonotonicMs(now.0.saturating_sub(age_ms));
            entry.heard_at = entry.heard_at.max(heard_at);
        }
    }
}

fn age_code(age: DurationMs) -> u8 {
    u8::try_from(age.0.div_ceil(AGE_UNIT_MS)).unwrap_or(u8::MAX)
}
