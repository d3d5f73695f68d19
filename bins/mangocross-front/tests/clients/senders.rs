//! Crowds that send slowly or stop half-way.

use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::write_total;

/// More clients than the VM has descriptors.
const CLIENTS: usize = 600;
/// Time between two bytes of a slow sender.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of a slow sender.
const SLOW_BYTES: usize = 20;

/// Guards against clients that hold connections, and descriptors, with a byte from time to time.
#[test]
fn slow_senders_of_bodies() {
    Crowd::new(CLIENTS).run("slow senders of bodies", |door, _, stream| {
        stream.write_all(door.head("POST", "Content-Length: 60000\r\n\r\n").as_bytes())?;
        for _ in 0..SLOW_BYTES {
            thread::sleep(BYTE_PAUSE);
            stream.write_all(b"x")?;
        }
        Ok(())
    });
}

/// Guards against heads that come a byte at a time.
#[test]
fn slow_senders_of_heads() {
    Crowd::new(CLIENTS).run("slow senders of heads", |door, _, stream| {
        for byte in door.head("GET", "").bytes().take(SLOW_BYTES) {
            thread::sleep(BYTE_PAUSE);
            stream.write_all(&[byte])?;
        }
        Ok(())
    });
}

/// Guards against heads that never end, on ports whose limits are not those of callers: each client
/// sends up to 384 KiB.
#[test]
fn heads_stop_half_way() {
    let value = [b'x'; 4 << 10];
    Crowd::new(CLIENTS).run("heads that stop half-way", |door, number, stream| {
        stream.write_all(door.head("GET", "Long: ").as_bytes())?;
        // Half of the clients stay within the limit on heads.
        let length = if number % 2 == 0 { 12 << 10 } else { 384 << 10 };
        write_total(stream, &value, length)
    });
}

/// Guards against connections without a request that use up the descriptors.
#[test]
fn connections_without_a_request() {
    Crowd::new(CLIENTS).run("connections without a request", |_, _, _| {
        thread::sleep(BYTE_PAUSE);
        Ok(())
    });
}
