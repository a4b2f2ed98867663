//! Evaluates the latest responses of an endpoint.

use celeryknot_core::DurationMs;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Number of latest outcomes from which the failure rate is computed.
const WINDOW_LEN: u32 = 20;
/// Minimum number of outcomes for a meaningful failure rate.
const OUTCOMES_MIN: u32 = 5;
/// Number of consecutive requests without a response that causes an ejection.
const EJECTION_UNANSWERED_COUNT: u32 = 3;
/// Failure rate, in percent, that causes an ejection.
const EJECTION_FAILED_PERCENT: u32 = 50;
/// Minimum number of responses for a meaningful mean time to the first byte.
const LATENCY_SAMPLES_MIN: u32 = 10;
/// Multiple of the peers' time to the first byte above which an endpoint is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Minimum excess over the peers' time to the first byte for an endpoint to count as slow.
const SLOW_MARGIN_MIN_MS: f64 = 300.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The outcome of one request as evidence of the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvidence {
    /// A complete response.
    Answered {
        /// Time from sending the request to the first byte of the response.
        first_byte_ms: DurationMs,
    },
    /// An error of the endpoint itself, or an invalid response.
    Failed,
    /// A timeout or a failure to connect.
    Unanswered,
}

/// Why an endpoint is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EjectionReason {
    /// Too many of its responses failed.
    Failing,
    /// Several consecutive requests got no response.
    #[strum(serialize = "silent")]
    Silent,
    /// Its responses are much slower than those of its peers.
    Slow,
}

/// The latest outcomes of one endpoint's requests.
#[derive(Debug, Clone, Default)]
pub struct EvidenceWindow {
    /// One bit per outcome, 1 for a failure; the lowest bit is the newest.
    failure_bits: u32,
    count: u32,
    consecutive_unanswered: u32,
    latency_samples: u32,
    first_byte_ms: f64,
    peers_first_byte_ms: Option<f64>,
}

impl EvidenceWindow {
    /// Records one outcome.
    pub fn observe(&mut self, evidence: HealthEvidence) {
        let has_failed = match evidence {
            HealthEvidence::Answered { first_byte_ms } => {
                self.observe_latency(first_byte_ms);
                false
            }
            HealthEvidence::Failed | HealthEvidence::Unanswered => true,
        };
        self.consecutive_unanswered = match evidence {
            HealthEvidence::Unanswered => self.consecutive_unanswered.saturating_add(1),
            HealthEvidence::Answered { .. } | HealthEvidence::Failed => 0,
        };
        self.failure_bits =
            (self.failure_bits << 1 | u32::from(has_failed)) & ((1 << WINDOW_LEN) - 1);
        self.count = (self.count + 1).min(WINDOW_LEN);
    }

    /// Sets the typical time to the first byte of the other endpoints.
    pub fn set_peers_first_byte_ms(&mut self, first_byte_ms: Option<DurationMs>) {
        self.peers_first_byte_ms = first_byte_ms.map(|ms| ms.0 as f64);
    }

    /// Returns the reason to eject the endpoint, if there is one.
    pub fn ejection_reason(&self) -> Option<EjectionReason> {
        if self.consecutive_unanswered >= EJECTION_UNANSWERED_COUNT {
            return Some(EjectionReason::Silent);
        }
        let failed = self.failure_bits.count_ones();
        if self.count >= OUTCOMES_MIN && failed * 100 >= self.count * EJECTION_FAILED_PERCENT {
            return Some(EjectionReason::Failing);
        }
        let is_slow =
            self.latency_samples >= LATENCY_SAMPLES_MIN && self.is_slow(self.first_byte_ms);
        is_slow.then_some(EjectionReason::Slow)
    }

    /// Returns whether a single outcome counts as a success.
    pub fn is_success(&self, evidence: HealthEvidence) -> bool {
        match evidence {
            HealthEvidence::Answered { first_byte_ms } => !self.is_slow(first_byte_ms.0 as f64),
            HealthEvidence::Failed | HealthEvidence::Unanswered => false,
        }
    }

    /// Discards all outcomes.
    pub fn clear(&mut self) {
        *self = Self {
            peers_first_byte_ms: self.peers_first_byte_ms,
            ..Self::default()
        };
    }

    fn observe_latency(&mut self, first_byte_ms: DurationMs) {
        let weight = if self.latency_samples == 0 {
            1.0
        } else {
            SAMPLE_WEIGHT
        };
        self.first_byte_ms += weight * (first_byte_ms.0 as f64 - self.first_byte_ms);
        self.latency_samples = self.latency_samples.saturating_add(1);
    }

    fn is_slow(&self, first_byte_ms: f64) -> bool {
        self.peers_first_byte_ms.is_some_and(|peers_ms| {
            first_byte_ms > (peers_ms * SLOW_FACTOR).max(peers_ms + SLOW_MARGIN_MIN_MS)
        })
    }
}
