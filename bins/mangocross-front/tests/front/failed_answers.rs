//! Tests with servers that run a request and answer with what is no success.

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::EMPTY_SIGNATURE;
use crate::platform::Front;
use crate::platform::OddAnswer;
use crate::platform::SECOND_SIGNATURE;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::is_signed;
use crate::platform::start_groups;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// Statuses by which a caller is told that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const EVENTS_TYPE: Option<&str> = Some("text/event-stream");

/// Starts two groups whose streams may run only once.
fn start_single_streams() -> (Store, Vec<Server>, Front) {
    let (store, engines, front) = start_groups(2, 2);
    store.configure_with(4, &["k1"], |it| it["routes"][0]["resumable"] = json!(false));
    wait_until("it is in force", || front.metrics().contains("front_configuration_version 4"));
    (store, engines, front)
}

/// Sends a request whose servers answer with this; returns the answer and how often it ran.
fn answer_to(
    front: &Front,
    servers: &[Server],
    path: &str,
    answer: OddAnswer,
    number: usize,
) -> (u16, String, String, usize) {
    servers.iter().for_each(|it| it.set_answer(Some(answer)));
    let attempt = format!("a{number}{path}");
    let headers = CALLER_HEADERS.replace("a1", &attempt);
    let (status, head, body) = front.call("POST", path, &headers, "{}");
    let runs = servers.iter().flat_map(Server::ran).filter(|it| *it == attempt).count();
    (status, head, body, runs)
}

/// Checks that plain requests that run and get these answers end as unknown, without a signature.
fn assert_unknown_on_plain_routes(answers: Vec<OddAnswer>) {
    let (_store, servers, front) = start_plain();
    for (number, answer) in answers.into_iter().enumerate() {
        for (path, runs_max) in [("/booking/x", 1), ("/lookup/x", 2)] {
            let (status, head, body, runs) = answer_to(&front, &servers, path, answer, number);
            let case = format!("{path} {answer:?}: {head} {body}");
            assert!(runs >= 1 && runs <= runs_max, "{runs} runs, {case}");
            assert!(status == 502 && !is_signed(&head) && body.contains("unknown"), "{case}");
        }
    }
}

fn promises() -> Vec<OddAnswer> {
    let statuses = ["503 Failed", "429 Too Many", "408 Timeout"];
    statuses
        .into_iter()
        .flat_map(|it| [false, true].map(|is_signed| OddAnswer::with_status(it, is_signed)))
        // Without a signature it states that the request was not run.
        .chain([OddAnswer::with_status("421 Misdirected", true)])
        .collect()
}

/// Guards against a caller that is told that its request has not run, since a server failed it with a
/// status that says so, and who sends it again.
#[test]
fn status_of_a_server_that_ran_a_plain_request_promises_nothing() {
    assert_unknown_on_plain_routes(promises());
}

/// Guards against the same on streams, those that may be resumed and those that may run only once.
#[test]
fn status_of_a_server_that_ran_a_stream_promises_nothing() {
    for (start, runs_max) in [(start_single_streams as fn() -> _, 1), (|| start_groups(2, 2), 2)] {
        let (_store, engines, front) = start();
        for (number, answer) in promises().into_iter().enumerate() {
            let (status, head, body, runs) =
                answer_to(&front, &engines, "/stream/x", answer, number);
            let case = format!("{answer:?}: {head} {body}");
            assert!(runs <= runs_max, "{runs} runs, {case}");
            assert!(!PROMISES.contains(&status) || runs == 0, "{case}");
            assert!(!is_signed(&head) && status >= 500, "{case}");
        }
    }
}

/// Guards against failures of servers that do not reach their callers as they are.
#[test]
fn failures_that_promise_nothing_are_passed_on_as_they_are() {
    let (_store, servers, front) = start_plain();
    let statuses = ["404 None", "409 Conflict", "500 Failed", "504 Late", "301 Moved"];
    for (number, status) in statuses.into_iter().enumerate() {
        for is_sealed in [false, true] {
            let answer = OddAnswer::with_status(status, is_sealed);
            let attempt = 2 * number + usize::from(is_sealed);
            let (got, head, body, runs) =
                answer_to(&front, &servers, "/booking/x", answer, attempt);
            assert_eq!((got.to_string().as_str(), runs), (&status[..3], 1), "{head} {body}");
            assert_eq!((is_signed(&head), body.as_str()), (is_sealed, "odd"), "{head}");
        }
    }
}

/// Returns successes that no server has signed, or that are not the server's body.
fn spoiled_successes() -> Vec<OddAnswer> {
    let events = |status, is_signed| OddAnswer {
        content_type: EVENTS_TYPE,
        body: "id: 1\ndata: t@ke\n\n",
        ..OddAnswer::with_status(status, is_signed)
    };
    vec![
        events("200 OK", false),
        events("201 Created", false),
        events("206 Partial", false),
        OddAnswer { has_length: false, ..events("200 OK", false) },
        OddAnswer { headers: EMPTY_SIGNATURE, ..events("200 OK", false) },
        OddAnswer { headers: SECOND_SIGNATURE, ..events("200 OK", true) },
        OddAnswer { headers: "Content-Encoding: gzip\r\n", ..events("200 OK", true) },
        OddAnswer { is_not_run: true, ..events("200 OK", true) },
    ]
}

/// Guards against successes without a server's signature, or with a body that is not the server's.
#[test]
fn spoiled_success_reaches_no_caller() {
    assert_unknown_on_plain_routes(spoiled_successes());
}

/// Guards against the same on streams: one that may run only once, and one whose attempts are used up.
#[test]
fn spoiled_success_of_a_stream_reaches_no_caller() {
    for (start, runs_max) in [(start_single_streams as fn() -> _, 1), (|| start_groups(2, 2), 2)] {
        let (_store, engines, front) = start();
        for (number, answer) in spoiled_successes().into_iter().enumerate() {
            let (status, head, body, runs) =
                answer_to(&front, &engines, "/stream/x", answer, number);
            let case = format!("{answer:?}: {head} {body}");
            assert!(runs >= 1 && runs <= runs_max, "{runs} runs, {case}");
            assert!(status == 502 && !is_signed(&head) && !body.contains("t@ke"), "{case}");
        }
    }
}

/// Guards against a stream that is refused since its success has another status than 200.
#[test]
fn other_successes_of_streams_are_passed_on() {
    let (_store, engines, front) = start_single_streams();
    for (number, status) in ["200 OK", "201 Created", "206 Partial"].into_iter().enumerate() {
        let answer = OddAnswer {
            content_type: EVENTS_TYPE,
            body: "id: 1\ndata: token\n\n",
            ..OddAnswer::with_status(status, true)
        };
        let (got, head, body, runs) = answer_to(&front, &engines, "/stream/x", answer, number);
        assert_eq!((got.to_string().as_str(), runs), (&status[..3], 1), "{head} {body}");
        assert!(is_signed(&head) && body.contains("data: token"), "{head} {body}");
    }
}

/// Guards against an answer with a status that is none, which a server in trouble sent and a caller got.
#[test]
fn status_that_is_none_reaches_no_caller() {
    let statuses =
        ["000 None", "000", "099 Low", "100 Continue", "101 Switching", "600 High", "999 End"];
    let (_store, servers, front) = start_plain();
    let (_other_store, engines, streams) = start_single_streams();
    for (number, status) in statuses.into_iter().enumerate() {
        for is_sealed in [false, true] {
            let answer = OddAnswer::with_status(status, is_sealed);
            let attempt = 2 * number + usize::from(is_sealed);
            for (front, servers, path) in [
                (&front, &servers[..], "/booking/x"),
                (&front, &servers[..], "/lookup/x"),
                (&streams, &engines[..], "/stream/x"),
            ] {
                let (got, head, body, runs) = answer_to(front, servers, path, answer, attempt);
                let case = format!("{path} {answer:?}: {head} {body}");
                assert!(got == 502 && !is_signed(&head) && !body.contains("odd"), "{case}");
                assert!((1..=2).contains(&runs), "{runs} runs, {case}");
            }
        }
    }
}
