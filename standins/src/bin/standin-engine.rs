//! Stand-in for a model engine, as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use mangocross_types::VmId;
use standins::EngineOptions;
use standins::EngineStandin;
use standins::serve_until_killed;

/// Stand-in for a model engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// The VM that the engine runs on
    #[bpaf(argument("VM"))]
    vm: VmId,
    /// Time to load weights, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    load_ms: u64,
    /// Time to the first token, in milliseconds
    #[bpaf(argument("MS"), fallback(20))]
    first_token_ms: u64,
    /// Time between tokens, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    token_ms: u64,
    /// Weight store to ask before a load
    #[bpaf(argument("ADDRESS"), optional)]
    weight_store: Option<SocketAddr>,
    /// Prompt prefixes that the cache holds
    #[bpaf(argument("N"), fallback(64))]
    cached_prefixes_max: usize,
    /// Refuse orders with an old fencing number
    honours_fence: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let options = EngineOptions {
        vm: arguments.vm,
        load_ms: arguments.load_ms,
        first_token_ms: arguments.first_token_ms,
        token_ms: arguments.token_ms,
        weight_store: arguments.weight_store,
        honours_fence: arguments.honours_fence,
        cached_prefixes_max: arguments.cached_prefixes_max,
    };
    serve_until_killed(arguments.listen, EngineStandin::bind(arguments.listen, options))
}
