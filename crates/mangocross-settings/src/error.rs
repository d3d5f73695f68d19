//! Why settings were refused.

use snafu::Snafu;

/// Settings that were refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("E7001 SettingsInvalid: {file}{}: {message}", line_text(line)))]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Line of the mistake, from one, if known.
    pub line: Option<usize>,
    /// What is wrong and what to do.
    pub message: String,
}

fn line_text(line: &Option<usize>) -> String {
    line.map(|it| format!(":{it}")).unwrap_or_default()
}
