//! Settings that are accepted, and settings that are refused with their line and a suggestion.

use mangocross_settings::CoordinatorSettings;
use mangocross_settings::GatewaySettings;
use mangocross_settings::SettingsError;
use mangocross_settings::parse;

const GATEWAY: &str = r#"// Settings of a gateway.
{
  "vm": "entry-1",
  "availability_zone": "zone-1",
  "listen": "127.0.0.1:8000", // for callers
  "poll_from": "127.0.0.1:0",
  "coordinators": ["127.0.0.1:7100"],
  "store": "127.0.0.1:7001",
  "peer_secret": "a secret of sixteen or more",
}
"#;
const COORDINATOR: &str = r#"{
  "vm": "entry-1",
  "availability_zone": "zone-1",
  "listen": "127.0.0.1:7100",
  "poll_from": "127.0.0.1:0",
  "operator_listen": "127.0.0.1:7200",
  "coordinators": [],
  "store": "127.0.0.1:7001",
  "platform": "127.0.0.1:7002",
  "peer_secret": "a secret of sixteen or more",
}
"#;

/// Appends a setting as the last line of the document.
fn with(text: &str, line: &str) -> String {
    text.replace("\n}\n", &format!("\n  {line}\n}}\n"))
}

fn gateway_error(text: &str) -> SettingsError {
    parse::<GatewaySettings>("gateway.json", text).expect_err(text)
}

fn coordinator_error(text: &str) -> SettingsError {
    parse::<CoordinatorSettings>("coordinator.json", text).expect_err(text)
}

#[test]
fn settings_with_comments_are_accepted_with_defaults() {
    let gateway: GatewaySettings = parse("gateway.json", GATEWAY).expect("valid");
    let coordinator: CoordinatorSettings = parse("coordinator.json", COORDINATOR).expect("valid");
    assert_eq!(gateway.freshness_lease_ms, coordinator.freshness_lease_ms);
    let text = with(GATEWAY, r#""vouch_ms": 3000,"#);
    assert_eq!(
        parse::<GatewaySettings>("gateway.json", &text).expect("valid").freshness_lease_ms,
        3_000
    );
}

#[test]
fn unknown_key_is_refused_with_line_and_suggestion() {
    let error = gateway_error(&with(GATEWAY, r#""vouch_milliseconds": 5,"#));
    assert_eq!(error.line, Some(10));
    assert!(error.to_string().contains("`vouch_milliseconds`"), "{error}");
    let error = gateway_error(&GATEWAY.replace("\"store\"", "\"stroe\""));
    assert_eq!(error.line, Some(8));
    assert!(error.message.contains("did you mean `store`?"), "{error}");
    assert!(error.to_string().starts_with("E7001 SettingsInvalid: gateway.json:8: "), "{error}");
    let error = gateway_error(&with(GATEWAY, "colour: 'blue',"));
    assert_eq!(error.line, Some(10));
    assert!(error.message.contains("the keys are vm, availability_zone"), "{error}");
}

#[test]
fn key_in_a_comment_does_not_change_the_reported_line() {
    let text = GATEWAY.replace("// for callers", "// not \"vouch_ms\"");
    let error = gateway_error(&with(&text, r#""vouch_ms": 20000,"#));
    assert_eq!(error.line, Some(10));
}

#[test]
fn malformed_values_are_refused_with_their_line() {
    let error = gateway_error(&GATEWAY.replace("127.0.0.1:7001", "somewhere"));
    assert_eq!(error.line, Some(8), "{error}");
    let error = gateway_error(&GATEWAY.replace("\"store\": ", "\"store\" "));
    assert!(error.line.is_some(), "{error}");
    let error = gateway_error(&GATEWAY.replace("  \"vm\": \"entry-1\",\n", ""));
    assert!(error.message.contains("vm"), "{error}");
}

#[test]
fn values_out_of_range_are_refused_with_their_line() {
    let gateway = [
        (r#""vouch_ms": 20000,"#, "use 100 to 15000"),
        (r#""vouch_ms": 800,"#, "three poll intervals"),
        (r#""poll_interval_ms": 0,"#, "use 1 to 5000"),
        (r#""keep_alive_ms": 0,"#, "use a positive number"),
    ];
    for (line, message) in gateway {
        let error = gateway_error(&with(GATEWAY, line));
        assert!(error.message.contains(message), "{line}: {error}");
        assert_eq!(error.line, Some(10), "{line}: {error}");
    }
    let coordinator = [
        (r#""probe_interval_ms": 0,"#, "use 10 to 10000"),
        (r#""vouch_ms": 50,"#, "use 100 to 15000"),
        (r#""in_force_wait_ms": 0,"#, "use 1 to 3600000"),
        (r#""proof_ms": 700,"#, "probe's interval and timeout"),
    ];
    for (line, message) in coordinator {
        let error = coordinator_error(&with(COORDINATOR, line));
        assert!(error.message.contains(message), "{line}: {error}");
        assert_eq!(error.line, Some(11), "{line}: {error}");
    }
    let short = GATEWAY.replace("a secret of sixteen or more", "too short");
    assert_eq!(gateway_error(&short).line, Some(9));
    let without_coordinators = GATEWAY.replace("\"127.0.0.1:7100\"", "");
    assert!(gateway_error(&without_coordinators).message.contains("`coordinators` is empty"));
}

#[test]
fn file_that_cannot_be_read_is_named() {
    let path = std::path::Path::new("/nowhere/gateway.json");
    let error = mangocross_settings::load::<GatewaySettings>(path).expect_err("no such file");
    assert!(error.to_string().contains("/nowhere/gateway.json"), "{error}");
}

#[test]
fn operator_keys_are_long_enough_and_unique() {
    let with_keys = |keys: &str| with(COORDINATOR, &format!("\"operator_keys\": [{keys}],"));
    let ana = r#"{"operator": "ana", "key": "abcdefghijklmnop"}"#;
    parse::<CoordinatorSettings>("coordinator.json", &with_keys(ana)).expect("valid");
    let short = ana.replace("mnop", "");
    let spaced = ana.replace("mnop", "m op");
    for (keys, complaint) in [
        (short, "too short"),
        (spaced, "visible ASCII"),
        (format!("{ana}, {}", ana.replace("ana", "ben")), "stands twice"),
        (ana.replace("\"ana\"", "\"a na\""), "not a valid operator"),
    ] {
        let error = coordinator_error(&with_keys(&keys)).to_string();
        assert!(error.contains(complaint), "{error}");
    }
}
