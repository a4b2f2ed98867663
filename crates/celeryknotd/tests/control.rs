//! Control threads of several daemons with a stand-in platform.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointSummary, Incarnation, MemberName, ZoneName,
};
use celeryknot_fleet::{MemberState, RolloutState};
use celeryknot_operators::ControlStatus;
use celeryknot_platform::{DaemonInstance, EndpointInstance, Fencing, Instance, InstanceState};
use celeryknot_settings::DaemonSettings;
use celeryknot_standins::wire::PlatformMode;
use celeryknot_standins::{Engine, EngineOptions, LOOPBACK, Platform, PlatformOptions};
use celeryknotd::control::{self, ControlHandle};
use celeryknotd::event::TrafficEvent;
use celeryknotd::snapshot::Snapshot;

/// Generous timeout of all expected changes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const ENGINE_COUNT: usize = 6;
const SERVICE_PATH: &str = "teams/kinrin/services/wakai-llm";
const SERVICE_TEXT: &str = "[service]\nkind = model\nmodels = wakai-8b\n";

struct Daemon {
    handle: ControlHandle,
    events: Sender<TrafficEvent>,
}

struct Fleet {
    platform: Platform,
    listeners: Vec<Option<TcpListener>>,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Option<Daemon>>,
    engines: Vec<Engine>,
}

fn start_engine() -> Engine {
    let options = EngineOptions::default().model("wakai-8b".parse().expect("a valid name"));
    Engine::start(options, LOOPBACK).expect("started")
}

fn name(index: usize) -> MemberName {
    format!("daemon-{index}").parse().expect("a valid name")
}

fn zone(index: usize) -> ZoneName {
    ["hkd-a", "hkd-b", "hkd-c"][index % 3]
        .parse()
        .expect("a valid zone")
}

impl Fleet {
    fn start(count: usize, replicas: u32) -> Self {
        let options = PlatformOptions::default().replicas(replicas);
        let platform = Platform::start(options, LOOPBACK).expect("started");
        let listeners: Vec<TcpListener> = (0..count)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port"))
            .collect();
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("bound"))
            .collect();
        platform.put_value(SERVICE_PATH, SERVICE_TEXT);
        let mut fleet = Self {
            platform,
            listeners: listeners.into_iter().map(Some).collect(),
            addresses,
            daemons: Vec::new(),
            engines: (0..ENGINE_COUNT).map(|_| start_engine()).collect(),
        };
        fleet.platform.put_instances(fleet.instances());
        for index in 0..count {
            let daemon = fleet.spawn(index, 1);
            fleet.daemons.push(Some(daemon));
        }
        fleet
    }

    fn instances(&self) -> Vec<Instance> {
        let daemons = self.addresses.iter().enumerate().map(|(index, address)| {
            Instance::Daemon(DaemonInstance {
                name: name(index),
                zone: zone(index),
                address: *address,
                forwards_address: *address,
                state: InstanceState::Live,
            })
        });
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            Instance::Endpoint(EndpointInstance {
                name: format!("engine-{index}").parse().expect("a valid name"),
                service: "wakai-llm".parse().expect("a valid name"),
                zone: zone(index),
                address: engine.address(),
                state: InstanceState::Live,
                fencing: Fencing::Refuses,
            })
        });
        daemons.chain(engines).collect()
    }

    fn spawn(&mut self, index: usize, generation: u64) -> Daemon {
        let settings = DaemonSettings::builder(name(index), zone(index))
            .platform_addresses(self.platform.addresses())
            .forwards_address(self.addresses[index])
            .build();
        let listener = match self.listeners[index].take() {
            Some(listener) => listener,
            None => TcpListener::bind(self.addresses[index]).expect("the port is free again"),
        };
        let (events, queue) = async_channel::unbounded();
        let incarnation = Incarnation(generation * 100 + index as u64);
        let handle =
            control::spawn(settings, incarnation, listener, queue).expect("the thread starts");
        Daemon { handle, events }
    }

    fn snapshots(&self) -> Vec<Arc<Snapshot>> {
        self.daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.handle.snapshot.load_full())
            .collect()
    }

    fn wait_until(&self, expected: &str, condition: impl Fn(&[Arc<Snapshot>]) -> bool) {
        let start = Instant::now();
        while !condition(&self.snapshots()) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{expected}: {:#?}",
                self.snapshots()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn wait_until_status(&self, expected: &str, condition: impl Fn(&[Arc<ControlStatus>]) -> bool) {
        let statuses = || -> Vec<Arc<ControlStatus>> {
            let daemons = self.daemons.iter().flatten();
            daemons
                .map(|daemon| daemon.handle.status.load_full())
                .collect()
        };
        let start = Instant::now();
        while !condition(&statuses()) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{expected}: {:#?}",
                statuses()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn wait_until_ready(&self) {
        self.wait_until("all are ready and agree on owners", |snapshots| {
            let owners: Vec<_> = snapshots.iter().map(|s| owners(s)).collect();
            let is_complete =
                |snapshot: &Arc<Snapshot>| snapshot.is_ready && are_members_alive(snapshot);
            snapshots.iter().all(is_complete) && owners.iter().all(|o| *o == owners[0])
        });
    }
}

fn are_members_alive(snapshot: &Snapshot) -> bool {
    snapshot
        .members
        .values()
        .all(|member| member.state == MemberState::Alive && member.incarnation.is_some())
}

fn owners(snapshot: &Snapshot) -> Vec<Option<MemberName>> {
    let services = snapshot.services.values();
    services
        .flat_map(|service| &service.endpoints)
        .map(|endpoint| endpoint.owner.clone())
        .collect()
}

fn zone_accepts_requests(snapshot: &Snapshot, name: &str) -> bool {
    let mut endpoints = snapshot.services.values().flat_map(|s| &s.endpoints);
    endpoints.any(|e| e.zone.as_str() == name && e.accepts_requests)
}

#[test]
fn daemons_agree_on_owners_and_share_summaries() {
    let fleet = Fleet::start(4, 1);
    fleet.wait_until_ready();
    let snapshot = &fleet.snapshots()[0];
    let service = snapshot.services.values().next().unwrap();
    let endpoint = &service.endpoints[0];
    let owner = endpoint.owner.clone().unwrap();
    let index = (0..4).find(|index| name(*index) == owner).unwrap();
    assert_eq!(
        zone(index),
        endpoint.zone,
        "the owner is in the endpoint's zone"
    );
    let summary = EndpointSummary {
        in_flight: 5,
        queued: 2,
        in_flight_max: 64,
        wait_ms: DurationMs(250),
        condition: EndpointCondition::Warm,
    };
    let changed = TrafficEvent::EndpointChanged {
        endpoint: endpoint.name.clone(),
        summary,
    };
    let daemon = fleet.daemons[index].as_ref().unwrap();
    daemon.events.send_blocking(changed).unwrap();
    fleet.wait_until("all daemons have the summary", |snapshots| {
        snapshots.iter().all(|s| {
            let service = s.services.values().next().unwrap();
            service.endpoints[0].summary == Some(summary)
        })
    });
}

#[test]
fn zone_out_of_service_gets_no_requests_until_it_returns() {
    let fleet = Fleet::start(3, 1);
    fleet.wait_until_ready();
    fleet
        .platform
        .put_value("fleet/zones/hkd-a", "[zone]\nstate = out\n");
    fleet.wait_until("the zone is out of service", |snapshots| {
        snapshots.iter().all(|s| !zone_accepts_requests(s, "hkd-a"))
    });
    assert!(
        fleet
            .snapshots()
            .iter()
            .all(|s| zone_accepts_requests(s, "hkd-b"))
    );
    fleet
        .platform
        .put_value("fleet/zones/hkd-a", "[zone]\nstate = gone\n");
    fleet
        .platform
        .put_value("teams/kinrin/zones/hkd-b", "[zone]\nstate = out\n");
    fleet.wait_until(
        "the other zone is out of service for the team",
        |snapshots| snapshots.iter().all(|s| !zone_accepts_requests(s, "hkd-b")),
    );
    assert!(
        fleet
            .snapshots()
            .iter()
            .all(|s| !zone_accepts_requests(s, "hkd-a")),
        "the last accepted value stays active after an invalid one"
    );
    fleet
        .platform
        .put_value("fleet/zones/hkd-a", "[zone]\nstate = in\n");
    fleet.wait_until("the zone is back in service", |snapshots| {
        snapshots.iter().all(|s| zone_accepts_requests(s, "hkd-a"))
    });
}

#[test]
fn new_daemon_gets_the_last_accepted_value_from_its_peers() {
    let mut fleet = Fleet::start(4, 1);
    fleet.wait_until_ready();
    fleet
        .platform
        .put_value("fleet/zones/hkd-a", "[zone]\nstate = out\n");
    fleet.wait_until("the zone is out of service", |snapshots| {
        snapshots.iter().all(|s| !zone_accepts_requests(s, "hkd-a"))
    });
    fleet
        .platform
        .put_value("fleet/zones/hkd-a", "[zone]\nstate = gone\n");
    drop(fleet.daemons[1].take());
    let daemon = fleet.spawn(1, 2);
    fleet.daemons[1] = Some(daemon);
    fleet.wait_until_ready();
    let snapshot = fleet.daemons[1].as_ref().unwrap().handle.snapshot.load();
    assert!(!zone_accepts_requests(&snapshot, "hkd-a"));
    assert!(zone_accepts_requests(&snapshot, "hkd-b"));
}

#[test]
fn new_daemon_becomes_ready_through_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::start(3, 1);
    fleet.wait_until_ready();
    let down = PlatformMode {
        down: Some(true),
        ..PlatformMode::default()
    };
    fleet.platform.set_mode(0, down);
    drop(fleet.daemons[2].take());
    // Without an instance list, a daemon discovers its peers through those that connect to it.
    let daemon = fleet.spawn(2, 2);
    fleet.daemons[2] = Some(daemon);
    fleet.wait_until_ready();
}

#[test]
fn draining_daemon_loses_its_duties() {
    let fleet = Fleet::start(3, 1);
    fleet.wait_until_ready();
    fleet.daemons[1].as_ref().unwrap().handle.start_draining();
    fleet.wait_until("the draining daemon owns no endpoint", |snapshots| {
        snapshots.iter().all(|s| {
            let is_draining = s.members[&name(1)].state == MemberState::Draining;
            is_draining && owners(s).iter().all(|o| o.is_some() && *o != Some(name(1)))
        })
    });
}

#[test]
fn stale_replicas_do_not_delay_a_change() {
    let fleet = Fleet::start(3, 3);
    fleet.wait_until_ready();
    let stale = PlatformMode {
        stale: Some(true),
        ..PlatformMode::default()
    };
    fleet.platform.set_mode(0, stale);
    fleet.platform.set_mode(1, stale);
    fleet
        .platform
        .put_value("fleet/zones/hkd-c", "[zone]\nstate = out\n");
    fleet.wait_until("the zone is out of service", |snapshots| {
        snapshots.iter().all(|s| !zone_accepts_requests(s, "hkd-c"))
    });
}

#[test]
fn rollout_updates_each_engine_once() {
    let fleet = Fleet::start(3, 1);
    fleet.wait_until_ready();
    let text = "[rollout]\nmodel = wakai-8b\nversion = 2\nparallel_max = 3\n";
    fleet
        .platform
        .put_value("teams/kinrin/rollouts/wakai-llm", text);
    let start = Instant::now();
    let is_updated = |engine: &Engine| engine.counters().orders.len() == 1;
    while !fleet.engines.iter().all(is_updated) {
        let orders: Vec<_> = fleet.engines.iter().map(|e| e.counters().orders).collect();
        assert!(start.elapsed() < WAIT_TIMEOUT, "{orders:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.wait_until_status("one daemon reports that the rollout is done", |statuses| {
        let states = statuses.iter().flat_map(|status| &status.rollouts);
        states
            .filter(|rollout| rollout.state == RolloutState::Done)
            .count()
            == 1
    });
    assert!(
        fleet.engines.iter().all(is_updated),
        "no engine receives a second order"
    );
}
