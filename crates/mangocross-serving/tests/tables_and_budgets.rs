//! Configuration freshness, group progress, server loads, retry budgets and failure shares.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::ConfigurationFreshness;
use mangocross_serving::FailureTable;
use mangocross_serving::Load;
use mangocross_serving::LoadTable;
use mangocross_serving::Moment;
use mangocross_serving::ProgressTable;
use mangocross_serving::RetryBounds;
use mangocross_serving::RetryBudget;
use mangocross_serving::ServerLoad;
use mangocross_types::VmId;

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid id")
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn load(in_flight: u32) -> Load {
    Load { in_flight, waiting: 0 }
}

/// The VM is suspended for a minute: timers stop, but the boot clock does not.
#[test]
fn keys_are_invalid_after_a_vm_suspension() {
    let bound = Duration::from_secs(5);
    let mut freshness = ConfigurationFreshness::default();
    assert!(!freshness.is_fresh_at(at(0), bound), "nothing is confirmed yet");
    freshness.confirm(at(10_000));
    assert!(freshness.is_fresh_at(at(14_000), bound));
    assert!(!freshness.is_fresh_at(at(70_000), bound));
}

/// A response confirms the configuration as of its request; the response to an older request
/// does not reset the time.
#[test]
fn freshness_counts_from_the_request() {
    let bound = Duration::from_secs(5);
    let mut freshness = ConfigurationFreshness::default();
    freshness.confirm(at(10_000));
    freshness.confirm(at(8_000));
    assert_eq!(freshness.age(at(12_000)), Some(Duration::from_secs(2)));
    assert!(!freshness.is_fresh_at(at(15_000), bound), "the margin is subtracted");
}

/// Streams that wait for their first event get a longer bound before their group is suspect.
#[test]
fn waiting_streams_do_not_make_a_group_suspect() {
    let mut table = ProgressTable::default();
    for _ in 0..5 {
        table.record_start(&vm("head"), at(0));
    }
    assert_eq!(table.suspects(at(1_000)).count(), 0);
    assert_eq!(table.suspects(at(1_600)).count(), 1);
}

/// A member is lost, so all streams of the group fall silent at once.
#[test]
fn group_with_silent_streams_is_suspect_within_a_few_passes() {
    let mut table = ProgressTable::default();
    for _ in 0..3 {
        table.record_start(&vm("head"), at(0));
        table.record_progress(&vm("head"), at(100));
        table.record_first_event(&vm("head"));
    }
    assert_eq!(table.suspects(at(400)).count(), 0);
    assert_eq!(table.suspects(at(460)).count(), 1);
}

/// Another entry VM still receives events from the group.
#[test]
fn progress_reported_by_other_entry_vms_clears_a_group() {
    let mut table = ProgressTable::default();
    table.record_start(&vm("head"), at(0));
    table.record_progress(&vm("head"), at(100));
    table.record_first_event(&vm("head"));
    table.record_progress(&vm("head"), at(700));
    assert_eq!(table.suspects(at(1_000)).count(), 0);
}

/// The start of a stream must not be reported to other entry VMs as progress.
#[test]
fn stream_start_is_not_progress() {
    let mut table = ProgressTable::default();
    table.record_start(&vm("head"), at(0));
    assert_eq!(table.latest(at(10)).count(), 0);
}

#[test]
fn counts_of_silent_entry_vms_expire() {
    let mut table = LoadTable::default();
    table.record_start(&vm("a"));
    table.apply_peer_counts(Arc::from("entry-2"), HashMap::from([(vm("a"), load(4))]), at(0));
    assert_eq!(table.load(&vm("a"), at(1_000)).in_flight, 5);
    assert_eq!(table.load(&vm("a"), at(4_000)).in_flight, 1);
    table.expire(at(4_000));
    assert_eq!(table.peer_count(), 0);
}

/// Local requests that were reported are part of the totals and must be counted once.
#[test]
fn totals_count_local_requests_once() {
    let mut table = LoadTable::default();
    table.record_start(&vm("a"));
    table.mark_reported();
    table.apply_totals(HashMap::from([(vm("a"), load(7))]), at(0));
    assert_eq!(table.load(&vm("a"), at(100)).in_flight, 7);
    table.record_start(&vm("a"));
    assert_eq!(table.load(&vm("a"), at(100)).in_flight, 8);
    table.record_end(&vm("a"), false);
    table.record_end(&vm("a"), false);
    assert_eq!(table.load(&vm("a"), at(100)).in_flight, 6);
}

/// Seven entry VMs that all use up their shares stay within the bound together.
#[test]
fn retries_of_all_entry_vms_stay_in_the_bound() {
    let bounds = RetryBounds { ratio: 0.2, slack: 130.0, window: Duration::from_secs(10) };
    let (entry_vms, requests) = (7, 200);
    let mut retries = 0;
    for _ in 0..entry_vms {
        let mut budget = RetryBudget::default();
        for it in 0..requests {
            budget.record_request(at(it * 10), &bounds);
        }
        retries += (0..1_000).filter(|_| budget.try_retry(at(2_000), &bounds, entry_vms)).count();
    }
    let allowed = bounds.ratio * (requests * entry_vms as u64) as f64 + bounds.slack;
    assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
    assert!(retries > 0);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let bounds = RetryBounds { ratio: 0.0, slack: 5.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    while budget.try_retry(at(0), &bounds, 1) {}
    assert!(!budget.try_retry(at(9_000), &bounds, 1));
    assert!(budget.try_retry(at(10_001), &bounds, 1));
}

/// A server fails most requests although its health check succeeds.
#[test]
fn failing_server_is_avoided_and_tried_again_later() {
    let servers =
        ["grey", "sound"].map(|it| ServerLoad { vm: vm(it), in_flight: 0, is_same_zone: true });
    let mut table = FailureTable::default();
    for it in 0..4 {
        table.record(&vm("grey"), true, at(it * 10));
    }
    let busy = [servers[0].clone(), ServerLoad { in_flight: 6, ..servers[1].clone() }];
    assert_eq!(table.choose(&busy, at(100)).map(|it| &it.vm), Some(&vm("sound")));
    assert_eq!(table.choose(&busy, at(20_000)).map(|it| &it.vm), Some(&vm("grey")));
}
