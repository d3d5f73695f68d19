//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod answer_ends;
mod answers_meanwhile;
mod attempts_left;
mod crashing_parts;
mod idle_connections;
mod fleet;
mod late_copies;
mod log_points;
mod held_servers;
mod metrics;
mod paused_planner;
mod planner_term;
mod paused_servers;
mod planned_stops;
mod planner_view;
mod platform;
mod relays;
mod server_faults;
mod silent_servers;
mod server_notices;
mod soak;
mod successors;
mod store_era;
mod whole_path;
