//! Answers operators: parses their requests and dispatches them to queries and changes.

use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use mangocross_operator::Change;
use mangocross_operator::Command;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_operator::apply;
use mangocross_operator::parse;
use mangocross_types::Configuration;
use mangocross_types::OperatorId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use peer_caller::respond_refusal;

use crate::changes;
use crate::queries;
use crate::state::CoordinatorState;

/// Answers one request of an operator.
pub(crate) fn serve_operator_request(state: &CoordinatorState, mut request: ServerRequest) {
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/health/live") => request.respond(200, &[], b"live\n".to_vec()),
        (Some(HttpMethod::Get), "/metrics") => {
            let headers = [("content-type", "text/plain; version=0.0.4")];
            request.respond(200, &headers, state.metrics.text().into_bytes());
        }
        (Some(HttpMethod::Post), "/v1/operator") => {
            match authenticate_and_execute(state, &mut request) {
                Ok(answer) => request.respond_json(200, &answer),
                Err(refusal) => respond_refusal(request, &refusal, None),
            }
        }
        _ => {
            let text = "operators send POST /v1/operator";
            respond_refusal(request, &Refusal::not_run(ResultCode::UnknownRoute, text), None);
        }
    }
}

fn authenticate_and_execute(
    state: &CoordinatorState,
    request: &mut ServerRequest,
) -> Result<OperatorAnswer, Refusal> {
    let operator = state.operators.admit(request.header("authorization"))?;
    let line: OperatorRequest = request
        .read_json()
        .map_err(|it| Refusal::not_run(ResultCode::MalformedRequest, it.to_string()))?;
    execute_traced(state, operator.as_ref(), &line, request.header("traceparent"))
}

/// Executes a request within a span of the operator's trace.
fn execute_traced(
    state: &CoordinatorState,
    operator: Option<&OperatorId>,
    request: &OperatorRequest,
    traceparent: Option<&str>,
) -> Result<OperatorAnswer, Refusal> {
    let span = state.tracing.request_span("operator_request", traceparent);
    span.set("command_id", request.command_id.to_string());
    span.set("text", request.text.clone());
    if let Some(operator) = operator {
        span.set("operator", operator.to_string());
    }
    let entered = span.enter();
    let result = execute(state, operator, request);
    drop(entered);
    let code = match &result {
        Ok(answer) => answer.code,
        Err(refusal) => Some(refusal.code),
    };
    if let Some(code) = code {
        span.set_error(code.to_string());
    }
    state.metrics.record_operator_request(code.map_or(0, ResultCode::number));
    result
}

fn execute(
    state: &CoordinatorState,
    operator: Option<&OperatorId>,
    request: &OperatorRequest,
) -> Result<OperatorAnswer, Refusal> {
    let command = parse(&request.text)
        .map_err(|it| Refusal::not_run(ResultCode::CommandSyntax, it.message))?;
    match command {
        Command::Query(query) => queries::answer(state, &query),
        Command::ReplaceConfiguration => {
            let given = request.configuration.as_ref().ok_or_else(|| {
                let text = "`replace config` needs a configuration; mangoctl takes it by --file";
                Refusal::not_run(ResultCode::MalformedRequest, text)
            })?;
            changes::execute(state, operator, request, |it| Ok(with_current_entry_vms(it, given)))
        }
        Command::Change(wanted) => {
            changes::execute(state, operator, request, |it| apply_change(it, &wanted))
        }
    }
}

fn apply_change(current: &Configuration, change: &Change) -> Result<Configuration, Refusal> {
    apply(current, change).map_err(|it| Refusal::not_run(it.code, it.message))
}

/// Returns the given configuration, with the current entry VMs unless it lists its own.
fn with_current_entry_vms(current: &Configuration, given: &Configuration) -> Configuration {
    let mut next = given.clone();
    if next.entry_vms.is_empty() {
        next.entry_vms.clone_from(&current.entry_vms);
    }
    next
}
