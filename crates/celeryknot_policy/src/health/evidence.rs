//! What the latest answers say about their endpoint.

use celeryknot_core::DurationMs;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Answers that are judged together.
const WINDOW: u32 = 20;
/// Fewest answers that say anything about failures.
const ANSWERS_MIN: u32 = 5;
/// Requests in a row without an answer that are enough.
const SILENT_MAX: u32 = 3;
/// Failures in a hundred that are too many.
const FAILED_PERCENT_MAX: u32 = 50;
/// Fewest answers that say anything about speed.
const SPEED_ANSWERS_MIN: u32 = 10;
/// How many times slower than its peers an endpoint may be.
const SLOW_FACTOR: f64 = 3.0;
/// How much slower than its peers an endpoint may be in any case.
const SLOW_MIN_MS: f64 = 300.0;
/// Share of a new sample in the running mean.
const SAMPLE_SHARE: f64 = 0.1;

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

/// Why an endpoint is passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SickReason {
    /// Too many of its answers failed.
    Failing,
    /// It gave no answer several times in a row.
    Silent,
    /// Its answers come much later than those of its peers.
    Slow,
}

/// The latest answers of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EvidenceWindow {
    /// The latest results, one bit each, 1 for a failure; the newest is the lowest bit.
    failures: u32,
    count: u32,
    silent_in_row: u32,
    speed_count: u32,
    first_byte_ms: f64,
    peers_first_byte_ms: Option<f64>,
}

impl EvidenceWindow {
    /// Takes in one answer.
    pub fn observe(&mut self, evidence: HealthEvidence) {
        let has_failed = match evidence {
            HealthEvidence::Answered { first_byte_ms } => {
                self.observe_speed(first_byte_ms);
                false
            }
            HealthEvidence::Failed | HealthEvidence::Silent => true,
        };
        self.silent_in_row = match evidence {
            HealthEvidence::Silent => self.silent_in_row.saturating_add(1),
            HealthEvidence::Answered { .. } | HealthEvidence::Failed => 0,
        };
        self.failures = (self.failures << 1 | u32::from(has_failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
    }

    /// Sets the usual time to the first byte of the other endpoints.
    pub fn set_peers_first_byte_ms(&mut self, first_byte_ms: Option<DurationMs>) {
        self.peers_first_byte_ms = first_byte_ms.map(|ms| ms.0 as f64);
    }

    /// Returns what speaks against the endpoint, if it is enough.
    pub fn sick_reason(&self) -> Option<SickReason> {
        if self.silent_in_row >= SILENT_MAX {
            return Some(SickReason::Silent);
        }
        let failed = self.failures.count_ones();
        if self.count >= ANSWERS_MIN && failed * 100 >= self.count * FAILED_PERCENT_MAX {
            return Some(SickReason::Failing);
        }
        let is_slow = self.speed_count >= SPEED_ANSWERS_MIN && self.is_slow(self.first_byte_ms);
        is_slow.then_some(SickReason::Slow)
    }

    /// Tells whether one answer, taken alone, speaks for the endpoint.
    pub fn is_good(&self, evidence: HealthEvidence) -> bool {
        match evidence {
            HealthEvidence::Answered { first_byte_ms } => !self.is_slow(first_byte_ms.0 as f64),
            HealthEvidence::Failed | HealthEvidence::Silent => false,
        }
    }

    /// Forgets all answers.
    pub fn clear(&mut self) {
        *self = Self {
            peers_first_byte_ms: self.peers_first_byte_ms,
            ..Self::default()
        };
    }

    fn observe_speed(&mut self, first_byte_ms: DurationMs) {
        let share = if self.speed_count == 0 {
            1.0
        } else {
            SAMPLE_SHARE
        };
        self.first_byte_ms += share * (first_byte_ms.0 as f64 - self.first_byte_ms);
        self.speed_count = self.speed_count.saturating_add(1);
    }

    fn is_slow(&self, first_byte_ms: f64) -> bool {
        self.peers_first_byte_ms.is_some_and(|peers_ms| {
            first_byte_ms > (peers_ms * SLOW_FACTOR).max(peers_ms + SLOW_MIN_MS)
        })
    }
}
