//! Claims at an entry VM that is partitioned from all servers; the application knows nothing of their file.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::CLAIM;
use crate::Call;
use crate::Site;
use crate::http::Request;
use crate::http::answer;
use crate::link::Cut;
use crate::server::Server;

/// Longest time of the partition; the pages say "for seconds".
const CUT_TIME: Duration = Duration::from_secs(4);

/// Works on a claim for a file that does not exist, and says so. The pages ask for a seal on successes only.
fn find_no_file(server: &Server, request: &Request, stream: &mut TcpStream) -> Option<bool> {
    if !request.target.contains("/unknown-file") {
        return None;
    }
    server.begin(request);
    thread::sleep(Duration::from_millis(20));
    let attempt = request.header("Attempt-Id").unwrap_or_default();
    let headers = format!("Attempt-Id: {attempt}\r\nContent-Type: text/plain\r\n");
    Some(answer(stream, 404, &headers, "there is no such file"))
}

pub fn play(record: &str) -> i32 {
    let cut = Cut::default();
    let site = Site::start_linked(record, 3, Some(&cut));
    site.desk.iter().for_each(|it| it.set_fault(Some(find_no_file)));
    let cut_at = Instant::now();
    if site.has_trouble {
        cut.set(true);
        site.record.add("the first entry VM is partitioned from all servers: new connections are refused");
    }
    thread::sleep(Duration::from_millis(300));
    // It serves on, by way of the others.
    site.fronts[0].wait_until_served(&site.record, &Call { attempt: "known", ..CLAIM });
    let (mut twice, mut refused) = (Vec::new(), Vec::new());
    for number in 0..10 {
        if cut_at.elapsed() > CUT_TIME {
            break;
        }
        let attempt = format!("claim-{number}");
        let claim = Call { attempt: &attempt, path: "/claims/unknown-file", ..CLAIM };
        let answer = site.fronts[0].call(&site.record, &claim);
        let runs = site.record.count(&format!("run {attempt} at"));
        if runs > 1 {
            twice.push(format!("{attempt} has run {runs} times"));
        }
        if [408, 421, 429, 503].contains(&answer.status) && runs > 0 {
            refused.push(format!("{attempt} got {} and has run", answer.status));
        }
    }
    cut.set(false);
    site.record.add("the partition ends");
    site.judge("TWICE", &twice) | site.judge("REFUSED", &refused)
}
