//! Connections to endpoints, and the pool of idle ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use celeryknot_core::{DurationMs, ErrorKind, Timers};
use futures_lite::future;
use hyper::client::conn::http1;
use smallvec::SmallVec;
use smol::Async;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::{Domain, Protocol, Socket, Type};

use crate::read_budget::{BudgetedStream, ReadBudget};
use crate::request_body::RequestBody;

/// Limit on the idle connections that a thread keeps to one endpoint.
const IDLE_CONNECTIONS_MAX: usize = 128;

/// Idle timeout of connections whose endpoint does not announce one.
const IDLE_TIMEOUT_DEFAULT: DurationMs = DurationMs(1_000);

/// Idle time below which a connection is reused without checking its socket.
const UNCHECKED_IDLE_MAX: Duration = Duration::from_millis(5);

/// Time in which a connection must open for its endpoint to count as running.
const PROBE_TIMEOUT: DurationMs = DurationMs(400);

/// Time for which it must stay open: a process that ends may close its listening socket last.
const PROBE_OPEN_TIME: DurationMs = DurationMs(30);

/// Largest header block of a response.
const HEADER_SIZE_MAX_BYTES: usize = 64 << 10;

/// An open connection, whose I/O its current user drives.
#[derive(Debug)]
pub struct EndpointConnection {
    sender: http1::SendRequest<RequestBody>,
    /// Boxed because a connection is large and moves with each call.
    connection: Option<Box<http1::Connection<FuturesIo<BudgetedStream>, RequestBody>>>,
    read_budget: ReadBudget,
    /// Number of requests sent on it.
    requests: u32,
    idle_since: Instant,
    idle_max: DurationMs,
}

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `ConnectFailed`: no byte of a request was sent.
    pub async fn open(
        address: SocketAddr,
        timeout: DurationMs,
        timers: &Timers,
    ) -> Result<Self, ErrorKind> {
        Self::open_from(None, address, timeout, timers).await
    }

    /// Opens a connection from a local address, or from the one that the system chooses.
    ///
    /// # Errors
    ///
    /// `ConnectFailed`: no byte of a request was sent.
    pub async fn open_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout: DurationMs,
        timers: &Timers,
    ) -> Result<Self, ErrorKind> {
        let read_budget = ReadBudget::new();
        let connect = async {
            let stream = match source {
                Some(source) => connect_from(source, address).await,
                None => TcpStream::connect(address).await,
            };
            let stream = stream.map_err(|_| ErrorKind::ConnectFailed)?;
            stream
                .set_nodelay(true)
                .map_err(|_| ErrorKind::ConnectFailed)?;
            http1::Builder::new()
                .max_buf_size(HEADER_SIZE_MAX_BYTES)
                .handshake(FuturesIo::new(BudgetedStream::new(
                    stream,
                    read_budget.clone(),
                )))
                .await
                .map_err(|_| ErrorKind::ConnectFailed)
        };
        let timed_out = async {
            timers.after(timeout).await;
            Err(ErrorKind::ConnectFailed)
        };
        let (sender, connection) = future::or(connect, timed_out).await?;
        Ok(Self {
            sender,
            connection: Some(Box::new(connection)),
            read_budget,
            requests: 0,
            idle_since: Instant::now(),
            idle_max: IDLE_TIMEOUT_DEFAULT,
        })
    }

    /// Sets the idle time up to which the connection may be reused.
    pub fn set_idle_max(&mut self, idle_max: DurationMs) {
        self.idle_max = idle_max;
    }

    /// Returns whether an earlier request was sent on the connection, so that what arrives without a
    /// request id may belong to that.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Counts a request that is sent on the connection.
    pub(crate) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    pub(crate) fn sender(&mut self) -> &mut http1::SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Records that the head or data of a response has arrived, or that a request is sent.
    pub(crate) fn start_part(&self) {
        self.read_budget.start_part();
    }

    /// Drives the connection's I/O; afterwards `is_open` returns whether it is still open.
    pub(crate) fn poll_io(&mut self, context: &mut Context<'_>) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        self.read_budget.start_poll();
        if Pin::new(connection.as_mut()).poll(context).is_ready() {
            self.connection = None;
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Returns whether the connection stays open for a time.
    async fn stays_open(&mut self, time: DurationMs, timers: &Timers) -> bool {
        let closed = future::poll_fn(|context| {
            self.poll_io(context);
            match self.is_open() {
                true => Poll::Pending,
                false => Poll::Ready(false),
            }
        });
        let elapsed = async {
            timers.after(time).await;
            true
        };
        future::or(closed, elapsed).await
    }

    /// Returns whether the connection can send a request now.
    async fn is_usable(&mut self) -> bool {
        future::poll_fn(|context| {
            self.poll_io(context);
            Poll::Ready(())
        })
        .await;
        self.is_open() && self.sender.is_ready()
    }
}

/// Connects from a local address.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    // A non-blocking socket reports that it has begun to connect.
    drop(socket.connect(&address.into()));
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(TcpStream::from(stream)),
    }
}

/// Returns whether an endpoint accepts a connection, from a local address if one is given, and keeps
/// it open.
pub async fn is_running(source: Option<IpAddr>, address: SocketAddr, timers: &Timers) -> bool {
    match EndpointConnection::open_from(source, address, PROBE_TIMEOUT, timers).await {
        Ok(mut probe) => probe.stays_open(PROBE_OPEN_TIME, timers).await,
        Err(_) => false,
    }
}

/// A thread's pool of idle connections.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    timers: Timers,
    idle: Rc<RefCell<HashMap<SocketAddr, SmallVec<[EndpointConnection; 4]>>>>,
}

impl ConnectionPool {
    /// Creates an empty pool that uses the thread's timers.
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            idle: Rc::default(),
        }
    }

    /// Returns the thread's timers.
    pub fn timers(&self) -> &Timers {
        &self.timers
    }

    /// Takes the most recently used connection that is usable and idle for less than `idle_max`.
    pub async fn take(
        &self,
        address: SocketAddr,
        idle_max: DurationMs,
    ) -> Option<EndpointConnection> {
        loop {
            let mut connection = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            let idle = connection.idle_since.elapsed();
            if idle < UNCHECKED_IDLE_MAX {
                return Some(connection);
            }
            let idle_max = idle_max.min(connection.idle_max);
            if idle < idle_max.as_std() && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool after the end of its response.
    pub fn put(&self, address: SocketAddr, mut connection: EndpointConnection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() == IDLE_CONNECTIONS_MAX {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that exceeded their idle timeout.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                connection.idle_since.elapsed() < connection.idle_max.as_std()
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address, after one of them turned out to be dead.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle
            .borrow()
            .values()
            .map(|connections| connections.len())
            .sum()
    }
}
