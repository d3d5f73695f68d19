//! Results of probes that arrive in any order, and the interval between probes.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ProbeInterval;
use mangocross_coordination::ProbeTable;
use mangocross_types::BackendReport;
use mangocross_types::EngineState;
use mangocross_types::VmId;

fn report(steps: u64) -> BackendReport {
    serde_json::from_value(serde_json::json!({
        "vm": "vm-1", "state": "idle", "group": null, "incarnation": 0, "rank": 0,
        "role": "serving", "model_version": null, "cached_versions": [], "running": 0,
        "queued": 0, "load_age_ms": 0, "steps": steps, "fencing_number": 0,
    }))
    .expect("a report")
}

/// A probe sent this many milliseconds after the start, and whether it is answered.
type Sent = (u64, bool);

/// The table shows the result of the newest probe, in any order of arrival.
#[test]
fn newest_probe_wins_in_any_arrival_order() {
    let (start, vm) = (Instant::now(), "vm-1".parse::<VmId>().expect("a valid id"));
    let ttl = Duration::from_secs(10);
    let mut random = fastrand::Rng::with_seed(11);
    for _ in 0..500 {
        let mut sent: Vec<Sent> = (0..6).map(|it| (it * 500, random.bool())).collect();
        let (newest, is_answered) = sent[5];
        random.shuffle(&mut sent);
        let mut table = ProbeTable::default();
        let received = start + Duration::from_secs(4);
        for (sent_ms, answered) in &sent {
            let sent_at = start + Duration::from_millis(*sent_ms);
            match answered {
                true => table.record_answer(&vm, sent_at, received, report(*sent_ms)),
                false => table.record_failure(&vm, sent_at, "silent".into()),
            }
        }
        let shown = table.report(&vm, received, ttl).map(|it| it.steps);
        assert_eq!(shown, is_answered.then_some(newest), "{sent:?}");
    }
}

#[test]
fn unstable_vm_is_probed_more_often_for_a_bounded_time() {
    let usual = Duration::from_secs(1);
    let start = Instant::now();
    let day = Duration::from_secs(86_400);
    let count = |next: fn(&mut ProbeInterval, Instant) -> Duration| {
        let (mut pace, mut now, mut probes) = (ProbeInterval::new(usual), start, 0);
        while now < start + day {
            now += next(&mut pace, now);
            probes += 1;
        }
        probes
    };
    let steady = count(|pace, now| pace.after_answer(EngineState::Ready, now));
    let gone = count(ProbeInterval::after_failure);
    let loading = count(|pace, now| pace.after_answer(EngineState::Loading, now));
    assert!(gone > steady && gone <= steady + steady / 1_000, "{gone} against {steady}");
    assert!(loading > steady && loading <= steady + steady / 1_000, "{loading} against {steady}");
    let mut pace = ProbeInterval::new(usual);
    for second in 0..100 {
        let now = start + Duration::from_secs(second);
        assert!(pace.after_failure(now) <= usual);
        if second % 20 == 0 {
            assert_eq!(pace.after_answer(EngineState::Idle, now), usual);
            assert!(
                pace.after_failure(now) < usual,
                "an answer does not restart the shorter interval"
            );
        }
    }
}
