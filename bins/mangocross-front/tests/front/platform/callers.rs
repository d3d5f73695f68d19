//! Callers that send one request after the other.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::CALLER_HEADERS;
use super::Front;

/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends requests to each entry VM until a moment; returns the statuses.
pub(crate) fn send_until(fronts: &[Front], path: &str, end: Instant) -> Vec<u16> {
    thread::scope(|scope| {
        let callers: Vec<_> = fronts
            .iter()
            .map(|front| {
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    while Instant::now() < end {
                        let attempt = format!("a-{}-{}", front.name(), statuses.len());
                        let headers = CALLER_HEADERS.replace("a1", &attempt);
                        statuses.push(front.call("POST", path, &headers, "{}").0);
                        thread::sleep(PAUSE);
                    }
                    statuses
                })
            })
            .collect();
        callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect()
    })
}
