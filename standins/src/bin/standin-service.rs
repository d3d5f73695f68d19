//! Stand-in for a plain service, as a process.

use std::process::ExitCode;

use standins::ServiceStandin;
use standins::run_standin;

fn main() -> ExitCode {
    run_standin("Stand-in for a plain service", ServiceStandin::bind)
}
