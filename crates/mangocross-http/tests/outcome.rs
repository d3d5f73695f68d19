//! A failed call reports correctly whether any byte was sent.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use mangocross_http::CallErrorKind;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::RunOutcome;

#[test]
fn refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let call = HttpCall::new(HttpMethod::Post, address, "/x").body(b"{}".to_vec());
    let error = HttpClient::open().call(call).err().unwrap();
    assert_eq!(error.outcome, RunOutcome::NotRun);
    assert_eq!(error.kind, CallErrorKind::Connect);
}

#[test]
fn connection_closed_before_answer_is_unknown_and_sent_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).unwrap();
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        thread::sleep(Duration::from_millis(100));
        listener.accept().is_ok()
    });
    let call = HttpCall::new(HttpMethod::Post, address, "/x").body(b"{}".to_vec());
    let error = HttpClient::open().call(call).err().unwrap();
    assert_eq!(error.outcome, RunOutcome::Unknown);
    assert!(!server.join().unwrap(), "ureq sent the request twice");
}

#[test]
fn silent_server_times_out_as_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let timeouts = HttpTimeouts::default().idle(Duration::from_millis(50));
    let call = HttpCall::new(HttpMethod::Get, address, "/x").timeouts(timeouts);
    let error = HttpClient::open().call(call).err().unwrap();
    assert_eq!(error.outcome, RunOutcome::Unknown);
    assert_eq!(error.kind, CallErrorKind::Timeout);
}

#[test]
fn body_that_stalls_is_a_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").unwrap();
        stream
    });
    let timeouts = HttpTimeouts::default().idle(Duration::from_millis(100));
    let call = HttpCall::new(HttpMethod::Get, address, "/x").timeouts(timeouts);
    let answer = HttpClient::open().call(call).unwrap();
    let error = answer.read_all(100).err().unwrap();
    assert_eq!(error.kind, CallErrorKind::Timeout);
    drop(server);
}

#[test]
fn cut_body_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").unwrap();
    });
    let answer = HttpClient::open().call(HttpCall::new(HttpMethod::Get, address, "/x")).unwrap();
    assert_eq!(answer.read_all(100).err().unwrap().kind, CallErrorKind::Broken);
}

#[test]
fn read_resumes_after_a_timeout_without_loss() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = std::sync::mpsc::channel::<()>();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).unwrap();
        // The length of the chunk and its first byte arrive before the pause.
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\na").unwrap();
        receiver.recv().unwrap();
        stream.write_all(b"bcdef\r\n0\r\n\r\n").unwrap();
    });
    let mut answer =
        HttpClient::open().call(HttpCall::new(HttpMethod::Get, address, "/x")).unwrap();
    answer.set_read_limit(Duration::from_millis(20));
    let (mut body, mut buf, mut timeouts) = (Vec::new(), [0; 64], 0);
    loop {
        match answer.read(&mut buf) {
            Ok(0) => break,
            Ok(length) => body.extend_from_slice(&buf[..length]),
            Err(error) => {
                assert_eq!(
                    CallErrorKind::Timeout,
                    mangocross_http::CallError::from_read(&error).kind
                );
                timeouts += 1;
                if timeouts == 3 {
                    sender.send(()).unwrap();
                }
            }
        }
    }
    assert!(timeouts >= 3);
    assert_eq!(body, b"abcdef");
}

#[test]
fn wait_for_headers_ends_when_it_is_cancelled() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let checks = AtomicU32::new(0);
    let call = HttpCall::new(HttpMethod::Post, address, "/x")
        .body(b"{}".to_vec())
        .wait_while(move || checks.fetch_add(1, Ordering::Relaxed) < 2);
    let error = HttpClient::open().call(call).err().unwrap();
    assert_eq!(error.outcome, RunOutcome::Unknown);
    assert_eq!(error.kind, CallErrorKind::Timeout);
    drop(listener);
}

#[test]
fn response_is_complete_after_a_polled_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (checked, checks) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        checks.iter().take(3).for_each(drop);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").unwrap();
        checks.iter().take(2).for_each(drop);
        stream.write_all(b"ngth: 2\r\n\r\nok").unwrap();
    });
    let call = HttpCall::new(HttpMethod::Get, address, "/x").wait_while(move || {
        let _ = checked.send(());
        true
    });
    let answer = HttpClient::open().call(call).unwrap();
    assert_eq!(answer.read_all(10).unwrap(), b"ok");
    server.join().unwrap();
}
