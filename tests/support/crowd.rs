//! A crowd of clients that send large, unfinished or chopped requests, and keep their connections open.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep, timeout};

/// Bytes after which a client that sends without end stops.
const ENDLESS_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of many small pieces that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// Longest time for the crowd to send what it has to send. A server may stop reading, so it is no failure
/// if it passes.
const MAX_SEND_TIME: Duration = Duration::from_secs(30);

/// Time for which a client waits for an interim response before it sends its body all the same.
const MAX_CONTINUE_TIME: Duration = Duration::from_secs(2);

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy)]
pub enum Script {
    /// No byte.
    Silent,
    /// The beginning of a head.
    Head {
        /// Bytes of the head.
        bytes: usize,
    },
    /// A body with a length.
    Sized {
        /// Length in bytes that the head tells.
        length: usize,
        /// Bytes that are sent.
        sent: usize,
        /// Bytes that are written at once.
        piece: usize,
        /// Whether the client asks for an interim response before the body.
        expects_continue: bool,
    },
    /// A body in chunks.
    Chunked {
        /// Data bytes of each chunk.
        chunk: usize,
        /// Data bytes that are sent.
        sent: usize,
        /// What follows the chunks.
        end: ChunkedEnd,
    },
}

/// What follows the chunks of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkedEnd {
    /// Nothing, and the connection stays open.
    Open,
    /// The last chunk.
    Whole,
    /// Trailers without end.
    EndlessTrailers,
}

impl Script {
    /// A body with a length that stops before its end.
    pub fn sized(length: usize, sent: usize) -> Self {
        Self::Sized {
            length,
            sent,
            piece: sent.max(1),
            expects_continue: false,
        }
    }

    /// Like [`Self::sized`], written in pieces of this size.
    pub fn sized_in_pieces(length: usize, sent: usize, piece: usize) -> Self {
        Self::Sized {
            length,
            sent,
            piece,
            expects_continue: false,
        }
    }

    /// A body in chunks of equal size.
    pub fn chunked(chunk: usize, sent: usize, end: ChunkedEnd) -> Self {
        Self::Chunked { chunk, sent, end }
    }

    /// Sends the script; `head` is a head without its last empty line.
    async fn send(self, socket: &mut TcpStream, head: &str) -> std::io::Result<()> {
        match self {
            Self::Silent => Ok(()),
            Self::Head { bytes } => {
                let filler = "x".repeat(bytes.saturating_sub(head.len()));
                let head = format!("{head}x-filler: {filler}");
                socket.write_all(head.as_bytes()).await
            }
            Self::Sized {
                length,
                sent,
                piece,
                expects_continue,
            } => {
                let expect = if expects_continue {
                    "expect: 100-continue\r\n"
                } else {
                    ""
                };
                let head = format!("{head}{expect}content-length: {length}\r\n\r\n");
                socket.write_all(head.as_bytes()).await?;
                if expects_continue {
                    let mut interim = [0; 25];
                    // The server may answer at once, or not at all.
                    let _ = timeout(MAX_CONTINUE_TIME, socket.peek(&mut interim)).await;
                }
                send_pieces(socket, sent, piece).await
            }
            Self::Chunked { chunk, sent, end } => {
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                socket.write_all(head.as_bytes()).await?;
                send_chunks(socket, chunk, sent).await?;
                match end {
                    ChunkedEnd::Open => Ok(()),
                    ChunkedEnd::Whole => socket.write_all(b"0\r\n\r\n").await,
                    ChunkedEnd::EndlessTrailers => send_trailers(socket).await,
                }
            }
        }
    }
}

async fn send_pieces(socket: &mut TcpStream, sent: usize, piece: usize) -> std::io::Result<()> {
    let piece = vec![b'x'; piece.min(sent)];
    let mut left = sent;
    while left > 0 {
        let now = left.min(piece.len());
        socket.write_all(&piece[..now]).await?;
        left -= now;
    }
    Ok(())
}

async fn send_chunks(socket: &mut TcpStream, chunk: usize, sent: usize) -> std::io::Result<()> {
    let mut left = sent;
    while left > 0 {
        let mut text = Vec::with_capacity(WRITE_BYTES + chunk);
        while left > 0 && text.len() < WRITE_BYTES {
            let data = left.min(chunk);
            text.extend_from_slice(format!("{data:x}\r\n").as_bytes());
            text.resize(text.len() + data, b'x');
            text.extend_from_slice(b"\r\n");
            left -= data;
        }
        socket.write_all(&text).await?;
    }
    Ok(())
}

async fn send_trailers(socket: &mut TcpStream) -> std::io::Result<()> {
    socket.write_all(b"0\r\n").await?;
    let lines = "x-trailer: yes\r\n".repeat(WRITE_BYTES / 16);
    for _ in 0..ENDLESS_BYTES / WRITE_BYTES {
        socket.write_all(lines.as_bytes()).await?;
    }
    Ok(())
}

/// How far a client of a crowd has come.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Whether it has sent all that it sends, or can't send any more.
    pub has_sent: bool,
    /// Status of the final response, once there is one.
    pub status: Option<u16>,
    /// Whether that response tells when to try again.
    pub has_retry_after: bool,
    /// Whether the server has closed the connection.
    pub is_closed: bool,
}

/// Running clients; dropping the crowd closes their connections.
#[derive(Debug)]
pub struct Crowd {
    clients: Arc<Mutex<Vec<Progress>>>,
    runtime: Option<Runtime>,
}

impl Crowd {
    /// Starts clients that send a script each; `head` makes the head of the nth one without its last empty line.
    pub fn start<H>(address: SocketAddr, count: usize, script: Script, reads: bool, head: H) -> Self
    where
        H: Fn(usize) -> String,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let clients = Arc::new(Mutex::new(vec![Progress::default(); count]));
        for number in 0..count {
            let client = Client {
                number,
                clients: Arc::clone(&clients),
            };
            runtime.spawn(client.run(address, head(number), script, reads));
        }
        Self {
            clients,
            runtime: Some(runtime),
        }
    }

    /// How far the clients have come.
    pub fn progress(&self) -> Vec<Progress> {
        let clients = self.clients.lock().expect("no panic under the lock");
        clients.clone()
    }

    /// Waits until all clients have sent what they send or were answered.
    pub fn wait_sent(&self) {
        let end = Instant::now() + MAX_SEND_TIME;
        let is_done = |p: &Progress| p.has_sent || p.is_closed || p.status.is_some();
        while Instant::now() < end && !self.progress().iter().all(is_done) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct Client {
    number: usize,
    clients: Arc<Mutex<Vec<Progress>>>,
}

impl Client {
    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Progress),
    {
        let mut clients = self.clients.lock().expect("no panic under the lock");
        change(&mut clients[self.number]);
    }

    /// Sends the script, then keeps the connection open until the crowd is dropped.
    async fn run(self, address: SocketAddr, head: String, script: Script, reads: bool) {
        let Ok(mut socket) = TcpStream::connect(address).await else {
            self.update(|p| p.is_closed = true);
            return;
        };
        // A server that refuses the request may close the connection before all is sent.
        let _ = script.send(&mut socket, &head).await;
        self.update(|p| p.has_sent = true);
        if reads {
            self.read(&mut socket).await;
        }
        // The connection stays open on this side.
        loop {
            sleep(Duration::from_hours(1)).await;
        }
    }

    /// Reads until the end of the connection and notes the status of the final response.
    async fn read(&self, socket: &mut TcpStream) {
        let mut received = Vec::new();
        let mut buf = vec![0; 16 * 1024];
        while let Ok(len) = socket.read(&mut buf).await {
            if len == 0 {
                break;
            }
            if received.len() < buf.len() {
                received.extend_from_slice(&buf[..len]);
            }
            if let Some(status) = final_status(&received) {
                let has_retry_after = has_field(&received, "retry-after");
                self.update(|p| {
                    p.status = Some(status);
                    p.has_retry_after = has_retry_after;
                });
            }
        }
        self.update(|p| p.is_closed = true);
    }
}

/// Whether a line of the received heads begins with this name.
fn has_field(received: &[u8], name: &str) -> bool {
    let text = String::from_utf8_lossy(received);
    let mut names = text.lines().filter_map(|line| line.split(':').next());
    names.any(|found| found.eq_ignore_ascii_case(name))
}

/// Status of the first response that is no interim one.
fn final_status(received: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(received);
    let lines = text.lines().filter(|line| line.starts_with("HTTP/1.1 "));
    let mut statuses = lines.filter_map(|line| line.get(9..12)?.parse().ok());
    statuses.find(|status| *status >= 200)
}
