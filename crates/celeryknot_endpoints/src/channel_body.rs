//! A response body that a task writes.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use celeryknot_core::ErrorKind;
use futures_lite::Stream;
use hyper::body::{Body, Frame};

use crate::answer::AnswerError;

/// What the writer of a body sends to its reader.
#[derive(Debug)]
enum Part {
    Data(Bytes),
    /// The body is complete.
    End,
    Failed(AnswerError),
}

/// The reader of a body has been dropped, as the caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

/// Creates a body and its writer, which waits while `parts_max` parts have not been read.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::channel_body;
/// use http_body_util::BodyExt;
///
/// smol::block_on(async {
///     let (writer, body) = channel_body(4);
///     writer.send("id: 1\n\n".into()).await.unwrap();
///     writer.finish().await.unwrap();
///     assert_eq!(body.collect().await.unwrap().to_bytes(), "id: 1\n\n");
///
///     let (writer, body) = channel_body(4);
///     writer.send("id: 1\n\n".into()).await.unwrap();
///     drop(writer);
///     assert!(body.collect().await.is_err());
/// });
/// ```
pub fn channel_body(parts_max: usize) -> (BodyWriter, ChannelBody) {
    let (sender, receiver) = async_channel::bounded(parts_max);
    let body = ChannelBody {
        parts: Box::pin(receiver),
        has_ended: false,
    };
    (BodyWriter(sender), body)
}

/// Writes a [`ChannelBody`], which fails unless [`Self::finish`] is called.
///
/// A writer may also be dropped by a panic or the cancellation of its task.
#[derive(Debug, Clone)]
pub struct BodyWriter(Sender<Part>);

impl BodyWriter {
    /// Appends bytes to the body.
    ///
    /// # Errors
    ///
    /// Fails if the reader is gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderGone> {
        self.send_part(Part::Data(bytes)).await
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if the reader is gone.
    pub async fn finish(&self) -> Result<(), ReaderGone> {
        self.send_part(Part::End).await
    }

    /// Ends the body with an error.
    ///
    /// # Errors
    ///
    /// Fails if the reader is gone.
    pub async fn fail(&self, error: AnswerError) -> Result<(), ReaderGone> {
        self.send_part(Part::Failed(error)).await
    }

    async fn send_part(&self, part: Part) -> Result<(), ReaderGone> {
        self.0.send(part).await.map_err(|_| ReaderGone)
    }
}

/// A body that a task writes; it is complete only if its writer says so.
#[derive(Debug)]
pub struct ChannelBody {
    parts: Pin<Box<Receiver<Part>>>,
    has_ended: bool,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let end = match self.parts.as_mut().poll_next(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Part::Data(bytes))) => {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            Poll::Ready(Some(Part::End)) => None,
            Poll::Ready(Some(Part::Failed(error))) => Some(Err(error)),
            Poll::Ready(None) => {
                tracing::error!("the task that wrote a response body died; cut the response");
                Some(Err(AnswerError(ErrorKind::AnswerIncomplete)))
            }
        };
        self.has_ended = true;
        Poll::Ready(end)
    }
}
