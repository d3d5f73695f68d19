//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<(File, Vec<String>)>>,
    begun_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|it| crate::http::quit(&format!("{path}: {it}")));
        Self { lines: Arc::new(Mutex::new((file, Vec::new()))), begun_at: Instant::now() }
    }

    pub fn add(&self, line: &str) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let line = format!("{:8.3} s  {line}", self.begun_at.elapsed().as_secs_f64());
        let _ = writeln!(lines.0, "{line}");
        lines.1.push(line);
    }

    /// Returns how often each attempt has run.
    pub fn runs(&self) -> std::collections::HashMap<String, usize> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut runs = std::collections::HashMap::new();
        for attempt in lines.1.iter().filter_map(|it| it.split_once("  run ")?.1.split(' ').next()) {
            *runs.entry(attempt.to_owned()).or_insert(0) += 1;
        }
        runs
    }

    /// Returns the number of lines that hold a text.
    pub fn count(&self, text: &str) -> usize {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.1.iter().filter(|it| it.contains(text)).count()
    }
}
