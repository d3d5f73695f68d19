//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod answer_ends;
mod answers_meanwhile;
mod crashing_parts;
mod idle_connections;
mod log_points;
mod metrics;
mod planner_view;
mod platform;
mod relays;
mod server_faults;
mod silent_servers;
mod server_notices;
mod soak;
mod successors;
mod whole_path;
