//! Tests with a request to a plain service that crashes each server which begins to run it.

use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::platform;
use crate::platform::AnswerEnd;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Number of sends that may reach servers later than STABLE_WINDOW after the third crash.
const LATE_SENDS_MAX: usize = 3;
/// Time in which all entry VMs must know of the crashes.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Time from a crash until the server is back.
const RESTART_TIME: Duration = Duration::from_millis(2000);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two requests that crash servers.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which callers repeat the request after the stable window.
const LATE_TIME: Duration = Duration::from_millis(6000);
/// Time without further crashes after which all servers serve again.
const RECOVERY_TIME: Duration = Duration::from_millis(3000);
/// Time in which three servers must have crashed.
const CRASHES_WITHIN: Duration = Duration::from_secs(15);
/// Body of all requests.
const BODY: &str = "{\"customer\": 1}";
/// Number of the next attempt.
static NEXT: AtomicU32 = AtomicU32::new(1);

type Answer = JoinHandle<(u16, String)>;

fn send(front: &Front, path: &str) -> Answer {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let headers = CALLER_HEADERS.replace("a1", &format!("attempt-{number}"));
    let (address, path) = (front.address, path.to_owned());
    thread::spawn(move || {
        let (status, _, body) = platform::call(address, "POST", &path, &headers, BODY);
        (status, body)
    })
}

/// Starts a store, three servers of a plain service that crash on requests with this path, and
/// four entry VMs.
fn start(crashing_path: &str) -> (Store, Vec<Server>, Vec<Front>) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers: Vec<Server> =
        (0..3).map(|it| Server::spawn(&store, &format!("r{it}"), "records")).collect();
    for server in &servers {
        server.set_crashing_request(crashing_path, BODY);
        server.set_restart_time(RESTART_TIME);
    }
    let fronts: Vec<Front> = (0..4).map(|_| Front::spawn(&store, 60_000, Stdio::null())).collect();
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
        platform::wait_for_metric(front, "front_backend_servers 3");
    }
    (store, servers, fronts)
}

fn crashes(servers: &[Server]) -> u32 {
    servers.iter().map(Server::crashes).sum()
}

fn crashing_sends(servers: &[Server]) -> usize {
    servers.iter().map(Server::crashing_requests).sum()
}

fn assert_not_blamed((status, body): &(u16, String)) {
    assert!(!body.contains("2008"), "a sound request was blamed: {status} {body}");
}

/// Repeats a request that crashes servers, by turns at the first entry VMs until the third crash and
/// at all others after it, beside sound requests of the same customer and route, one of which is
/// repeated each second too. Checks the sends after the stable window, and that sound requests are
/// never refused for the crashes.
fn assert_request_is_quarantined(
    servers: &[Server],
    fronts: &[Front],
    crashing_path: &str,
    first_fronts: usize,
) {
    let began_at = Instant::now();
    let mut third_at = None;
    let mut early = None;
    let mut crashing_at = began_at;
    let mut sound = Vec::new();
    let mut crashing: Vec<(Instant, Answer)> = Vec::new();
    for index in 0.. {
        let now = Instant::now();
        if third_at.is_none() && crashes(servers) >= 3 {
            third_at = Some(now);
        }
        let since_third = third_at.map(|it| now - it);
        if early.is_none() && since_third.is_some_and(|it| it >= STABLE_WINDOW) {
            early = Some(crashing_sends(servers));
        }
        if since_third.is_some_and(|it| it >= STABLE_WINDOW + LATE_TIME) {
            break;
        }
        assert!(third_at.is_some() || began_at.elapsed() < CRASHES_WITHIN, "too few crashes");
        if now >= crashing_at {
            crashing_at += CRASHING_INTERVAL;
            let fronts = match third_at {
                None => &fronts[..first_fronts],
                Some(_) if first_fronts < fronts.len() => &fronts[first_fronts..],
                Some(_) => fronts,
            };
            crashing.push((now, send(&fronts[crashing.len() % fronts.len()], crashing_path)));
        }
        let path = if index % 10 == 0 { "/lookup/again" } else { "/lookup/other" };
        let path = if index % 10 == 0 { path.to_owned() } else { format!("{path}{index}") };
        sound.push(send(&fronts[index % fronts.len()], &path));
        thread::sleep(SOUND_INTERVAL);
    }
    let (third_at, early) = third_at.zip(early).expect("three crashes");
    let late = crashing_sends(servers) - early;
    let all = crashes(servers);
    assert!(
        late <= LATE_SENDS_MAX,
        "{late} sends reached servers late, {early} before; {all} crashes"
    );
    for answer in sound {
        assert_not_blamed(&answer.join().expect("an answer"));
    }
    let (mut late_requests, mut refused) = (0, 0);
    for (sent_at, answer) in crashing {
        let (status, body) = answer.join().expect("an answer");
        assert_ne!(status, 200, "{body}");
        if sent_at >= third_at + STABLE_WINDOW {
            late_requests += 1;
            refused += usize::from(status == 503 && body.contains("\"not run\""));
        }
    }
    assert!(refused + LATE_SENDS_MAX >= late_requests, "{refused} refused of {late_requests}");
    thread::sleep(RECOVERY_TIME);
    for front in fronts {
        for number in 0..3 {
            let (status, body) =
                send(front, &format!("/lookup/later{number}")).join().expect("an answer");
            assert_eq!(status, 200, "a sound request: {body}");
        }
    }
}

/// Lets an entry VM start anew and checks that it learns of the request from the others.
fn assert_restarted_entry_vm_refuses(front: &mut Front, servers: &[Server], crashing_path: &str) {
    let before = crashing_sends(servers);
    front.kill();
    front.restart(Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    thread::sleep(STABLE_WINDOW);
    for _ in 0..10 {
        let (status, body) = send(front, crashing_path).join().expect("an answer");
        assert!(status == 503 && body.contains("\"not run\""), "{status} {body}");
    }
    assert_eq!(crashing_sends(servers), before);
}

/// One request crashed 14 to 16 servers, one after the other: it was repeated by entry VMs and
/// callers, and nothing connected the crashes.
#[test]
fn request_that_crashed_three_servers_reaches_hardly_any_more() {
    let path = "/lookup/bad?again=1";
    let (_store, servers, mut fronts) = start(path);
    assert_request_is_quarantined(&servers, &fronts, path, fronts.len());
    assert_restarted_entry_vm_refuses(&mut fronts[0], &servers, path);
}

/// A request that runs at most once is not repeated by an entry VM, but its callers send it again
/// with a new attempt, and it crashed one server after the other.
#[test]
fn once_only_request_that_crashed_three_servers_reaches_hardly_any_more() {
    let path = "/booking/bad";
    let (_store, servers, fronts) = start(path);
    assert_request_is_quarantined(&servers, &fronts, path, fronts.len());
}

/// Crashes that one entry VM observed alone stopped a request there only, and each of the others
/// sent it to more servers.
#[test]
fn crashes_that_one_entry_vm_saw_stop_the_request_at_all() {
    let path = "/lookup/bad";
    let (_store, servers, fronts) = start(path);
    assert_request_is_quarantined(&servers, &fronts, path, 1);
}

/// Answers that are cut and refusals come from servers that are there:
/// a request that meets them again and again must not be taken for one that crashes servers.
#[test]
fn request_whose_answers_are_lost_is_not_blamed() {
    let path = "/lookup/unlucky";
    let (_store, servers, fronts) = start("/lookup/none");
    let ask = || {
        for index in 0..12 {
            assert_not_blamed(&send(&fronts[index % 4], path).join().expect("an answer"));
        }
    };
    for end in [AnswerEnd::Empty, AnswerEnd::Reset, AnswerEnd::InsidePart] {
        servers.iter().for_each(|it| it.set_answer_end(end));
        ask();
    }
    servers.iter().for_each(|it| it.set_answer_end(AnswerEnd::Length));
    servers.iter().for_each(|it| it.set_refusing(true));
    ask();
    servers.iter().for_each(|it| it.set_refusing(false));
    thread::sleep(STABLE_WINDOW);
    for front in &fronts {
        let (status, body) = send(front, path).join().expect("an answer");
        assert_eq!(status, 200, "{body}");
    }
}

/// All servers end at once, twice, with a sound request at each of them.
#[test]
fn request_is_served_after_all_servers_were_lost_at_once() {
    let path = "/lookup/unlucky";
    let (_store, servers, fronts) = start("/lookup/none");
    for _ in 0..2 {
        servers.iter().for_each(|it| it.set_withholding_answers(true));
        let calls: Vec<Answer> = (0..8).map(|it| send(&fronts[it % 4], path)).collect();
        platform::wait_until("a request at each server", || {
            servers.iter().all(|it| it.ran().len() > 1)
        });
        servers.iter().for_each(Server::crash);
        servers.iter().for_each(|it| it.set_withholding_answers(false));
        for call in calls {
            assert_not_blamed(&call.join().expect("an answer"));
        }
        thread::sleep(RESTART_TIME);
        for front in &fronts {
            front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
            let (status, body) = send(front, path).join().expect("an answer");
            assert_eq!(status, 200, "{body}");
        }
    }
}
