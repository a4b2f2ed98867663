//! The daemons and stand-ins of one run, connected through fault proxies.
//!
//! The fleet has two sides, each with its own platform. The instance list of a platform contains
//! the proxies of its side, so a partition can block the traffic between the sides without
//! affecting the endpoints that both sides reach.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_platform::{DaemonInstance, EndpointInstance, Fencing, Instance, InstanceState};
use celeryknot_standins::client::call;
use celeryknot_standins::wire::PlatformMode;
use celeryknot_standins::{
    Engine, EngineOptions, Fault, FaultProxy, LOOPBACK, Platform, PlatformOptions, Service,
    ServiceOptions,
};
use eyre::{WrapErr, eyre};
use http::Method;
use smol::Timer;

use crate::process::{DaemonProcess, RunFolder, loopback_address};

/// Number of daemons; the first half is on side 0.
pub const DAEMON_COUNT: usize = 4;
/// Number of engines.
pub const ENGINE_COUNT: usize = 4;
/// Number of endpoints of the plain service.
pub const SERVICE_COUNT: usize = 2;
/// Number of endpoints; the engines have the first indices.
pub const ENDPOINT_COUNT: usize = ENGINE_COUNT + SERVICE_COUNT;
/// Number of sides of the fleet.
pub const SIDE_COUNT: usize = 2;
/// The availability zones.
pub const ZONES: [&str; 2] = ["hkd-a", "hkd-b"];
/// The model service.
pub const MODEL_SERVICE: &str = "wakai-llm";
/// The plain service that takes bookings.
pub const PLAIN_SERVICE: &str = "case-svc";
/// The customers.
pub const CUSTOMERS: [&str; 3] = ["otaru", "hakodate", "asahikawa"];

const CALLERS_PORT: u16 = 8080;
const PEERS_PORT: u16 = 7001;
const FORWARDS_PORT: u16 = 7002;
const OPERATORS_PORT: u16 = 9090;

const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the shutdown of a daemon; exceeds the grace period in its settings.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

const PLAIN_SERVICE_SETTINGS: &str = "[service]\nkind = plain\nfirst_byte_timeout_ms = 2s\n";
const MODEL_SERVICE_SETTINGS: &str = "[service]\nkind = model\nmodels = wakai-8b\nfirst_byte_timeout_ms = 3s\nidle_timeout_ms = 2s\n";

/// The proxies through which one side reaches one daemon.
#[derive(Debug)]
struct DaemonProxies {
    peers: FaultProxy,
    forwards: FaultProxy,
}

/// The platform and proxies of one side.
#[derive(Debug)]
struct Side {
    platform: Platform,
    endpoints: Vec<FaultProxy>,
    daemons: Vec<DaemonProxies>,
}

/// All processes and stand-ins of one run.
#[derive(Debug)]
pub struct Testbed {
    binary: PathBuf,
    folder: RunFolder,
    run: u16,
    engines: Vec<Engine>,
    services: Vec<Service>,
    sides: Vec<Side>,
    daemons: Vec<Mutex<Option<DaemonProcess>>>,
    draining: Mutex<Vec<bool>>,
}

impl Testbed {
    /// Starts stand-ins, proxies and daemons and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started or a daemon is not ready in time.
    pub async fn start(binary: &Path, run: u16) -> eyre::Result<Self> {
        let engines: Vec<Engine> = (0..ENGINE_COUNT)
            .map(|_| Engine::start(engine_options(), LOOPBACK))
            .collect::<eyre::Result<_>>()?;
        let services: Vec<Service> = (0..SERVICE_COUNT)
            .map(|_| Service::start(ServiceOptions::default(), LOOPBACK))
            .collect::<eyre::Result<_>>()?;
        let targets: Vec<SocketAddr> = engines
            .iter()
            .map(Engine::address)
            .chain(services.iter().map(Service::address))
            .collect();
        let sides = (0..SIDE_COUNT)
            .map(|_| Side::start(&targets, run))
            .collect::<eyre::Result<_>>()?;
        let testbed = Self {
            binary: binary.to_owned(),
            folder: RunFolder::create(&run.to_string())?,
            run,
            engines,
            services,
            sides,
            daemons: (0..DAEMON_COUNT).map(|_| Mutex::new(None)).collect(),
            draining: Mutex::new(vec![false; ENDPOINT_COUNT]),
        };
        testbed.publish_values();
        testbed.publish_instances();
        for daemon in 0..DAEMON_COUNT {
            testbed.start_daemon(daemon)?;
        }
        for daemon in 0..DAEMON_COUNT {
            testbed.wait_until_ready(daemon).await?;
        }
        Ok(testbed)
    }

    /// Returns a daemon's address for callers.
    pub fn callers_address(&self, daemon: usize) -> SocketAddr {
        daemon_address(self.run, daemon, CALLERS_PORT)
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Returns the endpoints of the plain service.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns when an endpoint last received a new request.
    pub fn last_new_work(&self, endpoint: usize) -> Option<Instant> {
        match endpoint.checked_sub(ENGINE_COUNT) {
            None => self.engines[endpoint].counters().last_new_work,
            Some(service) => self.services[service].counters().last_new_work,
        }
    }

    /// Publishes a value on the platforms of both sides.
    pub fn put_value(&self, path: &str, text: &str) {
        for side in &self.sides {
            side.platform.put_value(path, text);
        }
    }

    /// Changes the mode of one side's platform.
    pub fn set_platform_mode(&self, side: usize, mode: PlatformMode) {
        self.sides[side].platform.set_mode(0, mode);
    }

    /// Marks an endpoint in the instance list as draining or live.
    pub fn set_draining(&self, endpoint: usize, is_draining: bool) {
        self.draining()[endpoint] = is_draining;
        self.publish_instances();
    }

    /// Injects a fault into the connections between all daemons and one endpoint.
    pub fn inject_endpoint_fault(&self, endpoint: usize, fault: Fault) {
        for side in &self.sides {
            side.endpoints[endpoint].apply(fault);
        }
    }

    /// Injects a fault into the connections between all daemons.
    pub fn inject_peer_fault(&self, fault: Fault) {
        for proxies in self.sides.iter().flat_map(|side| &side.daemons) {
            proxies.apply(fault);
        }
    }

    /// Injects a fault into the connections between the two sides of the fleet.
    pub fn inject_partition_fault(&self, fault: Fault) {
        for (side_index, side) in self.sides.iter().enumerate() {
            for (daemon, proxies) in side.daemons.iter().enumerate() {
                if side_of(daemon) != side_index {
                    proxies.apply(fault);
                }
            }
        }
    }

    /// Kills a daemon.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn kill_daemon(&self, daemon: usize) -> eyre::Result<()> {
        match self.daemon(daemon).take() {
            Some(mut process) => process.kill(),
            None => Ok(()),
        }
    }

    /// Suspends or resumes a daemon.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn set_frozen(&self, daemon: usize, is_frozen: bool) -> eyre::Result<()> {
        match &*self.daemon(daemon) {
            Some(process) if is_frozen => process.freeze(),
            Some(process) => process.resume(),
            None => Ok(()),
        }
    }

    /// Shuts a daemon down gracefully and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when it does not exit in time or exits with a failure.
    pub async fn terminate_daemon(&self, daemon: usize) -> eyre::Result<()> {
        let Some(mut process) = self.daemon(daemon).take() else {
            return Ok(());
        };
        process.terminate()?;
        let status = smol::unblock(move || process.wait_for_exit(EXIT_TIMEOUT)).await?;
        if !status.success() {
            return Err(eyre!("daemon {daemon} ended with {status}"));
        }
        Ok(())
    }

    /// Starts a daemon that is not running.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub fn start_daemon(&self, daemon: usize) -> eyre::Result<()> {
        let name = daemon_name(daemon);
        let file = self.folder.path().join(format!("{name}.ini"));
        let platform = self.sides[side_of(daemon)].platform.address();
        let text = daemon_settings(self.run, daemon, platform);
        std::fs::write(&file, text).wrap_err("writing the daemon's settings")?;
        *self.daemon(daemon) = Some(DaemonProcess::start(&self.binary, &name, &file)?);
        Ok(())
    }

    /// Waits until a daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when it is not ready in time.
    pub async fn wait_until_ready(&self, daemon: usize) -> eyre::Result<()> {
        let address = daemon_address(self.run, daemon, OPERATORS_PORT);
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let response = call(address, Method::GET, "/readyz", Vec::new(), CALL_TIMEOUT).await;
            if response.is_ok_and(|(status, _)| status.is_success()) {
                return Ok(());
            }
            Timer::after(READY_POLL_INTERVAL).await;
        }
        let log = self
            .folder
            .path()
            .join(format!("{}.log", daemon_name(daemon)));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        Err(eyre!("daemon {daemon} is not ready; its log:\n{log}"))
    }

    /// Returns the metrics page of a daemon, for failure messages.
    pub async fn metrics(&self, daemon: usize) -> eyre::Result<String> {
        let address = daemon_address(self.run, daemon, OPERATORS_PORT);
        let (_, body) = call(address, Method::GET, "/metrics", Vec::new(), CALL_TIMEOUT).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn daemon(&self, daemon: usize) -> MutexGuard<'_, Option<DaemonProcess>> {
        self.daemons[daemon]
            .lock()
            .expect("no thread panics with a daemon")
    }

    fn draining(&self) -> MutexGuard<'_, Vec<bool>> {
        self.draining
            .lock()
            .expect("no thread panics with the list")
    }

    fn publish_values(&self) {
        for zone in ZONES {
            self.put_value(&format!("fleet/zones/{zone}"), "[zone]\nstate = in\n");
        }
        self.put_value(
            &format!("teams/kinrin/services/{MODEL_SERVICE}"),
            MODEL_SERVICE_SETTINGS,
        );
        self.put_value(
            &format!("teams/kinrin/services/{PLAIN_SERVICE}"),
            PLAIN_SERVICE_SETTINGS,
        );
        for customer in CUSTOMERS {
            let path = format!("teams/kinrin/customers/{customer}");
            self.put_value(&path, "[customer]\nshare_weight = 1\n");
        }
    }

    fn publish_instances(&self) {
        let draining = self.draining().clone();
        for side in &self.sides {
            side.platform.put_instances(side.instances(&draining));
        }
    }
}

impl DaemonProxies {
    fn apply(&self, fault: Fault) {
        self.peers.apply(fault);
        self.forwards.apply(fault);
    }
}

impl Side {
    fn start(endpoints: &[SocketAddr], run: u16) -> eyre::Result<Self> {
        let endpoints = endpoints
            .iter()
            .map(|target| FaultProxy::start_on_loopback(*target))
            .collect::<eyre::Result<_>>()?;
        let daemons = (0..DAEMON_COUNT)
            .map(|daemon| {
                Ok(DaemonProxies {
                    peers: FaultProxy::start_on_loopback(daemon_address(run, daemon, PEERS_PORT))?,
                    forwards: FaultProxy::start_on_loopback(daemon_address(
                        run,
                        daemon,
                        FORWARDS_PORT,
                    ))?,
                })
            })
            .collect::<eyre::Result<_>>()?;
        Ok(Self {
            platform: Platform::start(PlatformOptions::default(), LOOPBACK)?,
            endpoints,
            daemons,
        })
    }

    fn instances(&self, draining: &[bool]) -> Vec<Instance> {
        let endpoints = self.endpoints.iter().enumerate().map(|(index, proxy)| {
            Instance::Endpoint(EndpointInstance {
                name: parse_name(&endpoint_name(index)),
                service: parse_name(service_of(index)),
                zone: parse_name(ZONES[index % ZONES.len()]),
                address: proxy.address(),
                state: if draining[index] {
                    InstanceState::Leaving
                } else {
                    InstanceState::Live
                },
                fencing: Fencing::Refuses,
            })
        });
        let daemons = self.daemons.iter().enumerate().map(|(index, proxies)| {
            Instance::Daemon(DaemonInstance {
                name: parse_name(&daemon_name(index)),
                zone: parse_name(ZONES[index % ZONES.len()]),
                address: proxies.peers.address(),
                forwards_address: proxies.forwards.address(),
                state: InstanceState::Live,
            })
        });
        endpoints.chain(daemons).collect()
    }
}

fn engine_options() -> EngineOptions {
    EngineOptions::default().decode_base_ms(4.0)
}

/// Returns the zone of an endpoint or daemon.
pub fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Returns the name of an endpoint.
pub fn endpoint_name(endpoint: usize) -> String {
    match endpoint.checked_sub(ENGINE_COUNT) {
        None => format!("engine-{endpoint}"),
        Some(service) => format!("service-{service}"),
    }
}

fn service_of(endpoint: usize) -> &'static str {
    if endpoint < ENGINE_COUNT {
        MODEL_SERVICE
    } else {
        PLAIN_SERVICE
    }
}

fn side_of(daemon: usize) -> usize {
    daemon * SIDE_COUNT / DAEMON_COUNT
}

fn daemon_name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

fn daemon_address(run: u16, daemon: usize, port: u16) -> SocketAddr {
    let daemon = u8::try_from(daemon).expect("few daemons");
    SocketAddr::new(IpAddr::V4(loopback_address(run, daemon)), port)
}

fn parse_name<T: std::str::FromStr<Err = celeryknot_core::IdError>>(text: &str) -> T {
    text.parse().expect("the run's names are valid")
}

fn daemon_settings(run: u16, daemon: usize, platform: SocketAddr) -> String {
    let listen = |port| daemon_address(run, daemon, port);
    format!(
        "[daemon]\nname = {}\nzone = {}\ntraffic_threads = 1\n\n\
         [listen]\ncallers = {}\npeers = {}\nforwards = {}\noperators = {}\n\n\
         [platform]\naddresses = {platform}\n\n\
         [keys]\npeers = a-key-for-the-peers-of-this-run\ncallers = a-key-for-the-callers-of-this-run\n\n\
         [limits]\nshutdown_grace_ms = 10s\n",
        daemon_name(daemon),
        zone_of(daemon),
        listen(CALLERS_PORT),
        listen(PEERS_PORT),
        listen(FORWARDS_PORT),
        listen(OPERATORS_PORT),
    )
}
