//! Tests of a planned stop while requests arrive, run and are answered.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::platform::CALLER_HEADERS;
use crate::platform::Client;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Outcome;
use crate::platform::RequestKind;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::wait_until;

/// Times after SIGTERM at which the rest of a request follows; idle connections are closed
/// within this range.
const REST_AFTER_MS: [u64; 8] = [100, 1000, 2000, 2500, 2600, 2650, 2700, 2800];
/// Callers that connect after SIGTERM, and the time between two of them.
const NEW_CALLERS: usize = 18;
const NEW_CALLER_INTERVAL: Duration = Duration::from_millis(110);
/// Time after SIGTERM in which the balancer sends new callers.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2000);
/// Callers of each kind that keep their connections.
const KEEPING_CALLERS: usize = 4;
/// Time between two requests of a caller that keeps its connection.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// Time between two events of a stream, most of which are sent after SIGTERM.
const EVENT_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a plain server is silent.
const SILENCE: Duration = Duration::from_millis(1200);
/// Time between two callers that the balancer sends for as long as the program listens.
const LATE_CALLER_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a late caller waits for its answer.
const LATE_CALLER_DEADLINE: &str = "Deadline-Ms: 3000\r\n";
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// A request that is sent in two parts, and its answer.
struct Halved {
    attempt: String,
    answer: JoinHandle<String>,
}

/// Where a request is cut in two.
#[derive(Debug, Clone, Copy)]
enum Cut {
    Head,
    /// In the head, on a connection that has served a request.
    KeptHead,
    Body,
    /// The whole request is sent in the first part.
    End,
}

/// Sends a whole request and reads its answer; the connection stays open.
fn serve_one(stream: &mut TcpStream, attempt: &str) {
    let headers = CALLER_HEADERS.replace("a1", &format!("{attempt}-first"));
    let text = format!("GET /lookup/x HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"the whole body") {
        stream.read_exact(&mut byte).expect("more of the answer");
        answer.push(byte[0]);
    }
}

/// Sends the first part of a request now and the rest after a while; reads the whole answer.
fn send_halved(
    to: SocketAddr,
    path: &str,
    attempt: String,
    cut: Cut,
    rest_after: Duration,
) -> Halved {
    let headers = CALLER_HEADERS.replace("a1", &attempt);
    let body = "{\"a\": \"long body\"}";
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    );
    let at = match cut {
        Cut::Head | Cut::KeptHead => 60,
        Cut::Body => text.len() - 8,
        Cut::End => text.len(),
    };
    let mut stream = TcpStream::connect(to).expect("a connection");
    if matches!(cut, Cut::KeptHead) {
        serve_one(&mut stream, &attempt);
    }
    stream.write_all(&text.as_bytes()[..at]).expect("sent");
    let answer = thread::spawn(move || {
        thread::sleep(rest_after);
        let _ = stream.write_all(&text.as_bytes()[at..]);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    });
    Halved { attempt, answer }
}

/// Sends requests on one connection until it is closed.
fn keep_sending(to: SocketAddr, kind: RequestKind, caller: usize) -> JoinHandle<Vec<Outcome>> {
    thread::spawn(move || {
        let mut client = Client::new(to);
        let mut outcomes = Vec::new();
        for number in 0.. {
            outcomes.push(client.send(kind, &format!("kept-{kind:?}-{caller}-{number}"), "k1"));
            if !client.is_connected() {
                break;
            }
            thread::sleep(REQUEST_PAUSE);
        }
        outcomes
    })
}

/// Sends a whole request on a new connection, as a caller that waits for a few seconds; returns its
/// answer, or `None` if the program no longer listens.
fn send_late(to: SocketAddr, attempt: String) -> Option<Halved> {
    let mut stream = TcpStream::connect(to).ok()?;
    let headers = CALLER_HEADERS.replace("a1", &attempt);
    let text = format!(
        "POST /booking/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{LATE_CALLER_DEADLINE}Content-Length: 2\r\n{headers}\r\n{{}}"
    );
    let _ = stream.write_all(text.as_bytes());
    let answer = thread::spawn(move || {
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    });
    Some(Halved { attempt, answer })
}

/// Returns whether a request was served, or refused by an entry VM that did not run it.
fn is_answered(answer: &str, has_run: bool) -> bool {
    let is_whole_stream =
        answer.contains(&format!("id: {EVENTS}\n")) && answer.ends_with("0\r\n\r\n");
    let is_served = answer.starts_with("HTTP/1.1 200")
        && (answer.ends_with("the whole body") || is_whole_stream);
    let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("not run");
    is_served || (is_refused && !has_run)
}

/// Returns whether a request was answered, or its caller was told truly what became of it.
fn is_told_outcome(answer: &str, has_run: bool) -> bool {
    let is_unknown = answer.starts_with("HTTP/1.1 504") && answer.contains("unknown");
    is_answered(answer, has_run) || is_unknown
}

/// Guards against requests that are cut or left unanswered by a planned stop, wherever they are
/// then: head or body half read, waiting for a server, or half answered.
#[test]
fn planned_stop_under_load_leaves_nothing_unanswered() {
    let store = Store::spawn();
    store.configure_idle_timeout(3, &["k1"], Duration::from_secs(15));
    let spawn = |id: &str, service: &str| Server::spawn(&store, id, service);
    let engines = ["e1", "e2", "e3", "e4"].map(|it| spawn(it, "models"));
    let plain = ["r1", "r2"].map(|it| spawn(it, "records"));
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_until("both groups serve", || engines.iter().filter(|it| it.is_open()).count() == 2);
    engines.iter().for_each(|it| it.set_event_pause(EVENT_PAUSE));

    let to = front.address;
    let kinds = [RequestKind::Lookup, RequestKind::Booking, RequestKind::Stream];
    let callers = (0..KEEPING_CALLERS).flat_map(|it| kinds.map(|kind| (it, kind)));
    let kept: Vec<_> = callers.map(|(it, kind)| keep_sending(to, kind, it)).collect();
    let mut halved = Vec::new();
    for (cut, name) in
        [(Cut::Head, "head"), (Cut::KeptHead, "kept-head"), (Cut::Body, "body"), (Cut::End, "end")]
    {
        for path in ["/lookup/x", "/booking/x", "/stream/x"] {
            for after_ms in REST_AFTER_MS {
                let attempt = format!("{name}-{}-{after_ms}", &path[1..4]);
                let rest_after = Duration::from_millis(after_ms);
                halved.push(send_halved(to, path, attempt, cut, rest_after));
            }
        }
    }
    wait_until("requests run", || engines.iter().any(|it| it.ran().len() > 1));
    front.terminate();
    plain[0].fall_silent(SILENCE);
    // The balancer may send new callers until it has noticed the stop.
    let stopping_since = Instant::now();
    for number in (0..NEW_CALLERS).take_while(|_| stopping_since.elapsed() < BALANCER_NOTICE_TIME) {
        let path = ["/lookup/x", "/booking/x", "/stream/x"][number % 3];
        let attempt = format!("new-{number}");
        halved.push(send_halved(to, path, attempt, Cut::Body, Duration::from_millis(100)));
        thread::sleep(NEW_CALLER_INTERVAL);
    }

    let ran = || engines.iter().chain(&plain).flat_map(Server::ran);
    let mut wrong = Vec::new();
    for Halved { attempt, answer } in halved {
        let answer = answer.join().expect("a caller does not fail");
        if !is_answered(&answer, ran().any(|it| it == attempt)) {
            wrong.push(format!("{attempt}: {answer:?}"));
        }
    }
    for outcome in kept.into_iter().flat_map(|it| it.join().expect("a caller does not fail")) {
        let has_run = ran().any(|it| it == outcome.attempt);
        // A request may cross the end of its connection if no server has had it.
        let is_crossing = outcome.status == 0 && !has_run;
        let is_refused = outcome.status == 503 && !has_run;
        let is_served = outcome.status == 200 && outcome.is_whole;
        if !is_served && !is_refused && !is_crossing {
            wrong.push(format!("{outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(front.exited_successfully());
}

/// Requests that were accepted late in a planned stop, for example where most VMs of a zone stop and
/// the balancer goes on sending callers to all of them, reached servers and were cut at its end.
#[test]
fn planned_stop_cuts_no_request_that_was_accepted_late() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let plain = Server::spawn(&store, "r1", "records");
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);

    plain.withhold_answers();
    let to = front.address;
    front.terminate();
    let stopping_since = Instant::now();
    let mut late = Vec::new();
    while stopping_since.elapsed() < GRACE
        && let Some(it) = send_late(to, format!("late-{}", late.len()))
    {
        late.push(it);
        thread::sleep(LATE_CALLER_INTERVAL);
    }

    assert!(late.len() > 10, "{} callers", late.len());
    let ran = plain.ran();
    let mut wrong = Vec::new();
    for Halved { attempt, answer } in late {
        let answer = answer.join().expect("a caller does not fail");
        let has_run = ran.contains(&attempt);
        // A connection that was not accepted any more ends without an answer.
        let is_crossing = answer.is_empty() && !has_run;
        if !is_told_outcome(&answer, has_run) && !is_crossing {
            wrong.push(format!("{attempt}: {answer:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(front.exited_successfully());
}

/// Requests that were read before a planned stop, and whose deadlines end after it, were cut at the
/// exit without an answer.
#[test]
fn planned_stop_answers_requests_whose_deadlines_end_after_it() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let plain = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let mut front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    plain.iter().for_each(Server::withhold_answers);
    let send = |path: &str| {
        let attempt = format!("before-{}", &path[1..4]);
        send_halved(front.address, path, attempt, Cut::End, Duration::ZERO)
    };
    let sent = ["/booking/x", "/lookup/x"].map(send);
    let ran = || plain.iter().flat_map(Server::ran);
    wait_until("the requests run", || sent.iter().all(|sent| ran().any(|it| it == sent.attempt)));
    front.terminate();
    for Halved { attempt, answer } in sent {
        let answer = answer.join().expect("a caller does not fail");
        assert!(is_told_outcome(&answer, true), "{attempt}: {answer:?}");
    }
    assert!(front.exited_successfully());
}
