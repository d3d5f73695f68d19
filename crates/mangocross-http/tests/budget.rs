//! Tests of the byte budget.

use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;
use std::thread;
use std::time::Duration;

use hyper::body::Bytes;
use mangocross_http::BodyBuffer;
use mangocross_http::BudgetClient;
use mangocross_http::BudgetExhausted;
use mangocross_http::ByteBudget;
use mangocross_http::HeldBytes;

/// Size of the budgets, and what one client may hold without the reserve.
const BUDGET_BYTES: usize = 1 << 20;
const LARGE_BYTES: usize = BUDGET_BYTES / 8 * 7;
/// Time after which a client without progress counts as stalled.
const STALL: Duration = Duration::from_millis(1100);

/// Counts how often it is woken.
#[derive(Debug, Default)]
struct Counter(AtomicUsize);

impl Wake for Counter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

fn budget() -> ByteBudget {
    ByteBudget::of_memory(2 * BUDGET_BYTES as u64)
}

fn poll(client: &BudgetClient, bytes: usize) -> Poll<Result<HeldBytes, BudgetExhausted>> {
    client.poll_hold(&Context::from_waker(Waker::noop()), bytes)
}

/// Returns a client that holds bytes and has made this progress.
fn holding(budget: &ByteBudget, bytes: usize, progress: usize) -> (BudgetClient, HeldBytes) {
    let client = budget.enter();
    client.record_progress(progress);
    let Poll::Ready(Ok(held)) = poll(&client, bytes) else { panic!("no room for {bytes}") };
    (client, held)
}

/// Guards against a budget that shrinks with each request that ends in another way than usual.
#[test]
fn bytes_are_given_back_on_every_path() {
    let budget = budget();
    let client = budget.enter();
    let panicked = {
        let client = client.clone();
        catch_unwind(move || {
            let _held = client.hold(1000);
            panic!("as a handler may");
        })
    };
    assert!(panicked.is_err());
    let mut body = BodyBuffer::new(client.clone());
    let cx = Context::from_waker(Waker::noop());
    let extended = body.poll_extend(&cx, &mut Bytes::from_static(b"body"));
    assert_eq!(extended, Poll::Ready(Ok(())));
    assert!(budget.used() >= 4);
    let whole = body.finish();
    let again = whole.clone();
    drop((whole, client));
    assert!(budget.used() >= 4, "a copy of the body is still there");
    drop(again);
    assert_eq!(budget.used(), 0);
}

/// Guards against small pieces that cost many times their size, and against charges ahead of need.
#[test]
fn body_is_charged_about_what_it_holds() {
    let budget = budget();
    let mut body = BodyBuffer::new(budget.enter());
    let cx = Context::from_waker(Waker::noop());
    for length in 1..=200_000 {
        let extended = body.poll_extend(&cx, &mut Bytes::from_static(b"x"));
        assert_eq!(extended, Poll::Ready(Ok(())));
        assert_eq!(body.length(), length);
        assert!(budget.used() <= 2 * length + (4 << 10) + 1024, "{} for {length}", budget.used());
    }
    let parts = body.finish();
    assert_eq!(parts.length(), 200_000);
    assert_eq!(parts.parts().map(<[u8]>::len).sum::<usize>(), 200_000);
}

/// Guards against closing a client that sends while another one has stopped half-way.
#[test]
fn stalled_client_is_closed_before_slow_ones() {
    let budget = budget();
    let (stalled, stalled_bytes) = holding(&budget, LARGE_BYTES / 2, 1 << 30);
    thread::sleep(STALL);
    let (slow, _slow_bytes) = holding(&budget, LARGE_BYTES / 2, 1);
    let asking = budget.enter();
    asking.record_progress(1 << 10);
    assert!(poll(&asking, LARGE_BYTES / 2).is_pending());
    assert!(stalled.is_closed());
    assert!(!slow.is_closed());
    drop(stalled_bytes);
    assert!(matches!(poll(&asking, LARGE_BYTES / 2), Poll::Ready(Ok(_))));
}

/// Guards against closing a fast client for a slow one.
#[test]
fn client_with_the_lowest_rate_is_closed() {
    let budget = budget();
    let (fast, _fast_bytes) = holding(&budget, LARGE_BYTES / 2, 1 << 40);
    let (slow, _slow_bytes) = holding(&budget, LARGE_BYTES / 2, 10);
    let asking = budget.enter();
    asking.record_progress(1 << 20);
    assert!(poll(&asking, LARGE_BYTES / 2).is_pending());
    assert!(slow.is_closed() && !fast.is_closed());
    // There is no other client with less progress.
    assert!(matches!(poll(&asking, LARGE_BYTES), Poll::Ready(Err(BudgetExhausted))));
    assert!(!fast.is_closed());
}

/// Guards against closing a client whose request is being run: its outcome would be unknown.
#[test]
fn client_that_is_not_awaited_stays() {
    let budget = budget();
    let (running, _held) = holding(&budget, LARGE_BYTES, 1);
    running.set_awaited(false);
    thread::sleep(STALL);
    let asking = budget.enter();
    asking.record_progress(1 << 20);
    assert!(matches!(poll(&asking, LARGE_BYTES), Poll::Ready(Err(BudgetExhausted))));
    assert!(!running.is_closed());
}

/// Guards against closing an ordinary request, which has sent nothing yet, for a large body.
#[test]
fn client_that_has_just_begun_stays() {
    let budget = budget();
    let (fast, _held) = holding(&budget, LARGE_BYTES, 1 << 40);
    let (new, _new_bytes) = holding(&budget, 1 << 10, 0);
    assert!(matches!(poll(&fast, 1 << 10), Poll::Ready(Err(BudgetExhausted))));
    assert!(!new.is_closed());
}

/// Guards against large bodies that keep ordinary requests out.
#[test]
fn small_requests_have_a_reserve() {
    let budget = budget();
    let (large, _held) = holding(&budget, LARGE_BYTES, 1);
    large.set_awaited(false);
    let small: Vec<_> = (0..8).map(|_| holding(&budget, BUDGET_BYTES / 128, 0)).collect();
    assert!(matches!(poll(&large, BUDGET_BYTES / 128), Poll::Ready(Err(BudgetExhausted))));
    assert!(small.iter().all(|it| !it.0.is_closed()));
}

/// Guards against a client that waits for ever though room was made, and against a closed one that
/// nobody tells.
#[test]
fn those_who_wait_are_woken() {
    let budget = budget();
    let (slow, slow_bytes) = holding(&budget, LARGE_BYTES, 1);
    let closed = Arc::new(Counter::default());
    let closer = Waker::from(Arc::clone(&closed));
    assert!(slow.poll_closed(&Context::from_waker(&closer)).is_pending());
    let asking = budget.enter();
    asking.record_progress(1 << 20);
    let woken = Arc::new(Counter::default());
    let waker = Waker::from(Arc::clone(&woken));
    assert!(asking.poll_hold(&Context::from_waker(&waker), LARGE_BYTES).is_pending());
    assert_eq!(closed.0.load(Ordering::SeqCst), 1);
    assert_eq!(woken.0.load(Ordering::SeqCst), 0);
    drop(slow_bytes);
    assert_eq!(woken.0.load(Ordering::SeqCst), 1);
    assert!(matches!(poll(&asking, LARGE_BYTES), Poll::Ready(Ok(_))));
}
