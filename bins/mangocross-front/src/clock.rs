//! The clock of the VM.

use std::time::Duration;

use mangocross_serving::BootClock;
use mangocross_serving::Moment;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the time since boot, including time while the VM is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Moment::after_boot(Duration::new(seconds, nanoseconds))
    }
}
