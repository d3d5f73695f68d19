//! Tests of what confirms the configuration in use while a newer version cannot be read.

use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::ConfigurationFreshness;
use mangocross_serving::Moment;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;

const REVOKE_WITHIN: Duration = Duration::from_millis(4000);
const STEP_MS: u64 = 100;
const STEPS: u64 = 400;
const HISTORIES: u64 = 2000;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(100_000 + ms))
}

fn revision(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era: StoreEra(era), revision: Revision(revision) }
}

/// Returns the state of a VM that uses version 7, which the store showed at revision 50 of the first era.
fn using_version_7() -> ConfigurationFreshness {
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    freshness.record_readable(7, revision(1, 50));
    freshness.confirm(at(0));
    assert!(freshness.is_fresh_at(at(0), REVOKE_WITHIN) && !freshness.lacks_newest());
    freshness
}

/// Guards against keys that stay in force since the store still confirms the version in use.
#[test]
fn unreadable_version_ends_confirmations() {
    for number in [None, Some(7), Some(8), Some(u64::MAX)] {
        let mut freshness = using_version_7();
        assert!(freshness.record_unreadable(number, revision(1, 60), Some(7)), "{number:?}");
        freshness.confirm(at(3000));
        freshness.confirm_relayed(at(3000), Duration::ZERO, Duration::ZERO);
        assert!(freshness.lacks_newest(), "{number:?}");
        assert!(!freshness.is_fresh_at(at(4000), REVOKE_WITHIN), "{number:?}");
        freshness.record_readable(9, revision(1, 70));
        freshness.confirm(at(5000));
        assert!(freshness.is_fresh_at(at(5000), REVOKE_WITHIN) && !freshness.lacks_newest());
    }
}

/// Guards against answers that were overtaken and count as the newest.
#[test]
fn overtaken_answers_change_nothing() {
    let mut freshness = using_version_7();
    assert!(!freshness.record_unreadable(Some(6), revision(1, 40), Some(7)));
    assert!(!freshness.lacks_newest());
    assert!(freshness.record_unreadable(Some(8), revision(1, 60), Some(7)));
    assert!(!freshness.record_unreadable(Some(8), revision(1, 60), Some(7)), "it is known");
    freshness.record_readable(7, revision(1, 50));
    assert!(freshness.lacks_newest(), "version 7 was shown before");
}

/// Guards against an older version that counts as the newest since the store came back from a copy with
/// it.
#[test]
fn older_version_of_a_copy_is_not_the_newest() {
    for number in [None, Some(8)] {
        let mut freshness = using_version_7();
        freshness.record_unreadable(number, revision(1, 60), Some(7));
        freshness.begin_era(StoreEra(2), at(1000));
        freshness.record_readable(7, revision(2, 30));
        freshness.confirm(at(60_000));
        assert!(freshness.lacks_newest(), "{number:?}");
        assert!(!freshness.is_fresh_at(at(60_000), REVOKE_WITHIN), "{number:?}");
        // The operators write it again.
        freshness.record_unreadable(number, revision(2, 40), Some(7));
        freshness.record_readable(7, revision(2, 30));
        assert!(freshness.lacks_newest(), "{number:?}");
        freshness.record_readable(8, revision(2, 50));
        freshness.confirm(at(61_000));
        assert!(freshness.is_fresh_at(at(61_000), REVOKE_WITHIN), "{number:?}");
    }
}

/// Guards against a version of an old copy that cannot be read and stands in the way of the newest one
/// for ever.
#[test]
fn unreadable_version_of_a_copy_ends_with_the_newest_one() {
    let mut freshness = using_version_7();
    freshness.begin_era(StoreEra(2), at(1000));
    freshness.record_unreadable(Some(5), revision(2, 30), Some(7));
    assert!(freshness.lacks_newest());
    freshness.record_readable(7, revision(2, 40));
    freshness.confirm(at(60_000));
    assert!(freshness.is_fresh_at(at(60_000), REVOKE_WITHIN));
}

/// Plays versions of which some cannot be read, and returns of the store to older copies, at one VM.
fn play(seed: u64) -> Result<(), String> {
    let mut random = Rng::with_seed(seed);
    let mut freshness = ConfigurationFreshness::default();
    freshness.set_first_era(StoreEra(1), at(0));
    // Versions in the order in which they were written, whether each can be read, and when it was
    // acknowledged.
    let mut written: Vec<(u64, bool, u64)> = vec![(1, true, 0)];
    let (mut era, mut latest, mut shown, mut in_use) = (1_u64, 1_u64, 0_usize, None::<u64>);
    let mut rewrite_at = None::<u64>;
    for step in 0..STEPS {
        let now = step * STEP_MS;
        match random.u32(..40) {
            0..=2 => {
                let version = written.last().map_or(0, |it| it.0) + random.u64(1..4);
                written.push((version, random.u32(..3) > 0, now));
                (shown, rewrite_at) = (written.len() - 1, None);
                latest += 1;
            }
            3 if rewrite_at.is_none() => {
                era += 1;
                latest = latest.saturating_sub(2) + 1;
                shown = shown.saturating_sub(random.usize(..3));
                rewrite_at = Some(now + 1000);
                freshness.begin_era(StoreEra(era), at(now));
            }
            _ => {}
        }
        if rewrite_at.is_some_and(|it| it <= now) {
            (shown, rewrite_at) = (written.len() - 1, None);
            latest += 1;
        }
        if random.bool() {
            let (version, can_be_read, _) = written[shown];
            match can_be_read {
                true => {
                    freshness.record_readable(version, revision(era, latest));
                    in_use = in_use.max(Some(version));
                }
                false => {
                    let number = random.bool().then_some(version);
                    freshness.record_unreadable(number, revision(era, latest), in_use);
                }
            }
            freshness.confirm(at(now));
        }
        // The first version after the one in use must not be missed for longer than the bound.
        let newer = written.iter().find(|it| Some(it.0) > in_use);
        let is_over = newer.is_some_and(|it| at(now).since(at(it.2)) > REVOKE_WITHIN);
        if is_over && freshness.is_fresh_at(at(now), REVOKE_WITHIN) {
            return Err(format!(
                "seed {seed}, {now} ms: {in_use:?} is fresh, {newer:?} was written"
            ));
        }
    }
    // The next version that can be read ends it.
    let version = written.last().map_or(0, |it| it.0) + 10;
    freshness.record_readable(version, revision(era, latest + 1));
    freshness.confirm(at(STEPS * STEP_MS + 60_000));
    match freshness.is_fresh_at(at(STEPS * STEP_MS + 60_000), REVOKE_WITHIN) {
        true => Ok(()),
        false => Err(format!("seed {seed}: not fresh with the newest version")),
    }
}

/// Guards against any history in which a key stays in force past its bound, or the VM does not recover.
#[test]
fn no_history_of_unreadable_versions_leaves_an_older_one_in_force() {
    (0..HISTORIES).for_each(|seed| play(seed).unwrap_or_else(|it| panic!("{it}")));
}
