//! Crowds that do not read their answers, or read them slowly.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::crowd::BODY_BYTES_MAX;
use crate::crowd::Crowd;
use crate::crowd::Door;

/// Clients whose unread answers are four times the memory of the test's VM.
const CLIENTS: usize = 64;
/// Time that slow readers hold their connections, shorter than any deadline.
const HOLD_TIME: Duration = Duration::from_millis(3000);
/// Time between two reads of a slow reader.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Size of the answers that pipelining clients do not read.
const SHORT_ANSWER_BYTES: usize = 64 << 10;
/// Requests that a client sends ahead.
const REQUESTS_AHEAD: usize = 10_000;

/// Guards against requests read ahead, and answers to them that nobody reads.
#[test]
fn requests_ahead_without_reading_answers() {
    let crowd = Crowd { answer_bytes: SHORT_ANSWER_BYTES, ..Crowd::new(CLIENTS) };
    crowd.run("requests ahead", |door, _, stream| {
        let requests = door.head("GET", "\r\n").repeat(100);
        for _ in 0..REQUESTS_AHEAD / 100 {
            stream.write_all(requests.as_bytes())?;
        }
        Ok(())
    });
}

/// Guards against large answers that are kept for clients that do not read them.
#[test]
fn slow_readers_of_large_answers() {
    let crowd = Crowd { answer_bytes: BODY_BYTES_MAX, doors: &Door::SERVED, ..Crowd::new(CLIENTS) };
    crowd.run("slow readers of large answers", |door, _, stream| {
        stream.write_all(door.head("GET", "\r\n").as_bytes())?;
        read_slowly(stream)
    });
}

/// Guards against streams whose events are kept for clients that do not read them.
#[test]
fn slow_readers_of_streams() {
    let crowd = Crowd { doors: &Door::SERVED, ..Crowd::new(CLIENTS) };
    crowd.run("slow readers of streams", |door, _, stream| {
        let head = door.head_of("POST", "/stream/x", "Content-Length: 0\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        read_slowly(stream)
    });
}

/// Reads a few bytes from time to time.
fn read_slowly(stream: &mut impl Read) -> std::io::Result<()> {
    let mut few = [0; 64];
    for _ in 0..HOLD_TIME.as_millis() / READ_PAUSE.as_millis() {
        thread::sleep(READ_PAUSE);
        if stream.read(&mut few)? == 0 {
            return Ok(());
        }
    }
    Ok(())
}
