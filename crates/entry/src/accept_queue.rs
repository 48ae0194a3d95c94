//! Drains the accept queue of a listener before it is closed.
//!
//! The operating system resets connections that are still in the queue when the listener closes,
//! although their callers are connected and may have sent requests. The queue is therefore emptied
//! first, by direct calls to `accept`: the async runtime may not have been notified yet of the newest
//! connections.

use std::io::{ErrorKind, Result};

use tokio::net::{TcpListener, TcpStream};

/// Accept queue of a listener that the runtime no longer polls; dropping it closes the listener.
#[derive(Debug)]
pub struct AcceptQueue(std::net::TcpListener);

impl AcceptQueue {
    /// Removes the listener from the runtime.
    pub fn new(listener: TcpListener) -> Result<Self> {
        listener.into_std().map(Self)
    }

    /// Accepts the next queued connection; returns `None` if the queue is empty.
    ///
    /// An error such as a lack of file descriptors would recur for the rest of the queue.
    pub fn next(&self) -> Result<Option<TcpStream>> {
        loop {
            return match self.0.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    TcpStream::from_std(stream).map(Some)
                }
                // The caller has disconnected; the queue may hold further connections.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
                Err(e) => Err(e),
            };
        }
    }
}
