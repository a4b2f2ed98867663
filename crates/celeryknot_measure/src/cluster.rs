//! A platform, endpoints and daemons that run on loopback in one process.

mod daemon;
mod endpoints;
mod values;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use celeryknot_platform::{Instance, InstanceState};
use celeryknot_standins::load::Balancer;
use celeryknot_standins::{
    EngineOptions, Fault, FaultProxy, LOOPBACK, Platform, PlatformOptions, ServiceOptions,
};
use eyre::eyre;
use smol::Timer;

use self::daemon::DaemonSlot;
pub use self::endpoints::{EngineLoad, EngineSlot, Engines, PromptCount, ServiceSlot};
use crate::Deployment;
use crate::deployment::DeploymentSpec;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that daemons need to discover each other and all endpoints.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Number of daemons; 0 to measure a baseline placement.
    pub daemons: usize,
    /// Number of replicas of the platform.
    pub platform_replicas: u32,
    /// Delay of the instance list.
    pub instance_lag_ms: DurationMs,
    /// Maximum load of an engine as a multiple of the mean.
    pub load_multiple: f64,
    /// Options of the engines.
    pub engine: EngineOptions,
    /// Options of the plain endpoints.
    pub service: ServiceOptions,
    /// Number of engines; the deployment's number if `None`.
    pub engines: Option<usize>,
    /// Number of plain endpoints; the deployment's number if `None`.
    pub plain_endpoints: Option<usize>,
    /// Whether daemons connect to endpoints and to each other through fault proxies.
    pub has_proxies: bool,
}

impl ClusterOptions {
    /// Returns the default options, with nine daemons.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let engine = EngineOptions::default()
            .model(deployment.spec().model.to_owned())
            .kv_tokens_max(100_000)
            .load_lag_ms(DurationMs(1_000))
            .seed(seed);
        Self {
            deployment,
            daemons: 9,
            platform_replicas: 1,
            instance_lag_ms: DurationMs(500),
            load_multiple: 1.25,
            engine,
            service: ServiceOptions::default().seed(seed),
            engines: None,
            plain_endpoints: None,
            has_proxies: false,
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The options that the cluster was started with.
    pub options: ClusterOptions,
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Arc<Engines>,
    /// The plain endpoints.
    pub services: Vec<ServiceSlot>,
    /// Distributes calls among the ready daemons.
    pub balancer: Arc<Balancer>,
    daemons: Vec<DaemonSlot>,
    proxies: Vec<FaultProxy>,
}

impl Cluster {
    /// Starts the cluster and waits until every daemon is ready.
    pub async fn start(options: ClusterOptions) -> eyre::Result<Self> {
        let spec = options.deployment.spec();
        let platform_options = PlatformOptions::default()
            .instance_lag_ms(options.instance_lag_ms)
            .replicas(options.platform_replicas);
        let platform = Platform::start(platform_options, LOOPBACK)?;
        for (path, text) in values::initial_values(spec, options.load_multiple) {
            platform.put_value(&path, &text);
        }
        let engine_count = options.engines.unwrap_or(spec.engines);
        let engines = Arc::new(Engines::start(spec, engine_count, &options.engine)?);
        let service_count = options.plain_endpoints.unwrap_or(spec.plain_endpoints);
        let services = endpoints::start_services(spec, service_count, &options.service)?;
        let daemons = (0..options.daemons)
            .map(|index| DaemonSlot::new(spec.zone(index), index, platform.addresses()))
            .collect::<eyre::Result<Vec<_>>>()?;
        let balancer = Arc::new(Balancer::new(spec.model_service, Vec::new()));
        let mut cluster = Self {
            options,
            platform,
            engines,
            services,
            balancer,
            daemons,
            proxies: Vec::new(),
        };
        for daemon in &mut cluster.daemons {
            daemon.start()?;
        }
        if cluster.options.has_proxies {
            cluster.start_proxies()?;
        }
        cluster.publish_instances();
        cluster.wait_until_ready().await?;
        cluster.update_balancer();
        Ok(cluster)
    }

    /// Starts the cluster and waits until every daemon has discovered the whole fleet.
    pub async fn start_settled(options: ClusterOptions) -> eyre::Result<Self> {
        let cluster = Self::start(options).await?;
        Timer::after(SETTLE_TIME).await;
        Ok(cluster)
    }

    /// Starts a fault proxy in front of every endpoint and of every daemon's addresses for peers.
    fn start_proxies(&mut self) -> eyre::Result<()> {
        let mut proxies = Vec::new();
        let mut start = |address: SocketAddr| -> eyre::Result<SocketAddr> {
            let proxy = FaultProxy::start_on_loopback(address)?;
            let advertised_address = proxy.address();
            proxies.push(proxy);
            Ok(advertised_address)
        };
        for slot in self.engines.slots().iter_mut() {
            slot.advertised_address = start(slot.advertised_address)?;
        }
        for slot in &mut self.services {
            slot.advertised_address = start(slot.advertised_address)?;
        }
        for daemon in &mut self.daemons {
            let Some(settings) = daemon.running_settings() else {
                continue;
            };
            let (peers, forwards) = (settings.peers_address, settings.forwards_address);
            daemon.peers_proxy = Some(start(peers)?);
            daemon.forwards_proxy = Some(start(forwards)?);
        }
        self.proxies = proxies;
        Ok(())
    }

    /// Injects a fault at every fault proxy.
    pub fn inject_fault(&self, fault: Fault) {
        for proxy in &self.proxies {
            proxy.apply(fault);
        }
    }

    /// Returns the number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the addresses at which running daemons accept callers.
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter_map(DaemonSlot::running_settings);
        running.map(|settings| settings.callers_address).collect()
    }

    /// Returns the specification of the deployment.
    pub fn spec(&self) -> &'static DeploymentSpec {
        self.options.deployment.spec()
    }

    /// Publishes the current instance list.
    pub fn publish_instances(&self) {
        let spec = self.spec();
        let mut list: Vec<Instance> = self.engines.instances(spec.model_service);
        list.extend(self.services.iter().map(|slot| slot.instance(spec)));
        list.extend(self.daemons.iter().filter_map(DaemonSlot::instance));
        self.platform.put_instances(list);
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if Instant::now() > deadline {
                    return Err(eyre!("{} did not become ready in time", daemon.name()));
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Sets the running daemons as the balancer's targets.
    pub fn update_balancer(&self) {
        self.balancer.set_addresses(self.callers_addresses());
    }

    /// Takes a zone out of service, or returns it to service.
    pub fn set_zone_in_service(&self, zone: &str, is_in_service: bool) {
        let (path, text) = values::zone_value(zone, is_in_service);
        self.platform.put_value(&path, &text);
        self.engines.set_zone_in_service(zone, is_in_service);
    }

    /// Publishes an engine as draining and stops it after a grace time.
    pub async fn remove_engine(&self, index: usize, grace: Duration) {
        self.engines.set_state(index, InstanceState::Leaving);
        self.publish_instances();
        Timer::after(grace).await;
        self.engines.stop(index).await;
        self.publish_instances();
    }

    /// Restarts a removed engine, cold and with an empty cache.
    pub fn restart_engine(&self, index: usize, cold_ms: DurationMs) -> eyre::Result<()> {
        self.engines
            .restart(index, self.options.engine.clone().cold_ms(cold_ms))?;
        self.publish_instances();
        Ok(())
    }

    /// Shuts a daemon down gracefully and starts its next incarnation.
    pub async fn replace_daemon(&mut self, index: usize) -> eyre::Result<()> {
        let draining = self.daemons[index]
            .running_settings()
            .map(|own| own.callers_address);
        let mut others = self.callers_addresses();
        others.retain(|other| Some(*other) != draining);
        self.balancer.set_addresses(others);
        self.daemons[index].stop().await;
        self.daemons[index].start()?;
        self.publish_instances();
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.daemons[index].is_ready().await && Instant::now() < deadline {
            Timer::after(READY_POLL_INTERVAL).await;
        }
        self.update_balancer();
        Ok(())
    }

    /// Returns the operators addresses of the running daemons.
    pub fn operators_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter_map(DaemonSlot::running_settings);
        running.map(|settings| settings.operators_address).collect()
    }

    /// Returns the number of bookings that ran more than once, across all endpoints.
    pub fn doubled_bookings(&self) -> u64 {
        let mut counts = std::collections::BTreeMap::new();
        for slot in &self.services {
            for booking in slot.service.counters().bookings {
                *counts.entry(booking.request).or_insert(0_u64) += 1;
            }
        }
        counts.values().filter(|count| **count > 1).count() as u64
    }

    /// Returns the number of confirmed bookings that no endpoint ran and of bookings reported as
    /// `not-run` that one ran.
    pub fn misreported_bookings(
        &self,
        outcomes: &[celeryknot_standins::load::BookingOutcome],
    ) -> u64 {
        use celeryknot_standins::load::OutcomeKind;

        let executed: std::collections::BTreeSet<_> = self
            .services
            .iter()
            .flat_map(|slot| slot.service.counters().bookings)
            .map(|booking| booking.request)
            .collect();
        let is_misreported =
            |outcome: &&celeryknot_standins::load::BookingOutcome| match outcome.end {
                OutcomeKind::Completed => !executed.contains(&outcome.request),
                OutcomeKind::Refused => executed.contains(&outcome.request),
                OutcomeKind::Truncated | OutcomeKind::CrossDelivered | OutcomeKind::Lost => false,
            };
        outcomes.iter().filter(is_misreported).count() as u64
    }

    /// Stops the cluster.
    pub async fn stop(self) {
        // No request is in flight any more, so none is aborted.
        for mut daemon in self.daemons {
            daemon.kill();
        }
        self.engines.stop_all().await;
        for slot in self.services {
            slot.service.stop().await;
        }
        for proxy in self.proxies {
            proxy.stop().await;
        }
        self.platform.stop().await;
    }
}
