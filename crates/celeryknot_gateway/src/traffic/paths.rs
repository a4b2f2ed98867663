//! Connections to endpoints, and probes of those that could not be opened.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, ServiceName};
use celeryknot_endpoints::{EndpointConnection, is_running};

use super::context::TrafficThread;
use super::hop;

/// Timeout for opening a connection.
///
/// Many times the latency between two zones; after a lost packet, another endpoint is tried.
const CONNECT_TIMEOUT: DurationMs = DurationMs(400);

impl TrafficThread {
    /// Takes an idle connection to an endpoint or opens one; opens none that peers can replace while
    /// the last one could not be opened.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        idle_max: DurationMs,
    ) -> Option<EndpointConnection> {
        if let Some(connection) = self.connections.take(address, idle_max).await {
            return Some(connection);
        }
        if self.paths.borrow().is_broken(address) && self.has_hop_peers() {
            return None;
        }
        self.open(address).await
    }

    /// Opens a connection to an endpoint in place of an idle one; takes that one if none opens.
    pub(super) async fn connect_anew(
        &self,
        address: SocketAddr,
        idle_max: DurationMs,
    ) -> Option<EndpointConnection> {
        // Replaced, as endpoints bound the number of their connections.
        let idle = self.connections.take(address, idle_max).await;
        if self.paths.borrow().is_broken(address) && self.has_hop_peers() {
            return idle;
        }
        self.open(address).await.or(idle)
    }

    /// Returns whether an endpoint accepts a connection of this daemon and keeps it open.
    pub(super) async fn connects_to(&self, address: SocketAddr) -> bool {
        is_running(self.outgoing_ip(), address, &self.timers).await
    }

    /// Opens a connection to an endpoint or a peer.
    pub(super) async fn open_connection(
        &self,
        address: SocketAddr,
    ) -> Result<EndpointConnection, ErrorKind> {
        let source = self.outgoing_ip();
        EndpointConnection::open_from(source, address, CONNECT_TIMEOUT, &self.timers).await
    }

    fn outgoing_ip(&self) -> Option<IpAddr> {
        self.shared.settings.outgoing_address.map(|it| it.ip())
    }

    /// Opens a connection to an endpoint and records whether that was possible.
    pub(super) async fn open(&self, address: SocketAddr) -> Option<EndpointConnection> {
        let opened = self.open_connection(address).await;
        let mut paths = self.paths.borrow_mut();
        match opened {
            Ok(connection) => {
                if paths.record_connection(address) {
                    tracing::info!(%address, "endpoint accepts connections again");
                }
                Some(connection)
            }
            Err(_) => {
                if paths.record_failure(self.now(), address, rand::random()) {
                    self.shared.metrics.paths_broken.inc();
                    drop(paths);
                    self.forgive_failures(address);
                    tracing::info!(%address, "endpoint accepts no connection");
                }
                None
            }
        }
    }

    /// Records an answer of an endpoint on a connection of this daemon.
    pub(super) fn observe_direct_answer(&self, address: SocketAddr) {
        self.paths.borrow_mut().record_answer(self.now(), address);
    }

    /// Finds out in the background whether an endpoint accepts connections.
    pub(super) fn spawn_probe(self: &Rc<Self>, address: SocketAddr) {
        let gateway = Rc::clone(self);
        let probe = async move {
            match gateway.open(address).await {
                Some(connection) => gateway.connections.put(address, connection),
                // Those that were opened before may be dead without a sign.
                None => gateway.connections.close_idle_to(address),
            }
        };
        self.executor.spawn(probe).detach();
    }

    /// Starts the probes that are due.
    pub(super) fn start_due_probes(self: &Rc<Self>) {
        if !self.paths.borrow().is_probe_due(self.now()) {
            return;
        }
        let view = self.view();
        let listed = view.endpoints.values().flatten().map(|it| it.address);
        let listed: Vec<SocketAddr> = listed.collect();
        let due = self.paths.borrow_mut().due_probes(self.now(), &listed);
        for address in due {
            self.spawn_probe(address);
        }
    }

    /// Returns whether the paths to most endpoints of a service are broken.
    pub(super) fn is_cut_off(&self, service: &ServiceName) -> bool {
        let view = self.shared.view.load();
        let listed = view.endpoints.get(service).into_iter().flatten();
        let paths = self.paths.borrow();
        paths.are_most_broken(listed.map(|it| it.address))
    }

    /// Returns whether an endpoint accepts connections, of this daemon or of a peer.
    pub(super) async fn is_endpoint_running(
        &self,
        service: &ServiceName,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> bool {
        let is_broken = self.paths.borrow().is_broken(address);
        if !is_broken && self.connects_to(address).await {
            return true;
        }
        hop::is_running(self, service, endpoint).await
    }
}
