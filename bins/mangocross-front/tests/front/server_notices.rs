//! Tests with servers that say in their answers that they leave, or that they want nothing for a
//! while.

use std::thread;
use std::time::Duration;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// Requests that show that a server gets nothing.
const REQUESTS: usize = 12;

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt)
}

/// Sends requests of all kinds to the plain service; each of them has to be served.
fn send_plain(front: &Front, prefix: &str) {
    for number in 0..REQUESTS {
        for path in ["/lookup/x", "/booking/x"] {
            let (status, _, body) =
                front.call("POST", path, &headers(&format!("{prefix}-{number}")), "{}");
            assert_eq!(status, 200, "{path}: {body}");
        }
    }
}

fn retry_after(head: &str) -> Option<f64> {
    let line = head.to_ascii_lowercase();
    line.lines().find_map(|it| it.strip_prefix("retry-after: ")?.trim().parse().ok())
}

#[test]
fn leaving_server_gets_nothing_after_an_answer_that_says_so() {
    let (_store, [leaving, other], front) = start_plain();
    leaving.set_leaving(true);
    assert_eq!(front.call("POST", "/lookup/x", &headers("told"), "{}").0, 200);
    assert!(leaving.arrived().contains(&"told".to_owned()), "the preferred server had it");
    let before = leaving.arrived().len();
    send_plain(&front, "after");
    // Its entry still says that it is ready, in a newer revision too.
    leaving.publish_again();
    other.publish_again();
    wait_until("the entry VM serves on", || {
        front.call("GET", "/lookup/x", &headers("x"), "").0 == 200
    });
    send_plain(&front, "listed-again");
    assert_eq!(leaving.arrived().len(), before);
    assert!(front.metrics().lines().any(|it| it == r#"front_held_servers{reason="leaving"} 1"#));
}

#[test]
fn refusal_and_failure_say_that_a_server_leaves_too() {
    let (_store, [leaving, _other], front) = start_plain();
    leaving.set_leaving(true);
    leaving.set_refusing(true);
    assert_eq!(front.call("POST", "/booking/x", &headers("told"), "{}").0, 200);
    assert!(leaving.arrived().contains(&"told".to_owned()));
    leaving.set_refusing(false);
    let before = leaving.arrived().len();
    send_plain(&front, "after");
    assert_eq!(leaving.arrived().len(), before);
}

/// The server that answers is not the one that the request was for.
#[test]
fn leaving_server_is_known_by_its_address() {
    let (_store, [leaving, _other], front) = start_plain();
    leaving.publish_former("r0");
    wait_until("the former server is known", || {
        front.metrics().lines().any(|it| it == "front_backend_servers 3")
    });
    leaving.set_leaving(true);
    let before = leaving.arrived().len();
    send_plain(&front, "misdirected");
    assert_eq!(leaving.arrived().len(), before);
    assert!(front.metrics().lines().any(|it| it == r#"front_held_servers{reason="leaving"} 2"#));
}

#[test]
fn restarted_server_gets_requests_again() {
    let (_store, [leaving, _other], front) = start_plain();
    leaving.set_leaving(true);
    front.call("POST", "/lookup/x", &headers("told"), "{}");
    leaving.set_leaving(false);
    let before = leaving.arrived().len();
    leaving.restart();
    wait_until("the new life gets requests", || {
        front.call("POST", "/lookup/x", &headers("again"), "{}");
        leaving.arrived().len() > before
    });
}

#[test]
fn head_that_leaves_gets_no_streams_and_its_group_is_closed() {
    let (_store, engines, front) = start_engines();
    let head = engines.iter().find(|it| !it.arrived().is_empty()).expect("a head");
    head.set_leaving(true);
    assert_eq!(front.call("POST", "/stream/x", &headers("told"), "{}").0, 200);
    // The planner's probe of the head may have told the entry VM before the preferred head had it.
    if !head.arrived().contains(&"told".to_owned()) {
        let is_told = || has_metric(&front, r#"front_held_servers{reason="leaving"} 1"#);
        wait_until("the entry VM knows that the head leaves", is_told);
    }
    let before = head.arrived().len();
    for number in 0..REQUESTS {
        let (status, _, body) =
            front.call("POST", "/stream/x", &headers(&format!("after-{number}")), "{}");
        assert_eq!(status, 200, "{body}");
    }
    wait_until("the group is dissolved", || head.group().is_none());
    assert_eq!(head.arrived().len(), before);
}

/// A member gets no requests of callers; the planner's questions are answered with the notice.
#[test]
fn group_of_a_member_that_leaves_is_closed() {
    let (_store, engines, _front) = start_engines();
    let member = engines.iter().find(|it| !it.is_open()).expect("a member");
    member.set_leaving(true);
    let group = member.group();
    let serves = |it: &&Server| it.is_open() && it.group() == group;
    wait_until("its group is closed", || !engines.iter().any(|it| serves(&it)));
    assert!(engines.iter().any(Server::is_open), "the other group serves on");
}

/// The time is far longer than the test, which does not wait for it.
#[test]
fn server_that_wants_nothing_gets_nothing_until_the_time_is_over() {
    let (_store, [pausing, _other], front) = start_plain();
    pausing.set_retry_after(Some("1000"));
    let (status, head, _) = front.call("POST", "/booking/x", &headers("refused"), "{}");
    assert_eq!((status, retry_after(&head)), (200, None));
    assert!(pausing.arrived().contains(&"refused".to_owned()));
    pausing.set_retry_after(None);
    pausing.publish_again();
    let before = pausing.arrived().len();
    thread::sleep(Duration::from_secs(1));
    send_plain(&front, "meanwhile");
    assert_eq!(pausing.arrived().len(), before);
    assert!(front.metrics().lines().any(|it| it == r#"front_held_servers{reason="paused"} 1"#));
}

#[test]
fn server_gets_requests_again_when_its_time_is_over() {
    let (_store, [pausing, _other], front) = start_plain();
    pausing.set_retry_after(Some("0.4"));
    front.call("POST", "/lookup/x", &headers("refused"), "{}");
    pausing.set_retry_after(None);
    let before = pausing.arrived().len();
    wait_until("it gets requests", || {
        front.call("POST", "/lookup/x", &headers("later"), "{}");
        pausing.arrived().len() > before
    });
}

#[test]
fn retry_after_that_names_no_time_holds_nothing_back() {
    let (_store, [odd, _other], front) = start_plain();
    for value in ["0", "-5", "soon", "inf"] {
        odd.set_retry_after(Some(value));
        let before = odd.arrived().len();
        for number in 0..2 {
            let (status, ..) =
                front.call("POST", "/lookup/x", &headers(&format!("{number}")), "{}");
            assert_eq!(status, 200);
        }
        assert_eq!(odd.arrived().len(), before + 2, "{value}");
    }
}

#[test]
fn plain_request_that_all_servers_refuse_for_a_while_is_refused_with_that_time() {
    let (_store, servers, front) = start_plain();
    servers.iter().zip(["40", "20"]).for_each(|(it, value)| it.set_retry_after(Some(value)));
    for (number, arrivals) in [(0, 1), (1, 0), (2, 0)] {
        let before: Vec<usize> = servers.iter().map(|it| it.arrived().len()).collect();
        let (status, head, body) =
            front.call("POST", "/booking/x", &headers(&format!("b{number}")), "{}");
        assert!(status == 503 && body.contains("not run"), "{status} {body}");
        let after = retry_after(&head).expect("a time");
        assert!((15.0..=24.0).contains(&after), "{after} s, the first server returns in 20 s");
        let counts = servers.iter().map(|it| it.arrived().len());
        assert!(counts.zip(before).all(|(now, then)| now == then + arrivals));
    }
}

#[test]
fn stream_that_all_heads_refuse_for_a_while_is_refused_with_that_time() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_retry_after(Some("30")));
    let (status, ..) = front.call("POST", "/stream/x", &headers("first"), "{}");
    assert_eq!(status, 503);
    let before: usize = engines.iter().map(|it| it.arrived().len()).sum();
    let (status, head, body) = front.call("POST", "/stream/x", &headers("second"), "{}");
    assert!(status == 503 && body.contains("not run"), "{status} {body}");
    let after = retry_after(&head).expect("a time");
    assert!((20.0..=36.0).contains(&after), "{after} s");
    assert_eq!(engines.iter().map(|it| it.arrived().len()).sum::<usize>(), before);
}

#[test]
fn time_of_a_refusal_is_bounded() {
    let (_store, servers, front) = start_plain();
    servers.iter().for_each(|it| it.set_retry_after(Some("99999999999")));
    front.call("POST", "/lookup/x", &headers("first"), "{}");
    let (status, head, _) = front.call("POST", "/lookup/x", &headers("second"), "{}");
    let after = retry_after(&head).expect("a time");
    assert!(status == 503 && (30.0..=60.0).contains(&after), "{status} {after}");
}
