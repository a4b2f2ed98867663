//! What is known of one engine that gets orders.

use celeryknot_core::{MonotonicMs, Revision};

use super::{EngineReport, FencingNumber, OrdersConfig};

/// An order that has shown no effect yet.
#[derive(Debug, Clone)]
struct Pending {
    revision: Revision,
    ordered_at: MonotonicMs,
    version_before: String,
}

/// One engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Engine {
    report: Option<EngineReport>,
    pending: Option<Pending>,
    highest_refusal: Option<FencingNumber>,
}

/// Where an engine stands in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineStep {
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
            .take_if(|pending| pending.version_before != report.version);
        self.report = Some(report);
    }

    pub(super) fn note_refused(&mut self, highest: FencingNumber) {
        self.highest_refusal = self.highest_refusal.max(Some(highest));
        self.pending = None;
    }

    pub(super) fn note_ordered(&mut self, now: MonotonicMs, revision: Revision) {
        self.pending = Some(Pending {
            revision,
            ordered_at: now,
            version_before: match &self.report {
                Some(report) => report.version.clone(),
                None => String::new(),
            },
        });
    }

    /// Returns the number to send, or none where the engine knows newer settings.
    pub(super) fn fence(&self, own: FencingNumber) -> Option<FencingNumber> {
        match self.highest_refusal {
            Some(highest) if highest.settings_revision() > own.settings_revision() => None,
            Some(highest) => Some(own.max(highest)),
            None => Some(own),
        }
    }

    pub(super) fn step(
        &self,
        now: MonotonicMs,
        revision: Revision,
        target: &str,
        config: &OrdersConfig,
    ) -> EngineStep {
        let Some(report) = &self.report else {
            return EngineStep::Unknown;
        };
        if report.version == target {
            return if report.is_cold {
                EngineStep::Warming
            } else {
                EngineStep::Updated
            };
        }
        match &self.pending {
            Some(pending)
                if pending.revision == revision
                    && now - pending.ordered_at < config.load_timeout =>
            {
                EngineStep::Loading
            }
            Some(_) | None => EngineStep::Outdated,
        }
    }
}
