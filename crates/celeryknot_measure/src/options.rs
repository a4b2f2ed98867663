//! Options of a measurement.

use std::time::Duration;

use celeryknot_core::DurationMs;
use celeryknot_standins::{CallerOptions, LoadOptions};

use crate::Deployment;

/// Default load of the ten engines: a little over half of their capacity.
const CHATS_PER_S: f64 = 100.0;
/// Shortest first message of a chat, in words; first messages contain a long file.
const FIRST_MESSAGE_WORDS_MIN: u32 = 400;
/// Longest first message of a chat, in words.
const FIRST_MESSAGE_WORDS_MAX: u32 = 2_000;
/// Mean think time between two requests of a chat, scaled down from minutes.
const CHAT_THINK_TIME_MS: DurationMs = DurationMs(2_000);

/// Target for the time to the first token; the engines themselves need a third of it. Without this
/// target, a fleet could stay within its load bound just by delaying requests.
pub(crate) const FIRST_TOKEN_TARGET_MS: f64 = 2_000.0;

/// Options of a measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasureOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of each run of a measurement.
    pub seconds: u64,
    /// The load as a multiple of the default load.
    pub load: f64,
}

impl Default for MeasureOptions {
    fn default() -> Self {
        Self {
            deployment: Deployment::KinrinWakai,
            seed: 1,
            seconds: 20,
            load: 1.0,
        }
    }
}

impl MeasureOptions {
    /// Returns the duration of a run.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns a fraction of the duration of a run.
    pub(crate) fn duration_fraction(&self, fraction: f64) -> Duration {
        self.duration().mul_f64(fraction)
    }

    /// Returns the options of a load of chats, bookings and reads.
    pub(crate) fn load_options(&self) -> LoadOptions {
        let spec = self.deployment.spec();
        LoadOptions::default()
            .chats_per_s(CHATS_PER_S * self.load)
            .think_time_ms(CHAT_THINK_TIME_MS)
            .first_words_min(FIRST_MESSAGE_WORDS_MIN)
            .first_words_max(FIRST_MESSAGE_WORDS_MAX)
            .bookings_per_s(4.0 * self.load)
            .reads_per_s(4.0 * self.load)
            .length_ms(DurationMs::from(self.duration()))
            .model_service(spec.model_service.to_owned())
            .model(spec.model.to_owned())
            .plain_service(spec.plain_service.to_owned())
            .customers(spec.customer_shares())
            .seed(self.seed)
    }

    /// Returns the options of a load of chats only.
    pub(crate) fn chat_load_options(&self) -> LoadOptions {
        self.load_options().bookings_per_s(0.0).reads_per_s(0.0)
    }

    pub(crate) fn caller_options(&self) -> CallerOptions {
        CallerOptions::default().timeout_ms(DurationMs(20_000))
    }
}
