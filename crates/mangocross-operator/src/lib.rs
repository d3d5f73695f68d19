//! The operators' query and command language.

mod access;
mod apply;
mod check;
mod command;
mod difference;
mod json_lines;
mod parse;
mod wire;
mod words;

pub use access::OperatorAccess;
pub use apply::CommandError;
pub use apply::apply;
pub use check::check_configuration;
pub use command::Audience;
pub use command::Change;
pub use command::Command;
pub use command::CustomerChange;
pub use command::KindChange;
pub use command::PolicyChange;
pub use command::Query;
pub use difference::describe_changes;
pub use difference::difference;
pub use json_lines::JsonLines;
pub use parse::ParseError;
pub use parse::USAGE;
pub use parse::parse;
pub use wire::OperatorAnswer;
pub use wire::OperatorRequest;
