//! Registration of an entry VM in the configuration.

use mangocross_types::EntryVmSpec;

/// The change by which the configuration lists an entry VM with its current zone and address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryVmRegistration {
    /// Its entry is present and up to date.
    Listed,
    /// Its entry is missing or has another zone; these are the entry VMs with the new entry.
    Update(Vec<EntryVmSpec>),
    /// Its entry has the address of an earlier VM; these are the entry VMs without the entry.
    ///
    /// The entry with the new address is added once that is in force, since the address is part of
    /// the identity of the coordinator that grants freshness leases.
    Remove(Vec<EntryVmSpec>),
}

/// Returns the change of the entry VM's own entry that is needed; other entries stay unchanged.
pub fn required_entry_vm_registration(
    entry_vms: &[EntryVmSpec],
    own: &EntryVmSpec,
) -> EntryVmRegistration {
    let Some(index) = entry_vms.iter().position(|it| it.vm == own.vm) else {
        let mut with_own = entry_vms.to_vec();
        with_own.push(own.clone());
        return EntryVmRegistration::Update(with_own);
    };
    let mut next = entry_vms.to_vec();
    if next[index] == *own {
        EntryVmRegistration::Listed
    } else if next[index].coordinator == own.coordinator {
        next[index] = own.clone();
        EntryVmRegistration::Update(next)
    } else {
        next.remove(index);
        EntryVmRegistration::Remove(next)
    }
}
