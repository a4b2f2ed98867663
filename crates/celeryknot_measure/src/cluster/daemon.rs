//! One daemon of a cluster, across its incarnations.

use std::net::SocketAddr;
use std::time::Duration;

use celeryknot_core::{MemberName, ZoneName};
use celeryknot_platform::{DaemonInstance, Instance, InstanceState};
use celeryknot_settings::DaemonSettings;
use celeryknot_standins::client::call;
use celeryknotd::Daemon;
use http::{Method, StatusCode};

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon; each incarnation gets new addresses, as a replaced instance does.
#[derive(Debug)]
pub(super) struct DaemonSlot {
    settings: DaemonSettings,
    daemon: Option<Daemon>,
    /// The address published to peers for control traffic, instead of the daemon's own.
    pub(super) peers_proxy: Option<SocketAddr>,
    /// The address published to peers for forwarded requests, instead of the daemon's own.
    pub(super) forwards_proxy: Option<SocketAddr>,
}

impl DaemonSlot {
    pub(super) fn new(
        zone: &str,
        index: usize,
        platform_addresses: Vec<SocketAddr>,
    ) -> eyre::Result<Self> {
        let name: MemberName = format!("entry-{}", index + 1).parse()?;
        let zone: ZoneName = zone.parse()?;
        let settings = DaemonSettings::builder(name, zone)
            .traffic_threads(1)
            .platform_addresses(platform_addresses)
            .build();
        Ok(Self {
            settings,
            daemon: None,
            peers_proxy: None,
            forwards_proxy: None,
        })
    }

    pub(super) fn start(&mut self) -> eyre::Result<()> {
        self.daemon = Some(Daemon::start(self.settings.clone())?);
        Ok(())
    }

    /// Shuts the daemon down gracefully and returns the number of requests that it aborted.
    pub(super) async fn stop(&mut self) -> u64 {
        let Some(mut daemon) = self.daemon.take() else {
            return 0;
        };
        daemon.begin_shutdown();
        smol::unblock(move || daemon.wait().leftover).await
    }

    /// Stops the daemon immediately, as if its process were killed.
    pub(super) fn kill(&mut self) {
        self.daemon = None;
    }

    pub(super) fn name(&self) -> &MemberName {
        &self.settings.name
    }

    /// Returns the settings with the addresses of the current incarnation.
    pub(super) fn running_settings(&self) -> Option<&DaemonSettings> {
        self.daemon.as_ref().map(Daemon::settings)
    }

    pub(super) async fn is_ready(&self) -> bool {
        let Some(settings) = self.running_settings() else {
            return false;
        };
        let address = settings.operators_address;
        let answer = call(address, Method::GET, "/readyz", "", PROBE_TIMEOUT).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    pub(super) fn instance(&self) -> Option<Instance> {
        let settings = self.running_settings()?;
        Some(Instance::Daemon(DaemonInstance {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: self.peers_proxy.unwrap_or(settings.peers_address),
            forwards_address: self.forwards_proxy.unwrap_or(settings.forwards_address),
            state: InstanceState::Live,
        }))
    }
}
