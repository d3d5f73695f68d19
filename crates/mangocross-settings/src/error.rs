//! Errors of settings files.

use snafu::Snafu;

/// Settings that cannot be read or are not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("E7001 SettingsInvalid: {file}{}: {message}", line_text(line)))]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: String,
    /// Line of the mistake, starting at 1, if known.
    pub line: Option<usize>,
    /// What is wrong and how to correct it.
    pub message: String,
}

fn line_text(line: &Option<usize>) -> String {
    line.map(|it| format!(":{it}")).unwrap_or_default()
}
