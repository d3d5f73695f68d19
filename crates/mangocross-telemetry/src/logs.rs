//! Logging as JSON lines.

use std::fmt;
use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log::kv::VisitValue;
use serde_json::Map;

use crate::bounded_writer::BoundedWriter;

/// The log level is unknown, or logging is already initialized.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogInitError(String);

impl fmt::Display for LogInitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "logs cannot be started: {}; use error, warn, info, debug or trace", self.0)
    }
}

impl std::error::Error for LogInitError {}

/// Initializes logging to standard error; each line is a JSON object with the process and VM.
///
/// # Errors
///
/// Fails if the level is unknown or logging is already initialized.
pub fn init_logs(level: &str, process: &'static str, vm: &str) -> Result<(), LogInitError> {
    init_logs_to(level, process, vm, io::stderr().into())
}

/// Initializes logging to standard output through a [`BoundedWriter`], which never blocks.
///
/// # Errors
///
/// Fails if the level is unknown or logging is already initialized.
pub fn init_bounded_logs(level: &str, process: &'static str, vm: &str) -> Result<(), LogInitError> {
    let writer: Box<dyn io::Write + Send> = Box::new(BoundedWriter::spawn(io::stdout()));
    init_logs_to(level, process, vm, writer.into())
}

fn init_logs_to(
    level: &str,
    process: &'static str,
    vm: &str,
    output: fern::Output,
) -> Result<(), LogInitError> {
    let level: LevelFilter = level.parse().map_err(|_| LogInitError(level.to_owned()))?;
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .level(level)
        .level_for("ureq", LevelFilter::Warn)
        .level_for("ureq_proto", LevelFilter::Warn)
        .format(move |out, message, record| {
            let mut line = Map::new();
            line.insert("time_unix_ms".into(), unix_ms().into());
            line.insert("level".into(), record.level().as_str().to_lowercase().into());
            line.insert("process".into(), process.into());
            line.insert("vm".into(), vm.as_str().into());
            line.insert("target".into(), record.target().into());
            line.insert("message".into(), message.to_string().into());
            let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
            out.finish(format_args!("{}", serde_json::Value::Object(line)));
        })
        .chain(output)
        .apply()
        .map_err(|it| LogInitError(it.to_string()))
}

/// Adds the key-value pairs of a record to its line.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut json = JsonVisitor(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.insert(key.to_string(), json.0);
        Ok(())
    }
}

/// Converts a value to JSON; values other than numbers, booleans and null become strings.
struct JsonVisitor(serde_json::Value);

impl<'v> VisitValue<'v> for JsonVisitor {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
