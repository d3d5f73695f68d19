//! Tests with sound servers that fall silent for a second or so and then go on.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::LogFile;
use crate::platform::Server;
use crate::platform::start_engines;
use crate::platform::start_groups_with_log;
use crate::platform::start_plain;
use crate::platform::wait_until;

/// Time for which a server is silent.
const SILENCE: Duration = Duration::from_millis(1200);
/// Time for which a server is silent so that its group is suspect, but no longer than its callers
/// wait.
const SHORT_SILENCE: Duration = Duration::from_millis(1000);
/// Time between two events of a server that is slow, but sound.
const SLOW_PAUSE: Duration = Duration::from_millis(450);

/// Sends the request of a stream on a new connection.
fn open_stream(front: &Front, attempt: &str) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(front.address).expect("a connection");
    let headers = CALLER_HEADERS.replace("a1", attempt);
    let text = format!(
        "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 2\r\n{headers}\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).expect("sent");
    BufReader::new(stream)
}

/// Reads up to the line that holds an event's id; returns what was read.
fn read_to_event(stream: &mut BufReader<TcpStream>, id: u64) -> String {
    let mut text = String::new();
    while !text.contains(&format!("id: {id}\n")) {
        assert!(stream.read_line(&mut text).expect("more of the answer") > 0, "{text}");
    }
    text
}

/// Asserts that an answer holds each event once and is complete.
fn assert_whole(answer: &str) {
    let ids: Vec<u64> =
        answer.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "the answer was cut: {answer}");
}

/// Returns the head that runs an attempt, and refuses requests at all other heads.
fn only_head_of<'a>(engines: &'a [Server], attempt: &str) -> &'a Server {
    let runs_it = |it: &&Server| it.ran().iter().any(|it| it == attempt);
    let head = engines.iter().find(runs_it).expect("a head");
    engines.iter().filter(|it| !runs_it(it)).for_each(|it| it.set_refusing(true));
    head
}

/// Guards against answers that are cut because their server pauses while no other group has room.
#[test]
fn silence_does_not_cut_an_answer_that_no_other_group_can_continue() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    let mut stream = open_stream(&front, "paused");
    let mut answer = read_to_event(&mut stream, 2);
    let head = only_head_of(&engines, "paused");
    head.fall_silent(SILENCE);
    stream.read_to_string(&mut answer).expect("an answer that ends");
    assert_whole(&answer);
}

/// Guards against requests that fail because their server pauses before the first event.
#[test]
fn silence_before_the_first_event_does_not_end_the_request() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    let mut first = open_stream(&front, "begun");
    let mut answer = read_to_event(&mut first, 2);
    let head = only_head_of(&engines, "begun");
    head.fall_silent(SILENCE);
    let mut second = open_stream(&front, "waiting");
    let mut waiting = String::new();
    second.read_to_string(&mut waiting).expect("an answer that ends");
    assert_whole(&waiting);
    first.read_to_string(&mut answer).expect("an answer that ends");
    assert_whole(&answer);
}

/// A silent server's stream goes on elsewhere where that is possible, each event once.
#[test]
fn stream_of_a_silent_server_continues_at_another_group() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    engines.iter().for_each(|it| it.fall_silent_after(2, SILENCE));
    let mut stream = open_stream(&front, "moved");
    let mut answer = String::new();
    let runs_it = |it: &&Server| it.ran().iter().any(|it| it == "moved");
    stream.read_to_string(&mut answer).expect("an answer that ends");
    assert_whole(&answer);
    assert_eq!(engines.iter().filter(runs_it).count(), 2);
}

/// Guards against a second run of a stream whose server paused once, went on and then writes slowly:
/// the suspicion of the pause is over.
#[test]
fn stream_that_goes_on_after_a_silence_stays_with_its_server() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(SLOW_PAUSE));
    let mut stream = open_stream(&front, "resumed");
    let mut answer = read_to_event(&mut stream, 1);
    let head = only_head_of(&engines, "resumed");
    head.fall_silent(SHORT_SILENCE);
    answer.push_str(&read_to_event(&mut stream, 2));
    engines.iter().for_each(|it| it.set_refusing(false));
    stream.read_to_string(&mut answer).expect("an answer that ends");
    assert_whole(&answer);
    let runs = engines.iter().flat_map(Server::ran).filter(|it| it == "resumed").count();
    assert_eq!(runs, 1);
}

/// Guards against groups that are dissolved, with all their answers, because a member pauses.
#[test]
fn silence_does_not_dissolve_a_group() {
    let (_store, engines, front) = start_engines();
    let incarnations =
        |engines: &[Server]| engines.iter().map(Server::incarnation).collect::<Vec<_>>();
    let before = incarnations(&engines);
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    let mut stream = open_stream(&front, "paused");
    read_to_event(&mut stream, 2);
    engines.iter().filter(|it| !it.ran().is_empty()).for_each(|it| it.fall_silent(SILENCE));
    thread::sleep(SILENCE * 2);
    assert_eq!(incarnations(&engines), before);
}

/// Guards against a group that is dissolved because the queue of new connections of its silent head
/// has become full.
#[test]
fn silent_head_whose_queue_of_connections_is_full_keeps_its_group() {
    let log = LogFile::new("full-queue");
    let (_store, engines, front) = start_groups_with_log(2, 2, log.create());
    let before: Vec<_> = engines.iter().map(Server::incarnation).collect();
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    let mut stream = open_stream(&front, "frozen");
    let mut answer = read_to_event(&mut stream, 2);
    let head = only_head_of(&engines, "frozen");
    let closed_before = log.count("closed heads changed", "");
    head.fall_silent(SILENCE);
    wait_until("failed probes", || log.count("closed heads changed", "") > closed_before);
    head.set_deaf(true);
    head.wait_while_silent();
    head.set_deaf(false);
    stream.read_to_string(&mut answer).expect("an answer that ends");
    assert_whole(&answer);
    thread::sleep(SILENCE);
    assert_eq!(engines.iter().map(Server::incarnation).collect::<Vec<_>>(), before);
}

/// Guards against a group that is dissolved because its streams stay with their silent head.
#[test]
fn silence_of_a_head_with_several_streams_does_not_dissolve_its_group() {
    let (_store, engines, front) = start_engines();
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(300)));
    let mut streams = vec![open_stream(&front, "first")];
    let mut answers = vec![read_to_event(&mut streams[0], 1)];
    let head = only_head_of(&engines, "first");
    let before: Vec<_> = engines.iter().map(Server::incarnation).collect();
    for attempt in ["second", "third"] {
        let mut stream = open_stream(&front, attempt);
        answers.push(read_to_event(&mut stream, 1));
        streams.push(stream);
    }
    head.fall_silent(SILENCE);
    for (stream, answer) in streams.iter_mut().zip(&mut answers) {
        stream.read_to_string(answer).expect("an answer that ends");
        assert_whole(answer);
    }
    thread::sleep(SILENCE);
    assert_eq!(engines.iter().map(Server::incarnation).collect::<Vec<_>>(), before);
}

/// Guards against a repeatable request that fails because its server pauses and the repetition is
/// refused.
#[test]
fn silence_of_a_plain_server_does_not_end_a_repeatable_request() {
    let (_store, servers, front) = start_plain();
    servers[0].fall_silent(SILENCE);
    servers[1].set_refusing(true);
    let headers = CALLER_HEADERS.replace("a1", "lookup");
    let (status, _, body) = front.call("GET", "/lookup/x", &headers, "");
    assert_eq!((status, body.as_str()), (200, "the whole body"));
}
