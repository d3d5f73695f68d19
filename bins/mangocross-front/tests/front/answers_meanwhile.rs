//! Tests with answers that come while the request is being sent to another server.

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

/// Guards against an answer that waits while connections to other servers are opened, and against
/// more connections for a request that has its answer.
#[test]
fn plain_answer_is_read_while_connections_to_other_servers_are_opened() {
    let log = LogFile::new("plain-meanwhile");
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let server = Server::spawn(&store, "r1", "records");
    let front = Front::spawn(&store, 60_000, log.create());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let status = thread::scope(|scope| {
        server.fall_silent(Duration::from_millis(800));
        let headers = CALLER_HEADERS.replace("a1", "meanwhile");
        let front = &front;
        let answer = scope.spawn(move || front.call("GET", "/lookup/x", &headers, "").0);
        for id in ["r2", "r3", "r4", "r5"] {
            Server::spawn_deaf(&store, id, "records");
        }
        answer.join().expect("an answer")
    });
    assert_eq!(status, 200);
    assert!(has_run(&server, "meanwhile"));
    assert_eq!(log.count("server silent", "meanwhile"), 1);
    assert!(log.count("server not reached", "meanwhile") < 4);
}

/// Guards against the same for streams before their first event.
#[test]
fn stream_is_read_while_connections_to_other_heads_are_opened() {
    let log = LogFile::new("stream-meanwhile");
    let (_store, engines, front) = start_groups_with_log(4, 2, log.create());
    // Connections that are idle for longer are not reused.
    thread::sleep(Duration::from_millis(1300));
    engines.iter().for_each(|it| it.set_head_pause(Duration::from_millis(1800)));
    let answer = thread::scope(|scope| {
        let headers = CALLER_HEADERS.replace("a1", "meanwhile");
        let front = &front;
        let answer = scope.spawn(move || front.call("POST", "/stream/x", &headers, "{}"));
        wait_until("the stream is sent", || log.count("stream sent", "meanwhile") > 0);
        // Heads that are deaf for longer get no requests, since the planner's probes fail.
        thread::sleep(Duration::from_millis(1200));
        engines
            .iter()
            .filter(|it| it.is_open() && !has_run(it, "meanwhile"))
            .for_each(|it| it.set_deaf(true));
        answer.join().expect("an answer")
    });
    assert_eq!(answer.0, 200, "{}", answer.2);
    assert_eq!(log.count("server silent", "meanwhile"), 1);
    assert!(log.count("server not reached", "meanwhile") < 3);
}
