//! Tests of what entry VMs do when the store comes back from an older copy.

use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::ConfigurationFreshness;
use mangocross_serving::ConfigurationNotice;
use mangocross_serving::MissingServers;
use mangocross_serving::Moment;
use mangocross_serving::REAPPEARANCE_TIME;
use mangocross_serving::Removal;
use mangocross_serving::StoreView;
use mangocross_types::StoreEra;
use mangocross_types::VmId;

/// Time within which a key that was taken away has to be refused.
const REVOKE_WITHIN: Duration = Duration::from_millis(4000);
/// Time between two steps of a history.
const STEP_MS: u64 = 50;
const STEPS: u64 = 800;
const VM_COUNT: usize = 4;
const NOTICE_INTERVAL_MS: u64 = 800;
/// Minimum time between two starts of VMs.
const RESTART_INTERVAL_MS: u64 = 3_500;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(100_000 + ms))
}

/// The store, and the operator who writes versions again that it lost.
#[derive(Debug, Default)]
struct Store {
    era: u64,
    /// Versions that were written, and when.
    written: Vec<(u64, u64)>,
    version: u64,
    silent_until_ms: u64,
    rewrite_at_ms: Option<u64>,
}

impl Store {
    fn newest(&self) -> u64 {
        self.written.last().map_or(0, |(version, _)| *version)
    }

    fn write(&mut self, now_ms: u64) {
        self.version = self.newest() + 1;
        self.written.push((self.version, now_ms));
        self.rewrite_at_ms = None;
    }
}

/// An entry VM, with the question to the store that is not answered yet.
#[derive(Debug, Default)]
struct EntryVm {
    era: Option<u64>,
    version: u64,
    freshness: ConfigurationFreshness,
    /// When the question was asked, and when its answer arrives.
    question: Option<(u64, u64)>,
    answer: Option<(u64, u64)>,
    notice_at_ms: u64,
    /// Notices of others and when they arrive.
    inbox: Vec<(u64, ConfigurationNotice)>,
}

impl EntryVm {
    fn apply(&mut self, era: u64, version: u64, asked_at_ms: u64, now_ms: u64) {
        if self.era.is_some_and(|it| it > era) {
            return;
        }
        match self.era {
            None => drop(self.freshness.set_first_era(StoreEra(era), at(now_ms))),
            Some(known) if known < era => self.freshness.begin_era(StoreEra(era), at(now_ms)),
            Some(_) => {}
        }
        self.era = Some(era);
        self.freshness.record_shown(version);
        self.version = self.version.max(version);
        self.freshness.confirm(at(asked_at_ms));
    }
}

/// Plays one history; returns a violation of the bound on keys that were taken away.
///
/// The store returns to copies at random, also twice within seconds; answers take up to 400 ms and
/// may be of the era before. The operator writes again what was lost: within the time that others
/// have for it, or, if an entry VM saw the lost version, much later. With `restarts`, one VM after the
/// other starts anew, unless it is the only one that knows the newest version.
fn play(random: &mut Rng, restarts: bool) -> Option<String> {
    let mut restarted_at_ms = 0;
    let mut store = Store { era: 1, ..Store::default() };
    store.write(0);
    let mut vms: Vec<EntryVm> = (0..VM_COUNT).map(|_| EntryVm::default()).collect();
    for now_ms in (0..STEPS).map(|it| it * STEP_MS) {
        let is_silent = now_ms < store.silent_until_ms;
        if !is_silent && random.u8(0..40) == 0 {
            store.write(now_ms);
        }
        if !is_silent && random.u8(0..60) == 0 {
            let copied_at_ms = now_ms.saturating_sub(random.u64(0..3000));
            let mut copied = store.written.iter().filter(|(_, at)| *at <= copied_at_ms);
            store.version = copied.next_back().map_or(0, |(version, _)| *version);
            store.era += 1;
            store.silent_until_ms = now_ms + random.u64(0..1000);
            let is_seen = vms.iter().any(|it| it.version == store.newest());
            let delays_ms = if is_seen { 0..9000 } else { 0..1500 };
            let lost = store.version < store.newest();
            store.rewrite_at_ms = lost.then(|| store.silent_until_ms + random.u64(delays_ms));
        }
        if !is_silent && store.rewrite_at_ms.is_some_and(|it| now_ms >= it) {
            store.version = store.newest();
            store.rewrite_at_ms = None;
        }
        if restarts && now_ms >= restarted_at_ms + RESTART_INTERVAL_MS && random.u8(0..20) == 0 {
            let number = random.usize(0..VM_COUNT);
            let mut others = vms.iter().enumerate().filter(|(other, _)| *other != number);
            if others.any(|(_, it)| it.version >= vms[number].version) {
                vms[number] = EntryVm::default();
                restarted_at_ms = now_ms;
            }
        }
        let mut notices = Vec::new();
        for (number, vm) in vms.iter_mut().enumerate() {
            match vm.question {
                None => {
                    vm.question = Some((now_ms, now_ms + random.u64(0..400)));
                    vm.answer = None;
                }
                Some((asked_at_ms, answered_at_ms)) => {
                    // The store looks at its keys at some moment before the answer arrives.
                    if vm.answer.is_none() && !is_silent && random.bool() {
                        vm.answer = Some((store.era, store.version));
                    }
                    if let Some((era, version)) = vm.answer.filter(|_| now_ms >= answered_at_ms) {
                        vm.apply(era, version, asked_at_ms, now_ms);
                        vm.question = None;
                    }
                }
            }
            let (arrived, later) = vm.inbox.drain(..).partition(|(at, _)| *at <= now_ms);
            vm.inbox = later;
            let arrived: Vec<(u64, ConfigurationNotice)> = arrived;
            for (_, notice) in arrived {
                if vm.freshness.record_notice(notice) {
                    vm.notice_at_ms = now_ms;
                }
            }
            if now_ms >= vm.notice_at_ms {
                vm.notice_at_ms = now_ms + NOTICE_INTERVAL_MS;
                notices.push((number, vm.freshness.notice()));
            }
        }
        for (from, notice) in notices {
            for (number, vm) in vms.iter_mut().enumerate() {
                if number != from {
                    vm.inbox.push((now_ms + random.u64(0..200), notice));
                }
            }
        }
        let bound_ms = REVOKE_WITHIN.as_millis() as u64;
        let mut due = store.written.iter().filter(|(_, at)| at + bound_ms < now_ms);
        let due = due.next_back().map_or(0, |(version, _)| *version);
        for (number, vm) in vms.iter().enumerate() {
            if vm.freshness.is_fresh_at(at(now_ms), REVOKE_WITHIN) && vm.version < due {
                let version = vm.version;
                return Some(format!("{now_ms} ms: VM {number} has {version} instead of {due}"));
            }
        }
    }
    None
}

/// A VM that did not know the newest configuration took an older copy for it and accepted keys that
/// had been taken away.
#[test]
fn no_revoked_key_is_accepted_past_its_bound_when_the_store_returns_to_copies() {
    for seed in 0..400 {
        assert_eq!(play(&mut Rng::with_seed(seed), false), None, "seed {seed}");
    }
}

/// Guards against a process that starts just after a return and takes the copy for the newest state.
#[test]
fn no_revoked_key_is_accepted_past_its_bound_by_processes_that_start_after_a_return() {
    for seed in 0..400 {
        assert_eq!(play(&mut Rng::with_seed(seed), true), None, "seed {seed}");
    }
}

fn notice(era: u64, shown: u64, former: Option<u64>) -> ConfigurationNotice {
    ConfigurationNotice { era: StoreEra(era), shown_version: Some(shown), former_version: former }
}

fn started_in(era: u64) -> ConfigurationFreshness {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(era), at(0));
    freshness.record_shown(7);
    freshness.confirm(at(0));
    freshness
}

/// A process that starts after a return waits until others have had the time to write again, and for
/// the version that they tell of; before any return it does not wait.
#[test]
fn process_that_starts_after_a_return_takes_no_copy_for_the_newest_state() {
    assert_eq!(started_in(1).age(at(0)), Some(Duration::ZERO));
    let mut alone = started_in(2);
    alone.confirm(at(1999));
    assert_eq!(alone.age(at(1999)), None);
    alone.confirm(at(2000));
    assert_eq!(alone.age(at(2000)), Some(Duration::ZERO));
    let mut told = started_in(2);
    assert!(told.record_notice(notice(2, 7, Some(9))));
    told.confirm(at(5000));
    assert_eq!(told.age(at(5000)), None);
    told.record_shown(9);
    told.confirm(at(5100));
    assert_eq!(told.age(at(5100)), Some(Duration::ZERO));
}

/// Guards against each start of a process long after a return costing two seconds: another VM says
/// that the store shows what was seen before.
#[test]
fn other_vm_confirms_that_the_store_shows_what_it_showed_before() {
    let mut freshness = started_in(2);
    freshness.record_notice(notice(2, 7, None));
    freshness.confirm(at(100));
    assert_eq!(freshness.age(at(100)), None, "that VM has missed the return as well");
    freshness.record_notice(notice(2, 7, Some(7)));
    freshness.confirm(at(200));
    assert_eq!(freshness.age(at(200)), Some(Duration::ZERO));
}

/// Answers count again once others had the time to write again, if nothing newer was seen.
#[test]
fn configuration_is_fresh_again_after_a_return() {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    freshness.record_shown(18);
    freshness.confirm(at(0));
    freshness.begin_era(StoreEra(2), at(1000));
    freshness.record_shown(18);
    freshness.confirm(at(2999));
    assert_eq!(freshness.age(at(3000)), Some(Duration::from_millis(3000)));
    freshness.confirm(at(3000));
    assert_eq!(freshness.age(at(3000)), Some(Duration::ZERO));
}

/// Another VM saw a version that the store shows no longer; one of the same era is no reason to
/// refuse, since the next answer has it.
#[test]
fn version_of_an_earlier_era_has_to_be_shown_again() {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    freshness.begin_era(StoreEra(2), at(0));
    freshness.record_shown(18);
    assert!(!freshness.record_notice(notice(2, 20, None)));
    freshness.confirm(at(2000));
    assert_eq!(freshness.age(at(2000)), Some(Duration::ZERO));
    assert!(freshness.record_notice(notice(1, 19, None)));
    freshness.confirm(at(2500));
    assert_eq!(freshness.age(at(2500)), None);
    freshness.record_shown(19);
    freshness.confirm(at(2600));
    assert_eq!(freshness.age(at(2600)), Some(Duration::ZERO));
}

/// Guards against a confirmation that stays in force although another VM tells of a later version that
/// the store had shown before it came back from the copy.
#[test]
fn notice_of_a_later_version_withdraws_a_confirmation_by_the_copy() {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    freshness.begin_era(StoreEra(2), at(0));
    freshness.record_shown(18);
    freshness.confirm(at(2000));
    assert!(freshness.record_notice(notice(2, 18, Some(19))));
    assert!(!freshness.is_fresh_at(at(2100), REVOKE_WITHIN));
    freshness.record_shown(19);
    freshness.confirm(at(2200));
    assert!(freshness.is_fresh_at(at(2300), REVOKE_WITHIN));
}

/// A confirmation of an earlier era was true when it was given, and lasts as long as any other.
#[test]
fn notice_withdraws_no_confirmation_of_an_earlier_era() {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    freshness.record_shown(18);
    freshness.confirm(at(900));
    freshness.begin_era(StoreEra(2), at(1000));
    freshness.record_shown(17);
    assert!(freshness.record_notice(notice(2, 17, Some(19))));
    assert_eq!(freshness.age(at(1000)), Some(Duration::from_millis(100)));
}

/// Nothing is planned from a copy that lacks what others have not written again.
#[test]
fn nothing_is_planned_until_others_have_written_again() {
    let mut view = StoreView::default();
    view.record_all_keys(at(0));
    assert!(view.complete(at(100)).is_some());
    view.begin_era(at(1000));
    view.record_all_keys(at(1100));
    assert!(view.complete(at(1200)).is_none());
    assert!(!view.may_take_term(at(1200)));
    view.record_changes(at(2900), false);
    let settled = at(1000) + REAPPEARANCE_TIME;
    assert!(view.complete(settled).is_some());
    assert!(view.may_take_term(settled));
}

/// Guards against a process that starts after a return and plans from the copy.
#[test]
fn nothing_is_planned_by_a_process_that_has_just_started_after_a_return() {
    let mut view = StoreView::default();
    view.begin_reading();
    view.record_missed_return(at(0));
    view.record_all_keys(at(100));
    assert!(view.complete(at(1900)).is_none() && !view.may_take_term(at(1900)));
    view.record_changes(at(1950), false);
    assert!(view.complete(at(2000)).is_some() && view.may_take_term(at(2000)));
}

/// A return too short for its silence to be noticed.
#[test]
fn servers_that_a_copy_lacks_are_missing_for_a_while() {
    let server: VmId = "r1".parse().expect("a valid id");
    let mut missing = MissingServers::default();
    missing.record_new_era(at(0), Duration::from_secs(10));
    let gone_at = at(0) + REAPPEARANCE_TIME;
    assert_eq!(missing.record_removal(&server, at(300)), Removal::MayReappear(gone_at));
    assert!(!missing.is_gone(&server, at(1900)));
    assert!(missing.is_gone(&server, gone_at));
}
