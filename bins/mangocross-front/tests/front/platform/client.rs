//! A caller that reuses its connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Time that the caller waits for an answer beyond the deadline.
const READ_MARGIN: Duration = Duration::from_millis(2000);

/// Request kind, by the route that the caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A resumable stream.
    Stream,
    /// A request that may be repeated.
    Lookup,
    /// A request that may run at most once.
    Booking,
}

impl RequestKind {
    fn path(self) -> &'static str {
        match self {
            Self::Stream => "/stream/x",
            Self::Lookup => "/lookup/x",
            Self::Booking => "/booking/x",
        }
    }
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) attempt: String,
    pub(crate) kind: RequestKind,
    pub(crate) key: String,
    pub(crate) sent_at: Instant,
    /// Status; zero without an answer.
    pub(crate) status: u16,
    pub(crate) is_signed: bool,
    /// Attempt that the answer names.
    pub(crate) named_attempt: Option<String>,
    /// Signature of the answer if its server says that it leaves.
    pub(crate) leaving_server: Option<String>,
    pub(crate) answered_at: Instant,
    pub(crate) body: String,
    /// Whether the answer was received completely.
    pub(crate) is_whole: bool,
}

/// A caller with at most one connection, which it reuses.
#[derive(Debug)]
pub(crate) struct Client {
    to: SocketAddr,
    /// Header with the parts of the prompt, if any.
    prompt: String,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub(crate) fn new(to: SocketAddr) -> Self {
        Self { to, prompt: String::new(), connection: None }
    }

    /// Sets the shared parts of the prompts, each followed by a comma.
    #[must_use]
    pub(crate) fn with_shared_parts(mut self, shared_parts: &str, own_part: u32) -> Self {
        self.prompt = super::prompt_header(shared_parts, own_part);
        self
    }

    /// Returns whether the next request goes out on the last one's connection.
    pub(crate) fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and reads the answer.
    pub(crate) fn send(&mut self, kind: RequestKind, attempt: &str, key: &str) -> Outcome {
        let mut outcome = Outcome {
            attempt: attempt.to_owned(),
            kind,
            key: key.to_owned(),
            sent_at: Instant::now(),
            status: 0,
            is_signed: false,
            named_attempt: None,
            leaving_server: None,
            answered_at: Instant::now(),
            body: String::new(),
            is_whole: false,
        };
        if self.exchange(&mut outcome).is_err() || !outcome.is_whole {
            self.connection = None;
        }
        outcome.answered_at = Instant::now();
        outcome
    }

    fn exchange(&mut self, outcome: &mut Outcome) -> std::io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, DEADLINE)?;
            stream.set_read_timeout(Some(DEADLINE + READ_MARGIN))?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nModel: m0\r\nToken-Count: 10,5\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 2\r\n{}\r\n{{}}",
            outcome.kind.path(),
            outcome.attempt,
            DEADLINE.as_millis(),
            outcome.key,
            self.prompt,
        );
        connection.get_mut().write_all(text.as_bytes())?;
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if connection.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        outcome.status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        outcome.is_signed = super::is_signed(&head);
        let head = head.to_ascii_lowercase();
        let header = |name: &str| {
            let value = head.lines().find_map(|it| it.strip_prefix(name));
            value.map(|it| it.trim().to_owned())
        };
        outcome.named_attempt = header("attempt-id: ");
        let is_leaving = header("server-leaving: ").as_deref() == Some("1");
        outcome.leaving_server = header("server-seal: ").filter(|_| is_leaving);
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
        let mut body = Vec::new();
        outcome.is_whole = match length.and_then(|it| it.trim().parse().ok()) {
            Some(length) => {
                body.resize(length, 0);
                connection.read_exact(&mut body).is_ok()
            }
            None => read_chunks(connection, &mut body).is_ok(),
        };
        outcome.body = String::from_utf8_lossy(&body).into_owned();
        if head.contains("connection: close") {
            self.connection = None;
        }
        Ok(())
    }
}

/// Reads the chunks of a body up to the last one.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        };
        let mut chunk = vec![0; length + 2];
        from.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
