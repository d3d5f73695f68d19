//! Tests of prefix tables whose cache events come late, with gaps or in a new epoch.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::CacheEvent;
use mangocross_policy::CacheFeed;
use mangocross_policy::CacheSequence;
use mangocross_policy::Candidate;
use mangocross_policy::PrefixHash;
use mangocross_policy::PrefixResidency;
use mangocross_policy::PrefixTable;
use mangocross_policy::PublishedEvent;
use mangocross_policy::choose_group;
use mangocross_types::GroupId;

const CACHE_MAX: usize = 4;
const PREFIXES: u64 = 12;

fn group() -> GroupId {
    "letters-1".parse().expect("a valid id")
}

/// A cache that evicts the least recently used prefix and publishes its changes.
struct Cache {
    held: VecDeque<PrefixHash>,
    epoch: u64,
    number: u64,
    published: Vec<PublishedEvent>,
}

impl Cache {
    fn new(epoch: u64, now: Instant) -> Self {
        let mut cache = Self { held: VecDeque::new(), epoch, number: 0, published: Vec::new() };
        cache.publish(CacheEvent::Cleared, now);
        cache
    }

    fn publish(&mut self, event: CacheEvent, now: Instant) {
        self.number += 1;
        let sequence = CacheSequence { epoch: self.epoch, number: self.number };
        self.published.push(PublishedEvent { sequence, event, published_at: now });
    }

    fn touch(&mut self, prefix: PrefixHash, now: Instant) {
        if let Some(place) = self.held.iter().position(|it| *it == prefix) {
            self.held.remove(place);
        } else {
            self.publish(CacheEvent::Stored(prefix), now);
        }
        self.held.push_back(prefix);
        if self.held.len() > CACHE_MAX
            && let Some(dropped) = self.held.pop_front()
        {
            self.publish(CacheEvent::Evicted(dropped), now);
        }
    }
}

fn apply(table: &mut PrefixTable, it: &PublishedEvent) {
    table.apply_event(&group(), it.sequence, it.event, it.published_at);
}

/// Without lost events a confirmed prefix is cached; after a lost event, no earlier prefix is
/// confirmed.
#[test]
fn confirmed_prefixes_agree_with_the_events() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (start, mut epoch) = (Instant::now(), 1);
        let mut cache = Cache::new(epoch, start);
        let mut table = PrefixTable::new(CACHE_MAX);
        let mut confirmed_by_events: Vec<PrefixHash> = Vec::new();
        let mut applied = Vec::new();
        let (mut lost, mut seen_epoch) = (false, epoch);
        for step in 0..200 {
            let now = start + Duration::from_millis(step);
            if random.u32(..50) == 0 {
                epoch += 1;
                cache = Cache::new(epoch, now);
            }
            cache.touch(PrefixHash(random.u64(..PREFIXES)), now);
            for it in std::mem::take(&mut cache.published) {
                if random.u32(..20) == 0 {
                    lost = true;
                    continue;
                }
                let is_new_epoch =
                    std::mem::replace(&mut seen_epoch, it.sequence.epoch) != seen_epoch;
                if std::mem::take(&mut lost) || is_new_epoch {
                    confirmed_by_events.clear();
                }
                match it.event {
                    CacheEvent::Stored(prefix) => confirmed_by_events.push(prefix),
                    CacheEvent::Evicted(prefix) => confirmed_by_events.retain(|it| *it != prefix),
                    CacheEvent::Cleared => confirmed_by_events.clear(),
                }
                apply(&mut table, &it);
                applied.retain(|old: &PublishedEvent| old.sequence.epoch == it.sequence.epoch);
                applied.push(it);
                // A repeated event, for example from a second owner, changes nothing.
                apply(&mut table, &applied[random.usize(..applied.len())]);
            }
            for prefix in (0..PREFIXES).map(PrefixHash) {
                if table.residency(&group(), prefix) == PrefixResidency::Confirmed {
                    assert!(confirmed_by_events.contains(&prefix), "seed {seed} step {step}");
                    assert!(lost || cache.held.contains(&prefix), "seed {seed} step {step}");
                }
            }
        }
    }
}

#[test]
fn eviction_older_than_an_own_request_leaves_an_assumed_prefix() {
    let (start, prefix) = (Instant::now(), PrefixHash(7));
    let mut cache = Cache::new(1, start);
    cache.touch(prefix, start);
    cache.publish(CacheEvent::Evicted(prefix), start + Duration::from_secs(1));
    let mut table = PrefixTable::new(CACHE_MAX);
    table.record_sent(&group(), prefix, start + Duration::from_secs(2));
    cache.published.iter().for_each(|it| apply(&mut table, it));
    assert_eq!(table.residency(&group(), prefix), PrefixResidency::Assumed);
    cache.publish(CacheEvent::Evicted(prefix), start + Duration::from_secs(3));
    apply(&mut table, cache.published.last().expect("an event"));
    assert_eq!(table.residency(&group(), prefix), PrefixResidency::Unknown);
}

#[test]
fn holder_is_chosen_only_while_its_load_is_slightly_higher() {
    let [near, far] = [0, 9].map(|load| {
        let holder = Candidate::new("holder".parse().expect("a valid id"), 0, load);
        let holder = holder.prefix_residency(PrefixResidency::Confirmed);
        let others = (0..8).map(|it| format!("other-{it}").parse().expect("a valid id"));
        let others = others.map(|it| Candidate::new(it, 0, 0));
        let candidates: Vec<Candidate> = others.chain([holder]).collect();
        let chosen = |seed| choose_group(&candidates, Some(PrefixHash(1)), seed).cloned();
        (0..100).filter(|it| chosen(*it).is_some_and(|it| it.group.as_str() == "holder")).count()
    });
    assert_eq!(near, 100);
    assert!(far < 100, "{far}");
}

/// Each event is returned once; a new epoch replaces the old events.
#[test]
fn feed_returns_each_event_once() {
    let now = Instant::now();
    let mut cache = Cache::new(1, now);
    let mut feed = CacheFeed::default();
    (0..3).for_each(|it| cache.touch(PrefixHash(it), now));
    cache.published.iter().for_each(|it| feed.push(*it));
    let first: Vec<PublishedEvent> = feed.after(None).collect();
    assert_eq!(first, cache.published);
    let position = feed.newest();
    assert_eq!(feed.after(position).count(), 0);
    cache.touch(PrefixHash(3), now);
    feed.push(*cache.published.last().expect("an event"));
    feed.push(*cache.published.last().expect("an event"));
    assert_eq!(feed.after(position).count(), 1);
    let restarted = Cache::new(2, now);
    restarted.published.iter().for_each(|it| feed.push(*it));
    assert_eq!(feed.after(position).collect::<Vec<_>>(), restarted.published);
}
