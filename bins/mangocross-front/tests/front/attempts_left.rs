//! Tests with requests that have attempts left, or no time.

use std::process::Stdio;
use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::LogFile;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::start_groups_with_log;
use crate::platform::wait_until;

fn has_run(server: &Server, attempt: &str) -> bool {
    server.ran().iter().any(|it| it == attempt)
}

/// Guards against a request that fails with an attempt left, since it was decided before a silent
/// server refused the request that there is none.
#[test]
fn attempt_that_a_refusal_gives_back_is_used() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let first = Server::spawn(&store, "r1", "records");
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    first.fall_silent(Duration::from_millis(900));
    first.set_refusing(true);
    let (status, _, body) = thread::scope(|scope| {
        let headers = CALLER_HEADERS.replace("a1", "freed");
        let front = &front;
        let answer = scope.spawn(move || front.call("GET", "/lookup/x", &headers, ""));
        thread::sleep(Duration::from_millis(150));
        let second = Server::spawn(&store, "r2", "records");
        second.withhold_answers();
        wait_until("the second run", || has_run(&second, "freed"));
        Server::spawn(&store, "r3", "records");
        wait_until("the refusal", || first.arrived().iter().any(|it| it == "freed"));
        thread::sleep(Duration::from_millis(200));
        second.set_withholding_answers(false);
        answer.join().expect("an answer")
    });
    assert_eq!(status, 200, "{body}");
}

/// Guards against a request that is held past its deadline while connections are opened.
#[test]
fn deadline_ends_the_search_for_a_head_that_can_be_reached() {
    let log = LogFile::new("late");
    let (_store, engines, front) = start_groups_with_log(6, 2, log.create());
    // Connections that are idle for longer are not reused.
    thread::sleep(Duration::from_millis(1500));
    engines.iter().for_each(|it| it.set_deaf(true));
    let headers = format!("{}Deadline-Ms: 200\r\n", CALLER_HEADERS.replace("a1", "late"));
    let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("time is over"), "{body}");
    assert!(body.contains("\"not run\""), "{body}");
    assert!(
        log.count("server not reached", "late") < 3,
        "connections are opened after the deadline"
    );
}
