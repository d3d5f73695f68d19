//! Settings files: JSON with comments, validated before use.

mod coordinator;
mod error;
mod gateway;
mod load;
mod operator_key;
mod range;

pub use coordinator::CoordinatorSettings;
pub use error::SettingsError;
pub use gateway::GatewaySettings;
pub use load::Settings;
pub use load::load;
pub use load::parse;
pub use operator_key::OperatorKey;
