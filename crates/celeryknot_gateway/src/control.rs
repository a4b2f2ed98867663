//! The control thread: follows the store, publishes the view, serves peers, probes and metrics.

mod long_polls;
mod peer_polls;
mod probes;
mod publisher;
mod watch;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use celeryknot_callers::executor::ThreadRuntime;
use celeryknot_peers::relay;
use futures_lite::future;

use crate::members::READER_COUNT;
use crate::platform_protocol::PlatformProtocol;
use crate::shared::{Shared, Signal};

pub(crate) use publisher::Publisher;

/// Interval of time-based work, such as expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The sockets that the control thread listens on.
#[derive(Debug)]
pub(crate) struct ControlSockets {
    pub(crate) readiness: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) operators: Option<TcpListener>,
}

/// Runs the control thread until `stop` is signaled.
pub(crate) fn run_control<P: PlatformProtocol>(
    shared: Arc<Shared>,
    sockets: ControlSockets,
    stop: Signal,
) {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let publisher = Rc::new(Publisher::new(Arc::clone(&shared)));
    future::block_on(runtime.run(async {
        let watch = watch::watch_store::<P>(Arc::clone(&shared), Rc::clone(&publisher));
        executor.spawn(watch).detach();
        match relay::listen(runtime.local_executor(), sockets.peers) {
            Ok(polls) => {
                let accept_polls = long_polls::accept_polls(polls, Rc::clone(&publisher));
                executor.spawn(accept_polls).detach();
            }
            Err(error) => tracing::error!(%error, "the peers' listener can't be used"),
        }
        for rank in 0..READER_COUNT {
            let local = Rc::clone(runtime.local_executor());
            let polls = peer_polls::poll_peer::<P>(local, Rc::clone(&publisher), rank);
            executor.spawn(polls).detach();
        }
        let probes = [Some(sockets.readiness), sockets.operators];
        for listener in probes.into_iter().flatten() {
            let probes = probes::serve(executor.clone(), listener, Arc::clone(&shared));
            executor.spawn(probes).detach();
        }
        executor
            .spawn(receive_traffic_updates(Rc::clone(&publisher)))
            .detach();
        executor.spawn(tick(publisher)).detach();
        while stop.recv().await.is_ok() {}
    }));
}

async fn receive_traffic_updates(publisher: Rc<Publisher>) {
    let updates = publisher.shared.traffic_updates.1.clone();
    while let Ok(update) = updates.recv().await {
        publisher.apply_traffic_update(update);
    }
}

async fn tick(publisher: Rc<Publisher>) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        publisher.advance();
    }
}
