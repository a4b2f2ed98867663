//! One gateway: its threads, and the stages of its shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::Sender;
use celeryknot_core::DurationMs;
use celeryknot_operators::GatewayMetrics;
use celeryknot_settings::GatewaySettings;
use eyre::WrapErr;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::boundary::Boundary;
use crate::control::{ControlSockets, run_control};
use crate::listeners::Listeners;
use crate::shared::{NEWS_LEN_MAX, NOT_LEAVING, Shared};
use crate::traffic::run_traffic;
use crate::view::View;

/// Time in which the balancer sees that the daemon is leaving and callers are still served.
///
/// The balancer asks once a second and takes a daemon out after two misses.
const SETTLE: DurationMs = DurationMs(2_500);

/// Time kept of the grace time for the process to end by itself.
const GRACE_MARGIN: DurationMs = DurationMs(600);

/// Time between two looks at what is still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// What became of settings that were read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reload {
    /// They are the ones in force.
    Unchanged,
    /// All changes are in force.
    InForce,
    /// Changed bounds are in force; other changes come into force at the next start.
    NeedsRestart,
}

/// A running gateway; dropping it ends it at once.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    /// The settings as they were given, with the bounds in force.
    given: GatewaySettings,
    callers_end: Sender<Infallible>,
    stop: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway: its control thread and its traffic thread.
    ///
    /// # Errors
    ///
    /// Names the address that could not be bound, or the thread that could not be started.
    pub fn start<B: Boundary>(mut settings: GatewaySettings) -> eyre::Result<Self> {
        let given = settings.clone();
        let listeners = Listeners::bind(&mut settings)?;
        let (callers_end, callers_end_signal) = async_channel::bounded(1);
        let (stop, stop_signal) = async_channel::bounded(1);
        let (news_told, news) = async_channel::bounded(NEWS_LEN_MAX);
        let members = vec![settings.name.clone()];
        let shared = Arc::new(Shared {
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
            started_at: Instant::now(),
            metrics: GatewayMetrics::new(),
            view: ArcSwap::from_pointee(View {
                members,
                ..View::default()
            }),
            news_heard: async_channel::bounded(NEWS_LEN_MAX),
            news_told,
            store_heard_at_ms: AtomicU64::new(0),
            is_store_away: AtomicBool::new(false),
            leaving_since_ms: AtomicU64::new(NOT_LEAVING),
            callers_end: callers_end_signal,
            in_flight: Arc::default(),
            connections: Arc::default(),
        });
        let mut gateway = Self {
            shared: Arc::clone(&shared),
            given,
            callers_end,
            stop,
            threads: Vec::new(),
        };
        let sockets = ControlSockets {
            readiness: listeners.readiness,
            peers: listeners.peers,
            operators: listeners.operators,
        };
        let (control_shared, control_stop) = (Arc::clone(&shared), stop_signal.clone());
        gateway.spawn("control", move || {
            run_control::<B>(control_shared, sockets, control_stop);
        })?;
        gateway.spawn("traffic", move || {
            run_traffic::<B>(shared, listeners.callers, news, stop_signal);
        })?;
        Ok(gateway)
    }

    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(run)
            .wrap_err("can't start a thread")?;
        self.threads.push(thread);
        Ok(())
    }

    /// Returns the settings, with the addresses that were bound.
    pub fn settings(&self) -> &GatewaySettings {
        &self.shared.settings
    }

    /// Brings changed settings into force, as far as that needs no restart.
    ///
    /// Bounds are in force for requests that begin afterwards; no request in flight is touched.
    pub fn reload(&mut self, settings: GatewaySettings) -> Reload {
        let are_bounds_new = settings.bounds != self.given.bounds;
        if are_bounds_new {
            let bounds = Arc::new(settings.bounds.clone());
            self.shared.bounds.store(bounds);
            self.given.bounds = settings.bounds.clone();
        }
        match (are_bounds_new, settings == self.given) {
            (_, false) => Reload::NeedsRestart,
            (true, true) => Reload::InForce,
            (false, true) => Reload::Unchanged,
        }
    }

    /// Returns the platform as the gateway knows it.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Lets the requests in flight end; returns how many did not within the grace time.
    ///
    /// Readiness goes off at once. After a time for the balancer, connections end after the
    /// requests in flight; new ones are served one request each, and refused near the end.
    pub fn shut_down(mut self) -> u64 {
        tracing::info!(
            in_flight = self.shared.in_flight.load(Ordering::Acquire),
            "shutting down"
        );
        self.shared.start_leaving();
        let grace_ms = self.shared.bounds.load().shutdown_grace_ms;
        let ends_at = Instant::now() + grace_ms.as_std().saturating_sub(GRACE_MARGIN.as_std());
        std::thread::sleep(SETTLE.min(grace_ms).as_std());
        self.callers_end.close();
        let is_open = || self.shared.connections.load(Ordering::Acquire) > 0;
        while is_open() && Instant::now() < ends_at {
            std::thread::sleep(DRAIN_POLL);
        }
        let leftover = self.shared.in_flight.load(Ordering::Acquire);
        self.end();
        tracing::info!(daemon = %self.shared.settings.name, leftover, "stopped");
        leftover
    }

    /// Ends the gateway at once, as a crash would.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a thread of the daemon panicked");
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
