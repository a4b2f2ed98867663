//! Accessors of the fleet's state.

use celeryknot_core::{DurationMs, MemberName, MonotonicMs, ServiceName};

use super::Fleet;
use crate::byte_budget::ByteBudget;
use crate::duties::{self, ReaderAssignment};
use crate::instance_list::InstanceList;
use crate::membership::Membership;
use crate::settings_store::SettingsStore;

impl Fleet {
    /// Returns this daemon's rank among the readers of its zone, if it is one of them.
    pub fn reader_assignment(&self, now: MonotonicMs) -> Option<ReaderAssignment> {
        let own = &self.config.own;
        let holders = self.members.duty_holders(now);
        duties::reader_assignment(&own.name, &own.zone, &holders, self.config.readers_per_zone)
    }

    /// Returns whether this daemon sends the orders to the engines of a service.
    pub fn is_orders_holder(&self, now: MonotonicMs, service: &ServiceName) -> bool {
        let holders = self.members.duty_holders(now);
        duties::orders_holder(service, &holders) == Some(&self.config.own.name)
    }

    /// Returns the members, for tests and status.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns the settings, for tests and status.
    pub fn values(&self) -> &SettingsStore {
        &self.values
    }

    /// Returns the instance list, for tests and status.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// Returns the byte budget with its counters.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Returns the neighbours with which this daemon exchanges messages.
    pub fn neighbours(&self) -> &[MemberName] {
        &self.neighbours
    }

    /// Returns the time since the platform last confirmed the settings, here or at a peer.
    pub fn settings_age(&self, now: MonotonicMs) -> Option<DurationMs> {
        self.settings_confirmed_at.map(|at| now - at)
    }

    /// Returns whether this daemon is ready.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }
}
