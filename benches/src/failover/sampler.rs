//! Sends short requests continuously to detect whether a group serves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mangocross_tests::Caller;
use mangocross_tests::CallerRequest;
use mangocross_types::RunOutcome;

/// Pause between requests of one sender.
const INTERVAL: Duration = Duration::from_millis(200);
/// Senders per gateway; several, so that one waiting request does not block the others.
const SENDERS: u32 = 4;
/// Promised time to the first token; a group that takes longer to answer counts as down.
const FIRST_TOKEN_MAX: Duration = Duration::from_millis(1_600);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens of each request.
const TOKENS: u32 = 2;

/// Result of one request.
#[derive(Debug, Clone, Copy)]
struct Sample {
    started_at: Instant,
    ended_at: Instant,
    /// `None` if the answer was complete.
    failure: Option<RunOutcome>,
}

/// Results of all requests.
#[derive(Debug, Clone, Default)]
pub struct Samples(Vec<Sample>);

/// Sends requests through each gateway until stopped.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    samples: Arc<Mutex<Samples>>,
    threads: Vec<JoinHandle<()>>,
}

impl Sampler {
    /// Starts the senders.
    pub fn spawn(gateways: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let samples = Arc::new(Mutex::new(Samples::default()));
        let spawn = |gateway: &SocketAddr| {
            let (gateway, stop, samples) = (*gateway, Arc::clone(&stop), Arc::clone(&samples));
            thread::spawn(move || send(gateway, &stop, &samples))
        };
        let threads = gateways.iter().flat_map(|it| (0..SENDERS).map(|_| spawn(it))).collect();
        Self { stop, samples, threads }
    }

    /// Returns the results of the requests that have ended.
    pub fn samples(&self) -> Samples {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the senders and returns the results of all requests.
    pub fn finish(self) -> Samples {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn send(gateway: SocketAddr, stop: &AtomicBool, samples: &Mutex<Samples>) {
    let outgoing = CallerRequest::chat("town", "draft", "letters", TOKENS, true);
    let caller = Caller::open(ANSWER_TIMEOUT);
    while !stop.load(Ordering::Relaxed) {
        let started_at = Instant::now();
        let failure = match caller.send(gateway, &outgoing) {
            Ok(answer) if answer.is_complete() => None,
            Ok(answer) => Some(answer.outcome().unwrap_or(RunOutcome::Unknown)),
            Err(_) => Some(RunOutcome::Unknown),
        };
        let sample = Sample { started_at, ended_at: Instant::now(), failure };
        samples.lock().unwrap_or_else(PoisonError::into_inner).0.push(sample);
        thread::sleep(INTERVAL);
    }
}

impl Sample {
    fn is_late(&self) -> bool {
        self.ended_at.duration_since(self.started_at) > FIRST_TOKEN_MAX
    }

    /// Returns the time until which this request shows the group as down, if it does.
    fn down_until(&self) -> Option<Instant> {
        match self.failure {
            Some(_) => Some(self.started_at),
            None => self.is_late().then_some(self.ended_at),
        }
    }
}

impl Samples {
    /// Returns the time from a fault to the last start of a request that failed, or to the last
    /// answer that came later than promised, whichever is later.
    ///
    /// Returns zero if there was neither.
    pub fn downtime(&self, fault_at: Instant) -> Duration {
        let ends = self.after(fault_at).filter_map(Sample::down_until);
        ends.map(|it| it.saturating_duration_since(fault_at)).max().unwrap_or_default()
    }

    /// Returns the number of complete answers after a fault that came later than promised.
    pub fn late(&self, fault_at: Instant) -> usize {
        self.after(fault_at).filter(|it| it.failure.is_none() && it.is_late()).count()
    }

    /// Returns the longest time to a complete answer after a fault.
    pub fn longest_answer(&self, fault_at: Instant) -> Duration {
        let complete = self.after(fault_at).filter(|it| it.failure.is_none());
        complete.map(|it| it.ended_at.duration_since(it.started_at)).max().unwrap_or_default()
    }

    /// Returns the number of requests after a fault that failed with an outcome.
    pub fn failed(&self, fault_at: Instant, outcome: RunOutcome) -> usize {
        self.after(fault_at).filter(|it| it.failure == Some(outcome)).count()
    }

    /// Returns whether requests were started in the last `time` and all of them were answered in
    /// full and on time.
    pub fn is_stable_for(&self, time: Duration) -> bool {
        let recent = |it: &&Sample| it.started_at.elapsed() < time;
        self.0.iter().filter(recent).all(|it| it.down_until().is_none())
            && self.0.last().is_some_and(|it| it.started_at.elapsed() < time)
    }

    fn after(&self, fault_at: Instant) -> impl Iterator<Item = &Sample> {
        self.0.iter().filter(move |it| it.ended_at >= fault_at)
    }
}
