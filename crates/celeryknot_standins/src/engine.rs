//! The stand-in for a model engine: continuous batching with a prefix cache, in virtual tokens.

mod event_log;
mod http_api;
mod job;
mod prefix_cache;
mod state;
mod weight_store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::{Receiver, Sender};
use celeryknot_core::DurationMs;
use smol::Timer;

use self::http_api::EngineApi;
use self::state::EngineState;
pub use self::weight_store::WeightStore;
use crate::executor::spawn;
use crate::seen::Seen;
use crate::server::Server;
use crate::wire::{EndpointMode, Load};

options! {
    /// How an engine behaves.
    pub struct EngineOptions {
        /// The model that it serves at the start.
        model: String = "wakai-8b".to_owned(),
        /// The version of the model at the start.
        version: String = "1".to_owned(),
        /// Prompt tokens that it reads in a second, shared by the batch.
        prefill_tokens_per_s: f64 = 20_000.0,
        /// Time of one decoding step with an empty batch.
        decode_base_ms: f64 = 15.0,
        /// Time that each request in the batch adds to a step.
        decode_per_request_ms: f64 = 0.5,
        /// Most requests in the batch; more of them wait.
        batch_max: u32 = 32,
        /// Tokens that the prefix cache holds.
        kv_tokens_max: usize = 200_000,
        /// How long the engine is cold after its start.
        cold_ms: DurationMs = DurationMs(0),
        /// Requests that a cold engine can bear.
        cold_bound: u32 = 2,
        /// How many times as long a step takes with more than that.
        overwhelmed_factor: f64 = 8.0,
        /// How late cache events are.
        event_lag_ms: DurationMs = DurationMs(200),
        /// Cache events that get lost, in a hundred.
        event_gap_percent: u32 = 5,
        /// How late load reports are.
        load_lag_ms: DurationMs = DurationMs(200),
        /// Whether orders with an old fencing number are refused.
        refuses_old_orders: bool = true,
        /// How long it takes to import the KV cache of a chat.
        kv_import_ms: DurationMs = DurationMs(5),
        /// Where models are loaded from.
        weight_store: WeightStore = WeightStore::default(),
        /// Decides which events get lost and which requests are hit by a fault.
        seed: u64 = 1,
    }
}

#[derive(Debug)]
pub(crate) struct EngineShared {
    state: Mutex<EngineState>,
    wake: Sender<()>,
}

impl EngineShared {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the engine's state")
    }

    fn wake(&self) {
        // A full channel means that the engine wakes up already.
        let _ = self.wake.try_send(());
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<EngineShared>,
    server: Server,
    steps: smol::Task<()>,
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
        let (wake, woken) = async_channel::bounded(1);
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(options)),
            wake,
        });
        let server = Server::start(address, Arc::new(EngineApi::new(Arc::clone(&shared))))?;
        let steps = spawn(run_steps(Arc::clone(&shared), woken));
        Ok(Self {
            shared,
            server,
            steps,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of requests that the engine holds.
    pub fn in_flight(&self) -> u32 {
        self.shared.state().in_flight()
    }

    /// Returns the load now, with no lag.
    pub fn load(&self) -> Load {
        self.shared.state().load()
    }

    /// Returns what the engine saw.
    pub fn seen(&self) -> Seen {
        self.shared.state().seen.report()
    }

    /// Changes how the engine behaves.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.shared.state().set_mode(mode);
        self.shared.wake();
    }

    /// Returns how many tokens of a chat are cached.
    pub fn cached_tokens(&self, chat: celeryknot_core::ChatKey) -> usize {
        self.shared.state().cached_len(chat)
    }

    /// Stops the engine and cuts its connections.
    pub async fn stop(self) {
        self.server.stop().await;
        self.steps.cancel().await;
    }
}

async fn run_steps(shared: Arc<EngineShared>, woken: Receiver<()>) {
    loop {
        let step = shared.state().begin_step();
        match step {
            Some(duration) => {
                Timer::after(duration).await;
                shared.state().end_step(duration);
            }
            None => {
                if woken.recv().await.is_err() {
                    return;
                }
            }
        }
    }
}
