//! Asks many coordinators for the failure of a request, some at a time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::RequestId;

use crate::FetchError;
use crate::PeerKey;
use crate::RequestFailure;
use crate::fetch_failure;

/// Bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchLimits {
    /// Most coordinators asked at once.
    pub at_once_max: usize,
    /// Longest time for all of them.
    pub total: Duration,
}

/// What a search found.
#[derive(Debug, Default)]
pub struct FailureSearch {
    /// The failure, and the coordinator that knew it.
    pub found: Option<FoundFailure>,
    /// Coordinators that did not answer, or were not asked any more when the time was over.
    pub unanswered: Vec<SocketAddr>,
}

/// A failure and the coordinator that knew it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundFailure {
    /// The coordinator.
    pub coordinator: SocketAddr,
    /// The failure.
    pub failure: RequestFailure,
}

type Answer = (SocketAddr, Result<Option<RequestFailure>, FetchError>);

/// Asks coordinators for the failure of a request until one knows it.
///
/// Those still asked at the end are not waited for; each ends by its own time limit.
pub fn search_failure(
    coordinators: &[SocketAddr],
    key: &PeerKey,
    request: &RequestId,
    limits: SearchLimits,
) -> FailureSearch {
    let deadline = Instant::now() + limits.total;
    let queue: VecDeque<SocketAddr> = coordinators.iter().copied().collect();
    let queue = Arc::new(Mutex::new(queue));
    let (sender, answers) = mpsc::channel();
    for _ in 0..limits.at_once_max.min(coordinators.len()) {
        let (queue, key, request, sender) =
            (Arc::clone(&queue), key.clone(), request.clone(), sender.clone());
        let builder = thread::Builder::new().name("search".into());
        // Without this thread the others ask its part.
        let _ = builder.spawn(move || query_each(&queue, &key, &request, &sender));
    }
    drop(sender);
    let mut search = FailureSearch { found: None, unanswered: coordinators.to_vec() };
    while let Some(time_left) = deadline.checked_duration_since(Instant::now()) {
        let Ok((coordinator, answer)) = answers.recv_timeout(time_left) else { break };
        match answer {
            Ok(failure) => {
                search.unanswered.retain(|it| *it != coordinator);
                if let Some(failure) = failure {
                    search.found = Some(FoundFailure { coordinator, failure });
                    break;
                }
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    lock(&queue).clear();
    search
}

/// Asks one coordinator after the other until none is left.
fn query_each(
    queue: &Mutex<VecDeque<SocketAddr>>,
    key: &PeerKey,
    request: &RequestId,
    answers: &Sender<Answer>,
) {
    loop {
        let next = lock(queue).pop_front();
        let Some(coordinator) = next else { return };
        let answer = fetch_failure(coordinator, key, request);
        if answers.send((coordinator, answer)).is_err() {
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
