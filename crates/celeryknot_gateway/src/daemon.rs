//! A gateway's threads and the stages of its shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::Sender;
use celeryknot_core::{DurationMs, MonotonicMs};
use celeryknot_operators::GatewayMetrics;
use celeryknot_settings::GatewaySettings;
use eyre::WrapErr;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::clock::Clock;
use crate::control::{ControlSockets, run_control};
use crate::listeners::Listeners;
use crate::platform_protocol::PlatformProtocol;
use crate::shared::{NOT_DRAINING, Shared};
use crate::traffic::{TrafficSockets, run_traffic};
use crate::view::View;

/// Time for the balancer to notice that the daemon is draining; callers are still served.
///
/// The balancer probes once a second and removes a daemon after two failures.
const READINESS_PROPAGATION_TIME: DurationMs = DurationMs(2_500);

/// Part of the grace time reserved for the process to exit.
const EXIT_MARGIN: DurationMs = DurationMs(600);

/// Interval between checks for open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a settings reload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReloadOutcome {
    /// The settings equal the active ones.
    Unchanged,
    /// All changes are active.
    #[strum(serialize = "in-force")]
    Applied,
    /// Changed bounds are active; other changes take effect at the next start.
    NeedsRestart,
}

/// A running gateway; dropping it stops it immediately.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    /// The settings before addresses were bound, with the active bounds.
    configured: GatewaySettings,
    drain_connections: Sender<Infallible>,
    stop: Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway's control thread and traffic thread.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start<P: PlatformProtocol>(mut settings: GatewaySettings) -> eyre::Result<Self> {
        let configured = settings.clone();
        let listeners = Listeners::bind(&mut settings)?;
        let (drain_connections, drain_connections_signal) = async_channel::bounded(1);
        let (stop, stop_signal) = async_channel::bounded(1);
        let (peer_updates, updates) = async_channel::unbounded();
        let members = vec![settings.name.clone()];
        let shared = Arc::new(Shared {
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
            clock: Clock::start(),
            metrics: GatewayMetrics::new(),
            view: ArcSwap::from_pointee(View {
                members,
                ..View::default()
            }),
            traffic_updates: async_channel::unbounded(),
            peer_updates,
            store_read_at_ms: AtomicU64::new(MonotonicMs::PROCESS_START.0),
            copied_at_ms: AtomicU64::new(MonotonicMs::PROCESS_START.0),
            is_store_unreachable: AtomicBool::new(false),
            connections_end_at_ms: AtomicU64::new(NOT_DRAINING),
            drain_connections: drain_connections_signal,
            in_flight: Arc::default(),
            connections: Arc::default(),
        });
        let mut gateway = Self {
            shared: Arc::clone(&shared),
            configured,
            drain_connections,
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
            run_control::<P>(control_shared, sockets, control_stop);
        })?;
        let sockets = TrafficSockets {
            callers: listeners.callers,
            hop: listeners.hop,
        };
        gateway.spawn("traffic", move || {
            run_traffic::<P>(shared, sockets, updates, stop_signal);
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

    /// Returns the settings with the bound addresses.
    pub fn settings(&self) -> &GatewaySettings {
        &self.shared.settings
    }

    /// Applies the changed settings that need no restart.
    ///
    /// Bounds apply to requests that start afterwards; requests in flight are not affected.
    pub fn reload(&mut self, settings: GatewaySettings) -> ReloadOutcome {
        let are_bounds_changed = settings.bounds != self.configured.bounds;
        if are_bounds_changed {
            let bounds = Arc::new(settings.bounds.clone());
            self.shared.bounds.store(bounds);
            self.configured.bounds = settings.bounds.clone();
        }
        match (are_bounds_changed, settings == self.configured) {
            (_, false) => ReloadOutcome::NeedsRestart,
            (true, true) => ReloadOutcome::Applied,
            (false, true) => ReloadOutcome::Unchanged,
        }
    }

    /// Returns the gateway's current view of the platform.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Drains the gateway; returns how many requests did not finish within the grace time.
    ///
    /// Readiness fails immediately. Once the balancer has had time to notice, connections close
    /// after their requests in flight. New ones are served one request each; requests that may
    /// outlast the grace time are refused. The end of connections is fixed at the start.
    pub fn shut_down(mut self) -> u64 {
        tracing::info!(
            in_flight = self.shared.in_flight.load(Ordering::Acquire),
            "shutting down"
        );
        let grace_ms = self.shared.bounds.load().shutdown_grace_ms;
        let connections_end_after = DurationMs(grace_ms.0.saturating_sub(EXIT_MARGIN.0));
        let deadline = Instant::now() + connections_end_after.as_std();
        self.shared.start_draining(connections_end_after);
        let propagation_time = READINESS_PROPAGATION_TIME.min(connections_end_after);
        std::thread::sleep(propagation_time.as_std());
        self.drain_connections.close();
        let has_connections = || self.shared.connections.load(Ordering::Acquire) > 0;
        while has_connections() && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let leftover = self.shared.in_flight.load(Ordering::Acquire);
        self.end();
        tracing::info!(daemon = %self.shared.settings.name, leftover, "stopped");
        leftover
    }

    /// Stops the gateway immediately, as a crash would.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a daemon thread panicked");
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
