//! Wire forms of the events that an engine's prefix cache publishes.

use std::fmt;

use mangocross_types::BackendReport;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;

/// Length of the part of a prompt that is its prefix, in bytes.
const PREFIX_BYTES: usize = 512;

/// Hash of a prompt's prefix: the first 4 bytes of BLAKE3 over its first 512 bytes, little-endian.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPrefix(pub u32);

impl PromptPrefix {
    /// Returns the hash of a prompt's prefix.
    pub fn of(prompt: &str) -> Self {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let hash = blake3::hash(prefix);
        let (first, _) = hash.as_bytes().split_at(size_of::<u32>());
        Self(u32::from_le_bytes(first.try_into().expect("four bytes")))
    }
}

impl fmt::Display for PromptPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A change to a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefixEvent {
    /// A prefix was added to the cache.
    Stored(PromptPrefix),
    /// A prefix was evicted from the cache.
    Evicted(PromptPrefix),
    /// The cache was emptied, for example by a restart.
    Cleared,
}

/// An event with its sequence number within an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedEvent {
    /// Sequence number, increasing by one; a gap means that events are missing.
    pub number: u64,
    /// Time since the event in milliseconds.
    pub age_ms: u32,
    /// The change to the cache.
    pub event: PrefixEvent,
}

/// Events that a cache published, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Random number that the cache chose when it last started.
    pub epoch: u64,
    /// Events of this epoch, oldest first.
    pub events: Vec<NumberedEvent>,
}

/// Position after which events are requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachePosition {
    /// Epoch of the newest event received.
    pub epoch: u64,
    /// Sequence number of that event.
    pub number: u64,
}

/// An engine's answer to a probe: its report and its newest cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// State of the engine when it answered.
    #[serde(flatten)]
    pub report: BackendReport,
    /// Events of its prefix cache since the requested position, if it publishes events.
    ///
    /// An unreadable value is read as `None`, so that it never fails a probe.
    #[serde(default, deserialize_with = "deserialize_or_none")]
    pub cache: Option<CacheEvents>,
}

fn deserialize_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<CacheEvents>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).unwrap_or_default())
}
