//! Tests of which idle VMs preload weights, and how many at once.

use mangocross_policy::PreloadNeed;
use mangocross_policy::PreloadSpare;
use mangocross_policy::choose_preloads;
use mangocross_policy::preload_slots;

fn need(version: &str, members: u32) -> PreloadNeed {
    PreloadNeed { model_version: version.parse().unwrap(), members }
}

fn spare(vm: &str, cached: &[&str]) -> PreloadSpare {
    let cached_versions = cached.iter().map(|it| it.parse().unwrap()).collect();
    PreloadSpare { vm: vm.parse().unwrap(), cached_versions }
}

fn chosen(needs: &[PreloadNeed], spares: &[PreloadSpare]) -> Vec<(String, String)> {
    let preloads = choose_preloads(needs, spares).into_iter();
    preloads.map(|it| (it.vm.to_string(), it.model_version.to_string())).collect()
}

fn pair(vm: &str, version: &str) -> (String, String) {
    (vm.to_owned(), version.to_owned())
}

#[test]
fn spares_are_divided_by_the_members_that_they_stand_in_for() {
    let needs = [need("large", 12), need("small", 4)];
    let spares: Vec<PreloadSpare> = ["a", "b", "c", "d"].map(|it| spare(it, &[])).into();
    let expected = [pair("a", "large"), pair("b", "large"), pair("c", "large"), pair("d", "small")];
    assert_eq!(chosen(&needs, &spares), expected);
}

#[test]
fn spare_that_holds_a_needed_version_keeps_it() {
    let needs = [need("new", 8), need("other", 1)];
    let spares = [spare("a", &["other"]), spare("b", &["old"]), spare("c", &["old", "new"])];
    assert_eq!(chosen(&needs, &spares), [pair("b", "new")]);
    assert_eq!(chosen(&[], &spares), []);
    assert_eq!(chosen(&[need("new", 0)], &spares), []);
}

#[test]
fn owners_together_leave_half_of_the_slots_to_groups() {
    assert_eq!(preload_slots(1, 1, 1, 0), 0);
    assert_eq!(preload_slots(4, 8, 1, 0), 0);
    assert_eq!(preload_slots(8, 8, 1, 0), 4);
    for owners in [1, 7, 350] {
        let rounds = 200_u32;
        let started = |round: u32| {
            let seeds = (0..u64::from(owners)).map(|it| u64::from(round) * 1_000 + it);
            seeds.map(|it| preload_slots(8, 8, owners, it)).sum::<u32>()
        };
        let mean = f64::from((0..rounds).map(started).sum::<u32>()) / f64::from(rounds);
        assert!((3.0..=5.0).contains(&mean), "{owners} owners start {mean}");
    }
}
