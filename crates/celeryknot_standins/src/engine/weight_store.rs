//! The model store, which limits the rate at which engines load models.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A model store that engines share; it serves one load at a time.
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
    load_time: Duration,
    free_at: Arc<Mutex<Instant>>,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self::new(Duration::from_millis(500))
    }
}

impl WeightStore {
    /// Builds a store that serves each load in the given time.
    pub fn new(load_time: Duration) -> Self {
        Self {
            load_time,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Queues a load and returns the time until it completes.
    pub fn reserve_load(&self) -> Duration {
        let mut free_at = self
            .free_at
            .lock()
            .expect("no thread panics while it holds the store");
        let now = Instant::now();
        *free_at = now.max(*free_at) + self.load_time;
        *free_at - now
    }
}
