//! Stand-in for a plain service whose calls have effects.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use serde::Deserialize;
use serde::Serialize;

use crate::FaultControl;
use crate::control::lock;
use crate::control::pause;

/// Time until status 500 is sent in place of a lost answer, in milliseconds.
const LOST_ANSWER_MS: u64 = 30_000;

/// Time between checks of whether a call is still held, in milliseconds.
const HOLD_POLL_MS: u64 = 10;

/// Faults of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses calls without running them.
    pub refuse: bool,
    /// Delay before running, in milliseconds.
    pub delay_ms: u64,
    /// Holds calls before running them until this is switched off.
    pub hold: bool,
    /// Runs calls and holds their answers until this is switched off.
    pub hold_answers: bool,
    /// Delay between running and answering, in milliseconds.
    pub answer_delay_ms: u64,
    /// Runs calls and sends status 500 after 30 s.
    pub lose_answers: bool,
    /// Answers and refuses calls with the attempt id of another call.
    pub swap_answers: bool,
}

/// A running service that counts the effects of its calls.
pub struct ServiceStandin {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    effects: Mutex<BTreeMap<String, u64>>,
    faults: FaultControl<ServiceFaults>,
}

#[derive(Debug, Serialize)]
struct Effect<'a> {
    path: &'a str,
    effect: u64,
    body: &'a str,
}

impl ServiceStandin {
    /// Binds an address and serves it; `GET /effects` returns how often each body took effect.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        let server = HttpServer::bind(
            address,
            ServerLimits::default(),
            move |it| shared.serve(it),
            |it| refuse(it, &ServiceFaults::default(), b"too many calls"),
        )?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches and counts.
    pub fn faults(&self) -> &FaultControl<ServiceFaults> {
        &self.state.faults
    }

    /// Returns how often a body took effect.
    pub fn effects(&self, body: &str) -> u64 {
        lock(&self.state.effects).get(body).copied().unwrap_or_default()
    }
}

impl State {
    fn wait_while(&self, is_held: impl Fn(&ServiceFaults) -> bool) {
        while is_held(&self.faults.get()) {
            pause(HOLD_POLL_MS);
        }
    }

    fn serve(&self, request: ServerRequest) {
        let Some(mut request) = self.faults.answer_control_request(request) else { return };
        if request.path() == "/effects" {
            let effects = lock(&self.effects).clone();
            return request.respond_json(200, &effects);
        }
        let faults = self.faults.get();
        self.faults.increment("calls");
        if faults.refuse {
            return refuse(request, &faults, b"refused");
        }
        pause(faults.delay_ms);
        self.wait_while(|it| it.hold);
        let body = request.read_body().unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let effect = {
            let mut effects = lock(&self.effects);
            let effect = effects.entry(body.clone()).or_default();
            *effect += 1;
            *effect
        };
        self.faults.increment("effects");
        if faults.lose_answers {
            return pause(LOST_ANSWER_MS);
        }
        pause(faults.answer_delay_ms);
        self.wait_while(|it| it.hold_answers);
        let attempt_id = attempt_id(&request, &faults);
        let path = request.path().to_owned();
        let answer = serde_json::to_vec(&Effect { path: &path, effect, body: &body });
        let headers = [("content-type", "application/json"), ("x-attempt-id", attempt_id.as_str())];
        request.respond(200, &headers, answer.unwrap_or_default());
    }
}

/// Returns the attempt id to put in the answer.
fn attempt_id(request: &ServerRequest, faults: &ServiceFaults) -> String {
    match faults.swap_answers {
        true => "another".to_owned(),
        false => request.header("x-attempt-id").unwrap_or_default().to_owned(),
    }
}

/// Refuses a call without running it.
fn refuse(request: ServerRequest, faults: &ServiceFaults, text: &[u8]) {
    let attempt_id = attempt_id(&request, faults);
    let headers = [("x-run-outcome", "not_run"), ("x-attempt-id", attempt_id.as_str())];
    request.respond(503, &headers, text.to_vec());
}
