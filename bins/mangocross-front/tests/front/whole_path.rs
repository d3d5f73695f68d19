//! Tests of the whole path from callers through the program to a stand-in of the platform.

use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::platform;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::wait_until;

/// Starts a store with a configuration, four engines and two servers of a plain service.
fn start_platform() -> (Store, Vec<Server>, Vec<Server>) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    // Another writer's entry, which does not describe a server.
    store.put("servers/odd", &serde_json::json!({"service": 7}));
    let spawn = |service: &str, names: &[&str]| -> Vec<Server> {
        names.iter().map(|it| Server::spawn(&store, it, service)).collect()
    };
    let engines = spawn("models", &["e1", "e2", "e3", "e4"]);
    let plain_servers = spawn("records", &["r1", "r2"]);
    (store, engines, plain_servers)
}

fn events(body: &str) -> Vec<&str> {
    body.lines().filter_map(|it| it.strip_prefix("id: ")).collect()
}

#[test]
fn streams_and_plain_requests_are_served() {
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    let body = front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    assert_eq!(events(&body), ["1", "2", "3", "4", "5"]);
    let (status, head, body) = front.call("GET", "/lookup/x", CALLER_HEADERS, "");
    assert_eq!((status, body.as_str()), (200, "the whole body"));
    assert!(platform::is_signed(&head), "{head}");
    let (status, ..) = platform::call(front.ready, "GET", "/-/ready", "", "");
    assert_eq!(status, 200);
}

#[test]
fn disallowed_requests_are_refused_with_an_error_code() {
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let (status, _, body) = front.call("GET", "/nowhere/x", CALLER_HEADERS, "");
    assert!(status == 404 && body.contains("1006"), "{status} {body}");
    let wrong = CALLER_HEADERS.replace("k1", "k2");
    let (status, _, body) = front.call("GET", "/lookup/x", &wrong, "");
    assert!(status == 401 && body.contains("1011"), "{status} {body}");
    let (status, ..) =
        front.call("GET", "/lookup/x", &CALLER_HEADERS.replace("Authorization", "Other"), "");
    assert_eq!(status, 401);
}

/// The head breaks off in the middle of its third event; another group resumes after the second.
#[test]
fn broken_stream_is_resumed_within_one_answer() {
    let (store, engines, _records) = start_platform();
    let front = Front::spawn_logged(store.address, 60_000, 1.0);
    let open = r#"front_groups{state="open"} 2"#;
    wait_until("both groups are open", || front.metrics().lines().any(|it| it == open));
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    // Both groups are idle, so the next stream goes to the same head as this one.
    let head = engines.iter().find(|it| !it.ran().is_empty()).expect("a head");
    head.break_streams(1);
    let body = front.wait_for_status(200, "/stream/x", &CALLER_HEADERS.replace("a1", "broken"));
    assert_eq!(events(&body), ["1", "2", "3", "4", "5"]);
    let runs = engines.iter().map(|it| it.ran().iter().filter(|it| *it == "broken").count());
    assert_eq!(runs.filter(|it| *it == 1).count(), 2, "two servers ran it, once each");
}

/// The request may have run, so it is sent only once and its outcome is reported as unknown.
#[test]
fn booking_without_an_answer_is_never_sent_again() {
    let (store, _engines, plain_servers) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    for it in &plain_servers {
        it.withhold_answers();
    }
    let booking =
        CALLER_HEADERS.replace("a1", "booking-1").replace("Model", "Deadline-Ms: 400\r\nModel");
    let (status, _, body) = front.call("POST", "/booking/x", &booking, "{}");
    assert!(status == 504 && body.contains("unknown"), "{status} {body}");
    let runs = plain_servers.iter().flat_map(Server::ran).filter(|it| it == "booking-1").count();
    assert_eq!(runs, 1);
}

/// One server does not answer and may have run the request, the other one refuses it: the outcome
/// must not be reported as not run.
#[test]
fn request_that_may_have_run_is_not_reported_as_not_run() {
    let (store, _engines, plain_servers) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let has_run = |id: &str| plain_servers.iter().any(|it| it.ran().iter().any(|it| it == id));
    for number in 0..20 {
        plain_servers[0].set_withholding_answers(true);
        plain_servers[1].set_refusing(true);
        let id = format!("lookup-{number}");
        let headers =
            CALLER_HEADERS.replace("a1", &id).replace("Model", "Deadline-Ms: 2000\r\nModel");
        let (status, _, body) = front.call("POST", "/lookup/x", &headers, "{}");
        plain_servers[0].set_withholding_answers(false);
        plain_servers[1].set_refusing(false);
        assert!(status >= 500, "{status} {body}");
        assert_eq!(body.contains("not run"), !has_run(&id), "{status} {body}");
        if has_run(&id) {
            return;
        }
    }
    panic!("the server without answers got no request");
}

/// A server that refused a request did not run it, so it does not count as an attempt.
#[test]
fn stream_finds_the_group_with_room() {
    let (store, engines, _records) = start_platform();
    let more = ["e5", "e6", "e7", "e8"].map(|it| Server::spawn(&store, it, "models"));
    let all = || engines.iter().chain(&more);
    let heads = || all().filter(|it| it.is_open());
    for number in 0..4 {
        let front = Front::spawn(&store, 60_000, Stdio::null());
        front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
        while heads().count() < 4 {}
        heads().enumerate().for_each(|(it, head)| head.set_refusing(it != number));
        let (status, _, body) =
            front.call("POST", "/stream/x", &CALLER_HEADERS.replace("a1", "room"), "{}");
        assert_eq!((status, events(&body).len()), (200, 5), "group {number}: {body}");
        heads().for_each(|it| it.set_refusing(false));
    }
}

#[test]
fn revoked_key_is_refused() {
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    store.configure(4, &["other"]);
    front.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    // An older version that arrives late is ignored.
    store.configure(3, &["k1"]);
    store.configure(5, &["another"]);
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("k1", "another"));
    front.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
}

/// Without contact to the store a key may have been revoked, so requests are refused as not run,
/// with a time to retry.
#[test]
fn keys_are_refused_without_the_store() {
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 4_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    store.set_silent(true);
    let body = front.wait_for_status(503, "/lookup/x", CALLER_HEADERS);
    assert!(body.contains("2006") && body.contains("not run"), "{body}");
    store.set_silent(false);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
}

/// The history of a new store is complete, so a first start needs no range calls; later starts read
/// all keys.
#[test]
fn new_store_is_read_from_its_history() {
    const RANGE: &str = "range";
    let (store, _engines, _records) = start_platform();
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    assert_eq!(store.calls(RANGE), 0);
    front.kill();
    front.restart(Stdio::null());
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    assert!(store.calls(RANGE) > 0);
}

/// Calls to a store that refuses them back off; afterwards the watch continues from its last
/// revision.
#[test]
fn calls_to_a_refusing_store_back_off() {
    const RANGE: &str = "range";
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 2_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let ranges = store.calls(RANGE);
    store.set_refusing(true);
    front.wait_for_status(503, "/lookup/x", CALLER_HEADERS);
    // Requests for the planner's lease count too and add about a tenth; renewals do not count.
    let calls = || [RANGE, "watch", "lease"].map(|it| store.calls(it)).iter().sum();
    let (before, began): (usize, _) = (calls(), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    let (calls, span_s) = (calls() - before, began.elapsed().as_secs_f64());
    assert!(calls as f64 <= 2.0 + 2.0 * span_s, "{calls} calls in {span_s} s");
    store.set_refusing(false);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    assert_eq!(store.calls(RANGE), ranges, "no keys are read again");
}

/// The revocation follows many truncated answers to watches, none of which shows that a key is
/// still valid.
#[test]
fn revoked_key_is_refused_in_time_during_a_backlog_of_changes() {
    const REVOKE: Duration = Duration::from_secs(4);
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, REVOKE.as_millis() as u64, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    for _ in 0..50_000 {
        store.put("servers/odd", &serde_json::json!({"service": 7}));
    }
    store.configure(4, &["other"]);
    let acknowledged_at = Instant::now();
    loop {
        let sent_at = Instant::now();
        let (status, ..) = front.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
        let is_late = sent_at - acknowledged_at > REVOKE;
        assert!(status != 200 || !is_late, "served {:?} late", sent_at - acknowledged_at);
        if status == 401 {
            return;
        }
    }
}

/// A backlog of other changes does not delay the configuration.
#[test]
fn configuration_is_read_during_a_backlog_of_changes() {
    const CHANGE_COUNT: usize = 50_000;
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let sent = store.changes_sent();
    store.set_watch_delay(Duration::from_millis(50));
    for _ in 0..CHANGE_COUNT {
        store.put("servers/odd", &serde_json::json!({"service": 7}));
    }
    store.configure(4, &["other"]);
    front.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    let sent = store.changes_sent() - sent;
    assert!(sent < CHANGE_COUNT, "all {sent} changes were read first");
}

/// A planner whose view of the servers is older than the stored plans would treat serving groups as
/// ended.
#[test]
fn nothing_is_planned_during_a_backlog_of_changes() {
    const CHANGE_COUNT: usize = 20_000;
    let (store, _engines, _records) = start_platform();
    for _ in 0..CHANGE_COUNT {
        store.put("servers/odd", &serde_json::json!({"service": 7}));
    }
    store.set_watch_delay(Duration::from_millis(50));
    let _front = Front::spawn(&store, 60_000, Stdio::null());
    let began = Instant::now();
    while !store.contains_key("mangocross/planner") {
        assert!(began.elapsed() < Duration::from_secs(30), "no planner after the backlog");
    }
    assert!(
        store.changes_sent() >= CHANGE_COUNT,
        "planner after only {} changes",
        store.changes_sent()
    );
}

/// An entry VM learns of a new server from the planner while it still reads an older list of all
/// servers.
#[test]
fn server_reported_during_a_long_read_is_kept() {
    let (store, _engines, _records) = start_platform();
    let _planner = Front::spawn(&store, 60_000, Stdio::null());
    while !store.contains_key("mangocross/planner") {}
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    front.kill();
    let ranges = store.calls("range");
    store.set_range_delay(Duration::from_millis(800));
    front.restart(Stdio::null());
    // The range of the operators' keys comes first, then that of the servers.
    while store.calls("range") < ranges + 2 {}
    std::thread::sleep(Duration::from_millis(100));
    let _late = Server::spawn(&store, "r3", "records");
    while store.calls("range") < ranges + 3 {}
    store.set_range_delay(Duration::ZERO);
    let began = Instant::now();
    while !front.metrics().lines().any(|it| it == "front_backend_servers 7") {
        assert!(began.elapsed() < Duration::from_secs(20), "the new server is missing");
    }
}

/// Before the first request only one entry VM watches a burst of changes; the others read the
/// resulting state.
#[test]
fn burst_before_the_first_request_is_read_by_one_entry_vm() {
    const CHANGE_COUNT: usize = 20_000;
    let (store, _engines, _records) = start_platform();
    let fronts: Vec<Front> = (0..4).map(|_| Front::spawn(&store, 60_000, Stdio::null())).collect();
    let wait_for = |lines: &[&str]| {
        let has_lines = |it: &Front| {
            let text = it.metrics();
            lines.iter().all(|line| text.lines().any(|it| it == *line))
        };
        while !fronts.iter().all(has_lines) {}
    };
    wait_for(&["front_backend_servers 6", "front_entry_vms 4"]);
    let sent = store.changes_sent();
    for _ in 0..CHANGE_COUNT {
        store.put("servers/odd", &serde_json::json!({"service": 7}));
    }
    let _late = Server::spawn(&store, "r3", "records");
    wait_for(&["front_backend_servers 7"]);
    let sent = store.changes_sent() - sent;
    assert!(sent < 2 * CHANGE_COUNT, "{sent} changes were sent to four entry VMs");
}

/// A server whose entry was removed gets no more requests.
#[test]
fn unlisted_server_gets_no_requests() {
    let (store, _engines, plain_servers) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    store.remove("servers/r1");
    store.remove("servers/r2");
    let body = front.wait_for_status(503, "/lookup/x", CALLER_HEADERS);
    assert!(body.contains("not run"), "{body}");
    let ran: usize = plain_servers.iter().map(|it| it.ran().len()).sum();
    front.call("GET", "/lookup/x", CALLER_HEADERS, "");
    assert_eq!(plain_servers.iter().map(|it| it.ran().len()).sum::<usize>(), ran);
}

/// Without a reader of the log the pipe fills up; no request waits for it.
#[test]
fn unread_log_does_not_block_requests() {
    let (store, _engines, _records) = start_platform();
    let front = Front::spawn(&store, 60_000, Stdio::piped());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    for _ in 0..600 {
        assert_eq!(front.call("GET", "/nowhere/x", CALLER_HEADERS, "").0, 404);
    }
}

#[test]
fn sigterm_ends_the_program_after_callers_were_served() {
    let (store, _engines, _records) = start_platform();
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    front.terminate();
    let not_ready = || platform::call(front.ready, "GET", "/-/ready", "", "").0 == 503;
    while !not_ready() {}
    assert_eq!(front.call("GET", "/lookup/x", CALLER_HEADERS, "").0, 200);
    assert!(front.exited_successfully());
}
