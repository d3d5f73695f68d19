//! How an entry VM takes its place among those of the configuration.

use mangocross_types::EntryVmSpec;

/// What an entry VM does about its own line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// Its line is there as it should be.
    Listed,
    /// Its line is missing, or only its zone changed: these are the entry VMs with it.
    Update(Vec<EntryVmSpec>),
    /// Its line has the address of an earlier VM: these are the entry VMs without it.
    ///
    /// The line with the new address follows once that is in force, since an address
    /// is part of who vouches.
    Remove(Vec<EntryVmSpec>),
}

/// Decides what an entry VM does about its own line; other lines are left as they are.
pub fn register(entry_vms: &[EntryVmSpec], own: &EntryVmSpec) -> Registration {
    let Some(index) = entry_vms.iter().position(|it| it.vm == own.vm) else {
        let mut with_own = entry_vms.to_vec();
        with_own.push(own.clone());
        return Registration::Update(with_own);
    };
    let mut next = entry_vms.to_vec();
    if next[index] == *own {
        Registration::Listed
    } else if next[index].coordinator == own.coordinator {
        next[index] = own.clone();
        Registration::Update(next)
    } else {
        next.remove(index);
        Registration::Remove(next)
    }
}
