//! Queries many coordinators for the failure of a request, with bounded concurrency.

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
use crate::fetch_request_failure;

/// Concurrency and time limits of a search for a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchLimits {
    /// Maximum number of coordinators queried concurrently.
    pub concurrency_max: usize,
    /// Time limit of the whole search.
    pub total: Duration,
}

/// Result of a search for the failure of a request.
#[derive(Debug, Default)]
pub struct FailureSearchResult {
    /// The failure, and the coordinator that returned it.
    pub found: Option<FoundFailure>,
    /// Coordinators that did not answer, or had not been queried, when the search ended.
    pub unanswered: Vec<SocketAddr>,
}

/// A failure and the coordinator that returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundFailure {
    /// Address of the coordinator that returned the failure.
    pub coordinator: SocketAddr,
    /// The request's failure as its gateway reported it.
    pub failure: RequestFailure,
}

type QueryResult = (SocketAddr, Result<Option<RequestFailure>, FetchError>);

/// Queries coordinators for the failure of a request until one returns it.
///
/// Queries in progress at the end are not awaited; each ends by its own time limit.
pub fn search_request_failure(
    coordinators: &[SocketAddr],
    key: &PeerKey,
    request: &RequestId,
    limits: SearchLimits,
) -> FailureSearchResult {
    let deadline = Instant::now() + limits.total;
    let queue: VecDeque<SocketAddr> = coordinators.iter().copied().collect();
    let queue = Arc::new(Mutex::new(queue));
    let (sender, answers) = mpsc::channel();
    for _ in 0..limits.concurrency_max.min(coordinators.len()) {
        let (queue, key, request, sender) =
            (Arc::clone(&queue), key.clone(), request.clone(), sender.clone());
        let builder = thread::Builder::new().name("search".into());
        // If the thread cannot be started, the others process the whole queue.
        let _ = builder.spawn(move || query_each(&queue, &key, &request, &sender));
    }
    drop(sender);
    let mut search = FailureSearchResult { found: None, unanswered: coordinators.to_vec() };
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

/// Queries one coordinator after the other until the queue is empty.
fn query_each(
    queue: &Mutex<VecDeque<SocketAddr>>,
    key: &PeerKey,
    request: &RequestId,
    answers: &Sender<QueryResult>,
) {
    loop {
        let next = lock(queue).pop_front();
        let Some(coordinator) = next else { return };
        let answer = fetch_request_failure(coordinator, key, request);
        if answers.send((coordinator, answer)).is_err() {
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
