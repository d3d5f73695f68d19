//! Placement of groups in fabric domains: one store value.

use serde::Deserialize;
use serde::Serialize;

use crate::FabricDomain;
use crate::GroupId;

/// The fabric domain of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Group that is placed.
    pub group: GroupId,
    /// Fabric domain that the group is placed in.
    pub domain: FabricDomain,
    /// During a move, the fabric domain where it serves until it serves in `domain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving_from: Option<FabricDomain>,
}

/// The fabric domain of each group, changed only by compare-and-swap.
///
/// Advisory: a group that is briefly formed in two domains is governed in each of them by that
/// domain's [`DomainAssignment`](crate::DomainAssignment).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    /// One entry for each placed group.
    pub entries: Vec<Placement>,
}

impl Placements {
    /// Store key of the value.
    pub const KEY: &str = "placements/current";

    /// Returns the fabric domain that a group is placed in.
    pub fn domain_of(&self, group: &GroupId) -> Option<&FabricDomain> {
        self.of(group).map(|it| &it.domain)
    }

    /// Returns the placement of a group; `None` if it is not placed.
    pub fn of(&self, group: &GroupId) -> Option<&Placement> {
        self.entries.iter().find(|it| it.group == *group)
    }

    /// Returns whether a group should be loaded in a fabric domain.
    pub fn includes(&self, group: &GroupId, domain: &FabricDomain) -> bool {
        self.of(group)
            .is_some_and(|it| it.domain == *domain || it.moving_from.as_ref() == Some(domain))
    }
}
