//! Answers operators: commands change the configuration in the store.

use std::thread;
use std::time::Duration;

use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use mangocross_operator::Change;
use mangocross_operator::Command;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_operator::apply;
use mangocross_operator::check_configuration;
use mangocross_operator::parse;
use mangocross_types::Configuration;
use mangocross_types::RecentCommand;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_caller::respond_refusal;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::configuration;
use crate::queries;
use crate::state::CoordinatorState;
use crate::state::lock;

/// The line that puts a whole configuration in place.
const REPLACE: &str = "replace config";
/// Commands remembered so that a repeat is harmless.
const RECENT_COMMANDS_MAX: usize = 64;
/// Longest wait for a change to be in force everywhere.
const IN_FORCE_WAIT: Duration = Duration::from_secs(15);
/// Time between looks whether a change is in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(50);

/// Answers one request of an operator.
pub(crate) fn handle(state: &CoordinatorState, mut request: ServerRequest) {
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/health/live") => request.respond(200, &[], b"live\n".to_vec()),
        (Some(HttpMethod::Post), "/v1/operator") => match request.read_json::<OperatorRequest>() {
            Ok(body) => match serve(state, &body) {
                Ok(answer) => request.respond_json(200, &answer),
                Err(refusal) => respond_refusal(request, &refusal, None),
            },
            Err(error) => {
                let refusal = Refusal::not_run(ResultCode::MalformedRequest, error.to_string());
                respond_refusal(request, &refusal, None);
            }
        },
        _ => {
            let text = "operators send POST /v1/operator";
            respond_refusal(request, &Refusal::not_run(ResultCode::UnknownRoute, text), None);
        }
    }
}

fn serve(state: &CoordinatorState, request: &OperatorRequest) -> Result<OperatorAnswer, Refusal> {
    if request.text == REPLACE {
        let given = request.configuration.as_ref().ok_or_else(|| {
            Refusal::not_run(ResultCode::MalformedRequest, "`replace config` needs a configuration")
        })?;
        return change(state, request, |_| Ok(given.clone()));
    }
    let command = parse(&request.text)
        .map_err(|it| Refusal::not_run(ResultCode::CommandSyntax, it.message))?;
    match command {
        Command::Query(query) => queries::answer(state, &query),
        Command::Change(wanted) => change(state, request, |current| applied(current, &wanted)),
    }
}

fn applied(current: &Configuration, change: &Change) -> Result<Configuration, Refusal> {
    apply(current, change).map_err(|it| Refusal::not_run(it.code, it.message))
}

fn change(
    state: &CoordinatorState,
    request: &OperatorRequest,
    next: impl Fn(&Configuration) -> Result<Configuration, Refusal>,
) -> Result<OperatorAnswer, Refusal> {
    let store = state.store.as_ref();
    let (current, revision) =
        read_json::<Configuration>(store, Configuration::KEY).map_err(store_refusal)?;
    let current = current.unwrap_or_default();
    if let Some(done) = current.recent_commands.iter().find(|it| it.id == request.command_id) {
        log::info!(command = done.id.as_str(); "command was carried out before");
        return Ok(await_in_force(state, revision));
    }
    if request.based_on.is_some_and(|it| it != revision) {
        return Err(conflict(&current, revision));
    }
    let mut wanted = next(&current)?;
    check_configuration(&wanted).map_err(|it| Refusal::not_run(it.code, it.message))?;
    if request.dry_run {
        return Ok(OperatorAnswer::message(revision, "valid; nothing was changed"));
    }
    remember(&mut wanted, &current, request, revision);
    match swap_json(store, Configuration::KEY, revision, &wanted).map_err(store_refusal)? {
        None => Err(conflict(&current, revision)),
        Some(written) => {
            if let Err(message) = configuration::read(state) {
                log::warn!("the accepted configuration could not be read: {message}");
            }
            Ok(await_in_force(state, written))
        }
    }
}

fn remember(
    wanted: &mut Configuration,
    current: &Configuration,
    request: &OperatorRequest,
    based_on: Revision,
) {
    wanted.recent_commands = current.recent_commands.clone();
    wanted.recent_commands.push(RecentCommand {
        id: request.command_id.clone(),
        text: request.text.clone(),
        based_on,
    });
    let surplus = wanted.recent_commands.len().saturating_sub(RECENT_COMMANDS_MAX);
    wanted.recent_commands.drain(..surplus);
}

/// Waits until a revision is in force at every gateway that polls.
fn await_in_force(state: &CoordinatorState, revision: Revision) -> OperatorAnswer {
    let deadline = state.clock.now() + IN_FORCE_WAIT;
    loop {
        let behind = behind(state, revision);
        if behind.is_empty() {
            return OperatorAnswer::message(revision, format!("revision {revision} is in force"));
        }
        if state.clock.now() >= deadline {
            let names: Vec<String> = behind.iter().map(ToString::to_string).collect();
            let text = format!("revision {revision} is not yet in force at {}", names.join(", "));
            return OperatorAnswer::message(revision, text).code(ResultCode::NotYetInForce);
        }
        thread::sleep(IN_FORCE_POLL);
    }
}

fn behind(state: &CoordinatorState, revision: Revision) -> Vec<VmId> {
    let gateways = lock(&state.gateways);
    let now = state.clock.now();
    let vouch = Duration::from_millis(state.settings.vouch_ms);
    let polling = gateways.iter().filter(|(_, it)| now.duration_since(it.heard_at) < vouch);
    polling.filter(|(_, it)| it.revision < revision).map(|(vm, _)| vm.clone()).collect()
}

fn conflict(current: &Configuration, revision: Revision) -> Refusal {
    let won = current.recent_commands.last();
    let won = won.map(|it| format!("; last came `{}` ({})", it.text, it.id)).unwrap_or_default();
    let text = format!("the newest revision is {revision}{won}; read it and decide again");
    Refusal::not_run(ResultCode::RevisionConflict, text)
}

fn store_refusal(error: StoreError) -> Refusal {
    let text = format!("nothing is known to have changed: {error}; send the same command id again");
    Refusal::unknown(error.kind.result_code(), text)
}
