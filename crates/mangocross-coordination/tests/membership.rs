//! Changes of the list of entry VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mangocross_coordination::EntryVmRegistration;
use mangocross_coordination::MembershipError;
use mangocross_coordination::check_membership;
use mangocross_coordination::required_entry_vm_registration;
use mangocross_types::EntryVmSpec;

fn at(number: u16, port: u16) -> EntryVmSpec {
    EntryVmSpec {
        vm: format!("entry-{number}").parse().unwrap(),
        availability_zone: "zone-1".parse().unwrap(),
        coordinator: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn entry_vms(numbers: &[u16]) -> Vec<EntryVmSpec> {
    numbers.iter().map(|it| at(*it, 7_000 + it)).collect()
}

/// Returns all sets of `size` of the members.
fn subsets(members: &[u16], size: usize) -> Vec<BTreeSet<u16>> {
    let all = (0_u32..1 << members.len()).map(|bits| {
        let chosen = members.iter().enumerate().filter(|(index, _)| bits >> index & 1 == 1);
        chosen.map(|(_, it)| *it).collect::<BTreeSet<u16>>()
    });
    all.filter(|it| it.len() == size).collect()
}

#[test]
fn majorities_before_and_after_an_allowed_change_have_a_member_in_common() {
    let majority = |members: &[u16]| members.len() / 2 + 1;
    let mut allowed = 0;
    for before in (1..=4).flat_map(|size| subsets(&[1, 2, 3, 4, 5], size)) {
        for after in (1..=5).flat_map(|size| subsets(&[1, 2, 3, 4, 5], size)) {
            let (before, after): (Vec<u16>, Vec<u16>) =
                (before.iter().copied().collect(), after.iter().copied().collect());
            if check_membership(&entry_vms(&before), &entry_vms(&after), true).is_err() {
                continue;
            }
            allowed += 1;
            for old in subsets(&before, majority(&before)) {
                for new in subsets(&after, majority(&after)) {
                    assert!(!old.is_disjoint(&new), "{before:?} to {after:?}: {old:?}, {new:?}");
                }
            }
        }
    }
    assert!(allowed > 100, "only {allowed} changes were allowed");
}

#[test]
fn entry_vms_change_one_at_a_time_on_an_accepted_revision() {
    let three = entry_vms(&[1, 2, 3]);
    let several = check_membership(&three, &entry_vms(&[1]), true);
    assert_eq!(several, Err(MembershipError::SeveralChanges { changes: 2 }));
    let early = check_membership(&three, &entry_vms(&[1, 2]), false);
    assert_eq!(early, Err(MembershipError::BaseNotAccepted));
    assert_eq!(check_membership(&three, &[], true), Err(MembershipError::NoneLeft));
    assert_eq!(check_membership(&three, &three, false), Ok(()));
    assert_eq!(check_membership(&[], &three, false), Ok(()));
    let moved = [at(1, 7_001), at(2, 7_002), at(3, 9_999)];
    let swapped = check_membership(&three, &moved, true);
    assert_eq!(swapped, Err(MembershipError::SeveralChanges { changes: 2 }));
}

#[test]
fn registration_changes_only_the_entry_of_the_own_vm() {
    let three = entry_vms(&[1, 2, 3]);
    assert_eq!(required_entry_vm_registration(&three, &at(2, 7_002)), EntryVmRegistration::Listed);
    assert_eq!(
        required_entry_vm_registration(&three, &at(4, 7_004)),
        EntryVmRegistration::Update(entry_vms(&[1, 2, 3, 4]))
    );
    assert_eq!(
        required_entry_vm_registration(&three, &at(2, 9_999)),
        EntryVmRegistration::Remove(entry_vms(&[1, 3]))
    );
    let elsewhere = EntryVmSpec { availability_zone: "zone-9".parse().unwrap(), ..at(2, 7_002) };
    let EntryVmRegistration::Update(next) = required_entry_vm_registration(&three, &elsewhere)
    else {
        panic!("not added")
    };
    assert_eq!((next.len(), &next[1]), (3, &elsewhere));
}

#[test]
fn replaced_entry_vm_gets_to_its_new_address_by_allowed_changes() {
    let own = at(2, 9_999);
    let mut entry_vms = entry_vms(&[1, 2, 3]);
    for _ in 0..2 {
        let next = match required_entry_vm_registration(&entry_vms, &own) {
            EntryVmRegistration::Listed => break,
            EntryVmRegistration::Update(next) | EntryVmRegistration::Remove(next) => next,
        };
        check_membership(&entry_vms, &next, true).expect("one change at a time");
        entry_vms = next;
    }
    assert_eq!(required_entry_vm_registration(&entry_vms, &own), EntryVmRegistration::Listed);
}
