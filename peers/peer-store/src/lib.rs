//! Client of the platform's key-value store.

mod entry;
mod error;
mod http_store;
mod store;

pub use entry::CasOutcome;
pub use entry::Entry;
pub use error::StoreError;
pub use error::StoreErrorKind;
pub use http_store::HttpStore;
pub use store::Store;
pub use store::read_json;
pub use store::swap_json;
