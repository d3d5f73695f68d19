//! Long streams that are in progress when a fault is injected.

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use mangocross_tests::Caller;
use mangocross_tests::CallerRequest;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// Streams in progress.
pub struct Streams(Vec<JoinHandle<bool>>);

impl Streams {
    /// Opens one stream of `tokens` tokens through each gateway.
    pub fn spawn(gateways: &[SocketAddr], tokens: u32) -> Self {
        let spawn = |gateway: &SocketAddr| {
            let gateway = *gateway;
            thread::spawn(move || {
                let outgoing = CallerRequest::chat("bank", "draft", "letters", tokens, true);
                let answer = Caller::open(ANSWER_TIMEOUT).send(gateway, &outgoing);
                let expected: Vec<u64> = (0..u64::from(tokens)).collect();
                answer.is_ok_and(|it| it.is_complete() && it.token_indexes() == expected)
            })
        };
        Self(gateways.iter().map(spawn).collect())
    }

    /// Waits for all streams and returns how many were complete, with each token exactly once.
    pub fn finish(self) -> usize {
        self.0.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count()
    }
}
