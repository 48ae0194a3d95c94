//! Connections that wait in a listener's queue when it is closed.
//!
//! The system resets what is still in the queue, though its callers are connected and may have sent
//! their requests. So it is taken first, and asked of the system itself: the runtime may not have heard
//! yet of what has connected.

use std::io::{ErrorKind, Result};

use tokio::net::{TcpListener, TcpStream};

/// The queue of a listener that accepts nothing else any more; dropping it closes the listener.
#[derive(Debug)]
pub struct AcceptQueue(std::net::TcpListener);

impl AcceptQueue {
    /// Takes the listener from the runtime.
    pub fn new(listener: TcpListener) -> Result<Self> {
        listener.into_std().map(Self)
    }

    /// The next connection that waits, or `None` if none does.
    ///
    /// An error, as for want of descriptors, would come again for the rest of the queue.
    pub fn next(&self) -> Result<Option<TcpStream>> {
        loop {
            return match self.0.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    TcpStream::from_std(stream).map(Some)
                }
                // Its caller has gone; the next one may wait.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
                Err(e) => Err(e),
            };
        }
    }
}
