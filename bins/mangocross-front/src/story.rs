//! Prints the log lines that concern one request.

use std::collections::HashSet;
use std::io::BufRead;
use std::io::Write;

use serde_json::Map;
use serde_json::Value;

/// Time before and after a request in which lines about its servers are included, in milliseconds.
const CONTEXT_MS: u64 = 2000;
/// Fields that are printed elsewhere in the line or say nothing about the request.
const OMITTED_FIELDS: [&str; 7] =
    ["message", "time_unix_ms", "level", "process", "target", "request", "left_out"];

#[derive(Debug, Clone, Copy)]
pub(crate) enum Format {
    /// One row of text per log line, with the time since the request's first line.
    Text,
    /// The lines as they were logged, with `after_ms`, the time since the request's first line.
    Json,
}

/// The fields of a log line.
#[derive(Debug)]
struct Line(Map<String, Value>);

impl Line {
    /// Parses a line; text before the JSON object is skipped.
    fn read(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok().map(Self)
    }

    fn text(&self, name: &str) -> &str {
        self.0.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn time_unix_ms(&self) -> u64 {
        self.0.get("time_unix_ms").and_then(Value::as_u64).unwrap_or_default()
    }

    /// Returns whether a line that belongs to no request mentions one of these servers.
    fn mentions(&self, servers: &HashSet<&str>) -> bool {
        self.text("request").is_empty()
            && (servers.contains(self.text("server"))
                || servers.iter().any(|it| self.text("reasons").contains(it)))
    }

    fn print(&self, first_ms: u64, format: Format, output: &mut impl Write) -> std::io::Result<()> {
        let after_ms = self.time_unix_ms() as i64 - first_ms as i64;
        if matches!(format, Format::Json) {
            let mut line = self.0.clone();
            line.insert("after_ms".to_owned(), after_ms.into());
            return writeln!(output, "{}", Value::Object(line));
        }
        write!(output, "{after_ms:>+7} ms  {}", self.text("message"))?;
        for (name, value) in self.0.iter().filter(|(it, _)| !OMITTED_FIELDS.contains(&it.as_str()))
        {
            write!(output, "  {name}={value}")?;
        }
        writeln!(output)
    }
}

/// Prints the lines of a request and those about its servers at the time, in order.
///
/// Returns whether the request was found.
///
/// # Errors
///
/// Fails if the log cannot be read or the output cannot be written.
pub(crate) fn print_story(
    request: &str,
    format: Format,
    log: impl BufRead,
    output: &mut impl Write,
) -> std::io::Result<bool> {
    let mut lines = Vec::new();
    for text in log.lines() {
        lines.extend(Line::read(&text?));
    }
    let request_lines: Vec<&Line> =
        lines.iter().filter(|it| it.text("request") == request).collect();
    let times = || request_lines.iter().map(|it| it.time_unix_ms());
    let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
        return Ok(false);
    };
    let servers: HashSet<&str> =
        request_lines.iter().map(|it| it.text("server")).filter(|it| !it.is_empty()).collect();
    let is_near = |it: &&Line| {
        let time_ms = it.time_unix_ms();
        time_ms + CONTEXT_MS >= first_ms && time_ms <= last_ms + CONTEXT_MS
    };
    let context = lines.iter().filter(is_near).filter(|it| it.mentions(&servers));
    let mut story: Vec<&Line> = request_lines.iter().copied().chain(context).collect();
    story.sort_by_key(|it| it.time_unix_ms());
    for line in story {
        line.print(first_ms, format, output)?;
    }
    Ok(true)
}
