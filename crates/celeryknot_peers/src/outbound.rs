//! The stream to one peer: opened for the first message, and reopened with backoff when it fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryknot_core::{Backoff, DurationMs, Incarnation, MemberName};
use celeryknot_fleet::Message;
use celeryknot_platform::{ByteMeter, MeteredStream};
use eyre::{WrapErr, bail, eyre};
use futures_lite::future;
use hyper::client::conn::http2;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use tonic::Streaming;

use crate::executor::LocalSpawner;
use crate::handshake::{Transcript, generate_nonce, verify_welcome};
use crate::peers::{PeerEvent, PeersConfig};
use crate::service::{
    EXCHANGE_PATH, Http2Channel, MESSAGE_SIZE_MAX_BYTES, STREAM_QUEUE_LEN_MAX, codec,
};
use crate::wire::{Body, Envelope, Hello};

/// Timeout for opening a connection and authenticating.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for the acknowledgement of a heartbeat, after which the stream is reopened.
const ACK_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without a message after which a stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(30_000);
const BACKOFF_MIN: DurationMs = DurationMs(100);
const BACKOFF_MAX: DurationMs = DurationMs(2_000);

/// Maintains the stream to one peer.
pub(crate) struct OutboundLink {
    pub(crate) config: Rc<PeersConfig>,
    pub(crate) spawner: LocalSpawner,
    pub(crate) events: Sender<PeerEvent>,
    pub(crate) meter: Arc<ByteMeter>,
    pub(crate) to: MemberName,
    pub(crate) address: SocketAddr,
    pub(crate) queue: Receiver<Message>,
}

/// An open, authenticated stream.
struct OpenStream {
    outgoing: Sender<Envelope>,
    incoming: Streaming<Envelope>,
    sequence: u64,
}

/// The next event on an open stream.
enum StreamEvent {
    Send(Message),
    Acked,
    Idle,
    AckTimedOut,
}

impl OutboundLink {
    /// Sends queued messages until the queue is closed or idle.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
        while let Ok(message) = self.queue.recv().await {
            let started_at = Instant::now();
            match self.run_stream(message).await {
                Ok(()) => return self.close(),
                Err(error) => tracing::debug!(peer = %self.to, %error, "stream lost"),
            }
            if started_at.elapsed() > ACK_TIMEOUT {
                backoff.reset();
            }
            let event = PeerEvent::Unreachable {
                name: self.to.clone(),
            };
            if self.events.send(event).await.is_err() {
                return;
            }
            Timer::after(backoff.next_delay(rand::random()).as_std()).await;
            while self.queue.try_recv().is_ok() {}
        }
    }

    fn close(&self) {
        self.queue.close();
    }

    /// Opens a stream and sends messages on it; returns once the stream is idle.
    async fn run_stream(&self, first: Message) -> eyre::Result<()> {
        let open = future::or(self.open(), fail_after(HANDSHAKE_TIMEOUT));
        let mut stream = open.await?;
        let event = PeerEvent::Opened {
            name: self.to.clone(),
        };
        self.events.send(event).await?;
        let mut unacked_since = self.write(&mut stream, first).await?;
        loop {
            match self.next_event(&mut stream, unacked_since).await? {
                StreamEvent::Send(message) => {
                    let sent_at = self.write(&mut stream, message).await?;
                    unacked_since = unacked_since.or(sent_at);
                }
                StreamEvent::Acked => unacked_since = None,
                StreamEvent::Idle => return Ok(()),
                StreamEvent::AckTimedOut => bail!("a heartbeat was not acknowledged in time"),
            }
        }
    }

    async fn next_event(
        &self,
        stream: &mut OpenStream,
        unacked_since: Option<Instant>,
    ) -> eyre::Result<StreamEvent> {
        let message = async {
            match self.queue.recv().await {
                Ok(message) => Ok(StreamEvent::Send(message)),
                Err(_) => Ok(StreamEvent::Idle),
            }
        };
        let ack = async {
            match stream.incoming.message().await? {
                Some(_) => Ok(StreamEvent::Acked),
                None => Err(eyre!("the peer closed the stream")),
            }
        };
        let timeout = async {
            match unacked_since {
                Some(since) => {
                    Timer::at(since + ACK_TIMEOUT).await;
                    Ok(StreamEvent::AckTimedOut)
                }
                None => {
                    Timer::after(IDLE_TIMEOUT).await;
                    Ok(StreamEvent::Idle)
                }
            }
        };
        future::or(ack, future::or(message, timeout)).await
    }

    /// Sends a message; returns the time of sending if the peer acknowledges this kind of message.
    async fn write(
        &self,
        stream: &mut OpenStream,
        message: Message,
    ) -> eyre::Result<Option<Instant>> {
        let is_heartbeat = matches!(message, Message::Heartbeat(_));
        stream.sequence += 1;
        // The handshake has bound the stream to this incarnation, so messages omit it.
        let envelope = Envelope {
            incarnation: 0,
            sequence: stream.sequence,
            body: Some((&message).into()),
        };
        let send = async { Ok(stream.outgoing.send(envelope).await?) };
        future::or(send, fail_after(ACK_TIMEOUT)).await?;
        Ok(is_heartbeat.then(Instant::now))
    }

    fn envelope(&self, sequence: u64, body: Body) -> Envelope {
        Envelope {
            incarnation: self.config.incarnation.0,
            sequence,
            body: Some(body),
        }
    }

    async fn open(&self) -> eyre::Result<OpenStream> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        let io = FuturesIo::new(MeteredStream::new(socket, Arc::clone(&self.meter)));
        let (sender, connection) = http2::Builder::new(self.spawner.clone())
            .handshake(io)
            .await?;
        self.spawner.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a peer ended");
            }
        });
        let origin = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()?;
        let mut client = tonic::client::Grpc::with_origin(Http2Channel(sender), origin)
            .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES);
        client.ready().await?;
        let (outgoing, stream) = async_channel::bounded(STREAM_QUEUE_LEN_MAX);
        let hello = self.hello();
        outgoing
            .send(self.envelope(0, Body::Hello(hello.clone())))
            .await?;
        let response = client
            .streaming(tonic::Request::new(stream), EXCHANGE_PATH, codec())
            .await
            .wrap_err("the peer refused the stream")?;
        self.authenticate(&hello, outgoing, response.into_inner())
            .await
    }

    fn hello(&self) -> Hello {
        Hello {
            version_min: self.config.versions.min,
            version_max: self.config.versions.max,
            from: self.config.name.to_string(),
            to: self.to.to_string(),
            nonce: generate_nonce(),
        }
    }

    async fn authenticate(
        &self,
        hello: &Hello,
        outgoing: Sender<Envelope>,
        mut incoming: Streaming<Envelope>,
    ) -> eyre::Result<OpenStream> {
        let envelope = incoming
            .message()
            .await?
            .ok_or_else(|| eyre!("the peer closed the stream during the handshake"))?;
        let Some(Body::Welcome(welcome)) = envelope.body else {
            bail!("the peer did not send a welcome message");
        };
        let server = Incarnation(envelope.incarnation);
        let transcript = Transcript::new(hello, self.config.incarnation, &welcome, server)
            .map_err(|error| eyre!("{error}"))?;
        let versions = self.config.versions;
        let proof = verify_welcome(&self.config.keys, versions, &transcript, &welcome)
            .map_err(|error| eyre!("{error}"))?;
        outgoing.send(self.envelope(0, Body::Proof(proof))).await?;
        Ok(OpenStream {
            outgoing,
            incoming,
            sequence: 0,
        })
    }
}

async fn fail_after<T>(timeout: Duration) -> eyre::Result<T> {
    Timer::after(timeout).await;
    bail!("the peer did not respond in time")
}
