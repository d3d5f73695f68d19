//! Fault switches and event counts of all stand-ins.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use bpaf::Parser;
use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Fault switches and event counts of a stand-in.
#[derive(Debug, Default)]
pub struct FaultControl<F> {
    faults: Mutex<F>,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl<F: Clone + Default + Serialize + DeserializeOwned> FaultControl<F> {
    /// Returns the current switches.
    pub fn get(&self) -> F {
        lock(&self.faults).clone()
    }

    /// Replaces the switches.
    pub fn set(&self, faults: F) {
        *lock(&self.faults) = faults;
    }

    /// Increments a count.
    pub fn increment(&self, name: &str) {
        *lock(&self.counts).entry(name.to_owned()).or_default() += 1;
    }

    /// Returns a count.
    pub fn count(&self, name: &str) -> u64 {
        lock(&self.counts).get(name).copied().unwrap_or_default()
    }

    /// Answers requests for `/fault` and `/counts`; returns other requests.
    pub fn answer_control_request(&self, mut request: ServerRequest) -> Option<ServerRequest> {
        match (request.method(), request.path()) {
            (Some(HttpMethod::Get), "/fault") => request.respond_json(200, &self.get()),
            (Some(HttpMethod::Get), "/counts") => {
                let counts = lock(&self.counts).clone();
                request.respond_json(200, &counts);
            }
            (Some(HttpMethod::Post), "/fault") => match request.read_json::<F>() {
                Ok(faults) => {
                    self.set(faults);
                    request.respond(200, &[], Vec::new());
                }
                Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
            },
            _ => return Some(request),
        }
        None
    }
}

/// Locks a mutex and ignores poisoning, since a stand-in keeps no invariants across a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks the thread for a number of milliseconds.
pub(crate) fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

#[derive(Debug, Clone, Bpaf)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
}

/// Runs a stand-in whose only option is its address, as a process.
pub fn run_standin<T>(
    summary: &'static str,
    bind: impl FnOnce(SocketAddr) -> io::Result<T>,
) -> ExitCode {
    let arguments = arguments().to_options().descr(summary).run();
    serve_until_killed(arguments.listen, bind(arguments.listen))
}

/// Keeps a bound stand-in alive until the process is killed.
pub fn serve_until_killed<T>(address: SocketAddr, bound: io::Result<T>) -> ExitCode {
    match bound {
        Ok(_standin) => loop {
            thread::park();
        },
        Err(error) => {
            eprintln!("{address} cannot be bound: {error}");
            ExitCode::FAILURE
        }
    }
}
