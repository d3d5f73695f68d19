//! Tests with an entry VM that reaches no backend server, while callers, the store and the other entry
//! VMs reach it.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::platform::CALLER_HEADERS;
use crate::platform::Cut;
use crate::platform::Entrance;
use crate::platform::Front;
use crate::platform::Link;
use crate::platform::Links;
use crate::platform::OddAnswer;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::call;
use crate::platform::is_signed;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;

/// Time after the beginning of a cut from which callers are served again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which callers are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Time between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Time in which a request is refused that cannot be served.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);
/// Time between two events of a stream that is longer than the time for which a VM without callers stops.
const PASSED_ON_EVENT_PAUSE: Duration = Duration::from_millis(1200);
const PATHS: [&str; 3] = ["/stream/x", "/lookup/x", "/booking/x"];

/// Servers, two entry VMs that reach them and one whose links to them can be cut.
struct Deployment {
    _store: Store,
    servers: Vec<Server>,
    links: Vec<Link>,
    others: Vec<Front>,
    front: Front,
    _entrance: Entrance,
}

impl Deployment {
    fn start() -> Self {
        let store = Store::spawn();
        store.configure(3, &["k1"]);
        let spawn = |(id, service)| Server::spawn(&store, id, service);
        let servers: Vec<Server> = [
            ("e1", "models"),
            ("e2", "models"),
            ("e3", "models"),
            ("e4", "models"),
            ("r1", "records"),
            ("r2", "records"),
            ("r3", "records"),
        ]
        .map(spawn)
        .into();
        let spawn_front = |_| Front::spawn_logged(store.address, 60_000, 1.0);
        let others: Vec<Front> = (0..2).map(spawn_front).collect();
        others.iter().for_each(|it| {
            it.wait_for_status(200, "/stream/x", CALLER_HEADERS);
            wait_for_metric(it, r#"front_groups{state="open"} 2"#);
        });
        // It starts last, so another one plans.
        let links: Vec<Link> = servers.iter().map(|it| Link::to(it.address())).collect();
        let addresses = servers.iter().map(Server::address).zip(links.iter().map(|it| it.address));
        let entrance = store.open_entrance_with(addresses.collect::<Links>());
        let front = Front::spawn_logged(entrance.address, 60_000, 1.0);
        front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
        for it in others.iter().chain([&front]) {
            wait_for_metric(it, "front_entry_vms 3");
            wait_for_metric(it, "front_backend_servers 7");
        }
        Self { _store: store, servers, links, others, front, _entrance: entrance }
    }

    fn cut(&self, how: Cut) {
        self.links.iter().for_each(|it| it.cut(how));
    }

    /// Cuts the links and waits until the entry VM has found out.
    fn cut_and_wait(&self) {
        self.cut(Cut::Refused);
        wait_until("the entry VM knows that it is cut off", || {
            self.send("/lookup/x", "cut");
            self.front.metrics().lines().any(|it| it == "front_cut_off 1")
        });
    }

    fn mend(&self) {
        self.links.iter().for_each(Link::mend);
    }

    /// Sends first attempts to the cut entry VM on all paths until a moment; returns the path and
    /// what came of each.
    fn send_until(&self, prefix: &str, end: Instant) -> Vec<(&'static str, Answered)> {
        thread::scope(|scope| {
            let callers = PATHS.map(|path| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while Instant::now() < end {
                        let attempt = format!("{prefix}-{}-{}", &path[1..3], answers.len());
                        answers.push((path, self.send(path, &attempt)));
                        thread::sleep(CALLER_PAUSE);
                    }
                    answers
                })
            });
            callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect()
        })
    }

    fn send(&self, path: &str, attempt: &str) -> Answered {
        let began = Instant::now();
        let headers = CALLER_HEADERS.replace("a1", attempt);
        let (status, head, body) = self.front.call("POST", path, &headers, "{}");
        let time = began.elapsed();
        Answered { attempt: attempt.to_owned(), status, head, body, time }
    }

    /// Sends a stream to the cut entry VM, and returns once a server runs it.
    fn begin_stream(&self, attempt: &'static str) -> JoinHandle<(u16, String, String)> {
        let address = self.front.address;
        let caller = thread::spawn(move || {
            let headers = CALLER_HEADERS.replace("a1", attempt);
            call(address, "POST", "/stream/x", &headers, "{}")
        });
        let has_begun = || self.servers.iter().any(|it| it.ran().contains(&attempt.to_owned()));
        wait_until("the stream runs", has_begun);
        caller
    }

    /// Checks that bookings ran at most once, and that none ran that was answered as not run.
    fn assert_truthful(&self, answers: &[(&str, Answered)]) {
        let ran: Vec<String> = self.servers.iter().flat_map(Server::ran).collect();
        let bookings = answers.iter().filter(|it| it.0 == "/booking/x").map(|it| &it.1);
        for it in bookings {
            let runs = ran.iter().filter(|ran| **ran == it.attempt).count();
            assert!(runs <= 1, "{} ran {runs} times", it.attempt);
            assert!(runs == 0 || it.status != 503, "{} ran and was refused", it.attempt);
        }
    }
}

#[derive(Debug)]
struct Answered {
    attempt: String,
    status: u16,
    head: String,
    body: String,
    time: Duration,
}

/// Cuts the links and checks that first attempts are served from the stable window on.
fn assert_served_while_cut(how: Cut) {
    let deployment = Deployment::start();
    let mut answers = deployment.send_until("calm", Instant::now() + Duration::from_millis(300));
    let cut_at = Instant::now();
    deployment.cut(how);
    answers.extend(deployment.send_until("early", cut_at + STABLE_WINDOW));
    let counted = deployment.send_until("cut", cut_at + STABLE_WINDOW + COUNTED);
    for path in PATHS {
        let of_path: Vec<&Answered> =
            counted.iter().filter(|it| it.0 == path).map(|it| &it.1).collect();
        let served = of_path.iter().filter(|it| it.status == 200 && is_signed(&it.head)).count();
        let failed = of_path.iter().find(|it| it.status != 200);
        assert!(
            served > 0 && failed.is_none(),
            "{path}: {served} of {}: {failed:?}",
            of_path.len()
        );
    }
    let streams = counted.iter().filter(|it| it.0 == "/stream/x");
    for (_, it) in streams {
        let events: Vec<&str> = it.body.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
        assert_eq!(events, ["1", "2", "3", "4", "5"]);
    }
    answers.extend(counted);
    deployment.assert_truthful(&answers);
    deployment.mend();
    let reached = || deployment.front.metrics().lines().any(|it| it == "front_cut_off 0");
    wait_until("the entry VM reaches the servers again", reached);
    let answers = deployment.send_until("mended", Instant::now() + Duration::from_millis(300));
    assert!(answers.iter().all(|it| it.1.status == 200));
    deployment.assert_truthful(&answers);
}

/// Guards against refusals by an entry VM whose connections to all servers are refused.
#[test]
fn callers_of_an_entry_vm_whose_connections_are_refused_are_served() {
    assert_served_while_cut(Cut::Refused);
}

/// Guards against refusals by an entry VM whose connections to all servers remain unanswered.
#[test]
fn callers_of_an_entry_vm_whose_connections_are_unanswered_are_served() {
    assert_served_while_cut(Cut::Unanswered);
}

/// Guards against requests that entry VMs pass on to each other while none of them can serve them.
#[test]
fn requests_are_refused_at_once_while_all_servers_are_gone() {
    let deployment = Deployment::start();
    deployment.cut(Cut::Refused);
    deployment.servers.iter().for_each(|it| it.set_deaf(true));
    thread::sleep(STABLE_WINDOW);
    let before: usize = deployment.servers.iter().map(|it| it.ran().len()).sum();
    let answers = deployment.send_until("gone", Instant::now() + COUNTED);
    let statuses: BTreeSet<u16> = answers.iter().map(|it| it.1.status).collect();
    assert_eq!(statuses, BTreeSet::from([503]));
    let slowest = answers.iter().map(|it| it.1.time).max().expect("answers");
    assert!(slowest < REFUSED_WITHIN, "{slowest:?}");
    let after: usize = deployment.servers.iter().map(|it| it.ran().len()).sum();
    assert_eq!(before, after);
}

/// Guards against a stream that seems complete although the entry VM that it came by way of has ended.
#[test]
fn stream_of_an_entry_vm_that_ends_is_cut() {
    let mut deployment = Deployment::start();
    deployment.servers.iter().for_each(|it| it.set_event_pause(Duration::from_millis(300)));
    deployment.cut_and_wait();
    let caller = deployment.begin_stream("passed-on");
    thread::sleep(Duration::from_millis(500));
    deployment.others.iter_mut().for_each(Front::kill);
    let (status, _, body) = caller.join().expect("an answer");
    assert_eq!(status, 200);
    assert!(body.contains("id: 1") && !body.ends_with("0\r\n\r\n"), "{body}");
}

/// Guards against work that goes on for a caller who has left.
#[test]
fn caller_that_leaves_ends_the_work_at_the_server() {
    let deployment = Deployment::start();
    deployment.servers.iter().for_each(|it| it.set_event_pause(Duration::from_millis(200)));
    deployment.cut_and_wait();
    let mut caller = TcpStream::connect(deployment.front.address).expect("a connection");
    let headers = CALLER_HEADERS.replace("a1", "leaving");
    let request = format!(
        "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n{headers}\r\n{{}}"
    );
    caller.write_all(request.as_bytes()).expect("a request is sent");
    let has_begun = || deployment.servers.iter().any(|it| it.ran().contains(&"leaving".to_owned()));
    wait_until("the stream runs", has_begun);
    drop(caller);
    let none_in_progress = |it: &Front| it.metrics().contains("front_requests_in_progress 0");
    wait_until("no entry VM is at work", || deployment.others.iter().all(none_in_progress));
}

/// Returns answers of servers to requests that ran which could be taken for an entry VM's own.
fn answers_like_an_entry_vms() -> Vec<OddAnswer> {
    let statuses = ["404 None", "401 Who", "403 No", "503 Full", "429 Many", "408 Slow", "502 Bad"];
    let mut answers: Vec<OddAnswer> = statuses
        .into_iter()
        .flat_map(|it| [false, true].map(|is_signed| OddAnswer::with_status(it, is_signed)))
        .collect();
    let marks = ["Mangocross-Cut-Off: 1\r\n", "Mangocross-Answer-Of: 0 cut-off\r\n"];
    let marked = |headers| OddAnswer { headers, ..OddAnswer::with_status("503 Full", false) };
    answers.extend(marks.map(marked));
    let marked = |headers| OddAnswer { headers, ..OddAnswer::with_status("404 None", false) };
    answers.extend(marks.map(marked));
    answers
}

/// Guards against a server's answer that is taken for the word of the entry VM that passes it on: the
/// request ran again at the next one, and its caller was told that it had not run.
#[test]
fn answer_of_a_server_is_not_taken_for_that_of_the_entry_vm_which_passes_it_on() {
    let deployment = Deployment::start();
    deployment.cut_and_wait();
    for (number, answer) in answers_like_an_entry_vms().into_iter().enumerate() {
        deployment.servers.iter().for_each(|it| it.set_answer(Some(answer)));
        let attempt = format!("claim-{number}");
        let answered = deployment.send("/booking/x", &attempt);
        let case = format!("{answer:?}: {answered:?}");
        let ran: Vec<String> = deployment.servers.iter().flat_map(Server::ran).collect();
        assert_eq!(ran.iter().filter(|it| **it == attempt).count(), 1, "{case}");
        let status = answer.status.and_then(|it| it[..3].parse().ok()).unwrap_or(0);
        let expected = if [408, 429, 503].contains(&status) { 502 } else { status };
        assert_eq!(answered.status, expected, "{case}");
        let is_own = expected != status;
        assert_eq!(is_signed(&answered.head), answer.is_signed && !is_own, "{case}");
        assert!(!answered.head.to_ascii_lowercase().contains("mangocross-"), "{case}");
        // Streams take the same way.
        let attempt = format!("stream-{number}");
        let answered = deployment.send("/stream/x", &attempt);
        assert!(![408, 421, 429, 503].contains(&answered.status), "{answer:?}: {answered:?}");
    }
}

/// Guards against an entry VM's own refusal that is not told from a server's failure, so that the caller
/// does not learn that its request has not run.
#[test]
fn refusal_of_the_entry_vm_that_a_request_is_passed_on_to_is_the_callers() {
    let deployment = Deployment::start();
    deployment.cut_and_wait();
    deployment.servers.iter().for_each(|it| it.set_refusing(true));
    for path in PATHS {
        let answered = deployment.send(path, "refused");
        assert_eq!(answered.status, 503, "{path}: {answered:?}");
        assert!(answered.body.contains("not run"), "{path}: {answered:?}");
    }
}

/// Guards against a stream that is cut since the entry VM that serves it for another one stops: it has no
/// callers of its own that it would wait for.
#[test]
fn planned_stop_waits_for_requests_that_were_passed_on() {
    let deployment = Deployment::start();
    deployment.servers.iter().for_each(|it| it.set_event_pause(PASSED_ON_EVENT_PAUSE));
    deployment.cut_and_wait();
    let caller = deployment.begin_stream("passed-on");
    deployment.others.iter().for_each(Front::terminate);
    let (status, _, body) = caller.join().expect("an answer");
    let events: Vec<&str> = body.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
    assert_eq!((status, events), (200, vec!["1", "2", "3", "4", "5"]), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "{body}");
}
