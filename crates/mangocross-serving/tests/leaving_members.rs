//! Groups whose members leave, with and without notice, or are needed elsewhere, while their heads
//! answer requests.

#[allow(dead_code)]
mod engines;
mod figures;

use std::time::Duration;

use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::Simulation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns two fabric domains with all groups formed, and a head that will have completed its
/// answers after this time.
fn answering_for(answers_ms: u64) -> (Simulation, VmId) {
    let mut simulation = Simulation::new(2, 11);
    simulation.run(ms(8_000));
    let head = simulation.serving("large").first().expect("a group").clone();
    let answers_until = simulation.now + ms(answers_ms);
    simulation.engines.get_mut(&head).expect("an engine").answers_until = Some(answers_until);
    (simulation, head)
}

/// Asserts that no answer was cut and that all groups serve; returns their heads.
fn heads_after_no_cut(simulation: &Simulation) -> Vec<VmId> {
    assert!(simulation.cut_heads.is_empty(), "answers of {:?} were cut", simulation.cut_heads);
    let serving = simulation.serving("large");
    assert_eq!(serving.len(), 2, "the group was re-formed");
    serving
}

/// Asserts that no answer was cut and that all groups serve without this member.
fn assert_replaced_without_a_cut(simulation: &Simulation, left: &VmId) {
    let heads = heads_after_no_cut(simulation);
    assert!(heads.iter().all(|it| !simulation.engines[it].members.contains(left)));
}

/// Guards against answers that are cut because their head leaves without notice: its entry is
/// removed while it goes on.
#[test]
fn head_that_leaves_without_notice_finishes_its_answers() {
    let (mut simulation, head) = answering_for(2_000);
    simulation.engines.get_mut(&head).expect("an engine").is_listed = false;
    simulation.run(ms(5_000));
    let heads = heads_after_no_cut(&simulation);
    assert!(!heads.contains(&head), "requests go to listed heads only");
}

/// Guards against answers that are cut by a new planner, which does not know a member that has left
/// the list and goes on.
#[test]
fn new_planner_lets_a_group_with_an_unlisted_member_finish_its_answers() {
    let (mut simulation, head) = answering_for(3_000);
    let leaving = simulation.engines[&head].members[3].clone();
    simulation.engines.get_mut(&leaving).expect("an engine").is_listed = false;
    simulation.new_planner();
    simulation.run(ms(6_000));
    assert_replaced_without_a_cut(&simulation, &leaving);
}

/// Guards against answers that are cut although the member that leaves stays as long as they last.
#[test]
fn long_answers_are_finished_before_a_leaving_member_is_replaced() {
    let (mut simulation, head) = answering_for(6_000);
    let leaving = simulation.engines[&head].members[3].clone();
    simulation.engines.get_mut(&leaving).expect("an engine").server.is_leaving = true;
    simulation.run(ms(9_000));
    assert_replaced_without_a_cut(&simulation, &leaving);
}

/// Guards against answers that are cut because their group is dissolved for a larger one that lacks
/// members.
#[test]
fn group_that_is_dissolved_for_another_one_finishes_its_answers() {
    let mut simulation = Simulation::new(2, 9);
    simulation.run(ms(8_000));
    let head = simulation.serving("large").first().expect("a group").clone();
    let lost = simulation.engines[&head].members[3].clone();
    let domain = simulation.engines[&head].server.engine.domain.clone();
    let donor = simulation
        .serving("small")
        .into_iter()
        .find(|it| simulation.engines[it].server.engine.domain == domain);
    let donor = donor.expect("a group in the same domain");
    let answers_until = simulation.now + ms(2_500);
    simulation.engines.get_mut(&donor).expect("an engine").answers_until = Some(answers_until);
    simulation.engines.get_mut(&lost).expect("an engine").connectivity = Connectivity::NoProcess;
    simulation.run(ms(6_000));
    assert!(simulation.cut_heads.is_empty(), "answers of {:?} were cut", simulation.cut_heads);
    assert_eq!(simulation.serving("large").len(), 2, "the group was completed");
}

/// Guards against answers that are cut because a spare can replace a slow member of their group.
#[test]
fn group_with_a_slow_member_finishes_its_answers() {
    let (mut simulation, head) = answering_for(6_000);
    let slow = simulation.engines[&head].members[3].clone();
    simulation.engines.get_mut(&slow).expect("an engine").slowdown = 5.0;
    simulation.run(ms(12_000));
    assert_replaced_without_a_cut(&simulation, &slow);
}

/// Guards against groups that are closed for a slow member although the only spare is another
/// group's.
#[test]
fn spare_closes_one_group_with_a_slow_member() {
    let mut simulation = Simulation::new(1, 16);
    simulation.run(ms(12_000));
    let heads = simulation.serving("large");
    assert_eq!(heads.len(), 2);
    let answers_until = simulation.now + ms(20_000);
    for head in &heads {
        let slow = simulation.engines[head].members[3].clone();
        simulation.engines.get_mut(head).expect("an engine").answers_until = Some(answers_until);
        simulation.engines.get_mut(&slow).expect("an engine").slowdown = 5.0;
    }
    for _ in 0..160 {
        simulation.run(ms(50));
        assert!(!simulation.serving("large").is_empty(), "both groups are closed");
    }
}

/// Guards against answers that are cut when a member is slow for the second time.
#[test]
fn group_whose_member_is_slow_again_finishes_its_answers() {
    let mut simulation = Simulation::new(1, 11);
    simulation.run(ms(12_000));
    let head = simulation.serving("large").first().expect("a group").clone();
    let slow = simulation.engines[&head].members[3].clone();
    let set_slowdown = |simulation: &mut Simulation, slowdown| {
        simulation.engines.get_mut(&slow).expect("an engine").slowdown = slowdown;
    };
    let answer_for = |simulation: &mut Simulation, answers_ms| {
        let until = simulation.now + ms(answers_ms);
        simulation.engines.get_mut(&head).expect("an engine").answers_until = Some(until);
    };
    let is_open = |simulation: &Simulation| simulation.serving("large").contains(&head);
    let run_until_closed = |simulation: &mut Simulation, answers_ms| {
        for _ in 0..200 {
            if !is_open(simulation) {
                return;
            }
            answer_for(simulation, answers_ms);
            simulation.run(ms(50));
        }
        panic!("the group is not closed");
    };

    set_slowdown(&mut simulation, 5.0);
    run_until_closed(&mut simulation, 9_000);
    set_slowdown(&mut simulation, 1.0);
    simulation.run(ms(12_000));
    assert!(is_open(&simulation), "the group serves again");
    set_slowdown(&mut simulation, 5.0);
    run_until_closed(&mut simulation, 1_000);
    simulation.run(ms(4_000));
    assert!(simulation.cut_heads.is_empty(), "answers of {:?} were cut", simulation.cut_heads);
}
