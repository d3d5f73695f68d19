//! Calls to servers that answer without end.
//!
//! The only test of its process, since it measures the memory of the process.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use mangocross_http::CallError;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::RunOutcome;

/// Most that is read of an answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024;
/// Time for an answer that never ends.
const ENDLESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Memory that the process may gain while answers without end come.
const GAINED_BYTES_MAX: usize = 16 << 20;

/// Serves one connection after the other with a beginning and a text that is repeated until the caller
/// closes.
fn spawn_server(begin: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let rest = rest.repeat((16 << 10) / rest.len());
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 1024];
            if stream.read(&mut request).is_ok() && stream.write_all(begin.as_bytes()).is_ok() {
                while stream.write_all(rest.as_bytes()).is_ok() {}
            }
        }
    });
    address
}

/// Calls a server and reads its whole answer.
fn call(address: SocketAddr) -> Result<(u16, Vec<u8>), CallError> {
    let timeouts = HttpTimeouts::default().total(ENDLESS_TIMEOUT);
    let call = HttpCall::new(HttpMethod::Get, address, "/").timeouts(timeouts);
    let response = HttpClient::open().call(call)?;
    Ok((response.status(), response.read_all(ANSWER_BYTES_MAX)?))
}

/// Returns the most memory that this process has used so far, in bytes: what an answer took is given
/// back when it has failed.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel's figures");
    let line = status.lines().find(|it| it.starts_with("VmHWM:")).expect("a line");
    let kilobytes = line.split_whitespace().nth(1).and_then(|it| it.parse::<usize>().ok());
    kilobytes.expect("a number") << 10
}

/// Guards against a process that keeps all bytes of an answer without end and runs out of memory.
#[test]
fn answers_without_end_are_neither_kept_nor_waited_for() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // What is sent once, and what follows it without end.
    let kinds = [
        ("", "x"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"),
        ("", "\r\n"),
        ("HTTP/1.1 200 ", "O"),
        (HEAD, "X-Line: text\r\n"),
        ("HTTP/1.1 200 OK\r\nX-Long: ", "text"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "text"),
        ("HTTP/1.1 200 OK\r\n\r\n", "text"),
        (CHUNKED, "4\r\nbody\r\n"),
        (CHUNKED, "0"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: text\r\n"),
    ];
    for (begin, rest) in kinds {
        let address = spawn_server(begin, rest);
        let before = peak_bytes();
        let error = call(address).expect_err("no answer");
        assert_eq!(error.outcome, RunOutcome::Unknown, "{begin:?} {rest:?}: {error}");
        let gained = peak_bytes().saturating_sub(before);
        assert!(gained < GAINED_BYTES_MAX, "{begin:?} {rest:?}: {gained} bytes");
    }
}
