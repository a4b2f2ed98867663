//! The stand-in for a model engine: continuous batching with a prefix cache, in virtual tokens.

mod event_log;
mod http_api;
mod job;
mod prefix_cache;
mod state;
mod weight_store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use celeryknot_core::DurationMs;
use smol::Timer;

use self::http_api::EngineApi;
use self::state::EngineState;
pub use self::weight_store::WeightStore;
use crate::counters::EndpointCounters;
use crate::executor::spawn;
use crate::server::{Server, restart_after_crashes};
use crate::wire::{EndpointMode, Load};

options! {
    /// Options of an engine.
    pub struct EngineOptions {
        /// The model that the engine serves at the start.
        model: String = "wakai-8b".to_owned(),
        /// The version of the model at the start.
        version: String = "1".to_owned(),
        /// Prefill rate in prompt tokens per second, shared by the batch.
        prefill_tokens_per_s: f64 = 20_000.0,
        /// Duration of a decoding step with an empty batch.
        decode_base_ms: f64 = 15.0,
        /// Time that each request in the batch adds to a decoding step.
        decode_per_request_ms: f64 = 0.5,
        /// Limits the requests in the batch; others are queued.
        batch_max: u32 = 32,
        /// Capacity of the prefix cache in tokens.
        kv_tokens_max: usize = 200_000,
        /// Duration of the cold start; 0 starts the engine warm.
        cold_ms: DurationMs = DurationMs(0),
        /// Concurrency limit of a cold engine.
        cold_bound: u32 = 2,
        /// Factor by which steps take longer above `cold_bound`.
        overload_factor: f64 = 8.0,
        /// Delay of cache events.
        event_lag_ms: DurationMs = DurationMs(200),
        /// Percentage of dropped cache events.
        event_loss_percent: u32 = 5,
        /// Delay of load reports.
        load_lag_ms: DurationMs = DurationMs(200),
        /// Whether orders with an outdated fencing token are refused.
        refuses_old_orders: bool = true,
        /// Duration of a chat's KV cache import.
        kv_import_ms: DurationMs = DurationMs(5),
        /// The store that models are loaded from.
        weight_store: WeightStore = WeightStore::default(),
        /// Seeds the draws of dropped events and faults.
        seed: u64 = 1,
    }
}

/// Time from a crash until the engine starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub(crate) struct EngineShared {
    state: Mutex<EngineState>,
    wake: Sender<()>,
    crash: Sender<()>,
}

impl EngineShared {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the engine's state")
    }

    fn wake(&self) {
        // A full channel already holds a pending wake-up.
        let _ = self.wake.try_send(());
    }

    /// Ends the engine's process: it closes its connections and refuses new ones for a time.
    fn crash(&self) {
        // A full channel already holds a pending crash.
        let _ = self.crash.try_send(());
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<EngineShared>,
    address: SocketAddr,
    server_task: smol::Task<()>,
    step_task: smol::Task<()>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::{Engine, EngineOptions, LOOPBACK};
    ///
    /// let engine = Engine::start(EngineOptions::default().batch_max(8), LOOPBACK)?;
    /// assert_eq!(engine.in_flight(), 0);
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start(options: EngineOptions, address: SocketAddr) -> eyre::Result<Self> {
        let (wake, wake_signal) = async_channel::bounded(1);
        let (crash, crash_signal) = async_channel::bounded(1);
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(options)),
            wake,
            crash,
        });
        let server = Server::start(address, Arc::new(EngineApi::new(Arc::clone(&shared))))?;
        let address = server.address();
        let crashed = Arc::clone(&shared);
        let restarted = Arc::clone(&shared);
        let server_task = spawn(restart_after_crashes(
            server,
            crash_signal,
            RESTART_DELAY,
            move || crashed.state().crash(),
            move || Arc::new(EngineApi::new(Arc::clone(&restarted))),
        ));
        let step_task = spawn(run_steps(Arc::clone(&shared), wake_signal));
        Ok(Self {
            shared,
            address,
            server_task,
            step_task,
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the engine crash whenever it begins to answer a chat with this text in a message.
    pub fn crash_on_text(&self, text: &str) {
        self.shared.state().crash_text = Some(text.to_owned());
    }

    /// Sets the number of events of a stream after which the engine crashes on it; 0 is before the
    /// response.
    pub fn set_crash_event_count(&self, event_count: usize) {
        self.shared.state().crash_event_count = event_count;
    }

    /// Ends all requests, closes the connections, and refuses new ones for a time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the number of queued and running requests.
    pub fn in_flight(&self) -> u32 {
        self.shared.state().in_flight()
    }

    /// Returns the current load, without the reporting delay.
    pub fn load(&self) -> Load {
        self.shared.state().load()
    }

    /// Returns the engine's counters.
    pub fn counters(&self) -> EndpointCounters {
        self.shared.state().counters.snapshot()
    }

    /// Changes the engine's mode.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.shared.state().set_mode(mode);
        self.shared.wake();
    }

    /// Returns the number of cached tokens of a chat.
    pub fn cached_tokens(&self, chat: celeryknot_core::ChatKey) -> usize {
        self.shared.state().cached_len(chat)
    }

    /// Stops the engine and closes its connections.
    pub async fn stop(self) {
        self.server_task.cancel().await;
        self.step_task.cancel().await;
    }
}

async fn run_steps(shared: Arc<EngineShared>, wake_signal: Receiver<()>) {
    loop {
        let step = shared.state().begin_step();
        match step {
            Some(duration) => {
                Timer::after(duration).await;
                shared.state().end_step(duration);
            }
            None => {
                if wake_signal.recv().await.is_err() {
                    return;
                }
            }
        }
    }
}
