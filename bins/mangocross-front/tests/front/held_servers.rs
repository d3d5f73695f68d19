//! Each path by which a request reaches a server, with a server that leaves or wants nothing as the
//! only other choice.

use std::thread;
use std::time::Duration;

use crate::platform::AnswerEnd;
use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::call;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// What a server said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    /// It is leaving.
    Leaving,
    /// It wants nothing for much longer than a test lasts.
    Paused,
}

/// What happens to a request of a plain service at its first server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlainTrouble {
    None,
    Refused,
    WrongServer,
    NotReached,
    Reset,
    Silent,
}

/// What happens to a stream at its first group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamTrouble {
    None,
    Refused,
    NotReached,
    BrokenInside,
    SilentInside,
    SilentBefore,
}

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt).replace("Model", "Deadline-Ms: 2500\r\nModel")
}

/// Makes a server tell the entry VM its notice; from then on it would serve.
fn tell(front: &Front, path: &str, notice: Notice, held: &Server, other: &Server) {
    other.set_refusing(true);
    held.set_leaving(notice == Notice::Leaving);
    held.set_retry_after((notice == Notice::Paused).then_some("1000"));
    wait_until("the server has told", || {
        front.call("POST", path, &headers("told"), "{}");
        held.arrived().contains(&"told".to_owned())
    });
    held.set_leaving(false);
    held.set_retry_after(None);
    other.set_refusing(false);
    front.wait_for_status(200, path, &headers("warm"));
}

/// Plays one row; returns it if the server that wants none got the request.
fn plain_row(notice: Notice, trouble: PlainTrouble, path: &str) -> Option<String> {
    let (_store, [held, other], front) = start_plain();
    tell(&front, path, notice, &held, &other);
    match trouble {
        PlainTrouble::None => {}
        PlainTrouble::Refused => other.set_refusing(true),
        PlainTrouble::WrongServer => {
            other.publish_former("r0");
            wait_until("the former server is known", || {
                front.metrics().lines().any(|it| it == "front_backend_servers 3")
            });
            other.set_refusing(true);
        }
        PlainTrouble::NotReached => other.crash(),
        PlainTrouble::Reset => other.set_answer_end(AnswerEnd::Reset),
        PlainTrouble::Silent => other.withhold_answers(),
    }
    let before = held.arrived().len();
    let (status, _, body) = front.call("POST", path, &headers("row"), "{}");
    let is_told_not_run = status == 503 && body.contains("not run");
    let has_run = other.ran().contains(&"row".to_owned());
    assert!(!(is_told_not_run && has_run), "{trouble:?} {status} {body}");
    let is_refused = matches!(trouble, PlainTrouble::Refused | PlainTrouble::WrongServer);
    let is_reached = held.arrived().len() > before;
    assert!(is_told_not_run || !is_refused || is_reached, "{trouble:?} {status} {body}");
    is_reached.then(|| format!("{notice:?} {trouble:?} {path}: {status} {body}"))
}

/// Guards against requests that reach a server which has said that it wants none, by any path.
#[test]
fn no_path_of_plain_requests_leads_to_a_server_that_wants_none() {
    let mut reached = Vec::new();
    for notice in [Notice::Leaving, Notice::Paused] {
        for trouble in [
            PlainTrouble::None,
            PlainTrouble::Refused,
            PlainTrouble::WrongServer,
            PlainTrouble::NotReached,
            PlainTrouble::Reset,
            PlainTrouble::Silent,
        ] {
            for path in ["/lookup/x", "/booking/x"] {
                reached.extend(plain_row(notice, trouble, path));
            }
        }
    }
    assert!(reached.is_empty(), "{reached:#?}");
}

/// Plays one row; returns it if the head that wants none got the stream.
fn stream_row(trouble: StreamTrouble) -> Option<StreamTrouble> {
    let (_store, engines, front) = start_engines();
    let heads: Vec<&Server> = engines.iter().filter(|it| it.is_open()).collect();
    let [held, other] = heads[..] else { panic!("two groups") };
    tell(&front, "/stream/x", Notice::Paused, held, other);
    let address = front.address;
    let stream = |attempt: &'static str| {
        thread::spawn(move || call(address, "POST", "/stream/x", &headers(attempt), "{}"))
    };
    let before = held.arrived().len();
    let is_served = match trouble {
        StreamTrouble::None => true,
        StreamTrouble::Refused => {
            other.set_refusing(true);
            false
        }
        StreamTrouble::NotReached => {
            other.crash();
            false
        }
        StreamTrouble::BrokenInside => {
            other.break_streams(1);
            false
        }
        StreamTrouble::SilentInside | StreamTrouble::SilentBefore => {
            other.set_event_pause(Duration::from_millis(150));
            true
        }
    };
    let is_silent = matches!(trouble, StreamTrouble::SilentInside | StreamTrouble::SilentBefore);
    let first = stream("row");
    let mut streams = vec![first];
    if is_silent {
        wait_until("the stream runs", || other.ran().contains(&"row".to_owned()));
        thread::sleep(Duration::from_millis(200));
        other.fall_silent(Duration::from_millis(1200));
    }
    if trouble == StreamTrouble::SilentBefore {
        streams.push(stream("waiting"));
    }
    for stream in streams {
        let (status, _, body) = stream.join().expect("an answer");
        let is_whole = body.contains(&format!("id: {EVENTS}\n")) && body.ends_with("0\r\n\r\n");
        let is_reached = held.arrived().len() > before;
        assert!(
            is_reached || (status == 200 && is_whole) == is_served,
            "{trouble:?}: {status} {body}"
        );
    }
    (held.arrived().len() > before).then_some(trouble)
}

/// Guards against streams that reach a head which has said that it wants none, by any path; a head
/// that leaves is closed by the planner besides.
#[test]
fn no_path_of_streams_leads_to_a_head_that_wants_none() {
    let rows = [
        StreamTrouble::None,
        StreamTrouble::Refused,
        StreamTrouble::NotReached,
        StreamTrouble::BrokenInside,
        StreamTrouble::SilentInside,
        StreamTrouble::SilentBefore,
    ];
    let reached: Vec<StreamTrouble> = rows.into_iter().filter_map(stream_row).collect();
    assert!(reached.is_empty(), "{reached:?}");
}
