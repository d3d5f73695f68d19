//! Tests of the command line's output and exit codes.

use std::io::Write;
use std::process::Command;
use std::process::Stdio;

/// Runs the program with a text on standard input; returns the exit code and the output.
fn run(arguments: &[&str], input: &str) -> (i32, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mangocross-front"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("an input");
    stdin.write_all(input.as_bytes()).expect("the program reads its input");
    drop(stdin);
    let output = child.wait_with_output().expect("the program ends");
    let mut text = String::from_utf8(output.stdout).expect("text");
    text.push_str(&String::from_utf8(output.stderr).expect("text"));
    (output.status.code().expect("an exit code"), text)
}

const LOG: &str = r#"
entry-1 {"message":"stream sent","request":"a1","server":"i-1","detail":"5 in flight, 1 waiting, 6 groups","time_unix_ms":1000,"vm":"entry-1"}
not a line of the log
entry-2 {"message":"group suspect","server":"i-1","time_unix_ms":2400,"vm":"entry-2"}
entry-2 {"message":"group suspect","server":"i-9","time_unix_ms":2400,"vm":"entry-2"}
entry-1 {"message":"stream broke","request":"a1","server":"i-1","age_ms":1500,"time_unix_ms":2500,"vm":"entry-1"}
entry-1 {"message":"request failed","request":"a2","status":503,"time_unix_ms":2500,"vm":"entry-1"}
entry-3 {"message":"plan written","reasons":"[\"g1 re-formed: i-1 does not answer\"]","time_unix_ms":2800,"vm":"entry-3"}
entry-1 {"message":"request failed","request":"a1","status":200,"code":3003,"time_unix_ms":2501,"vm":"entry-1"}
"#;

const STORY: &str = r#"     +0 ms  stream sent  detail="5 in flight, 1 waiting, 6 groups"  server="i-1"  vm="entry-1"
  +1400 ms  group suspect  server="i-1"  vm="entry-2"
  +1500 ms  stream broke  age_ms=1500  server="i-1"  vm="entry-1"
  +1501 ms  request failed  code=3003  status=200  vm="entry-1"
  +1800 ms  plan written  reasons="[\"g1 re-formed: i-1 does not answer\"]"  vm="entry-3"
"#;

#[test]
fn story_of_a_request_holds_its_lines_and_those_of_its_servers() {
    assert_eq!(run(&["--story", "a1"], LOG), (0, STORY.to_owned()));
}

#[test]
fn unknown_request_is_reported_as_unknown() {
    let (code, text) = run(&["--story", "a7"], LOG);
    assert_eq!((code, text.as_str()), (1, "[7103] no log lines found for request `a7`\n"));
}

#[test]
fn invalid_settings_are_rejected_with_an_error_code() {
    let file = std::env::temp_dir().join(format!("front-settings-{}.json", std::process::id()));
    std::fs::write(&file, "{\"node\": 7}").expect("a file");
    let (code, text) = run(&["--check", "--settings", &file.display().to_string()], "");
    std::fs::remove_file(&file).expect("the file is there");
    assert_eq!(code, 1);
    assert!(text.contains("[7102]") && text.contains("line 1"), "{text}");
    let (code, text) = run(&["--check", "--settings", "/nonexistent/file"], "");
    assert!(code == 1 && text.contains("[7101]"), "{text}");
}

const SETTINGS: &str = r#"{
  "node": "entry-1", "ip": "10.0.0.1", "zone": "zone-a", "region": "region-a",
  "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
  "internal_ports": [9100],
  "bounds": {"revok_ms": 4000, "reuse_delay_s": 2, "grace_s": 8},
  "platform": {"address": "10.0.0.9:80"}
}"#;

/// Without a warning, a bound with a misspelled key would silently have its default.
#[test]
fn misspelled_settings_are_named_with_line_and_suggestion() {
    let name = format!("front-misspelled-{}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    let path = file.display().to_string();
    let warning = format!("{path}: line 5: `revok_ms` is not read; did you mean `revoke_ms`?");
    std::fs::write(&file, SETTINGS).expect("a file");
    let checked = run(&["--check", "--settings", &path], "");
    assert_eq!(checked, (0, format!("{path}: valid\n{warning}\n")));
    let (code, text) = run(&["--check", "--json", "--settings", &path], "");
    let printed: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &printed["warnings"]), (0, &serde_json::json!([warning])));
    std::fs::write(&file, SETTINGS.replace("\"zone\"", "\"zoen\"")).expect("a file");
    let (code, text) = run(&["--check", "--settings", &path], "");
    std::fs::remove_file(&file).expect("the file is there");
    assert!(
        code == 1 && text.contains("[7102]") && text.contains("missing field `zone`"),
        "{text}"
    );
    assert!(text.contains("line 2: `zoen` is not read; did you mean `zone`?"), "{text}");
}

#[test]
fn story_and_check_are_printed_as_json() {
    let (code, text) = run(&["--story", "a1", "--json"], LOG);
    let lines: Vec<serde_json::Value> =
        text.lines().map(|it| serde_json::from_str(it).expect("JSON")).collect();
    let after_ms: Vec<i64> = lines.iter().filter_map(|it| it["after_ms"].as_i64()).collect();
    assert_eq!((code, after_ms.as_slice()), (0, &[0, 1400, 1500, 1501, 1800][..]));
    assert_eq!(lines[2]["message"], "stream broke");
}

const HELP: &str = "Serves callers on an entry VM and keeps model groups whole.

Usage: mangocross-front [--settings=FILE] [--check] [--story=REQUEST] [--json] [--log-level=LEVEL]

Available options:
        --settings=FILE    Settings file in the platform's format; the default is the one that
                           MANGOCROSS_CONFIG names
        --check            Check the settings and exit
        --story=REQUEST    Read a log from standard input, print what it tells of a request, and
                           exit
        --json             Print the story or the result of the check as JSON, one object a line
        --log-level=LEVEL  Log level: error, warn, info, debug or trace
                           [default: info]
    -h, --help             Prints help information
    -V, --version          Prints version information

";

#[test]
fn help_is_as_recorded() {
    assert_eq!(run(&["--help"], ""), (0, HELP.to_owned()));
}

#[test]
fn shells_complete_the_options() {
    let (code, text) = run(&["--bpaf-complete-style-bash"], "");
    assert!(code == 0 && text.contains("complete"), "{text}");
    let (_, text) = run(&["--bpaf-complete-rev=8", "--st"], "");
    assert!(text.contains("--story"), "{text}");
}
