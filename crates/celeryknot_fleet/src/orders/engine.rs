//! What is known of one engine that gets orders.

use celeryknot_core::{MonotonicMs, Revision};

use super::{EngineReport, FencingNumber, OrdersConfig};

/// An order that has shown no effect yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    revision: Revision,
    ordered_at: MonotonicMs,
    previous_version: String,
}

/// One engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Engine {
    report: Option<EngineReport>,
    pending: Option<PendingOrder>,
    highest_refused_by: Option<FencingNumber>,
}

/// Where an engine stands in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EnginePhase {
    /// Nothing was heard of the engine.
    Unknown,
    /// It serves another version, and no order is under way.
    Outdated,
    /// It has been ordered to load the version.
    Loading,
    /// It serves the version, in cold start.
    Warming,
    /// It serves the version.
    Updated,
}

impl Engine {
    pub(super) fn observe(&mut self, report: EngineReport) {
        // A version that is neither the one before the order nor the ordered one was ordered by
        // somebody else; the order that is under way is lost.
        self.pending
            .take_if(|pending| pending.previous_version != report.version);
        self.report = Some(report);
    }

    pub(super) fn note_refused(&mut self, highest: FencingNumber) {
        self.highest_refused_by = self.highest_refused_by.max(Some(highest));
        self.pending = None;
    }

    pub(super) fn note_ordered(&mut self, now: MonotonicMs, revision: Revision) {
        self.pending = Some(PendingOrder {
            revision,
            ordered_at: now,
            previous_version: match &self.report {
                Some(report) => report.version.clone(),
                None => String::new(),
            },
        });
    }

    /// Returns the number to send, or none where the engine knows newer settings.
    pub(super) fn fencing_to_send(&self, own: FencingNumber) -> Option<FencingNumber> {
        match self.highest_refused_by {
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
