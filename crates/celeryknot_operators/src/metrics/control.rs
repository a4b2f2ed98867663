//! Metrics that are derived from the control thread's status.

use celeryknot_core::EndpointCondition;
use celeryknot_fleet::{ControlKind, KindCount, MemberState};
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};
use strum::IntoEnumIterator;

use super::spec::{register_counter, register_counter_vec, register_gauge, register_gauge_vec};
use crate::status::{ControlCounters, ControlStatus, EndpointStatus};

/// Metrics that are derived from the control thread's status; clones share the values.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    control_bytes: IntCounterVec,
    control_messages: IntCounterVec,
    platform_calls: IntCounterVec,
    orders: IntCounterVec,
    members: IntGaugeVec,
    endpoints: IntGaugeVec,
    pauses: IntCounter,
    ready: IntGauge,
    reader: IntGauge,
    snapshot_version: IntGauge,
    settings_age_ms: IntGauge,
    settings_revision: IntGauge,
    settings_refused: IntGauge,
}

impl ControlMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let metrics = Self {
            control_bytes: register_counter_vec(registry, "celeryknot_control_bytes_total"),
            control_messages: register_counter_vec(registry, "celeryknot_control_messages_total"),
            platform_calls: register_counter_vec(registry, "celeryknot_platform_calls_total"),
            orders: register_counter_vec(registry, "celeryknot_orders_total"),
            members: register_gauge_vec(registry, "celeryknot_members"),
            endpoints: register_gauge_vec(registry, "celeryknot_endpoints"),
            pauses: register_counter(registry, "celeryknot_pauses_total"),
            ready: register_gauge(registry, "celeryknot_ready"),
            reader: register_gauge(registry, "celeryknot_reader"),
            snapshot_version: register_gauge(registry, "celeryknot_snapshot_version"),
            settings_age_ms: register_gauge(registry, "celeryknot_settings_age_ms"),
            settings_revision: register_gauge(registry, "celeryknot_settings_revision"),
            settings_refused: register_gauge(registry, "celeryknot_settings_refused"),
        };
        metrics.set_counters(&ControlCounters::default());
        metrics
    }

    /// Sets all metrics from the control thread's status.
    pub fn set_status(&self, status: &ControlStatus, is_ready: bool, own_name: &str) {
        self.ready.set(i64::from(is_ready));
        self.reader.set(i64::from(status.is_reader));
        self.snapshot_version
            .set(saturating_to_i64(status.snapshot_version));
        self.settings_revision
            .set(saturating_to_i64(status.settings_revision.0));
        let age_ms = status
            .settings_age_ms
            .map_or(-1, |age| saturating_to_i64(age.0));
        self.settings_age_ms.set(age_ms);
        let refused = status
            .settings
            .iter()
            .filter(|setting| setting.refused.is_some());
        self.settings_refused
            .set(saturating_to_i64(refused.count() as u64));
        self.set_members(status);
        self.set_endpoints(status, own_name);
        self.set_counters(&status.counters);
    }

    fn set_counters(&self, counters: &ControlCounters) {
        for kind in ControlKind::iter() {
            let count = counters.traffic.get(&kind).copied().unwrap_or_default();
            self.set_kind_count(kind, count);
        }
        let calls = counters.platform_calls;
        for (outcome, total) in [
            ("changed", calls.changed),
            ("unchanged", calls.unchanged),
            ("stale", calls.stale),
            ("failed", calls.failed),
        ] {
            raise_to(&self.platform_calls.with_label_values(&[outcome]), total);
        }
        let orders = counters.orders;
        for (outcome, total) in [
            ("accepted", orders.accepted),
            ("refused", orders.refused),
            ("failed", orders.failed),
        ] {
            raise_to(&self.orders.with_label_values(&[outcome]), total);
        }
        raise_to(&self.pauses, counters.pauses);
    }

    fn set_kind_count(&self, kind: ControlKind, count: KindCount) {
        let name = <&str>::from(kind);
        raise_to(
            &self.control_bytes.with_label_values(&[name]),
            count.sent_bytes,
        );
        for (outcome, total) in [("sent", count.sent), ("dropped", count.dropped)] {
            let counter = self.control_messages.with_label_values(&[name, outcome]);
            raise_to(&counter, total);
        }
    }

    fn set_members(&self, status: &ControlStatus) {
        use MemberState::{Alive, Dead, Draining, Suspect};
        for state in [Alive, Suspect, Draining, Dead] {
            let count = status
                .members
                .iter()
                .filter(|member| member.state == state)
                .count();
            self.members
                .with_label_values(&[<&str>::from(state)])
                .set(saturating_to_i64(count as u64));
        }
    }

    fn set_endpoints(&self, status: &ControlStatus, own_name: &str) {
        for condition in EndpointCondition::iter() {
            let is_counted = |endpoint: &&EndpointStatus| {
                endpoint
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.as_str() == own_name)
                    && endpoint.summary.unwrap_or_default().condition == condition
            };
            let count = status.endpoints.iter().filter(is_counted).count();
            self.endpoints
                .with_label_values(&[<&str>::from(condition)])
                .set(saturating_to_i64(count as u64));
        }
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn saturating_to_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
