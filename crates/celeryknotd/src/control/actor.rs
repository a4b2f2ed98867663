//! The event loop of the control thread.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::Receiver;
use celeryknot_core::endpoint_updates::EndpointUpdate;
use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_fleet::{Action, ControlKind, Fleet, FleetConfig, FleetTiming, MemberInfo};
use celeryknot_gateway::clock::Clock;
use celeryknot_operators::ControlStatus;
use celeryknot_peers::{PeerEvent, Peers, PeersConfig, VersionRange};
use celeryknot_settings::DaemonSettings;
use futures_lite::future;
use smol::{LocalExecutor, Timer};

use super::active_settings::ActiveSettingsCache;
use super::orders::OrderDispatcher;
use super::platform::{self, PlatformEvent, WatchState};
use super::{Command, Subscribers, convert, publish, status, validate_value};
use crate::crash_guard::CrashGuard;
use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

/// Interval between ticks of the fleet's state machines.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Tick delay from which the process counts as stalled.
const STALL_MIN: DurationMs = DurationMs(1_000);
/// Minimum interval between snapshots.
const PUBLISH_INTERVAL_MIN: DurationMs = DurationMs(20);
/// Minimum interval between status updates.
const STATUS_INTERVAL_MIN: DurationMs = DurationMs(100);
/// Maximum interval between status updates.
const STATUS_INTERVAL_MAX: DurationMs = DurationMs(1_000);
/// Maximum number of queued events of one source.
const EVENT_QUEUE_LEN_MAX: usize = 1_024;
/// Maximum number of queued events of one source handled in one iteration of the loop.
const BATCH_LEN_MAX: usize = 256;

/// The shared state that the loop publishes.
pub(super) struct Outputs {
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) status: Arc<ArcSwap<ControlStatus>>,
    pub(super) crash_guard: Arc<CrashGuard>,
    pub(super) subscribers: Arc<Subscribers>,
}

/// Channels from other threads to the loop.
pub(super) struct Inputs {
    pub(super) events: Receiver<TrafficEvent>,
    pub(super) commands: Receiver<Command>,
}

/// Runs the control loop until it receives [`Command::Stop`].
pub(super) fn run(
    settings: DaemonSettings,
    own_incarnation: Incarnation,
    peers_listener: TcpListener,
    inputs: Inputs,
    outputs: Outputs,
) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let control = Control::start(
        &executor,
        settings,
        own_incarnation,
        peers_listener,
        inputs,
        outputs,
    )?;
    smol::block_on(executor.run(control.serve()));
    Ok(())
}

/// An event that wakes the loop.
enum LoopEvent {
    Tick,
    Peer(PeerEvent),
    Platform(PlatformEvent),
    Traffic(TrafficEvent),
    Command(Command),
    Closed,
}

struct Control {
    fleet: Fleet,
    peers: Peers,
    watch_state: Rc<WatchState>,
    settings: ActiveSettingsCache,
    orders: OrderDispatcher,
    peer_events: Receiver<PeerEvent>,
    platform_events: Receiver<PlatformEvent>,
    inputs: Inputs,
    outputs: Outputs,
    clock: Clock,
    last_tick_at: MonotonicMs,
    next_tick_at: Instant,
    published_version: Option<u64>,
    published_at: MonotonicMs,
    status_published_at: MonotonicMs,
    is_status_stale: bool,
    is_stopped: bool,
}

impl Control {
    fn start(
        executor: &Rc<LocalExecutor<'static>>,
        settings: DaemonSettings,
        own_incarnation: Incarnation,
        peers_listener: TcpListener,
        inputs: Inputs,
        outputs: Outputs,
    ) -> eyre::Result<Self> {
        let settings = DaemonSettings {
            peers_address: peers_listener.local_addr()?,
            ..settings
        };
        let (peer_sender, peer_events) = async_channel::bounded(EVENT_QUEUE_LEN_MAX);
        let peers_config = PeersConfig {
            name: settings.name.clone(),
            incarnation: own_incarnation,
            keys: settings.peer_keys.clone(),
            versions: VersionRange::default(),
        };
        let peers = Peers::start(
            Rc::clone(executor),
            peers_listener,
            peers_config,
            peer_sender,
        )?;
        let watch_state = Rc::new(WatchState::default());
        let platform_events = platform::start_tasks(executor, &settings, &watch_state);
        let clock = outputs.crash_guard.clock();
        let now = clock.now();
        let fleet = Fleet::new(fleet_config(settings, own_incarnation), now);
        Ok(Self {
            fleet,
            peers,
            watch_state,
            settings: ActiveSettingsCache::default(),
            peer_events,
            platform_events,
            inputs,
            outputs,
            clock,
            orders: OrderDispatcher::new(Rc::clone(executor), clock),
            last_tick_at: now,
            next_tick_at: Instant::now(),
            published_version: None,
            published_at: now,
            status_published_at: now,
            is_status_stale: true,
            is_stopped: false,
        })
    }

    fn now(&self) -> MonotonicMs {
        self.clock.now()
    }

    async fn serve(mut self) {
        while !self.is_stopped {
            let event = self.next_event().await;
            self.detect_stall();
            self.handle(event);
            self.handle_queued();
            self.run_actions();
            self.publish();
        }
        // Leaves time to send the last messages, such as the announcement of a shutdown.
        Timer::after(TICK_PERIOD).await;
    }

    async fn next_event(&mut self) -> LoopEvent {
        let command = async {
            match self.inputs.commands.recv().await {
                Ok(command) => LoopEvent::Command(command),
                Err(_) => LoopEvent::Closed,
            }
        };
        let tick = async {
            Timer::at(self.next_tick_at).await;
            LoopEvent::Tick
        };
        let peer = async {
            match self.peer_events.recv().await {
                Ok(event) => LoopEvent::Peer(event),
                Err(_) => LoopEvent::Closed,
            }
        };
        let platform = async {
            match self.platform_events.recv().await {
                Ok(event) => LoopEvent::Platform(event),
                Err(_) => LoopEvent::Closed,
            }
        };
        let traffic = async {
            match self.inputs.events.recv().await {
                Ok(event) => LoopEvent::Traffic(event),
                // All traffic threads have ended; the loop runs until it receives a stop command.
                Err(_) => future::pending().await,
            }
        };
        let command_or_tick = future::or(command, tick);
        future::or(
            command_or_tick,
            future::or(peer, future::or(platform, traffic)),
        )
        .await
    }

    /// Marks the state as stale and reads it again if the loop has not run for [`STALL_MIN`].
    fn detect_stall(&mut self) {
        let now = self.now();
        let delay = now - self.last_tick_at;
        if delay < STALL_MIN {
            return;
        }
        tracing::warn!(late_ms = delay.0, "the process was paused");
        self.last_tick_at = now;
        self.fleet.observe_stall(now);
        self.orders.observe_stall();
        let count = self.watch_state.resync_count.get();
        self.watch_state.resync_count.set(count + 1);
        self.publish_now(now);
    }

    fn handle(&mut self, event: LoopEvent) {
        let now = self.now();
        match event {
            LoopEvent::Tick => self.tick(now),
            LoopEvent::Peer(event) => self.handle_peer(now, event),
            LoopEvent::Platform(event) => self.handle_platform(now, event),
            LoopEvent::Traffic(event) => self.handle_traffic(now, event),
            LoopEvent::Command(Command::StartDraining) => self.fleet.start_draining(now),
            LoopEvent::Command(Command::Stop) | LoopEvent::Closed => self.is_stopped = true,
        }
    }

    /// Handles queued events, so that a single snapshot covers them.
    fn handle_queued(&mut self) {
        for _ in 0..BATCH_LEN_MAX {
            let Ok(event) = self.peer_events.try_recv() else {
                break;
            };
            self.handle(LoopEvent::Peer(event));
        }
        for _ in 0..BATCH_LEN_MAX {
            let Ok(event) = self.inputs.events.try_recv() else {
                break;
            };
            self.handle(LoopEvent::Traffic(event));
        }
    }

    fn tick(&mut self, now: MonotonicMs) {
        self.last_tick_at = now;
        self.next_tick_at = Instant::now() + TICK_PERIOD;
        self.fleet.tick(now);
        self.watch_state
            .reader_assignment
            .set(self.fleet.reader_assignment(now));
        let settings = self.settings.refresh(self.fleet.values());
        self.orders.tick(now, &mut self.fleet, &settings);
    }

    fn handle_peer(&mut self, now: MonotonicMs, event: PeerEvent) {
        match event {
            PeerEvent::Opened { name } => self.fleet.link_opened(now, &name),
            PeerEvent::Unreachable { name } => self.fleet.report_unreachable(now, &name),
            PeerEvent::Received {
                from,
                incarnation,
                message,
            } => {
                self.fleet.receive(now, &from, incarnation, message);
                self.apply_suspect_updates(now);
            }
        }
    }

    /// Applies what peers reported about parts of prompts.
    fn apply_suspect_updates(&mut self, now: MonotonicMs) {
        for update in self.fleet.take_suspect_updates() {
            if let Some(answered) = self.outputs.crash_guard.apply(&update) {
                self.fleet.observe_suspect(now, answered);
            }
        }
    }

    fn handle_platform(&mut self, now: MonotonicMs, event: PlatformEvent) {
        match event {
            PlatformEvent::Values(list) => {
                let values: Vec<_> = list
                    .values
                    .into_iter()
                    .filter_map(convert::value_record)
                    .collect();
                self.fleet.apply_platform_values(now, &values);
            }
            PlatformEvent::Instances(list) => {
                let instances = list.instances.into_iter().map(convert::listed_instance);
                self.fleet
                    .apply_platform_list(now, list.revision, instances.collect());
            }
            PlatformEvent::CallEnded { size_bytes } => {
                let size_bytes = usize::try_from(size_bytes).unwrap_or(usize::MAX);
                self.fleet
                    .record_control_bytes(now, ControlKind::Platform, size_bytes);
            }
        }
    }

    fn handle_traffic(&mut self, now: MonotonicMs, event: TrafficEvent) {
        match event {
            TrafficEvent::EndpointChanged { endpoint, summary } => {
                self.fleet.observe_own_endpoint(&endpoint, summary);
            }
            TrafficEvent::PeerUnreachable { member } => {
                self.fleet.report_unreachable(now, &member);
            }
            TrafficEvent::SuspectObserved {
                endpoint,
                observation,
            } => {
                let update = EndpointUpdate {
                    endpoint,
                    observation,
                    at: now,
                };
                self.fleet.observe_suspect(now, update);
            }
            TrafficEvent::LoadPolled { size_bytes } => {
                let size_bytes = usize::try_from(size_bytes).unwrap_or(usize::MAX);
                self.fleet
                    .record_control_bytes(now, ControlKind::Probes, size_bytes);
            }
        }
    }

    fn run_actions(&mut self) {
        for action in self.fleet.take_actions() {
            match action {
                Action::Send {
                    to,
                    address,
                    message,
                } => self.peers.send(&to, address, message),
            }
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let is_changed = self.published_version != Some(self.fleet.version());
        if is_changed && now - self.published_at >= PUBLISH_INTERVAL_MIN {
            self.publish_now(now);
        }
        let period = if self.is_status_stale {
            STATUS_INTERVAL_MIN
        } else {
            STATUS_INTERVAL_MAX
        };
        if now - self.status_published_at >= period {
            self.publish_status(now);
        }
    }

    fn publish_now(&mut self, now: MonotonicMs) {
        self.published_version = Some(self.fleet.version());
        self.published_at = now;
        let view = self.fleet.view(now);
        let settings = self.settings.refresh(self.fleet.values());
        let previous = self.outputs.snapshot.load_full();
        let snapshot = publish::build_snapshot(&previous, &view, &settings);
        if previous.is_ready != snapshot.is_ready {
            tracing::info!(is_ready = snapshot.is_ready, "readiness changed");
        }
        self.outputs.snapshot.store(Arc::new(snapshot));
        self.outputs.subscribers.notify();
        self.is_status_stale = true;
    }

    fn publish_status(&mut self, now: MonotonicMs) {
        self.status_published_at = now;
        self.is_status_stale = false;
        let view = self.fleet.view(now);
        let settings = self.settings.refresh(self.fleet.values());
        let snapshot = self.outputs.snapshot.load();
        let status = status::build_status(
            &self.fleet,
            now,
            &view,
            &settings,
            &snapshot,
            &self.watch_state,
            &self.orders,
        );
        self.outputs.status.store(Arc::new(status));
    }
}

fn fleet_config(settings: DaemonSettings, incarnation: Incarnation) -> FleetConfig {
    FleetConfig {
        own: MemberInfo {
            name: settings.name,
            zone: settings.zone,
            peers_address: settings.peers_address,
            forwards_address: settings.forwards_address,
        },
        incarnation,
        readers_per_zone: settings.readers_per_zone,
        validate: validate_value,
        timing: FleetTiming::default().with_control_bytes_per_s(settings.control_bytes_per_s),
    }
}
