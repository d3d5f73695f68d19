//! Tests with streams that come with a length.

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::OddAnswer;
use crate::platform::Server;
use crate::platform::start_groups;
use crate::platform::wait_until;

/// The last chunk of a complete answer.
const LAST_CHUNK: &str = "0\r\n\r\n";
const BEGIN: &str = "id: 1\ndata: no\n\nid: 2\ndata: no\n\n";
const REST: &str =
    "id: 3\ndata: without any doubt\n\nid: 4\ndata: without any doubt\n\nid: 5\ndata: done\n\n";
/// Length that the first server meant.
const MEANT_BYTES: usize = 80;

/// Returns an answer that names `named_bytes` as its length.
fn counted(body: &'static str, named_bytes: usize) -> OddAnswer {
    OddAnswer {
        content_type: Some("text/event-stream"),
        named_length: Some(named_bytes),
        body,
        ..OddAnswer::with_status("200 OK", true)
    }
}

fn event_ids(body: &str) -> Vec<&str> {
    body.lines().filter_map(|it| it.strip_prefix("id: ")).collect()
}

/// Guards against a stream that ends at the length of its first server's answer, as complete, although
/// another server continued it in other words.
#[test]
fn continued_stream_has_no_length() {
    for rest in [counted(REST, REST.len()), OddAnswer { has_length: false, ..counted(REST, 0) }] {
        let (_store, engines, front) = start_groups(2, 2);
        engines.iter().for_each(|it| {
            it.set_answer(Some(counted(BEGIN, MEANT_BYTES)));
            it.set_resumption_answer(rest);
        });
        let (status, head, body) = front.call("POST", "/stream/x", CALLER_HEADERS, "{}");
        assert_eq!((status, event_ids(&body)), (200, vec!["1", "2", "3", "4", "5"]), "{body}");
        assert!(body.ends_with(LAST_CHUNK), "{body}");
        assert!(!head.to_ascii_lowercase().contains("content-length"), "{head}");
    }
}

/// Guards against a stream that ends early and seems complete, whether it may be resumed or not.
#[test]
fn stream_that_ends_before_its_length_is_incomplete() {
    for is_resumable in [false, true] {
        let (store, engines, front) = start_groups(2, 2);
        store.configure_with(4, &["k1"], |it| it["routes"][0]["resumable"] = json!(is_resumable));
        wait_until("it is in force", || front.metrics().contains("front_configuration_version 4"));
        let broken = counted("id: 3\ndata: too sho", REST.len());
        engines.iter().for_each(|it| {
            it.set_answer(Some(counted(BEGIN, MEANT_BYTES)));
            it.set_resumption_answer(broken);
        });
        let headers = CALLER_HEADERS.replace("a1", "short");
        let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
        assert_eq!((status, event_ids(&body)), (200, vec!["1", "2"]), "{body}");
        assert!(!body.ends_with(LAST_CHUNK), "{body}");
        let runs = engines.iter().flat_map(Server::ran).filter(|it| it == "short").count();
        assert_eq!(runs, 1 + usize::from(is_resumable));
    }
}
