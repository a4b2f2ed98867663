//! Resource limits for callers.

use std::cell::Cell;
use std::rc::Rc;

use celeryknot_core::{DurationMs, SizeBytes};

/// Smallest header limit that the HTTP/1.1 parser accepts.
const HEADER_SIZE_MIN_BYTES: u64 = 8 << 10;

/// Resource limits for the connections and requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    pub(crate) header_size_max_bytes: SizeBytes,
    pub(crate) header_timeout_ms: DurationMs,
    pub(crate) idle_timeout_ms: DurationMs,
    pub(crate) body_timeout_ms: DurationMs,
    pub(crate) concurrent_streams_max: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_size_max_bytes: SizeBytes(16 << 10),
            header_timeout_ms: DurationMs(5_000),
            idle_timeout_ms: DurationMs(5_000),
            body_timeout_ms: DurationMs(5_000),
            concurrent_streams_max: 256,
        }
    }
}

impl CallerLimits {
    /// Creates a builder with the default limits.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_callers::CallerLimits;
    /// use celeryknot_core::DurationMs;
    ///
    /// let limits = CallerLimits::builder()
    ///     .header_timeout_ms(DurationMs(500))
    ///     .build();
    /// assert_eq!(limits.header_timeout(), DurationMs(500));
    /// ```
    pub fn builder() -> CallerLimitsBuilder {
        CallerLimitsBuilder(Self::default())
    }

    /// Returns the timeout for receiving a header block.
    pub fn header_timeout(&self) -> DurationMs {
        self.header_timeout_ms
    }

    /// Returns the idle timeout within a request body.
    pub fn body_timeout(&self) -> DurationMs {
        self.body_timeout_ms
    }

    pub(crate) fn header_size_bytes(&self) -> usize {
        let size_bytes = self.header_size_max_bytes.0.max(HEADER_SIZE_MIN_BYTES);
        usize::try_from(size_bytes).unwrap_or(usize::MAX)
    }
}

/// Timeouts that also apply to connections which are already open; shared between clones.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::{CallerLimits, ConnectionTimeouts};
/// use celeryknot_core::DurationMs;
///
/// let timeouts = ConnectionTimeouts::new(&CallerLimits::default());
/// let of_connection = timeouts.clone();
/// let limits = CallerLimits::builder().idle_timeout_ms(DurationMs(300)).build();
/// timeouts.update(&limits);
/// assert_eq!(of_connection.idle_timeout(), DurationMs(300));
/// ```
#[derive(Debug, Clone)]
pub struct ConnectionTimeouts(Rc<Cell<Timeouts>>);

#[derive(Debug, Clone, Copy)]
struct Timeouts {
    header_timeout_ms: DurationMs,
    idle_timeout_ms: DurationMs,
}

impl From<&CallerLimits> for Timeouts {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }
}

impl ConnectionTimeouts {
    /// Takes the timeouts from the limits.
    pub fn new(limits: &CallerLimits) -> Self {
        Self(Rc::new(Cell::new(limits.into())))
    }

    /// Replaces the timeouts; those that are running are not affected.
    pub fn update(&self, limits: &CallerLimits) {
        self.0.set(limits.into());
    }

    /// Returns the timeout for receiving a header block.
    pub fn header_timeout(&self) -> DurationMs {
        self.0.get().header_timeout_ms
    }

    /// Returns the timeout between a response and the next request.
    pub fn idle_timeout(&self) -> DurationMs {
        self.0.get().idle_timeout_ms
    }
}

/// Builds [`CallerLimits`].
#[derive(Debug, Clone)]
pub struct CallerLimitsBuilder(CallerLimits);

impl CallerLimitsBuilder {
    /// Sets the largest header block; values below 8 KiB are raised to 8 KiB.
    pub fn header_size_max_bytes(mut self, size: SizeBytes) -> Self {
        self.0.header_size_max_bytes = size;
        self
    }

    /// Sets the timeout for receiving a header block.
    pub fn header_timeout_ms(mut self, timeout: DurationMs) -> Self {
        self.0.header_timeout_ms = timeout;
        self
    }

    /// Sets the timeout between a response and the next request on a connection.
    pub fn idle_timeout_ms(mut self, timeout: DurationMs) -> Self {
        self.0.idle_timeout_ms = timeout;
        self
    }

    /// Sets the idle timeout within a request body.
    pub fn body_timeout_ms(mut self, timeout: DurationMs) -> Self {
        self.0.body_timeout_ms = timeout;
        self
    }

    /// Sets the limit on concurrent streams of an HTTP/2 connection.
    pub fn concurrent_streams_max(mut self, count: u32) -> Self {
        self.0.concurrent_streams_max = count;
        self
    }

    /// Returns the limits.
    pub fn build(self) -> CallerLimits {
        self.0
    }
}
