//! Connection to a replica that fails when bytes keep arriving from which nothing results.
//!
//! Load pattern: a faulty replica sends header lines, interim responses or the size of a chunk without end, as fast as
//! they are read. Each read finds more, so that the connection would occupy the instance for as long as it is open.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that are read without a head of a response or a part of its body: more than the parser
/// buffers, so that those of a sound response always fit.
const MAX_UNUSED_BYTES: usize = 512 * 1024;

/// Number of bytes read since the last progress; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Progress(Rc<Cell<usize>>);

impl Progress {
    /// Records that a head or a part of a body has resulted from the bytes read so far.
    pub fn record(&self) {
        self.0.set(0);
    }
}

/// Stream whose reads fail after too many bytes without progress.
#[derive(Debug)]
pub struct ProgressIo {
    stream: TcpStream,
    progress: Progress,
}

impl ProgressIo {
    /// Creates a stream that counts the bytes since the last progress in `progress`.
    pub fn new(stream: TcpStream, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for ProgressIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unused = self.progress.0.get();
        if unused >= MAX_UNUSED_BYTES {
            let e = format!("no part of a response in {unused} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, e)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.progress.0.set(unused + buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ProgressIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
