//! Check of a configuration before it is sent: each finding, exit codes and JSON.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

/// A configuration without findings.
fn sound() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "chat", "host": "a.example", "path_prefix": "/chat/", "kind": "streaming",
                "timeout_ms": 8000, "target_latency_ms": 400, "gap_aim_ms": 250, "max_attempts": 2, "service": "models"},
            {"name": "find", "host": "a.example", "path_prefix": "/find/", "kind": "idempotent",
                "traffic_split": [{"service": "records", "weight": 1.0}]},
        ],
        "services": [
            {"name": "models", "max_conns": 64, "engine": {"slots": 20, "step_ms": 6.0, "read_per_s": 50000.0}},
            {"name": "records"},
        ],
        "tenants": [{"name": "t1", "api_keys": ["secret-1"]}, {"name": "t2", "api_keys": ["secret-2"]}],
    })
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mangoctl-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn run(arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangoctl"));
    let output = command.args(arguments).output().expect("mangoctl runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().expect("a code"), String::from_utf8(text).expect("text"))
}

fn check_text(name: &str, text: &str) -> (i32, String) {
    let file = write(name, text);
    run(&["--file", file.to_str().expect("a path"), "check", "traffic"])
}

/// Checks the sound configuration after a change.
fn check_with(name: &str, change: impl FnOnce(&mut Value)) -> (i32, String) {
    let mut configuration = sound();
    change(&mut configuration);
    check_text(name, &format!("{configuration:#}"))
}

#[test]
fn sound_configuration_has_no_findings() {
    assert_eq!(check_with("sound", |_| {}), (0, "nothing found\n".into()));
}

/// Name, change, exit code, path and a part of the text of a finding.
type Case = (&'static str, fn(&mut Value), i32, &'static str, &'static str);

/// Guards against findings that are missed, or that name another place than the one at fault.
#[test]
fn each_finding_names_its_severity_and_path() {
    let cases: &[Case] = &[
        (
            "names",
            |it| it["routes"][1]["name"] = json!("chat"),
            1,
            "routes[1].name",
            "is also the name of routes[0]",
        ),
        (
            "keys",
            |it| it["tenants"][1]["api_keys"] = json!(["secret-1"]),
            1,
            "tenants[1].api_keys[0]",
            "the key is also tenants[0].api_keys[0]",
        ),
        (
            "service",
            |it| it["routes"][0]["service"] = json!("gone"),
            1,
            "routes[0].service",
            "there is no service `gone`",
        ),
        (
            "weights",
            |it| it["routes"][1]["traffic_split"][0]["weight"] = json!(0.0),
            1,
            "routes[1].traffic_split",
            "all weights are zero",
        ),
        (
            "hidden",
            |it| it["routes"][1]["path_prefix"] = json!("/chat/"),
            0,
            "routes[0]",
            "never matches: routes[1] has the same host",
        ),
        (
            "prefix",
            |it| it["routes"][1]["path_prefix"] = json!("/find"),
            0,
            "routes[1].path_prefix",
            "never matches",
        ),
        (
            "no-key",
            |it| it["tenants"][1]["api_keys"] = json!([]),
            0,
            "tenants[1]",
            "the customer has no key",
        ),
        (
            "regions",
            |it| {
                it["routes"][0]["allowed_regions"] = json!(["north"]);
                it["routes"][1]["allowed_regions"] = json!(["north"]);
                it["tenants"][1]["allowed_regions"] = json!(["south"]);
            },
            0,
            "tenants[1].api_keys",
            "no route serves the customer",
        ),
        (
            "no-home",
            |it| it["tenants"][0]["allowed_regions"] = json!([]),
            1,
            "tenants[0].allowed_regions",
            "no region is allowed",
        ),
        (
            "deadline",
            |it| it["routes"][0]["timeout_ms"] = json!(300),
            0,
            "routes[0].timeout_ms",
            "the deadline of 300 ms is below the target of 400 ms",
        ),
        (
            "retries",
            |it| it["routes"][0]["max_attempts"] = json!(30),
            0,
            "routes[0].timeout_ms",
            "30 attempts of 400 ms outlast the deadline of 8000 ms",
        ),
        (
            "pause",
            |it| it["routes"][0]["gap_aim_ms"] = json!(9000),
            0,
            "routes[0].timeout_ms",
            "below the pause of 9000 ms",
        ),
        (
            "connections",
            |it| it["services"][0]["max_conns"] = json!(8),
            0,
            "services[0].max_conns",
            "8 connections cannot fill 20 slots",
        ),
        (
            "field",
            |it| it["routes"][0]["kind"] = json!("both"),
            1,
            "routes[0].kind",
            "cannot be read",
        ),
    ];
    for (name, change, exit, path, text) in cases {
        let (got, output) = check_with(name, change);
        assert_eq!(got, *exit, "{name}: {output}");
        let severity = if *exit == 1 { "error" } else { "warning" };
        let start = format!("{severity}: {path}: ");
        let has = |line: &str| line.contains(&start) && line.contains(text);
        assert!(output.lines().any(has), "{name}: {output}");
        assert!(!output.contains("secret"), "{name}: {output}");
    }
}

#[test]
fn text_that_is_no_json_is_an_error_on_its_line() {
    let (exit, output) = check_text("broken", "{\n  \"version\": 7,\n  \"routes\": [}\n}");
    assert_eq!(exit, 1);
    assert!(output.starts_with("line 3: error: routes"), "{output}");
}

#[test]
fn homes_need_a_zone_of_the_settings() {
    let mut configuration = sound();
    configuration["routes"][0]["allowed_regions"] = json!(["north", "west"]);
    let file = write("homes", &configuration.to_string());
    let settings = write("settings", r#"{"zones": {"z-a": "north", "z-b": "south"}}"#);
    let paths = [&file, &settings].map(|it| it.to_str().expect("a path"));
    let (exit, output) = run(&["--file", paths[0], "--settings", paths[1], "check", "traffic"]);
    assert_eq!(exit, 1);
    assert!(output.contains("routes[0].allowed_regions: no zone is in region `west`"), "{output}");
    assert!(!output.contains("`north`"), "{output}");
}

#[test]
fn differences_to_the_version_in_force_are_told_in_words() {
    let before = write("before", &sound().to_string());
    let mut configuration = sound();
    configuration["routes"][0]["timeout_ms"] = json!(6000);
    configuration["tenants"][1]["api_keys"] = json!(["secret-3", "secret-4"]);
    let after = write("after", &configuration.to_string());
    let paths = [&after, &before].map(|it| it.to_str().expect("a path"));
    let arguments = ["--file", paths[0], "--in-force", paths[1], "check", "traffic"];
    let (exit, output) = run(&arguments);
    let expected = "nothing found\ndifferences to the version in force:\n  \
        routes `chat` timeout_ms changes from 8000 to 6000\n  tenants `t2` api_keys: 2 added, 1 removed\n";
    assert_eq!((exit, output.as_str()), (0, expected));
    let (_, output) = run(&[&["--json"], arguments.as_slice()].concat());
    let report: Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(report["findings"], json!([]));
    assert_eq!(report["changes"].as_array().map(Vec::len), Some(2));
}

#[test]
fn missing_files_and_arguments_are_invalid_usage() {
    assert_eq!(run(&["check", "traffic"]).0, 2);
    assert_eq!(run(&["--file", "/nonexistent", "check", "traffic"]).0, 2);
    let (exit, output) = run(&["show", "groups"]);
    assert!(exit == 2 && output.contains("--coordinator ADDRESS"), "{output}");
}
