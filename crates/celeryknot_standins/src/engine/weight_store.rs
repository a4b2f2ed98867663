//! The store that engines load models from, with a limited rate.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Shared by the engines that load from it; one load is served after the other.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use celeryknot_standins::engine::WeightStore;
///
/// let store = WeightStore::new(Duration::from_millis(100));
/// assert!(store.reserve_load() <= Duration::from_millis(100));
/// assert!(store.reserve_load() > Duration::from_millis(100));
/// ```
#[derive(Debug, Clone)]
pub struct WeightStore {
    load: Duration,
    free_at: Arc<Mutex<Instant>>,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self::new(Duration::from_millis(500))
    }
}

impl WeightStore {
    /// Builds a store that serves one load in the given time.
    pub fn new(load: Duration) -> Self {
        Self {
            load,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Queues a load and returns the time until it is served.
    pub fn reserve_load(&self) -> Duration {
        let mut free_at = self
            .free_at
            .lock()
            .expect("no thread panics while it holds the store");
        let now = Instant::now();
        *free_at = now.max(*free_at) + self.load;
        *free_at - now
    }
}
