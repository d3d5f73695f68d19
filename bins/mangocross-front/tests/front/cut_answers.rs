//! Tests with servers that stop in the middle of an answer and close.

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::OddAnswer;
use crate::platform::SIGNATURE;
use crate::platform::Server;
use crate::platform::attempt_header;
use crate::platform::is_signed;
use crate::platform::start_groups;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// The last chunk of a complete answer.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Every so many bytes an answer to a stream is cut.
const STREAM_STEP: usize = 5;
/// Time that callers wait; a stream may look for a server that answers for as long.
const DEADLINE: &str = "Deadline-Ms: 700\r\n";

/// Returns heads that end with the empty line, with the signature first and last.
fn heads(framing: &str) -> [String; 2] {
    let named = attempt_header("cut");
    [
        format!("HTTP/1.1 200 OK\r\n{SIGNATURE}{named}{framing}\r\n"),
        format!("HTTP/1.1 200 OK\r\n{framing}{named}{SIGNATURE}\r\n"),
    ]
}

/// Sends a request whose servers answer with a text and close.
fn answer_to(front: &Front, servers: &[Server], path: &str, text: &str) -> (u16, String, String) {
    let answer = OddAnswer {
        status: None,
        // The stand-in's answers are constants.
        body: Box::leak(text.to_owned().into_boxed_str()),
        ..OddAnswer::with_status("", false)
    };
    servers.iter().for_each(|it| it.set_answer(Some(answer)));
    let headers = format!("{}{DEADLINE}", CALLER_HEADERS.replace("a1", "cut"));
    front.call("POST", path, &headers, "{}")
}

/// Guards against a head that stops in the middle and becomes a success with an empty or short body, and
/// against a body that does.
#[test]
fn plain_answer_that_stops_is_no_answer() {
    let (_store, servers, front) = start_plain();
    let bodies = [
        ("Content-Length: 8\r\n", "the body"),
        ("Transfer-Encoding: chunked\r\n", "4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n"),
        // Its end is that of the connection, so only the head can be too short.
        ("", ""),
    ];
    for (framing, body) in bodies {
        for head in heads(framing) {
            let text = format!("{head}{body}");
            let (status, _, _) = answer_to(&front, &servers, "/booking/x", &text);
            assert_eq!(status, 200, "{text}");
            let end = text.find("\r\n0\r\n").unwrap_or(text.len());
            for length in 0..end {
                let (status, head, body) =
                    answer_to(&front, &servers, "/booking/x", &text[..length]);
                let case = format!("{}: {head} {body}", &text[..length]);
                assert!(status == 502 && !is_signed(&head) && body.contains("unknown"), "{case}");
            }
            let (status, _, body) = answer_to(&front, &servers, "/lookup/x", &text[..30]);
            assert!(status == 502 && body.contains("unknown"), "{status} {body}");
        }
    }
}

/// Guards against the same on streams, which may run only once or are resumed at a server that stops
/// as well.
#[test]
fn stream_that_stops_is_not_complete() {
    let events = "id: 1\ndata: token\n\n";
    let chunk = format!("{:x}\r\n{events}\r\n", events.len());
    let framings = [
        (format!("Content-Length: {}\r\n", events.len()), events.to_owned()),
        ("Transfer-Encoding: chunked\r\n".to_owned(), format!("{chunk}{LAST_CHUNK}")),
        (String::new(), events.to_owned()),
    ];
    for is_resumable in [false, true] {
        let (store, engines, front) = start_groups(2, 2);
        store.configure_with(4, &["k1"], |it| it["routes"][0]["resumable"] = json!(is_resumable));
        wait_until("it is in force", || front.metrics().contains("front_configuration_version 4"));
        for (framing, body) in &framings {
            let framing = format!("Content-Type: text/event-stream\r\n{framing}");
            let has_length = !framing.ends_with("stream\r\n");
            for head in heads(&framing) {
                let text = format!("{head}{body}");
                let (status, _, answer) = answer_to(&front, &engines, "/stream/x", &text);
                assert!(status == 200 && answer.ends_with(LAST_CHUNK), "{text}: {answer}");
                let end = text.find("\r\n0\r\n").unwrap_or(text.len());
                for length in (0..end).step_by(STREAM_STEP) {
                    // Without a length or an event, the end of the connection is the end.
                    if !has_length && length == head.len() {
                        continue;
                    }
                    let (status, _, answer) =
                        answer_to(&front, &engines, "/stream/x", &text[..length]);
                    let case = format!("{}: {status} {answer}", &text[..length]);
                    let is_complete = status == 200 && answer.ends_with(LAST_CHUNK);
                    assert!(!is_complete && [200, 502, 504].contains(&status), "{case}");
                    assert!(status != 200 || length >= head.len(), "{case}");
                }
            }
        }
    }
}
