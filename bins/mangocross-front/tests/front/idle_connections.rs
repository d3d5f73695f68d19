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
