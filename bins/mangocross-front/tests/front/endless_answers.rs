//! Tests with servers that send bytes without end, until the entry VM closes.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::SIGNATURE;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::attempt_header;
use crate::platform::start_plain;
use crate::platform::wait_for_metric;

/// Memory that the process may use, of the 256 MB of its VM.
const MEMORY_MAX_KB: u64 = 64 << 10;
/// Time that callers wait.
const DEADLINE_MS: u32 = 500;
/// Requests that are sent beside each other.
const REQUESTS: usize = 12;
/// Requests that are sent beside each other while all servers are faulty, and the slots of each server.
const CROWD: usize = 96;
const SLOTS: usize = 4;
/// Memory and descriptors of a small VM.
const SMALL_VM_MB: u64 = 160;
const DESCRIPTORS_MAX: u64 = 1024;
/// Maximum number of requests until the faulty server gets one.
const REQUESTS_MAX: usize = 20_000;

/// What is sent once, and what follows it without end.
const KINDS: [(&str, &str); 15] = [
    ("", "x"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"),
    ("", "\r\n"),
    ("HTTP/1.1 200 ", "O"),
    ("HTTP/1.1 200 OK\r\n", "X-Line: text\r\n"),
    ("HTTP/1.1 200 OK\r\nX-Long: ", "text"),
    ("NAMED\r\nContent-Length: 99999999999\r\n\r\n", "text"),
    ("NAMED\r\n\r\n", "text"),
    ("NAMED\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
    ("NAMED\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("NAMED\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    ("NAMED\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"),
    ("NAMED\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: text\r\n"),
    ("HTTP/1.1 500 Failed\r\n\r\n", "text"),
];

/// A server that answers each request, question and order without end; returns its address and the
/// number of connections on which it has done so.
fn spawn_endless(kind: Arc<AtomicUsize>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let played = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&played);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (kind, count) = (Arc::clone(&kind), Arc::clone(&count));
            thread::spawn(move || {
                let mut request = [0; 4096];
                let length = stream.read(&mut request).unwrap_or(0);
                let request = String::from_utf8_lossy(&request[..length]).into_owned();
                let id = request.lines().find_map(|it| it.strip_prefix("attempt-id: "));
                let attempt = attempt_header(id.unwrap_or(""));
                let named = format!("HTTP/1.1 200 OK\r\n{attempt}{SIGNATURE}");
                let (begin, rest) = KINDS[kind.load(Ordering::SeqCst)];
                let begin = begin.replace("NAMED\r\n", &named);
                let rest = rest.repeat((16 << 10) / rest.len());
                count.fetch_add(1, Ordering::SeqCst);
                if stream.write_all(begin.as_bytes()).is_ok() {
                    while stream.write_all(rest.as_bytes()).is_ok() {}
                }
            });
        }
    });
    (address, played)
}

/// Returns the largest memory that the process has used so far, in kB.
fn peak_kb(front: &Front) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", front.pid()));
    let status = status.expect("the process lives");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("a line");
    line.split_whitespace().next().and_then(|it| it.parse().ok()).expect("a number")
}

/// Sends requests beside each other; returns their statuses, zero without a complete answer.
fn send_round(front: &Front, name: &str, requests: usize) -> Vec<u16> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..requests)
            .map(|number| {
                let path = ["/booking/x", "/lookup/x"][number % 2];
                let headers = CALLER_HEADERS.replace("a1", &format!("{name}-{number}"));
                let headers = format!("{headers}Deadline-Ms: {DEADLINE_MS}\r\n");
                scope.spawn(move || front.call("POST", path, &headers, "{}").0)
            })
            .collect();
        callers.into_iter().map(|it| it.join().expect("a caller")).collect()
    })
}

/// Guards against other callers who get no answer beside one faulty server, which also answers questions
/// and orders so. Few of its answers run at a time; the next test is the one for the memory.
#[test]
fn answers_without_end_cost_no_other_request() {
    let (store, servers, front) = start_plain();
    let kind = Arc::new(AtomicUsize::new(0));
    let (address, played) = spawn_endless(Arc::clone(&kind));
    for (id, service) in [("endless-1", "records"), ("endless-2", "models")] {
        let entry = json!({"service": service, "zone": "zone-a", "slots": 4, "state": "ready",
            "address": address, "seq": 1, "born": 7, "domain": "d0", "models": [], "staged": []});
        store.put(&format!("servers/{id}"), &entry);
    }
    wait_for_metric(&front, "front_backend_servers 4");
    for (number, (begin, rest)) in KINDS.iter().enumerate() {
        kind.store(number, Ordering::SeqCst);
        let before = played.load(Ordering::SeqCst);
        let mut statuses = Vec::new();
        // The faulty server gets few requests once it has failed some.
        while played.load(Ordering::SeqCst) == before {
            assert!(statuses.len() < REQUESTS_MAX, "not played: {begin:?} {rest:?}");
            let name = format!("a{number}-{}", statuses.len());
            statuses.extend(send_round(&front, &name, REQUESTS));
        }
        let case = format!("{begin:?} {rest:?}: {statuses:?}");
        // Each caller gets an answer; bookings may run once only, so the faulty server's have none.
        assert!(statuses.iter().all(|it| [200, 500, 502, 503, 504].contains(it)), "{case}");
        assert!(statuses.contains(&200), "{case}");
        let peak_kb = peak_kb(&front);
        assert!(peak_kb < MEMORY_MAX_KB, "{peak_kb} kB, {case}");
    }
    store.remove("servers/endless-1");
    wait_for_metric(&front, "front_backend_servers 3");
    for path in ["/booking/x", "/lookup/x"] {
        front.wait_for_status(200, path, CALLER_HEADERS);
    }
    assert!(servers.iter().all(|it| !it.ran().is_empty()));
}

/// Guards against a process that keeps some of each answer without end, and for which many of them are
/// too much.
#[test]
fn many_answers_without_end_fit_into_the_memory() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let sound = Server::spawn(&store, "r1", "records");
    let front = Front::spawn_limited(store.address, SMALL_VM_MB, DESCRIPTORS_MAX);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let kind = Arc::new(AtomicUsize::new(0));
    let (address, played) = spawn_endless(Arc::clone(&kind));
    sound.unlist();
    for number in 0..CROWD / SLOTS {
        let entry = json!({"service": "records", "zone": "zone-a", "slots": SLOTS, "state": "ready",
            "address": address, "seq": 1, "born": 7});
        store.put(&format!("servers/endless-{number}"), &entry);
    }
    wait_for_metric(&front, &format!("front_backend_servers {}", CROWD / SLOTS));
    for (number, (begin, rest)) in KINDS.iter().enumerate() {
        kind.store(number, Ordering::SeqCst);
        let statuses = send_round(&front, &format!("a{number}"), CROWD);
        let case = format!("{begin:?} {rest:?}: {statuses:?}");
        assert!(statuses.iter().all(|it| [500, 502, 503, 504].contains(it)), "{case}");
        let peak_kb = peak_kb(&front);
        assert!(peak_kb < SMALL_VM_MB << 10, "{peak_kb} kB, {case}");
    }
    assert!(played.load(Ordering::SeqCst) > CROWD, "few were played");
    sound.publish_again();
    (0..CROWD / SLOTS).for_each(|it| store.remove(&format!("servers/endless-{it}")));
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
}

/// Guards against a head without end that keeps the process busy until its caller's deadline.
#[test]
fn head_without_end_ends_its_exchange_before_the_deadline() {
    let (store, servers, front) = start_plain();
    let kind = Arc::new(AtomicUsize::new(0));
    let (address, _) = spawn_endless(Arc::clone(&kind));
    let entry = json!({"service": "records", "zone": "zone-a", "slots": 4, "state": "ready",
        "address": address, "seq": 1, "born": 7});
    servers.iter().for_each(Server::unlist);
    store.put("servers/endless", &entry);
    wait_for_metric(&front, "front_backend_servers 1");
    let heads = KINDS.iter().enumerate().filter(|(_, it)| !it.0.contains("\r\n\r\n"));
    for (number, (begin, rest)) in heads.filter(|(_, it)| !it.0.starts_with("NAMED")) {
        kind.store(number, Ordering::SeqCst);
        for path in ["/booking/x", "/lookup/x"] {
            // At the deadline, which is that of the route, the status would be 504.
            let (status, _, body) = front.call("POST", path, CALLER_HEADERS, "{}");
            assert!(status == 502 && body.contains("unknown"), "{begin:?} {rest:?}: {status}");
        }
    }
}
