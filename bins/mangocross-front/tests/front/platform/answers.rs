//! Answers without a length, which end with their connection.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
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
