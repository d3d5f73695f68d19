//! Validation of the request kinds in a configuration.

use mangocross_operator::check_configuration;
use mangocross_types::Configuration;
use mangocross_types::ResultCode;

fn configuration(idempotent: bool) -> Configuration {
    let text = format!(
        r#"{{"kinds": [{{"id": "draft", "target": {{"model": "letters"}},
            "idempotent": {idempotent}, "deadline_ms": 1000}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn kind_that_goes_to_a_model_must_be_idempotent() {
    assert!(check_configuration(&configuration(true)).is_ok());
    let error = check_configuration(&configuration(false)).unwrap_err();
    assert_eq!(error.code, ResultCode::ConfigurationInvalid);
}
