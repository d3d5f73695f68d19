//! What entry VMs tell each other about crashes.

use std::sync::Arc;

use mangocross_types::PromptPartId;
use serde::Deserialize;
use serde::Serialize;

use crate::CrashCause;
use crate::ServerProcess;

/// A crash in a report to another entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// What it counts against.
    pub cause: CrashCause,
    /// Process that crashed.
    pub server: ServerProcess,
    /// Time since the last request with the cause was sent there.
    pub sent_age_us: u64,
    /// Time since the crash.
    pub age_us: u64,
    /// Names of entry VMs that observed it.
    pub reporters: Vec<Arc<str>>,
    /// Names of other entry VMs that know that the process has ended.
    pub confirmers: Vec<Arc<str>>,
}

/// What an entry VM tells the others about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes and what they count against.
    pub crashes: Vec<ReportedCrash>,
    /// Causes that others blame and that are sound, and requests among `crashes` that the reporter saw
    /// answered; with the microseconds since that.
    pub sound: Vec<(CrashCause, u64)>,
}

impl CrashReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }
}

/// A crash in the report of an earlier version, which knows only parts of prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPartCrash {
    /// Part that an answer had hardly begun with.
    pub part: PromptPartId,
    /// Process that crashed.
    pub server: ServerProcess,
    /// Time since the crash.
    pub age_ms: u32,
    /// Names of entry VMs that observed it.
    pub reporters: Vec<Arc<str>>,
}

/// The report of an earlier version, which knows only parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// Crashes and the parts that they count against.
    pub crashes: Vec<ReportedPartCrash>,
    /// Parts that others blame and that are sound, and the milliseconds since they proved so.
    pub sound: Vec<(PromptPartId, u32)>,
}

impl From<PartCrashReport> for CrashReport {
    fn from(report: PartCrashReport) -> Self {
        let microseconds = |ms: u32| u64::from(ms) * 1000;
        let crashes = report.crashes.into_iter().map(|it| ReportedCrash {
            cause: CrashCause::Part(it.part),
            server: it.server,
            // It may have been sent before any other crash.
            sent_age_us: u64::MAX,
            age_us: microseconds(it.age_ms),
            reporters: it.reporters,
            confirmers: Vec::new(),
        });
        let sound = report.sound.into_iter();
        Self {
            crashes: crashes.collect(),
            sound: sound.map(|(part, ms)| (CrashCause::Part(part), microseconds(ms))).collect(),
        }
    }
}
