//! The sockets that a gateway listens on.

use std::net::{SocketAddr, TcpListener};

use celeryknot_settings::GatewaySettings;
use eyre::WrapErr;
use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The bound sockets of one gateway.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) readiness: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) hop: Option<TcpListener>,
    pub(crate) operators: Option<TcpListener>,
}

impl Listeners {
    /// Binds the configured addresses and replaces them with the bound ones.
    pub(crate) fn bind(settings: &mut GatewaySettings) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind(&mut settings.callers_address)?,
            readiness: bind(&mut settings.readiness_address)?,
            peers: bind(&mut settings.peers_address)?,
            hop: bind_optional(&mut settings.hop_address)?,
            operators: bind_optional(&mut settings.operators_address)?,
        })
    }
}

fn bind_optional(address: &mut Option<SocketAddr>) -> eyre::Result<Option<TcpListener>> {
    address.as_mut().map(bind).transpose()
}

/// Binds a non-blocking listening socket and replaces `address` with the bound one.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = bind_socket(*address).wrap_err_with(|| format!("can't listen on {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

fn bind_socket(address: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // Lets a restarted daemon rebind its port while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
