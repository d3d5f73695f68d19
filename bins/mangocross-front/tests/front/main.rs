//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod crashing_parts;
mod log_points;
mod metrics;
mod platform;
mod relays;
mod server_faults;
mod soak;
mod whole_path;
