//! The stream to one peer: opened when there is something to send, and again when it is lost.

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
use crate::handshake::{Transcript, answer_welcome, draw_nonce};
use crate::peers::{PeerEvent, PeersConfig};
use crate::service::{EXCHANGE_PATH, Http2Channel, MESSAGE_SIZE_MAX_BYTES, STREAM_LEN_MAX, codec};
use crate::wire::{Body, Envelope, Hello};

/// Longest time to open a connection and to authenticate.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for a heartbeat to be confirmed before the stream is opened anew.
const ACK_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without a message after which an unused stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(30_000);
const BACKOFF_FIRST_MS: DurationMs = DurationMs(100);
const BACKOFF_LONGEST_MS: DurationMs = DurationMs(2_000);

/// The task that keeps the stream to one peer.
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

/// What happens next on an open stream.
enum Step {
    Send(Message),
    Confirmed,
    Idle,
    AckLate,
}

impl OutboundLink {
    /// Sends what is queued until the queue is closed or unused.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS);
        while let Ok(message) = self.queue.recv().await {
            let opened_at = Instant::now();
            match self.serve(message).await {
                Ok(()) => return self.close(),
                Err(error) => tracing::debug!(peer = %self.to, %error, "stream lost"),
            }
            if opened_at.elapsed() > ACK_TIMEOUT {
                backoff.reset();
            }
            let event = PeerEvent::Unreachable {
                name: self.to.clone(),
            };
            if self.events.send(event).await.is_err() {
                return;
            }
            Timer::after(backoff.next_wait(rand::random()).as_std()).await;
            while self.queue.try_recv().is_ok() {}
        }
    }

    fn close(&self) {
        self.queue.close();
    }

    /// Opens a stream and sends messages on it; returns once the stream is unused.
    async fn serve(&self, first: Message) -> eyre::Result<()> {
        let open = future::or(self.open(), expire(HANDSHAKE_TIMEOUT));
        let mut stream = open.await?;
        let event = PeerEvent::Opened {
            name: self.to.clone(),
        };
        self.events.send(event).await?;
        let mut unconfirmed_since = self.write(&mut stream, first).await?;
        loop {
            match self.next_step(&mut stream, unconfirmed_since).await? {
                Step::Send(message) => {
                    let sent_at = self.write(&mut stream, message).await?;
                    unconfirmed_since = unconfirmed_since.or(sent_at);
                }
                Step::Confirmed => unconfirmed_since = None,
                Step::Idle => return Ok(()),
                Step::AckLate => bail!("a heartbeat was not confirmed in time"),
            }
        }
    }

    async fn next_step(
        &self,
        stream: &mut OpenStream,
        unconfirmed_since: Option<Instant>,
    ) -> eyre::Result<Step> {
        let message = async {
            match self.queue.recv().await {
                Ok(message) => Ok(Step::Send(message)),
                Err(_) => Ok(Step::Idle),
            }
        };
        let answer = async {
            match stream.incoming.message().await? {
                Some(_) => Ok(Step::Confirmed),
                None => Err(eyre!("the peer closed the stream")),
            }
        };
        let limit = async {
            match unconfirmed_since {
                Some(since) => {
                    Timer::at(since + ACK_TIMEOUT).await;
                    Ok(Step::AckLate)
                }
                None => {
                    Timer::after(IDLE_TIMEOUT).await;
                    Ok(Step::Idle)
                }
            }
        };
        future::or(answer, future::or(message, limit)).await
    }

    /// Writes a message; returns the time if it will be confirmed.
    async fn write(
        &self,
        stream: &mut OpenStream,
        message: Message,
    ) -> eyre::Result<Option<Instant>> {
        let is_heartbeat = matches!(message, Message::Heartbeat(_));
        stream.sequence += 1;
        // The greeting has bound the stream to this life, so that it need not be said again.
        let envelope = Envelope {
            incarnation: 0,
            sequence: stream.sequence,
            body: Some((&message).into()),
        };
        let send = async { Ok(stream.outgoing.send(envelope).await?) };
        future::or(send, expire(ACK_TIMEOUT)).await?;
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
        let (outgoing, stream) = async_channel::bounded(STREAM_LEN_MAX);
        let hello = self.hello();
        outgoing
            .send(self.envelope(0, Body::Hello(hello.clone())))
            .await?;
        let answer = client
            .streaming(tonic::Request::new(stream), EXCHANGE_PATH, codec())
            .await
            .wrap_err("the peer refused the stream")?;
        self.authenticate(&hello, outgoing, answer.into_inner())
            .await
    }

    fn hello(&self) -> Hello {
        Hello {
            version_min: self.config.versions.min,
            version_max: self.config.versions.max,
            from: self.config.name.to_string(),
            to: self.to.to_string(),
            nonce: draw_nonce(),
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
            .ok_or_else(|| eyre!("no answer"))?;
        let Some(Body::Welcome(welcome)) = envelope.body else {
            bail!("the peer did not keep to the handshake");
        };
        let server = Incarnation(envelope.incarnation);
        let transcript = Transcript::new(hello, self.config.incarnation, &welcome, server)
            .map_err(|error| eyre!("{error}"))?;
        let versions = self.config.versions;
        let proof = answer_welcome(&self.config.keys, versions, &transcript, &welcome)
            .map_err(|error| eyre!("{error}"))?;
        outgoing.send(self.envelope(0, Body::Proof(proof))).await?;
        Ok(OpenStream {
            outgoing,
            incoming,
            sequence: 0,
        })
    }
}

async fn expire<T>(limit: Duration) -> eyre::Result<T> {
    Timer::after(limit).await;
    bail!("the peer did not answer in time")
}
