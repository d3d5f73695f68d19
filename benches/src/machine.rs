//! Resource usage of threads and processes, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Kernel clock ticks per second, the unit of CPU time in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the CPU time that this thread has used.
pub fn thread_cpu() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|it| it.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

/// Returns the CPU time that a process has used.
pub fn process_cpu(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> =
        after_name.split_whitespace().map(|it| it.parse().unwrap_or_default()).collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Returns a process's resident memory in kilobytes.
pub fn resident_kb(pid: u32) -> u64 {
    status_number(pid, "VmRSS:")
}

/// Returns the number of a process's threads.
pub fn threads(pid: u32) -> u64 {
    status_number(pid, "Threads:")
}

fn status_number(pid: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Traffic received on the loopback device of this network namespace.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Bytes, headers included.
    pub bytes: u64,
    /// UDP datagrams received.
    pub datagrams: u64,
}

/// Returns the traffic received on the loopback device of this network namespace so far.
pub fn loopback_traffic() -> Traffic {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let loopback = devices.lines().find_map(|it| it.trim_start().strip_prefix("lo:"));
    let protocols = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let udp = protocols.lines().filter_map(|it| it.strip_prefix("Udp:")).nth(1);
    Traffic { bytes: first_number(loopback), datagrams: first_number(udp) }
}

fn first_number(line: Option<&str>) -> u64 {
    let first = line.and_then(|it| it.split_whitespace().next());
    first.and_then(|it| it.parse().ok()).unwrap_or_default()
}
