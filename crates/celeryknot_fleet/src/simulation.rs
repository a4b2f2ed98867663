//! Deterministic simulation of a fleet with a message queue and a virtual clock.
//!
//! Tests and benchmarks use it instead of sockets and threads. A seeded random source delays,
//! reorders and drops messages; daemons can be partitioned, stalled and replaced.

mod config;
mod platform;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use celeryknot_core::{DurationMs, Incarnation, MemberName, MonotonicMs, ZoneName};

use crate::fleet::{Action, Fleet, FleetConfig};
use crate::instance_list::{ListedDaemon, ListedEndpoint, ListedInstance};
use crate::membership::MemberInfo;
use crate::message::Message;
use crate::timing::FleetTiming;
use crate::view::FencingMode;

pub use config::{Faults, SeededRandom, SimulationConfig};
pub use platform::SimulatedPlatform;

/// Time between two ticks of one daemon.
pub const TICK_MS: u64 = 50;
/// Time since the last tick after which a daemon detects a stall.
const STALL_MIN_MS: u64 = 1_000;

#[derive(Debug, Clone)]
struct Delivery {
    from: usize,
    to: usize,
    incarnation: Incarnation,
    message: Message,
}

/// A simulated daemon.
#[derive(Debug, Clone)]
pub struct SimulatedDaemon {
    /// The daemon's state of the fleet.
    pub fleet: Fleet,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    reader: platform::SimulatedReader,
    last_tick_ms: u64,
    is_stalled: bool,
    deferred: Vec<Delivery>,
    side: u8,
}

/// A simulated fleet.
#[derive(Debug, Clone)]
pub struct Simulation {
    config: SimulationConfig,
    now_ms: u64,
    random: SeededRandom,
    daemons: Vec<Option<SimulatedDaemon>>,
    queue: BTreeMap<(u64, u64), Delivery>,
    delivery_count: u64,
    /// The platform that the daemons read.
    pub platform: SimulatedPlatform,
}

impl Simulation {
    /// Creates a fleet whose daemons all start at time zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_fleet::simulation::{Simulation, SimulationConfig};
    ///
    /// let mut simulation = Simulation::new(SimulationConfig::default());
    /// simulation.advance(5_000);
    /// assert!(simulation.daemons().all(|daemon| daemon.fleet.is_ready()));
    /// ```
    pub fn new(config: SimulationConfig) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            random: SeededRandom::new(config.seed),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            delivery_count: 0,
            platform: SimulatedPlatform::new(config.replicas),
            config,
        };
        simulation.publish_list(&[]);
        for index in 0..simulation.config.members {
            let daemon = simulation.build_daemon(index);
            simulation.daemons.push(Some(daemon));
        }
        simulation
    }

    /// Returns the name of a daemon.
    pub fn name(index: usize) -> MemberName {
        format!("daemon-{index}").parse().expect("a valid name")
    }

    fn zone(&self, index: usize) -> ZoneName {
        let zone = index % self.config.zones;
        format!("zone-{zone}").parse().expect("a valid zone")
    }

    fn info(&self, index: usize) -> MemberInfo {
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        MemberInfo {
            name: Self::name(index),
            zone: self.zone(index),
            peers_address: address(u16::try_from(10_000 + index).unwrap_or(u16::MAX)),
            forwards_address: address(u16::try_from(20_000 + index).unwrap_or(u16::MAX)),
        }
    }

    /// Publishes the instance list without the given daemons.
    pub fn publish_list(&mut self, without: &[usize]) {
        let daemons = (0..self.config.members)
            .filter(|index| !without.contains(index))
            .map(|index| {
                ListedInstance::Daemon(ListedDaemon {
                    info: self.info(index),
                    is_draining: false,
                })
            });
        let endpoints = (0..self.config.endpoints).map(|index| {
            ListedInstance::Endpoint(ListedEndpoint {
                name: format!("engine-{index}").parse().expect("a valid name"),
                service: "wakai-llm".parse().expect("a valid name"),
                zone: self.zone(index),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
                is_draining: false,
                fencing: FencingMode::Refuses,
            })
        });
        let list = daemons.chain(endpoints).collect();
        self.platform.publish_list(list);
    }

    fn build_daemon(&mut self, index: usize) -> SimulatedDaemon {
        let incarnation = Incarnation(self.random.draw());
        let config = FleetConfig {
            own: self.info(index),
            incarnation,
            readers_per_zone: self.config.readers_per_zone,
            validate: self.config.validate,
            timing: FleetTiming::default(),
        };
        SimulatedDaemon {
            fleet: Fleet::new(config, MonotonicMs(self.now_ms)),
            incarnation,
            reader: platform::SimulatedReader::new(self.now_ms, index),
            last_tick_ms: self.now_ms,
            is_stalled: false,
            deferred: Vec::new(),
            side: 0,
        }
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> MonotonicMs {
        MonotonicMs(self.now_ms)
    }

    /// Returns the running daemons, including stalled ones.
    pub fn daemons(&self) -> impl Iterator<Item = &SimulatedDaemon> {
        self.daemons.iter().flatten()
    }

    /// Returns the state of a running daemon.
    pub fn fleet_mut(&mut self, index: usize) -> Option<&mut Fleet> {
        let daemon = self.daemons.get_mut(index)?.as_mut()?;
        Some(&mut daemon.fleet)
    }

    /// Returns a running daemon.
    pub fn daemon(&self, index: usize) -> Option<&SimulatedDaemon> {
        self.daemons.get(index)?.as_ref()
    }

    /// Kills a daemon without a shutdown announcement.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Starts a new incarnation of a daemon.
    pub fn restart(&mut self, index: usize) {
        let daemon = self.build_daemon(index);
        self.daemons[index] = Some(daemon);
    }

    /// Stalls a daemon, which keeps its state; messages to it are deferred.
    pub fn stall(&mut self, index: usize) {
        if let Some(daemon) = &mut self.daemons[index] {
            daemon.is_stalled = true;
        }
    }

    /// Resumes a stalled daemon.
    pub fn resume(&mut self, index: usize) {
        let Some(daemon) = &mut self.daemons[index] else {
            return;
        };
        daemon.is_stalled = false;
        let deferred = std::mem::take(&mut daemon.deferred);
        for delivery in deferred {
            self.deliver(delivery);
        }
    }

    /// Partitions the given daemons from the others; an empty slice heals the partition.
    pub fn set_partition(&mut self, one_side: &[usize]) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if let Some(daemon) = daemon {
                daemon.side = u8::from(one_side.contains(&index));
            }
        }
    }

    /// Sets which sides can read the platform: 1 holds the daemons given to
    /// [`Self::set_partition`], 0 all others.
    pub fn set_platform_sides(&mut self, sides: &[u8]) {
        self.platform.set_sides(sides);
    }

    /// Advances the time.
    pub fn advance(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver_due();
            for index in 0..self.daemons.len() {
                let is_due = (self.now_ms + index as u64).is_multiple_of(TICK_MS);
                if is_due {
                    self.tick(index);
                }
            }
        }
    }

    /// Advances the time until a condition holds; returns the elapsed time, or `None` at the limit.
    pub fn advance_until(
        &mut self,
        limit_ms: u64,
        mut condition: impl FnMut(&Simulation) -> bool,
    ) -> Option<DurationMs> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms <= limit_ms {
            if condition(self) {
                return Some(DurationMs(self.now_ms - start_ms));
            }
            self.advance(5);
        }
        None
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let Some(daemon) = &mut self.daemons[index] else {
            return;
        };
        if daemon.is_stalled {
            return;
        }
        if self.now_ms - daemon.last_tick_ms >= STALL_MIN_MS {
            daemon.fleet.observe_stall(now);
            daemon.reader.restart(self.now_ms);
        }
        daemon.last_tick_ms = self.now_ms;
        let side = daemon.side;
        let assignment = daemon.fleet.reader_assignment(now);
        daemon
            .reader
            .read(&mut self.platform, &mut daemon.fleet, now, assignment, side);
        daemon.fleet.tick(now);
        self.send_all(index);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now();
        let to = delivery.to;
        let Some(daemon) = &mut self.daemons[to] else {
            return;
        };
        if daemon.is_stalled {
            daemon.deferred.push(delivery);
            return;
        }
        let from = Self::name(delivery.from);
        daemon
            .fleet
            .receive(now, &from, delivery.incarnation, delivery.message);
        self.send_all(to);
    }

    fn send_all(&mut self, from: usize) {
        let Some(daemon) = &mut self.daemons[from] else {
            return;
        };
        let (side, incarnation) = (daemon.side, daemon.incarnation);
        let actions = daemon.fleet.take_actions();
        for action in actions {
            let Action::Send {
                address, message, ..
            } = action;
            let to = usize::from(address.port()).saturating_sub(10_000);
            let is_reachable = self
                .daemons
                .get(to)
                .and_then(Option::as_ref)
                .is_some_and(|peer| peer.side == side);
            let is_dropped = self.random.below(100) < self.config.faults.drop_percent;
            if !is_reachable || is_dropped {
                continue;
            }
            let delay_range = self.config.faults.delay_max.0 - self.config.faults.delay_min.0;
            let delay = self.config.faults.delay_min.0 + self.random.below(delay_range + 1);
            self.delivery_count += 1;
            let delivery = Delivery {
                from,
                to,
                incarnation,
                message,
            };
            self.queue
                .insert((self.now_ms + delay, self.delivery_count), delivery);
        }
    }
}
