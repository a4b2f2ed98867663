//! One traffic thread: accepts connections, admits requests, and polls loads until shutdown.

use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_channel::Receiver;
use celeryknot_callers::ConnectionTimeouts;
use celeryknot_callers::executor::ThreadRuntime;
use celeryknot_callers::server::{ConnectionContext, serve_connection};
use celeryknot_core::DurationMs;
use futures_lite::future;
use smol::Async;
use smol::net::TcpStream;

use super::admission::AdmissionActor;
use super::context::ThreadContext;
use super::entry::serve_caller;
use super::load_poll::poll_loads;
use super::peer_server::serve_peer;
use super::permit::AdmissionMessage;
use super::shared::{CountGuard, Shared, Signal, wait_for_signal};
use super::ticket_actor::{TicketMessage, run_ticket_actor};

/// Retry delay after a failed accept.
const ACCEPT_RETRY_DELAY: DurationMs = DurationMs(20);

/// Limits the open connections of other daemons.
const PEER_CONNECTIONS_MAX: u64 = 16_384;

/// Listeners and channels of one thread.
#[derive(Debug)]
pub(crate) struct TrafficThreadConfig {
    pub(crate) index: usize,
    pub(crate) callers: TcpListener,
    pub(crate) forwards: TcpListener,
    pub(crate) admission_receiver: Receiver<AdmissionMessage>,
    /// Set only for the thread that runs the ticket actor.
    pub(crate) ticket_receiver: Option<Receiver<TicketMessage>>,
}

/// Runs one traffic thread until the kill signal.
pub(crate) fn run_traffic_thread(config: TrafficThreadConfig, shared: Arc<Shared>) {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let context = ThreadContext::new(config.index, shared, executor.clone());
    smol::block_on(runtime.run(async {
        let admission_actor =
            AdmissionActor::new(Rc::clone(&context)).run(config.admission_receiver);
        executor.spawn(admission_actor).detach();
        executor.spawn(poll_loads(Rc::clone(&context))).detach();
        if let Some(messages) = config.ticket_receiver {
            let name = context.shared.settings.name.clone();
            let tickets_held = context.shared.metrics.traffic.tickets_held.clone();
            let ticket_actor =
                run_ticket_actor(name, context.shared.incarnation, messages, tickets_held);
            executor.spawn(ticket_actor).detach();
        }
        let callers = accept_callers(Rc::clone(&context), config.callers);
        executor.spawn(callers).detach();
        let peers = accept_peers(Rc::clone(&context), config.forwards);
        executor.spawn(peers).detach();
        wait_for_signal(&context.shared.shutdown.kill).await;
    }));
}

async fn accept_callers(context: Rc<ThreadContext>, listener: TcpListener) {
    let shared = Arc::clone(&context.shared);
    let connections_max = u64::from(shared.settings.connections_max);
    let serve = |stream: TcpStream| {
        let Some(count_guard) = CountGuard::try_new(&shared.connections, connections_max) else {
            shared.metrics.traffic.connections_refused.inc();
            return;
        };
        let context = Rc::clone(&context);
        let connection = connection_context(&context, &shared.shutdown.callers);
        let executor = context.executor.clone();
        executor
            .spawn(async move {
                let handler = move |request| serve_caller(Rc::clone(&context), request);
                let result = serve_connection(stream, &connection, handler).await;
                log_connection_end(result);
                drop(count_guard);
            })
            .detach();
    };
    accept(listener, &shared.shutdown.callers, serve).await;
}

async fn accept_peers(context: Rc<ThreadContext>, listener: TcpListener) {
    let shared = Arc::clone(&context.shared);
    let serve = |stream: TcpStream| {
        let counter: &Arc<AtomicU64> = &shared.peer_connections;
        let Some(count_guard) = CountGuard::try_new(counter, PEER_CONNECTIONS_MAX) else {
            return;
        };
        let context = Rc::clone(&context);
        let connection = connection_context(&context, &shared.shutdown.peers);
        let executor = context.executor.clone();
        executor
            .spawn(async move {
                let handler = move |request| serve_peer(Rc::clone(&context), request);
                let result = serve_connection(stream, &connection, handler).await;
                log_connection_end(result);
                drop(count_guard);
            })
            .detach();
    };
    accept(listener, &shared.shutdown.peers, serve).await;
}

fn connection_context(
    context: &ThreadContext,
    shutdown: &Receiver<Infallible>,
) -> ConnectionContext {
    ConnectionContext {
        executor: context.executor.clone(),
        timers: context.timers.clone(),
        limits: context.limits.clone(),
        timeouts: ConnectionTimeouts::new(&context.limits),
        shutdown: shutdown.clone(),
    }
}

fn log_connection_end(result: eyre::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended early");
    }
}

/// Accepts connections until the signal fires.
async fn accept(listener: TcpListener, stop: &Signal, serve: impl Fn(TcpStream)) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "cannot use listener");
            return;
        }
    };
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => serve(TcpStream::from(stream)),
                // Accepting fails while file descriptors run out; some may become free.
                Err(_) => {
                    smol::Timer::after(ACCEPT_RETRY_DELAY.as_std()).await;
                }
            }
        }
    };
    future::or(accept, wait_for_signal(stop)).await;
}
