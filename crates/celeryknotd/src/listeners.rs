//! The sockets that a daemon listens on.

use std::net::TcpListener;

use celeryknot_gateway::listeners::bind;
use celeryknot_settings::DaemonSettings;

/// The bound sockets of one daemon.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For messages of other daemons.
    pub peers: TcpListener,
    /// For requests of other daemons.
    pub forwards: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings and writes the bound ones back.
    ///
    /// # Errors
    ///
    /// Names the address that could not be bound.
    pub fn bind(settings: &mut DaemonSettings) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind(&mut settings.callers_address)?,
            peers: bind(&mut settings.peers_address)?,
            forwards: bind(&mut settings.forwards_address)?,
            operators: bind(&mut settings.operators_address)?,
        })
    }
}
