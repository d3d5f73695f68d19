//! Regions that a request must not leave.

use std::collections::BTreeSet;

use mangocross_types::Region;

/// The regions in which a request may be served; without a restriction, all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeRegions(Option<BTreeSet<Region>>);

impl HomeRegions {
    /// Creates a restriction to these regions; an empty list is none.
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Returns the regions that both restrictions allow, which may be none.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(one), Some(other)) => Self(Some(one.intersection(other).cloned().collect())),
            (one, other) => Self(one.as_ref().or(other.as_ref()).cloned()),
        }
    }

    /// Returns whether a server in a region may serve the request; `None` if its region is not known.
    pub fn allows_server(&self, region: Option<&Region>) -> bool {
        self.0.as_ref().is_none_or(|homes| region.is_some_and(|it| homes.contains(it)))
    }

    /// Returns whether the request may be passed on to an entry VM in a region by one in region `own`.
    pub fn allows_entry_vm(&self, region: Option<&Region>, own: Option<&Region>) -> bool {
        self.allows_server(region) || (region.is_some() && region == own)
    }
}
