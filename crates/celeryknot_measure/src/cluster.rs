//! A platform, endpoints and daemons on loopback, in one process.

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
/// Time for daemons to have heard of each other and of all endpoints.
const SETTLE: Duration = Duration::from_secs(2);
const READY_CHECK: Duration = Duration::from_millis(20);

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Daemons; none for a measurement of another placement.
    pub daemons: usize,
    /// Replicas of the platform.
    pub platform_replicas: u32,
    /// How late the instance list is.
    pub instance_lag_ms: DurationMs,
    /// Most load of an engine as a multiple of the mean.
    pub load_multiple: f64,
    /// How engines behave.
    pub engine: EngineOptions,
    /// How plain endpoints behave.
    pub service: ServiceOptions,
    /// Engines, where not as many as the deployment has.
    pub engines: Option<usize>,
    /// Plain endpoints, where not as many as the deployment has.
    pub plain_endpoints: Option<usize>,
    /// Whether all that daemons connect to stands behind a fault proxy.
    pub has_proxies: bool,
}

impl ClusterOptions {
    /// Returns the options of a measurement with nine daemons.
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
    /// What the cluster was made of.
    pub options: ClusterOptions,
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Arc<Engines>,
    /// The plain endpoints.
    pub services: Vec<ServiceSlot>,
    /// Sends calls to the daemons that are ready.
    pub balancer: Arc<Balancer>,
    daemons: Vec<DaemonSlot>,
    proxies: Vec<FaultProxy>,
}

impl Cluster {
    /// Starts everything and waits until every daemon is ready.
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
        cluster.balance();
        Ok(cluster)
    }

    /// Starts everything and lets the fleet settle, as one that has run for a while.
    pub async fn start_settled(options: ClusterOptions) -> eyre::Result<Self> {
        let cluster = Self::start(options).await?;
        Timer::after(SETTLE).await;
        Ok(cluster)
    }

    /// Puts a fault proxy in front of everything that daemons connect to.
    fn start_proxies(&mut self) -> eyre::Result<()> {
        let mut proxies = Vec::new();
        let mut start = |address: SocketAddr| -> eyre::Result<SocketAddr> {
            let proxy = FaultProxy::start_before(address)?;
            let advertised = proxy.address();
            proxies.push(proxy);
            Ok(advertised)
        };
        for slot in self.engines.slots().iter_mut() {
            slot.advertised = start(slot.advertised)?;
        }
        for slot in &mut self.services {
            slot.advertised = start(slot.advertised)?;
        }
        for daemon in &mut self.daemons {
            let Some(settings) = daemon.running() else {
                continue;
            };
            let (peers, forwards) = (settings.peers_address, settings.forwards_address);
            daemon.peers_proxy = Some(start(peers)?);
            daemon.forwards_proxy = Some(start(forwards)?);
        }
        self.proxies = proxies;
        Ok(())
    }

    /// Injects a fault at every proxy.
    pub fn apply_everywhere(&self, fault: Fault) {
        for proxy in &self.proxies {
            proxy.apply(fault);
        }
    }

    /// Returns the number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns where the running daemons take callers.
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter_map(DaemonSlot::running);
        running.map(|settings| settings.callers_address).collect()
    }

    /// Returns what the deployment consists of.
    pub fn spec(&self) -> &'static DeploymentSpec {
        self.options.deployment.spec()
    }

    /// Publishes the instance list as it should be now.
    pub fn publish_instances(&self) {
        let spec = self.spec();
        let mut list: Vec<Instance> = self.engines.instances(spec.model_service);
        list.extend(self.services.iter().map(|slot| slot.instance(spec)));
        list.extend(self.daemons.iter().filter_map(DaemonSlot::instance));
        self.platform.put_instances(list);
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if Instant::now() > end {
                    return Err(eyre!("{} did not become ready in time", daemon.name()));
                }
                Timer::after(READY_CHECK).await;
            }
        }
        Ok(())
    }

    /// Lets the balancer send calls to the running daemons.
    pub fn balance(&self) {
        self.balancer.set_addresses(self.callers_addresses());
    }

    /// Takes a zone out, or in again.
    pub fn set_zone(&self, zone: &str, is_in: bool) {
        let (path, text) = values::zone_value(zone, is_in);
        self.platform.put_value(&path, &text);
        self.engines.set_zone(zone, is_in);
    }

    /// Announces that an engine leaves, and stops it after a grace time.
    pub async fn remove_engine(&self, index: usize, grace: Duration) {
        self.engines.set_state(index, InstanceState::Leaving);
        self.publish_instances();
        Timer::after(grace).await;
        self.engines.stop(index).await;
        self.publish_instances();
    }

    /// Starts a removed engine again, with an empty cache and cold.
    pub fn add_engine(&self, index: usize, cold_ms: DurationMs) -> eyre::Result<()> {
        self.engines
            .restart(index, self.options.engine.clone().cold_ms(cold_ms))?;
        self.publish_instances();
        Ok(())
    }

    /// Shuts a daemon down gracefully and starts another life of it.
    pub async fn replace_daemon(&mut self, index: usize) -> eyre::Result<()> {
        let leaving = self.daemons[index].running().map(|own| own.callers_address);
        let mut others = self.callers_addresses();
        others.retain(|other| Some(*other) != leaving);
        self.balancer.set_addresses(others);
        self.daemons[index].stop().await;
        self.daemons[index].start()?;
        self.publish_instances();
        let end = Instant::now() + READY_TIMEOUT;
        while !self.daemons[index].is_ready().await && Instant::now() < end {
            Timer::after(READY_CHECK).await;
        }
        self.balance();
        Ok(())
    }

    /// Returns the addresses of the operators' pages.
    pub fn operators_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter_map(DaemonSlot::running);
        running.map(|settings| settings.operators_address).collect()
    }

    /// Returns the bookings that were run more than once, over all endpoints.
    pub fn doubled_bookings(&self) -> u64 {
        let mut counts = std::collections::BTreeMap::new();
        for slot in &self.services {
            for booking in slot.service.seen().bookings {
                *counts.entry(booking.request).or_insert(0_u64) += 1;
            }
        }
        counts.values().filter(|count| **count > 1).count() as u64
    }

    /// Returns the confirmed bookings that no endpoint ran, and the ones called `not-run` that one ran.
    pub fn false_bookings(&self, ends: &[celeryknot_standins::load::BookingEnd]) -> u64 {
        use celeryknot_standins::load::EndKind;

        let run: std::collections::BTreeSet<_> = self
            .services
            .iter()
            .flat_map(|slot| slot.service.seen().bookings)
            .map(|booking| booking.request)
            .collect();
        let is_false = |end: &&celeryknot_standins::load::BookingEnd| match end.end {
            EndKind::Completed => !run.contains(&end.request),
            EndKind::Refused => run.contains(&end.request),
            EndKind::Truncated | EndKind::CrossDelivered | EndKind::Lost => false,
        };
        ends.iter().filter(is_false).count() as u64
    }

    /// Stops everything.
    pub async fn stop(self) {
        // No work is left, so that nothing is cut.
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
