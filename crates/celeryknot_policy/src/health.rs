//! Sick endpoints, found by evidence from their answers.

use celeryknot_core::{DurationMs, MonotonicMs};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What one answer says about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvidence {
    /// A whole answer, with the time to its first byte.
    Answered {
        /// Time from the send to the first byte.
        first_byte_ms: DurationMs,
    },
    /// An error of the endpoint's own, or a broken answer.
    Failed,
    /// No answer in time, or no connection.
    Silent,
}

/// Whether an endpoint is passed over.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthState {
    /// The endpoint gets its full share.
    #[default]
    Healthy,
    /// The endpoint is passed over until the time of its next probe.
    Sick,
    /// The endpoint gets one request at a time.
    Probing,
}

/// The health of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    state: HealthState,
    failures: f64,
}

impl EndpointHealth {
    /// Starts healthy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one piece of evidence.
    pub fn observe(&mut self, _now: MonotonicMs, evidence: HealthEvidence) {
        match evidence {
            HealthEvidence::Answered { .. } => self.failures *= 0.9,
            HealthEvidence::Failed | HealthEvidence::Silent => self.failures += 1.0,
        }
    }

    /// Returns whether the endpoint is passed over now.
    pub fn state(&self, _now: MonotonicMs) -> HealthState {
        self.state
    }
}
