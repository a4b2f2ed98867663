//! The admission limits of one endpoint.

use celeryknot_core::DurationMs;
use celeryknot_settings::ServiceSettings;

/// The admission limits of one endpoint, from the settings of its service.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::admission::AdmissionLimits;
/// use celeryknot_settings::ServiceSettings;
///
/// let limits = AdmissionLimits::from(&ServiceSettings::default()).with_in_flight_max(8);
/// assert_eq!(limits.in_flight_max, 8);
/// assert_eq!(limits.cold_in_flight_max, 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimits {
    /// Maximum number of requests in flight at a warm endpoint.
    pub in_flight_max: u32,
    /// Maximum number of requests in flight at an endpoint in cold start.
    pub cold_in_flight_max: u32,
    /// Time over which the limit ramps up to the full one after a cold start.
    pub ramp_ms: DurationMs,
    /// Maximum number of requests queued for the endpoint.
    pub queue_len_max: u32,
    /// Maximum wait in the queue.
    pub queue_wait_max_ms: DurationMs,
    /// Maximum number of requests in flight, as a multiple of the mean of the service.
    pub load_multiple: f64,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self::from(&ServiceSettings::default())
    }
}

impl From<&ServiceSettings> for AdmissionLimits {
    fn from(settings: &ServiceSettings) -> Self {
        Self {
            in_flight_max: settings.in_flight_max,
            cold_in_flight_max: settings.cold_in_flight_max,
            ramp_ms: settings.ramp_ms,
            queue_len_max: settings.queue_len_max,
            queue_wait_max_ms: settings.queue_wait_max_ms,
            load_multiple: settings.load_multiple,
        }
    }
}

impl AdmissionLimits {
    /// Sets the maximum number of requests in flight at a warm endpoint.
    #[must_use]
    pub fn with_in_flight_max(mut self, in_flight_max: u32) -> Self {
        self.in_flight_max = in_flight_max;
        self
    }

    /// Sets the maximum number of requests in flight at an endpoint in cold start.
    #[must_use]
    pub fn with_cold_in_flight_max(mut self, cold_in_flight_max: u32) -> Self {
        self.cold_in_flight_max = cold_in_flight_max;
        self
    }

    /// Sets the time over which the limit ramps up to the full one after a cold start.
    #[must_use]
    pub fn with_ramp_ms(mut self, ramp_ms: DurationMs) -> Self {
        self.ramp_ms = ramp_ms;
        self
    }

    /// Sets the maximum number of queued requests.
    #[must_use]
    pub fn with_queue_len_max(mut self, queue_len_max: u32) -> Self {
        self.queue_len_max = queue_len_max;
        self
    }

    /// Sets the maximum wait in the queue.
    #[must_use]
    pub fn with_queue_wait_max_ms(mut self, queue_wait_max_ms: DurationMs) -> Self {
        self.queue_wait_max_ms = queue_wait_max_ms;
        self
    }

    /// Sets the multiple of the service's mean load.
    #[must_use]
    pub fn with_load_multiple(mut self, load_multiple: f64) -> Self {
        self.load_multiple = load_multiple;
        self
    }
}
