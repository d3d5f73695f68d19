//! Tests of the program as a process, between callers and a small stand-in of the platform.

mod answer_ends;
mod answers_meanwhile;
mod attempts_left;
mod crashing_parts;
mod crashing_requests;
mod fleet;
mod held_servers;
mod idle_connections;
mod late_copies;
mod log_points;
mod metrics;
mod one_search;
mod paused_planner;
mod paused_servers;
mod planned_stops;
mod planner_term;
mod planner_view;
mod platform;
mod relays;
mod server_faults;
mod server_notices;
mod silent_servers;
mod soak;
mod store_era;
mod successors;
mod whole_path;
