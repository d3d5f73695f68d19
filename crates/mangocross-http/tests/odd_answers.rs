//! Calls to servers that answer with bytes that are no answer.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use mangocross_http::CallError;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_types::RunOutcome;

/// Most that a test reads of an answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Serves one connection after the other with this.
fn spawn_server(answer: impl Fn(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 1024];
            if stream.read(&mut request).is_ok() {
                answer(&mut stream);
            }
        }
    });
    address
}

/// Calls a server that writes a text and closes the connection; returns status and body.
fn call_answered_with(text: &[u8]) -> Result<(u16, Vec<u8>), CallError> {
    let text = text.to_vec();
    let address = spawn_server(move |stream| {
        let _ = stream.write_all(&text);
    });
    let response = HttpClient::open().call(HttpCall::new(HttpMethod::Get, address, "/"))?;
    let status = response.status();
    Ok((status, response.read_all(ANSWER_BYTES_MAX)?))
}

fn assert_unknown(result: Result<(u16, Vec<u8>), CallError>, case: &str) {
    match result {
        Ok((status, body)) => panic!("{case}: {status} {}", String::from_utf8_lossy(&body)),
        Err(error) => assert_eq!(error.outcome, RunOutcome::Unknown, "{case}: {error}"),
    }
}

/// Guards against an answer with a status that is none, which a server in trouble sent.
#[test]
fn status_that_is_none_is_no_answer() {
    for status in [
        "000 None",
        "000",
        "00",
        "099 Low",
        "101 Switch",
        "600 High",
        "999 End",
        "2000 OK",
        "-20 No",
    ] {
        for body in ["Content-Length: 3\r\n\r\nodd", "\r\nodd"] {
            let text = format!("HTTP/1.1 {status}\r\n{body}");
            assert_unknown(call_answered_with(text.as_bytes()), status);
        }
    }
}

/// Guards against an answer whose head or body stops in the middle and that seems whole.
#[test]
fn answer_that_stops_in_the_middle_is_no_answer() {
    let answers = [
        "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nContent-Length: 10\r\n\r\n0123456789",
        "HTTP/1.1 302 Found\r\nLocation: /other\r\nx-attempt-id: a1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 503 Full\r\nX-Run-Outcome: not_run\r\nx-attempt-id: a1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\nrest\r\n0\r\n\r\n",
    ];
    for answer in answers {
        let whole = call_answered_with(answer.as_bytes()).expect("a whole answer");
        assert!(!whole.1.is_empty());
        for length in 0..answer.len() {
            // Nothing follows the end marker of the chunks but an empty trailer.
            let is_whole = answer[..length].contains("\r\n0\r\n");
            if !is_whole {
                assert_unknown(call_answered_with(&answer.as_bytes()[..length]), &answer[..length]);
            }
        }
    }
}
