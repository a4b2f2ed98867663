//! A daemon: its threads and the stages of its graceful shutdown.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryknot_core::Incarnation;
use celeryknot_gateway::clock::Clock;
use celeryknot_operators::Metrics;
use celeryknot_settings::DaemonSettings;
use eyre::WrapErr;

use crate::control::{self, ControlHandle};
use crate::event::TrafficEvent;
use crate::feed::{FleetFeed, event_channel};
use crate::listeners::Listeners;
use crate::operators::run_operators;
use crate::snapshot::Snapshot;
use crate::traffic::shared::{Shared, ShutdownSignals};
use crate::traffic::thread::{TrafficThreadConfig, run_traffic_thread};

/// Interval between checks for remaining connections and requests during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests still in flight when the grace time ended.
    pub leftover: u64,
}

/// Senders whose channels are closed to signal the stages of a shutdown.
#[derive(Debug)]
struct ShutdownTriggers {
    callers: Sender<Infallible>,
    peers: Sender<Infallible>,
    kill: Sender<Infallible>,
}

/// A running daemon; dropping it stops it without a grace time.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    triggers: ShutdownTriggers,
    control: Option<ControlHandle>,
    threads: Vec<JoinHandle<()>>,
    drain_thread: Option<JoinHandle<ShutdownReport>>,
}

impl Daemon {
    /// Starts a daemon: its control thread and its traffic threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use celeryknot_settings::DaemonSettings;
    /// use celeryknotd::Daemon;
    ///
    /// let settings = DaemonSettings::builder("entry-1".parse()?, "hkd-a".parse()?)
    ///     .platform_addresses(vec!["127.0.0.1:8500".parse()?])
    ///     .build();
    /// let mut daemon = Daemon::start(settings)?;
    /// println!("callers connect to {}", daemon.settings().callers_address);
    /// daemon.begin_shutdown();
    /// assert_eq!(daemon.wait().leftover, 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn start(mut settings: DaemonSettings) -> eyre::Result<Self> {
        let listeners = Listeners::bind(&mut settings)?;
        let incarnation = Incarnation(rand::random());
        let (events, received) = event_channel();
        let peers = listeners
            .peers
            .try_clone()
            .wrap_err("can't duplicate a listener")?;
        let control = control::spawn(settings.clone(), incarnation, peers, received)?;
        let feed = FleetFeed {
            snapshot: Arc::clone(&control.snapshot),
            status: Arc::clone(&control.status),
            crash_guard: Arc::clone(&control.crash_guard),
        };
        let mut daemon = Self::start_traffic(settings, listeners, feed, incarnation, events)?;
        daemon.control = Some(control);
        Ok(daemon)
    }

    /// Starts a daemon without a control thread; the caller publishes snapshots through `feed`.
    ///
    /// Returns the daemon and the events from its traffic threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub fn start_with_feed(
        mut settings: DaemonSettings,
        feed: FleetFeed,
        incarnation: Incarnation,
    ) -> eyre::Result<(Self, Receiver<TrafficEvent>)> {
        let listeners = Listeners::bind(&mut settings)?;
        let (events, received) = event_channel();
        let daemon = Self::start_traffic(settings, listeners, feed, incarnation, events)?;
        Ok((daemon, received))
    }

    fn start_traffic(
        settings: DaemonSettings,
        listeners: Listeners,
        feed: FleetFeed,
        incarnation: Incarnation,
        events: Sender<TrafficEvent>,
    ) -> eyre::Result<Self> {
        let thread_count = settings.traffic_threads.max(1) as usize;
        let (admission_senders, admission_receivers): (Vec<_>, Vec<_>) = (0..thread_count)
            .map(|_| async_channel::unbounded())
            .unzip();
        let (ticket_sender, ticket_receiver) = async_channel::unbounded();
        let (triggers, shutdown) = shutdown_channels();
        let shared = Arc::new(Shared {
            settings,
            incarnation,
            clock: Clock::start(),
            feed,
            events,
            metrics: Metrics::new(),
            admission_senders,
            ticket_sender,
            shutdown,
            is_draining: AtomicBool::new(false),
            in_flight: Arc::new(AtomicU64::new(0)),
            connections: Arc::new(AtomicU64::new(0)),
            peer_connections: Arc::new(AtomicU64::new(0)),
            body_memory_bytes: Arc::new(AtomicU64::new(0)),
        });
        let mut daemon = Self {
            shared,
            triggers,
            control: None,
            threads: Vec::new(),
            drain_thread: None,
        };
        let mut ticket_receiver = Some(ticket_receiver);
        for (index, admission_receiver) in admission_receivers.into_iter().enumerate() {
            let config = TrafficThreadConfig {
                index,
                callers: duplicate(&listeners.callers)?,
                forwards: duplicate(&listeners.forwards)?,
                admission_receiver,
                ticket_receiver: ticket_receiver.take(),
            };
            let shared = Arc::clone(&daemon.shared);
            daemon.spawn(format!("traffic-{index}"), move || {
                run_traffic_thread(config, shared)
            })?;
        }
        let shared = Arc::clone(&daemon.shared);
        let operators = listeners.operators;
        daemon.spawn("operators".to_owned(), move || {
            run_operators(operators, shared);
        })?;
        Ok(daemon)
    }

    fn spawn(&mut self, name: String, run: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(run)
            .wrap_err("can't start a thread")?;
        self.threads.push(thread);
        Ok(())
    }

    /// Returns the settings with the bound addresses.
    pub fn settings(&self) -> &DaemonSettings {
        &self.shared.settings
    }

    /// Returns the daemon's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Returns the current snapshot of the fleet.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.feed.snapshot.load_full()
    }

    /// Returns the daemon's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Starts a graceful shutdown; [`Self::wait`] waits for it to complete.
    ///
    /// The daemon immediately reports that it is not ready, and announces the shutdown to its
    /// peers. After a settle time, in which the load balancer notices this, connections close
    /// once their requests in flight complete, at the latest after the configured grace time.
    pub fn begin_shutdown(&mut self) {
        if self.shared.is_draining.swap(true, Ordering::AcqRel) {
            return;
        }
        tracing::info!(daemon = %self.shared.settings.name, "shutting down");
        if let Some(control) = &self.control {
            control.start_draining();
        }
        let shared = Arc::clone(&self.shared);
        let (callers, peers) = (self.triggers.callers.clone(), self.triggers.peers.clone());
        self.drain_thread = std::thread::Builder::new()
            .name("shutdown".to_owned())
            .spawn(move || drain_requests(&shared, &callers, &peers))
            .ok();
    }

    /// Waits for a shutdown to complete and stops all threads.
    pub fn wait(mut self) -> ShutdownReport {
        let report = self
            .drain_thread
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or(ShutdownReport { leftover: 0 });
        self.stop_threads();
        report
    }

    /// Stops the daemon immediately, as a crash would.
    pub fn kill(mut self) {
        self.stop_threads();
    }

    fn stop_threads(&mut self) {
        self.triggers.kill.close();
        if let Some(control) = self.control.take() {
            control.stop();
        }
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a thread of the daemon panicked");
            }
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop_threads();
    }
}

fn duplicate(listener: &TcpListener) -> eyre::Result<TcpListener> {
    listener.try_clone().wrap_err("can't duplicate a listener")
}

fn shutdown_channels() -> (ShutdownTriggers, ShutdownSignals) {
    let (callers, callers_signal) = async_channel::bounded(1);
    let (peers, peers_signal) = async_channel::bounded(1);
    let (kill, kill_signal) = async_channel::bounded(1);
    let triggers = ShutdownTriggers {
        callers,
        peers,
        kill,
    };
    let signals = ShutdownSignals {
        callers: callers_signal,
        peers: peers_signal,
        kill: kill_signal,
    };
    (triggers, signals)
}

/// Waits for the requests in flight to complete: those of callers first, then those of peers.
fn drain_requests(
    shared: &Shared,
    callers: &Sender<Infallible>,
    peers: &Sender<Infallible>,
) -> ShutdownReport {
    let deadline = Instant::now() + shared.settings.shutdown_grace_ms.as_std();
    let settle_ms = shared
        .settings
        .shutdown_settle_ms
        .min(shared.settings.shutdown_grace_ms);
    std::thread::sleep(settle_ms.as_std());
    callers.close();
    wait_until_zero(&shared.connections, deadline);
    peers.close();
    wait_until_zero(&shared.peer_connections, deadline);
    wait_until_zero(&shared.in_flight, deadline);
    let leftover = shared.in_flight.load(Ordering::Acquire);
    shared
        .metrics
        .traffic
        .shutdown_leftover
        .set(leftover as i64);
    tracing::info!(daemon = %shared.settings.name, leftover, "shut down");
    ShutdownReport { leftover }
}

fn wait_until_zero(counter: &AtomicU64, deadline: Instant) {
    while counter.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
