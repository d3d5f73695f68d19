//! Crowds that send bodies.

use std::io::Write;

use crate::crowd::BODY_BYTES_MAX;
use crate::crowd::Crowd;
use crate::crowd::write_total;

/// Clients that send bodies: their legal bytes are four times the memory of the test's VM.
const CLIENTS: usize = 64;

/// Guards against a process that ends for lack of memory since many bodies of legal size stop just
/// short of their end and are kept until the deadline.
#[test]
fn bodies_in_one_piece_stop_before_their_end() {
    let body = vec![b'x'; BODY_BYTES_MAX - 1];
    Crowd::new(CLIENTS).run("bodies in one piece", |door, _, stream| {
        let head = door.head("POST", &format!("Content-Length: {BODY_BYTES_MAX}\r\n\r\n"));
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body)
    });
}

/// Guards against small parts of a body that each keep a whole read buffer.
#[test]
fn bodies_in_small_pieces_stop_before_their_end() {
    let piece = [b'x'; 700];
    Crowd::new(CLIENTS).run("bodies in small pieces", |door, _, stream| {
        let head = door.head("POST", &format!("Content-Length: {BODY_BYTES_MAX}\r\n\r\n"));
        stream.write_all(head.as_bytes())?;
        write_total(stream, &piece, BODY_BYTES_MAX - 1)
    });
}

/// Guards against bodies without an announced length that are kept until the deadline.
#[test]
fn bodies_in_chunks_stop_before_their_end() {
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    Crowd::new(CLIENTS).run("bodies in chunks", |door, _, stream| {
        let head = door.head("POST", "Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for _ in 0..BODY_BYTES_MAX / 0x1000 {
            stream.write_all(chunk.as_bytes())?;
        }
        Ok(())
    });
}

/// Guards against chunks of one byte that each cost many times their size: 128 Ki chunks a client are
/// a 32nd of the largest legal body.
#[test]
fn bodies_of_one_byte_chunks_stop_before_their_end() {
    let chunks = "1\r\nx\r\n".repeat(1 << 12);
    Crowd::new(24).run("bodies of one-byte chunks", |door, _, stream| {
        let head = door.head("POST", "Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for _ in 0..1 << 5 {
            stream.write_all(chunks.as_bytes())?;
        }
        Ok(())
    });
}

/// Guards against bodies far over the limit that are kept, or read on without an end after the
/// refusal.
#[test]
fn bodies_far_over_the_limit_are_sent_on() {
    let piece = vec![b'x'; 64 << 10];
    Crowd::new(CLIENTS).run("bodies over the limit", |door, number, stream| {
        let length = match number % 2 {
            0 => format!("Content-Length: {}\r\n\r\n", 16 * BODY_BYTES_MAX),
            _ => "Transfer-Encoding: chunked\r\n\r\n4000000\r\n".to_owned(),
        };
        stream.write_all(door.head("POST", &length).as_bytes())?;
        write_total(stream, &piece, 4 * BODY_BYTES_MAX)
    });
}
