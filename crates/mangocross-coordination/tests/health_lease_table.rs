//! The health leases that a gateway holds, with replies in any order, and the leaving table.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::HealthLeaseTable;
use mangocross_coordination::LeavingTable;
use mangocross_types::GroupId;
use mangocross_types::HealthLease;
use mangocross_types::VmId;

fn health_lease(
    domain: &str,
    fencing_number: u64,
    incarnation: u64,
    remaining_ms: u32,
) -> HealthLease {
    serde_json::from_value(serde_json::json!({
        "group": "letters-1", "domain": domain, "incarnation": incarnation,
        "fencing_number": fencing_number, "model": "letters", "model_version": "v1",
        "address": "127.0.0.1:1", "remaining_ms": remaining_ms, "accepts_new": true,
        "load": 0, "load_age_ms": 0,
    }))
    .expect("a health lease")
}

fn group() -> GroupId {
    "letters-1".parse().expect("a valid id")
}

/// The newest lease of the newest owner wins, in any order of arrival.
#[test]
fn withdrawn_health_lease_stays_withdrawn_in_any_arrival_order() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut leases = [
        (health_lease("domain-1", 1, 1, 2_000), at(0)),
        (health_lease("domain-1", 1, 2, 2_000), at(900)),
        (health_lease("domain-1", 2, 2, 0), at(300)),
        // Another reply to the same poll, which was delivered twice.
        (health_lease("domain-1", 2, 2, 2_000), at(300)),
        (health_lease("domain-1", 2, 2, 2_000), at(100)),
        (health_lease("domain-1", 2, 2, 2_000), at(200)),
    ];
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..200 {
        random.shuffle(&mut leases);
        let mut table = HealthLeaseTable::default();
        for (lease, sent_at) in leases.iter().chain(&leases[..2]) {
            table.record(lease, *sent_at);
        }
        assert!(
            table.get(&group(), at(301)).is_none(),
            "a withdrawn health lease is valid again: {leases:?}"
        );
    }
}

#[test]
fn fencing_numbers_are_compared_only_within_a_domain() {
    let now = Instant::now();
    let mut table = HealthLeaseTable::default();
    table.record(&health_lease("domain-1", 90, 40, 2_000), now);
    table.record(&health_lease("domain-2", 1, 1, 2_000), now);
    assert_eq!(table.valid(now).count(), 2);
    table.record(&health_lease("domain-1", 90, 40, 0), now);
    let left = table.get(&group(), now).expect("the new domain's health lease is valid");
    assert_eq!(left.domain.as_str(), "domain-2");
}

/// Two processes that relay an entry to each other forever do not keep it alive.
#[test]
fn relaying_a_leaving_vm_does_not_renew_its_entry() {
    let start = Instant::now() + Duration::from_secs(3_600);
    let retention = Duration::from_secs(600);
    let vm: VmId = "vm-1".parse().expect("a valid id");
    let mut tables = [LeavingTable::new(retention), LeavingTable::new(retention)];
    tables[0].record(&vm, start);
    for second in 1..700 {
        let now = start + Duration::from_secs(second);
        for (from, to) in [(0, 1), (1, 0)] {
            let entries: Vec<(VmId, Duration)> =
                tables[from].leaving(now).map(|(vm, age)| (vm.clone(), age)).collect();
            for (vm, age) in entries {
                tables[to].record_peer(&vm, age, now);
            }
        }
        let leaving = second < 600;
        assert!(tables.iter().all(|it| it.is_leaving(&vm, now) == leaving), "second {second}");
    }
}
