//! Tests with servers that send a second copy of an answer, late, on a connection that is in use
//! again.

use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::CopyPart;
use crate::platform::CopyTime;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::LateCopy;
use crate::platform::Server;
use crate::platform::names_attempt;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// Requests of each kind while a server sends copies.
const REQUESTS: usize = 6;
/// Maximum number of requests until a copy was sent.
const REQUESTS_MAX: usize = 100;
/// Time between two requests, in which an idle connection gets the copy.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt)
}

/// Asserts that a request gets its own whole answer.
fn assert_own_answer(front: &Front, path: &str, attempt: &str, copying: LateCopy) {
    let (status, head, body) = front.call("POST", path, &headers(attempt), "{}");
    let what = format!("{copying:?} {path}: {status} {head} {body}");
    assert_eq!(status, 200, "{what}");
    assert!(names_attempt(&head, attempt), "{what}");
    assert!(body == format!("the body of {attempt}") || body == "the whole body", "{what}");
}

/// Guards against answers of other requests, and parts of them, that reach a caller.
#[test]
fn nobody_gets_a_late_copy_of_another_answer() {
    for time in [CopyTime::Idle, CopyTime::BeforeOwn, CopyTime::AfterOwn] {
        for part in [CopyPart::Whole, CopyPart::InBody, CopyPart::InHeader, CopyPart::InReason] {
            let (_store, [copying, other], front) = start_plain();
            let copy = LateCopy { time, part };
            copying.set_late_copy(Some(copy));
            // A server whose answers failed is asked less for a while.
            let is_enough = |number| number >= REQUESTS && copying.copies() > 0;
            for number in (0..REQUESTS_MAX).take_while(|it| !is_enough(*it)) {
                for path in ["/lookup/x", "/booking/x"] {
                    let attempt =
                        format!("{time:?}-{part:?}-{number}{}", &path[1..3]).to_lowercase();
                    assert_own_answer(&front, path, &attempt, copy);
                    let runs = [&copying, &other].map(Server::ran).concat();
                    let runs = runs.iter().filter(|it| **it == attempt).count();
                    assert!(runs == 1 || path == "/lookup/x", "{attempt} ran {runs} times");
                }
                thread::sleep(REQUEST_PAUSE);
            }
            assert!(copying.copies() > 0, "{copy:?} was not played");
        }
    }
}

/// Guards against a failure that reaches its caller as a success, because it follows the beginning
/// of a late copy of one.
#[test]
fn failure_after_a_part_of_a_late_copy_is_no_success() {
    for part in [CopyPart::InHeader, CopyPart::InReason, CopyPart::BeforeReason] {
        assert_failure_after_a_part_is_no_success(part);
    }
}

fn assert_failure_after_a_part_is_no_success(part: CopyPart) {
    let (_store, [copying, other], front) = start_plain();
    assert_eq!(front.call("POST", "/lookup/x", &headers("first"), "{}").0, 200);
    copying.set_late_copy(Some(LateCopy { time: CopyTime::BeforeOwn, part }));
    copying.set_failing(true);
    other.set_refusing(true);
    let before = copying.copies();
    let (status, _, body) = front.call("POST", "/lookup/x", &headers("third"), "{}");
    assert!(status >= 500 && !body.contains("not run"), "{part:?}: {status} {body}");
    assert!(copying.copies() > before, "the copy was not played");
}

/// Guards against a stream that holds a copy of another answer.
#[test]
fn stream_with_a_late_copy_inside_is_resumed() {
    for time in [CopyTime::BeforeOwn, CopyTime::InsideOwn] {
        for part in [CopyPart::Whole, CopyPart::InBody, CopyPart::InHeader, CopyPart::InReason] {
            let (_store, engines, front) = start_engines();
            let head = engines.iter().find(|it| !it.arrived().is_empty()).expect("a head");
            head.set_late_copy(Some(LateCopy { time, part }));
            for number in 0..REQUESTS {
                let attempt = format!("{number}");
                let (status, _, body) = front.call("POST", "/stream/x", &headers(&attempt), "{}");
                let ids: Vec<u64> =
                    body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
                assert_eq!(
                    (status, ids),
                    (200, (1..=EVENTS).collect::<Vec<_>>()),
                    "{time:?} {part:?}: {body}"
                );
                assert!(!body.contains("HTTP/1.1"), "{body}");
            }
            assert!(head.copies() > 0, "{time:?} {part:?} was not played");
        }
    }
}

/// Guards against a late copy that is taken for the answer to an order, which would then count as
/// carried out: no answer to an order names it.
#[test]
fn orders_share_no_connection_with_earlier_answers() {
    let (_store, engines, _front) = start_engines();
    let member = engines.iter().find(|it| !it.is_open()).expect("a member");
    member.set_leaving(true);
    let group = member.group();
    let serves = |it: &Server| it.is_open() && it.group() == group;
    wait_until("its group is closed", || !engines.iter().any(serves));
    let used: usize = engines.iter().map(Server::orders_on_used_connections).sum();
    assert_eq!(used, 0);
}
