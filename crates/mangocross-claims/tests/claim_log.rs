//! Claim logs on an in-memory store with injected faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_claims::ClaimError;
use mangocross_claims::ClaimLimits;
use mangocross_claims::ClaimLog;
use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimState;
use mangocross_coordination::RecordedResponse;
use mangocross_types::ManualClock;
use mangocross_types::Revision;
use mangocross_types::SystemClock;
use peer_store::CasOutcome;
use peer_store::Entry;
use peer_store::Store;
use peer_store::StoreError;
use peer_store::StoreErrorKind;

const WAIT_MAX: Duration = Duration::from_secs(60);

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Refuses every call.
    Down,
    /// Applies a write and loses its answer.
    AnswerLost,
    /// Applies a write, loses its answer and refuses every call after it.
    AnswerLostThenDown,
    /// Loses a write before it is applied, and its answer.
    RequestLost,
}

#[derive(Debug, Default)]
struct Data {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    writes: u64,
    waiting: usize,
    closed: bool,
    fault: Option<Fault>,
    faults: VecDeque<Fault>,
}

/// An in-memory store with a gate that holds writes back.
#[derive(Debug, Default)]
struct FakeStore {
    data: Mutex<Data>,
    changed: Condvar,
}

impl FakeStore {
    fn set_fault(&self, fault: Option<Fault>) {
        self.data.lock().unwrap().fault = fault;
    }

    fn set_gate_closed(&self, closed: bool) {
        self.data.lock().unwrap().closed = closed;
        self.changed.notify_all();
    }

    fn error(key: &str, kind: StoreErrorKind) -> StoreError {
        StoreError { kind, key: key.to_owned(), message: "injected fault".to_owned() }
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let data = self.data.lock().unwrap();
        if matches!(data.fault, Some(Fault::Down)) {
            return Err(Self::error(key, StoreErrorKind::Unavailable));
        }
        Ok(data.entries.get(key).cloned())
    }

    fn list(&self, _prefix: &str) -> Result<Vec<Entry>, StoreError> {
        unreachable!("claims are never listed")
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<CasOutcome, StoreError> {
        let mut data = self.data.lock().unwrap();
        data.waiting += 1;
        self.changed.notify_all();
        while data.closed {
            data = self.changed.wait(data).unwrap();
        }
        data.waiting -= 1;
        data.writes += 1;
        let fault = data.faults.pop_front().or(data.fault);
        match fault {
            Some(Fault::Down) => return Err(Self::error(key, StoreErrorKind::Unavailable)),
            Some(Fault::RequestLost) => return Err(Self::error(key, StoreErrorKind::AnswerLost)),
            Some(Fault::AnswerLostThenDown) => data.fault = Some(Fault::Down),
            Some(Fault::AnswerLost) | None => {}
        }
        let current = data.entries.get(key).cloned();
        if current.as_ref().map_or(Revision(0), |it| it.revision) != expected {
            return Ok(CasOutcome::Conflict(current));
        }
        data.revision += 1;
        let revision = Revision(data.revision);
        let entry = Entry { key: key.to_owned(), value: value.to_owned(), revision };
        data.entries.insert(key.to_owned(), entry);
        match fault {
            Some(_) => Err(Self::error(key, StoreErrorKind::AnswerLost)),
            None => Ok(CasOutcome::Swapped(revision)),
        }
    }

    fn watch(
        &self,
        _key: &str,
        _after: Revision,
        _timeout: Duration,
    ) -> Result<Option<Entry>, StoreError> {
        unreachable!("claims are never watched")
    }
}

fn open(store: &Arc<FakeStore>, limits: ClaimLimits) -> Arc<ClaimLog> {
    let store = Arc::clone(store) as Arc<dyn Store>;
    Arc::new(ClaimLog::spawn(store, Arc::new(SystemClock), limits).unwrap())
}

fn manual_clock() -> Arc<ManualClock> {
    let clock = ManualClock::new();
    clock.advance(Duration::from_secs(1_796_000_000));
    Arc::new(clock)
}

fn open_at(store: &Arc<FakeStore>, clock: &Arc<ManualClock>) -> ClaimLog {
    let store = Arc::clone(store) as Arc<dyn Store>;
    ClaimLog::spawn(store, Arc::clone(clock) as _, generous_limits()).unwrap()
}

/// Returns long waits, so that no result depends on the speed of the machine.
fn generous_limits() -> ClaimLimits {
    ClaimLimits { claim_wait: WAIT_MAX, record_wait: WAIT_MAX, ..ClaimLimits::default() }
}

fn attempt(log: &ClaimLog, name: &str, holder: &str) -> ClaimAttempt {
    let key = format!("1796000000.{name}").parse().unwrap();
    log.new_attempt(key, holder.parse().unwrap(), 2 * WAIT_MAX)
}

fn begin(log: &ClaimLog, attempt: &ClaimAttempt) -> Result<ClaimDecision, ClaimError> {
    log.begin(attempt, &"town".parse().unwrap(), ClaimDigest::of(&[b"body"]))
}

fn done() -> ClaimState {
    ClaimState::Done(RecordedResponse::new(200, None, b"booked"))
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn recorded_outcome_reaches_a_retry_through_another_log() {
    let store = Arc::new(FakeStore::default());
    let (one, other) = (open(&store, generous_limits()), open(&store, generous_limits()));
    let first = attempt(&one, "k", "a-1");
    assert_eq!(begin(&one, &first), Ok(ClaimDecision::Granted));
    let second = attempt(&other, "k", "a-2");
    assert_eq!(begin(&other, &second), Ok(ClaimDecision::InProgress));
    assert!(one.finish(&first, done()));
    let answer = RecordedResponse::new(200, None, b"booked");
    assert_eq!(begin(&other, &second), Ok(ClaimDecision::Ran(answer)));
}

#[test]
fn claims_fail_fast_while_the_store_is_down_and_resume_after_it() {
    let store = Arc::new(FakeStore::default());
    let clock = manual_clock();
    let log = open_at(&store, &clock);
    store.set_fault(Some(Fault::Down));
    for number in 0..50 {
        let attempt = attempt(&log, &format!("k{number}"), "a-1");
        assert_eq!(begin(&log, &attempt), Err(ClaimError::StoreUnavailable));
    }
    assert_eq!(log.counts().reads, 1, "only the first claim tries the store");
    store.set_fault(None);
    clock.advance(Duration::from_secs(1));
    assert_eq!(begin(&log, &attempt(&log, "k0", "a-1")), Ok(ClaimDecision::Granted));
}

#[test]
fn lost_answer_is_resolved_by_reading_back() {
    for fault in [Fault::AnswerLost, Fault::RequestLost] {
        let store = Arc::new(FakeStore::default());
        let log = open(&store, generous_limits());
        store.data.lock().unwrap().faults.push_back(fault);
        let mine = attempt(&log, "k", "a-1");
        assert_eq!(begin(&log, &mine), Ok(ClaimDecision::Granted), "{fault:?}");
        let other = attempt(&log, "k", "a-2");
        assert_eq!(begin(&log, &other), Ok(ClaimDecision::InProgress), "{fault:?}");
    }
}

#[test]
fn claim_that_cannot_be_read_back_is_refused_and_released_later() {
    let store = Arc::new(FakeStore::default());
    let log = open(&store, generous_limits());
    store.data.lock().unwrap().faults.push_back(Fault::AnswerLostThenDown);
    let first = attempt(&log, "k", "a-1");
    assert_eq!(begin(&log, &first), Err(ClaimError::AnswerLost));
    store.set_fault(None);
    assert!(log.flush(WAIT_MAX));
    let other = open(&store, generous_limits());
    let retry = attempt(&other, "k", "a-2");
    assert_eq!(begin(&other, &retry), Ok(ClaimDecision::Granted));
}

#[test]
fn timed_out_claim_is_released_when_the_store_recovers() {
    let store = Arc::new(FakeStore::default());
    let limits = ClaimLimits { claim_wait: Duration::from_millis(20), ..generous_limits() };
    let log = open(&store, limits);
    store.set_gate_closed(true);
    let first = attempt(&log, "k", "a-1");
    assert_eq!(begin(&log, &first), Err(ClaimError::TimedOut));
    store.set_gate_closed(false);
    assert!(log.flush(WAIT_MAX));
    let other = open(&store, generous_limits());
    let retry = attempt(&other, "k", "a-2");
    assert_eq!(begin(&other, &retry), Ok(ClaimDecision::Granted));
}

#[test]
fn holder_paused_for_ten_minutes_may_not_send_and_releases_its_frozen_claim() {
    let store = Arc::new(FakeStore::default());
    let clock = manual_clock();
    let (paused, other) = (open_at(&store, &clock), open_at(&store, &clock));
    let first = attempt(&paused, "k", "a-1");
    assert_eq!(begin(&paused, &first), Ok(ClaimDecision::Granted));
    assert!(paused.may_send(&first));
    clock.advance(Duration::from_secs(600));
    let second = attempt(&other, "k", "a-2");
    assert_eq!(begin(&other, &second), Ok(ClaimDecision::OutcomeUnknown));
    assert!(!paused.may_send(&first));
    paused.release(first);
    assert!(paused.flush(WAIT_MAX));
    let third = attempt(&other, "k", "a-3");
    assert_eq!(begin(&other, &third), Ok(ClaimDecision::Granted));
}

#[test]
fn holder_that_sent_records_its_outcome_over_a_frozen_claim() {
    let store = Arc::new(FakeStore::default());
    let clock = manual_clock();
    let (paused, other) = (open_at(&store, &clock), open_at(&store, &clock));
    let first = attempt(&paused, "k", "a-1");
    assert_eq!(begin(&paused, &first), Ok(ClaimDecision::Granted));
    clock.advance(Duration::from_secs(600));
    let second = attempt(&other, "k", "a-2");
    assert_eq!(begin(&other, &second), Ok(ClaimDecision::OutcomeUnknown));
    assert!(paused.finish(&first, done()));
    assert!(matches!(begin(&other, &second), Ok(ClaimDecision::Ran(_))));
}

#[test]
fn outcome_is_recorded_when_the_store_recovers() {
    let store = Arc::new(FakeStore::default());
    let limits = ClaimLimits { record_wait: Duration::ZERO, ..generous_limits() };
    let log = open(&store, limits);
    let first = attempt(&log, "k", "a-1");
    assert_eq!(begin(&log, &first), Ok(ClaimDecision::Granted));
    store.set_fault(Some(Fault::Down));
    assert!(!log.finish(&first, done()));
    wait_until("the record failed", || log.counts().deferred > 0);
    store.set_fault(None);
    assert!(log.flush(WAIT_MAX));
    let other = open(&store, generous_limits());
    let retry = attempt(&other, "k", "a-2");
    assert!(matches!(begin(&other, &retry), Ok(ClaimDecision::Ran(_))));
}

#[test]
fn waiting_claims_share_a_write() {
    let store = Arc::new(FakeStore::default());
    let log = open(&store, generous_limits());
    store.set_gate_closed(true);
    let threads: Vec<_> = (0..64)
        .map(|number| {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                let attempt = attempt(&log, &format!("k{number}"), &format!("a-{number}"));
                assert_eq!(begin(&log, &attempt), Ok(ClaimDecision::Granted));
            })
        })
        .collect();
    wait_until("all claims are open", || log.counts().open == 64);
    store.set_gate_closed(false);
    threads.into_iter().for_each(|it| it.join().unwrap());
    let data = store.data.lock().unwrap();
    // A worker may have committed the first claim of a shard alone.
    let batches_max = data.entries.len() + ClaimLimits::default().workers;
    assert!(batches_max < 64, "the bound of {batches_max} batches is too high to show batching");
    let writes = data.writes;
    assert!(writes <= batches_max as u64, "{writes} writes for 64 claims");
}

#[test]
fn claim_beyond_the_open_limit_is_refused_at_once() {
    let store = Arc::new(FakeStore::default());
    let log = open(&store, ClaimLimits { open_max: 1, ..generous_limits() });
    store.set_gate_closed(true);
    let waiting = Arc::clone(&log);
    let waiter = thread::spawn(move || begin(&waiting, &attempt(&waiting, "k1", "a-1")));
    wait_until("a claim is open", || log.counts().open == 1);
    assert_eq!(begin(&log, &attempt(&log, "k2", "a-2")), Err(ClaimError::Overloaded));
    store.set_gate_closed(false);
    assert_eq!(waiter.join().unwrap(), Ok(ClaimDecision::Granted));
}

#[test]
fn at_most_one_concurrent_attempt_is_granted_while_answers_are_lost() {
    let store = Arc::new(FakeStore::default());
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let fault = if rng.bool() { Fault::AnswerLost } else { Fault::RequestLost };
        store.data.lock().unwrap().faults.push_back(fault);
    }
    let threads: Vec<_> = (0..4)
        .map(|number| {
            let log = open(&store, generous_limits());
            thread::spawn(move || {
                let holder = format!("a-{number}");
                let granted = (0..200).filter(|key| {
                    let attempt = attempt(&log, &format!("k{key}"), &holder);
                    begin(&log, &attempt) == Ok(ClaimDecision::Granted)
                });
                granted.collect::<Vec<_>>()
            })
        })
        .collect();
    let granted = threads.into_iter().flat_map(|it| it.join().unwrap());
    let mut granted: Vec<i32> = granted.collect();
    granted.sort_unstable();
    let all = granted.len();
    granted.dedup();
    assert_eq!(granted.len(), all, "a key was granted twice");
    assert!(all > 0);
}
