//! Tests of callers' connections that are idle while the configuration changes.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Client;
use crate::platform::Front;
use crate::platform::RequestKind;
use crate::platform::Server;
use crate::platform::Store;

/// Guards against a request that is lost because a new version of the configuration shortens the
/// time for which its connection, idle before the change, may be idle.
#[test]
fn connection_keeps_the_idle_limit_under_which_it_became_idle() {
    let store = Store::spawn();
    store.configure_idle_timeout(3, &["k1"], Duration::from_secs(5));
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let mut client = Client::new(front.address);
    assert_eq!(client.send(RequestKind::Lookup, "before", "k1").status, 200);
    store.configure_idle_timeout(4, &["k1", "k2"], Duration::from_secs(1));
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("k1", "k2"));
    thread::sleep(Duration::from_millis(3000));
    let outcome = client.send(RequestKind::Lookup, "after", "k1");
    assert_eq!((outcome.status, outcome.is_whole), (200, true));
}

/// An idle connection is closed once its limit is over.
#[test]
fn connection_is_closed_after_its_idle_limit() {
    let store = Store::spawn();
    store.configure_idle_timeout(3, &["k1"], Duration::from_secs(1));
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let mut client = Client::new(front.address);
    assert_eq!(client.send(RequestKind::Lookup, "before", "k1").status, 200);
    thread::sleep(Duration::from_millis(4000));
    assert_eq!(client.send(RequestKind::Lookup, "after", "k1").status, 0);
}

/// Guards against a request that is lost because a new version of the configuration shortens the
/// time for headers while its headers, or those of the next request, arrive.
#[test]
fn headers_keep_the_time_limit_under_which_they_began() {
    let limits = |header_s| (Duration::from_secs(header_s), Duration::from_secs(15));
    let store = Store::spawn();
    let (header_timeout, idle_timeout) = limits(6);
    store.configure_limits(3, &["k1"], header_timeout, idle_timeout);
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let begin = || {
        let mut connection = TcpStream::connect(front.address).expect("a connection");
        let head = "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n";
        connection.write_all(head.as_bytes()).expect("sent");
        connection
    };
    let before = begin();
    let (header_timeout, idle_timeout) = limits(1);
    store.configure_limits(4, &["k1", "k2"], header_timeout, idle_timeout);
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("k1", "k2"));
    let after = begin();
    thread::sleep(Duration::from_millis(2500));
    for (kind, mut connection) in [("before", before), ("after", after)] {
        let mut answer = String::new();
        let _ = connection.write_all(format!("{CALLER_HEADERS}\r\n").as_bytes());
        let _ = connection.read_to_string(&mut answer);
        assert!(answer.starts_with("HTTP/1.1 200"), "{kind}: {answer:?}");
    }
}

/// A connection whose headers do not end is closed once their time limit is over.
#[test]
fn connection_is_closed_after_the_time_limit_of_its_headers() {
    let store = Store::spawn();
    store.configure_limits(3, &["k1"], Duration::from_secs(1), Duration::from_secs(15));
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let mut connection = TcpStream::connect(front.address).expect("a connection");
    connection.write_all(b"GET /lookup/x HTTP/1.1\r\n").expect("sent");
    let mut answer = String::new();
    connection.read_to_string(&mut answer).expect("the end of the connection");
    assert_eq!(answer, "");
}

/// Guards against a request that is lost because the program stops while its headers arrive, on a
/// new connection and on a kept one.
#[test]
fn request_whose_headers_arrive_during_a_stop_is_answered() {
    let store = Store::spawn();
    store.configure_idle_timeout(3, &["k1"], Duration::from_secs(15));
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let connect = || TcpStream::connect(front.address).expect("a connection");
    let mut kept = connect();
    let head = "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\n";
    kept.write_all(format!("{head}{CALLER_HEADERS}\r\n").as_bytes()).expect("sent");
    let mut answer = Vec::new();
    while !answer.ends_with(b"the whole body") {
        let mut byte = [0];
        kept.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    front.terminate();
    thread::sleep(Duration::from_millis(2000));
    let mut connections = [connect(), kept];
    for it in &mut connections {
        it.write_all(head.as_bytes()).expect("sent");
    }
    // The program begins to close idle connections meanwhile.
    thread::sleep(Duration::from_millis(1000));
    for it in &mut connections {
        it.write_all(format!("{CALLER_HEADERS}\r\n").as_bytes()).expect("sent");
        let mut answer = String::new();
        it.read_to_string(&mut answer).expect("an answer that ends");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Opens a connection under one limit on headers, sets another one and sends requests of two sizes, on
/// this connection and on a new one; returns the heads of the answers.
fn answers_after_a_change(before: usize, after: usize) -> [String; 3] {
    let store = Store::spawn();
    let configure = |version, keys: &[&str], bytes_max: usize| {
        store.configure_with(version, keys, |it| {
            it["limits"] = json!({
                "max_header_bytes": bytes_max, "max_body_bytes": 65536,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            });
        });
    };
    configure(3, &["k1"], before);
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let mut kept = TcpStream::connect(front.address).expect("a connection");
    assert!(exchange(&mut kept, 0).starts_with("http/1.1 200"));
    configure(4, &["k1", "k2"], after);
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("k1", "k2"));
    let small = exchange(&mut kept, 0);
    let large = exchange(&mut kept, 40_000);
    let mut new = TcpStream::connect(front.address).expect("a connection");
    [small, large, exchange(&mut new, 40_000)]
}

/// Sends a request with a header of a size; returns the head of its answer, empty without one.
fn exchange(connection: &mut TcpStream, bytes: usize) -> String {
    let filler = "x".repeat(bytes);
    let head = format!(
        "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nFiller: {filler}\r\n{CALLER_HEADERS}\r\n"
    );
    let _ = connection.write_all(head.as_bytes());
    let _ = connection.set_read_timeout(Some(Duration::from_secs(5)));
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while !answer.ends_with(b"the whole body") {
        match connection.read(&mut buffer) {
            Ok(length) if length > 0 => answer.extend_from_slice(&buffer[..length]),
            Ok(_) | Err(_) => break,
        }
    }
    String::from_utf8_lossy(&answer).to_ascii_lowercase()
}

/// Guards against connections that keep the limit on headers that was in force when they were accepted:
/// a lower one applies at once.
#[test]
fn lower_limit_on_headers_applies_to_kept_connections() {
    let [small, kept, new] = answers_after_a_change(65_536, 16_384);
    assert!(small.starts_with("http/1.1 200"), "{small}");
    assert!(new.starts_with("http/1.1 431"), "{new}");
    assert!(kept.starts_with("http/1.1 431"), "{kept}");
}

/// A higher limit needs a new connection, so the next answer on a kept one ends it.
#[test]
fn kept_connection_ends_with_the_next_answer_after_a_higher_limit_on_headers() {
    let [small, _, new] = answers_after_a_change(16_384, 65_536);
    assert!(small.starts_with("http/1.1 200") && small.contains("connection: close"), "{small}");
    assert!(new.starts_with("http/1.1 200"), "{new}");
}
