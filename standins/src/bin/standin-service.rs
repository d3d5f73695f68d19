//! Stand-in for the service, as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use standins::ServiceStandin;
use standins::run_until_killed;

/// Stand-in for the service.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match ServiceStandin::bind(arguments.listen) {
        Ok(_standin) => run_until_killed(),
        Err(error) => {
            eprintln!("{} cannot be bound: {error}", arguments.listen);
            ExitCode::FAILURE
        }
    }
}
