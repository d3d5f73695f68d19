//! Whether a request ran.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;

/// Whether a request ran at the backend server, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// No byte of the request can have reached a backend server, or the server
    /// itself reported that it did not run the request.
    NotRun,
    /// The backend server answered.
    Ran,
    /// Bytes may have reached a backend server and its answer is unknown.
    Unknown,
}

impl RunOutcome {
    /// Returns the name used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RunOutcome {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        match text {
            "not_run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err(NumberError { what: "run outcome", text: text.to_owned() }),
        }
    }
}
