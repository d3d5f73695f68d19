//! Which entry VMs follow the store, and how the others learn of its changes from them.

mod listed_entry_vm;
mod relay_plan;
mod relayed_keys;
mod relayed_outage;
mod source_choice;
mod store_view;

pub use listed_entry_vm::ListedEntryVm;
pub use relay_plan::RelayPlan;
pub use relayed_keys::KeyChange;
pub use relayed_keys::RelayedChanges;
pub use relayed_keys::RelayedKeys;
pub use relayed_outage::RelayedOutage;
pub use source_choice::Source;
pub use source_choice::SourceChoice;
pub use source_choice::VmRole;
pub use store_view::CompleteView;
pub use store_view::StoreView;
pub use store_view::ViewExtent;
