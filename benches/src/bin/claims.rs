//! Measures the load that claims put on the store: writes per claim, conflicts and latency, at
//! several rates and numbers of gateways.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use mangocross_claims::ClaimCounts;
use mangocross_claims::ClaimLimits;
use mangocross_claims::ClaimLog;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimState;
use mangocross_coordination::RecordedResponse;
use mangocross_types::SystemClock;
use peer_store::HttpStore;
use standins::StoreFaults;
use standins::StoreStandin;

/// Default rates, in claims per second.
const RATES: &[u64] = &[10, 50, 100, 200, 400];
/// Timeout of a call to the store, as in the gateway.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Deadline of each claimed request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Size of a recorded answer, in bytes.
const ANSWER_BYTES: usize = 200;

/// Measures what claims cost at the store.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Claims a second, over all gateways
    #[bpaf(long("rate"), argument("N"))]
    rates: Vec<u64>,
    /// Number of gateways
    #[bpaf(argument("N"), fallback(7))]
    gateways: u64,
    /// Delay of each call of the store in milliseconds
    #[bpaf(argument("MS"), fallback(3))]
    store_delay_ms: u64,
    /// Length of each measurement in seconds
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
}

/// Results of one measurement, shared by its threads.
#[derive(Default)]
struct Measurements {
    refused: AtomicU64,
    claim_us: Mutex<Vec<u64>>,
}

fn main() {
    let arguments = arguments().run();
    println!(
        "{} gateways, store delay {} ms, {} s each",
        arguments.gateways, arguments.store_delay_ms, arguments.seconds
    );
    println!("claims/s  refused  writes/claim  writes/s  reads/s  conflicts/write  p50 ms  p99 ms");
    let rates = match arguments.rates.as_slice() {
        [] => RATES,
        rates => rates,
    };
    for rate in rates {
        measure(&arguments, *rate);
    }
}

fn measure(arguments: &Arguments, rate: u64) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = StoreStandin::bind(address).expect("the store starts");
    store.faults().set(StoreFaults { delay_ms: arguments.store_delay_ms, ..Default::default() });
    let measurements = Arc::new(Measurements::default());
    let logs: Vec<Arc<ClaimLog>> =
        (0..arguments.gateways).map(|_| Arc::new(open_log(store.address()))).collect();
    let started = Instant::now();
    let total = rate * arguments.seconds;
    let threads: Vec<JoinHandle<()>> = (0..total)
        .map(|number| {
            let due = started + Duration::from_secs_f64(number as f64 / rate as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let log = Arc::clone(&logs[fastrand::usize(..logs.len())]);
            let measurements = Arc::clone(&measurements);
            thread::spawn(move || run_claim(&log, number, &measurements))
        })
        .collect();
    threads.into_iter().for_each(|it| it.join().expect("the claim does not panic"));
    logs.iter().for_each(|it| assert!(it.flush(DEADLINE), "outcomes are missing"));
    print(rate, total, started.elapsed(), &logs, &measurements);
}

fn open_log(store: SocketAddr) -> ClaimLog {
    let store = Arc::new(HttpStore::open(store).timeout(CALL_TIMEOUT));
    ClaimLog::spawn(store, Arc::new(SystemClock), ClaimLimits::default())
        .expect("the claim log starts")
}

fn run_claim(log: &ClaimLog, number: u64, measurements: &Measurements) {
    let now_s = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let key = format!("{}.bench-{number}", now_s.as_secs()).parse().expect("the key is valid");
    let holder = format!("a-{number}").parse().expect("a valid id");
    let customer = "town".parse().expect("a valid id");
    let grant = log.new_attempt(key, holder, DEADLINE);
    let started = Instant::now();
    let decision = log.begin(&grant, &customer, ClaimDigest::of(&[b"body"]));
    let elapsed_us = started.elapsed().as_micros() as u64;
    if decision != Ok(ClaimDecision::Granted) {
        measurements.refused.fetch_add(1, Ordering::Relaxed);
        return;
    }
    measurements.claim_us.lock().expect("no claim panics").push(elapsed_us);
    let answer = RecordedResponse::new(200, Some("application/json"), &[b'x'; ANSWER_BYTES]);
    log.finish(&grant, ClaimState::Done(answer));
}

fn print(
    rate: u64,
    claims: u64,
    elapsed: Duration,
    logs: &[Arc<ClaimLog>],
    measurements: &Measurements,
) {
    let counts: Vec<ClaimCounts> = logs.iter().map(|it| it.counts()).collect();
    let sum = |field: fn(&ClaimCounts) -> u64| counts.iter().map(field).sum::<u64>() as f64;
    let (writes, reads, conflicts) =
        (sum(|it| it.swaps), sum(|it| it.reads), sum(|it| it.conflicts));
    let mut histogram = Histogram::<u64>::new(3).expect("a valid precision");
    for value in measurements.claim_us.lock().expect("no claim panics").iter() {
        histogram.record(*value).expect("the histogram resizes");
    }
    let quantile_ms = |it: f64| histogram.value_at_quantile(it) as f64 / 1_000.0;
    println!(
        "{rate:>8}  {:>7}  {:>12.2}  {:>8.0}  {:>7.0}  {:>15.3}  {:>6.1}  {:>6.1}",
        measurements.refused.load(Ordering::Relaxed),
        writes / claims as f64,
        writes / elapsed.as_secs_f64(),
        reads / elapsed.as_secs_f64(),
        conflicts / writes,
        quantile_ms(0.5),
        quantile_ms(0.99),
    );
}
