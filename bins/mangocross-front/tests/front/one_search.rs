//! Tests of the search for a server before the first event of a stream, and of plain requests.

use std::process::Stdio;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::StreamFault;
use crate::platform::is_signed;
use crate::platform::start_groups;
use crate::platform::start_plain;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;

/// Time before the head of a stream of a sound server that is found silent meanwhile.
const HEAD_PAUSE: Duration = Duration::from_millis(2600);
/// Time for which a server refuses requests or no retry is left.
const MOMENT: Duration = Duration::from_millis(400);

/// Streams that fill a group beyond its slots, and how many of them it has at least then.
const FILLING_STREAMS: usize = 16;
const FULL_STREAMS: usize = 5;

fn call_stream(front: &Front, attempt: &str) -> (u16, String) {
    let headers = CALLER_HEADERS.replace("a1", attempt);
    let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
    (status, body)
}

fn call_plain(front: &Front, attempt: &str) -> (u16, String) {
    let headers = CALLER_HEADERS.replace("a1", attempt);
    let (status, _, body) = front.call("GET", "/lookup/x", &headers, "");
    (status, body)
}

fn assert_whole((status, body): &(u16, String)) {
    let ids: Vec<u64> =
        body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!((*status, ids), (200, (1..=EVENTS).collect()), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "the answer was cut: {body}");
}

fn assert_plain_whole(answer: &(u16, String)) {
    assert_eq!((answer.0, answer.1.as_str()), (200, "the whole body"));
}

fn has_run(server: &Server, attempt: &str) -> bool {
    server.ran().iter().any(|it| it == attempt)
}

fn has_arrived(server: &Server, attempt: &str) -> bool {
    server.arrived().iter().any(|it| it == attempt)
}

/// Returns the servers that run an attempt, and the others that may be sent requests, once there are
/// `count` of the former.
fn wait_for_runs<'a>(
    servers: &'a [Server],
    attempt: &str,
    count: usize,
) -> (Vec<&'a Server>, Vec<&'a Server>) {
    let run = |it: &&Server| has_run(it, attempt);
    wait_until("runs of the request", || servers.iter().filter(run).count() >= count);
    let may_serve = |it: &&Server| it.is_open() || it.group().is_none();
    servers.iter().filter(may_serve).partition(run)
}

/// Starts plain servers and an entry VM that sends a repeatable request to at most `attempts_max`.
fn start_records(count: usize, attempts_max: u32) -> (Store, Vec<Server>, Front) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| it["routes"][1]["max_attempts"] = attempts_max.into());
    let servers: Vec<Server> =
        (1..=count).map(|it| Server::spawn(&store, &format!("r{it}"), "records")).collect();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    wait_for_metric(&front, &format!("front_backend_servers {count}"));
    (store, servers, front)
}

/// Allows a single retry in each window.
fn allow_single_retry(front: &mut Front, window_s: u32) {
    front.restart_with(|it| {
        it["bounds"]["retry_budget_ratio"] = json!(0.0);
        it["bounds"]["retry_slack"] = json!(1.5);
        it["bounds"]["budget_window_s"] = json!(window_s);
    });
}

/// Guards against an answer without an event, since a silent server was given up for the head of
/// another one's answer, which then broke.
#[test]
fn silent_server_is_not_given_up_for_the_head_of_another_answer() {
    let (_store, engines, front) = start_groups(2, 2);
    engines.iter().for_each(|it| it.set_head_pause(HEAD_PAUSE));
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_stream(&front, "head-only"));
        let (_, others) = wait_for_runs(&engines, "head-only", 1);
        for it in others {
            it.set_head_pause(Duration::ZERO);
            it.set_stream_fault(StreamFault::HeadOnly);
        }
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a stream that ends at its deadline because two servers hang, although a third one
/// would serve it.
#[test]
fn third_head_is_asked_while_two_hang_before_the_first_event() {
    let (_store, engines, front) = start_groups(3, 3);
    engines.iter().for_each(Server::withhold_answers);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_stream(&front, "hanging"));
        let (_, others) = wait_for_runs(&engines, "hanging", 2);
        others.iter().for_each(|it| it.set_withholding_answers(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a stream that fails with its silent server, since the other group was full while
/// that one was silent.
#[test]
fn stream_asks_again_where_it_was_refused_after_its_silent_server_failed() {
    let (_store, engines, front) = start_groups(2, 2);
    engines.iter().for_each(Server::withhold_answers);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_stream(&front, "full"));
        let (first, others) = wait_for_runs(&engines, "full", 1);
        for it in &others {
            it.set_withholding_answers(false);
            it.set_refusing(true);
        }
        wait_until("a refusal", || others.iter().any(|it| has_arrived(it, "full")));
        first.iter().for_each(|it| it.set_withholding_answers(false));
        thread::sleep(MOMENT);
        others.iter().for_each(|it| it.set_refusing(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a stream that fails at once because its server broke while no retry was left,
/// although one is allowed in time.
#[test]
fn stream_that_broke_before_its_first_event_waits_for_the_retry_budget() {
    let (_store, engines, mut front) = start_groups(2, 2);
    allow_single_retry(&mut front, 1);
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_for_metric(&front, r#"front_groups{state="open"} 2"#);
    engines.iter().for_each(Server::withhold_answers);
    let answers = thread::scope(|scope| {
        let answers = ["first", "second"].map(|it| {
            let front = &front;
            scope.spawn(move || call_stream(front, it))
        });
        wait_for_runs(&engines, "first", 1);
        wait_for_runs(&engines, "second", 1);
        engines.iter().for_each(|it| it.set_withholding_answers(false));
        answers.map(|it| it.join().expect("an answer"))
    });
    answers.iter().for_each(assert_whole);
}

/// Guards against a repeatable request that ends at its deadline because two servers hang, although
/// a third one would serve it.
#[test]
fn third_plain_server_is_asked_while_two_hang() {
    let (_store, servers, front) = start_records(3, 3);
    servers.iter().for_each(Server::withhold_answers);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_plain(&front, "hanging"));
        let (_, others) = wait_for_runs(&servers, "hanging", 2);
        others.iter().for_each(|it| it.set_withholding_answers(false));
        answer.join().expect("an answer")
    });
    assert_plain_whole(&answer);
}

/// Guards against a repeatable request that fails with its silent server, since the other server was
/// full while that one was silent.
#[test]
fn plain_request_asks_again_where_it_was_refused_after_its_silent_server_failed() {
    let (_store, servers, front) = start_records(2, 2);
    servers.iter().for_each(Server::withhold_answers);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_plain(&front, "full"));
        let (first, others) = wait_for_runs(&servers, "full", 1);
        for it in &others {
            it.set_withholding_answers(false);
            it.set_refusing(true);
        }
        wait_until("a refusal", || others.iter().any(|it| has_arrived(it, "full")));
        first.iter().for_each(|it| it.set_withholding_answers(false));
        thread::sleep(MOMENT);
        others.iter().for_each(|it| it.set_refusing(false));
        answer.join().expect("an answer")
    });
    assert_plain_whole(&answer);
}

/// Guards against a repeatable request that fails at once because its server broke while no retry
/// was left, although one is allowed in time.
#[test]
fn plain_request_that_broke_waits_for_the_retry_budget() {
    let (_store, servers, mut front) = start_records(2, 2);
    allow_single_retry(&mut front, 1);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    wait_for_metric(&front, "front_backend_servers 2");
    servers.iter().for_each(Server::withhold_answers);
    let answers = thread::scope(|scope| {
        let answers = ["first", "second"].map(|it| {
            let front = &front;
            scope.spawn(move || call_plain(front, it))
        });
        wait_for_runs(&servers, "first", 1);
        wait_for_runs(&servers, "second", 1);
        servers.iter().for_each(|it| it.set_withholding_answers(false));
        answers.map(|it| it.join().expect("an answer"))
    });
    answers.iter().for_each(assert_plain_whole);
}

/// Guards against a success without the server's signature that is passed on.
#[test]
fn plain_success_without_a_signature_is_not_passed_on() {
    let (_store, servers, front) = start_plain();
    for it in &servers {
        it.set_unsigned(true);
    }
    let (status, body) = call_plain(&front, "unsigned");
    assert_eq!(status, 502, "{body}");
    servers[0].set_unsigned(false);
    // Each of the two servers may be asked first.
    for number in 0..4 {
        let headers = CALLER_HEADERS.replace("a1", &format!("signed-{number}"));
        let (status, head, body) = front.call("GET", "/lookup/x", &headers, "");
        assert_eq!((status, body.as_str()), (200, "the whole body"));
        assert!(is_signed(&head), "{head}");
    }
}

/// Guards against a start of a stream that pays for a retry although no server could be connected
/// to, so that the next stream fails for lack of budget.
#[test]
fn start_of_a_stream_pays_for_no_retry_without_a_connection() {
    let (_store, engines, mut front) = start_groups(2, 2);
    allow_single_retry(&mut front, 60);
    wait_for_metric(&front, r#"front_groups{state="open"} 2"#);
    engines.iter().for_each(Server::withhold_answers);
    thread::scope(|scope| {
        let answer = scope.spawn(|| call_stream(&front, "alone"));
        let (first, others) = wait_for_runs(&engines, "alone", 1);
        others.iter().for_each(|it| it.set_deaf(true));
        first.iter().for_each(|it| it.set_withholding_answers(false));
        let (status, body) = answer.join().expect("an answer");
        assert_eq!(status, 502, "{body}");
        others.iter().for_each(|it| it.set_deaf(false));
    });
    // The group of the deaf head may be re-formed.
    thread::sleep(Duration::from_secs(1));
    wait_until("two open heads", || engines.iter().filter(|it| it.is_open()).count() == 2);
    engines.iter().for_each(Server::withhold_answers);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call_stream(&front, "paid"));
        let (first, others) = wait_for_runs(&engines, "paid", 1);
        others.iter().chain(&first).for_each(|it| it.set_withholding_answers(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a stream that is refused by groups that would queue it, although its first server
/// broke only after the head of its answer.
#[test]
fn stream_that_broke_after_its_head_may_wait_in_the_queue_of_another_group() {
    let (_store, engines, front) = start_groups(2, 2);
    let heads: Vec<&Server> = engines.iter().filter(|it| it.is_open()).collect();
    let (broken, full) = (heads[0], heads[1]);
    broken.set_refusing(true);
    full.withhold_answers();
    thread::scope(|scope| {
        for number in 0..FILLING_STREAMS {
            let front = &front;
            scope.spawn(move || call_stream(front, &format!("filling-{number}")));
        }
        wait_until("a full group", || full.ran().len() > FULL_STREAMS);
        // A head that refused a stream gets none for a moment.
        thread::sleep(MOMENT);
        broken.set_refusing(false);
        broken.set_stream_fault(StreamFault::HeadOnly);
        let queued = scope.spawn(|| call_stream(&front, "queued"));
        wait_until("the end of the stream, or its run", || {
            has_run(full, "queued") || queued.is_finished()
        });
        full.set_withholding_answers(false);
    });
    assert!(has_run(broken, "queued"), "its first server is another one");
    assert!(has_run(full, "queued"), "the stream was not queued");
}
