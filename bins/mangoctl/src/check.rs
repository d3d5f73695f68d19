//! Checks a configuration of the users' platform without contacting anything.

use std::collections::BTreeMap;
use std::path::Path;

use mangocross_operator::JsonLines;
use mangocross_operator::describe_changes;
use mangocross_platform::ConfigurationFinding;
use mangocross_platform::FindingSeverity;
use mangocross_platform::check_traffic_configuration;
use mangocross_platform::zone_regions;
use serde_json::Value;
use serde_json::json;

use crate::outcome::ExitStatus;

/// Files that are checked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CheckedFiles<'a> {
    /// The configuration.
    pub(crate) configuration: &'a Path,
    /// The version in force, to compare with.
    pub(crate) in_force: Option<&'a Path>,
    /// Settings of an entry VM, which name the region of each zone.
    pub(crate) settings: Option<&'a Path>,
}

/// What a check found.
#[derive(Debug)]
pub(crate) struct CheckReport {
    findings: Vec<(ConfigurationFinding, usize, String)>,
    changes: Option<Vec<String>>,
}

/// Checks a configuration.
///
/// # Errors
///
/// Returns which file cannot be read.
pub(crate) fn check(files: &CheckedFiles<'_>) -> Result<CheckReport, String> {
    let text = read(files.configuration)?;
    let zones = files.settings.map(read_zones).transpose()?.flatten();
    let lines = JsonLines::read(&text);
    let located = |it: ConfigurationFinding| {
        let line = it.line.or_else(|| lines.line(&it.path)).unwrap_or(1);
        let path = if it.path.is_empty() { lines.path_at(line) } else { &it.path };
        let path = path.to_owned();
        (it, line, path)
    };
    let findings = check_traffic_configuration(&text, zones.as_ref());
    let mut findings: Vec<_> = findings.into_iter().map(located).collect();
    findings.sort_by_key(|(it, line, _)| (it.severity, *line));
    let changes = match files.in_force {
        Some(path) => {
            let before = parse(&read(path)?, path)?;
            // A document that cannot be read is a finding of its own.
            serde_json::from_str(&text).ok().map(|after| describe_changes(&before, &after))
        }
        None => None,
    };
    Ok(CheckReport { findings, changes })
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))
}

fn parse(text: &str, path: &Path) -> Result<Value, String> {
    serde_json::from_str(text).map_err(|it| format!("{}: {it}", path.display()))
}

/// Returns the region of each zone, if the settings name them.
fn read_zones(path: &Path) -> Result<Option<BTreeMap<String, String>>, String> {
    zone_regions(&read(path)?).map_err(|it| format!("{}: {it}", path.display()))
}

impl CheckReport {
    /// Returns the exit status: refused if there is an error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        let is_error = |it: &ConfigurationFinding| it.severity == FindingSeverity::Error;
        match self.findings.iter().any(|it| is_error(&it.0)) {
            true => ExitStatus::Refused,
            false => ExitStatus::Done,
        }
    }

    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        for (finding, line, path) in &self.findings {
            let severity = severity_name(finding.severity);
            text.push_str(&format!("line {line}: {severity}: {path}: {}\n", finding.text));
        }
        if self.findings.is_empty() {
            text.push_str("nothing found\n");
        }
        match self.changes.as_deref() {
            None => {}
            Some([]) => text.push_str("no difference to the version in force\n"),
            Some(changes) => {
                text.push_str("differences to the version in force:\n");
                changes.iter().for_each(|it| text.push_str(&format!("  {it}\n")));
            }
        }
        text
    }

    pub(crate) fn to_json(&self) -> String {
        let finding = |(it, line, path): &(ConfigurationFinding, usize, String)| {
            let severity = severity_name(it.severity);
            json!({"severity": severity, "line": line, "path": path, "text": it.text})
        };
        let findings: Vec<Value> = self.findings.iter().map(finding).collect();
        let value = json!({"findings": findings, "changes": self.changes});
        format!("{}\n", serde_json::to_string_pretty(&value).unwrap_or_default())
    }
}

fn severity_name(severity: FindingSeverity) -> &'static str {
    match severity {
        FindingSeverity::Error => "error",
        FindingSeverity::Warning => "warning",
    }
}
