//! Executes commands: each changes the configuration in the store exactly once.

use std::time::Duration;

use mangocross_coordination::check_membership;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_operator::check_configuration;
use mangocross_operator::difference;
use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::OperatorId;
use mangocross_types::RecentCommand;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use peer_store::StoreError;
use peer_store::StoreErrorKind;
use peer_store::read_json;
use peer_store::swap_json;

use crate::acceptance;
use crate::configuration;
use crate::state::CoordinatorState;

/// Commands kept in the configuration so that a repeated one has no second effect.
const RECENT_COMMANDS_MAX: usize = 128;
/// Hexadecimal digits of the hash that identifies a document in a recorded command.
const DOCUMENT_HASH_DIGITS: usize = 16;
/// Retry delay given in refusals while the store does not answer.
const STORE_RETRY: Duration = Duration::from_secs(5);
/// Retry delay given in refusals while the previous revision is not accepted.
const NOT_ACCEPTED_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The configuration that a command is based on.
struct Base {
    configuration: Configuration,
    revision: Revision,
    /// Entry VMs of that configuration if it is accepted; `None` if that is not known.
    accepted: Option<Vec<EntryVmSpec>>,
}

/// Executes an operator's command, which replaces the configuration by what `next` returns.
pub(crate) fn execute(
    state: &CoordinatorState,
    operator: Option<&OperatorId>,
    request: &OperatorRequest,
    next: impl Fn(&Configuration) -> Result<Configuration, Refusal>,
) -> Result<OperatorAnswer, Refusal> {
    let base = read_base(state)?;
    if let Some(done) = find_repeat(&base.configuration, request)? {
        return Ok(answer_repeat(state, &base, done));
    }
    if request.based_on.is_some_and(|it| it != base.revision) {
        return Err(conflict(&base));
    }
    let mut wanted = next(&base.configuration)?;
    check(&base, &wanted)?;
    if request.dry_run {
        return Ok(dry_run(&base, &wanted));
    }
    record_command(&mut wanted, &base, operator, request);
    let written = swap_json(state.store.as_ref(), Configuration::KEY, base.revision, &wanted);
    match written.map_err(|it| write_refusal(&it))? {
        Some(revision) => {
            refresh_configuration(state);
            let accepted = base.accepted.as_deref();
            Ok(acceptance::wait(state, revision, &wanted.entry_vms, accepted))
        }
        None => answer_conflict(state, request),
    }
}

fn read_base(state: &CoordinatorState) -> Result<Base, Refusal> {
    let read = read_json::<Configuration>(state.store.as_ref(), Configuration::KEY);
    let (configuration, revision) = read.map_err(|it| read_refusal(&it))?;
    let configuration = configuration.unwrap_or_default();
    let accepted = accepted_entry_vms(state, &configuration, revision);
    Ok(Base { configuration, revision, accepted })
}

/// Returns the entry VMs of a configuration if it is accepted and lists any; with an empty list the
/// VMs that serve are unknown.
fn accepted_entry_vms(
    state: &CoordinatorState,
    configuration: &Configuration,
    revision: Revision,
) -> Option<Vec<EntryVmSpec>> {
    let entry_vms = &configuration.entry_vms;
    if revision == Revision(0) {
        return Some(Vec::new());
    }
    let accepted = acceptance::check(state, revision, entry_vms, None).is_accepted();
    (accepted && !entry_vms.is_empty()).then(|| entry_vms.clone())
}

/// Returns the recorded command with the same id, if the request repeats it.
fn find_repeat<'a>(
    configuration: &'a Configuration,
    request: &OperatorRequest,
) -> Result<Option<&'a RecentCommand>, Refusal> {
    let Some(done) = configuration.recent_commands.iter().find(|it| it.id == request.command_id)
    else {
        return Ok(None);
    };
    if done.text != recorded_text(request) {
        let text = format!("command id {} was given to `{}`; use another id", done.id, done.text);
        return Err(Refusal::not_run(ResultCode::MalformedRequest, text));
    }
    Ok(Some(done))
}

fn answer_repeat(state: &CoordinatorState, base: &Base, done: &RecentCommand) -> OperatorAnswer {
    log::info!(command = done.id.as_str(); "command was already executed");
    refresh_configuration(state);
    acceptance::wait(state, base.revision, &base.configuration.entry_vms, None)
}

fn check(base: &Base, wanted: &Configuration) -> Result<(), Refusal> {
    check_configuration(wanted).map_err(|it| Refusal::not_run(it.code, it.message))?;
    let before = &base.configuration.entry_vms;
    check_membership(before, &wanted.entry_vms, base.accepted.is_some()).map_err(|it| {
        Refusal::not_run(ResultCode::ConfigurationInvalid, it.to_string())
            .retry_after(NOT_ACCEPTED_RETRY_AFTER)
    })
}

fn dry_run(base: &Base, wanted: &Configuration) -> OperatorAnswer {
    let rows = difference(&base.configuration, wanted);
    let answer = OperatorAnswer::message(base.revision, "valid; nothing was changed");
    answer.table(&["part", "now", "then"], rows)
}

fn record_command(
    wanted: &mut Configuration,
    base: &Base,
    operator: Option<&OperatorId>,
    request: &OperatorRequest,
) {
    wanted.recent_commands.clone_from(&base.configuration.recent_commands);
    wanted.recent_commands.push(RecentCommand {
        id: request.command_id.clone(),
        text: recorded_text(request),
        based_on: base.revision,
        operator: operator.cloned(),
    });
    let surplus = wanted.recent_commands.len().saturating_sub(RECENT_COMMANDS_MAX);
    wanted.recent_commands.drain(..surplus);
}

/// Returns the line as it is recorded; a document sent with it is identified by its hash.
fn recorded_text(request: &OperatorRequest) -> String {
    match &request.configuration {
        None => request.text.clone(),
        Some(document) => {
            let text = serde_json::to_string(document).unwrap_or_default();
            let hash = blake3::hash(text.as_bytes()).to_hex();
            format!("{} {}", request.text, &hash[..DOCUMENT_HASH_DIGITS])
        }
    }
}

/// Answers a command whose compare-and-swap found another revision.
fn answer_conflict(
    state: &CoordinatorState,
    request: &OperatorRequest,
) -> Result<OperatorAnswer, Refusal> {
    let base = read_base(state).map_err(|it| Refusal { outcome: RunOutcome::Unknown, ..it })?;
    // A conflict does not mean that the command had no effect: after a lost answer, `swap_json`
    // reads the value back, and another command may have been written in between.
    match find_repeat(&base.configuration, request)? {
        Some(done) => Ok(answer_repeat(state, &base, done)),
        None => Err(conflict(&base)),
    }
}

/// Puts the store's configuration in force here, so that peers that poll this coordinator fetch
/// it soon.
fn refresh_configuration(state: &CoordinatorState) {
    if let Err(message) = configuration::read_configuration(state) {
        log::warn!("the newest configuration could not be read: {message}");
    }
}

fn conflict(base: &Base) -> Refusal {
    let won = base.configuration.recent_commands.last();
    let won = won.map(|it| format!("; last came {}", describe(it))).unwrap_or_default();
    let text = format!("the newest revision is {}{won}; read it and decide again", base.revision);
    Refusal::not_run(ResultCode::RevisionConflict, text)
}

fn describe(command: &RecentCommand) -> String {
    let by = command.operator.as_ref().map(|it| format!(" by {it}")).unwrap_or_default();
    format!("`{}` ({}){by}", command.text, command.id)
}

fn read_refusal(error: &StoreError) -> Refusal {
    let text = format!("the command was not accepted: {error}; come back when the store answers");
    Refusal::not_run(ResultCode::StoreUnavailable, text).retry_after(STORE_RETRY)
}

fn write_refusal(error: &StoreError) -> Refusal {
    if error.kind != StoreErrorKind::AnswerLost {
        return read_refusal(error);
    }
    let text = format!("the command may have been stored: {error}; send the same command id again");
    Refusal::unknown(ResultCode::StoreAnswerLost, text).retry_after(STORE_RETRY)
}
