//! Crowds whose requests have very many short fields.

use std::io::Write;

use crate::crowd::Crowd;
use crate::crowd::HEADER_BYTES_MAX;

const CLIENTS: usize = 400;
/// Number of fields that most implementations accept, together with those of every request.
const USUAL_FIELDS: usize = 90;

/// Returns short fields with different names, of about this size together.
fn fields(count_max: usize, bytes_max: usize) -> String {
    let mut fields = String::new();
    for number in 0..count_max {
        if fields.len() + 16 > bytes_max {
            break;
        }
        fields.push_str(&format!("x{number}:y\r\n"));
    }
    fields
}

/// Guards against heads of legal size that cost many times their size, since each field is allocated.
#[test]
fn heads_of_very_many_short_fields() {
    let many = fields(usize::MAX, HEADER_BYTES_MAX - 400);
    let usual = fields(USUAL_FIELDS, HEADER_BYTES_MAX);
    Crowd::new(CLIENTS).run("heads of many fields", |door, number, stream| {
        let fields = if number % 2 == 0 { &many } else { &usual };
        let head = door.head("POST", &format!("{fields}Content-Length: 9\r\n\r\nbody"));
        stream.write_all(head.as_bytes())
    });
}

/// Guards against trailers that cost many times their size and that no limit on heads covers.
#[test]
fn trailers_of_very_many_short_fields() {
    let many = fields(usize::MAX, HEADER_BYTES_MAX - 400);
    let usual = fields(USUAL_FIELDS, HEADER_BYTES_MAX);
    Crowd::new(CLIENTS).run("trailers of many fields", |door, number, stream| {
        let fields = if number % 2 == 0 { &many } else { &usual };
        let head = door.head("POST", "Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(format!("{head}4\r\nbody\r\n0\r\n{fields}").as_bytes())?;
        // Half of the clients end their trailers.
        if number % 4 < 2 { stream.write_all(b"\r\n") } else { Ok(()) }
    });
}
