//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod crashing_parts;
mod idle_connections;
mod answer_ends;
mod fleet;
mod log_points;
mod metrics;
mod paused_planner;
mod planner_term;
mod planner_view;
mod platform;
mod relays;
mod server_faults;
mod silent_servers;
mod server_notices;
mod soak;
mod whole_path;
