//! A server of the application that runs requests and fails some with a status of its own.

use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::CLAIM;
use crate::Call;
use crate::Site;
use crate::http::Request;
use crate::http::answer;
use crate::server::Server;

/// Requests in a hundred that the server fails.
const FAILED_PERCENT: usize = 40;

/// Runs the request and fails it, since the application could not complete it. Nothing says that it has not run.
fn fail(server: &Server, request: &Request, stream: &mut TcpStream) -> Option<bool> {
    server.begin(request);
    thread::sleep(Duration::from_millis(20));
    let headers = server.signed_headers(request);
    Some(answer(stream, 503, &headers, "recorded, but the register does not answer"))
}

pub fn play(record: &str) -> i32 {
    let site = Site::start(record, 1);
    if site.has_trouble {
        let count = AtomicUsize::new(0);
        site.record.add("one server of three fails 40 in 100 of its requests with 503");
        site.desk[0].set_fault(Some(move |server: &Server, request: &Request, stream: &mut TcpStream| {
            let number = count.fetch_add(FAILED_PERCENT, Ordering::SeqCst);
            let fails = number % 100 + FAILED_PERCENT >= 100;
            fails.then(|| fail(server, request, stream)).flatten()
        }));
    }
    let mut broken = Vec::new();
    for number in 0..60 {
        let attempt = format!("claim-{number}");
        let answer = site.fronts[0].call(&site.record, &Call { attempt: &attempt, ..CLAIM });
        let runs = site.record.count(&format!("run {attempt} at"));
        if [408, 421, 429, 503].contains(&answer.status) && runs > 0 {
            broken.push(format!("{attempt} got {} and has run", answer.status));
            // The answer promises that the claim has not run, so its client sends it again.
            site.fronts[0].call(&site.record, &Call { attempt: &format!("{attempt}-again"), ..CLAIM });
        }
        thread::sleep(Duration::from_millis(80));
    }
    site.judge("REFUSED", &broken)
}
