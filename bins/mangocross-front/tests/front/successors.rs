//! Tests with streams whose server breaks, and with the servers that are to continue them.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::LogFile;
use crate::platform::OddAnswer;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::start_groups;
use crate::platform::start_groups_with_log;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;

/// Time for which a sound server is silent.
const SILENCE: Duration = Duration::from_millis(1200);

/// Sends the request of a stream; returns status and body once the answer has ended.
fn call(front: &Front, attempt: &str) -> (u16, String) {
    let headers = CALLER_HEADERS.replace("a1", attempt);
    let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
    (status, body)
}

fn assert_whole((status, body): &(u16, String)) {
    let ids: Vec<u64> =
        body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!((*status, ids), (200, (1..=EVENTS).collect()), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "the answer was cut: {body}");
}

fn runs(engine: &Server, attempt: &str) -> usize {
    engine.ran().iter().filter(|it| *it == attempt).count()
}

fn all_runs(engines: &[Server], attempt: &str) -> usize {
    engines.iter().map(|it| runs(it, attempt)).sum()
}

/// Returns the heads that run an attempt, and the open heads that don't, once there are `count` of
/// the former.
fn wait_for_runs<'a>(
    engines: &'a [Server],
    attempt: &str,
    count: usize,
) -> (Vec<&'a Server>, Vec<&'a Server>) {
    let run = |it: &&Server| runs(it, attempt) > 0;
    wait_until("runs of the stream", || engines.iter().filter(run).count() >= count);
    engines.iter().filter(|it| it.is_open()).partition(run)
}

/// Makes streams slow, and the next answer of each engine break inside its third event.
fn break_first_answer_of_each(engines: &[Server]) {
    for engine in engines {
        engine.set_event_pause(Duration::from_millis(150));
        engine.break_streams(1);
    }
}

/// Guards against an answer that ends at its deadline because the server that is to continue it
/// hangs, although a third one would continue it.
#[test]
fn successor_that_hangs_is_replaced_while_attempts_are_left() {
    let (_store, engines, front) = start_groups(3, 3);
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "hanging"));
        let (_, others) = wait_for_runs(&engines, "hanging", 1);
        for it in others {
            it.break_streams(0);
            it.withhold_answers();
        }
        let (_, others) = wait_for_runs(&engines, "hanging", 2);
        others.iter().for_each(|it| it.set_withholding_answers(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
    assert_eq!(all_runs(&engines, "hanging"), 3);
}

/// Guards against giving up a successor that pauses before another one continues the stream.
#[test]
fn silent_successor_is_waited_for_where_no_other_server_takes_the_stream() {
    let (_store, engines, front) = start_groups(3, 3);
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "pausing"));
        let (_, others) = wait_for_runs(&engines, "pausing", 1);
        others.iter().for_each(|it| it.break_streams(0));
        let (second, _) = wait_for_runs(&engines, "pausing", 2);
        second.iter().for_each(|it| it.fall_silent(SILENCE));
        others.iter().filter(|it| runs(it, "pausing") == 0).for_each(|it| it.set_refusing(true));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a stream that runs on more servers than its route allows, since a successor that
/// failed is not counted.
#[test]
fn successor_that_breaks_counts_as_an_attempt() {
    let (_store, engines, front) = start_groups(3, 2);
    break_first_answer_of_each(&engines);
    let (status, body) = call(&front, "breaking");
    assert_eq!(status, 200);
    assert!(!body.ends_with("0\r\n\r\n"), "the answer looks complete: {body}");
    assert_eq!(all_runs(&engines, "breaking"), 2);
}

/// Guards against the same for a successor that was dropped because the silent server went on.
#[test]
fn successor_that_is_dropped_counts_as_an_attempt() {
    let (_store, engines, front) = start_groups(3, 2);
    break_first_answer_of_each(&engines);
    let (_, body) = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "dropped"));
        let (first, others) = wait_for_runs(&engines, "dropped", 1);
        others.iter().for_each(|it| it.withhold_answers());
        first[0].fall_silent(SILENCE);
        answer.join().expect("an answer")
    });
    assert!(body.contains("id: 2\n"), "the first server did not go on: {body}");
    assert!(!body.ends_with("0\r\n\r\n"), "the answer looks complete: {body}");
    assert_eq!(all_runs(&engines, "dropped"), 2);
}

/// Guards against a retry that is paid for although no server could be connected to, so that the
/// next stream that breaks is cut for lack of budget.
#[test]
fn retry_without_a_server_is_not_paid_for() {
    let (_store, engines, mut front) = start_groups(2, 2);
    // Allows a single retry: each entry VM uses 0.8 of its share.
    front.restart_with(|it| {
        it["bounds"]["retry_budget_ratio"] = json!(0.0);
        it["bounds"]["retry_slack"] = json!(1.5);
        it["bounds"]["budget_window_s"] = json!(60);
    });
    wait_for_metric(&front, r#"front_groups{state="open"} 2"#);
    break_first_answer_of_each(&engines);
    thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "alone"));
        let (_, others) = wait_for_runs(&engines, "alone", 1);
        others.iter().for_each(|it| it.set_deaf(true));
        let (_, body) = answer.join().expect("an answer");
        assert!(!body.ends_with("0\r\n\r\n"), "the answer looks complete: {body}");
        others.iter().for_each(|it| it.set_deaf(false));
    });
    // The group of the deaf head may be re-formed.
    thread::sleep(Duration::from_secs(1));
    wait_until("two open heads", || engines.iter().filter(|it| it.is_open()).count() == 2);
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "paid"));
        let (_, others) = wait_for_runs(&engines, "paid", 1);
        others.iter().for_each(|it| it.break_streams(0));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against a silent stream that is never moved because the first search found no server.
#[test]
fn silent_stream_searches_again() {
    let (_store, engines, front) = start_groups(5, 2);
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(100)));
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "searching"));
        let (first, others) = wait_for_runs(&engines, "searching", 1);
        others.iter().for_each(|it| it.set_refusing(true));
        first[0].fall_silent(Duration::from_secs(20));
        let has_arrived = |it: &&Server| it.arrived().iter().any(|it| it == "searching");
        wait_until("all refused", || others.iter().all(has_arrived));
        others.iter().for_each(|it| it.set_refusing(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}

/// Guards against heads that are all taken for silent because the entry VM paused itself.
#[test]
fn entry_vm_that_pauses_suspects_no_head() {
    let log = LogFile::new("self-pause");
    let (_store, engines, front) = start_groups_with_log(2, 2, log.create());
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(200)));
    for number in 0..3 {
        let attempt = format!("paused-{number}");
        let answer = thread::scope(|scope| {
            let answer = scope.spawn(|| call(&front, &attempt));
            wait_for_runs(&engines, &attempt, 1);
            thread::sleep(Duration::from_millis(300));
            front.signal(Signal::STOP);
            thread::sleep(Duration::from_millis(1800));
            front.signal(Signal::CONT);
            answer.join().expect("an answer")
        });
        assert_whole(&answer);
        assert_eq!(all_runs(&engines, &attempt), 1);
    }
    assert_eq!(log.count("group suspect: all its streams are stalled", ""), 0);
    assert_eq!(log.count("stream silent", ""), 0);
}

/// Guards against a plain request that is repeated because the entry VM paused itself.
#[test]
fn entry_vm_that_pauses_repeats_no_plain_request() {
    let log = LogFile::new("self-pause-plain");
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, log.create());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    thread::scope(|scope| {
        servers.iter().for_each(|it| it.fall_silent(Duration::from_millis(300)));
        let headers = CALLER_HEADERS.replace("a1", "paused");
        let front = &front;
        let answer = scope.spawn(move || front.call("GET", "/lookup/x", &headers, "").0);
        wait_until("the request is sent", || log.count("request sent", "paused") > 0);
        front.signal(Signal::STOP);
        thread::sleep(SILENCE);
        front.signal(Signal::CONT);
        assert_eq!(answer.join().expect("an answer"), 200);
    });
    assert_eq!(log.count("server silent", "paused"), 0);
    assert_eq!(all_runs(&servers, "paused"), 1);
}

/// Sends a stream whose server breaks while all other groups refuse new requests for a moment.
fn call_while_groups_refuse(groups: usize) -> (u16, String) {
    let (_store, engines, front) = start_groups(groups, 2);
    break_first_answer_of_each(&engines);
    thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "refused"));
        let (_, others) = wait_for_runs(&engines, "refused", 1);
        for it in &others {
            it.break_streams(0);
            it.set_refusing(true);
        }
        let has_arrived = |it: &&Server| it.arrived().iter().any(|it| it == "refused");
        wait_until("a refusal", || others.iter().any(has_arrived));
        thread::sleep(Duration::from_millis(300));
        others.iter().for_each(|it| it.set_refusing(false));
        answer.join().expect("an answer")
    })
}

/// Guards against an answer that is cut since a group that refused the stream once is never asked
/// again, although it has room in time.
#[test]
fn broken_stream_asks_again_where_it_was_refused() {
    assert_whole(&call_while_groups_refuse(2));
}

/// Guards against an answer that is cut at once since several groups refused the stream.
#[test]
fn broken_stream_outlasts_refusals_of_all_groups() {
    assert_whole(&call_while_groups_refuse(5));
}

/// Guards against an answer that is cut at once since the retry budget is used up, although it
/// allows a retry in time.
#[test]
fn broken_stream_waits_for_the_retry_budget() {
    let (_store, engines, mut front) = start_groups(2, 2);
    front.restart_with(|it| {
        it["bounds"]["retry_slack"] = json!(1.5);
        it["bounds"]["budget_window_s"] = json!(1);
    });
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_for_metric(&front, r#"front_groups{state="open"} 2"#);
    // The requests until now have left the window.
    thread::sleep(Duration::from_millis(1300));
    break_first_answer_of_each(&engines);
    let answers = thread::scope(|scope| {
        let first = scope.spawn(|| call(&front, "first"));
        wait_for_runs(&engines, "first", 1);
        let second = scope.spawn(|| call(&front, "second"));
        [first, second].map(|it| it.join().expect("an answer"))
    });
    answers.iter().for_each(assert_whole);
}

/// Guards against the error of a server that was to continue a stream inside the stream, and against a
/// stream that ends with it as if it were complete.
#[test]
fn error_of_a_successor_is_no_part_of_the_stream() {
    const EVENTS_TYPE: Option<&str> = Some("text/event-stream");
    const JSON_TYPE: Option<&str> = Some("application/json");
    let plain = OddAnswer {
        status: Some("500 Failed"),
        content_type: None,
        is_signed: true,
        is_not_run: false,
        has_length: true,
        named_length: None,
        headers: "",
        body: "error: overloaded\n\nid: 9\ndata: error\n\n",
    };
    let full = OddAnswer { status: Some("503 Full"), ..plain };
    let success = OddAnswer { status: Some("200 OK"), ..plain };
    let unsigned = OddAnswer { content_type: EVENTS_TYPE, is_signed: false, ..plain };
    let answers = [
        plain,
        OddAnswer { has_length: false, ..plain },
        full,
        OddAnswer { is_not_run: true, ..full },
        OddAnswer { is_not_run: true, has_length: false, ..full },
        success,
        OddAnswer { content_type: JSON_TYPE, ..success },
        OddAnswer { content_type: JSON_TYPE, has_length: false, ..success },
        OddAnswer { status: Some("200 OK"), ..unsigned },
        OddAnswer { status: Some("502 Bad"), ..unsigned },
        OddAnswer { status: None, ..plain },
        OddAnswer { status: None, body: "HTTP/1.1 500 Fai", ..plain },
    ];
    for answer in answers {
        let (_store, engines, front) = start_groups(2, 2);
        break_first_answer_of_each(&engines);
        engines.iter().for_each(|it| it.set_resumption_answer(answer));
        let (status, body) = call(&front, "failing");
        let case = format!("{answer:?}: {status} {body}");
        let ids: Vec<&str> = body.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
        assert_eq!((status, ids), (200, vec!["1", "2"]), "{case}");
        assert!(!body.contains("error") && !body.contains("HTTP/1.1"), "{case}");
        assert!(!body.ends_with("0\r\n\r\n"), "the stream seems complete: {case}");
    }
}

/// Guards against an earlier refusal that counts as the answer to a stream which the server runs: a
/// faulty server writes it once more on a connection from before.
#[test]
fn earlier_refusal_is_no_answer_to_the_next_attempt() {
    let (_store, engines, front) = start_groups(2, 3);
    let heads: Vec<&Server> = engines.iter().filter(|it| it.is_open()).collect();
    for number in 0..20 {
        assert_whole(&call(&front, &format!("warm-{number}")));
    }
    heads.iter().for_each(|it| it.repeat_refusals_of_resumptions());
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "refused"));
        let (_, others) = wait_for_runs(&engines, "refused", 1);
        others.iter().for_each(|it| it.break_streams(0));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
    let runs = all_runs(&engines, "refused");
    assert_eq!(runs, 2, "the stream broke at one group and went on at the other");
}
