//! Serves callers on an entry VM and keeps model groups complete.

mod answer_body;
mod blame;
mod body_reader;
mod clock;
mod closed_heads;
mod cold_servers;
mod command_line;
mod connection;
mod control;
mod demand;
mod dispatch;
mod entry_vm_list;
mod exposed_port;
mod first_answer;
mod head_candidates;
mod head_limit;
mod held_entries;
mod home_regions;
mod ingress;
mod leases;
mod log_rate;
mod metrics;
mod outcome;
mod peer_forwarding;
mod peer_nonce;
mod peers;
mod plain;
mod planning;
mod pool;
mod ready;
mod relay_client;
mod relay_following;
mod relay_messages;
mod relay_server;
mod relay_state;
mod server_limits;
mod server_notices;
mod server_reach;
mod settings;
mod silence;
mod state;
mod stopping;
mod store;
mod store_changes;
mod store_era;
mod store_following;
mod story;
mod stream;
mod unreadable_configuration;
mod watching;
mod zone_evacuation;
mod zone_figures;
mod zone_routing;
mod zone_traffic;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::run()
}
