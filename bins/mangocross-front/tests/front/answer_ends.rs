//! Tests with answers without a length, which end with their connection.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use socket2::SockRef;

use crate::platform::AnswerEnd;
use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::answer_early;
use crate::platform::start_engines;
use crate::platform::start_plain;

/// The last chunk of a complete answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Starts four engines, which form two groups; returns them with the head that serves next.
fn start_with_head() -> (Store, Vec<Server>, Server, Front) {
    let (store, engines, front) = start_engines();
    // The request that ended the start may have been sent before both groups were open.
    let (status, _, _) = front.call("POST", "/stream/x", &headers("first"), "{}");
    assert_eq!(status, 200);
    let has_served = |it: &&Server| it.arrived().iter().any(|it| it == "first");
    let head = engines.iter().find(has_served).expect("a head").clone();
    (store, engines, head, front)
}

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt)
}

fn event_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

fn all_event_ids() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn arrivals(servers: &[Server], attempt: &str) -> usize {
    servers.iter().flat_map(Server::arrived).filter(|it| it == attempt).count()
}

/// Each request needs a connection of its own; a used one in the pool would cost a second attempt.
#[test]
fn plain_answers_that_end_with_their_connection_are_whole() {
    let (_store, servers, front) = start_plain();
    servers.iter().for_each(|it| it.set_answer_end(AnswerEnd::Close));
    for number in 0..8 {
        for path in ["/lookup/x", "/booking/x"] {
            let attempt = format!("{number}{path}");
            let (status, _, body) = front.call("POST", path, &headers(&attempt), "{}");
            assert_eq!((status, body.as_str()), (200, "the whole body"));
            assert_eq!(arrivals(&servers, &attempt), 1, "{attempt}");
        }
    }
}

#[test]
fn empty_plain_answer_is_whole() {
    let (_store, servers, front) = start_plain();
    servers.iter().for_each(|it| it.set_answer_end(AnswerEnd::Empty));
    for path in ["/lookup/x", "/booking/x"] {
        let (status, head, body) = front.call("POST", path, &headers("empty"), "{}");
        assert_eq!((status, body.as_str()), (200, ""));
        assert!(head.to_ascii_lowercase().contains("content-length: 0"), "{head}");
    }
}

#[test]
fn plain_answer_that_is_reset_is_no_answer() {
    let (_store, servers, front) = start_plain();
    servers[0].set_answer_end(AnswerEnd::Reset);
    let (status, _, body) = front.call("POST", "/lookup/x", &headers("repeated"), "{}");
    assert_eq!((status, body.as_str()), (200, "the whole body"), "another server has it");
    servers[1].set_answer_end(AnswerEnd::Reset);
    for (path, runs) in [("/booking/x", 1), ("/lookup/x", 2)] {
        let (status, _, body) = front.call("POST", path, &headers(path), "{}");
        assert!(status == 502 && body.contains("unknown"), "{status} {body}");
        assert_eq!(arrivals(&servers, path), runs);
    }
}

#[test]
fn streams_that_end_with_their_connection_are_whole() {
    let (_store, engines, _head, front) = start_with_head();
    engines.iter().for_each(|it| it.set_answer_end(AnswerEnd::Close));
    for number in 0..8 {
        let attempt = format!("s{number}");
        let (status, _, body) = front.call("POST", "/stream/x", &headers(&attempt), "{}");
        assert_eq!((status, event_ids(&body)), (200, all_event_ids()));
        assert!(body.ends_with(LAST_CHUNK), "the answer is whole");
        assert_eq!(arrivals(&engines, &attempt), 1);
    }
}

#[test]
fn empty_stream_is_whole() {
    let (_store, engines, _head, front) = start_with_head();
    engines.iter().for_each(|it| it.set_answer_end(AnswerEnd::Empty));
    let (status, _, body) = front.call("POST", "/stream/x", &headers("empty"), "{}");
    assert_eq!((status, body.as_str()), (200, LAST_CHUNK));
}

#[test]
fn stream_that_is_reset_or_ends_inside_an_event_is_resumed() {
    for end in [AnswerEnd::Reset, AnswerEnd::InsidePart] {
        let (_store, engines, head, front) = start_with_head();
        head.set_answer_end(end);
        let (status, _, body) = front.call("POST", "/stream/x", &headers("cut"), "{}");
        assert_eq!((status, event_ids(&body)), (200, all_event_ids()), "{end:?}");
        assert!(body.ends_with(LAST_CHUNK), "{end:?}: the answer is whole");
        assert_eq!(arrivals(&engines, "cut"), 2, "{end:?}");
    }
}

/// Nobody is left to go on; what came is passed on, and the caller can tell that it is not all.
#[test]
fn stream_that_cannot_be_resumed_is_incomplete_for_its_caller() {
    for end in [AnswerEnd::Reset, AnswerEnd::InsidePart] {
        let (_store, engines, _head, front) = start_with_head();
        engines.iter().for_each(|it| it.set_answer_end(end));
        let (status, _, body) = front.call("POST", "/stream/x", &headers("cut"), "{}");
        let ids = event_ids(&body);
        assert!(status == 200 && !ids.is_empty(), "{end:?}: {body}");
        assert_eq!(ids, all_event_ids()[..ids.len()], "{end:?}");
        assert!(!body.ends_with(LAST_CHUNK), "{end:?}: {body}");
    }
}

/// Nothing but the rest of the body comes on a connection whose server answered early.
#[test]
fn connection_with_an_unsent_body_gets_no_other_request() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("a small buffer");
    let entry = json!({"service": "records", "zone": "zone-a", "slots": 4, "state": "ready",
        "address": listener.local_addr().expect("an address"), "seq": 1, "born": 7});
    store.put("servers/r1", &entry);
    let (sender, foreign_bytes) = mpsc::channel();
    let may_read = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&may_read);
    thread::spawn(move || answer_early(listener, flag, sender));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    let body = "x".repeat(4_000_000);
    let began_at = Instant::now();
    while front.call("POST", "/booking/x", &headers("early"), &body).0 != 200 {
        assert!(began_at.elapsed() < Duration::from_secs(30), "the server is not known");
        thread::sleep(Duration::from_millis(20));
    }
    for path in ["/lookup/x", "/booking/x", "/lookup/x"] {
        let (status, _, answer) = front.call("POST", path, &headers("early"), &body);
        assert_eq!((status, answer.as_str()), (200, "body"), "{path}");
    }
    drop(front);
    may_read.store(true, Ordering::Relaxed);
    for _ in 0..4 {
        assert_eq!(foreign_bytes.recv_timeout(Duration::from_secs(30)), Ok(0));
    }
}
