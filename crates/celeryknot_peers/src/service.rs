//! The protocol's only streaming call, as `tonic` client and service.

use std::future::{Ready, ready};
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use http::uri::PathAndQuery;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use tonic::body::Body;
use tonic::server::StreamingService;
use tonic::{Status, Streaming};
use tonic_prost::ProstCodec;
use tower_service::Service;

use crate::wire::Envelope;

/// The path of the call.
pub(crate) const EXCHANGE_PATH: PathAndQuery =
    PathAndQuery::from_static("/celeryknot.peers.v1.Peers/Exchange");

/// Maximum size of a message.
pub(crate) const MESSAGE_SIZE_MAX_BYTES: usize = 256 << 10;

/// Maximum number of envelopes queued on a stream.
pub(crate) const STREAM_QUEUE_LEN_MAX: usize = 32;

pub(crate) fn codec() -> ProstCodec<Envelope, Envelope> {
    ProstCodec::default()
}

/// An open HTTP/2 connection as a service for `tonic`'s client.
#[derive(Debug, Clone)]
pub(crate) struct Http2Channel(pub(crate) SendRequest<Body>);

impl Service<Request<Body>> for Http2Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = hyper::Result<Response<Incoming>>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// A stream that a peer has opened, with the sender of the responses.
pub(crate) struct AcceptedStream {
    pub(crate) incoming: Streaming<Envelope>,
    pub(crate) outgoing: Sender<Result<Envelope, Status>>,
}

/// Passes accepted streams to the tasks that serve them.
#[derive(Clone)]
pub(crate) struct ExchangeService {
    pub(crate) accepted: Sender<AcceptedStream>,
}

impl StreamingService<Envelope> for ExchangeService {
    type Response = Envelope;
    type ResponseStream = Pin<Box<Receiver<Result<Envelope, Status>>>>;
    type Future = Ready<Result<tonic::Response<Self::ResponseStream>, Status>>;

    fn call(&mut self, request: tonic::Request<Streaming<Envelope>>) -> Self::Future {
        let (outgoing, responses) = async_channel::bounded(STREAM_QUEUE_LEN_MAX);
        let accepted = AcceptedStream {
            incoming: request.into_inner(),
            outgoing,
        };
        ready(match self.accepted.try_send(accepted) {
            Ok(()) => Ok(tonic::Response::new(Box::pin(responses))),
            Err(_) => Err(Status::resource_exhausted(
                "too many streams are being opened",
            )),
        })
    }
}

/// Handles one HTTP request of a peer.
pub(crate) async fn handle_request(
    service: ExchangeService,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() != EXCHANGE_PATH.path() {
        return Status::unimplemented("no such call").into_http();
    }
    tonic::server::Grpc::new(codec())
        .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES)
        .streaming(service, request)
        .await
}
