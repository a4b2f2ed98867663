//! The control thread: watches the store, publishes the view, answers probes of readiness.

mod probes;
mod publisher;
mod watch;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use celeryknot_callers::executor::ThreadRuntime;

use crate::boundary::Boundary;
use crate::shared::{Shared, Signal};

pub(crate) use publisher::Publisher;

/// Time between two looks at what has become due without news.
const TICK: Duration = Duration::from_millis(250);

/// Runs the control thread until the signal is given.
pub(crate) fn run_control<B: Boundary>(
    shared: Arc<Shared>,
    readiness: TcpListener,
    operators: Option<TcpListener>,
    stop: Signal,
) {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let publisher = Rc::new(Publisher::new(Arc::clone(&shared)));
    smol::block_on(runtime.run(async {
        let watch = watch::watch_store::<B>(Arc::clone(&shared), Rc::clone(&publisher));
        executor.spawn(watch).detach();
        let probes = probes::serve(executor.clone(), readiness, Arc::clone(&shared));
        executor.spawn(probes).detach();
        if let Some(listener) = operators {
            let probes = probes::serve(executor.clone(), listener, Arc::clone(&shared));
            executor.spawn(probes).detach();
        }
        executor.spawn(tick(publisher)).detach();
        while stop.recv().await.is_ok() {}
    }));
}

async fn tick(publisher: Rc<Publisher>) {
    loop {
        smol::Timer::after(TICK).await;
        publisher.advance();
    }
}
