//! The traffic thread: forwards callers' requests to endpoints and their responses back.

mod admission;
mod body;
mod call;
mod context;
mod crash_watch;
mod forward;
mod hop;
mod paths;
mod resume;
mod retry_delay;
mod send;
mod serve;
mod shutdown;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use async_channel::Receiver;
use celeryknot_callers::executor::ThreadRuntime;
use celeryknot_callers::server::{ConnectionContext, is_connection_timeout, serve_connection};
use celeryknot_callers::{CallerLimits, ConnectionTimeouts};
use celeryknot_core::DurationMs;
use futures_lite::future;
use smol::Async;
use smol::net::TcpStream;

use crate::count_guard::CountGuard;
use crate::platform_protocol::PlatformProtocol;
use crate::shared::{PeerUpdate, Shared, Signal};
use context::TrafficThread;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: DurationMs = DurationMs(20);

/// Resolution of the thread's timers.
const TIMER_INTERVAL: DurationMs = DurationMs(10);

/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: DurationMs = DurationMs(500);

/// The sockets that the traffic thread listens on.
#[derive(Debug)]
pub(crate) struct TrafficSockets {
    pub(crate) callers: TcpListener,
    pub(crate) hop: Option<TcpListener>,
}

/// Runs the traffic thread until `stop` is signaled.
pub(crate) fn run_traffic<P: PlatformProtocol>(
    shared: Arc<Shared>,
    listeners: TrafficSockets,
    peer_updates: Receiver<PeerUpdate>,
    stop: Signal,
) {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let gateway = TrafficThread::new(shared, executor.clone(), peer_updates);
    future::block_on(runtime.run(async {
        executor.spawn(tick(Rc::clone(&gateway))).detach();
        let callers = accept(Rc::clone(&gateway), listeners.callers, serve_caller::<P>);
        executor.spawn(callers).detach();
        if let Some(hop) = listeners.hop {
            let peers = accept(Rc::clone(&gateway), hop, serve_peer::<P>);
            executor.spawn(peers).detach();
        }
        while stop.recv().await.is_ok() {}
        gateway.is_ending.set(true);
    }));
}

async fn tick(gateway: Rc<TrafficThread>) {
    let mut checked_at = gateway.now();
    loop {
        smol::Timer::after(TIMER_INTERVAL.as_std()).await;
        let now = gateway.now();
        gateway.timers.advance(now);
        gateway.signal_final_answers();
        gateway.start_due_probes();
        gateway.poll_admission();
        if now - checked_at >= IDLE_CHECK_INTERVAL {
            checked_at = now;
            gateway.connections.close_idle();
            gateway.update_rate_limit_count();
            gateway.update_zone_overflow();
            gateway.update_slow_endpoint_count();
        }
    }
}

async fn accept(
    gateway: Rc<TrafficThread>,
    listener: TcpListener,
    serve: impl Fn(&Rc<TrafficThread>, TcpStream, SocketAddr),
) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "a listener can't be used");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, client)) => serve(&gateway, TcpStream::from(stream), client),
            // Accepting fails while no file descriptor is available; others may be released.
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                smol::Timer::after(ACCEPT_RETRY_DELAY.as_std()).await;
            }
        }
    }
}

fn serve_caller<P: PlatformProtocol>(
    gateway: &Rc<TrafficThread>,
    stream: TcpStream,
    caller: SocketAddr,
) {
    let connections_max = u64::from(gateway.shared.settings.connections_max);
    let Some(count_guard) = CountGuard::try_new(&gateway.shared.connections, connections_max)
    else {
        tracing::warn!("connection limit reached; closed a new connection");
        return;
    };
    let gateway = Rc::clone(gateway);
    let connection = connection_context(&gateway, gateway.caller_limits());
    let executor = gateway.executor.clone();
    let serve = async move {
        let handler =
            move |request| serve::serve_request::<P>(Rc::clone(&gateway), caller, request);
        match serve_connection(stream, &connection, handler).await {
            Ok(()) => {}
            Err(error) if is_connection_timeout(&error) => {
                let reason = format!("{error:#}");
                tracing::info!(%caller, reason, "caller connection timed out");
            }
            Err(error) => tracing::debug!(%caller, %error, "caller connection failed"),
        }
        drop(count_guard);
    };
    executor.spawn(serve).detach();
}

fn connection_context(gateway: &TrafficThread, limits: CallerLimits) -> ConnectionContext {
    ConnectionContext {
        executor: gateway.executor.clone(),
        timers: gateway.timers.clone(),
        limits,
        timeouts: gateway.connection_timeouts.clone(),
        shutdown: match gateway.shared.drain_connections.is_closed() {
            // A connection opened after the signal closes after its first response.
            true => gateway.never_closed.clone(),
            false => gateway.shared.drain_connections.clone(),
        },
    }
}

/// Serves a connection of a daemon that can't reach endpoints itself; closes any other one.
fn serve_peer<P: PlatformProtocol>(
    gateway: &Rc<TrafficThread>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let view = gateway.shared.view.load();
    let mut peers = view.peers.iter();
    if !peers.any(|known| known.address.ip() == peer.ip()) {
        tracing::warn!(%peer, "closed a connection of an unknown peer");
        return;
    }
    // Shutdown waits for attempts of peers as for requests of callers.
    let count_guard = CountGuard::new(&gateway.shared.connections);
    let gateway = Rc::clone(gateway);
    let limits = gateway.peer_limits();
    let connection = ConnectionContext {
        // Peers close idle connections first.
        timeouts: ConnectionTimeouts::new(&limits),
        ..connection_context(&gateway, limits)
    };
    let executor = gateway.executor.clone();
    let serve = async move {
        let handler = move |request| hop::serve_attempt::<P>(Rc::clone(&gateway), request);
        if let Err(error) = serve_connection(stream, &connection, handler).await {
            tracing::debug!(%peer, %error, "connection of a peer ended");
        }
        drop(count_guard);
    };
    executor.spawn(serve).detach();
}
