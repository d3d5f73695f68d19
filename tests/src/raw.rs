//! Requests as raw bytes, including ones that no client library would send.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// A connection to a server under test.
pub struct RawConnection {
    stream: TcpStream,
    pending: Vec<u8>,
}

/// An answer as received.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// HTTP status.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body, if the answer has a content length.
    pub body: String,
}

impl RawConnection {
    /// Opens a connection.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be opened.
    pub fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the server can be reached");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a time limit can be set");
        stream.set_nodelay(true).expect("Nagle's algorithm can be disabled");
        Self { stream, pending: Vec::new() }
    }

    /// Sends some bytes; returns whether all of them were written.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one answer by its content length; `None` if the connection ends before it is complete.
    pub fn answer(&mut self) -> Option<RawAnswer> {
        let head_end = self.read_until(|it| find(it, b"\r\n\r\n").map(|at| at + 4))?;
        let head = String::from_utf8_lossy(&self.pending[..head_end]).to_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.lines().find_map(|it| it.strip_prefix("content-length:"));
        let length = length.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
        let end =
            self.read_until(|it| (it.len() >= head_end + length).then_some(head_end + length))?;
        let body = String::from_utf8_lossy(&self.pending[head_end..end]).into_owned();
        self.pending.drain(..end);
        Some(RawAnswer { status, head, body })
    }

    /// Reads until the server closes the connection; `None` if it does not.
    pub fn read_to_end(&mut self) -> Option<String> {
        let mut buf = [0; 4096];
        loop {
            match self.stream.read(&mut buf) {
                Ok(0) => return Some(String::from_utf8_lossy(&self.pending).into_owned()),
                Ok(length) => self.pending.extend_from_slice(&buf[..length]),
                Err(_) => return None,
            }
        }
    }

    fn read_until(&mut self, done: impl Fn(&[u8]) -> Option<usize>) -> Option<usize> {
        let mut buf = [0; 4096];
        loop {
            if let Some(end) = done(&self.pending) {
                return Some(end);
            }
            match self.stream.read(&mut buf) {
                Ok(0) | Err(_) => return None,
                Ok(length) => self.pending.extend_from_slice(&buf[..length]),
            }
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|it| it == part)
}
