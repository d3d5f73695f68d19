//! Tests with servers that send something, but no answer.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Server;
use crate::platform::StreamFault;
use crate::platform::start_engines;

/// Time between two events of a server that is slow, but sound.
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Lateness of a server up to which its pauses are the ones that were set.
const LATENESS_MAX: Duration = Duration::from_millis(50);
/// Streams of which one must come from a server that is not late.
const SLOW_STREAMS_MAX: u32 = 10;

fn event_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect()
}

fn all_event_ids() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Sets the fault of the head that serves next, which is the one that served last.
fn set_fault(engines: &[Server], fault: StreamFault) -> &Server {
    let head = engines.iter().find(|it| !it.ran().is_empty()).expect("a head");
    head.set_stream_fault(fault);
    head
}

/// A server that sends a comment now and then makes no progress; another group goes on after the
/// last event.
#[test]
fn stalled_stream_with_comments_is_resumed() {
    let (_store, engines, front) = start_engines();
    let head = set_fault(&engines, StreamFault::OnlyComments);
    let (status, _, body) =
        front.call("POST", "/stream/x", &CALLER_HEADERS.replace("a1", "stalled"), "{}");
    assert_eq!((status, event_ids(&body)), (200, all_event_ids()));
    assert!(head.ran().contains(&"stalled".to_owned()), "the faulty server had it first");
}

/// An event without end is no progress either, and nothing of it reaches the caller.
#[test]
fn stream_with_an_endless_event_is_resumed() {
    let (_store, engines, front) = start_engines();
    set_fault(&engines, StreamFault::EndlessEvent);
    let (status, _, body) =
        front.call("POST", "/stream/x", &CALLER_HEADERS.replace("a1", "endless"), "{}");
    assert_eq!((status, event_ids(&body)), (200, all_event_ids()));
    assert!(!body.contains("data: x"), "a part of the endless event was forwarded");
}

/// Memory of a process in KiB.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// A failure whose body never ends: the caller has its answer by its deadline, and the memory of
/// the entry VM stays bounded.
#[test]
fn endless_failure_ends_by_the_deadline_in_bounded_memory() {
    const MEMORY_KIB_MAX: u64 = 100 << 10;
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_stream_fault(StreamFault::EndlessFailure));
    for number in 0..4 {
        let headers = CALLER_HEADERS.replace("a1", &format!("failure-{number}"));
        let headers = headers.replace("Model", "Deadline-Ms: 2000\r\nModel");
        let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
        assert!(status == 502 && body.contains("unknown"), "{status} {body}");
        let resident = resident_kib(front.pid());
        assert!(resident < MEMORY_KIB_MAX, "{resident} KiB");
    }
    engines.iter().for_each(|it| it.set_stream_fault(StreamFault::None));
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
}

/// Events that come slowly but within the callers' patience are no stall, and the answer stays
/// with its server.
///
/// The streams of one that was late itself, on a busy machine, do not count: it was silent for as
/// long as a stalled server.
#[test]
fn slow_but_sound_stream_is_left_alone() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(SLOW_PAUSE));
    for number in 0..SLOW_STREAMS_MAX {
        let attempt = format!("slow-{number}");
        let headers = CALLER_HEADERS.replace("a1", &attempt);
        let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
        assert_eq!((status, event_ids(&body)), (200, all_event_ids()));
        let silences = engines.iter().map(|it| it.longest_silence(&attempt));
        let longest = silences.max().unwrap_or_default();
        if longest < SLOW_PAUSE + LATENESS_MAX {
            let runs = engines.iter().flat_map(Server::ran).filter(|it| *it == attempt).count();
            assert_eq!(runs, 1, "the longest silence of the server was {longest:?}");
            return;
        }
        eprintln!("{attempt}: the server was silent for {longest:?}");
    }
    panic!("the servers were late in each of {SLOW_STREAMS_MAX} streams");
}

/// A caller that does not read for three seconds and then goes on has its whole stream.
#[test]
fn caller_that_pauses_keeps_its_stream() {
    let (_store, _engines, front) = start_engines();
    let mut stream = TcpStream::connect(front.address).expect("a connection");
    let headers = CALLER_HEADERS.replace("a1", "pausing");
    let text = format!(
        "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 2\r\n{headers}\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).expect("sent");
    let mut first = [0; 20];
    stream.read_exact(&mut first).expect("the head");
    thread::sleep(Duration::from_secs(3));
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("a complete answer");
    assert_eq!(event_ids(&rest), all_event_ids());
    assert!(rest.ends_with("0\r\n\r\n"), "the answer is whole");
}
