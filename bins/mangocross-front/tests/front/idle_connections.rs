//! Tests of callers' connections that are idle while the configuration changes.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

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
