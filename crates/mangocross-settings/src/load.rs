//! Reads and validates a settings file.

use std::fs;
use std::path::Path;

use mangocross_types::VmId;
use mangocross_types::closest_word;
use serde::de::DeserializeOwned;

use crate::SettingsError;

/// Settings that can validate themselves.
pub trait Settings: DeserializeOwned {
    /// Returns the entry VM that the settings belong to.
    fn vm(&self) -> &VmId;

    /// Validates the values, alone and in combination.
    ///
    /// # Errors
    ///
    /// Describes the first value or combination that is not valid; the first word in backquotes, if
    /// any, is the key whose line is reported.
    fn check(&self) -> Result<(), String>;
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Names the file, the line and how to correct it.
pub fn load<T: Settings>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|it| SettingsError {
        file: file.clone(),
        line: None,
        message: format!("cannot be read: {it}"),
    })?;
    parse(&file, &text)
}

/// Parses and validates settings given as text.
///
/// # Errors
///
/// Names the file, the line and how to correct it.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = json5::from_str(text).map_err(|it| from_json_error(file, text, &it))?;
    // By convention, the first word in backquotes of a message is the key.
    settings.check().map_err(|message| SettingsError {
        file: file.to_owned(),
        line: message.split('`').nth(1).and_then(|it| line_of_key(text, it)),
        message,
    })?;
    Ok(settings)
}

fn from_json_error(file: &str, text: &str, error: &json5::Error) -> SettingsError {
    let mut message = error.to_string();
    let mut line = error.position().map(|it| it.line + 1);
    if let Some((unknown, known)) = parse_unknown_field(&message) {
        line = line_of_key(text, &unknown).or(line);
        message = match closest_word(&unknown, known.iter().map(String::as_str)) {
            Some(suggestion) => format!("unknown key `{unknown}`; did you mean `{suggestion}`?"),
            None => format!("unknown key `{unknown}`; the keys are {}", known.join(", ")),
        };
    }
    SettingsError { file: file.to_owned(), line, message }
}

/// Extracts the unknown field and the known fields from serde's message on an unknown field.
fn parse_unknown_field(message: &str) -> Option<(String, Vec<String>)> {
    message.starts_with("unknown field").then_some(())?;
    let mut names = message.split('`').skip(1).step_by(2).map(str::to_owned);
    let unknown = names.next()?;
    Some((unknown, names.collect()))
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let found = text.lines().position(|it| {
        let code = it.split("//").next().unwrap_or_default().trim_start();
        let bare = code.strip_prefix(key).is_some_and(|it| it.trim_start().starts_with(':'));
        code.contains(&quoted) || bare
    });
    found.map(|it| it + 1)
}
