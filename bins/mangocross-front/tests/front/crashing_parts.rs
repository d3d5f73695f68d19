//! Tests with a part of prompts that crashes each server which begins to answer it.

use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::platform;
use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Part of the prompts that crashes servers.
const CRASHING_PART: &str = "bad0cafe";
/// Number of requests with the part that may reach servers later than STABLE_WINDOW after the
/// fifth crash.
const LATE_REQUESTS_MAX: usize = 3;
/// Time in which all entry VMs must know of the crashes.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// Number of the next attempt or own part.
static NEXT: AtomicU32 = AtomicU32::new(1);

/// Returns the headers of a request whose prompt has these shared parts.
fn headers(shared_parts: &str) -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let headers = CALLER_HEADERS.replace("a1", &format!("part-{number}"));
    headers + &platform::prompt_header(&format!("0a0a0a0a:40,{shared_parts}"), number)
}

fn crashing_headers() -> String {
    headers(&format!("{CRASHING_PART}:25,"))
}

/// Starts a store, engines that form six groups, and four entry VMs; crashed engines still accept
/// connections for a while.
fn start(listens_on: Duration) -> (Store, Vec<Server>, Vec<Front>) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let spawn = |number| Server::spawn(&store, &format!("e{number}"), "models");
    let engines: Vec<Server> = (0..12).map(spawn).collect();
    for engine in &engines {
        engine.set_crashing_part(CRASHING_PART);
        engine.set_listens_on(listens_on);
    }
    let fronts: Vec<Front> = (0..4).map(|_| Front::spawn(&store, 60_000, Stdio::null())).collect();
    for front in &fronts {
        front.wait_for_status(200, "/stream/x", &headers(""));
    }
    while engines.iter().filter(|it| it.is_open()).count() < 6 {
        thread::sleep(Duration::from_millis(20));
    }
    (store, engines, fronts)
}

/// Sends requests to the entry VMs in turn without waiting for their answers.
fn send(fronts: &[Front], count: usize, make: fn() -> String) -> Vec<JoinHandle<(u16, String)>> {
    let addresses = fronts.iter().map(|it| it.address).cycle().take(count);
    let calls = addresses.map(|address| {
        thread::sleep(REQUEST_INTERVAL);
        let headers = make();
        thread::spawn(move || {
            let (status, _, body) =
                crate::platform::call(address, "POST", "/stream/x", &headers, "{}");
            (status, body)
        })
    });
    calls.collect()
}

fn crashing_requests(engines: &[Server]) -> usize {
    engines.iter().map(Server::crashing_requests).sum()
}

/// Returns the headers of a request that shares the caller and the first part with those that crash
/// servers.
fn sound_headers() -> String {
    headers("0b0b0b0b:30,")
}

fn is_whole(body: &str) -> bool {
    body.contains(&format!("id: {EVENTS}\n"))
}

fn assert_sound_requests_are_served(fronts: &[Front], make: fn() -> String) {
    for front in fronts {
        front.wait_for_status(200, "/stream/x", &make());
    }
    for call in send(fronts, 20, make) {
        let (status, body) = call.join().expect("an answer");
        assert!(status == 200 && is_whole(&body), "a sound request: {status} {body}");
    }
}

/// Sends requests with the crashing part, and checks that hardly any reaches a server later than
/// STABLE_WINDOW after the first ones; returns how many had reached servers before.
fn assert_part_is_quarantined(fronts: &[Front], engines: &[Server]) -> usize {
    for call in send(fronts, 60, crashing_headers) {
        let (status, body) = call.join().expect("an answer");
        assert!(!is_whole(&body), "{status} {body}");
    }
    thread::sleep(STABLE_WINDOW);
    let early = crashing_requests(engines);
    let crashes: u32 = engines.iter().map(Server::crashes).sum();
    assert!(crashes >= 3, "{crashes} crashes by {early} requests");
    assert_sound_requests_are_served(fronts, sound_headers);

    let mut refused = 0;
    for call in send(fronts, 40, crashing_headers) {
        let (status, body) = call.join().expect("an answer");
        refused += usize::from(status == 503 && body.contains("\"not run\""));
    }
    let late = crashing_requests(engines) - early;
    assert!(
        late <= LATE_REQUESTS_MAX,
        "{late} requests reached servers after {early} with {crashes} crashes"
    );
    assert!(refused >= 40 - LATE_REQUESTS_MAX, "{refused} requests were refused");
    assert_sound_requests_are_served(fronts, sound_headers);
    early
}

/// Requests with one part in their prompts crashed 44 to 68 servers, one after the other: they
/// were resumed and repeated, and no entry VM learned from the crashes.
#[test]
fn part_that_crashed_five_servers_reaches_hardly_any_more() {
    let (_store, engines, mut fronts) = start(Duration::ZERO);
    let early = assert_part_is_quarantined(&fronts, &engines);

    // A new process has to learn of the part from the others.
    fronts[0].kill();
    fronts[0].restart(Stdio::null());
    fronts[0].wait_for_status(200, "/stream/x", &headers(""));
    thread::sleep(STABLE_WINDOW);
    for call in send(&fronts[..1], 10, crashing_headers) {
        let _ = call.join();
    }
    let late = crashing_requests(&engines) - early;
    assert!(late <= LATE_REQUESTS_MAX, "{late} requests reached servers after a restart");
}

/// A crash was told only from a refused connection right after it. Where the listening socket
/// outlives the process that crashes, hardly any crash counted, and no part was quarantined.
#[test]
fn part_is_quarantined_if_crashed_servers_still_accept_connections() {
    let (_store, engines, fronts) = start(Duration::from_millis(50));
    assert_part_is_quarantined(&fronts, &engines);
}

/// Crashes that no request causes must not make a rare part suspect for good: here several servers
/// crash together, twice, while streams with a part that was never seen before wait for
/// their first event.
#[test]
fn rare_part_is_served_after_crashes_of_several_servers() {
    let (_store, engines, fronts) = start(Duration::ZERO);
    let rare = || headers("0c0c0c0c:30,");
    for _ in 0..2 {
        engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(400)));
        let calls = send(&fronts, 8, rare);
        for head in engines.iter().filter(|it| it.is_open()).take(3) {
            head.crash();
        }
        for call in calls {
            let _ = call.join();
        }
        engines.iter().for_each(|it| it.set_event_pause(Duration::ZERO));
    }
    assert_sound_requests_are_served(&fronts, rare);
}
