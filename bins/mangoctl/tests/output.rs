//! Snapshot tests of mangoctl's output and exit codes.
//!
//! `MANGOCROSS_UPDATE_SNAPSHOTS=1` rewrites the snapshots.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use peer_caller::respond_refusal;

/// The output and exit code of a run.
struct Run {
    exit: i32,
    text: String,
}

/// Starts a coordinator that gives every line the same answer.
fn coordinator(answer: Result<OperatorAnswer, Refusal>) -> HttpServer {
    coordinator_with(move |_| answer.clone())
}

fn coordinator_with(
    answer: impl Fn(&OperatorRequest) -> Result<OperatorAnswer, Refusal> + Send + Sync + 'static,
) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let serve = move |mut request: mangocross_http::ServerRequest| {
        let line: OperatorRequest = request.read_json().expect("a request of an operator");
        match answer(&line) {
            Ok(answer) => request.respond_json(200, &answer),
            Err(refusal) => respond_refusal(request, &refusal, None),
        }
    };
    let refuse = |request: mangocross_http::ServerRequest| request.respond(503, &[], Vec::new());
    HttpServer::bind(address, ServerLimits::default(), serve, refuse).expect("a free port")
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn run(coordinators: &[SocketAddr], words: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangoctl"));
    for coordinator in coordinators {
        command.args(["--coordinator", &coordinator.to_string()]);
    }
    let output = command.args(words).output().expect("mangoctl runs");
    let mut text = String::from_utf8(output.stdout).expect("text");
    text.push_str(&String::from_utf8(output.stderr).expect("text"));
    for (number, coordinator) in coordinators.iter().enumerate() {
        text = text.replace(&coordinator.to_string(), &format!("COORDINATOR-{}", number + 1));
    }
    Run { exit: output.status.code().expect("an exit code"), text }
}

fn assert_snapshot(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/snapshots/{name}.txt"));
    if std::env::var_os("MANGOCROSS_UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, text).expect("the snapshot is written");
    }
    let stored = std::fs::read_to_string(&path).expect("the snapshot is stored");
    assert_eq!(text, stored, "{name} differs from its snapshot");
}

fn groups() -> OperatorAnswer {
    let rows = [["letters-1", "serving", "vm-1-1 vm-1-2"], ["drills-1", "draining", "-"]];
    let rows = rows.iter().map(|row| row.iter().map(|it| (*it).to_owned()).collect()).collect();
    OperatorAnswer::message(Revision(7), "configuration revision 7")
        .table(&["group", "phase", "members"], rows)
}

fn conflict() -> Refusal {
    let text = "the newest revision is 8; last came `stop group a` (c-1); read it and decide again";
    Refusal::not_run(ResultCode::RevisionConflict, text)
}

fn store_down() -> Refusal {
    let text = "the command was not accepted: the store does not answer";
    Refusal::not_run(ResultCode::StoreUnavailable, text)
        .retry_after(std::time::Duration::from_secs(5))
}

#[test]
fn answer_is_a_table_or_json() {
    let server = coordinator(Ok(groups()));
    let table = run(&[server.address()], &["show", "groups"]);
    assert_eq!(table.exit, 0);
    assert_snapshot("table", &table.text);
    let json = run(&[server.address()], &["--json", "show", "groups"]);
    assert_eq!(json.exit, 0);
    assert_snapshot("json", &json.text);
}

#[test]
fn refusal_is_printed_as_text_or_json() {
    let server = coordinator(Err(conflict()));
    let result = run(&[server.address()], &["drain", "group", "a"]);
    assert_eq!(result.exit, 1);
    assert_snapshot("refused", &result.text);
    let result = run(&[server.address()], &["--json", "drain", "group", "a"]);
    assert_eq!(result.exit, 1);
    assert_snapshot("refused_json", &result.text);
}

#[test]
fn invalid_line_is_not_sent() {
    let result = run(&[unused_address()], &["show", "gruops"]);
    assert_eq!(result.exit, 2);
    assert_snapshot("not_understood", &result.text);
    let result = run(&[unused_address()], &["replace", "config"]);
    assert_eq!(result.exit, 2);
    assert_snapshot("no_file", &result.text);
    assert_eq!(run(&[unused_address()], &["--coordinate", "x", "show", "groups"]).exit, 2);
}

#[test]
fn change_that_is_not_in_force_has_its_own_exit_code() {
    let text = "revision 9 is stored and not yet in force at the gateway of entry-3 (no report)";
    let answer = OperatorAnswer::message(Revision(9), text).code(ResultCode::NotYetInForce);
    let result = run(
        &[coordinator(Ok(answer)).address()],
        &["--command-id", "c-17", "drain", "vm", "vm-1-1"],
    );
    assert_eq!(result.exit, 3);
    assert_snapshot("not_yet_in_force", &result.text);
}

#[test]
fn unknown_outcome_and_no_coordinator_have_their_own_exit_code() {
    let lost = Refusal::unknown(ResultCode::StoreAnswerLost, "the command may have been stored");
    let result = run(
        &[coordinator(Err(lost)).address()],
        &["--command-id", "c-17", "drain", "vm", "vm-1-1"],
    );
    assert_eq!(result.exit, 4);
    assert_snapshot("unknown", &result.text);
    let result = run(
        &[unused_address(), unused_address()],
        &["--command-id", "c-17", "drain", "vm", "vm-1-1"],
    );
    assert_eq!(result.exit, 4);
    assert!(result.text.starts_with("no coordinator answered\n"), "{}", result.text);
    assert!(result.text.ends_with("--command-id c-17\n"), "{}", result.text);
}

#[test]
fn next_coordinator_is_tried_with_the_same_command_id() {
    let without_store = coordinator(Err(store_down()));
    let working = coordinator_with(|line| {
        assert_eq!(line.command_id.as_str(), "c-17");
        Ok(OperatorAnswer::message(Revision(9), "revision 9 is in force"))
    });
    let coordinators = [unused_address(), without_store.address(), working.address()];
    let result = run(&coordinators, &["--command-id", "c-17", "drain", "vm", "vm-1-1"]);
    assert_eq!(result.exit, 0);
    assert_snapshot("second_coordinator", &result.text);
    let result = run(&[without_store.address()], &["drain", "vm", "vm-1-1"]);
    assert_eq!(result.exit, 1);
    assert_snapshot("store_down", &result.text);
}

#[test]
fn words_are_completed() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangoctl"));
    let output =
        command.args(["--bpaf-complete-rev=8", "--coordinator=127.0.0.1:1", "stra"]).output();
    let text = String::from_utf8(output.expect("mangoctl runs").stdout).expect("text");
    assert!(text.contains("stranded-accelerator"), "{text}");
}
