//! Measures how costs grow with size; docs/CAPACITY.md is derived from these slopes.

use std::hint::black_box;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_benches::fit::Line;
use mangocross_benches::machine;
use mangocross_benches::sample;
use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::Freshness;
use mangocross_coordination::FreshnessBounds;
use mangocross_coordination::FreshnessReply;
use mangocross_coordination::HealthLeaseTable;
use mangocross_coordination::groups_for_gateway;
use mangocross_http::HttpTimeouts;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Process;
use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::VmListEntry;
use peer_engine::EngineClient;
use serde::Serialize;
use standins::EngineOptions;
use standins::EngineStandin;

/// Duration of a measured loop; the kernel accounts CPU time in steps of milliseconds.
const LOOP_TIME: Duration = Duration::from_millis(400);
/// Iterations between checks of the clock.
const LOOP_BATCH: u32 = 16;
/// Poll interval short enough for polls to dominate CPU time, in milliseconds.
const FAST_POLL_MS: u64 = 5;
/// Probes in the measured loop.
const PROBES: u32 = 2_000;
/// Numbers of entry VMs of the measured fleets.
const FLEET_SIZES: [u16; 5] = [7, 12, 20, 30, 40];
/// Period over which idle processes are measured.
const IDLE_WINDOW: Duration = Duration::from_secs(10);
/// Time for groups to load and for the last changes to propagate.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Bytes of the frame header (17) and of the IP and UDP headers (28).
const DATAGRAM_HEADER_BYTES: usize = 17 + 28;

fn main() {
    if !std::env::args().any(|it| it == "--only-processes" || it == "--only-fleets") {
        message_sizes();
        document_sizes();
        decision_times();
        probe_cost();
    }
    if !std::env::args().any(|it| it == "--no-processes") {
        idle_processes();
    }
    if !std::env::args().any(|it| it == "--no-processes" || it == "--only-fleets") {
        poll_cost();
    }
}

fn message_sizes() {
    println!("\nMessages between entry VMs, bytes with headers");
    report("poll, by customers in flight", &[0, 10, 20, 40], |it| wire_bytes(&sample::poll(it)));
    report("reply, by groups with a health lease", &[0, 1, 2, 5, 10], |it| {
        wire_bytes(&sample::reply(it, 0))
    });
    report("reply to a coordinator of a large fleet, by customers in flight", &[0, 10, 40], |it| {
        wire_bytes(&sample::peer_reply(it))
    });
    report("reply, by leaving VMs", &[0, 10, 50, 100], |it| wire_bytes(&sample::reply(0, it)));
    report("reply, by cache events of a group", &[0, 4, 16, 32], |it| {
        wire_bytes(&sample::reply_with_cache_events(it))
    });
    report("answer to a probe, by cache events, JSON", &[0, 4, 16, 32], |it| {
        json_bytes(&sample::cache_events(it))
    });
}

fn document_sizes() {
    println!("\nDocuments, bytes as JSON");
    report("configuration, by groups", &[10, 100, 438], |it| {
        json_bytes(&sample::configuration(it, 0, 0))
    });
    report("configuration, by customers", &[10, 100, 400], |it| {
        json_bytes(&sample::configuration(0, it, 0))
    });
    report("configuration, by entry VMs", &[7, 70, 350], |it| {
        json_bytes(&sample::configuration(0, 0, it))
    });
    report("platform list, by VMs", &[65, 700, 7_000], |it| json_bytes(&sample::vm_list(it)));
    report("assignment of a domain, by groups of 16", &[1, 4, 16], |it| {
        json_bytes(&(0..it).map(|number| sample::group(number, 16)).collect::<Vec<_>>())
    });
}

fn decision_times() {
    println!("\nDecisions, processor time in microseconds");
    report("completeness of a group, by members", &[2, 4, 8, 16, 32], completeness_time_us);
    report("applying a reply to the health lease table, by groups", &[1, 5, 10], |it| {
        let reply = sample::reply(it, 0);
        let mut table = HealthLeaseTable::default();
        let now = Instant::now();
        time_us(|| reply.health_leases.iter().for_each(|it| table.record(it, now)))
    });
    report("permit to serve, by entry VMs", &[7, 70, 350], permit_time_us);
    report("choosing the groups of a gateway, 438 groups, by entry VMs", &[20, 70, 350], |it| {
        let configuration = sample::configuration(438, 0, it);
        let (groups, entry_vms) = (&configuration.groups, &configuration.entry_vms);
        let gateway = &entry_vms[0].vm;
        time_us(|| {
            black_box(groups_for_gateway(groups, entry_vms, gateway));
        })
    });
    report("reading a configuration, by groups", &[10, 100, 438], |it| {
        let text = json_text(&sample::configuration(it, 0, 0));
        time_us(|| {
            black_box(
                serde_json::from_str::<Configuration>(&text).expect("the configuration is valid"),
            );
        })
    });
    report("reading the platform's list, by VMs", &[65, 700, 7_000], |it| {
        let text = json_text(&sample::vm_list(it));
        time_us(|| {
            black_box(
                serde_json::from_str::<Vec<VmListEntry>>(&text).expect("the VM list is valid"),
            );
        })
    });
}

fn completeness_time_us(members: usize) -> f64 {
    let group = sample::group(0, members);
    let now = Instant::now();
    let probes = sample::probe_table(&group, now);
    let (ttl, stall_limit) = (Duration::from_secs(2), Duration::from_secs(3));
    time_us(|| {
        black_box(probes.completeness(&group, now, ttl, stall_limit));
    })
}

fn permit_time_us(entry_vms: usize) -> f64 {
    let now = Instant::now();
    let mut freshness =
        Freshness::new(FreshnessBounds { lease_duration: Duration::from_secs(6) }, now);
    freshness.record_applied(Revision(1));
    let vms: Vec<EntryVmSpec> = (0..entry_vms).map(sample::entry_vm).collect();
    let lease = FreshnessReply {
        newest_known: Revision(1),
        established: true,
        store_age: None,
        majority: None,
        duration_max: Duration::from_secs(6),
    };
    for vm in &vms {
        freshness.record_peer(&CoordinatorEndpoint::from(vm), lease, now);
    }
    time_us(|| {
        black_box(freshness.permit(&vms, &vms[0].vm, now));
    })
}

/// Measures the prober's cost of a probe over loopback.
fn probe_cost() {
    println!("\nProbe of an engine");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = EngineOptions::new(sample::id("vm", 1));
    let engine = EngineStandin::bind(address, options).expect("the engine starts");
    let client = EngineClient::open();
    let timeouts = HttpTimeouts::default();
    let before = machine::thread_cpu();
    for _ in 0..PROBES {
        client.report(engine.address(), timeouts).expect("the engine answers");
    }
    let used = machine::thread_cpu() - before;
    let probe_us = used.as_secs_f64() * 1e6 / f64::from(PROBES);
    let report = sample::report_of(&sample::group(0, 16), Rank(0));
    println!("  prober's processor time: {probe_us:.1} microseconds");
    println!("  report as JSON: {} bytes", json_bytes(&report));
}

/// Measures idle coordinators and gateways at several numbers of entry VMs.
fn idle_processes() {
    println!("\nProcesses without requests, by entry VMs (8 VMs for each, a group of 4 for each)");
    let mut coordinator_cpu = Vec::new();
    let mut gateway_cpu = Vec::new();
    let mut bytes_per_entry_vm = Vec::new();
    let mut datagrams_per_entry_vm = Vec::new();
    for nodes in FLEET_SIZES {
        let cluster = start_cluster(nodes);
        let before = (cpu(&cluster.coordinators), cpu(&cluster.gateways));
        let traffic_before = machine::loopback_traffic();
        thread::sleep(IDLE_WINDOW);
        let traffic = machine::loopback_traffic();
        let bytes = rate_per_entry_vm(traffic.bytes - traffic_before.bytes, nodes);
        let datagrams = rate_per_entry_vm(traffic.datagrams - traffic_before.datagrams, nodes);
        let coordinator = percent_per_entry_vm(cpu(&cluster.coordinators) - before.0, nodes);
        let gateway = percent_per_entry_vm(cpu(&cluster.gateways) - before.1, nodes);
        println!(
            "  {nodes}: coordinator {coordinator:.2}% of a core, {} kB; gateway {gateway:.2}% of a core, {} kB; {bytes:.0} bytes and {datagrams:.1} datagrams a second on loopback",
            largest_kb(&cluster.coordinators),
            largest_kb(&cluster.gateways),
        );
        coordinator_cpu.push((f64::from(nodes), coordinator));
        gateway_cpu.push((f64::from(nodes), gateway));
        bytes_per_entry_vm.push((f64::from(nodes), bytes));
        datagrams_per_entry_vm.push((f64::from(nodes), datagrams));
    }
    println!("  coordinator, % of a core: {}", Line::fit(&coordinator_cpu));
    println!("  gateway, % of a core: {}", Line::fit(&gateway_cpu));
    println!("  bytes a second for each entry VM: {}", Line::fit(&bytes_per_entry_vm));
    println!("  datagrams a second for each entry VM: {}", Line::fit(&datagrams_per_entry_vm));
}

/// Starts a cluster with a fabric domain of 8 VMs and a group of 4 for each entry VM.
fn start_cluster(nodes: u16) -> Cluster {
    let cluster = ClusterBuilder::new(nodes, &vec![8; nodes.into()]).start();
    for number in 1..=nodes {
        let line = format!("start group letters-{number} model letters version v1 members 4");
        cluster.operate(0, &line).expect("the group is accepted");
    }
    let probe = CallerRequest::chat("town", "draft", "letters", 1, true);
    cluster.wait_until("a group serves", || cluster.send_request(0, &probe).is_complete());
    thread::sleep(SETTLE_TIME);
    cluster
}

/// Measures the cost of a poll on both sides by polling much faster than usual.
fn poll_cost() {
    println!("\nPolls between 4 entry VMs, each gateway and coordinator every {FAST_POLL_MS} ms");
    let nodes = 4_u16;
    let cluster = ClusterBuilder::new(nodes, &[8, 8])
        .gateway_setting("poll_interval_ms", FAST_POLL_MS)
        .coordinator_setting("poll_interval_ms", FAST_POLL_MS)
        .start();
    let before = (cpu(&cluster.coordinators), cpu(&cluster.gateways));
    thread::sleep(IDLE_WINDOW);
    let used = (cpu(&cluster.coordinators) - before.0, cpu(&cluster.gateways) - before.1);
    let rounds = IDLE_WINDOW.as_secs_f64() * 1e3 / FAST_POLL_MS as f64;
    // A gateway polls every coordinator; a coordinator polls every other coordinator.
    let (gateway_polls, coordinator_polls) =
        (f64::from(nodes * nodes) * rounds, f64::from(nodes * (nodes - 1)) * rounds);
    let poll_us = used.1.as_secs_f64() * 1e6 / gateway_polls;
    let polls_answered = gateway_polls + coordinator_polls;
    let answer_us = (used.0.as_secs_f64() * 1e6 - coordinator_polls * poll_us) / polls_answered;
    println!("  polling and applying the reply: at least {poll_us:.1} microseconds");
    println!("  answering, probes of 16 VMs included: at most {answer_us:.1} microseconds");
}

fn cpu(processes: &[Process]) -> Duration {
    processes.iter().map(|it| machine::process_cpu(it.id())).sum()
}

fn largest_kb(processes: &[Process]) -> u64 {
    processes.iter().map(|it| machine::resident_kb(it.id())).max().unwrap_or_default()
}

/// Converts a count over [`IDLE_WINDOW`] to a rate per second and entry VM.
fn rate_per_entry_vm(count: u64, nodes: u16) -> f64 {
    count as f64 / IDLE_WINDOW.as_secs_f64() / f64::from(nodes)
}

fn percent_per_entry_vm(used: Duration, nodes: u16) -> f64 {
    100.0 * used.as_secs_f64() / IDLE_WINDOW.as_secs_f64() / f64::from(nodes)
}

/// Measures a value at several sizes, and prints the points and the fitted line.
fn report(what: &str, sizes: &[usize], measure: impl Fn(usize) -> f64) {
    let points: Vec<(f64, f64)> = sizes.iter().map(|it| (*it as f64, measure(*it))).collect();
    let shown: Vec<String> = points.iter().map(|it| format!("{}: {:.2}", it.0, it.1)).collect();
    println!("  {what}: {}; line {}", shown.join(", "), Line::fit(&points));
}

/// Returns the mean CPU time of one iteration, in microseconds.
fn time_us(mut body: impl FnMut()) -> f64 {
    body();
    let before = machine::thread_cpu();
    let started = Instant::now();
    let mut rounds = 0;
    while started.elapsed() < LOOP_TIME {
        (0..LOOP_BATCH).for_each(|_| body());
        rounds += LOOP_BATCH;
    }
    (machine::thread_cpu() - before).as_secs_f64() * 1e6 / f64::from(rounds)
}

fn wire_bytes<T: Serialize>(message: &T) -> f64 {
    let body = postcard::to_stdvec(message).expect("messages serialize to postcard");
    (body.len() + DATAGRAM_HEADER_BYTES) as f64
}

fn json_bytes<T: Serialize>(value: &T) -> f64 {
    json_text(value).len() as f64
}

fn json_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("the value serializes to JSON")
}
