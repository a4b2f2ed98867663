//! The listening sockets of a daemon.

use std::net::TcpListener;

use celeryknot_gateway::listeners::bind;
use celeryknot_settings::DaemonSettings;

/// The bound listeners of a daemon.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts callers.
    pub callers: TcpListener,
    /// Accepts control messages from peers.
    pub peers: TcpListener,
    /// Accepts requests forwarded by peers.
    pub forwards: TcpListener,
    /// Accepts operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the configured addresses and stores the bound ones in `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that can't be bound.
    pub fn bind(settings: &mut DaemonSettings) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind(&mut settings.callers_address)?,
            peers: bind(&mut settings.peers_address)?,
            forwards: bind(&mut settings.forwards_address)?,
            operators: bind(&mut settings.operators_address)?,
        })
    }
}
