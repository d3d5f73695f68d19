//! Waits for the first answer to several attempts of one request.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// The attempt that ended first, with its result.
#[derive(Debug)]
pub(crate) enum FirstAnswer<T> {
    /// The attempt that was sent last.
    Latest(T),
    /// The earlier attempt, whose server was silent.
    Earlier(T),
}

/// Waits until one of two attempts ends; an earlier attempt that has ended is removed.
///
/// A server that is silent may only be pausing, so an attempt is given up only once another one
/// has an answer.
pub(crate) async fn first_answer<F: Future + Unpin>(
    latest: &mut F,
    earlier: &mut Option<F>,
) -> FirstAnswer<F::Output> {
    let Some(silent) = earlier else { return FirstAnswer::Latest(latest.await) };
    let first = tokio::select! {
        biased;
        it = silent => FirstAnswer::Earlier(it),
        it = latest => FirstAnswer::Latest(it),
    };
    if matches!(first, FirstAnswer::Earlier(_)) {
        *earlier = None;
    }
    first
}

/// Waits until one of several attempts ends, and removes it; without any it waits forever.
///
/// Dropping the future loses nothing.
pub(crate) async fn first_of<F: Future + Unpin>(attempts: &mut Vec<F>) -> F::Output {
    let (ended, output) = poll_fn(|cx| {
        for (at, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(it) = Pin::new(attempt).poll(cx) {
                return Poll::Ready((at, it));
            }
        }
        Poll::Pending
    })
    .await;
    drop(attempts.remove(ended));
    output
}
