//! The loop of the control thread.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::Receiver;
use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_fleet::{Action, ControlKind, Fleet, FleetConfig, FleetTiming, MemberInfo};
use celeryknot_operators::ControlStatus;
use celeryknot_peers::{PeerEvent, Peers, PeersConfig, VersionRange};
use celeryknot_settings::DaemonSettings;
use futures_lite::future;
use smol::{LocalExecutor, Timer};

use super::orders::OrdersDesk;
use super::platform::{self, PlatformEvent, Role};
use super::sources::SourcesBuilder;
use super::{Command, Subscribers, convert, publish, status, validate_value};
use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

/// Time between two ticks of the fleet's state machines.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Lateness of a tick after which the process counts as paused.
const PAUSE_MIN: DurationMs = DurationMs(1_000);
/// Shortest time between two snapshots.
const PUBLISH_GAP: DurationMs = DurationMs(20);
/// Shortest time between two updates of the status.
const STATUS_GAP: DurationMs = DurationMs(100);
/// Longest time between two updates of the status.
const STATUS_PERIOD: DurationMs = DurationMs(1_000);
/// Events of one source that wait for the loop.
const EVENTS_LEN_MAX: usize = 1_024;
/// Events of one source handled before the others are looked at.
const BATCH_LEN_MAX: usize = 256;

/// What the loop publishes into.
pub(super) struct Outlets {
    pub(super) snapshot: Arc<ArcSwap<Snapshot>>,
    pub(super) status: Arc<ArcSwap<ControlStatus>>,
    pub(super) subscribers: Arc<Subscribers>,
}

/// What the loop hears from other threads.
pub(super) struct Inlets {
    pub(super) events: Receiver<TrafficEvent>,
    pub(super) commands: Receiver<Command>,
}

/// Runs the control thread until it is told to stop.
pub(super) fn run(
    settings: DaemonSettings,
    own_incarnation: Incarnation,
    peers_listener: TcpListener,
    inlets: Inlets,
    outlets: Outlets,
) -> eyre::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let control = Control::start(
        &executor,
        settings,
        own_incarnation,
        peers_listener,
        inlets,
        outlets,
    )?;
    smol::block_on(executor.run(control.serve()));
    Ok(())
}

/// What woke the loop.
enum Input {
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
    role: Rc<Role>,
    sources: SourcesBuilder,
    orders: OrdersDesk,
    peer_events: Receiver<PeerEvent>,
    platform_events: Receiver<PlatformEvent>,
    inlets: Inlets,
    outlets: Outlets,
    started_at: Instant,
    last_tick_at: MonotonicMs,
    next_tick_at: Instant,
    published_version: Option<u64>,
    published_at: MonotonicMs,
    status_at: MonotonicMs,
    is_status_old: bool,
    is_stopped: bool,
}

impl Control {
    fn start(
        executor: &Rc<LocalExecutor<'static>>,
        settings: DaemonSettings,
        own_incarnation: Incarnation,
        peers_listener: TcpListener,
        inlets: Inlets,
        outlets: Outlets,
    ) -> eyre::Result<Self> {
        let settings = DaemonSettings {
            peers_address: peers_listener.local_addr()?,
            ..settings
        };
        let (peer_sender, peer_events) = async_channel::bounded(EVENTS_LEN_MAX);
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
        let role = Rc::new(Role::default());
        let platform_events = platform::watch(executor, &settings, &role);
        let started_at = Instant::now();
        let now = MonotonicMs(0);
        let fleet = Fleet::new(fleet_config(settings, own_incarnation), now);
        Ok(Self {
            fleet,
            peers,
            role,
            sources: SourcesBuilder::default(),
            peer_events,
            platform_events,
            inlets,
            outlets,
            started_at,
            orders: OrdersDesk::new(Rc::clone(executor), started_at),
            last_tick_at: now,
            next_tick_at: Instant::now(),
            published_version: None,
            published_at: now,
            status_at: now,
            is_status_old: true,
            is_stopped: false,
        })
    }

    fn now(&self) -> MonotonicMs {
        MonotonicMs(DurationMs::from(self.started_at.elapsed()).0)
    }

    async fn serve(mut self) {
        while !self.is_stopped {
            let input = self.next_input().await;
            self.notice_pause();
            self.handle(input);
            self.handle_waiting();
            self.act();
            self.publish();
        }
        // Lets the last messages, such as the announcement that this daemon leaves, go out.
        Timer::after(TICK_PERIOD).await;
    }

    async fn next_input(&mut self) -> Input {
        let command = async {
            match self.inlets.commands.recv().await {
                Ok(command) => Input::Command(command),
                Err(_) => Input::Closed,
            }
        };
        let tick = async {
            Timer::at(self.next_tick_at).await;
            Input::Tick
        };
        let peer = async {
            match self.peer_events.recv().await {
                Ok(event) => Input::Peer(event),
                Err(_) => Input::Closed,
            }
        };
        let platform = async {
            match self.platform_events.recv().await {
                Ok(event) => Input::Platform(event),
                Err(_) => Input::Closed,
            }
        };
        let traffic = async {
            match self.inlets.events.recv().await {
                Ok(event) => Input::Traffic(event),
                // The traffic threads are gone; the loop goes on until it is told to stop.
                Err(_) => future::pending().await,
            }
        };
        let outside = future::or(command, tick);
        future::or(outside, future::or(peer, future::or(platform, traffic))).await
    }

    /// Treats what is believed as old when the loop has not run for long.
    fn notice_pause(&mut self) {
        let now = self.now();
        let late = now - self.last_tick_at;
        if late < PAUSE_MIN {
            return;
        }
        tracing::warn!(late_ms = late.0, "the process was paused");
        self.last_tick_at = now;
        self.fleet.observe_pause(now);
        self.orders.observe_pause();
        let count = self.role.read_again_count.get();
        self.role.read_again_count.set(count + 1);
        self.publish_now(now);
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Tick => self.tick(now),
            Input::Peer(event) => self.handle_peer(now, event),
            Input::Platform(event) => self.handle_platform(now, event),
            Input::Traffic(event) => self.handle_traffic(now, event),
            Input::Command(Command::StartLeaving) => self.fleet.start_leaving(now),
            Input::Command(Command::Stop) | Input::Closed => self.is_stopped = true,
        }
    }

    /// Handles what else has come, so that one snapshot covers it all.
    fn handle_waiting(&mut self) {
        for _ in 0..BATCH_LEN_MAX {
            let Ok(event) = self.peer_events.try_recv() else {
                break;
            };
            self.handle(Input::Peer(event));
        }
        for _ in 0..BATCH_LEN_MAX {
            let Ok(event) = self.inlets.events.try_recv() else {
                break;
            };
            self.handle(Input::Traffic(event));
        }
    }

    fn tick(&mut self, now: MonotonicMs) {
        self.last_tick_at = now;
        self.next_tick_at = Instant::now() + TICK_PERIOD;
        self.fleet.tick(now);
        self.role.reader_place.set(self.fleet.reader_place(now));
        let sources = self.sources.update(self.fleet.values());
        self.orders.tick(now, &mut self.fleet, &sources);
    }

    fn handle_peer(&mut self, now: MonotonicMs, event: PeerEvent) {
        match event {
            PeerEvent::Opened { name } => self.fleet.link_opened(now, &name),
            PeerEvent::Unreachable { name } => self.fleet.note_unreachable(now, &name),
            PeerEvent::Received {
                from,
                incarnation,
                message,
            } => self.fleet.receive(now, &from, incarnation, message),
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
            PlatformEvent::Called { size_bytes } => {
                let size_bytes = usize::try_from(size_bytes).unwrap_or(usize::MAX);
                self.fleet
                    .observe_bytes(now, ControlKind::Platform, size_bytes);
            }
        }
    }

    fn handle_traffic(&mut self, now: MonotonicMs, event: TrafficEvent) {
        match event {
            TrafficEvent::EndpointChanged { endpoint, summary } => {
                self.fleet.observe_own_endpoint(&endpoint, summary);
            }
            TrafficEvent::PeerUnreachable { member } => {
                self.fleet.note_unreachable(now, &member);
            }
            TrafficEvent::Probed { size_bytes } => {
                let size_bytes = usize::try_from(size_bytes).unwrap_or(usize::MAX);
                self.fleet
                    .observe_bytes(now, ControlKind::Probes, size_bytes);
            }
        }
    }

    fn act(&mut self) {
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
        let has_changed = self.published_version != Some(self.fleet.version());
        if has_changed && now - self.published_at >= PUBLISH_GAP {
            self.publish_now(now);
        }
        let period = if self.is_status_old {
            STATUS_GAP
        } else {
            STATUS_PERIOD
        };
        if now - self.status_at >= period {
            self.publish_status(now);
        }
    }

    fn publish_now(&mut self, now: MonotonicMs) {
        self.published_version = Some(self.fleet.version());
        self.published_at = now;
        let view = self.fleet.view(now);
        let sources = self.sources.update(self.fleet.values());
        let before = self.outlets.snapshot.load_full();
        let snapshot = publish::build_snapshot(&before, &view, &sources);
        if before.is_ready != snapshot.is_ready {
            tracing::info!(is_ready = snapshot.is_ready, "readiness has changed");
        }
        self.outlets.snapshot.store(Arc::new(snapshot));
        self.outlets.subscribers.notify();
        self.is_status_old = true;
    }

    fn publish_status(&mut self, now: MonotonicMs) {
        self.status_at = now;
        self.is_status_old = false;
        let view = self.fleet.view(now);
        let sources = self.sources.update(self.fleet.values());
        let snapshot = self.outlets.snapshot.load();
        let status = status::build_status(
            &self.fleet,
            now,
            &view,
            &sources,
            &snapshot,
            &self.role,
            &self.orders,
        );
        self.outlets.status.store(Arc::new(status));
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
