//! Waits for the first answer to several attempts of one request.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

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
