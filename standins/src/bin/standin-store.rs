//! Stand-in for the platform's store, as a process.

use std::process::ExitCode;

use standins::StoreStandin;
use standins::run_standin;

fn main() -> ExitCode {
    run_standin("Stand-in for the platform's store", StoreStandin::bind)
}
