//! Body of a response that keeps its request in progress until it was passed to the connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};

/// A body and what is kept until it ends or is dropped.
#[derive(Debug)]
pub struct TrackedBody<B, P> {
    body: B,
    _progress: P,
}

impl<B, P> TrackedBody<B, P> {
    /// Creates a body that keeps `progress`.
    pub fn new(body: B, progress: P) -> Self {
        Self {
            body,
            _progress: progress,
        }
    }
}

impl<B, P> Body for TrackedBody<B, P>
where
    B: Body + Unpin,
    P: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
