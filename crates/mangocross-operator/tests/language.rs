//! The operators' language: parsing, validation, error messages and suggestions.

use mangocross_operator::Change;
use mangocross_operator::Command;
use mangocross_operator::Query;
use mangocross_operator::apply;
use mangocross_operator::check_configuration;
use mangocross_operator::difference;
use mangocross_operator::parse;
use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::FenceMode;
use mangocross_types::KindTarget;
use mangocross_types::ResultCode;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Size and seed of the generated cases.
const GEN_SIZE: usize = 100;
const SEED: u64 = 17;
/// Lines that build a configuration, each valid after the ones before.
const LINES: &[&str] = &[
    "set customer town requests-per-second 100 in-flight 20",
    "set customer bank requests-per-second 50 in-flight 10 priority 3",
    "set service registry servers 127.0.0.1:8000,127.0.0.1:8001",
    "set kind draft model letters idempotent deadline-ms 30000 priority 5",
    "set kind claim service registry non-idempotent deadline-ms 5000",
    "start group letters-1 model letters version v1 members 4 in domain-1 for customers town for kinds draft",
    "start group letters-2 model letters version v1 members 2",
    "set policy group-downtime 3.5 stranded-accelerator 1 concurrent-loads 4 first-kinds draft",
    "set fence honoured",
    "set group letters-2 for customers bank for kinds all",
    "move group letters-2 to domain-2",
    "drain group letters-1",
    "drain vm vm-1-1",
];

fn change(line: &str) -> Change {
    match parse(line).unwrap_or_else(|error| panic!("{line}: {error}")) {
        Command::Change(change) => change,
        other => panic!("{line} is {other:?}"),
    }
}

fn after(lines: &[&str]) -> Configuration {
    lines.iter().fold(Configuration::default(), |configuration, line| {
        apply(&configuration, &change(line)).unwrap_or_else(|error| panic!("{line}: {error}"))
    })
}

fn syntax_error(line: &str) -> String {
    parse(line).expect_err(line).message
}

fn refused(configuration: &Configuration, line: &str) -> (ResultCode, String) {
    let error = apply(configuration, &change(line)).expect_err(line);
    (error.code, error.message)
}

#[test]
fn commands_build_the_expected_configuration() {
    let configuration = after(LINES);
    let group = configuration.group(&"letters-1".parse().unwrap()).unwrap();
    assert_eq!((group.size.0, group.desired), (4, DesiredState::Drained));
    assert_eq!(group.domain, Some("domain-1".parse().unwrap()));
    assert_eq!(group.customers, ["town".parse().unwrap()]);
    assert_eq!(group.kinds, ["draft".parse().unwrap()]);
    let group = configuration.group(&"letters-2".parse().unwrap()).unwrap();
    assert_eq!((group.customers.len(), group.kinds.len()), (1, 0));
    assert_eq!(group.domain, Some("domain-2".parse().unwrap()));
    let claim = configuration.kind(&"claim".parse().unwrap()).unwrap();
    assert!(!claim.idempotent);
    assert_eq!(claim.target, KindTarget::Service("registry".parse().unwrap()));
    assert_eq!(configuration.customers[1].priority.0, 3);
    assert_eq!(configuration.services[0].backend_servers.len(), 2);
    assert_eq!(configuration.policy.concurrent_loads, 4);
    assert_eq!(configuration.policy.first_kinds, ["draft".parse().unwrap()]);
    assert_eq!(configuration.fence_mode, FenceMode::Honoured);
    assert_eq!(configuration.leaving_vms, ["vm-1-1".parse().unwrap()]);
}

#[test]
fn change_of_one_setting_leaves_the_others() {
    let mut lines = LINES.to_vec();
    lines.push("set customer bank in-flight 11");
    lines.push("set kind draft priority 6");
    lines.push("start group letters-1 model letters version v2 members 4");
    let configuration = after(&lines);
    let bank = configuration.customer(&"bank".parse().unwrap()).unwrap();
    assert_eq!((bank.requests_per_second.0, bank.in_flight_max, bank.priority.0), (50, 11, 3));
    let draft = configuration.kind(&"draft".parse().unwrap()).unwrap();
    assert_eq!((draft.idempotent, draft.priority.0, draft.deadline_ms), (true, 6, 30_000));
    let group = configuration.group(&"letters-1".parse().unwrap()).unwrap();
    assert_eq!((group.model_version.as_str(), group.customers.len()), ("v2", 1));
}

#[test]
fn every_query_is_parsed() {
    let queries = [
        ("show groups", Query::ShowGroups),
        ("show vms", Query::ShowVms),
        ("show nodes", Query::ShowNodes),
        ("show customers", Query::ShowCustomers),
        ("show kinds", Query::ShowKinds),
        ("show services", Query::ShowServices),
        ("show config", Query::ShowConfiguration),
        ("show commands", Query::ShowCommands),
        ("why group g", Query::WhyGroup("g".parse().unwrap())),
        ("why vm v", Query::WhyVm("v".parse().unwrap())),
        ("why request r-1", Query::WhyRequest("r-1".parse().unwrap())),
    ];
    for (line, query) in queries {
        assert_eq!(parse(line), Ok(Command::Query(query)));
    }
    assert_eq!(parse("replace config"), Ok(Command::ReplaceConfiguration));
}

#[test]
fn syntax_errors_name_the_expected_words() {
    let expected = [
        ("", "the line is empty"),
        ("shwo groups", "`shwo` is not known at the start; did you mean `show`"),
        ("show gruops", "`gruops` is not known after `show`; did you mean `groups`"),
        ("drain", "after `drain` write: group, vm"),
        ("drain group", "after `drain group` write: group id"),
        ("drain group a b", "`b` is too much after `drain group a`"),
        ("move group a domain-1", "after `move group a`"),
        ("drain group a/b", "`a/b` is not a valid group id"),
        ("start group g model m version v members many", "`many` is not a valid group size"),
        ("set policy group-downtime much", "`much` is not a valid weight"),
        ("set kind k deadline 5", "did you mean `deadline-ms`"),
        ("set service s servers somewhere", "list of addresses"),
    ];
    for (line, message) in expected {
        let actual = syntax_error(line);
        assert!(actual.contains(message), "`{line}` returned: {actual}");
    }
}

#[test]
fn unknown_names_are_refused_with_a_suggestion() {
    let configuration = after(LINES);
    let (code, message) = refused(&configuration, "stop group leters-1");
    assert_eq!(code, ResultCode::NotFound);
    assert!(message.contains("did you mean `letters-1`"), "{message}");
    for line in ["remove customer nobody", "remove kind none", "remove node entry-9"] {
        assert_eq!(refused(&configuration, line).0, ResultCode::NotFound);
    }
}

#[test]
fn changes_with_an_invalid_result_are_refused() {
    let configuration = after(LINES);
    let invalid = [
        ("remove customer town", "serves customer town"),
        ("remove kind draft", "request kind draft"),
        ("remove service registry", "goes to service registry"),
        ("set kind draft service nowhere", "service nowhere"),
        ("set kind draft deadline-ms 0", "deadline of 0 ms"),
        ("set policy group-downtime -1", "negative"),
        ("set policy group-downtime nan", "not a number"),
        ("set policy concurrent-loads 0", "concurrent loads"),
        ("set policy first-kinds draft,claims", "claims"),
        ("set group letters-1 for customers towns", "towns"),
        ("start group g model m version v members 0", "no members"),
        ("remove group letters-1", "stop group letters-1"),
        ("set customer new in-flight 3", "requests-per-second"),
        ("set kind new idempotent", "deadline-ms"),
    ];
    for (line, part) in invalid {
        let (code, message) = refused(&configuration, line);
        assert_eq!(code, ResultCode::ConfigurationInvalid, "{line}");
        assert!(message.contains(part), "`{line}` returned: {message}");
    }
}

#[test]
fn difference_names_the_parts_that_change_and_no_others() {
    let before = after(LINES);
    let changed = apply(&before, &change("set customer bank in-flight 11")).unwrap();
    let rows = difference(&before, &changed);
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0][0], "customers bank");
    assert!(rows[0][1].contains("10") && rows[0][2].contains("11"), "{rows:?}");
    assert!(difference(&before, &before).is_empty());
}

#[test]
fn any_line_is_parsed_or_refused_and_any_result_is_valid() {
    fn property(choices: Vec<u16>) -> bool {
        let vocabulary: Vec<&str> = LINES.iter().flat_map(|it| it.split(' ')).collect();
        let configuration = after(LINES);
        let words = choices.iter().map(|it| vocabulary[usize::from(*it) % vocabulary.len()]);
        let line = words.collect::<Vec<_>>().join(" ");
        match parse(&line) {
            Ok(Command::Change(change)) => {
                apply(&configuration, &change).is_ok_and(|it| check_configuration(&it).is_ok())
                    || apply(&configuration, &change).is_err_and(|it| !it.message.is_empty())
            }
            Ok(_) => true,
            Err(error) => !error.message.is_empty(),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u16>) -> bool);
}
