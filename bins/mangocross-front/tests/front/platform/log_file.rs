//! The log of an entry VM.

use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;

use serde_json::Value;

/// A file for the log of an entry VM, which is removed in the end.
#[derive(Debug)]
pub(crate) struct LogFile(PathBuf);

impl LogFile {
    pub(crate) fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("mangocross-{name}-{}", std::process::id())))
    }

    pub(crate) fn create(&self) -> Stdio {
        Stdio::from(File::create(&self.0).expect("a file for the log"))
    }

    /// Returns the number of lines with this message about a request, or about any if it is empty.
    pub(crate) fn count(&self, message: &str, request: &str) -> usize {
        let text = std::fs::read_to_string(&self.0).expect("the log");
        let parse = |it| serde_json::from_str::<Value>(it).unwrap_or_default();
        let is_wanted = |it: &Value| {
            it["message"] == message && (request.is_empty() || it["request"] == request)
        };
        text.lines().map(parse).filter(is_wanted).count()
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
