//! In which fabric domain each group belongs: one store value.

use serde::Deserialize;
use serde::Serialize;

use crate::FabricDomain;
use crate::GroupId;

/// The fabric domain of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The group.
    pub group: GroupId,
    /// Where it belongs.
    pub domain: FabricDomain,
}

/// The fabric domain of each group, changed only by compare-and-swap.
///
/// It only directs work: a group that is formed in two domains for a moment is
/// still in each of them under that domain's own assignment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    /// One entry for each placed group.
    pub entries: Vec<Placement>,
}

impl Placements {
    /// Store key of the value.
    pub const KEY: &str = "placements/current";

    /// Returns where a group belongs.
    pub fn domain_of(&self, group: &GroupId) -> Option<&FabricDomain> {
        self.entries.iter().find(|it| it.group == *group).map(|it| &it.domain)
    }
}
