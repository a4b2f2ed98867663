//! Complete daemons with a stand-in platform and stand-in endpoints.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::{Duration, Instant};

use celeryknot_platform::{DaemonInstance, EndpointInstance, Fencing, Instance, InstanceState};
use celeryknot_settings::DaemonSettings;
use celeryknot_standins::caller::CallTarget;
use celeryknot_standins::{
    Engine, EngineOptions, LOOPBACK, Platform, PlatformOptions, Service, ServiceOptions,
};
use celeryknotd::Daemon;

pub(crate) const MODEL_SERVICE: &str = "wakai-llm";
pub(crate) const PLAIN_SERVICE: &str = "case-svc";
pub(crate) const CUSTOMER: &str = "otaru";

/// Generous timeout of all expected changes.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Far above the check interval of the tests' balancer, even on a busy machine.
const SHUTDOWN_SETTLE: celeryknot_core::DurationMs = celeryknot_core::DurationMs(3_000);

const ZONES: [&str; 3] = ["hkd-a", "hkd-b", "hkd-c"];
const VALUES: [(&str, &str); 3] = [
    (
        "teams/kinrin/services/wakai-llm",
        "[service]\nkind = model\nmodels = wakai-8b\n",
    ),
    (
        "teams/kinrin/services/case-svc",
        "[service]\nkind = plain\n",
    ),
    (
        "teams/kinrin/customers/otaru",
        "[customer]\nshare_weight = 1\n",
    ),
];

/// A fleet of daemons with its platform and endpoints.
pub(crate) struct LiveFleet {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    pub(crate) daemons: Vec<Option<Daemon>>,
    /// Indices of the engines that drain.
    pub(crate) draining_engines: Vec<usize>,
    next_index: usize,
}

impl LiveFleet {
    /// Starts the given numbers of daemons, engines and plain services in three zones.
    pub(crate) fn start(daemons: usize, engines: usize, services: usize) -> Self {
        let platform = Platform::start(PlatformOptions::default(), LOOPBACK).unwrap();
        for zone in ZONES {
            platform.put_value(&format!("fleet/zones/{zone}"), "[zone]\nstate = in\n");
        }
        for (path, text) in VALUES {
            platform.put_value(path, text);
        }
        let mut fleet = Self {
            platform,
            engines: (0..engines)
                .map(|_| Engine::start(EngineOptions::default(), LOOPBACK).unwrap())
                .collect(),
            services: (0..services)
                .map(|_| Service::start(ServiceOptions::default(), LOOPBACK).unwrap())
                .collect(),
            daemons: Vec::new(),
            draining_engines: Vec::new(),
            next_index: 0,
        };
        for _ in 0..daemons {
            let daemon = fleet.start_daemon();
            fleet.daemons.push(Some(daemon));
        }
        fleet.publish();
        fleet.wait_until_ready();
        fleet
    }

    /// Starts a daemon that the platform does not list yet.
    pub(crate) fn start_daemon(&mut self) -> Daemon {
        let index = self.next_index;
        self.next_index += 1;
        let name = format!("daemon-{index}").parse().unwrap();
        let zone = ZONES[index % ZONES.len()].parse().unwrap();
        let settings = DaemonSettings::builder(name, zone)
            .platform_addresses(self.platform.addresses())
            .shutdown_settle_ms(SHUTDOWN_SETTLE)
            .build();
        Daemon::start(settings).unwrap()
    }

    /// Publishes the current daemons and endpoints in the platform's instance list.
    pub(crate) fn publish(&self) {
        let daemons = self.daemons.iter().flatten().map(|daemon| {
            let settings = daemon.settings();
            Instance::Daemon(DaemonInstance {
                name: settings.name.clone(),
                zone: settings.zone.clone(),
                address: settings.peers_address,
                forwards_address: settings.forwards_address,
                state: InstanceState::Live,
            })
        });
        let engines = self.engines.iter().map(Engine::address);
        let engines = endpoints(MODEL_SERVICE, "engine", engines, &self.draining_engines);
        let services = self.services.iter().map(Service::address);
        let services = endpoints(PLAIN_SERVICE, "service", services, &[]);
        self.platform
            .put_instances(daemons.chain(engines).chain(services).collect());
    }

    /// Waits until each daemon has all daemons and a summary of every endpoint in its snapshot.
    pub(crate) fn wait_until_ready(&self) {
        for daemon in self.daemons.iter().flatten() {
            wait_until("the daemon has a complete snapshot", || {
                self.is_complete_at(daemon)
            });
        }
    }

    fn is_complete_at(&self, daemon: &Daemon) -> bool {
        let snapshot = daemon.snapshot();
        let endpoints: Vec<_> = snapshot
            .services
            .values()
            .flat_map(|service| &service.endpoints)
            .collect();
        let mut daemons = self.daemons.iter().flatten();
        snapshot.is_ready
            && daemons.all(|daemon| {
                let member = snapshot.members.get(&daemon.settings().name);
                member.and_then(|member| member.incarnation) == Some(daemon.incarnation())
            })
            && endpoints.len() == self.engines.len() + self.services.len()
            && endpoints.iter().all(|endpoint| {
                endpoint.owner.is_some()
                    && endpoint.summary.is_some_and(|summary| {
                        summary.condition != celeryknot_core::EndpointCondition::Cold
                    })
            })
    }

    pub(crate) fn target(&self, index: usize, service: &str) -> CallTarget {
        let daemon = self.daemons[index].as_ref().unwrap();
        CallTarget {
            address: daemon.settings().callers_address,
            prefix: format!("/{service}"),
            customer: CUSTOMER.to_owned(),
        }
    }
}

fn endpoints(
    service: &'static str,
    prefix: &'static str,
    addresses: impl Iterator<Item = std::net::SocketAddr>,
    draining: &[usize],
) -> impl Iterator<Item = Instance> {
    addresses.enumerate().map(move |(index, address)| {
        Instance::Endpoint(EndpointInstance {
            name: format!("{prefix}-{index}").parse().unwrap(),
            service: service.parse().unwrap(),
            zone: ZONES[index % ZONES.len()].parse().unwrap(),
            address,
            state: match draining.contains(&index) {
                true => InstanceState::Leaving,
                false => InstanceState::Live,
            },
            fencing: Fencing::Refuses,
        })
    })
}

/// Waits until a condition holds.
pub(crate) fn wait_until(expected: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {expected}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
