//! Measures a group's downtime after each fault, with real processes under traffic.
//!
//! `cargo build --release --workspace --bins && target/release/failover --rounds 3`

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use mangocross_benches::failover::FaultCase;
use mangocross_benches::failover::Sampler;
use mangocross_benches::failover::Streams;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::RunOutcome;
use mangocross_types::VmId;
use standins::EngineOptions;

/// The group: four members with two spare VMs in their fabric domain and six VMs in another.
const GROUP: &str = "start group letters-1 model letters version v1 members 4";
const DOMAINS: &[u16] = &[6, 6];
/// Number of entry VMs.
const NODES: u16 = 3;
/// Time to load weights, in milliseconds.
const LOAD_MS: u64 = 1_000;
/// Time between tokens, in milliseconds.
const TOKEN_MS: u64 = 20;
/// Tokens of the streams in progress at the fault; 800 tokens take 16 s.
const STREAM_TOKENS: u32 = 800;
/// Traffic before the fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after which a temporary fault is cleared.
const FAULT_DURATION: Duration = Duration::from_secs(5);
/// The group has recovered when all requests in a period this long were answered.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Longest wait for recovery.
const RECOVERY_MAX: Duration = Duration::from_secs(60);

/// Measures how long a group is down after each fault.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Rounds of each case
    #[bpaf(argument("COUNT"), fallback(3))]
    rounds: u32,
    /// Only the case of this name, such as MemberFrozen
    #[bpaf(argument("NAME"), optional)]
    case: Option<String>,
}

/// Result of one round.
#[derive(Debug)]
struct Round {
    downtime: Duration,
    longest_answer: Duration,
    late: usize,
    not_run: usize,
    other_failures: usize,
    complete_streams: usize,
}

fn main() {
    let arguments = arguments().run();
    println!(
        "{:<28} {:>24} {:>12} {:>9} {:>9} {:>9} {:>9}",
        "case", "down, ms (least to most)", "answer, ms", "late", "not run", "other", "streams"
    );
    let wanted =
        |it: &&FaultCase| arguments.case.as_ref().is_none_or(|name| *name == format!("{it:?}"));
    for case in FaultCase::ALL.iter().filter(wanted) {
        let rounds: Vec<Round> = (0..arguments.rounds.max(1)).map(|_| run(*case)).collect();
        print(*case, &rounds);
    }
}

fn run(case: FaultCase) -> Round {
    let mut cluster = start();
    let gateways: Vec<SocketAddr> = (0..NODES)
        .filter(|it| case.killed_gateway() != Some(*it))
        .map(|it| cluster.gateway(it))
        .collect();
    let sampler = Sampler::spawn(&gateways);
    let streams = Streams::spawn(&gateways, STREAM_TOKENS);
    thread::sleep(WARM_UP);
    let fault_at = Instant::now();
    case.inject(&mut cluster);
    thread::sleep(FAULT_DURATION);
    case.clear(&mut cluster);
    while !sampler.samples().is_stable_for(STABLE_TIME) && fault_at.elapsed() < RECOVERY_MAX {
        thread::sleep(Duration::from_millis(100));
    }
    let complete_streams = streams.finish();
    let samples = sampler.finish();
    Round {
        downtime: samples.downtime(fault_at),
        longest_answer: samples.longest_answer(fault_at),
        late: samples.late(fault_at),
        not_run: samples.failed(fault_at, RunOutcome::NotRun),
        other_failures: samples.failed(fault_at, RunOutcome::Unknown)
            + samples.failed(fault_at, RunOutcome::Ran),
        complete_streams,
    }
}

fn start() -> Cluster {
    let options =
        |vm: VmId| EngineOptions { load_ms: LOAD_MS, token_ms: TOKEN_MS, ..EngineOptions::new(vm) };
    let cluster = ClusterBuilder::new(NODES, DOMAINS).engine_options(options).start();
    let request = CallerRequest::chat("town", "draft", "letters", 1, true);
    cluster.start_group(GROUP, 0, &request);
    for node in 0..NODES {
        cluster.wait_until("every gateway serves", || {
            cluster.send_request(node, &request).is_complete()
        });
    }
    cluster
}

fn print(case: FaultCase, rounds: &[Round]) {
    let downtimes = rounds.iter().map(|it| it.downtime.as_millis());
    let (least, most) = (downtimes.clone().min().unwrap_or(0), downtimes.max().unwrap_or(0));
    let longest = rounds.iter().map(|it| it.longest_answer.as_millis()).max().unwrap_or(0);
    let sum = |count: fn(&Round) -> usize| rounds.iter().map(count).sum::<usize>();
    let streams = rounds.len() * usize::from(NODES - u16::from(case.killed_gateway().is_some()));
    println!(
        "{:<28} {:>24} {:>12} {:>9} {:>9} {:>9} {:>9}",
        format!("{case:?}"),
        format!("{least} to {most}"),
        longest,
        sum(|it| it.late),
        sum(|it| it.not_run),
        sum(|it| it.other_failures),
        format!("{}/{streams}", sum(|it| it.complete_streams)),
    );
}
