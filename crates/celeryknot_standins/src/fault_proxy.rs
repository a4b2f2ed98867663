//! A TCP proxy that injects faults, by command or from a seeded plan.

mod pipe;
mod plan;

use std::net::SocketAddr;
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

/// What a new piece of data meets now.
#[derive(Debug, Clone, Default)]
struct ActiveFaults {
    delay: Duration,
    is_black_hole: bool,
    truncate_after_bytes: Option<u64>,
    segment_bytes: Option<usize>,
    reorder: Duration,
    /// Connections with a lower number are dead without a word.
    first_live_connection: u64,
    next_connection: u64,
}

#[derive(Debug)]
struct ProxyShared {
    target: SocketAddr,
    faults: Mutex<ActiveFaults>,
    /// Closed to reset every open connection.
    reset: Mutex<(Sender<()>, Receiver<()>)>,
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
        let mut reset = self.reset.lock().expect("no thread panics with the reset");
        reset.0.close();
        *reset = async_channel::bounded(1);
    }

    fn reset_signal(&self) -> Receiver<()> {
        let reset = self.reset.lock().expect("no thread panics with the reset");
        reset.1.clone()
    }
}

/// A running fault proxy.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<ProxyShared>,
    control: Server,
    accept: smol::Task<()>,
    plan: Mutex<Option<smol::Task<()>>>,
}

impl FaultProxy {
    /// Starts a proxy on `address` that passes connections on to `target`.
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
            reset: Mutex::new(async_channel::bounded(1)),
        });
        let control = Server::start(
            control_address,
            Arc::new(ControlHandler(Arc::clone(&shared))),
        )?;
        let accept = spawn(accept(
            TcpListener::try_from(listener)?,
            Arc::clone(&shared),
        ));
        Ok(Self {
            address,
            shared,
            control,
            accept,
            plan: Mutex::new(None),
        })
    }

    /// Starts a proxy on free loopback ports.
    pub fn start_before(target: SocketAddr) -> eyre::Result<Self> {
        Self::start(target, LOOPBACK, LOOPBACK)
    }

    /// Returns the address to connect to in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that takes `POST /stand-in/faults`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Injects a fault now.
    pub fn apply(&self, fault: Fault) {
        self.shared.apply(fault);
    }

    /// Carries out a plan from now on, in place of an earlier one.
    pub fn run_plan(&self, plan: FaultPlan) {
        let task = spawn(run_plan(Arc::clone(&self.shared), plan));
        *self.plan.lock().expect("no thread panics with the plan") = Some(task);
    }

    /// Stops the proxy and resets its connections.
    pub async fn stop(self) {
        self.accept.cancel().await;
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

async fn accept(listener: TcpListener, shared: Arc<ProxyShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let number = {
            let mut faults = shared.faults();
            faults.next_connection += 1;
            if faults.is_black_hole {
                faults.first_live_connection = faults.next_connection;
            }
            faults.next_connection - 1
        };
        spawn(connect(Arc::clone(&shared), stream, number)).detach();
    }
}

async fn connect(shared: Arc<ProxyShared>, inbound: TcpStream, number: u64) {
    let reset = shared.reset_signal();
    // A silent connection swallows everything, so the target may as well be out of reach.
    match TcpStream::connect(shared.target).await {
        Ok(outbound) => pipe::run(shared, inbound, outbound, number, reset).await,
        Err(_) => pipe::reset(&inbound),
    }
}

/// Takes faults over HTTP.
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
