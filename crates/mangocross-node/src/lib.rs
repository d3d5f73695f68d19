//! Code shared by the two daemons of an entry VM: the command line and the
//! configuration in force.

mod command_line;
mod configuration;

pub use command_line::run_daemon;
pub use configuration::NodeConfiguration;
