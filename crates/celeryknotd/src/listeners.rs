//! The sockets that a daemon listens on.

use std::net::{SocketAddr, TcpListener};

use celeryknot_settings::DaemonSettings;
use eyre::WrapErr;
use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

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

fn bind(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = bind_socket(*address).wrap_err_with(|| format!("can't listen on {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

fn bind_socket(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restarted daemon takes its port back while old connections linger in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
