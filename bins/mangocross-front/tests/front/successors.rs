//! Tests with streams whose server breaks, and with the servers that are to continue them.

use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::start_groups;
use crate::platform::wait_until;

/// Time for which a sound server is silent.
const SILENCE: Duration = Duration::from_millis(1200);

/// Sends the request of a stream; returns status and body once the answer has ended.
fn call(front: &Front, attempt: &str) -> (u16, String) {
    let headers = CALLER_HEADERS.replace("a1", attempt);
    let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
    (status, body)
}

fn assert_whole((status, body): &(u16, String)) {
    let ids: Vec<u64> =
        body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!((*status, ids), (200, (1..=EVENTS).collect()), "{body}");
    assert!(body.ends_with("0\r\n\r\n"), "the answer was cut: {body}");
}

fn runs(engine: &Server, attempt: &str) -> usize {
    engine.ran().iter().filter(|it| *it == attempt).count()
}

/// Returns the heads that run an attempt, and the open heads that don't, once there are `count` of
/// the former.
fn wait_for_runs<'a>(
    engines: &'a [Server],
    attempt: &str,
    count: usize,
) -> (Vec<&'a Server>, Vec<&'a Server>) {
    let run = |it: &&Server| runs(it, attempt) > 0;
    wait_until("runs of the stream", || engines.iter().filter(run).count() >= count);
    engines.iter().filter(|it| it.is_open()).partition(run)
}

/// Makes streams slow, and the next answer of each engine break inside its third event.
fn break_first_answer_of_each(engines: &[Server]) {
    for engine in engines {
        engine.set_event_pause(Duration::from_millis(150));
        engine.break_streams(1);
    }
}

/// Guards against an answer that ends at its deadline because the server that is to continue it
/// hangs, although a third one would continue it.
#[test]
fn successor_that_hangs_is_replaced_while_attempts_are_left() {
    let (_store, engines, front) = start_groups(3, 3);
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "hanging"));
        let (_, others) = wait_for_runs(&engines, "hanging", 1);
        for it in others {
            it.break_streams(0);
            it.withhold_answers();
        }
        let (_, others) = wait_for_runs(&engines, "hanging", 2);
        others.iter().for_each(|it| it.set_withholding_answers(false));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
    assert_eq!(engines.iter().map(|it| runs(it, "hanging")).sum::<usize>(), 3);
}

/// Guards against giving up a successor that pauses before another one continues the stream.
#[test]
fn silent_successor_is_waited_for_where_no_other_server_takes_the_stream() {
    let (_store, engines, front) = start_groups(3, 3);
    break_first_answer_of_each(&engines);
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| call(&front, "pausing"));
        let (_, others) = wait_for_runs(&engines, "pausing", 1);
        others.iter().for_each(|it| it.break_streams(0));
        let (second, _) = wait_for_runs(&engines, "pausing", 2);
        second.iter().for_each(|it| it.fall_silent(SILENCE));
        others.iter().filter(|it| runs(it, "pausing") == 0).for_each(|it| it.set_refusing(true));
        answer.join().expect("an answer")
    });
    assert_whole(&answer);
}
