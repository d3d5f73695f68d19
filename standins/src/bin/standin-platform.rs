//! Stand-in for the platform's list of VMs and its weight store, as a process.

use std::process::ExitCode;

use standins::PlatformStandin;
use standins::run_standin;

fn main() -> ExitCode {
    run_standin(
        "Stand-in for the platform's list of VMs and its weight store",
        PlatformStandin::bind,
    )
}
