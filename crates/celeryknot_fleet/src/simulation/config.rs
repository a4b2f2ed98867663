//! What a driven fleet consists of, and what happens to its messages.

use celeryknot_core::DurationMs;

use crate::settings_store::Validator;

/// A small seeded random source (SplitMix64).
#[derive(Debug, Clone)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Starts from a seed.
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

/// What happens to messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    /// Shortest time on the way.
    pub delay_min: DurationMs,
    /// Longest time on the way.
    pub delay_max: DurationMs,
    /// Messages lost, in a hundred.
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

/// How many of what a driven fleet has.
#[derive(Debug, Clone)]
pub struct SimulationConfig {
    /// Daemons.
    pub members: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Availability zones.
    pub zones: usize,
    /// Replicas of the platform's service.
    pub replicas: usize,
    /// Daemons in each zone that watch the platform.
    pub readers_per_zone: u32,
    /// Seed of everything random.
    pub seed: u64,
    /// What happens to messages.
    pub faults: Faults,
    /// Checks the text of a value.
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
