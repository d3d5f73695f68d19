//! Answers without a length, which end with their connection, and answers that come early.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// How the answers of a server end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// As their headers say.
    #[default]
    Length,
    /// With the connection, after the whole body.
    Close,
    /// With a reset of the connection, in the middle of the body but after whole parts.
    Reset,
    /// With the connection, inside the last part.
    InsidePart,
    /// With the connection, before any part of the body.
    Empty,
}

/// Writes an answer that has no length, in parts.
pub(crate) fn answer_without_length(
    stream: &mut TcpStream,
    headers: &str,
    parts: &[&str],
    end: AnswerEnd,
) {
    let body = match end {
        AnswerEnd::Length | AnswerEnd::Close => parts.concat(),
        AnswerEnd::Reset => parts[..parts.len().div_ceil(2)].concat(),
        AnswerEnd::InsidePart => {
            let body = parts.concat();
            body[..body.len() - 4].to_owned()
        }
        AnswerEnd::Empty => String::new(),
    };
    let text = format!("HTTP/1.1 200 Status\r\n{headers}\r\n{body}");
    let _ = stream.write_all(text.as_bytes());
    if end == AnswerEnd::Reset {
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        // The connection is closed by its thread, which ends when it can read no more.
        let _ = stream.shutdown(Shutdown::Read);
    } else {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Accepts connections and answers each request as soon as its head is there; reads the rest once
/// it may. Sends the number of other bytes than the body's that came after the head.
pub(crate) fn answer_early(
    listener: TcpListener,
    may_read: Arc<AtomicBool>,
    foreign_bytes: Sender<usize>,
) {
    for mut stream in listener.incoming().flatten() {
        let foreign_bytes = foreign_bytes.clone();
        let may_read = Arc::clone(&may_read);
        thread::spawn(move || {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") {
                stream.read_exact(&mut byte).expect("a head");
                head.push(byte[0]);
            }
            let answer = "HTTP/1.1 200 OK\r\nAttempt-Id: early\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
            stream.write_all(answer.as_bytes()).expect("sent");
            while !may_read.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            let mut rest = Vec::new();
            // The rest of the body may be cut off.
            let _ = stream.read_to_end(&mut rest);
            let _ = foreign_bytes.send(rest.iter().filter(|it| **it != b'x').count());
        });
    }
}

/// Returns the header that names an attempt.
pub(crate) fn attempt_header(attempt: &str) -> String {
    format!("Attempt-Id: {attempt}\r\n")
}

/// Header of a server's signature.
pub(crate) const SIGNATURE: &str = "Server-Seal: e.1\r\n";
/// Header of a signature whose value was lost.
pub(crate) const EMPTY_SIGNATURE: &str = "Server-Seal: \r\n";
/// Header of a signature that belongs to another answer.
pub(crate) const SECOND_SIGNATURE: &str = "Server-Seal: e.2\r\n";

/// An answer that is not the usual one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OddAnswer {
    /// Status line; without one, only the body is sent.
    pub(crate) status: Option<&'static str>,
    pub(crate) content_type: Option<&'static str>,
    pub(crate) is_signed: bool,
    pub(crate) is_not_run: bool,
    pub(crate) has_length: bool,
    /// Length that the answer names in place of its body's.
    pub(crate) named_length: Option<usize>,
    /// Further header lines.
    pub(crate) headers: &'static str,
    pub(crate) body: &'static str,
}

impl OddAnswer {
    /// Returns an answer with a length and a text.
    pub(crate) fn with_status(status: &'static str, is_signed: bool) -> Self {
        Self {
            status: Some(status),
            content_type: Some("text/plain"),
            is_signed,
            is_not_run: false,
            has_length: true,
            named_length: None,
            headers: "",
            body: "odd",
        }
    }

    /// Returns the bytes of the answer to an attempt.
    pub(crate) fn text(&self, attempt: &str) -> String {
        let Some(status) = self.status else { return self.body.to_owned() };
        let mut head = format!("HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n");
        if let Some(it) = self.content_type {
            head.push_str(&format!("Content-Type: {it}\r\n"));
        }
        if self.is_signed {
            head.push_str(SIGNATURE);
        }
        if self.is_not_run {
            head.push_str("Not-Executed: 1\r\n");
        }
        match self.has_length {
            true => {
                let length = self.named_length.unwrap_or(self.body.len());
                head.push_str(&format!("Content-Length: {length}\r\n"));
            }
            false => head.push_str("Connection: close\r\n"),
        }
        format!("{head}{}\r\n{}", self.headers, self.body)
    }
}
