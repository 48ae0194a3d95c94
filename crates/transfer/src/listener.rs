//! Listens for callers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const ACCEPT_QUEUE_LENGTH: u32 = 1024;

/// Binds an address. The kernel buffers `receive_buffer` bytes for each connection before they are read, and as many
/// for its own use: what it has received counts towards the machine's memory.
pub fn listen(address: SocketAddr, receive_buffer: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}
