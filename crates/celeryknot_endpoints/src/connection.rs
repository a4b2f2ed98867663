//! Connections to endpoints, and those that may be used again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use celeryknot_core::{DurationMs, ErrorKind, Timers};
use futures_lite::future;
use hyper::client::conn::http1;
use smallvec::SmallVec;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::request_body::RequestBody;

/// Most idle connections to one endpoint that a thread keeps.
const IDLE_MAX: usize = 128;

/// Longest time that an idle connection is kept whose endpoint did not say how long it keeps it.
const IDLE_LIFE: DurationMs = DurationMs(1_000);

/// Idle time up to which a connection is used again without a look at its socket.
const JUST_USED: Duration = Duration::from_millis(5);

/// Longest header block of an answer.
const HEADER_SIZE_MAX_BYTES: usize = 64 << 10;

/// One open connection, driven by whoever holds it.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<RequestBody>,
    /// On the heap, since a connection is large and changes hands with each call.
    connection: Option<Box<http1::Connection<FuturesIo<TcpStream>, RequestBody>>>,
    idle_since: Instant,
    idle_max: DurationMs,
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `ConnectFailed`: no byte of any request was sent.
    pub async fn open(
        address: SocketAddr,
        timeout: DurationMs,
        timers: &Timers,
    ) -> Result<Self, ErrorKind> {
        let connect = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|_| ErrorKind::ConnectFailed)?;
            stream
                .set_nodelay(true)
                .map_err(|_| ErrorKind::ConnectFailed)?;
            http1::Builder::new()
                .max_buf_size(HEADER_SIZE_MAX_BYTES)
                .handshake(FuturesIo::new(stream))
                .await
                .map_err(|_| ErrorKind::ConnectFailed)
        };
        let give_up = async {
            timers.after(timeout).await;
            Err(ErrorKind::ConnectFailed)
        };
        let (sender, connection) = future::or(connect, give_up).await?;
        Ok(Self {
            sender,
            connection: Some(Box::new(connection)),
            idle_since: Instant::now(),
            idle_max: IDLE_LIFE,
        })
    }

    /// Sets how long the connection may be idle and still be used again.
    pub fn set_idle_max(&mut self, idle_max: DurationMs) {
        self.idle_max = idle_max;
    }

    pub(crate) fn sender(&mut self) -> &mut http1::SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Moves bytes; afterwards `is_open` tells whether the connection still stands.
    pub(crate) fn poll_io(&mut self, context: &mut Context<'_>) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if Pin::new(connection.as_mut()).poll(context).is_ready() {
            self.connection = None;
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Tells whether the connection can take a request now.
    async fn is_usable(&mut self) -> bool {
        future::poll_fn(|context| {
            self.poll_io(context);
            Poll::Ready(())
        })
        .await;
        self.is_open() && self.sender.is_ready()
    }
}

/// The idle connections of one thread.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    timers: Timers,
    idle: Rc<RefCell<HashMap<SocketAddr, SmallVec<[Link; 4]>>>>,
}

impl Connections {
    /// Builds an empty set whose timeouts are the thread's.
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            idle: Rc::default(),
        }
    }

    /// Returns the thread's timeouts.
    pub fn timers(&self) -> &Timers {
        &self.timers
    }

    /// Takes the connection that was used last, if it was idle for less than the given time.
    pub async fn take(&self, address: SocketAddr, idle_max: DurationMs) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            let idle = link.idle_since.elapsed();
            if idle < JUST_USED {
                return Some(link);
            }
            let idle_max = idle_max.min(link.idle_max);
            if idle < idle_max.as_std() && link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Keeps a connection whose last answer has ended.
    pub fn keep(&self, address: SocketAddr, mut link: Link) {
        link.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(address).or_default();
        if links.len() == IDLE_MAX {
            links.remove(0);
        }
        links.push(link);
    }

    /// Closes connections that have been idle for long.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| link.idle_since.elapsed() < link.idle_max.as_std());
            !links.is_empty()
        });
    }

    /// Closes all idle connections to an address, because one of them proved dead.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(|links| links.len()).sum()
    }
}
