//! Size and network faults of a simulated fleet.

use celeryknot_core::DurationMs;

use crate::settings_store::Validator;

/// A small seeded random source (SplitMix64).
#[derive(Debug, Clone)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a source from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below a limit, or zero if that is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.draw().checked_rem(limit).unwrap_or(0)
    }
}

/// Network faults applied to messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    /// Minimum delivery delay.
    pub delay_min: DurationMs,
    /// Maximum delivery delay.
    pub delay_max: DurationMs,
    /// Percentage of dropped messages.
    pub drop_percent: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay_min: DurationMs(1),
            delay_max: DurationMs(3),
            drop_percent: 0,
        }
    }
}

/// Configuration of a simulated fleet.
#[derive(Debug, Clone)]
pub struct SimulationConfig {
    /// Number of daemons.
    pub members: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of replicas of the platform's service.
    pub replicas: usize,
    /// Daemons in each zone that watch the platform.
    pub readers_per_zone: u32,
    /// Seed of the random source.
    pub seed: u64,
    /// Network faults.
    pub faults: Faults,
    /// Validates the text of a value.
    pub validate: Validator,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            members: 9,
            endpoints: 13,
            zones: 3,
            replicas: 3,
            readers_per_zone: 3,
            seed: 1,
            faults: Faults::default(),
            validate: |_, _| Ok(()),
        }
    }
}
