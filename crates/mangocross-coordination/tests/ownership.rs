//! Ownership of a fabric domain, and the orders that an owner may give.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::TakeoverBackoff;
use mangocross_coordination::take_over;
use mangocross_types::DomainAssignment;
use mangocross_types::FenceMode;
use mangocross_types::Revision;
use mangocross_types::VmId;

const LIFETIME: Duration = Duration::from_secs(2);

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid id")
}

fn assignment_copy(process_id: u64, at: Instant) -> AssignmentCopy {
    let empty = DomainAssignment::empty("domain-1".parse().expect("a valid id"));
    AssignmentCopy::new(take_over(&empty, &vm("entry-1"), process_id), Revision(1), at, at)
}

fn authority(copy: &AssignmentCopy, fence_mode: FenceMode, now: Instant) -> OrderAuthority {
    copy.authority(&vm("entry-1"), 7, fence_mode, LIFETIME, now)
}

#[test]
fn restarted_process_on_the_same_vm_is_not_the_owner() {
    let now = Instant::now();
    assert!(assignment_copy(7, now).is_owned_by(&vm("entry-1"), 7));
    assert!(!assignment_copy(6, now).is_owned_by(&vm("entry-1"), 7));
    assert_eq!(authority(&assignment_copy(6, now), FenceMode::Honoured, now), OrderAuthority::None);
}

#[test]
fn new_owner_waits_until_orders_of_its_predecessor_have_expired() {
    let now = Instant::now();
    let mut copy = assignment_copy(7, now);
    assert_eq!(authority(&copy, FenceMode::Ignored, now), OrderAuthority::None);
    assert_ne!(authority(&copy, FenceMode::Honoured, now), OrderAuthority::None);
    let later = now + LIFETIME;
    copy.update(AssignmentCopy::new(copy.assignment.clone(), Revision(2), later, later));
    let deadline = later + LIFETIME;
    assert_eq!(authority(&copy, FenceMode::Ignored, later), OrderAuthority::Full { deadline });
}

#[test]
fn order_deadline_counts_from_the_confirmation_however_late_the_order() {
    let now = Instant::now();
    let deadline = now + LIFETIME;
    for later in [0, 300, 900] {
        let given_at = now + Duration::from_millis(later);
        let authority = authority(&assignment_copy(7, now), FenceMode::Honoured, given_at);
        assert_eq!(authority, OrderAuthority::Full { deadline });
    }
}

#[test]
fn out_of_order_answer_does_not_replace_a_newer_revision() {
    let now = Instant::now();
    let mut newest = assignment_copy(7, now);
    newest.update(AssignmentCopy::new(newest.assignment.clone(), Revision(5), now, now));
    let mut older = newest.assignment.clone();
    older.owner = Some(vm("entry-2"));
    newest.update(AssignmentCopy::new(older, Revision(4), now, now));
    assert_eq!(newest.revision, Revision(5));
    assert!(newest.is_owned_by(&vm("entry-1"), 7));
}

#[test]
fn paused_owner_has_only_idle_authority_until_the_store_confirms_it() {
    let now = Instant::now();
    let mut copy = assignment_copy(7, now);
    let resumed = now + Duration::from_secs(600);
    assert_eq!(authority(&copy, FenceMode::Honoured, resumed), OrderAuthority::IdleOnly);
    // The answer to a read sent before the pause confirms nothing.
    copy.update(AssignmentCopy::new(copy.assignment.clone(), Revision(1), now, resumed));
    assert_eq!(authority(&copy, FenceMode::Honoured, resumed), OrderAuthority::IdleOnly);
    copy.update(AssignmentCopy::new(copy.assignment.clone(), Revision(1), resumed, resumed));
    assert!(matches!(authority(&copy, FenceMode::Honoured, resumed), OrderAuthority::Full { .. }));
}

/// Two coordinators that do not see each other compete for a domain for an hour.
#[test]
fn competing_coordinators_take_over_a_domain_at_a_bounded_rate() {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(5);
    let mut backoffs = [0, 1].map(|_| TakeoverBackoff::new(Duration::from_secs(1)));
    let (mut owner, mut takeovers) = (None, 0);
    for tick in 0..14_400 {
        let now = start + Duration::from_millis(250) * tick;
        for (me, backoff) in backoffs.iter_mut().enumerate() {
            if owner == Some(me) {
                backoff.record_owned(now);
                continue;
            }
            if owner.is_some() {
                backoff.record_owned_by_other(now, random.u32(..1_000));
            }
            if backoff.begin_takeover(false, now) {
                owner = Some(me);
                takeovers += 1;
            }
        }
    }
    assert!(takeovers < 120, "{takeovers} takeovers in an hour");
}
