//! Connection of a caller that counts what arrives, and fails if a head or the reading of an answer takes too
//! long.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::account::Account;
use crate::connections::{CallerConnection, CloseReason};

/// Longest time for which a caller may read nothing of an answer that is ready.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);

/// What an HTTP/2 connection begins with.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Stream of a caller's connection.
#[derive(Debug)]
pub struct CallerIo {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    account: Account,
    /// Longest time from the first byte of a head to its end.
    head_timeout: Duration,
    /// Whether anything has arrived.
    has_read: bool,
    /// Runs while a head is incomplete.
    head_deadline: Option<Pin<Box<Sleep>>>,
    /// Runs while the caller does not read.
    write_deadline: Option<Pin<Box<Sleep>>>,
}

impl CallerIo {
    /// Creates a stream that records its progress in `connection` and the memory of heads in `account`.
    pub fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        account: Account,
        head_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            account,
            head_timeout,
            has_read: false,
            head_deadline: None,
            write_deadline: None,
        }
    }

    /// Fails once a head that has begun takes too long.
    fn check_head_time(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if !self.connection.is_in_head() {
            self.head_deadline = None;
            return Ok(());
        }
        let timeout = self.head_timeout;
        let deadline = self
            .head_deadline
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        if deadline.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.connection.close(CloseReason::SlowHead);
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Notes the result of a write; fails if the caller has read nothing for too long.
    fn on_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        self.connection.set_write_pending(written.is_pending());
        if written.is_ready() {
            self.write_deadline = None;
            return written;
        }
        let new = || Box::pin(sleep(MAX_UNREAD_TIME));
        let deadline = self.write_deadline.get_or_insert_with(new);
        ready!(deadline.as_mut().poll(cx));
        self.connection.close(CloseReason::UnreadAnswer);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buf) else {
            this.check_head_time(cx)?;
            return Poll::Pending;
        };
        read?;
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            if !this.has_read && read.starts_with(HTTP2_PREFACE) {
                this.connection.set_multiplexed();
            }
            this.has_read = true;
            let bytes = read.len();
            let counted = this.connection.on_read(&this.account, bytes);
            counted.map_err(|e| io::Error::new(io::ErrorKind::OutOfMemory, e))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.on_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.on_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
