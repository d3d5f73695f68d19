//! Checks that a group accepts no requests while a member is missing.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::EngineState;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::VmId;
use standins::EngineStandin;

use crate::soak::Record;

/// Time between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time after the loss of a member in which its group may still accept a request: the rest
/// of a health lease and a request in flight.
///
/// Groups must stay incomplete for longer, or the monitor detects nothing: see the soak's settings.
const ACCEPTANCE_AFTER_LOSS_MAX: Duration = Duration::from_millis(3_500);

type GroupKey = (GroupId, Incarnation);

/// Monitors the engines until `stop` is set.
///
/// A group that accepts a request after a member has been missing for longer than a health lease
/// can last violates the guarantee. `sizes` gives the number of members of each group.
pub fn monitor_groups(
    engines: &BTreeMap<VmId, EngineStandin>,
    record: &Record,
    sizes: &BTreeMap<GroupId, usize>,
    stop: &AtomicBool,
) {
    let mut missing_since: BTreeMap<GroupKey, Instant> = BTreeMap::new();
    let mut accepted: BTreeMap<String, u64> = BTreeMap::new();
    while !stop.load(Ordering::SeqCst) {
        let now = Instant::now();
        let present = present_members(engines);
        for (key, members) in &present {
            let size = sizes.get(&key.0).copied().unwrap_or(usize::MAX);
            if *members >= size {
                missing_since.remove(key);
            } else {
                missing_since.entry(key.clone()).or_insert(now);
            }
        }
        for (vm, engine) in engines {
            let count = engine.faults().count("generations");
            let before = accepted.insert(vm.to_string(), count).unwrap_or(count);
            let report = engine.report();
            let Some(group) = report.group.filter(|_| count > before && report.rank == Rank(0))
            else {
                continue;
            };
            let key = (group, report.incarnation);
            let missing = missing_since.get(&key).map(|it| now.duration_since(*it));
            if let Some(missing) = missing.filter(|it| *it > ACCEPTANCE_AFTER_LOSS_MAX) {
                let observed =
                    format!("{key:?} accepted a request {missing:?} after it lost a member");
                record.violation("incomplete groups accept nothing", observed);
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn present_members(engines: &BTreeMap<VmId, EngineStandin>) -> BTreeMap<GroupKey, usize> {
    let mut present = BTreeMap::new();
    for engine in engines.values() {
        let report = engine.report();
        let is_available = report.state == EngineState::Ready && !engine.faults().get().frozen;
        if let Some(group) = report.group {
            *present.entry((group, report.incarnation)).or_default() += usize::from(is_available);
        }
    }
    present
}
