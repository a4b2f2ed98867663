//! What is known of one member.

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs, ZoneName};

use crate::timing::FleetTiming;
use crate::view::MemberState;

/// Where a daemon runs and is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// Where the daemon takes messages of its peers.
    pub peers_address: SocketAddr,
    /// Where the daemon takes requests handed over by its peers.
    pub forwards_address: SocketAddr,
}

/// One statement about a member, as daemons pass it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member that the record is about.
    pub info: MemberInfo,
    /// The life of the member that the record is about.
    pub incarnation: Incarnation,
    /// Raised by the member itself when its state changes or it refutes a suspicion.
    pub sequence: u64,
    /// What is stated.
    pub state: MemberState,
}

pub(super) fn rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

impl MemberRecord {
    pub(super) fn precedence(&self) -> (u64, u8, Incarnation) {
        (self.sequence, rank(self.state), self.incarnation)
    }
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) info: MemberInfo,
    /// Whether the platform lists the member, and as leaving.
    pub(super) listed_as_draining: Option<bool>,
    pub(super) record: Option<MemberRecord>,
    pub(super) last_contact_at: MonotonicMs,
    pub(super) state_since: MonotonicMs,
    pub(super) flap_count: u32,
    pub(super) last_flap_at: MonotonicMs,
    pub(super) suspended_until: MonotonicMs,
}

impl Entry {
    pub(super) fn new(info: MemberInfo, now: MonotonicMs) -> Self {
        Self {
            info,
            listed_as_draining: None,
            record: None,
            last_contact_at: now,
            state_since: now,
            flap_count: 0,
            last_flap_at: now,
            suspended_until: now,
        }
    }

    pub(super) fn state(&self) -> MemberState {
        let stated = self.record.as_ref().map(|record| record.state);
        match stated {
            None => MemberState::Suspect,
            Some(MemberState::Alive | MemberState::Suspect)
                if self.listed_as_draining == Some(true) =>
            {
                MemberState::Leaving
            }
            Some(state) => state,
        }
    }

    pub(super) fn has_duties(&self, now: MonotonicMs) -> bool {
        let is_up = matches!(self.state(), MemberState::Alive | MemberState::Suspect);
        self.record.is_some() && is_up && now >= self.suspended_until
    }
}

impl Entry {
    /// Keeps a member that returns again and again without duties for a growing time.
    pub(super) fn record_flap(
        &mut self,
        record: &MemberRecord,
        now: MonotonicMs,
        timing: &FleetTiming,
    ) {
        let Some(known) = &self.record else {
            return;
        };
        let is_flap = known.state == MemberState::Dead && record.state == MemberState::Alive;
        if !is_flap {
            return;
        }
        if now - self.last_flap_at > timing.flap_reset_after {
            self.flap_count = 0;
        }
        self.flap_count += 1;
        self.last_flap_at = now;
        if self.flap_count > 1 {
            let suspension_ms = 1_000_u64 << self.flap_count.min(16);
            self.suspended_until =
                now + DurationMs(suspension_ms.min(timing.flap_suspension_max.0));
        }
    }
}
