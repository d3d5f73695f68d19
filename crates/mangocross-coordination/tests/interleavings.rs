//! Explores every interleaving of two owners' steps on one assignment: any step may follow a pause,
//! and any write may lose its answer or arrive late.

use mangocross_coordination::form_group;
use mangocross_coordination::take_over;
use mangocross_coordination::validate_assignment;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupSpec;
use mangocross_types::VmId;

/// Steps of an owner: take over, form a group, form another one.
const STEPS: u8 = 3;

#[derive(Debug, Clone)]
struct Store {
    value: DomainAssignment,
    revision: u64,
}

/// A write that has not reached the store.
#[derive(Debug, Clone)]
struct Write {
    next: DomainAssignment,
    expected: u64,
}

#[derive(Debug, Clone)]
struct Owner {
    number: u64,
    step: u8,
    read: Option<Store>,
}

#[derive(Debug, Clone)]
struct State {
    store: Store,
    owners: [Owner; 2],
    late: Vec<Write>,
}

fn vm(number: u64) -> VmId {
    format!("vm-{number}").parse().expect("a valid id")
}

/// Returns a group that one owner forms; both owners want the same VMs.
fn spec(owner: u64, step: u8) -> GroupSpec {
    serde_json::from_value(serde_json::json!({
        "id": format!("group-{owner}-{step}"), "model": "letters", "model_version": "v1",
        "size": 2, "desired": "serving",
    }))
    .expect("a specification")
}

impl Owner {
    /// Returns the value that it would write on the basis of `read`.
    fn next_value(&self, read: &Store) -> Option<DomainAssignment> {
        if self.step == 0 {
            return Some(take_over(&read.value, &vm(100 + self.number), self.number));
        }
        if read.value.owner_process != self.number {
            return None;
        }
        let free = (0..4)
            .map(vm)
            .filter(|vm| !read.value.groups.iter().any(|group| group.members.contains(vm)));
        form_group(&read.value, &spec(self.number, self.step), free.take(2).collect()).ok()
    }
}

impl Store {
    fn apply(&mut self, write: &Write) {
        if self.revision != write.expected {
            return;
        }
        let before = &self.value;
        validate_assignment(&write.next).expect("no VM is in two groups");
        assert!(write.next.fencing_number >= before.fencing_number);
        let same_owner = write.next.owner_process == before.owner_process;
        assert!(same_owner || write.next.fencing_number > before.fencing_number);
        assert!(write.next.next_incarnation >= before.next_incarnation);
        *self = Store { value: write.next.clone(), revision: self.revision + 1 };
    }
}

/// Explores all continuations of a state; returns the number of final states reached.
fn explore(state: &State) -> u64 {
    let mut ends = 0;
    for number in 0..state.late.len() {
        let mut next = state.clone();
        let write = next.late.remove(number);
        next.store.apply(&write);
        ends += explore(&next);
    }
    for number in 0..2 {
        let owner = &state.owners[number];
        if owner.step == STEPS {
            continue;
        }
        let mut next = state.clone();
        let Some(read) = owner.read.clone() else {
            next.owners[number].read = Some(state.store.clone());
            ends += explore(&next);
            continue;
        };
        next.owners[number].read = None;
        next.owners[number].step += 1;
        let Some(value) = owner.next_value(&read) else {
            ends += explore(&next);
            continue;
        };
        // The owner reads again before its next step, whether or not the answer is lost.
        let write = Write { next: value, expected: read.revision };
        let mut arrives = next.clone();
        arrives.store.apply(&write);
        ends += explore(&arrives);
        if next.late.is_empty() {
            next.late.push(write);
            ends += explore(&next);
        }
    }
    ends.max(1)
}

#[test]
fn no_interleaving_puts_a_vm_into_two_groups() {
    let value = DomainAssignment::empty("domain-1".parse().expect("a valid id"));
    let owners = [1, 2].map(|number| Owner { number, step: 0, read: None });
    let start = State { store: Store { value, revision: 0 }, owners, late: Vec::new() };
    let ends = explore(&start);
    assert!(ends > 10_000, "only {ends} final states were reached");
    println!("{ends} final states reached");
}
