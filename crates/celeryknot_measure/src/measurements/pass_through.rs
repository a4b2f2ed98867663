//! A minimal proxy on the same libraries, without routing: the reference for the daemon's cost.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use async_channel::Sender;
use celeryknot_standins::LOOPBACK;
use futures_lite::{FutureExt, future};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use smol::net::TcpStream;
use smol::{Async, LocalExecutor};
use smol_hyper::rt::FuturesIo;
use std::rc::Rc;

/// The name of the proxy's only thread.
pub(super) const THREAD_NAME: &str = "pass-through";

/// A running pass-through proxy.
#[derive(Debug)]
pub(super) struct PassThrough {
    pub(super) address: SocketAddr,
    stop: Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PassThrough {
    /// Starts the proxy in front of one address, on one thread.
    pub(super) fn start(target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(LOOPBACK)?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                let stop = async {
                    // `stop` closes the channel and never sends.
                    let _ = stopped.recv().await;
                };
                let accept = accept(Rc::clone(&executor), listener, target);
                smol::block_on(executor.run(accept.or(stop)));
            })?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    pub(super) fn stop(mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the proxy thread does not panic");
        }
    }
}

/// Idle connections to the target.
type IdleConnections = Arc<Mutex<Vec<SendRequest<Incoming>>>>;

async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    target: SocketAddr,
) {
    let idle = IdleConnections::default();
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(stream) =
            TcpStream::try_from(stream.into_inner().expect("the stream can be deregistered"))
        else {
            continue;
        };
        // Without TCP_NODELAY the measurement still works.
        let _ = stream.set_nodelay(true);
        let (idle, request_executor) = (Arc::clone(&idle), Rc::clone(&executor));
        executor
            .spawn(async move {
                let service = service_fn(move |request| {
                    forward(
                        Rc::clone(&request_executor),
                        Arc::clone(&idle),
                        target,
                        request,
                    )
                });
                let io = FuturesIo::new(stream);
                // A connection ends with an error when its caller closes it.
                let _ = server::Builder::new().serve_connection(io, service).await;
            })
            .detach();
    }
    future::pending().await
}

async fn forward(
    executor: Rc<LocalExecutor<'static>>,
    idle: IdleConnections,
    target: SocketAddr,
    request: Request<Incoming>,
) -> eyre::Result<Response<Incoming>> {
    let pooled = idle.lock().expect("only one thread uses the pool").pop();
    let mut sender = match pooled.filter(SendRequest::is_ready) {
        Some(sender) => sender,
        None => connect(&executor, target).await?,
    };
    let answer = sender.send_request(request).await?;
    let return_to_pool = async move {
        // The connection is idle again once the response has been forwarded.
        if sender.ready().await.is_ok() {
            idle.lock()
                .expect("only one thread uses the pool")
                .push(sender);
        }
    };
    executor.spawn(return_to_pool).detach();
    Ok(answer)
}

async fn connect(
    executor: &LocalExecutor<'static>,
    target: SocketAddr,
) -> eyre::Result<SendRequest<Incoming>> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::handshake(FuturesIo::new(stream)).await?;
    executor
        .spawn(async move {
            // The request reports a failure of the connection.
            let _ = connection.await;
        })
        .detach();
    Ok(sender)
}
