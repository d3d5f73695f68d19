//! Waits for the first answer to two attempts of one request.

use std::future::Future;

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
