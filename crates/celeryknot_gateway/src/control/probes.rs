//! Serves the balancer's readiness probes and the operators' metrics.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryknot_callers::ThreadExecutor;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Async;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::shared::Shared;

/// Maximum lifetime of a connection, so that stalled connections are released.
const CONNECTION_LIFETIME_MAX: Duration = Duration::from_secs(60);

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves a listener for as long as the thread runs.
pub(super) async fn serve(executor: ThreadExecutor, listener: TcpListener, shared: Arc<Shared>) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, "a listener can't be used");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(TcpStream::from(stream), Arc::clone(&shared));
                executor.spawn(connection).detach();
            }
            Err(error) => {
                tracing::debug!(%error, "failed to accept a connection");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |request| {
        let answer = answer(&shared, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = async {
        let served = http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await;
        if let Err(error) = served {
            tracing::debug!(%error, "probe connection failed");
        }
    };
    let expiry = async {
        smol::Timer::after(CONNECTION_LIFETIME_MAX).await;
    };
    connection.or(expiry).await;
}

fn answer<T>(shared: &Shared, request: &Request<T>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/readyz" if shared.is_ready() => (StatusCode::OK, "ready\n"),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/livez" => (StatusCode::OK, "live\n"),
        "/metrics" => return Response::new(Full::new(shared.render_metrics().into())),
        _ => (StatusCode::NOT_FOUND, "paths: /livez /readyz /metrics\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}
