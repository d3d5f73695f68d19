//! A value of a metric at collection time.

use opentelemetry::KeyValue;

/// A value of a metric, with labels, that is read at collection time.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    pub(crate) value: u64,
    pub(crate) labels: Vec<KeyValue>,
}

impl Sample {
    /// Creates a sample without labels.
    pub fn new(value: u64) -> Self {
        Self { value, labels: Vec::new() }
    }

    /// Adds a label.
    #[must_use]
    pub fn label(mut self, key: &'static str, value: &'static str) -> Self {
        self.labels.push(KeyValue::new(key, value));
        self
    }
}
