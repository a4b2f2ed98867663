//! State of one member.

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs, ZoneName};

use crate::timing::FleetTiming;
use crate::view::MemberState;

/// A daemon's name, zone and addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// Address at which the daemon accepts messages from its peers.
    pub peers_address: SocketAddr,
    /// Address at which the daemon accepts requests forwarded by its peers.
    pub forwards_address: SocketAddr,
}

/// A member's state as relayed between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub info: MemberInfo,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Incremented by the member itself when its state changes or it refutes a suspicion.
    pub sequence: u64,
    /// The member's state.
    pub state: MemberState,
}

pub(super) fn severity(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Draining => 2,
        MemberState::Dead => 3,
    }
}

impl MemberRecord {
    pub(super) fn precedence(&self) -> (u64, u8, Incarnation) {
        (self.sequence, severity(self.state), self.incarnation)
    }
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) info: MemberInfo,
    /// Whether the platform lists the member as draining; `None` if it is not listed.
    pub(super) listed_as_draining: Option<bool>,
    pub(super) record: Option<MemberRecord>,
    pub(super) last_contact_at: MonotonicMs,
    pub(super) state_changed_at: MonotonicMs,
    pub(super) flap_count: u32,
    pub(super) last_flap_at: MonotonicMs,
    pub(super) duties_suspended_until: MonotonicMs,
}

impl Entry {
    pub(super) fn new(info: MemberInfo, now: MonotonicMs) -> Self {
        Self {
            info,
            listed_as_draining: None,
            record: None,
            last_contact_at: now,
            state_changed_at: now,
            flap_count: 0,
            last_flap_at: now,
            duties_suspended_until: now,
        }
    }

    pub(super) fn state(&self) -> MemberState {
        let stated = self.record.as_ref().map(|record| record.state);
        match stated {
            None => MemberState::Suspect,
            Some(MemberState::Alive | MemberState::Suspect)
                if self.listed_as_draining == Some(true) =>
            {
                MemberState::Draining
            }
            Some(state) => state,
        }
    }

    pub(super) fn has_duties(&self, now: MonotonicMs) -> bool {
        let is_up = matches!(self.state(), MemberState::Alive | MemberState::Suspect);
        self.record.is_some() && is_up && now >= self.duties_suspended_until
    }
}

impl Entry {
    /// Suspends the duties of a flapping member for a time that doubles with each return.
    pub(super) fn record_flap(
        &mut self,
        record: &MemberRecord,
        now: MonotonicMs,
        timing: &FleetTiming,
    ) {
        let Some(stored) = &self.record else {
            return;
        };
        let is_flap = stored.state == MemberState::Dead && record.state == MemberState::Alive;
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
            self.duties_suspended_until =
                now + DurationMs(suspension_ms.min(timing.flap_suspension_max.0));
        }
    }
}
