//! Explores all interleavings of a few attempts with the same key, with lost store answers,
//! overdue holders and expiry between any two steps.
//!
//! A crash needs no step of its own: every state is checked, and a crashed attempt is one that
//! takes no further step.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimLayout;
use mangocross_coordination::ClaimOperation;
use mangocross_coordination::ClaimState;
use mangocross_coordination::CommitEnd;
use mangocross_coordination::CommitStep;
use mangocross_coordination::RecordedResponse;
use mangocross_coordination::ShardCommit;
use mangocross_coordination::ShardCopy;
use mangocross_coordination::ShardSwap;
use mangocross_coordination::StoreReply;
use mangocross_types::Revision;

const LAYOUT: ClaimLayout = ClaimLayout { window_s: 10, slots: 3, shards: 1 };
const ISSUED_S: u64 = 100;
const OVERDUE_S: u64 = 100_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Claiming(ShardCommit),
    Granted,
    Finishing { commit: ShardCommit, state: ClaimState },
    Releasing { commit: ShardCommit, lost_write_revision: Option<Revision> },
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    phase: Phase,
    sent: bool,
    reported_not_run: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    store: ShardCopy,
    /// Writes whose answers are lost and which may take effect later.
    delayed: Vec<ShardSwap>,
    attempts: Vec<Attempt>,
    faults_left: u8,
    overdue: bool,
    expired: bool,
}

impl World {
    fn new(attempts: usize, faults_left: u8) -> Self {
        let attempt = |number: usize| {
            let claim_attempt = claim_attempt(number, ISSUED_S);
            let request =
                claim_attempt.claim_request(&LAYOUT, "town".parse().unwrap(), ClaimDigest::of(&[]));
            let commit = ShardCommit::new(vec![ClaimOperation::Begin(request)]);
            Attempt { phase: Phase::Claiming(commit), sent: false, reported_not_run: false }
        };
        Self {
            store: ShardCopy::default(),
            delayed: Vec::new(),
            attempts: (0..attempts).map(attempt).collect(),
            faults_left,
            overdue: false,
            expired: false,
        }
    }

    fn now_s(&self) -> u64 {
        if self.overdue { OVERDUE_S } else { ISSUED_S }
    }

    fn sent(&self) -> usize {
        self.attempts.iter().filter(|it| it.sent).count()
    }

    fn check(&self) {
        assert!(self.sent() <= 1, "sent twice: {self:#?}");
        for attempt in &self.attempts {
            assert!(
                !(attempt.sent && attempt.reported_not_run),
                "sent though reported as not run: {self:#?}"
            );
        }
    }

    /// Checks a state in which all attempts have ended and no write is pending.
    fn check_final(&self) {
        let ended = self.attempts.iter().all(|it| it.phase == Phase::Ended);
        if !ended || !self.delayed.is_empty() {
            return;
        }
        let key = claim_attempt(0, ISSUED_S).key.digest().clone();
        let Some(claim) = self.store.shard.claim(&key) else { return };
        let open = matches!(claim.state, ClaimState::Held | ClaimState::Frozen);
        assert!(!open, "a claim stayed open after all attempts ended: {self:#?}");
    }

    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for number in 0..self.attempts.len() {
            self.attempt_successors(number, &mut successors);
        }
        for number in 0..self.delayed.len() {
            let mut world = self.clone();
            let swap = world.delayed.remove(number);
            world.swap(&swap);
            successors.push(world);
        }
        if !self.overdue {
            successors.push(Self { overdue: true, ..self.clone() });
        }
        if !self.expired && self.store.revision > Revision(0) {
            successors.push(self.expire());
        }
        successors
    }

    /// Expires the claim: a newer key reuses its slot.
    fn expire(&self) -> Self {
        let mut world = Self { expired: true, ..self.clone() };
        let newer = claim_attempt(9, ISSUED_S + LAYOUT.retention_s());
        let request = newer.claim_request(&LAYOUT, "bank".parse().unwrap(), ClaimDigest::of(&[]));
        assert_eq!(world.store.shard.begin(&request, ISSUED_S), ClaimDecision::Granted);
        world.store.revision.0 += 1;
        world
    }

    fn attempt_successors(&self, number: usize, successors: &mut Vec<Self>) {
        match &self.attempts[number].phase {
            Phase::Granted => self.grant_successors(number, successors),
            Phase::Claiming(commit)
            | Phase::Finishing { commit, .. }
            | Phase::Releasing { commit, .. } => self.commit_successors(number, commit, successors),
            Phase::Ended => {}
        }
    }

    fn grant_successors(&self, number: usize, successors: &mut Vec<Self>) {
        let mut abandoned = self.clone();
        abandoned.attempts[number].reported_not_run = true;
        abandoned.attempts[number].phase = releasing(number, None);
        successors.push(abandoned);
        let answer = RecordedResponse::new(200, None, b"done");
        for state in [ClaimState::Done(answer), ClaimState::Unknown] {
            let mut world = self.clone();
            world.attempts[number].sent = true;
            world.attempts[number].phase = finishing(number, state);
            successors.push(world);
        }
    }

    fn commit_successors(&self, number: usize, commit: &ShardCommit, successors: &mut Vec<Self>) {
        let step = commit.next_step(self.now_s());
        let mut push_reply = |mut world: Self, fault: bool, reply: StoreReply| {
            world.faults_left -= u8::from(fault);
            let now_s = world.now_s();
            let commit = world.commit_mut(number);
            commit.record_reply(step.clone(), reply);
            // The end of a commit is not visible to others, so it needs no step of its own.
            if let CommitStep::End(end) = commit.next_step(now_s) {
                world.end_commit(number, &end);
            }
            successors.push(world);
        };
        let may_fail = self.faults_left > 0;
        match &step {
            CommitStep::Read => {
                push_reply(self.clone(), false, StoreReply::Current(self.store.clone()));
                if may_fail {
                    push_reply(self.clone(), true, StoreReply::NoEffect);
                }
            }
            CommitStep::Swap(swap) => {
                let mut world = self.clone();
                let reply = world.swap(swap);
                push_reply(world.clone(), false, reply);
                if may_fail {
                    push_reply(world, true, StoreReply::AnswerLost);
                    let mut delayed = self.clone();
                    delayed.delayed.push(swap.clone());
                    push_reply(delayed, true, StoreReply::AnswerLost);
                    push_reply(self.clone(), true, StoreReply::NoEffect);
                }
            }
            CommitStep::End(end) => panic!("the commit has already ended: {end:?}"),
        }
    }

    fn end_commit(&mut self, number: usize, end: &CommitEnd) {
        let phase = self.attempts[number].phase.clone();
        let attempt = &mut self.attempts[number];
        attempt.phase = match (phase, end) {
            (Phase::Claiming(_), CommitEnd::Committed(decisions)) => match decisions[0] {
                Some(ClaimDecision::Granted) => Phase::Granted,
                Some(ClaimDecision::Overdue) => {
                    attempt.reported_not_run = true;
                    releasing(number, None)
                }
                _ => Phase::Ended,
            },
            (Phase::Claiming(_), CommitEnd::Failed { lost_write_revision, .. }) => {
                attempt.reported_not_run = true;
                match lost_write_revision {
                    Some(_) => releasing(number, *lost_write_revision),
                    None => Phase::Ended,
                }
            }
            (Phase::Finishing { state, .. }, CommitEnd::Failed { .. }) => finishing(number, state),
            (Phase::Releasing { lost_write_revision, .. }, CommitEnd::Failed { .. }) => {
                releasing(number, lost_write_revision)
            }
            _ => Phase::Ended,
        };
    }

    fn commit_mut(&mut self, number: usize) -> &mut ShardCommit {
        match &mut self.attempts[number].phase {
            Phase::Claiming(commit)
            | Phase::Finishing { commit, .. }
            | Phase::Releasing { commit, .. } => commit,
            phase => panic!("no commit in {phase:?}"),
        }
    }

    fn swap(&mut self, swap: &ShardSwap) -> StoreReply {
        if self.store.revision != swap.expected {
            return StoreReply::Current(self.store.clone());
        }
        let revision = Revision(swap.expected.0 + 1);
        self.store = ShardCopy { revision, shard: swap.shard.clone() };
        StoreReply::Swapped(revision)
    }
}

fn claim_attempt(number: usize, issued_s: u64) -> ClaimAttempt {
    let key = format!("{issued_s}.booking").parse().unwrap();
    let holder = format!("a-{number}").parse().unwrap();
    ClaimAttempt::new(key, holder, Duration::from_secs(5), Instant::now(), issued_s)
}

fn releasing(number: usize, lost_write_revision: Option<Revision>) -> Phase {
    let ClaimAttempt { key, holder, .. } = claim_attempt(number, ISSUED_S);
    let release =
        ClaimOperation::Release { key: key.digest().clone(), holder, lost_write_revision };
    Phase::Releasing { commit: ShardCommit::new(vec![release]), lost_write_revision }
}

fn finishing(number: usize, state: ClaimState) -> Phase {
    let ClaimAttempt { key, holder, .. } = claim_attempt(number, ISSUED_S);
    let key = key.digest().clone();
    let finish = ClaimOperation::Finish { key, holder, state: state.clone() };
    Phase::Finishing { commit: ShardCommit::new(vec![finish]), state }
}

fn explore(attempts: usize, faults: u8) -> usize {
    let first = World::new(attempts, faults);
    let mut seen = HashSet::from([first.clone()]);
    let mut open = vec![first];
    let mut sent = 0;
    while let Some(world) = open.pop() {
        world.check();
        sent = sent.max(world.sent());
        world.check_final();
        open.extend(world.successors().into_iter().filter(|it| seen.insert(it.clone())));
    }
    assert_eq!(sent, 1, "no history sends the request");
    println!("{attempts} attempts, {faults} faults: {} states", seen.len());
    seen.len()
}

/// Returns the number of faults, one more than in CI if `MANGOCROSS_CASES` is set.
fn faults(in_ci: u8) -> u8 {
    in_ci + u8::from(std::env::var_os("MANGOCROSS_CASES").is_some())
}

#[test]
fn two_attempts_send_at_most_once() {
    assert!(explore(2, faults(2)) > 1_000);
}

#[test]
fn three_attempts_send_at_most_once() {
    assert!(explore(3, faults(1)) > 1_000);
}
