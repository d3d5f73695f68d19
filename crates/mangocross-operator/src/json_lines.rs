//! Finds the lines of a JSON document on which its values begin.

use std::collections::BTreeMap;

/// Line of each value of a JSON document, by its path such as `routes[2].timeout_ms`.
///
/// # Examples
///
/// ```
/// use mangocross_operator::JsonLines;
///
/// let lines = JsonLines::read("{\n  \"routes\": [\n    {\"name\": \"a\"}]}");
/// assert_eq!(lines.line("routes[0].name"), Some(3));
/// assert_eq!(lines.line("routes[0].host"), Some(3), "the line of the object without the field");
/// assert_eq!(lines.path_at(3), "routes[0].name");
/// ```
#[derive(Debug, Default)]
pub struct JsonLines {
    lines: BTreeMap<String, usize>,
    /// Paths in the order of the document.
    paths: Vec<(usize, String)>,
}

impl JsonLines {
    /// Reads a document as far as it is well-formed.
    pub fn read(text: &str) -> Self {
        let mut scanner = Scanner { rest: text, line: 1, found: Self::default() };
        // What follows an error has no lines.
        let _ = scanner.value("");
        scanner.found
    }

    /// Returns the line of a value, or of the innermost value around it that is there.
    pub fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }

    /// Returns the path of the last value that begins on a line or before it.
    pub fn path_at(&self, line: usize) -> &str {
        let found = self.paths.iter().rev().find(|it| it.0 <= line);
        found.map_or("", |it| it.1.as_str())
    }
}

struct Scanner<'a> {
    rest: &'a str,
    line: usize,
    found: JsonLines,
}

impl<'a> Scanner<'a> {
    fn skip_space(&mut self) {
        let rest = self.rest.trim_start();
        self.line += self.rest[..self.rest.len() - rest.len()].matches('\n').count();
        self.rest = rest;
    }

    fn take(&mut self, expected: char) -> Option<()> {
        self.skip_space();
        self.rest = self.rest.strip_prefix(expected)?;
        Some(())
    }

    fn string(&mut self) -> Option<&'a str> {
        self.take('"')?;
        let mut is_escaped = false;
        let end = self.rest.find(|it| {
            let ends = it == '"' && !is_escaped;
            is_escaped = it == '\\' && !is_escaped;
            ends
        })?;
        let (text, rest) = self.rest.split_at(end);
        self.rest = &rest[1..];
        Some(text)
    }

    /// Reads a value; `None` if it is malformed.
    fn value(&mut self, path: &str) -> Option<()> {
        self.skip_space();
        self.found.lines.insert(path.to_owned(), self.line);
        self.found.paths.push((self.line, path.to_owned()));
        match self.rest.chars().next()? {
            '{' => self.items('{', '}', |scanner, _| {
                let name = scanner.string()?;
                scanner.take(':')?;
                let dot = if path.is_empty() { "" } else { "." };
                scanner.value(&format!("{path}{dot}{name}"))
            }),
            '[' => {
                self.items('[', ']', |scanner, index| scanner.value(&format!("{path}[{index}]")))
            }
            '"' => self.string().map(|_| ()),
            _ => {
                let end = self.rest.find(|it: char| ",]}".contains(it) || it.is_whitespace());
                self.rest = &self.rest[end.unwrap_or(self.rest.len())..];
                Some(())
            }
        }
    }

    fn items(
        &mut self,
        open: char,
        close: char,
        mut read: impl FnMut(&mut Self, usize) -> Option<()>,
    ) -> Option<()> {
        self.take(open)?;
        if self.take(close).is_some() {
            return Some(());
        }
        for index in 0.. {
            read(self, index)?;
            if self.take(close).is_some() {
                return Some(());
            }
            self.take(',')?;
        }
        None
    }
}
