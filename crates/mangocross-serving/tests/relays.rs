//! Which entry VMs follow the store, what they pass on, and what their answers prove.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::ConfigurationFreshness;
use mangocross_serving::KeyChange;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::Moment;
use mangocross_serving::RelayPlan;
use mangocross_serving::RelayedKeys;
use mangocross_serving::RelayedOutage;
use mangocross_serving::Source;
use mangocross_serving::SourceChoice;
use mangocross_serving::VmRole;
use mangocross_types::AvailabilityZone;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn zone(number: usize) -> AvailabilityZone {
    format!("zone-{number}").parse().expect("a valid id")
}

/// A fleet in five zones; the first three VMs of each have more capacity.
fn fleet(size: usize) -> BTreeMap<Arc<str>, ListedEntryVm> {
    let vm = |number: usize| {
        let address = SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7340));
        let (core, link) = if number < 15 { (0.5, 200.0) } else { (0.12, 20.0) };
        let vm = ListedEntryVm::new(address, zone(number % 5), core, link);
        (Arc::from(format!("front-{number}")), vm)
    };
    (0..size).map(vm).collect()
}

fn plan(fleet: &BTreeMap<Arc<str>, ListedEntryVm>) -> RelayPlan {
    RelayPlan::new(fleet.iter())
}

#[test]
fn each_vm_of_a_small_fleet_follows_the_store() {
    let fleet = fleet(16);
    let plan = plan(&fleet);
    assert_eq!(plan.relay_count(), 0);
    assert!(fleet.keys().all(|it| plan.follows_store(it)));
}

/// The load of watches on the store: it grows with the number of relays, not of entry VMs.
#[test]
fn few_vms_of_a_large_fleet_follow_the_store() {
    for (size, relays_max) in [(17, 3), (79, 3), (295, 10), (1_000, 34)] {
        let fleet = fleet(size);
        let plan = plan(&fleet);
        assert_eq!(fleet.keys().filter(|it| plan.follows_store(it)).count(), plan.relay_count());
        assert!(plan.relay_count() <= relays_max, "{size}: {}", plan.relay_count());
    }
}

#[test]
fn relays_are_spread_over_the_zones_and_have_most_capacity() {
    let fleet = fleet(295);
    let plan = plan(&fleet);
    let relays: Vec<&ListedEntryVm> =
        fleet.iter().filter(|(name, _)| plan.follows_store(name)).map(|(_, it)| it).collect();
    assert!(relays.iter().all(|it| it.capacity == 1000), "no small VM relays while others can");
    for number in 0..5 {
        let in_zone = relays.iter().filter(|it| it.zone == Some(zone(number))).count();
        assert!(in_zone >= 2, "{in_zone} relays in zone {number}");
    }
}

/// The load on one relay's link and processor: no relay has many more followers than another.
#[test]
fn followers_are_spread_over_the_relays_of_their_zone() {
    let fleet = fleet(295);
    let plan = plan(&fleet);
    let mut followers: HashMap<Arc<str>, usize> = HashMap::new();
    for (name, vm) in fleet.iter().filter(|(name, _)| !plan.follows_store(name)) {
        let zone = vm.zone.clone().expect("a zone");
        let (relay, _) = plan.candidates(name, &zone).remove(0);
        assert_eq!(fleet[&relay].zone, vm.zone, "no traffic between zones");
        *followers.entry(relay).or_default() += 1;
    }
    assert!(followers.values().all(|it| *it <= 60), "{followers:?}");
}

#[test]
fn entry_of_an_older_process_has_no_zone_and_is_no_relay() {
    let mut fleet = fleet(40);
    let old: ListedEntryVm = "10.9.0.1:7340".parse().expect("an address");
    fleet.insert("old".into(), old);
    assert!(!plan(&fleet).follows_store("old"));
    assert!("10.9.0.1:7340 zone-1".parse::<ListedEntryVm>().is_err());
    assert!("nonsense".parse::<ListedEntryVm>().is_err());
}

fn choose(choice: &mut SourceChoice, plan: &RelayPlan, now: Moment, draw: f64) -> Source {
    let role = VmRole { name: "front-200", zone: &zone(0), holds_term: false };
    choice.choose(plan, role, 295, now, draw)
}

/// Relays die: the next ones are asked, then the store.
#[test]
fn vm_without_a_relay_follows_the_store_for_a_while() {
    let fleet = fleet(295);
    let plan = plan(&fleet);
    let mut choice = SourceChoice::default();
    let mut asked = Vec::new();
    while let Source::Relay { name, .. } = choose(&mut choice, &plan, at(0), 0.99) {
        assert!(!asked.contains(&name), "each relay is asked once");
        choice.record_unreached(&name, at(0));
        asked.push(name);
        assert!(asked.len() < 10, "the store is asked at last");
    }
    choice.record_store_answer(at(0));
    assert_eq!(choose(&mut choice, &plan, at(5_000), 0.99), Source::Store);
    assert!(matches!(choose(&mut choice, &plan, at(60_000), 0.99), Source::Relay { .. }));
}

/// The stampede on a store that is away: with 295 VMs only a few ask it at a time.
#[test]
fn few_vms_ask_a_store_that_the_relays_have_lost() {
    let fleet = fleet(295);
    let plan = plan(&fleet);
    let mut random = Rng::with_seed(18);
    let mut askers = 0;
    for name in fleet.keys().filter(|it| !plan.follows_store(it)) {
        let mut choice = SourceChoice::default();
        for round in 0..6 {
            let now = at(1_000 * round);
            let role = VmRole { name, zone: &zone(1), holds_term: false };
            match choice.choose(&plan, role, 295, now, random.f64()) {
                Source::Relay { name, .. } => choice.record_store_lost(&name, now),
                Source::Store => askers += 1,
            }
        }
    }
    assert!((1..80).contains(&askers), "{askers} of 282 VMs within six rounds");
}

/// A follower in search of a source, as the front drives it.
struct Searcher {
    name: Arc<str>,
    choice: SourceChoice,
    next_at_ms: u64,
    attempts: u32,
    reached_at_ms: Option<u64>,
}

impl Searcher {
    /// Returns the delay before the next try while the store counts as away.
    fn retry_delay_ms(&mut self, random: &mut Rng) -> u64 {
        let longest_ms = (300_u64 << self.attempts.min(8)).min(1_000);
        self.attempts += 1;
        (longest_ms as f64 * (0.5 + 0.5 * random.f64())) as u64
    }
}

/// Plays two seconds from when all relays have told that they lost the store. Returns when the last
/// follower reached the store, if all did, and how often the store was asked.
fn search(size: usize, is_store_away: bool, random: &mut Rng) -> (Option<u64>, usize) {
    const ANSWER_MS: u64 = 20;
    let fleet = fleet(size);
    let plan = plan(&fleet);
    let followers = fleet.keys().filter(|it| !plan.follows_store(it));
    let mut searchers: Vec<Searcher> = followers
        .map(|name| Searcher {
            name: Arc::clone(name),
            choice: SourceChoice::default(),
            next_at_ms: 0,
            attempts: 0,
            reached_at_ms: None,
        })
        .collect();
    let mut asked = 0;
    for now_ms in (0..2_000).step_by(10) {
        let mut reached = 0;
        for it in &mut searchers {
            if it.reached_at_ms.is_some() || now_ms < it.next_at_ms {
                continue;
            }
            let zone = fleet[&it.name].zone.clone().expect("a zone");
            let role = VmRole { name: &it.name, zone: &zone, holds_term: false };
            match it.choice.choose(&plan, role, size, at(now_ms), random.f64()) {
                Source::Relay { name, .. } => {
                    it.choice.record_store_lost(&name, at(now_ms));
                    let is_away = it.choice.is_store_away();
                    let delay_ms = if is_away { it.retry_delay_ms(random) } else { 0 };
                    it.next_at_ms = now_ms + ANSWER_MS + delay_ms;
                }
                Source::Store => {
                    asked += 1;
                    it.next_at_ms = now_ms + ANSWER_MS + it.retry_delay_ms(random);
                    if !is_store_away {
                        it.reached_at_ms = Some(now_ms + ANSWER_MS);
                        reached += 1;
                    }
                }
            }
        }
        if reached > 0 {
            notify(&mut searchers, now_ms + 2 * ANSWER_MS, random);
        }
    }
    let all: Option<Vec<u64>> = searchers.iter().map(|it| it.reached_at_ms).collect();
    (all.map(|it| it.into_iter().max().unwrap_or_default()), asked)
}

/// Delivers the word of a VM that has reached the store.
fn notify(searchers: &mut [Searcher], at_ms: u64, random: &mut Rng) {
    for it in searchers.iter_mut().filter(|it| it.reached_at_ms.is_none()) {
        it.choice.record_store_reached(at(at_ms));
        it.next_at_ms = it.next_at_ms.min(at_ms + random.u64(0..300));
    }
}

/// Guards against followers that serve an old configuration for seconds after all relays lost the
/// store: a relay tells within 1.9 s, and 3.0 s are allowed, whatever the number of VMs.
#[test]
fn followers_whose_relays_lost_the_store_reach_it_within_a_second() {
    for size in [20, 75, 295] {
        for seed in 0..20 {
            let (last_ms, _) = search(size, false, &mut Rng::with_seed(seed));
            let is_in_time = last_ms.is_some_and(|it| it <= 1_000);
            assert!(is_in_time, "{size} VMs, seed {seed}: {last_ms:?} ms");
        }
    }
}

/// Guards against a rush on a store that is away: about twelve VMs ask it at a time.
#[test]
fn few_followers_ask_a_store_that_is_away_for_all() {
    for size in [75, 295] {
        for seed in 0..20 {
            let (last_ms, asked) = search(size, true, &mut Rng::with_seed(seed));
            assert_eq!(last_ms, None);
            assert!((1..=80).contains(&asked), "{size} VMs, seed {seed}: {asked} in two seconds");
        }
    }
}

fn in_era(era: u64, revision: usize) -> StoreRevision {
    StoreRevision { era: StoreEra(era), revision: Revision(revision as u64) }
}

/// The keys of a store, as its changes.
#[derive(Default)]
struct Store {
    /// Changes of this era and of the copy that it began with, the last one at the index that is its
    /// revision less one.
    history: Vec<KeyChange>,
    era: u64,
}

impl Store {
    fn change(&mut self, random: &mut Rng) {
        let key: Arc<str> = format!("servers/{}", random.u8(0..12)).into();
        let revision = in_era(self.era, self.history.len() + 1);
        let value = (random.u8(0..3) > 0).then(|| vec![random.u8(..)]);
        self.history.push(KeyChange { key, value, revision });
    }

    /// Comes back from an older copy.
    fn return_to_copy(&mut self, random: &mut Rng) {
        self.history.truncate(random.usize(self.history.len() / 2..=self.history.len()));
        self.era += 1;
        // An answer tells the revisions of all keys together with the present era.
        self.history.iter_mut().for_each(|it| it.revision.era = StoreEra(self.era));
    }

    fn keys(&self) -> BTreeMap<Arc<str>, KeyChange> {
        apply(BTreeMap::new(), &self.history)
    }
}

fn apply(
    mut keys: BTreeMap<Arc<str>, KeyChange>,
    changes: &[KeyChange],
) -> BTreeMap<Arc<str>, KeyChange> {
    for it in changes {
        keys.insert(Arc::clone(&it.key), it.clone());
    }
    keys.retain(|_, it| it.value.is_some());
    keys
}

/// Followers change between relays that lag by different amounts, start anew and lose answers; in
/// the end each has the store's keys.
#[test]
fn followers_of_any_relays_end_with_the_keys_of_the_store() {
    let mut random = Rng::with_seed(181);
    for _ in 0..300 {
        let mut store = Store::default();
        let mut relays: Vec<(RelayedKeys, usize)> =
            (0..3).map(|_| (RelayedKeys::default(), 0)).collect();
        let mut follower: (Option<StoreRevision>, BTreeMap<Arc<str>, KeyChange>) =
            Default::default();
        let mut now_ms = 0;
        for step in 0..200 {
            now_ms += random.u64(0..2_000);
            (0..random.u8(0..4)).for_each(|_| store.change(&mut random));
            let is_last = step == 199;
            for (keys, known) in &mut relays {
                let until = if is_last {
                    store.history.len()
                } else {
                    random.usize(*known..=store.history.len())
                };
                if random.u8(0..40) == 0 {
                    // The relay starts anew and reads all keys.
                    *keys = RelayedKeys::default();
                    let existing = apply(BTreeMap::new(), &store.history[..until]);
                    existing.into_values().for_each(|it| keys.record(it, at(now_ms)));
                    keys.forget_until(in_era(0, until));
                } else {
                    let new = store.history[*known..until].iter().cloned();
                    new.for_each(|it| keys.record(it, at(now_ms)));
                }
                keys.expire(at(now_ms));
                *known = until;
            }
            if random.u8(0..30) == 0 {
                follower = Default::default();
            }
            let (keys, known) = &relays[random.usize(0..3)];
            let after = follower.0.unwrap_or_default();
            let answer = keys.changes_since(after);
            if random.u8(0..4) == 0 && !is_last {
                continue;
            }
            let as_of = in_era(0, *known);
            if answer.is_complete || follower.0.is_none() {
                let is_listed = |key: &Arc<str>| answer.changes.iter().any(|it| it.key == *key);
                follower.1.retain(|key, it| is_listed(key) || it.revision > as_of);
            }
            let is_newer = |it: &KeyChange| {
                follower.1.get(&it.key).is_none_or(|old| old.revision < it.revision)
            };
            let newer: Vec<KeyChange> = answer.changes.into_iter().filter(is_newer).collect();
            follower.1 = apply(std::mem::take(&mut follower.1), &newer);
            follower.0 = follower.0.max(Some(as_of));
        }
        assert_eq!(follower.1, store.keys());
    }
}

/// Revisions were compared as plain numbers: after the store had come back from an older copy, relays
/// and followers dropped what was written again. Relays notice each return at different times, and a
/// follower asks one of the old era after one of the new era.
#[test]
fn followers_of_any_relays_end_with_the_keys_of_a_store_that_returns_to_copies() {
    let mut random = Rng::with_seed(182);
    for _ in 0..300 {
        let mut store = Store::default();
        let mut relays: Vec<(RelayedKeys, u64, usize)> =
            (0..3).map(|_| (RelayedKeys::default(), 0, 0)).collect();
        let mut follower: (Option<StoreRevision>, BTreeMap<Arc<str>, KeyChange>) =
            Default::default();
        for step in 0..200 {
            let now = at(step * 700);
            (0..random.u8(0..4)).for_each(|_| store.change(&mut random));
            if random.u8(0..25) == 0 {
                store.return_to_copy(&mut random);
            }
            let is_last = step == 199;
            for (keys, era, known) in &mut relays {
                let is_of_this_era = *era == store.era;
                if !is_last && random.bool() {
                    continue;
                }
                if is_of_this_era {
                    let new = store.history[*known..].iter().cloned();
                    new.for_each(|it| keys.record(it, now));
                } else {
                    *keys = RelayedKeys::default();
                    store.keys().into_values().for_each(|it| keys.record(it, now));
                    keys.forget_until(in_era(store.era, store.history.len()));
                }
                keys.expire(now);
                (*era, *known) = (store.era, store.history.len());
            }
            let (keys, era, known) = &relays[random.usize(0..3)];
            let after = follower.0.unwrap_or_default();
            let as_of = in_era(*era, *known);
            if as_of.era < after.era {
                continue;
            }
            let answer = keys.changes_since(after);
            if answer.is_complete || follower.0.is_none() {
                let is_listed = |key: &Arc<str>| answer.changes.iter().any(|it| it.key == *key);
                follower.1.retain(|key, it| is_listed(key) || it.revision > as_of);
            }
            let is_newer = |it: &KeyChange| {
                follower.1.get(&it.key).is_none_or(|old| old.revision < it.revision)
            };
            let newer: Vec<KeyChange> = answer.changes.into_iter().filter(is_newer).collect();
            follower.1 = apply(std::mem::take(&mut follower.1), &newer);
            follower.0 = follower.0.max(Some(as_of));
        }
        assert_eq!(follower.1, store.keys());
    }
}

/// A follower that was away until its relay has forgotten a removal is not told of changes only.
#[test]
fn follower_that_was_away_for_long_gets_all_keys() {
    let change = |key: &str, revision: usize, value: Option<Vec<u8>>| KeyChange {
        key: key.into(),
        value,
        revision: in_era(0, revision),
    };
    let mut keys = RelayedKeys::default();
    keys.record(change("servers/a", 1, Some(vec![1])), at(0));
    keys.record(change("servers/b", 2, Some(vec![2])), at(0));
    keys.record(change("servers/a", 3, None), at(1_000));
    keys.expire(at(10_000));
    let answer = keys.changes_since(in_era(0, 2));
    assert!(!answer.is_complete);
    assert_eq!(answer.changes, [change("servers/a", 3, None)]);
    keys.expire(at(60_000));
    let answer = keys.changes_since(in_era(0, 2));
    assert!(answer.is_complete, "the removal is no longer known");
    assert_eq!(answer.changes, [change("servers/b", 2, Some(vec![2]))]);
    assert!(!keys.changes_since(in_era(0, 3)).is_complete);
}

/// A VM's boot clock, which differs from the others' by a constant.
struct Clock(u64);

impl Clock {
    fn at(&self, true_ms: u64) -> Moment {
        at(self.0 + true_ms)
    }
}

/// Questions, answers and proofs in any order, late, held and repeated: what an answer proves is
/// never later than the relay's question to the store.
#[test]
fn relayed_confirmation_is_never_newer_than_the_question_to_the_store() {
    let mut random = Rng::with_seed(1805);
    for _ in 0..5_000 {
        let relay_clock = Clock(random.u64(0..1_000_000));
        let own_clock = Clock(random.u64(0..1_000_000));
        let mut own = ConfigurationFreshness::default();
        let mut latest_true_ms = None;
        for _ in 0..4 {
            let store_asked_ms = random.u64(0..10_000);
            let mut relay = ConfigurationFreshness::default();
            relay.confirm(relay_clock.at(store_asked_ms));
            let asked_ms = random.u64(0..12_000);
            let arrived_ms = asked_ms + random.u64(0..3_000);
            let answered_ms = store_asked_ms.max(arrived_ms) + random.u64(0..3_000);
            let age = relay.age(relay_clock.at(answered_ms)).expect("confirmed");
            let held = relay_clock.at(answered_ms).since(relay_clock.at(arrived_ms));
            for _ in 0..random.u8(1..3) {
                own.confirm_relayed(own_clock.at(asked_ms), held, age);
            }
            latest_true_ms = latest_true_ms.max(Some(store_asked_ms));
        }
        let now_ms = 20_000;
        let proved = own.age(own_clock.at(now_ms));
        let true_age = Duration::from_millis(now_ms - latest_true_ms.expect("asked"));
        assert!(proved.is_none_or(|it| it >= true_age), "{proved:?} < {true_age:?}");
    }
}

/// Questions and answers, late and held: no follower uses a missing server for longer than its relay.
#[test]
fn period_in_which_entries_reappear_is_never_longer_at_a_follower() {
    let mut random = Rng::with_seed(26);
    for _ in 0..5_000 {
        let relay_clock = Clock(random.u64(0..1_000_000));
        let own_clock = Clock(random.u64(0..1_000_000));
        let end_ms = random.u64(5_000..20_000);
        let asked_ms = random.u64(0..5_000);
        let arrived_ms = asked_ms + random.u64(0..3_000);
        let answered_ms = arrived_ms + random.u64(0..3_000);
        let on_relay = |true_ms| relay_clock.at(true_ms);
        let outage =
            RelayedOutage::new(on_relay(arrived_ms), on_relay(answered_ms), on_relay(end_ms));
        let until = outage.reappear_until(own_clock.at(asked_ms));
        let end = own_clock.at(end_ms.max(answered_ms));
        assert!(until <= end);
        assert_eq!(end.since(until), Duration::from_millis(arrived_ms - asked_ms));
    }
}

/// A removal in an answer, or in a list that lacks a key, is what an outage makes doubtful.
#[test]
fn answer_tells_whether_keys_may_have_been_removed() {
    let change = |key: &str, revision: usize, value: Option<Vec<u8>>| KeyChange {
        key: key.into(),
        value,
        revision: in_era(0, revision),
    };
    let mut keys = RelayedKeys::default();
    keys.record(change("servers/a", 1, Some(vec![1])), at(0));
    keys.record(change("servers/b", 2, Some(vec![2])), at(0));
    assert!(!keys.changes_since(in_era(0, 1)).may_remove());
    keys.record(change("servers/a", 3, None), at(0));
    assert!(keys.changes_since(in_era(0, 2)).may_remove());
    assert!(!keys.changes_since(in_era(0, 3)).may_remove());
    keys.forget_until(in_era(0, 4));
    assert!(keys.changes_since(in_era(0, 3)).may_remove());
}

/// A VM that booted a second ago: a confirmation from before its boot proves nothing to it.
#[test]
fn confirmation_from_before_the_boot_is_ignored() {
    let mut freshness = ConfigurationFreshness::default();
    freshness.confirm_relayed(at(1_000), Duration::ZERO, Duration::from_secs(4));
    assert_eq!(freshness.age(at(1_100)), None);
}
