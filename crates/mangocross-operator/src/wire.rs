//! Requests and answers of operators.

use mangocross_types::CommandId;
use mangocross_types::Configuration;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A line of the language; `replace config` also carries a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRequest {
    /// Id of the command; a repeated id has no second effect.
    pub command_id: CommandId,
    /// The line; `replace config` goes with `configuration`.
    pub text: String,
    /// A whole configuration that replaces the current one.
    #[serde(default)]
    pub configuration: Option<Configuration>,
    /// The revision that the command is based on; `None` for the newest.
    #[serde(default)]
    pub based_on: Option<Revision>,
    /// Whether to validate the command without executing it.
    #[serde(default)]
    pub dry_run: bool,
}

/// The answer to a command or query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorAnswer {
    /// `NotYetInForce` if the change is stored and not yet in force everywhere, otherwise `None`.
    pub code: Option<ResultCode>,
    /// Revision of the configuration that the answer refers to.
    pub revision: Revision,
    /// A short message.
    pub message: String,
    /// Column names of the table.
    pub columns: Vec<String>,
    /// Rows of the table.
    pub rows: Vec<Vec<String>>,
}

impl OperatorAnswer {
    /// Returns an answer without a table.
    pub fn message(revision: Revision, message: impl Into<String>) -> Self {
        Self {
            code: None,
            revision,
            message: message.into(),
            columns: Vec::new(),
            rows: Vec::new(),
        }
    }

    /// Sets the result code.
    #[must_use]
    pub fn code(mut self, code: ResultCode) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the table.
    #[must_use]
    pub fn table(mut self, columns: &[&str], rows: Vec<Vec<String>>) -> Self {
        self.columns = columns.iter().map(|it| (*it).to_owned()).collect();
        self.rows = rows;
        self
    }
}
