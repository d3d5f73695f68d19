//! The outcome of a request, as text and as JSON.

use std::process::ExitCode;

use mangocross_operator::OperatorAnswer;
use mangocross_types::CommandId;
use mangocross_types::RunOutcome;
use peer_caller::RefusalBody;
use serde_json::json;

use crate::client::is_coordinator_specific;
use crate::table;

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// Done.
    Done = 0,
    /// Refused; nothing changed.
    Refused = 1,
    /// The line or an argument is invalid.
    UsageError = 2,
    /// The change is stored and not yet in force everywhere.
    NotYetInForce = 3,
    /// Whether the command took effect is unknown, or no coordinator answered.
    Unknown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A coordinator answered.
    Answered(OperatorAnswer),
    /// A coordinator refused.
    Refused(RefusalBody),
    /// No coordinator answered; holds the error of each.
    Unreached(Vec<String>),
}

impl Outcome {
    /// Returns whether to try another coordinator.
    pub(crate) fn should_try_next(&self) -> bool {
        match self {
            Self::Answered(_) => false,
            Self::Refused(refusal) => is_coordinator_specific(refusal.code),
            Self::Unreached(_) => true,
        }
    }

    /// Merges this outcome with that of the coordinators tried before.
    ///
    /// A refusal takes precedence over unreached coordinators; of two refusals, an earlier one with
    /// an unknown outcome is kept, otherwise the later one.
    pub(crate) fn merge_earlier(self, earlier: Option<Self>) -> Self {
        match (earlier, self) {
            (None, outcome) => outcome,
            (Some(Self::Unreached(mut messages)), Self::Unreached(more)) => {
                messages.extend(more);
                Self::Unreached(messages)
            }
            (Some(Self::Refused(refusal)), Self::Unreached(_)) => Self::Refused(refusal),
            (Some(Self::Refused(earlier)), Self::Refused(later)) => {
                let unknown = earlier.outcome == RunOutcome::Unknown;
                Self::Refused(if unknown { earlier } else { later })
            }
            (Some(_), outcome) => outcome,
        }
    }

    /// Returns the exit status.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Answered(answer) if answer.code.is_none() => ExitStatus::Done,
            Self::Answered(_) => ExitStatus::NotYetInForce,
            Self::Refused(refusal) if refusal.outcome == RunOutcome::Unknown => ExitStatus::Unknown,
            Self::Refused(_) => ExitStatus::Refused,
            Self::Unreached(_) => ExitStatus::Unknown,
        }
    }

    /// Returns the text form; an outcome that is not final names the id to repeat the command with.
    pub(crate) fn to_text(&self, command_id: &CommandId) -> String {
        let repeat = match self.exit_status() {
            ExitStatus::NotYetInForce | ExitStatus::Unknown => {
                format!("to send it again: --command-id {command_id}\n")
            }
            ExitStatus::Done | ExitStatus::Refused | ExitStatus::UsageError => String::new(),
        };
        self.text() + &repeat
    }

    fn text(&self) -> String {
        match self {
            Self::Answered(answer) => {
                let code = answer.code.map(|it| format!("{it}: ")).unwrap_or_default();
                let table = table::render(&answer.columns, &answer.rows);
                format!("{code}{}\n{table}", answer.message)
            }
            Self::Refused(refusal) => refusal_text(refusal),
            Self::Unreached(messages) => {
                let lines: Vec<String> = messages.iter().map(|it| format!("  {it}\n")).collect();
                format!("no coordinator answered\n{}", lines.concat())
            }
        }
    }

    /// Returns the JSON form.
    pub(crate) fn to_json(&self) -> String {
        let value = match self {
            Self::Answered(answer) => json!({ "result": answer }),
            Self::Refused(refusal) => json!({ "refusal": refusal }),
            Self::Unreached(messages) => json!({ "unreached": messages }),
        };
        format!("{}\n", serde_json::to_string_pretty(&value).unwrap_or_default())
    }
}

fn refusal_text(refusal: &RefusalBody) -> String {
    let result = match refusal.outcome {
        RunOutcome::NotRun => "refused, nothing changed",
        RunOutcome::Ran => "carried out",
        RunOutcome::Unknown => "not known whether it took effect",
    };
    let again = match refusal.retry_after_ms {
        Some(milliseconds) => format!("come back in {} s\n", milliseconds.div_ceil(1_000)),
        None => String::new(),
    };
    format!("E{} {}: {result}\n{}\n{again}", refusal.code.number(), refusal.name, refusal.message)
}
