//! The operators' command line.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_types::CommandId;
use mangocross_types::Configuration;
use mangocross_types::Revision;

mod table;

/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Time for an answer; a change waits until it is in force.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Exit code when a change is stored and not yet in force everywhere.
const EXIT_NOT_YET_IN_FORCE: u8 = 3;

/// Asks what is serving, where and why, and gives commands.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Address of any coordinator
    #[bpaf(argument("ADDRESS"))]
    coordinator: SocketAddr,
    /// Revision that the command is based on; the newest if left out
    #[bpaf(argument("REVISION"), optional)]
    based_on: Option<Revision>,
    /// Id of the command; a repeated id has no second effect
    #[bpaf(argument("ID"), optional)]
    command_id: Option<CommandId>,
    /// Only check
    dry_run: bool,
    /// Print JSON
    json: bool,
    /// Configuration file for `replace config`
    #[bpaf(argument("FILE"), optional)]
    file: Option<PathBuf>,
    /// A query or command, such as `show groups`
    #[bpaf(positional("WORDS"), some("write a query or command, such as `show groups`"))]
    words: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match run(&arguments) {
        Ok(answer) => {
            print(&arguments, &answer);
            match answer.code {
                None => ExitCode::SUCCESS,
                Some(_) => ExitCode::from(EXIT_NOT_YET_IN_FORCE),
            }
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<OperatorAnswer, String> {
    let request = OperatorRequest {
        command_id: arguments.command_id.clone().unwrap_or_else(new_command_id),
        text: arguments.words.join(" "),
        configuration: arguments.file.as_ref().map(read_configuration).transpose()?,
        based_on: arguments.based_on,
        dry_run: arguments.dry_run,
    };
    let timeouts = HttpTimeouts::default().idle(ANSWER_TIMEOUT).total(ANSWER_TIMEOUT);
    let call = HttpCall::new(HttpMethod::Post, arguments.coordinator, "/v1/operator")
        .json(&request)
        .timeouts(timeouts);
    let answer = HttpClient::open().call(call).map_err(|it| it.to_string())?;
    if answer.status() == 200 {
        return answer.read_json(ANSWER_BYTES_MAX).map_err(|it| it.to_string());
    }
    let body = answer.read_all(ANSWER_BYTES_MAX).map_err(|it| it.to_string())?;
    Err(String::from_utf8_lossy(&body).into_owned())
}

fn read_configuration(path: &PathBuf) -> Result<Configuration, String> {
    let text = fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
    json5::from_str(&text).map_err(|it| format!("{}: {it}", path.display()))
}

fn print(arguments: &Arguments, answer: &OperatorAnswer) {
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(answer).unwrap_or_default());
        return;
    }
    println!("{}", answer.message);
    print!("{}", table::render(&answer.columns, &answer.rows));
}

fn new_command_id() -> CommandId {
    format!("c-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
