//! A TCP stream with a deadline for the whole exchange.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A TCP stream with a deadline for the whole exchange, however slowly its bytes arrive.
pub(crate) struct TimedStream {
    stream: TcpStream,
    deadline: Instant,
}

impl TimedStream {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, deadline: Instant::now() + limit })
    }

    fn time_left(&self) -> io::Result<Duration> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() { Err(io::ErrorKind::TimedOut.into()) } else { Ok(time_left) }
    }
}

impl Read for TimedStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.time_left()?))?;
        self.stream.read(buf)
    }
}

impl Write for TimedStream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.time_left()?))?;
        self.stream.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}
