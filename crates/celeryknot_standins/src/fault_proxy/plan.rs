//! Faults and fault plans.

use celeryknot_core::DurationMs;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// A fault to inject, or the end of all faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// Ends all faults, but silent connections stay silent.
    Heal,
    /// Delays each chunk of data.
    Delay {
        /// The delay.
        ms: u64,
    },
    /// Resets the open connections.
    Reset,
    /// Silences the open connections without closing them; new connections work.
    SilentDrop,
    /// Silences the open and all new connections without closing them.
    BlackHole,
    /// Resets a connection after a number of bytes in one direction.
    Truncate {
        /// The bytes that are forwarded before the reset.
        after_bytes: u64,
    },
    /// Forwards data in small segments.
    Split {
        /// The maximum size of a segment.
        segment_bytes: usize,
    },
    /// Delays each connection differently, so that responses overtake each other.
    Reorder {
        /// The upper bound of the delay.
        ms: u64,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultStep {
    /// The time from the start of the plan.
    #[serde(default)]
    pub at_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A sequence of faults, ordered by time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// The faults.
    pub steps: Vec<FaultStep>,
}

const HEALTHY_MAX_MS: u64 = 1_500;
const FAULT_MAX_MS: u64 = 1_000;
const DELAY_MAX_MS: u64 = 200;
const TRUNCATE_MAX_BYTES: u64 = 4_096;
const SEGMENT_MAX_BYTES: usize = 64;
const FAULT_KINDS: u32 = 7;

impl FaultPlan {
    /// Draws a plan that alternates between healthy periods and faults and ends healed.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::DurationMs;
    /// use celeryknot_standins::FaultPlan;
    ///
    /// let plan = FaultPlan::from_seed(7, DurationMs(10_000));
    /// assert_eq!(plan, FaultPlan::from_seed(7, DurationMs(10_000)));
    /// ```
    pub fn from_seed(seed: u64, length_ms: DurationMs) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += random.random_range(0..HEALTHY_MAX_MS);
            let fault = draw_fault(&mut random);
            let healed_at_ms = at_ms + random.random_range(0..FAULT_MAX_MS);
            if healed_at_ms >= length_ms.0 {
                return Self { steps };
            }
            steps.push(FaultStep { at_ms, fault });
            steps.push(FaultStep {
                at_ms: healed_at_ms,
                fault: Fault::Heal,
            });
            at_ms = healed_at_ms;
        }
    }
}

fn draw_fault(random: &mut SmallRng) -> Fault {
    match random.random_range(0..FAULT_KINDS) {
        0 => Fault::Delay {
            ms: random.random_range(1..DELAY_MAX_MS),
        },
        1 => Fault::Reset,
        2 => Fault::SilentDrop,
        3 => Fault::BlackHole,
        4 => Fault::Truncate {
            after_bytes: random.random_range(0..TRUNCATE_MAX_BYTES),
        },
        5 => Fault::Split {
            segment_bytes: random.random_range(1..SEGMENT_MAX_BYTES),
        },
        _ => Fault::Reorder {
            ms: random.random_range(1..DELAY_MAX_MS),
        },
    }
}
