//! Single clients that are slow but inside the limits, in calm.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::crowd::BODY_BYTES_MAX;
use crate::crowd::Door;
use crate::crowd::with_deployment;

/// Number of pieces in which bodies are sent and answers are read.
const PIECES: usize = 64;
/// Time between two pieces: 64 of them take two seconds, as on a link of 20 Mbit/s.
const PIECE_PAUSE: Duration = Duration::from_millis(30);

/// Guards against limits that a client inside the announced ones meets: the largest body, sent
/// slowly, and an answer of the same size that is read slowly.
#[test]
fn largest_body_and_answer_of_a_slow_client_are_served() {
    with_deployment(BODY_BYTES_MAX, |front| {
        let headers = format!("Connection: close\r\nContent-Length: {BODY_BYTES_MAX}\r\n\r\n");
        let exchange = || -> io::Result<Vec<u8>> {
            let mut stream = TcpStream::connect(front.address)?;
            stream.write_all(Door::Route.head("POST", &headers).as_bytes())?;
            for _ in 0..PIECES {
                stream.write_all(&vec![b'x'; BODY_BYTES_MAX / PIECES])?;
                thread::sleep(PIECE_PAUSE);
            }
            let mut answer = Vec::new();
            let mut piece = vec![0; BODY_BYTES_MAX / PIECES];
            loop {
                match stream.read(&mut piece)? {
                    0 => return Ok(answer),
                    length => answer.extend_from_slice(&piece[..length]),
                }
                thread::sleep(PIECE_PAUSE);
            }
        };
        let answer = exchange().expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{:?}", answer.get(..200));
        assert!(answer.len() > BODY_BYTES_MAX, "{} bytes", answer.len());
    });
}

/// Guards against a limit on the time of a head that is shorter than the announced one.
#[test]
fn head_of_a_slow_client_is_served() {
    with_deployment(0, |front| {
        let mut stream = TcpStream::connect(front.address).expect("a connection");
        let head = Door::Route.head("GET", "Connection: close\r\n\r\n");
        for piece in head.as_bytes().chunks(head.len().div_ceil(PIECES)) {
            stream.write_all(piece).expect("sent");
            thread::sleep(PIECE_PAUSE);
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}
