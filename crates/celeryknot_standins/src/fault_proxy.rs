//! A TCP proxy that injects faults, on request or from a seeded plan.

mod packet_filter;
mod pipe;
mod plan;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use eyre::WrapErr;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

pub use self::plan::{Fault, FaultPlan, FaultStep};
use crate::LOOPBACK;
use crate::executor::spawn;
use crate::server::{Aborted, Answer, Handler, Server, empty, into_answer, read_json};

/// The faults that apply to new data.
#[derive(Debug, Clone, Default)]
struct ActiveFaults {
    delay: Duration,
    is_black_hole: bool,
    truncate_after_bytes: Option<u64>,
    segment_bytes: Option<usize>,
    reorder: Duration,
    /// Connections with a lower number stay open, but forward nothing.
    first_live_connection: u64,
    next_connection: u64,
}

#[derive(Debug)]
struct ProxyShared {
    target: SocketAddr,
    faults: Mutex<ActiveFaults>,
    /// Closing the channel resets every open connection.
    reset_channel: Mutex<(Sender<()>, Receiver<()>)>,
    listener: TcpListener,
    /// The accepted connections by number, until they end.
    accepted: Mutex<HashMap<u64, TcpStream>>,
}

impl ProxyShared {
    fn faults(&self) -> MutexGuard<'_, ActiveFaults> {
        self.faults
            .lock()
            .expect("no thread panics while it holds the faults")
    }

    fn apply(&self, fault: Fault) {
        let mut faults = self.faults();
        match fault {
            Fault::Heal => {
                *faults = ActiveFaults {
                    first_live_connection: faults.first_live_connection,
                    next_connection: faults.next_connection,
                    ..ActiveFaults::default()
                };
            }
            Fault::Delay { ms } => faults.delay = Duration::from_millis(ms),
            Fault::Reset => {
                drop(faults);
                self.reset_connections();
            }
            Fault::SilentDrop => faults.first_live_connection = faults.next_connection,
            Fault::BlackHole => {
                faults.is_black_hole = true;
                faults.first_live_connection = faults.next_connection;
            }
            Fault::Truncate { after_bytes } => faults.truncate_after_bytes = Some(after_bytes),
            Fault::Split { segment_bytes } => {
                faults.segment_bytes = Some(segment_bytes.max(1));
            }
            Fault::Reorder { ms } => faults.reorder = Duration::from_millis(ms),
        }
    }

    fn reset_connections(&self) {
        let mut reset_channel = self
            .reset_channel
            .lock()
            .expect("no thread panics while it holds the channel");
        reset_channel.0.close();
        *reset_channel = async_channel::bounded(1);
    }

    fn accepted(&self) -> MutexGuard<'_, HashMap<u64, TcpStream>> {
        self.accepted
            .lock()
            .expect("no thread panics while it holds the connections")
    }

    fn reset_signal(&self) -> Receiver<()> {
        let reset_channel = self
            .reset_channel
            .lock()
            .expect("no thread panics while it holds the channel");
        reset_channel.1.clone()
    }
}

/// A running fault proxy.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<ProxyShared>,
    control: Server,
    accept_task: smol::Task<()>,
    plan_task: Mutex<Option<smol::Task<()>>>,
}

impl FaultProxy {
    /// Starts a proxy that forwards connections from `address` to `target`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::{Engine, EngineOptions, Fault, FaultProxy, LOOPBACK};
    ///
    /// let engine = Engine::start(EngineOptions::default(), LOOPBACK)?;
    /// let proxy = FaultProxy::start(engine.address(), LOOPBACK, LOOPBACK)?;
    /// proxy.apply(Fault::Delay { ms: 20 });
    /// assert_ne!(proxy.address(), engine.address());
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start(
        target: SocketAddr,
        address: SocketAddr,
        control_address: SocketAddr,
    ) -> eyre::Result<Self> {
        let listener = std::net::TcpListener::bind(address)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(ProxyShared {
            target,
            faults: Mutex::new(ActiveFaults::default()),
            reset_channel: Mutex::new(async_channel::bounded(1)),
            listener: TcpListener::try_from(listener)?,
            accepted: Mutex::default(),
        });
        let control = Server::start(
            control_address,
            Arc::new(ControlHandler(Arc::clone(&shared))),
        )?;
        let accept_task = spawn(accept(Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            control,
            accept_task,
            plan_task: Mutex::new(None),
        })
    }

    /// Starts a proxy for `target` on free loopback ports.
    pub fn start_on_loopback(target: SocketAddr) -> eyre::Result<Self> {
        Self::start(target, LOOPBACK, LOOPBACK)
    }

    /// Returns the address that forwards to the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that serves `POST /stand-in/faults`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Injects a fault at once.
    pub fn apply(&self, fault: Fault) {
        self.shared.apply(fault);
    }

    /// Drops all packets from these IPv4 addresses, and lets those from others pass again: their open
    /// connections are silent, and new ones hang.
    ///
    /// # Errors
    ///
    /// The system doesn't take the filter.
    pub fn cut_off(&self, sources: &[Ipv4Addr]) -> eyre::Result<()> {
        let filter = packet_filter::dropping(sources);
        packet_filter::set(&self.shared.listener, &filter)?;
        // Connections from other addresses pass the filter.
        let accepted = self.shared.accepted();
        accepted
            .values()
            .try_for_each(|stream| packet_filter::set(stream, &filter))
    }

    /// Starts a plan of faults, which replaces an earlier one.
    pub fn run_plan(&self, plan: FaultPlan) {
        let task = spawn(run_plan(Arc::clone(&self.shared), plan));
        *self
            .plan_task
            .lock()
            .expect("no thread panics while it holds the task") = Some(task);
    }

    /// Stops the proxy and resets its connections.
    pub async fn stop(self) {
        self.accept_task.cancel().await;
        self.shared.reset_connections();
        self.control.stop().await;
    }
}

async fn run_plan(shared: Arc<ProxyShared>, plan: FaultPlan) {
    let start = std::time::Instant::now();
    for step in plan.steps {
        Timer::at(start + Duration::from_millis(step.at_ms)).await;
        shared.apply(step.fault);
    }
}

async fn accept(shared: Arc<ProxyShared>) {
    loop {
        let Ok((stream, _)) = shared.listener.accept().await else {
            return;
        };
        let connection_number = {
            let mut faults = shared.faults();
            faults.next_connection += 1;
            if faults.is_black_hole {
                faults.first_live_connection = faults.next_connection;
            }
            faults.next_connection - 1
        };
        spawn(connect(Arc::clone(&shared), stream, connection_number)).detach();
    }
}

async fn connect(shared: Arc<ProxyShared>, inbound: TcpStream, connection_number: u64) {
    let reset = shared.reset_signal();
    shared.accepted().insert(connection_number, inbound.clone());
    // Silent connections need no target, but connect to it like the others.
    match TcpStream::connect(shared.target).await {
        Ok(outbound) => {
            let proxy = Arc::clone(&shared);
            pipe::run(proxy, inbound, outbound, connection_number, reset).await;
        }
        Err(_) => pipe::reset(&inbound),
    }
    // Closes the connection.
    shared.accepted().remove(&connection_number);
}

/// Accepts plans of faults over HTTP.
struct ControlHandler(Arc<ProxyShared>);

impl ControlHandler {
    async fn route(&self, request: Request<Incoming>) -> Result<Answer, StatusCode> {
        if request.method() != http::Method::POST || request.uri().path() != "/stand-in/faults" {
            return Err(StatusCode::NOT_FOUND);
        }
        let plan: FaultPlan = read_json(request.into_body()).await?;
        spawn(run_plan(Arc::clone(&self.0), plan)).detach();
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

impl Handler for ControlHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Aborted> {
        into_answer(self.route(request).await)
    }
}
