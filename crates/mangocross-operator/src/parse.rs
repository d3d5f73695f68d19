//! Reads a line of the language.

use std::str::FromStr;

use snafu::Snafu;

use crate::Change;
use crate::Command;
use crate::Query;

/// A line that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("E6001 CommandSyntax: {message}"))]
pub struct ParseError {
    /// What is wrong and what to write.
    pub message: String,
}

/// Reads a line.
///
/// # Errors
///
/// Says which word is wrong and what may stand there.
pub fn parse(line: &str) -> Result<Command, ParseError> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["show", "groups"] => Ok(Command::Query(Query::ShowGroups)),
        ["show", "vms"] => Ok(Command::Query(Query::ShowVms)),
        ["show", "nodes"] => Ok(Command::Query(Query::ShowNodes)),
        ["show", "config"] => Ok(Command::Query(Query::ShowConfiguration)),
        ["why", "group", group] => Ok(Command::Query(Query::WhyGroup(id(group)?))),
        ["why", "vm", vm] => Ok(Command::Query(Query::WhyVm(id(vm)?))),
        ["start", "group", group, rest @ ..] => start_group(group, rest),
        ["drain", "group", group] => Ok(Command::Change(Change::DrainGroup(id(group)?))),
        ["resume", "group", group] => Ok(Command::Change(Change::ResumeGroup(id(group)?))),
        ["stop", "group", group] => Ok(Command::Change(Change::StopGroup(id(group)?))),
        ["move", "group", group, "to", domain] => {
            Ok(Command::Change(Change::MoveGroup { group: id(group)?, domain: id(domain)? }))
        }
        ["drain", "vm", vm] => Ok(Command::Change(Change::DrainVm(id(vm)?))),
        ["resume", "vm", vm] => Ok(Command::Change(Change::ResumeVm(id(vm)?))),
        [] => Err(unknown("the line is empty")),
        _ => Err(unknown(&format!("`{line}` is not known"))),
    }
}

fn start_group(group: &str, rest: &[&str]) -> Result<Command, ParseError> {
    let ["model", model, "version", version, "members", size, end @ ..] = rest else {
        return Err(unknown("write start group G model M version V members N [in DOMAIN]"));
    };
    let domain = match end {
        [] => None,
        ["in", domain] => Some(id(domain)?),
        _ => return Err(unknown("after the members only `in DOMAIN` may stand")),
    };
    Ok(Command::Change(Change::StartGroup {
        group: id(group)?,
        model: id(model)?,
        model_version: id(version)?,
        size: id(size)?,
        domain,
    }))
}

fn id<T: FromStr>(word: &str) -> Result<T, ParseError>
where
    T::Err: ToString,
{
    word.parse().map_err(|it: T::Err| ParseError { message: it.to_string() })
}

fn unknown(message: &str) -> ParseError {
    let verbs = "show, why, start, drain, resume, stop, move";
    ParseError { message: format!("{message}; a line starts with one of {verbs}") }
}
