//! Parses a line of the language.

use mangocross_types::FenceMode;
use mangocross_types::KindTarget;
use snafu::Snafu;

use crate::Change;
use crate::Command;
use crate::Query;
use crate::command::Audience;
use crate::command::CustomerChange;
use crate::command::KindChange;
use crate::command::PolicyChange;
use crate::words::Words;

/// A line that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("E6001 CommandSyntax: {message}"))]
pub struct ParseError {
    /// What is wrong and what to write instead.
    pub message: String,
}

/// Every form of a line, in usage notation; the source of the words for shell completion.
pub const USAGE: &[&str] = &[
    "show groups|vms|nodes|customers|kinds|services|config|commands",
    "why group GROUP | why vm VM | why request ID",
    "start group GROUP model MODEL version VERSION members N [in DOMAIN] [for customers A,B|all] [for kinds X,Y|all]",
    "drain group GROUP | resume group GROUP | stop group GROUP | remove group GROUP",
    "move group GROUP to DOMAIN",
    "set group GROUP [for customers A,B|all] [for kinds X,Y|all]",
    "set customer CUSTOMER [requests-per-second N] [in-flight N] [priority N]",
    "set kind KIND [idempotent|non-idempotent] [priority N] [deadline-ms N] [model MODEL | service SERVICE]",
    "set service SERVICE servers ADDRESS,ADDRESS|listed",
    "set policy [group-downtime X] [stranded-accelerator X] [concurrent-loads N] [first-kinds X,Y|none]",
    "set fence honoured|ignored",
    "remove customer CUSTOMER | remove kind KIND | remove service SERVICE | remove node VM",
    "drain vm VM | resume vm VM",
    "replace config",
];

/// Parses a line.
///
/// # Errors
///
/// Returns which word is wrong and what is expected in its place.
///
/// # Examples
///
/// ```
/// use mangocross_operator::parse;
///
/// assert!(parse("show groups").is_ok());
/// let error = parse("show gruops").unwrap_err();
/// assert!(error.message.contains("did you mean `groups`"));
/// ```
pub fn parse(line: &str) -> Result<Command, ParseError> {
    let mut words = Words::new(line);
    let verbs =
        ["show", "why", "start", "drain", "resume", "stop", "move", "set", "remove", "replace"];
    let command = match words.one_of(&verbs)? {
        "show" => Command::Query(parse_show(&mut words)?),
        "why" => Command::Query(parse_why(&mut words)?),
        "replace" => {
            words.one_of(&["config"])?;
            Command::ReplaceConfiguration
        }
        verb => Command::Change(parse_change(verb, &mut words)?),
    };
    words.end()?;
    Ok(command)
}

fn parse_show(words: &mut Words<'_>) -> Result<Query, ParseError> {
    let what = ["groups", "vms", "nodes", "customers", "kinds", "services", "config", "commands"];
    Ok(match words.one_of(&what)? {
        "groups" => Query::ShowGroups,
        "vms" => Query::ShowVms,
        "nodes" => Query::ShowNodes,
        "customers" => Query::ShowCustomers,
        "kinds" => Query::ShowKinds,
        "services" => Query::ShowServices,
        "config" => Query::ShowConfiguration,
        _ => Query::ShowCommands,
    })
}

fn parse_why(words: &mut Words<'_>) -> Result<Query, ParseError> {
    Ok(match words.one_of(&["group", "vm", "request"])? {
        "group" => Query::WhyGroup(words.value("group id")?),
        "vm" => Query::WhyVm(words.value("VM id")?),
        _ => Query::WhyRequest(words.value("request id")?),
    })
}

fn parse_change(verb: &str, words: &mut Words<'_>) -> Result<Change, ParseError> {
    match verb {
        "start" => {
            words.one_of(&["group"])?;
            parse_start_group(words)
        }
        "drain" => Ok(match words.one_of(&["group", "vm"])? {
            "group" => Change::DrainGroup(words.value("group id")?),
            _ => Change::DrainVm(words.value("VM id")?),
        }),
        "resume" => Ok(match words.one_of(&["group", "vm"])? {
            "group" => Change::ResumeGroup(words.value("group id")?),
            _ => Change::ResumeVm(words.value("VM id")?),
        }),
        "stop" => {
            words.one_of(&["group"])?;
            Ok(Change::StopGroup(words.value("group id")?))
        }
        "move" => {
            words.one_of(&["group"])?;
            let group = words.value("group id")?;
            words.one_of(&["to"])?;
            Ok(Change::MoveGroup { group, domain: words.value("fabric domain")? })
        }
        "set" => parse_set(words),
        _ => parse_remove(words),
    }
}

fn parse_start_group(words: &mut Words<'_>) -> Result<Change, ParseError> {
    let group = words.value("group id")?;
    words.one_of(&["model"])?;
    let model = words.value("model")?;
    words.one_of(&["version"])?;
    let model_version = words.value("model version")?;
    words.one_of(&["members"])?;
    let size = words.value("group size")?;
    let mut domain = None;
    let mut audience = Audience::default();
    while let Some(option) = words.option(&["in", "for"])? {
        match option {
            "in" => domain = Some(words.value("fabric domain")?),
            _ => parse_audience(words, &mut audience)?,
        }
    }
    Ok(Change::StartGroup { group, model, model_version, size, domain, audience })
}

fn parse_audience(words: &mut Words<'_>, audience: &mut Audience) -> Result<(), ParseError> {
    match words.one_of(&["customers", "kinds"])? {
        "customers" => audience.customers = Some(words.list("list of customers", "all")?),
        _ => audience.kinds = Some(words.list("list of request kinds", "all")?),
    }
    Ok(())
}

fn parse_set(words: &mut Words<'_>) -> Result<Change, ParseError> {
    match words.one_of(&["group", "customer", "kind", "service", "policy", "fence"])? {
        "group" => parse_set_group(words),
        "customer" => parse_set_customer(words),
        "kind" => parse_set_kind(words),
        "service" => {
            let service = words.value("service")?;
            words.one_of(&["servers"])?;
            let backend_servers = words.list("list of addresses", "listed")?;
            Ok(Change::SetService { service, backend_servers })
        }
        "policy" => parse_set_policy(words),
        _ => Ok(Change::SetFence(match words.one_of(&["honoured", "ignored"])? {
            "honoured" => FenceMode::Honoured,
            _ => FenceMode::Ignored,
        })),
    }
}

fn parse_set_group(words: &mut Words<'_>) -> Result<Change, ParseError> {
    let group = words.value("group id")?;
    let mut audience = Audience::default();
    words.one_of(&["for"])?;
    parse_audience(words, &mut audience)?;
    while words.option(&["for"])?.is_some() {
        parse_audience(words, &mut audience)?;
    }
    Ok(Change::SetGroup { group, audience })
}

fn parse_set_customer(words: &mut Words<'_>) -> Result<Change, ParseError> {
    let customer = words.value("customer")?;
    let mut settings = CustomerChange::default();
    while let Some(option) = words.option(&["requests-per-second", "in-flight", "priority"])? {
        match option {
            "requests-per-second" => {
                settings.requests_per_second = Some(words.value("request rate")?);
            }
            "in-flight" => settings.in_flight_max = Some(words.value("number of requests")?),
            _ => settings.priority = Some(words.value("priority")?),
        }
    }
    Ok(Change::SetCustomer { customer, settings })
}

fn parse_set_kind(words: &mut Words<'_>) -> Result<Change, ParseError> {
    let kind = words.value("request kind")?;
    let mut settings = KindChange::default();
    let options = ["idempotent", "non-idempotent", "priority", "deadline-ms", "model", "service"];
    while let Some(option) = words.option(&options)? {
        match option {
            "idempotent" => settings.idempotent = Some(true),
            "non-idempotent" => settings.idempotent = Some(false),
            "priority" => settings.priority = Some(words.value("priority")?),
            "deadline-ms" => settings.deadline_ms = Some(words.value("deadline")?),
            "model" => settings.target = Some(KindTarget::Model(words.value("model")?)),
            _ => settings.target = Some(KindTarget::Service(words.value("service")?)),
        }
    }
    Ok(Change::SetKind { kind, settings })
}

fn parse_set_policy(words: &mut Words<'_>) -> Result<Change, ParseError> {
    let mut settings = PolicyChange::default();
    let options = ["group-downtime", "stranded-accelerator", "concurrent-loads", "first-kinds"];
    while let Some(option) = words.option(&options)? {
        match option {
            "group-downtime" => settings.group_downtime = Some(words.value("weight")?),
            "stranded-accelerator" => {
                settings.stranded_accelerator = Some(words.value("weight")?);
            }
            "concurrent-loads" => settings.concurrent_loads = Some(words.value("number of loads")?),
            _ => settings.first_kinds = Some(words.list("list of request kinds", "none")?),
        }
    }
    Ok(Change::SetPolicy(settings))
}

fn parse_remove(words: &mut Words<'_>) -> Result<Change, ParseError> {
    Ok(match words.one_of(&["group", "customer", "kind", "service", "node"])? {
        "group" => Change::RemoveGroup(words.value("group id")?),
        "customer" => Change::RemoveCustomer(words.value("customer")?),
        "kind" => Change::RemoveKind(words.value("request kind")?),
        "service" => Change::RemoveService(words.value("service")?),
        _ => Change::RemoveNode(words.value("VM id")?),
    })
}
