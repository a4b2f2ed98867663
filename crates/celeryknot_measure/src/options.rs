//! What a measurement is asked for.

use std::time::Duration;

use celeryknot_core::DurationMs;
use celeryknot_standins::{CallerOptions, LoadOptions};

use crate::Deployment;

/// Ordinary load of the ten engines: a little over half of what they can bear.
const CHATS_PER_S: f64 = 100.0;
/// Words of a chat's first message, which holds a long file.
const FIRST_WORDS_MIN: u32 = 400;
const FIRST_WORDS_MAX: u32 = 2_000;
/// Ordinary pause of a chat, scaled down from minutes.
const PAUSE_MS: DurationMs = DurationMs(2_000);

/// A fleet whose first tokens come later than this does not carry the load; the engines
/// themselves need a third of it. A bound that is kept by holding work back is none.
pub(crate) const CARRIED_MS: f64 = 2_000.0;

/// What a measurement is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasureOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Decides everything that is drawn.
    pub seed: u64,
    /// How long each run of a measurement lasts.
    pub seconds: u64,
    /// The load as a multiple of the ordinary one.
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
    /// Returns the length of a run.
    pub fn length(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns a fraction of the length.
    pub(crate) fn part(&self, fraction: f64) -> Duration {
        self.length().mul_f64(fraction)
    }

    /// Returns the load of chats, bookings and reads.
    pub(crate) fn load_options(&self) -> LoadOptions {
        let spec = self.deployment.spec();
        LoadOptions::default()
            .chats_per_s(CHATS_PER_S * self.load)
            .pause_ms(PAUSE_MS)
            .first_words_min(FIRST_WORDS_MIN)
            .first_words_max(FIRST_WORDS_MAX)
            .bookings_per_s(4.0 * self.load)
            .reads_per_s(4.0 * self.load)
            .length_ms(DurationMs::from(self.length()))
            .model_service(spec.model_service.to_owned())
            .model(spec.model.to_owned())
            .plain_service(spec.plain_service.to_owned())
            .customers(spec.customer_shares())
            .seed(self.seed)
    }

    /// Returns the load of chats alone.
    pub(crate) fn chat_load_options(&self) -> LoadOptions {
        self.load_options().bookings_per_s(0.0).reads_per_s(0.0)
    }

    pub(crate) fn caller_options(&self) -> CallerOptions {
        CallerOptions::default().timeout_ms(DurationMs(20_000))
    }
}
