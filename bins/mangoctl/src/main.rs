//! The operators' command line.
//!
//! Exit codes: 0 done, 1 refused, 2 invalid usage, 3 stored and not yet in
//! force everywhere, 4 not known or no coordinator answered.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use mangocross_operator::Command;
use mangocross_operator::OperatorRequest;
use mangocross_operator::parse;
use mangocross_types::CommandId;
use mangocross_types::Configuration;
use mangocross_types::Revision;

mod check;
mod client;
mod completion;
mod outcome;
mod table;

use crate::check::CheckedFiles;
use crate::completion::complete_word;
use crate::outcome::ExitStatus;
use crate::outcome::Outcome;

/// Asks what is serving, where and why, and gives commands.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Address of a coordinator; give several, and they are tried in turn
    #[bpaf(argument("ADDRESS"), many)]
    coordinator: Vec<SocketAddr>,
    /// Revision that the command is based on; the newest if left out
    #[bpaf(argument("REVISION"), optional)]
    based_on: Option<Revision>,
    /// Id of the command; a repeated id has no second effect
    #[bpaf(argument("ID"), optional)]
    command_id: Option<CommandId>,
    /// Only check, and show what would change
    dry_run: bool,
    /// Print JSON
    json: bool,
    /// Configuration file for `replace config`, JSON with comments, or for `check traffic`, JSON
    #[bpaf(argument("FILE"), optional)]
    file: Option<PathBuf>,
    /// For `check traffic`: the configuration in force, to tell the differences
    #[bpaf(argument("FILE"), optional)]
    in_force: Option<PathBuf>,
    /// For `check traffic`: settings of an entry VM, which name the region of each zone
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// File with your key, if the coordinators ask for one
    #[bpaf(env("MANGOCTL_KEY_FILE"), argument("FILE"), optional)]
    key_file: Option<PathBuf>,
    /// A query or command, such as `show groups`
    #[bpaf(
        positional("WORDS"),
        complete(|it: &String| complete_word(it)),
        some("write a query or command, such as `show groups`")
    )]
    words: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = match arguments().run_inner(Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(LINE_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitStatus::UsageError.into(),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitStatus::Done.into(),
            };
        }
    };
    if arguments.words == CHECK_WORDS {
        return check_file(&arguments).into();
    }
    if arguments.coordinator.is_empty() {
        eprintln!("name a coordinator: --coordinator ADDRESS");
        return ExitStatus::UsageError.into();
    }
    let request = match request(&arguments) {
        Ok(request) => request,
        Err(message) => {
            eprintln!("{message}");
            return ExitStatus::UsageError.into();
        }
    };
    let key = match arguments.key_file.as_deref().map(read_key).transpose() {
        Ok(key) => key,
        Err(message) => {
            eprintln!("{message}");
            return ExitStatus::UsageError.into();
        }
    };
    let outcome = client::send(&arguments.coordinator, key.as_deref(), &request);
    let text =
        if arguments.json { outcome.to_json() } else { outcome.to_text(&request.command_id) };
    if arguments.json || matches!(outcome, Outcome::Answered(_)) {
        print!("{text}");
    } else {
        eprint!("{text}");
    }
    outcome.exit_status().into()
}

/// The line that checks a configuration of the users' platform; it is carried out here.
const CHECK_WORDS: [&str; 2] = ["check", "traffic"];

/// Checks a configuration file without contacting a coordinator.
fn check_file(arguments: &Arguments) -> ExitStatus {
    let Some(configuration) = arguments.file.as_deref() else {
        eprintln!("`check traffic` needs a configuration: --file FILE");
        return ExitStatus::UsageError;
    };
    let in_force = arguments.in_force.as_deref();
    let files = CheckedFiles { configuration, in_force, settings: arguments.settings.as_deref() };
    match check::check(&files) {
        Ok(report) => {
            print!("{}", if arguments.json { report.to_json() } else { report.to_text() });
            report.exit_status()
        }
        Err(message) => {
            eprintln!("{message}");
            ExitStatus::UsageError
        }
    }
}

/// Width of help texts, in characters.
const LINE_WIDTH: usize = 100;

/// Parses the line locally, so that a syntax error is reported without contacting a coordinator.
fn request(arguments: &Arguments) -> Result<OperatorRequest, String> {
    let text = arguments.words.join(" ");
    let command = parse(&text).map_err(|it| it.to_string())?;
    let configuration = arguments.file.as_deref().map(read_configuration).transpose()?;
    match (&command, &configuration) {
        (Command::ReplaceConfiguration, None) => {
            return Err("`replace config` needs a configuration: --file FILE".into());
        }
        (Command::Query(_) | Command::Change(_), Some(_)) => {
            return Err("--file goes with `replace config` only".into());
        }
        _ => {}
    }
    Ok(OperatorRequest {
        command_id: arguments.command_id.clone().unwrap_or_else(new_command_id),
        text,
        configuration,
        based_on: arguments.based_on,
        dry_run: arguments.dry_run,
    })
}

fn read_configuration(path: &Path) -> Result<Configuration, String> {
    let text = std::fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
    json5::from_str(&text).map_err(|it| format!("{}: {it}", path.display()))
}

fn read_key(path: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
    Ok(text.trim().to_owned())
}

fn new_command_id() -> CommandId {
    format!("c-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
