//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod answer_ends;
mod log_points;
mod metrics;
mod platform;
mod relays;
mod server_faults;
mod server_notices;
mod soak;
mod whole_path;
