//! The control thread: hears news of the store, publishes the view, answers probes and peers.

mod news;
mod probes;
mod publisher;
mod questions;
mod watch;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use celeryknot_callers::executor::ThreadRuntime;
use celeryknot_peers::relay;

use crate::boundary::Boundary;
use crate::members::READERS;
use crate::shared::{Shared, Signal};

pub(crate) use publisher::Publisher;

/// Time between two looks at what has become due without news.
const TICK: Duration = Duration::from_millis(50);

/// The sockets that the control thread listens on.
#[derive(Debug)]
pub(crate) struct ControlSockets {
    pub(crate) readiness: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) operators: Option<TcpListener>,
}

/// Runs the control thread until the signal is given.
pub(crate) fn run_control<B: Boundary>(shared: Arc<Shared>, sockets: ControlSockets, stop: Signal) {
    let runtime = ThreadRuntime::new();
    let executor = runtime.executor();
    let publisher = Rc::new(Publisher::new(Arc::clone(&shared)));
    smol::block_on(runtime.run(async {
        let watch = watch::watch_store::<B>(Arc::clone(&shared), Rc::clone(&publisher));
        executor.spawn(watch).detach();
        match relay::listen(runtime.local_executor(), sockets.peers) {
            Ok(calls) => {
                let answers = questions::take_questions(calls, Rc::clone(&publisher));
                executor.spawn(answers).detach();
            }
            Err(error) => tracing::error!(%error, "the peers' listener can't be used"),
        }
        for place in 0..READERS {
            let local = Rc::clone(runtime.local_executor());
            let news = news::follow_peers::<B>(local, Rc::clone(&publisher), place);
            executor.spawn(news).detach();
        }
        let probes = [Some(sockets.readiness), sockets.operators];
        for listener in probes.into_iter().flatten() {
            let probes = probes::serve(executor.clone(), listener, Arc::clone(&shared));
            executor.spawn(probes).detach();
        }
        executor.spawn(take_news(Rc::clone(&publisher))).detach();
        executor.spawn(tick(publisher)).detach();
        while stop.recv().await.is_ok() {}
    }));
}

async fn take_news(publisher: Rc<Publisher>) {
    let heard = publisher.shared.news_heard.1.clone();
    while let Ok(news) = heard.recv().await {
        publisher.take_heard(news);
    }
}

async fn tick(publisher: Rc<Publisher>) {
    loop {
        smol::Timer::after(TICK).await;
        publisher.advance();
    }
}
