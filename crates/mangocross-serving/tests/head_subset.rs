//! Subsets of heads for many entry VMs that keep few warm connections each.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::HeadRank;
use mangocross_serving::IdleLimits;
use mangocross_serving::IdleServer;
use mangocross_serving::Moment;
use mangocross_serving::select_subset;
use mangocross_serving::subset_size;
use mangocross_types::VmId;

const ZONES: usize = 3;
const ZONE_VMS: usize = 25;
const ZONE_HEADS: usize = 12;

fn entry_vms(zone: usize, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|it| format!("front-{zone}-{it}").into()).collect()
}

fn heads(zone: usize, count: usize) -> Vec<VmId> {
    (0..count).map(|it| format!("gpu-{zone}-{it}").parse().expect("a valid id")).collect()
}

fn subset(vm: &str, entry_vms: &[Arc<str>], heads: &[VmId]) -> BTreeSet<VmId> {
    let mut ranked = heads.to_vec();
    let size = subset_size(entry_vms.len(), heads.len());
    let members = select_subset(&mut ranked, size, |it| HeadRank::new(vm, entry_vms, it));
    ranked.into_iter().take(members).collect()
}

fn vms_by_head(entry_vms: &[Arc<str>], heads: &[VmId]) -> HashMap<VmId, usize> {
    let mut counts: HashMap<VmId, usize> = heads.iter().map(|it| (it.clone(), 0)).collect();
    for vm in entry_vms {
        for head in subset(vm, entry_vms, heads) {
            *counts.entry(head).or_default() += 1;
        }
    }
    counts
}

/// Guards against subsets that leave heads unused or send a zone's load to a few of them.
#[test]
fn heads_are_in_the_subsets_of_about_ten_entry_vms() {
    for zone in 0..30 {
        let counts = vms_by_head(&entry_vms(zone, ZONE_VMS), &heads(zone, ZONE_HEADS));
        assert!(counts.values().all(|it| (5..=20).contains(it)), "zone {zone}: {counts:?}");
    }
    for zone in 0..10 {
        let counts = vms_by_head(&entry_vms(zone, 75), &heads(zone, 36));
        assert!(counts.values().all(|it| (5..=20).contains(it)), "fleet {zone}: {counts:?}");
    }
}

/// Guards against a group that opens or closes and makes entry VMs exchange their connections.
#[test]
fn change_of_one_head_changes_at_most_one_member() {
    for zone in 0..10 {
        let entry_vms = entry_vms(zone, ZONE_VMS);
        for count in 1..40 {
            let (fewer, more) = (heads(zone, count), heads(zone, count + 1));
            for vm in &entry_vms {
                let (before, after) =
                    (subset(vm, &entry_vms, &fewer), subset(vm, &entry_vms, &more));
                assert!(before.difference(&after).count() <= 1, "{count} heads");
                assert!(after.difference(&before).count() <= 1, "{count} heads");
            }
        }
    }
}

/// Guards against an entry VM that comes or goes and makes the others exchange their connections.
#[test]
fn change_of_one_entry_vm_changes_few_members() {
    let heads = heads(0, 36);
    let (fewer, more) = (entry_vms(0, 74), entry_vms(0, 75));
    let changed =
        |vm: &Arc<str>| subset(vm, &fewer, &heads).difference(&subset(vm, &more, &heads)).count();
    assert!(fewer.iter().map(changed).sum::<usize>() <= 36);
    assert!(fewer.iter().all(|it| changed(it) <= 1));
}

/// Guards against entry VMs without any head while a model has few.
#[test]
fn last_heads_of_a_model_are_in_all_subsets() {
    let entry_vms = entry_vms(0, 75);
    for count in 1..=6 {
        let heads = heads(0, count);
        assert!(entry_vms.iter().all(|it| subset(it, &entry_vms, &heads).len() == count));
    }
}

/// When a connection becomes idle, and until when it is kept.
type IdlePeriod = (Moment, Moment);

/// Plays streams of a large deployment (444 a second through 75 entry VMs to 36 heads) and
/// returns the share that finds an idle connection.
fn reused_share(is_with_subsets: bool, keep_alive: Duration) -> f64 {
    const STREAMS: usize = 60_000;
    const STREAM_TIME: Duration = Duration::from_millis(1500);
    let mut rng = Rng::with_seed(1);
    let fleet: Vec<(Arc<str>, Vec<VmId>)> = (0..ZONES)
        .flat_map(|zone| {
            let (entry_vms, heads) = (entry_vms(zone, ZONE_VMS), heads(zone, ZONE_HEADS));
            let subset_of = |it: &Arc<str>| subset(it, &entry_vms, &heads).into_iter().collect();
            entry_vms.iter().map(|it| (it.clone(), subset_of(it))).collect::<Vec<_>>()
        })
        .collect();
    let all: Vec<VmId> = (0..ZONES).flat_map(|it| heads(it, ZONE_HEADS)).collect();
    let address = "127.0.0.1:80".parse().expect("an address");
    let limits = IdleLimits::default();
    let mut idle: HashMap<(Arc<str>, VmId), Vec<IdlePeriod>> = HashMap::new();
    let (mut now, mut reused) = (Moment::default(), 0);
    for _ in 0..STREAMS {
        now = now + Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / 444.0);
        let (vm, subset) = &fleet[rng.usize(..fleet.len())];
        let choice = if is_with_subsets { subset } else { &all };
        let pair = (vm.clone(), choice[rng.usize(..choice.len())].clone());
        let kept = idle.entry(pair).or_default();
        kept.retain(|(_, until)| *until > now);
        if let Some(at) = kept.iter().rposition(|(from, _)| *from <= now) {
            kept.remove(at);
            reused += 1;
        }
        let free_at = now + STREAM_TIME;
        let server = IdleServer {
            address,
            keep_alive: Some(keep_alive),
            is_warm: is_with_subsets,
            idle_connections: kept.iter().filter(|(from, _)| *from <= now).count(),
        };
        kept.push((free_at, free_at + limits.idle_time(&server, now)));
    }
    f64::from(reused) / STREAMS as f64
}

/// Guards against connections that are never used twice: a pair of entry VM and head must meet
/// again while the connection is kept.
#[test]
fn most_streams_find_an_idle_connection() {
    for keep_alive_s in [3, 5, 20] {
        let keep_alive = Duration::from_secs(keep_alive_s);
        let (without, with) = (reused_share(false, keep_alive), reused_share(true, keep_alive));
        println!("Keep-Alive {keep_alive_s} s: {without:.3} without subsets, {with:.3} with");
        assert!(without < 0.25, "{keep_alive_s} s: {without}");
        assert!(with > 0.5, "{keep_alive_s} s: {with}");
    }
}

fn idle_server(keep_alive: Option<u64>) -> IdleServer {
    IdleServer {
        address: "127.0.0.1:80".parse().expect("an address"),
        keep_alive: keep_alive.map(Duration::from_secs),
        is_warm: true,
        idle_connections: 0,
    }
}

/// Guards against requests that are sent on connections which the server has closed or is about to.
#[test]
fn connection_is_kept_for_long_only_where_the_server_says_so() {
    let (limits, now) = (IdleLimits::default(), Moment::default());
    let short = Duration::from_millis(1200);
    let time = |it: IdleServer| limits.idle_time(&it, now);
    assert_eq!(time(idle_server(None)), short);
    assert_eq!(time(idle_server(Some(1))), Duration::from_millis(500));
    assert_eq!(time(idle_server(Some(8))), Duration::from_secs(4));
    assert_eq!(time(idle_server(Some(60))), Duration::from_secs(10));
    assert_eq!(time(IdleServer { is_warm: false, ..idle_server(Some(8)) }), short);
    assert_eq!(time(IdleServer { idle_connections: 2, ..idle_server(Some(8)) }), short);
}

/// Guards against a server that closes idle connections sooner than it announces, and so breaks
/// one request after the other.
#[test]
fn server_that_closes_early_gets_no_long_idle_connections() {
    let (mut limits, now) = (IdleLimits::default(), Moment::default());
    let server = idle_server(Some(8));
    limits.record_early_close(server.address, now);
    assert_eq!(limits.idle_time(&server, now), Duration::from_millis(1200));
    let other = IdleServer { address: "127.0.0.1:81".parse().expect("an address"), ..server };
    assert_eq!(limits.idle_time(&other, now), Duration::from_secs(4));
    for port in 82..84 {
        limits.record_early_close(([127, 0, 0, 1], port).into(), now);
    }
    assert_eq!(limits.idle_time(&other, now), Duration::from_millis(1200), "many close early");
    let later = now + Duration::from_secs(31);
    limits.expire(later);
    assert_eq!(limits.idle_time(&server, later), Duration::from_secs(4));
}
