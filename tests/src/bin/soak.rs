//! Runs the system under traffic and random faults for a given time and checks its guarantees.
//!
//! Usage: `soak SECONDS SEED`, after a build of the whole workspace.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::soak::FaultPlan;
use mangocross_tests::soak::Record;
use mangocross_tests::soak::Traffic;
use mangocross_tests::soak::monitor_groups;
use mangocross_types::GroupId;

/// Groups with their models and sizes.
const GROUPS: &[(&str, &str, usize)] =
    &[("letters-1", "letters", 4), ("letters-2", "letters", 3), ("drills-1", "drills", 2)];
/// Number of callers of each type: chat and claims.
const CALLERS: u32 = 6;
/// Time before a lost member is replaced, so that the group monitor observes incomplete groups for
/// longer than a health lease lasts.
const LOST_MS: u64 = 8_000;
/// Longest wait for the system to serve again after the last fault.
const RECOVERY_MAX: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |index: usize| arguments.get(index).and_then(|it| it.parse::<u64>().ok());
    let (seconds, seed) = (number(1).unwrap_or(60), number(2).unwrap_or(1));
    let record = Arc::new(Record::default());
    let builder = ClusterBuilder::new(3, &[6, 5, 4]).peer_relays();
    let mut cluster = builder
        .coordinator_setting("lost_ms", LOST_MS)
        .coordinator_setting("lost_with_spare_ms", LOST_MS)
        .start();
    start_groups(&cluster);
    let gateways = (0..3).map(|it| cluster.gateway(it)).collect();
    let traffic = Traffic::spawn(gateways, Arc::clone(&record), CALLERS, seed);
    let stop = Arc::new(AtomicBool::new(false));
    let monitor = spawn_monitor(&cluster, &record, &stop);
    let mut plan = FaultPlan::new(seed);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(seconds) {
        plan.run_round(&mut cluster, &record);
    }
    await_recovery(&cluster, &record);
    stop.store(true, Ordering::SeqCst);
    let _ = monitor.join();
    traffic.finish(&cluster.service);
    report(&record, seed)
}

fn spawn_monitor(
    cluster: &Cluster,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let sizes: BTreeMap<GroupId, usize> =
        GROUPS.iter().map(|(group, _, size)| (group.parse().expect("a valid id"), *size)).collect();
    let (engines, record, stop) = (cluster.engines.clone(), Arc::clone(record), Arc::clone(stop));
    thread::spawn(move || monitor_groups(&engines, &record, &sizes, &stop))
}

fn start_groups(cluster: &Cluster) {
    for (group, model, size) in GROUPS {
        let line = format!("start group {group} model {model} version v1 members {size}");
        cluster.operate(0, &line).expect("the group is accepted");
    }
    for (kind, model) in [("draft", "letters"), ("scenario", "drills")] {
        let probe = CallerRequest::chat("town", kind, model, 2, true);
        cluster.wait_until("the groups serve", || cluster.send_request(0, &probe).is_complete());
    }
}

/// Waits until every node serves both models again.
fn await_recovery(cluster: &Cluster, record: &Record) {
    let deadline = Instant::now() + RECOVERY_MAX;
    for node in 0..3 {
        for (kind, model) in [("draft", "letters"), ("scenario", "drills")] {
            let probe = CallerRequest::chat("town", kind, model, 2, true);
            while !cluster.send_request(node, &probe).is_complete() {
                if Instant::now() > deadline {
                    record.violation("recovery", format!("node {node} does not serve {model}"));
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

fn report(record: &Record, seed: u64) -> ExitCode {
    for (what, count) in record.counts() {
        println!("{count:6} {what}");
    }
    let violations = record.violations();
    println!("seed {seed}: {} violations", violations.len());
    for it in &violations {
        println!("{}: {}", it.guarantee, it.observed);
    }
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
