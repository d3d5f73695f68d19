//! Waits for the first answer to several attempts of one request.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// What ended first, with its result.
#[derive(Debug)]
pub(crate) enum FirstAnswer<L, E> {
    /// The attempt that was sent last, or that is being sent.
    Latest(L),
    /// The earlier attempt, whose server was silent.
    Earlier(E),
}

/// Waits until the latest attempt, or the sending of one, or an earlier attempt ends; an earlier
/// attempt that has ended is removed.
///
/// A server that is silent may only be pausing, so an attempt is given up only once another one
/// has an answer.
pub(crate) async fn first_answer<L: Future + Unpin, E: Future + Unpin>(
    latest: &mut L,
    earlier: &mut Option<E>,
) -> FirstAnswer<L::Output, E::Output> {
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
