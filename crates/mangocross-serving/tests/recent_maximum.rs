//! The largest recent value of a limit.

use std::time::Duration;

use mangocross_serving::Moment;
use mangocross_serving::RecentMaximum;

/// Guards against a limit that is applied before those who go by the earlier one know it.
#[test]
fn smaller_value_counts_after_the_period() {
    let at = |s| Moment::after_boot(Duration::from_secs(s));
    let seconds = Duration::from_secs;
    let mut maximum = RecentMaximum::new(seconds(4));
    assert_eq!(maximum.record(seconds(15), at(1)), seconds(15));
    assert_eq!(maximum.record(seconds(5), at(2)), seconds(15));
    assert_eq!(maximum.record(seconds(5), at(4)), seconds(15));
    assert_eq!(maximum.record(seconds(5), at(5)), seconds(5));
    assert_eq!(maximum.record(seconds(20), at(6)), seconds(20));
}
