//! Measures the slopes that docs/CAPACITY.md is worked out from.

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
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Outgoing;
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

/// Time of a measured loop; the kernel accounts processor time in steps of milliseconds.
const LOOP_TIME: Duration = Duration::from_millis(400);
/// Rounds between looks at the time.
const LOOP_BATCH: u32 = 16;
/// Poll interval that makes the cost of polls stand out, in milliseconds.
const FAST_POLL_MS: u64 = 5;
/// Probes of the measured probe loop.
const PROBES: u32 = 2_000;
/// Entry VMs of the fleets that are watched.
const FLEETS: [u16; 5] = [7, 12, 20, 30, 40];
/// Time for which idle processes are watched.
const IDLE_WATCH: Duration = Duration::from_secs(10);
/// Time for groups to load and for the last changes to be told.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Bytes of the frame header, and of the IP and UDP headers before it.
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
    report("reply, by groups proven", &[0, 1, 2, 5, 10], |it| wire_bytes(&sample::reply(it, 0)));
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
    report("completeness of a group, by members", &[2, 4, 8, 16, 32], completeness_time);
    report("taking a reply into the proof table, by groups", &[1, 5, 10], |it| {
        let reply = sample::reply(it, 0);
        let mut table = HealthLeaseTable::default();
        let now = Instant::now();
        time(|| reply.health_leases.iter().for_each(|proof| table.record(proof, now)))
    });
    report("permit to serve, by entry VMs", &[7, 70, 350], permit_time);
    report("choosing the groups of a gateway, 438 groups, by entry VMs", &[20, 70, 350], |it| {
        let configuration = sample::configuration(438, 0, it);
        let (groups, entry_vms) = (&configuration.groups, &configuration.entry_vms);
        let gateway = &entry_vms[0].vm;
        time(|| {
            black_box(groups_for_gateway(groups, entry_vms, gateway));
        })
    });
    report("reading a configuration, by groups", &[10, 100, 438], |it| {
        let text = json_text(&sample::configuration(it, 0, 0));
        time(|| {
            black_box(serde_json::from_str::<Configuration>(&text).expect("a configuration"));
        })
    });
    report("reading the platform's list, by VMs", &[65, 700, 7_000], |it| {
        let text = json_text(&sample::vm_list(it));
        time(|| {
            black_box(serde_json::from_str::<Vec<VmListEntry>>(&text).expect("a list"));
        })
    });
}

fn completeness_time(members: usize) -> f64 {
    let group = sample::group(0, members);
    let now = Instant::now();
    let probes = sample::probe_table(&group, now);
    let (ttl, stall_limit) = (Duration::from_secs(2), Duration::from_secs(3));
    time(|| {
        black_box(probes.completeness(&group, now, ttl, stall_limit));
    })
}

fn permit_time(entry_vms: usize) -> f64 {
    let now = Instant::now();
    let mut freshness =
        Freshness::new(FreshnessBounds { lease_duration: Duration::from_secs(6) }, now);
    freshness.record_applied(Revision(1));
    let vms: Vec<EntryVmSpec> = (0..entry_vms).map(sample::entry_vm).collect();
    let vouch = FreshnessReply {
        newest_known: Revision(1),
        established: true,
        store_age: None,
        majority: None,
        duration_max: Duration::from_secs(6),
    };
    for vm in &vms {
        freshness.record_peer(&CoordinatorEndpoint::from(vm), vouch, now);
    }
    time(|| {
        black_box(freshness.permit(&vms, &vms[0].vm, now));
    })
}

/// Measures the prober's side of a probe over loopback.
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
    let each = used.as_secs_f64() * 1e6 / f64::from(PROBES);
    let report = sample::report_of(&sample::group(0, 16), Rank(0));
    println!("  prober's processor time: {each:.1} microseconds");
    println!("  report as JSON: {} bytes", json_bytes(&report));
}

/// Measures idle coordinators and gateways by the number of entry VMs.
fn idle_processes() {
    println!("\nProcesses without requests, by entry VMs (8 VMs for each, a group of 4 for each)");
    let mut coordinator_cpu = Vec::new();
    let mut gateway_cpu = Vec::new();
    let mut bytes_each = Vec::new();
    let mut datagrams_each = Vec::new();
    for nodes in FLEETS {
        let cluster = start_cluster(nodes);
        let before = (cpu(&cluster.coordinators), cpu(&cluster.gateways));
        let traffic_before = machine::loopback_traffic();
        thread::sleep(IDLE_WATCH);
        let traffic = machine::loopback_traffic();
        let bytes = rate_each(traffic.bytes - traffic_before.bytes, nodes);
        let datagrams = rate_each(traffic.datagrams - traffic_before.datagrams, nodes);
        let coordinator = percent_each(cpu(&cluster.coordinators) - before.0, nodes);
        let gateway = percent_each(cpu(&cluster.gateways) - before.1, nodes);
        println!(
            "  {nodes}: coordinator {coordinator:.2}% of a core, {} kB; gateway {gateway:.2}% of a core, {} kB; {bytes:.0} bytes and {datagrams:.1} datagrams a second on loopback",
            largest_kb(&cluster.coordinators),
            largest_kb(&cluster.gateways),
        );
        coordinator_cpu.push((f64::from(nodes), coordinator));
        gateway_cpu.push((f64::from(nodes), gateway));
        bytes_each.push((f64::from(nodes), bytes));
        datagrams_each.push((f64::from(nodes), datagrams));
    }
    println!("  coordinator, % of a core: {}", Line::fit(&coordinator_cpu));
    println!("  gateway, % of a core: {}", Line::fit(&gateway_cpu));
    println!("  bytes a second for each entry VM: {}", Line::fit(&bytes_each));
    println!("  datagrams a second for each entry VM: {}", Line::fit(&datagrams_each));
}

/// Starts a cluster with a fabric domain of 8 VMs and a group of 4 for each entry VM.
fn start_cluster(nodes: u16) -> Cluster {
    let cluster = ClusterBuilder::new(nodes, &vec![8; nodes.into()]).start();
    for number in 1..=nodes {
        let line = format!("start group letters-{number} model letters version v1 members 4");
        cluster.operate(0, &line).expect("the group is accepted");
    }
    let probe = Outgoing::chat("town", "draft", "letters", 1, true);
    cluster.wait_until("a group serves", || cluster.send(0, &probe).is_whole());
    thread::sleep(SETTLE_TIME);
    cluster
}

/// Measures what a poll costs both sides, by polling much faster than usual.
fn poll_cost() {
    println!("\nPolls between 4 entry VMs, each gateway and coordinator every {FAST_POLL_MS} ms");
    let nodes = 4_u16;
    let cluster = ClusterBuilder::new(nodes, &[8, 8])
        .gateway_setting("poll_interval_ms", FAST_POLL_MS)
        .coordinator_setting("poll_interval_ms", FAST_POLL_MS)
        .start();
    let before = (cpu(&cluster.coordinators), cpu(&cluster.gateways));
    thread::sleep(IDLE_WATCH);
    let used = (cpu(&cluster.coordinators) - before.0, cpu(&cluster.gateways) - before.1);
    let rounds = IDLE_WATCH.as_secs_f64() * 1e3 / FAST_POLL_MS as f64;
    // A gateway polls every coordinator; a coordinator polls every other one.
    let (asked_by_gateways, asked_by_coordinators) =
        (f64::from(nodes * nodes) * rounds, f64::from(nodes * (nodes - 1)) * rounds);
    let asking = used.1.as_secs_f64() * 1e6 / asked_by_gateways;
    let answered = asked_by_gateways + asked_by_coordinators;
    let answering = (used.0.as_secs_f64() * 1e6 - asked_by_coordinators * asking) / answered;
    println!("  asking and taking the reply: at least {asking:.1} microseconds");
    println!("  answering, probes of 16 VMs included: at most {answering:.1} microseconds");
}

fn cpu(processes: &[Process]) -> Duration {
    processes.iter().map(|it| machine::process_cpu(it.id())).sum()
}

fn largest_kb(processes: &[Process]) -> u64 {
    processes.iter().map(|it| machine::resident_kb(it.id())).max().unwrap_or_default()
}

/// Returns a count during the watch as a rate for each entry VM.
fn rate_each(count: u64, nodes: u16) -> f64 {
    count as f64 / IDLE_WATCH.as_secs_f64() / f64::from(nodes)
}

fn percent_each(used: Duration, nodes: u16) -> f64 {
    100.0 * used.as_secs_f64() / IDLE_WATCH.as_secs_f64() / f64::from(nodes)
}

/// Measures a value at several sizes, and prints the points and the line through them.
fn report(what: &str, sizes: &[usize], measure: impl Fn(usize) -> f64) {
    let points: Vec<(f64, f64)> = sizes.iter().map(|it| (*it as f64, measure(*it))).collect();
    let shown: Vec<String> = points.iter().map(|it| format!("{}: {:.2}", it.0, it.1)).collect();
    println!("  {what}: {}; line {}", shown.join(", "), Line::fit(&points));
}

/// Returns the processor time of one round, in microseconds.
fn time(mut body: impl FnMut()) -> f64 {
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
    let body = postcard::to_stdvec(message).expect("messages have a postcard form");
    (body.len() + DATAGRAM_HEADER_BYTES) as f64
}

fn json_bytes<T: Serialize>(value: &T) -> f64 {
    json_text(value).len() as f64
}

fn json_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("the value has a JSON form")
}
