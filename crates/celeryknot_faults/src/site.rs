//! The daemons and stand-ins of one run, with a fault proxy before each.
//!
//! The fleet has two sides. Each side has a platform of its own whose instance
//! list names the proxies of that side, so that a split can cut one side's way
//! to the other without touching what both reach.

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

/// Daemons of a run; the first half is on side 0.
pub const DAEMON_COUNT: usize = 4;
/// Engines of a run.
pub const ENGINE_COUNT: usize = 4;
/// Plain services' endpoints of a run.
pub const SERVICE_COUNT: usize = 2;
/// All endpoints of a run; engines come first.
pub const ENDPOINT_COUNT: usize = ENGINE_COUNT + SERVICE_COUNT;
/// Sides of the fleet.
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

const READY_POLL: Duration = Duration::from_millis(25);
const READY_TIME_MAX: Duration = Duration::from_secs(20);
const CALL_TIME_MAX: Duration = Duration::from_secs(2);
/// Longest time that a daemon may take to shut down, above the grace in its settings.
const EXIT_TIME_MAX: Duration = Duration::from_secs(15);

const SERVICE_VALUE: &str = "[service]\nkind = plain\nfirst_byte_timeout_ms = 2s\n";
const MODEL_VALUE: &str = "[service]\nkind = model\nmodels = wakai-8b\nfirst_byte_timeout_ms = 3s\nidle_timeout_ms = 2s\n";

/// The proxies that one side uses to reach one daemon.
#[derive(Debug)]
struct DaemonProxies {
    peers: FaultProxy,
    forwards: FaultProxy,
}

/// One side's platform and proxies.
#[derive(Debug)]
struct Side {
    platform: Platform,
    endpoints: Vec<FaultProxy>,
    daemons: Vec<DaemonProxies>,
}

/// All processes and stand-ins of one run.
#[derive(Debug)]
pub struct Site {
    binary: PathBuf,
    folder: RunFolder,
    run: u16,
    engines: Vec<Engine>,
    services: Vec<Service>,
    sides: Vec<Side>,
    daemons: Vec<Mutex<Option<DaemonProcess>>>,
    leaving: Mutex<Vec<bool>>,
}

impl Site {
    /// Starts stand-ins, proxies and daemons, and waits until every daemon is ready.
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
        let site = Self {
            binary: binary.to_owned(),
            folder: RunFolder::create(&run.to_string())?,
            run,
            engines,
            services,
            sides,
            daemons: (0..DAEMON_COUNT).map(|_| Mutex::new(None)).collect(),
            leaving: Mutex::new(vec![false; ENDPOINT_COUNT]),
        };
        site.publish_values();
        site.publish_instances();
        for daemon in 0..DAEMON_COUNT {
            site.start_daemon(daemon)?;
        }
        for daemon in 0..DAEMON_COUNT {
            site.wait_until_ready(daemon).await?;
        }
        Ok(site)
    }

    /// Returns where callers reach a daemon.
    pub fn callers_address(&self, daemon: usize) -> SocketAddr {
        daemon_address(self.run, daemon, CALLERS_PORT)
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Returns the plain services' endpoints.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns what is known of the last new work at an endpoint.
    pub fn last_new_work(&self, endpoint: usize) -> Option<Instant> {
        match endpoint.checked_sub(ENGINE_COUNT) {
            None => self.engines[endpoint].seen().last_new_work,
            Some(service) => self.services[service].seen().last_new_work,
        }
    }

    /// Publishes a value on both sides.
    pub fn put_value(&self, path: &str, text: &str) {
        for side in &self.sides {
            side.platform.put_value(path, text);
        }
    }

    /// Changes the mode of one side's platform.
    pub fn set_platform_mode(&self, side: usize, mode: PlatformMode) {
        self.sides[side].platform.set_mode(0, mode);
    }

    /// Lets an endpoint leave the instance list, or join it again.
    pub fn set_leaving(&self, endpoint: usize, is_leaving: bool) {
        self.leaving()[endpoint] = is_leaving;
        self.publish_instances();
    }

    /// Injects a fault between all daemons and one endpoint.
    pub fn disturb_endpoint(&self, endpoint: usize, fault: Fault) {
        for side in &self.sides {
            side.endpoints[endpoint].apply(fault);
        }
    }

    /// Injects a fault between all daemons.
    pub fn disturb_peers(&self, fault: Fault) {
        for proxies in self.sides.iter().flat_map(|side| &side.daemons) {
            proxies.apply(fault);
        }
    }

    /// Injects a fault between the two sides of the fleet.
    pub fn disturb_between_sides(&self, fault: Fault) {
        for (side_index, side) in self.sides.iter().enumerate() {
            for (daemon, proxies) in side.daemons.iter().enumerate() {
                if side_of(daemon) != side_index {
                    proxies.apply(fault);
                }
            }
        }
    }

    /// Kills a daemon at once.
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

    /// Stops a daemon where it stands, or lets it go on.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn set_frozen(&self, daemon: usize, is_frozen: bool) -> eyre::Result<()> {
        match &*self.daemon(daemon) {
            Some(process) if is_frozen => process.freeze(),
            Some(process) => process.thaw(),
            None => Ok(()),
        }
    }

    /// Shuts a daemon down gracefully and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time or ends with a failure.
    pub async fn terminate_daemon(&self, daemon: usize) -> eyre::Result<()> {
        let Some(mut process) = self.daemon(daemon).take() else {
            return Ok(());
        };
        process.terminate()?;
        let status = smol::unblock(move || process.wait_for_exit(EXIT_TIME_MAX)).await?;
        if !status.success() {
            return Err(eyre!("daemon {daemon} ended with {status}"));
        }
        Ok(())
    }

    /// Starts a daemon where none runs.
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

    /// Waits until a daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when it is not ready in time.
    pub async fn wait_until_ready(&self, daemon: usize) -> eyre::Result<()> {
        let address = daemon_address(self.run, daemon, OPERATORS_PORT);
        let started = Instant::now();
        while started.elapsed() < READY_TIME_MAX {
            let answer = call(address, Method::GET, "/readyz", Vec::new(), CALL_TIME_MAX).await;
            if answer.is_ok_and(|(status, _)| status.is_success()) {
                return Ok(());
            }
            Timer::after(READY_POLL).await;
        }
        let log = self
            .folder
            .path()
            .join(format!("{}.log", daemon_name(daemon)));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        Err(eyre!("daemon {daemon} is not ready; its log:\n{log}"))
    }

    /// Returns one metrics page of a daemon, for messages.
    pub async fn metrics(&self, daemon: usize) -> eyre::Result<String> {
        let address = daemon_address(self.run, daemon, OPERATORS_PORT);
        let (_, body) = call(address, Method::GET, "/metrics", Vec::new(), CALL_TIME_MAX).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn daemon(&self, daemon: usize) -> MutexGuard<'_, Option<DaemonProcess>> {
        self.daemons[daemon]
            .lock()
            .expect("no thread panics with a daemon")
    }

    fn leaving(&self) -> MutexGuard<'_, Vec<bool>> {
        self.leaving.lock().expect("no thread panics with the list")
    }

    fn publish_values(&self) {
        for zone in ZONES {
            self.put_value(&format!("fleet/zones/{zone}"), "[zone]\nstate = in\n");
        }
        self.put_value(
            &format!("teams/kinrin/services/{MODEL_SERVICE}"),
            MODEL_VALUE,
        );
        self.put_value(
            &format!("teams/kinrin/services/{PLAIN_SERVICE}"),
            SERVICE_VALUE,
        );
        for customer in CUSTOMERS {
            let path = format!("teams/kinrin/customers/{customer}");
            self.put_value(&path, "[customer]\nshare_weight = 1\n");
        }
    }

    fn publish_instances(&self) {
        let leaving = self.leaving().clone();
        for side in &self.sides {
            side.platform.put_instances(side.instances(&leaving));
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
            .map(|target| FaultProxy::start_before(*target))
            .collect::<eyre::Result<_>>()?;
        let daemons = (0..DAEMON_COUNT)
            .map(|daemon| {
                Ok(DaemonProxies {
                    peers: FaultProxy::start_before(daemon_address(run, daemon, PEERS_PORT))?,
                    forwards: FaultProxy::start_before(daemon_address(run, daemon, FORWARDS_PORT))?,
                })
            })
            .collect::<eyre::Result<_>>()?;
        Ok(Self {
            platform: Platform::start(PlatformOptions::default(), LOOPBACK)?,
            endpoints,
            daemons,
        })
    }

    fn instances(&self, leaving: &[bool]) -> Vec<Instance> {
        let endpoints = self.endpoints.iter().enumerate().map(|(index, proxy)| {
            Instance::Endpoint(EndpointInstance {
                name: name(&endpoint_name(index)),
                service: name(service_of(index)),
                zone: name(ZONES[index % ZONES.len()]),
                address: proxy.address(),
                state: if leaving[index] {
                    InstanceState::Leaving
                } else {
                    InstanceState::Live
                },
                fencing: Fencing::Refuses,
            })
        });
        let daemons = self.daemons.iter().enumerate().map(|(index, proxies)| {
            Instance::Daemon(DaemonInstance {
                name: name(&daemon_name(index)),
                zone: name(ZONES[index % ZONES.len()]),
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

fn name<T: std::str::FromStr<Err = celeryknot_core::IdError>>(text: &str) -> T {
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
