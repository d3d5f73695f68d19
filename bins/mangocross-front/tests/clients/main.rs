//! Tests of crowds of clients that stay outside the limits, each against the program as a process.
//!
//! They check that the process lives, that its memory and its descriptors stay within its settings,
//! and that an ordinary request is answered afterwards. They run one at a time.

mod bodies;
mod calm;
mod crowd;
mod fields;
#[allow(dead_code, unused_imports, reason = "shared with the tests of the front")]
#[path = "../front/platform/mod.rs"]
mod platform;
mod readers;
mod senders;
