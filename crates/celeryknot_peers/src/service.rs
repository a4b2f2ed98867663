//! The one streaming call of the protocol, as `tonic` client and service.

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

/// Largest message that is read, in bytes.
pub(crate) const MESSAGE_SIZE_MAX_BYTES: usize = 256 << 10;

/// Envelopes that wait for a stream.
pub(crate) const STREAM_LEN_MAX: usize = 32;

pub(crate) fn codec() -> ProstCodec<Envelope, Envelope> {
    ProstCodec::default()
}

/// An open HTTP/2 connection as `tonic`'s client takes it.
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

/// A stream that a peer has opened, and the way back to it.
pub(crate) struct AcceptedStream {
    pub(crate) incoming: Streaming<Envelope>,
    pub(crate) answers: Sender<Result<Envelope, Status>>,
}

/// Hands opened streams to the tasks that serve them.
#[derive(Clone)]
pub(crate) struct ExchangeService {
    pub(crate) accepted: Sender<AcceptedStream>,
}

impl StreamingService<Envelope> for ExchangeService {
    type Response = Envelope;
    type ResponseStream = Pin<Box<Receiver<Result<Envelope, Status>>>>;
    type Future = Ready<Result<tonic::Response<Self::ResponseStream>, Status>>;

    fn call(&mut self, request: tonic::Request<Streaming<Envelope>>) -> Self::Future {
        let (answers, stream) = async_channel::bounded(STREAM_LEN_MAX);
        let accepted = AcceptedStream {
            incoming: request.into_inner(),
            answers,
        };
        ready(match self.accepted.try_send(accepted) {
            Ok(()) => Ok(tonic::Response::new(Box::pin(stream))),
            Err(_) => Err(Status::resource_exhausted(
                "too many streams are being opened",
            )),
        })
    }
}

/// Answers one HTTP request of a peer.
pub(crate) async fn answer(service: ExchangeService, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != EXCHANGE_PATH.path() {
        return Status::unimplemented("no such call").into_http();
    }
    tonic::server::Grpc::new(codec())
        .max_decoding_message_size(MESSAGE_SIZE_MAX_BYTES)
        .streaming(service, request)
        .await
}
