//! Measures the gateway's overhead per stream: time to the first token, time between tokens,
//! memory, threads and CPU time, compared with direct calls to the same stand-in engines in the
//! same run.
//!
//! `cargo build --release --workspace && target/release/overhead --streams 500 --streams 1000`

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use mangocross_benches::machine;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::Priority;
use mangocross_types::TokenIndex;
use mangocross_types::VmId;
use peer_engine::EngineClient;
use peer_engine::GenerateEvent;
use peer_engine::GenerateRequest;
use standins::EngineOptions;

/// Upper bound of the histograms, in microseconds; longer times are recorded as this.
const TIME_US_MAX: u64 = 120_000_000;
/// Timeout of one stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(120);
/// Sequential streams, per route.
const SEQUENTIAL_STREAMS: u32 = 40;
/// Tokens of each sequential stream.
const SEQUENTIAL_TOKENS: u32 = 50;
/// Groups of one member each; a stand-in engine runs 256 requests at once.
const GROUPS: u16 = 6;
/// Tokens of each concurrent stream.
const CONCURRENT_TOKENS: u32 = 120;
/// Time between the tokens of each concurrent stream, in milliseconds: the promised maximum.
const CONCURRENT_TOKEN_MS: u64 = 74;
/// Time from the opening of all streams to the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Period over which CPU time is measured.
const CPU_WINDOW: Duration = Duration::from_secs(4);

/// Measures what the gateway adds to a stream.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Streams held at once; can be given several times
    #[bpaf(argument("COUNT"), fallback(vec![500, 1_000]))]
    streams: Vec<u32>,
}

/// Route by which a stream is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    /// Directly from an engine.
    Direct,
    /// Through the gateway.
    Gateway,
}

/// Token times of one or more streams, in microseconds.
#[derive(Debug, Clone)]
struct Times {
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, TIME_US_MAX, 3).expect("the bounds are valid");
        Self { first_token_us: histogram(), gap_us: histogram() }
    }

    fn add(&mut self, other: &Self) {
        self.first_token_us.add(&other.first_token_us).expect("the ranges are equal");
        self.gap_us.add(&other.gap_us).expect("the ranges are equal");
    }

    fn print(&self, what: &str) {
        let quantile_ms =
            |it: &Histogram<u64>, share: f64| it.value_at_quantile(share) as f64 / 1_000.0;
        println!(
            "{what:<28} first token p50 {:>8.2} p99 {:>8.2} ms   gap p50 {:>7.2} p99 {:>7.2} ms   {} tokens",
            quantile_ms(&self.first_token_us, 0.5),
            quantile_ms(&self.first_token_us, 0.99),
            quantile_ms(&self.gap_us, 0.5),
            quantile_ms(&self.gap_us, 0.99),
            self.gap_us.len() + self.first_token_us.len(),
        );
    }
}

/// Records the arrival times of one stream's tokens.
struct Recorder {
    times: Times,
    last_event_at: Instant,
    has_token: bool,
}

impl Recorder {
    fn new() -> Self {
        Self { times: Times::new(), last_event_at: Instant::now(), has_token: false }
    }

    fn record_token(&mut self) {
        let elapsed_us =
            u64::try_from(self.last_event_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.last_event_at = Instant::now();
        match self.has_token {
            true => self.times.gap_us.saturating_record(elapsed_us),
            false => self.times.first_token_us.saturating_record(elapsed_us),
        }
        self.has_token = true;
    }
}

fn main() {
    let arguments = arguments().run();
    println!("one stream at a time, tokens 5 ms apart:");
    sequential();
    for streams in arguments.streams {
        println!("{streams} streams at once, tokens {CONCURRENT_TOKEN_MS} ms apart:");
        concurrent(streams);
    }
}

/// Starts a gateway and a number of groups of one member each.
fn start(options: fn(VmId) -> EngineOptions, groups: u16) -> Cluster {
    let domains = vec![1; usize::from(groups)];
    let cluster = ClusterBuilder::new(1, &domains)
        .gateway_setting("in_flight_max", 4_096)
        .gateway_setting("trace_share", 0.0)
        .engine_options(options)
        .start();
    for number in 1..=groups {
        let line = format!(
            "start group letters-{number} model letters version v1 members 1 in domain-{number}"
        );
        cluster.operate(0, &line).expect("the group is accepted");
    }
    cluster.wait_until("the gateway holds a health lease for each group", || {
        let call = HttpCall::new(HttpMethod::Get, cluster.gateway(0), "/metrics");
        let text = HttpClient::open().call(call).and_then(|it| it.read_all(1 << 20));
        let text = text.map(|it| String::from_utf8_lossy(&it).into_owned()).unwrap_or_default();
        text.contains(&format!("proofs_held {groups}\n"))
    });
    cluster
}

fn sequential() {
    let cluster = start(EngineOptions::new, 1);
    let engines: Vec<SocketAddr> = cluster.engines.values().map(|it| it.address()).collect();
    let (mut direct, mut gateway) = (Times::new(), Times::new());
    for number in 0..SEQUENTIAL_STREAMS {
        direct.add(&stream_direct(engines[0], number, SEQUENTIAL_TOKENS));
        gateway.add(&stream_gateway(cluster.gateway(0), "town", number, SEQUENTIAL_TOKENS));
    }
    direct.print("direct");
    gateway.print("through the gateway");
}

fn concurrent_options(vm: VmId) -> EngineOptions {
    EngineOptions { token_ms: CONCURRENT_TOKEN_MS, ..EngineOptions::new(vm) }
}

fn concurrent(streams: u32) {
    let cluster = start(concurrent_options, GROUPS);
    let pid = cluster.gateways[0].id();
    let (idle_kb, idle_threads) = (machine::resident_kb(pid), machine::threads(pid));
    run_streams(&cluster, streams, Route::Direct, || ()).print("direct");
    let mut report = String::new();
    let times = run_streams(&cluster, streams, Route::Gateway, || {
        let (held_kb, held_threads) = (machine::resident_kb(pid), machine::threads(pid));
        let before = machine::process_cpu(pid);
        thread::sleep(CPU_WINDOW);
        let cpu = machine::process_cpu(pid) - before;
        let tokens =
            f64::from(streams) * CPU_WINDOW.as_secs_f64() * 1_000.0 / CONCURRENT_TOKEN_MS as f64;
        report = format!(
            "gateway process: {idle_kb} kB idle, {held_kb} kB held, {:.1} kB a stream; {idle_threads} threads idle, {held_threads} held; {:.1} us of processor a token, {:.2} cores",
            held_kb.saturating_sub(idle_kb) as f64 / f64::from(streams),
            cpu.as_secs_f64() * 1e6 / tokens,
            cpu.as_secs_f64() / CPU_WINDOW.as_secs_f64(),
        );
    });
    times.print("through the gateway");
    println!("{report}");
}

/// Opens concurrent streams, runs `meanwhile` after [`SETTLE_TIME`], and returns the token times.
fn run_streams(cluster: &Cluster, streams: u32, route: Route, meanwhile: impl FnOnce()) -> Times {
    let engines: Vec<SocketAddr> = cluster.engines.values().map(|it| it.address()).collect();
    let gateway = cluster.gateway(0);
    let start = Arc::new(Barrier::new(streams as usize + 1));
    let threads: Vec<_> = (0..streams)
        .map(|number| {
            let engine = engines[number as usize % engines.len()];
            let start = Arc::clone(&start);
            thread::spawn(move || {
                start.wait();
                let customer = if number % 2 == 0 { "town" } else { "bank" };
                match route {
                    Route::Direct => stream_direct(engine, number, CONCURRENT_TOKENS),
                    Route::Gateway => stream_gateway(gateway, customer, number, CONCURRENT_TOKENS),
                }
            })
        })
        .collect();
    start.wait();
    thread::sleep(SETTLE_TIME);
    meanwhile();
    let mut times = Times::new();
    for thread in threads {
        times.add(&thread.join().expect("the stream does not panic"));
    }
    times
}

fn timeouts() -> HttpTimeouts {
    HttpTimeouts::default().connect(STREAM_TIMEOUT).idle(STREAM_TIMEOUT).total(STREAM_TIMEOUT)
}

fn stream_direct(engine: SocketAddr, number: u32, max_tokens: u32) -> Times {
    let client = EngineClient::open();
    let report = client.report(engine, timeouts()).expect("the engine reports");
    let request = GenerateRequest {
        request_id: format!("r-{number}").parse().expect("a valid id"),
        attempt_id: format!("a-{number}").parse().expect("a valid id"),
        group: report.group.expect("the engine is in a group"),
        incarnation: report.incarnation,
        model_version: report.model_version.expect("the engine has a model"),
        prompt: format!("question {number}"),
        max_tokens,
        resume_from: TokenIndex(0),
        priority: Priority(0),
    };
    let mut recorder = Recorder::new();
    let mut stream =
        client.generate(engine, &request, None, timeouts(), || true).expect("the engine answers");
    loop {
        match stream.next_event(STREAM_TIMEOUT).expect("the answer is complete") {
            Some(GenerateEvent::Token { .. }) => recorder.record_token(),
            Some(GenerateEvent::End(_)) => return recorder.times,
            None => {}
        }
    }
}

fn stream_gateway(gateway: SocketAddr, customer: &str, number: u32, max_tokens: u32) -> Times {
    let text = format!("question {number}");
    let outgoing = CallerRequest::question(customer, "draft", "letters", max_tokens, &text);
    let call = outgoing.call(gateway, STREAM_TIMEOUT);
    let mut recorder = Recorder::new();
    let mut answer = HttpClient::open().call(call).expect("the gateway answers");
    let (mut pending, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        let length = answer.read(&mut buf).expect("the answer is complete");
        if length == 0 {
            break;
        }
        pending.extend_from_slice(&buf[..length]);
        while let Some(end) = pending.iter().position(|it| *it == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if line.contains("\"finish_reason\":null") {
                recorder.record_token();
            }
        }
    }
    let tokens = recorder.times.gap_us.len() + recorder.times.first_token_us.len();
    assert_eq!(tokens, u64::from(max_tokens), "status {}", answer.status());
    recorder.times
}
