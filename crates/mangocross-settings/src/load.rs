//! Reads and checks a settings file.

use std::fs;
use std::path::Path;

use mangocross_types::VmId;
use mangocross_types::nearest;
use serde::de::DeserializeOwned;

use crate::SettingsError;

/// Settings that can check themselves.
pub trait Settings: DeserializeOwned {
    /// Returns the entry VM that the settings are for.
    fn vm(&self) -> &VmId;

    /// Returns what is wrong with the values taken together, if anything.
    fn check(&self) -> Result<(), String>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Names the file, the line and what to do.
pub fn load<T: Settings>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|it| SettingsError {
        file: file.clone(),
        line: None,
        message: format!("cannot be read: {it}"),
    })?;
    parse(&file, &text)
}

/// Checks settings given as text.
///
/// # Errors
///
/// Names the file, the line and what to do.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = json5::from_str(text).map_err(|it| from_json(file, text, &it))?;
    settings.check().map_err(|message| SettingsError {
        file: file.to_owned(),
        line: message.split('`').nth(1).and_then(|it| line_of_key(text, it)),
        message,
    })?;
    Ok(settings)
}

fn from_json(file: &str, text: &str, error: &json5::Error) -> SettingsError {
    let mut message = error.to_string();
    let mut line = error.position().map(|it| it.line + 1);
    if let Some((unknown, known)) = unknown_field(&message) {
        line = line_of_key(text, &unknown).or(line);
        message = match nearest(&unknown, known.iter().map(String::as_str)) {
            Some(near) => format!("unknown key `{unknown}`; did you mean `{near}`?"),
            None => format!("unknown key `{unknown}`; the keys are {}", known.join(", ")),
        };
    }
    SettingsError { file: file.to_owned(), line, message }
}

/// Takes the names out of serde's message on an unknown field.
fn unknown_field(message: &str) -> Option<(String, Vec<String>)> {
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
