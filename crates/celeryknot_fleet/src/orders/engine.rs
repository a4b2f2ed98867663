//! State of an engine that receives orders.

use celeryknot_core::{MonotonicMs, Revision};

use super::{EngineReport, FencingNumber, OrdersConfig};

/// An order that has not taken effect yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    revision: Revision,
    ordered_at: MonotonicMs,
    previous_version: String,
}

/// An engine's last report and its outstanding order.
#[derive(Debug, Clone, Default)]
pub(super) struct Engine {
    report: Option<EngineReport>,
    pending: Option<PendingOrder>,
    highest_fencing_seen: Option<FencingNumber>,
}

/// Phase of an engine in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EnginePhase {
    /// The engine has not reported its state yet.
    Unknown,
    /// It serves another version, and no order is pending.
    Outdated,
    /// An order to load the version is pending.
    Loading,
    /// It serves the version and is in cold start.
    Warming,
    /// It serves the version.
    Updated,
}

impl Engine {
    pub(super) fn observe(&mut self, report: EngineReport) {
        // Drops the pending order when the version changes. A version other than the ordered one
        // comes from another sender's order, which has superseded the pending one.
        self.pending
            .take_if(|pending| pending.previous_version != report.version);
        self.report = Some(report);
    }

    pub(super) fn record_refusal(&mut self, highest: FencingNumber) {
        self.highest_fencing_seen = self.highest_fencing_seen.max(Some(highest));
        self.pending = None;
    }

    pub(super) fn record_order(&mut self, now: MonotonicMs, revision: Revision) {
        self.pending = Some(PendingOrder {
            revision,
            ordered_at: now,
            previous_version: match &self.report {
                Some(report) => report.version.clone(),
                None => String::new(),
            },
        });
    }

    /// Returns the number to send, or `None` if the engine has seen newer settings.
    pub(super) fn fencing_to_send(&self, own: FencingNumber) -> Option<FencingNumber> {
        match self.highest_fencing_seen {
            Some(highest) if highest.settings_revision() > own.settings_revision() => None,
            Some(highest) => Some(own.max(highest)),
            None => Some(own),
        }
    }

    pub(super) fn phase(
        &self,
        now: MonotonicMs,
        revision: Revision,
        target: &str,
        config: &OrdersConfig,
    ) -> EnginePhase {
        let Some(report) = &self.report else {
            return EnginePhase::Unknown;
        };
        if report.version == target {
            return if report.is_cold {
                EnginePhase::Warming
            } else {
                EnginePhase::Updated
            };
        }
        match &self.pending {
            Some(pending)
                if pending.revision == revision
                    && now - pending.ordered_at < config.load_timeout =>
            {
                EnginePhase::Loading
            }
            Some(_) | None => EnginePhase::Outdated,
        }
    }
}
