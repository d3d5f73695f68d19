//! Callers' traffic and the outcomes that are reported to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_types::RunOutcome;
use standins::ServiceStandin;
use standins::expected_text;

use crate::Caller;
use crate::CallerRequest;
use crate::soak::Record;

/// Tokens of each answer.
const TOKENS: u32 = 60;
/// Largest number of times that a caller sends the same claim.
const CLAIM_ATTEMPTS: usize = 4;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(30);
/// Longest wait of a caller for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);

/// How often each run outcome was reported for one claim, over all attempts.
#[derive(Debug, Clone, Default)]
struct ReportedOutcomes {
    ran: u64,
    not_run: u64,
    unknown: u64,
}

/// Running callers.
pub struct Traffic {
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
    claims: Arc<Mutex<BTreeMap<String, ReportedOutcomes>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts callers of both customers that send to all gateways.
    pub fn spawn(gateways: Vec<SocketAddr>, record: Arc<Record>, callers: u32, seed: u64) -> Self {
        let mut traffic = Self {
            gateways,
            record,
            stop: Arc::new(AtomicBool::new(false)),
            claims: Arc::new(Mutex::new(BTreeMap::new())),
            callers: Vec::new(),
        };
        for number in 0..callers {
            traffic.spawn_chat(number, seed);
            traffic.spawn_claims(number, seed);
        }
        traffic
    }

    /// Stops the callers and compares the outcomes reported to them with the service's effects.
    pub fn finish(self, service: &ServiceStandin) {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            if caller.join().is_err() {
                self.record.violation("the soak itself", "a caller panicked".to_owned());
            }
        }
        let claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        for (body, reported) in claims.iter() {
            check_claim(&self.record, body, reported, service.effects(body));
        }
    }

    fn spawn_chat(&mut self, number: u32, seed: u64) {
        let (gateways, record, stop) =
            (self.gateways.clone(), Arc::clone(&self.record), Arc::clone(&self.stop));
        let mut random = fastrand::Rng::with_seed(seed ^ u64::from(number));
        self.callers.push(thread::spawn(move || {
            let caller = Caller::open(CALLER_TIMEOUT);
            let mut question = 0_u64;
            while !stop.load(Ordering::SeqCst) {
                question += 1;
                let gateway = gateways[random.usize(..gateways.len())];
                chat(&caller, gateway, &record, &format!("question {number}.{question}"), question);
                thread::sleep(PAUSE);
            }
        }));
    }

    fn spawn_claims(&mut self, number: u32, seed: u64) {
        let (gateways, record, stop) =
            (self.gateways.clone(), Arc::clone(&self.record), Arc::clone(&self.stop));
        let claims = Arc::clone(&self.claims);
        let mut random = fastrand::Rng::with_seed(seed.rotate_left(32) ^ u64::from(number));
        self.callers.push(thread::spawn(move || {
            let caller = Caller::open(CALLER_TIMEOUT);
            let mut claim = 0_u64;
            while !stop.load(Ordering::SeqCst) {
                claim += 1;
                let body = format!("claim {number}.{claim}");
                let reported = send_claim(&caller, &gateways, &record, &body, &mut random);
                claims.lock().unwrap_or_else(PoisonError::into_inner).insert(body, reported);
                thread::sleep(PAUSE);
            }
        }));
    }
}

fn chat(caller: &Caller, gateway: SocketAddr, record: &Record, text: &str, number: u64) {
    let (customer, kind, model) = match number % 3 {
        0 => ("bank", "scenario", "drills"),
        _ => ("town", "draft", "letters"),
    };
    let request = CallerRequest::question(customer, kind, model, TOKENS, text);
    let answer = match caller.send(gateway, &request) {
        Ok(answer) => answer,
        Err(error) => return record.count(format!("chat: connection {:?}", error.kind)),
    };
    let expected = expected_text(&format!("user: {text}\n"), TOKENS);
    let received = answer.text();
    if answer.is_complete() && received != expected {
        record.violation(
            "complete answer to own request",
            format!("{text}: {received:?} is not {expected:?}"),
        );
    }
    if !expected.starts_with(&received) {
        record.violation(
            "partial answer to own request",
            format!("{text}: {received:?} is not a prefix of {expected:?}"),
        );
    }
    match answer.refusal() {
        _ if answer.is_complete() => record.count("chat: complete"),
        Some(refusal) => record.count(format!("chat: {} {}", refusal.code, refusal.outcome)),
        None => record.count("chat: ended without a reason"),
    }
}

fn send_claim(
    caller: &Caller,
    gateways: &[SocketAddr],
    record: &Record,
    body: &str,
    random: &mut fastrand::Rng,
) -> ReportedOutcomes {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let key = format!("{seconds}.{:016x}", random.u64(..));
    let request = CallerRequest::service("town", "claim", "registry/claims", body)
        .header("idempotency-key", &key);
    let mut reported = ReportedOutcomes::default();
    for _ in 0..CLAIM_ATTEMPTS {
        let gateway = gateways[random.usize(..gateways.len())];
        let outcome = match caller.send(gateway, &request) {
            Ok(answer) => {
                let code = answer.refusal().map_or("-".to_owned(), |it| it.code.to_string());
                let outcome = answer.outcome().unwrap_or(RunOutcome::Unknown);
                record.count(format!("claim: {outcome} {code}"));
                outcome
            }
            Err(error) => {
                record.count(format!("claim: connection {:?}", error.kind));
                error.outcome
            }
        };
        match outcome {
            RunOutcome::Ran => reported.ran += 1,
            RunOutcome::NotRun => reported.not_run += 1,
            RunOutcome::Unknown => reported.unknown += 1,
        }
        if outcome == RunOutcome::Ran && random.u8(..) > 64 {
            break;
        }
        thread::sleep(Duration::from_millis(random.u64(10..400)));
    }
    reported
}

fn check_claim(record: &Record, body: &str, reported: &ReportedOutcomes, effects: u64) {
    if effects > 1 {
        record.violation("at most once", format!("{body} took effect {effects} times"));
    }
    if reported.ran > 0 && effects != 1 {
        record.violation("ran", format!("{body}: {reported:?}, but {effects} effects"));
    }
    if reported.ran == 0 && reported.unknown == 0 && effects > 0 {
        record.violation("not run", format!("{body}: {reported:?}, but {effects} effects"));
    }
    if reported.ran == 0 {
        record.count(format!("claims never reported as ran, with {effects} effects"));
    }
}
