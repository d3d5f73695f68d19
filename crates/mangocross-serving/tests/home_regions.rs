//! Home regions: a request reaches no server in another region.

use mangocross_serving::HomeRegions;
use mangocross_types::Region;

fn region(name: &str) -> Region {
    name.parse().expect("a valid name")
}

fn homes(names: &[&str]) -> HomeRegions {
    HomeRegions::new(names.iter().map(|it| region(it)))
}

#[test]
fn request_stays_in_its_home_regions() {
    let north = homes(&["north"]);
    assert!(north.allows_server(Some(&region("north"))));
    assert!(!north.allows_server(Some(&region("south"))));
    assert!(!north.allows_server(None), "the region of the zone is not known");
    let none = homes(&[]);
    assert!(none.allows_server(Some(&region("south"))) && none.allows_server(None));
}

#[test]
fn restrictions_of_route_and_customer_both_apply() {
    let both = homes(&["north", "west"]).and(&homes(&["west", "south"]));
    assert_eq!(both, homes(&["west"]));
    let nowhere = homes(&["north"]).and(&homes(&["south"]));
    for it in ["north", "south"] {
        assert!(!nowhere.allows_server(Some(&region(it))), "no region is allowed by both");
    }
    assert_eq!(homes(&["north"]).and(&homes(&[])), homes(&["north"]));
    assert_eq!(homes(&[]).and(&homes(&["north"])), homes(&["north"]));
}

#[test]
fn body_is_passed_on_within_homes_and_the_own_region() {
    let (north, south, west) = (region("north"), region("south"), region("west"));
    let homes = homes(&["north"]);
    assert!(homes.allows_entry_vm(Some(&north), Some(&south)));
    assert!(homes.allows_entry_vm(Some(&south), Some(&south)));
    assert!(!homes.allows_entry_vm(Some(&west), Some(&south)));
    assert!(!homes.allows_entry_vm(None, None), "neither region is known");
}
