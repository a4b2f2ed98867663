//! Accepts and serves streams that peers open to this daemon.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use celeryknot_core::{Incarnation, MemberName};
use celeryknot_fleet::Message;
use celeryknot_platform::{ByteMeter, MeteredStream};
use futures_lite::future;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use smol::net::TcpStream;
use smol::{Async, LocalExecutor, Task, Timer};
use smol_hyper::rt::FuturesIo;
use tonic::{Status, Streaming};

use crate::executor::LocalSpawner;
use crate::handshake::{HandshakeError, Side, Transcript, VersionRange, generate_nonce};
use crate::outbound::HANDSHAKE_TIMEOUT;
use crate::peers::{PeerEvent, PeersConfig};
use crate::service::{AcceptedStream, ExchangeService, handle_request};
use crate::wire::{Body, Envelope, Hello, Welcome};

/// Time without a message after which a stream is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(40_000);
/// Maximum number of accepted streams that wait to be served.
const PENDING_STREAMS_MAX: usize = 256;
/// Maximum number of open connections from peers.
const CONNECTIONS_MAX: usize = 1_024;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the task is dropped.
pub(crate) fn listen(
    executor: &Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    config: Rc<PeersConfig>,
    events: Sender<PeerEvent>,
    meter: Arc<ByteMeter>,
) -> eyre::Result<Task<()>> {
    let listener = smol::net::TcpListener::from(Async::new(listener)?);
    let (accepted, streams) = async_channel::bounded::<AcceptedStream>(PENDING_STREAMS_MAX);
    let spawner = LocalSpawner(Rc::downgrade(executor));
    let serve_streams = {
        let spawner = spawner.clone();
        async move {
            while let Ok(stream) = streams.recv().await {
                let inbound = InboundStream {
                    config: Rc::clone(&config),
                    events: events.clone(),
                };
                spawner.spawn(inbound.serve(stream));
            }
        }
    };
    let accept = async move {
        let service = ExchangeService { accepted };
        // Counts the open connections: each connection's task holds one clone.
        let connection_count = Rc::new(());
        loop {
            match listener.accept().await {
                Ok(_) if Rc::strong_count(&connection_count) > CONNECTIONS_MAX => {}
                Ok((socket, _)) => {
                    let guard = Rc::clone(&connection_count);
                    let connection =
                        serve_connection(spawner.clone(), socket, service.clone(), meter.clone());
                    spawner.spawn(async move {
                        connection.await;
                        drop(guard);
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a peer connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    Ok(executor.spawn(future::or(accept, serve_streams)))
}

async fn serve_connection(
    spawner: LocalSpawner,
    socket: TcpStream,
    service: ExchangeService,
    meter: Arc<ByteMeter>,
) {
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let io = FuturesIo::new(MeteredStream::new(socket, meter));
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, std::convert::Infallible>(handle_request(service, request).await) }
    });
    let result = http2::Builder::new(spawner)
        .max_concurrent_streams(Some(4))
        .serve_connection(io, handler)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "connection from a peer ended");
    }
}

/// Serves one stream.
struct InboundStream {
    config: Rc<PeersConfig>,
    events: Sender<PeerEvent>,
}

impl InboundStream {
    async fn serve(self, mut stream: AcceptedStream) {
        let authenticate = async { Some(self.authenticate(&mut stream).await) };
        let authenticated = future::or(authenticate, async {
            Timer::after(HANDSHAKE_TIMEOUT).await;
            None
        });
        let peer = match authenticated.await {
            Some(Ok(peer)) => peer,
            Some(Err(error)) => {
                tracing::debug!(%error, "rejected the handshake of a peer");
                let status = Status::unauthenticated(error.to_string());
                // A peer that has disconnected needs no status.
                drop(stream.outgoing.try_send(Err(status)));
                return;
            }
            None => return,
        };
        self.read_messages(peer, stream).await;
    }

    async fn authenticate(
        &self,
        stream: &mut AcceptedStream,
    ) -> Result<(MemberName, Incarnation), HandshakeError> {
        let envelope = read_envelope(&mut stream.incoming).await?;
        let client = Incarnation(envelope.incarnation);
        let Some(Body::Hello(hello)) = envelope.body else {
            return Err(HandshakeError::Unexpected);
        };
        let transcript = self.send_welcome(&hello, client, stream)?;
        let envelope = read_envelope(&mut stream.incoming).await?;
        let Some(Body::Proof(proof)) = envelope.body else {
            return Err(HandshakeError::Unexpected);
        };
        transcript.verify(&self.config.keys, Side::Client, &proof.auth_code)?;
        Ok((transcript.client().clone(), client))
    }

    fn send_welcome(
        &self,
        hello: &Hello,
        client: Incarnation,
        stream: &AcceptedStream,
    ) -> Result<Transcript, HandshakeError> {
        if hello.to != self.config.name.as_str() {
            return Err(HandshakeError::WrongName);
        }
        let peer_versions = VersionRange {
            min: hello.version_min,
            max: hello.version_max,
        };
        let version = self.config.versions.highest_common(peer_versions);
        let mut welcome = Welcome {
            version: version.ok_or(HandshakeError::NoCommonVersion)?,
            nonce: generate_nonce(),
            auth_code: Vec::new(),
        };
        let transcript = Transcript::new(hello, client, &welcome, self.config.incarnation)?;
        welcome.auth_code = transcript.sign(&self.config.keys, Side::Server);
        let envelope = self.envelope(0, Body::Welcome(welcome));
        let sent = stream.outgoing.try_send(Ok(envelope));
        sent.map_err(|_| HandshakeError::Unexpected)?;
        Ok(transcript)
    }

    fn envelope(&self, sequence: u64, body: Body) -> Envelope {
        Envelope {
            incarnation: self.config.incarnation.0,
            sequence,
            body: Some(body),
        }
    }

    async fn read_messages(&self, peer: (MemberName, Incarnation), mut stream: AcceptedStream) {
        let (from, incarnation) = peer;
        let mut sequence = 0;
        loop {
            let message = async { read_envelope(&mut stream.incoming).await.ok() };
            let timeout = async {
                Timer::after(READ_TIMEOUT).await;
                None
            };
            let Some(envelope) = future::or(message, timeout).await else {
                return;
            };
            let is_same_incarnation = [0, incarnation.0].contains(&envelope.incarnation);
            let is_in_order = is_same_incarnation && envelope.sequence == sequence + 1;
            if !is_in_order {
                return;
            }
            sequence = envelope.sequence;
            let is_heartbeat = matches!(envelope.body, Some(Body::Heartbeat(_)));
            if is_heartbeat {
                let ack = Envelope {
                    body: Some(Body::Ack(sequence)),
                    ..Envelope::default()
                };
                if stream.outgoing.try_send(Ok(ack)).is_err() {
                    return;
                }
            }
            if !self
                .deliver(&from, incarnation, envelope.body.as_ref())
                .await
            {
                return;
            }
        }
    }

    /// Delivers a message to the receiver of events; returns whether the stream stays open.
    async fn deliver(
        &self,
        from: &MemberName,
        incarnation: Incarnation,
        body: Option<&Body>,
    ) -> bool {
        let Some(body) = body else {
            return true;
        };
        let Ok(message) = Message::try_from(body) else {
            return true;
        };
        let event = PeerEvent::Received {
            from: from.clone(),
            incarnation,
            message,
        };
        self.events.send(event).await.is_ok()
    }
}

async fn read_envelope(incoming: &mut Streaming<Envelope>) -> Result<Envelope, HandshakeError> {
    match incoming.message().await {
        Ok(Some(envelope)) => Ok(envelope),
        Ok(None) | Err(_) => Err(HandshakeError::Unexpected),
    }
}
