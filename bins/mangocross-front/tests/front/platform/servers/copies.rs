//! Second copies of answers, which come late on a connection that is in use again.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::Server;
use crate::platform::lock;

/// Time after an answer at which its copy follows on the idle connection.
const COPY_DELAY: Duration = Duration::from_millis(40);

/// When a copy of the last answer on a connection is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyTime {
    /// While the connection is idle, before the next request.
    Idle,
    /// After the next request, before its own answer.
    BeforeOwn,
    /// Between two events of the next answer.
    InsideOwn,
    /// Right after the next answer.
    AfterOwn,
}

/// How much of the copy is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CopyPart {
    Whole,
    /// Up to the middle of its body.
    InBody,
    /// Up to the middle of its first header's value.
    InHeader,
    /// Up to the middle of its reason phrase.
    InReason,
    /// Up to the space before its reason phrase.
    BeforeReason,
}

/// Second copies of answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LateCopy {
    pub(crate) time: CopyTime,
    pub(crate) part: CopyPart,
}

/// What was sent on each connection, by the callers' addresses.
#[derive(Debug, Default)]
pub(super) struct Sent {
    last_answers: HashMap<SocketAddr, String>,
    copies: usize,
    is_failing: bool,
    orders_on_used_connections: usize,
}

impl Server {
    /// Sets whether second copies of answers are sent.
    pub(crate) fn set_late_copy(&self, copy: Option<LateCopy>) {
        lock(&self.state).late_copy = copy;
    }

    /// Returns the number of copies that were sent.
    pub(crate) fn copies(&self) -> usize {
        lock(&self.state).sent.copies
    }

    /// Sets whether requests of the plain service run and are answered with a failure.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        lock(&self.state).sent.is_failing = is_failing;
    }

    pub(super) fn plain_status(&self) -> u16 {
        if lock(&self.state).sent.is_failing { 500 } else { 200 }
    }

    /// Returns the number of orders that came on connections with earlier answers.
    pub(crate) fn orders_on_used_connections(&self) -> usize {
        lock(&self.state).sent.orders_on_used_connections
    }

    /// Returns the body of an answer of the plain service; it names its attempt if there are copies.
    pub(super) fn plain_body(&self, attempt: &str) -> String {
        match lock(&self.state).late_copy {
            Some(_) => format!("the body of {attempt}"),
            None => "the whole body".to_owned(),
        }
    }

    pub(super) fn note_order(&self, stream: &TcpStream) {
        let Ok(caller) = stream.peer_addr() else { return };
        let sent = &mut lock(&self.state).sent;
        sent.orders_on_used_connections += usize::from(sent.last_answers.contains_key(&caller));
    }

    /// Writes an answer, and copies as they are set.
    pub(super) fn send(&self, stream: &mut TcpStream, status: u16, headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        );
        self.write_copy(stream, CopyTime::BeforeOwn);
        let _ = stream.write_all(text.as_bytes());
        self.write_copy(stream, CopyTime::AfterOwn);
        self.note_sent(stream, text);
        if let (Some(LateCopy { time: CopyTime::Idle, .. }), Ok(mut stream)) =
            (lock(&self.state).late_copy, stream.try_clone())
        {
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(COPY_DELAY);
                server.write_copy(&mut stream, CopyTime::Idle);
            });
        }
    }

    /// Refuses the first resumption of a stream, if that is set, and returns whether it did; writes the
    /// refusal of the first one again on a connection that was in use before.
    pub(super) fn refuses_resumption(&self, attempt: &str, stream: &mut TcpStream) -> bool {
        let refusal = format!(
            "HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        let Ok(caller) = stream.peer_addr() else { return false };
        let (is_first, is_used) = {
            let mut state = lock(&self.state);
            let is_used = state.sent.last_answers.contains_key(&caller);
            let Some(refusals) = &mut state.resumption_refusals else { return false };
            let earlier = refusals.insert(attempt.to_owned(), refusal.clone());
            (earlier.is_none(), is_used)
        };
        if is_first || is_used {
            let _ = stream.write_all(refusal.as_bytes());
        }
        is_first
    }

    /// Records the last answer on a connection.
    pub(super) fn note_sent(&self, stream: &TcpStream, text: String) {
        if let Ok(caller) = stream.peer_addr() {
            lock(&self.state).sent.last_answers.insert(caller, text);
        }
    }

    /// Writes a copy of the last answer on the connection, if one is due at this time.
    pub(super) fn write_copy(&self, stream: &mut TcpStream, time: CopyTime) {
        let Ok(caller) = stream.peer_addr() else { return };
        let copy = {
            let mut state = lock(&self.state);
            let Some(copy) = state.late_copy.filter(|it| it.time == time) else { return };
            let Some(last) = state.sent.last_answers.get(&caller) else { return };
            let first_value = last.find("text/").unwrap_or_default();
            let end = match copy.part {
                CopyPart::Whole => last.len(),
                CopyPart::InBody => last.len() - 4,
                CopyPart::InHeader => first_value + 4,
                CopyPart::InReason => "HTTP/1.1 200 St".len(),
                CopyPart::BeforeReason => "HTTP/1.1 200 ".len(),
            };
            let copy = last[..end].to_owned();
            state.sent.copies += 1;
            copy
        };
        let _ = stream.write_all(copy.as_bytes());
    }
}
