//! The operators' query and command language.

mod apply;
mod check;
mod command;
mod difference;
mod parse;
mod wire;

pub use apply::CommandError;
pub use apply::apply;
pub use check::check_configuration;
pub use command::Change;
pub use command::Command;
pub use command::Query;
pub use difference::difference;
pub use parse::ParseError;
pub use parse::parse;
pub use wire::OperatorAnswer;
pub use wire::OperatorRequest;
