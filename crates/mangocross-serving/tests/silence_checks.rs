//! Judging the silence of servers by an entry VM that is late itself.

use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::Moment;
use mangocross_serving::ProgressTable;
use mangocross_serving::SilenceChecks;
use mangocross_types::VmId;

const INTERVAL_MS: u64 = 50;
/// Time between two events of the server, shorter than the silence of a suspect group.
const EVENT_PAUSE_MS: u64 = 500;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn head() -> VmId {
    "head".parse().expect("a valid id")
}

fn table_with_stream() -> ProgressTable {
    let mut table = ProgressTable::default();
    table.record_start(&head(), at(0));
    table.record_progress(&head(), at(0));
    table.record_first_event(&head());
    table
}

/// Guards against groups that are suspect because this process was late: it judged their silence
/// before it had read what they had sent.
#[test]
fn late_checks_make_no_sound_group_suspect() {
    let mut random = Rng::with_seed(23);
    for _ in 0..200 {
        let mut table = table_with_stream();
        let mut checks = SilenceChecks::new(Duration::from_millis(INTERVAL_MS), at(0));
        let (mut now_ms, mut read_ms) = (0, 0);
        for _ in 0..400 {
            // The process does not run for a while, and its next check comes first when it does.
            let paused_ms = if random.u8(0..4) == 0 { random.u64(0..2_000) } else { 0 };
            let slept_ms = random.u64(0..=INTERVAL_MS);
            let read_until_ms =
                if paused_ms == 0 { now_ms + INTERVAL_MS } else { now_ms + slept_ms };
            while read_ms + EVENT_PAUSE_MS <= read_until_ms {
                read_ms += EVENT_PAUSE_MS;
                table.record_progress(&head(), at(read_ms));
            }
            now_ms = (now_ms + INTERVAL_MS).max(now_ms + slept_ms + paused_ms);
            if let Some(judged_at) = checks.next(at(now_ms)) {
                let suspects = table.suspects(judged_at).count();
                assert_eq!(suspects, 0, "at {now_ms} ms, last event read at {read_ms} ms");
            }
        }
    }
}

/// A process that is a little late each time still finds stalled groups.
#[test]
fn stalled_group_is_suspect_although_checks_are_late() {
    let table = table_with_stream();
    let mut checks = SilenceChecks::new(Duration::from_millis(INTERVAL_MS), at(0));
    let late = (80..1_000).step_by(80);
    let judged = late.filter_map(|ms| Some((ms, checks.next(at(ms))?)));
    let found = judged.filter(|(_, it)| table.suspects(*it).count() > 0).map(|(ms, _)| ms).next();
    assert_eq!(found, Some(720));
}
