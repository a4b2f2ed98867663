//! One daemon of a cluster, over its lives.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use celeryknot_core::{MemberName, ZoneName};
use celeryknot_platform::{DaemonInstance, Instance, InstanceState};
use celeryknot_settings::DaemonSettings;
use celeryknot_standins::LOOPBACK;
use celeryknot_standins::client::call;
use celeryknotd::Daemon;
use http::{Method, StatusCode};

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct DaemonSlot {
    settings: DaemonSettings,
    daemon: Option<Daemon>,
    /// Where peers are told to reach the daemon.
    pub(super) advertised_peers: SocketAddr,
    /// Where peers are told to hand over requests.
    pub(super) advertised_forwards: SocketAddr,
}

impl DaemonSlot {
    pub(super) fn new(zone: &str, index: usize) -> eyre::Result<Self> {
        let name: MemberName = format!("entry-{}", index + 1).parse()?;
        let zone: ZoneName = zone.parse()?;
        let settings = DaemonSettings::builder(name, zone)
            .traffic_threads(1)
            .callers_address(free_address()?)
            .peers_address(free_address()?)
            .forwards_address(free_address()?)
            .operators_address(free_address()?)
            .build();
        Ok(Self {
            advertised_peers: settings.peers_address,
            advertised_forwards: settings.forwards_address,
            settings,
            daemon: None,
        })
    }

    pub(super) fn set_platform(&mut self, addresses: Vec<SocketAddr>) {
        self.settings.platform_addresses = addresses;
    }

    pub(super) fn start(&mut self) -> eyre::Result<()> {
        self.daemon = Some(Daemon::start(self.settings.clone())?);
        Ok(())
    }

    /// Shuts the daemon down gracefully, and returns the requests that it cut.
    pub(super) async fn stop(&mut self) -> u64 {
        let Some(mut daemon) = self.daemon.take() else {
            return 0;
        };
        daemon.begin_shutdown();
        smol::unblock(move || daemon.wait().leftover).await
    }

    /// Ends the daemon at once, as if its process was killed.
    pub(super) fn kill(&mut self) {
        self.daemon = None;
    }

    pub(super) fn name(&self) -> &MemberName {
        &self.settings.name
    }

    pub(super) fn is_running(&self) -> bool {
        self.daemon.is_some()
    }

    pub(super) fn callers_address(&self) -> SocketAddr {
        self.settings.callers_address
    }

    pub(super) fn operators_address(&self) -> SocketAddr {
        self.settings.operators_address
    }

    pub(super) async fn is_ready(&self) -> bool {
        let address = self.settings.operators_address;
        let answer = call(address, Method::GET, "/readyz", "", PROBE_TIMEOUT).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    pub(super) fn instance(&self) -> Instance {
        Instance::Daemon(DaemonInstance {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.advertised_peers,
            forwards_address: self.advertised_forwards,
            state: InstanceState::Live,
        })
    }
}

/// Finds a loopback port that is free now.
fn free_address() -> eyre::Result<SocketAddr> {
    Ok(TcpListener::bind(LOOPBACK)?.local_addr()?)
}
