//! Divides the requests that a cold server may get among the entry VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::VmId;

use super::ColdRule;
use super::cold_rule::PLANNED_SPAN;
use super::turns::Pace;
use crate::Moment;

/// Time for which an entry VM that was removed from the list keeps its quotas, and time after which
/// one that was listed gets quotas. The others have noticed it by then, and the requests that they
/// sent before have arrived.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Factor on the time between two turns of an entry VM that has no quotas yet, relative to an equal
/// share of the requests. Its turns come at random times, also if all entry VMs have just started.
const UNSETTLED_FACTOR: u32 = 2;

#[derive(Debug, Clone, Copy)]
struct Member {
    listed_at: Moment,
    removed_at: Option<Moment>,
}

/// The entry VMs among which the requests to cold servers are divided.
///
/// Every entry VM computes its quotas from its own list. An entry VM that appears reduces the quotas
/// of the others at once and gets its own later; one that disappears does the reverse.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    own: Arc<str>,
    members: BTreeMap<Arc<str>, Member>,
    /// Whether this entry VM has been listed for long enough to have quotas.
    is_settled: bool,
    /// Number of changes of the members and of `is_settled`.
    changes: u64,
}

impl Quotas {
    /// Replaces the list of entry VMs; `own` is the name of this one.
    pub(super) fn set_members<'a>(
        &mut self,
        own: &Arc<str>,
        listed: impl Iterator<Item = &'a Arc<str>>,
        now: Moment,
    ) {
        self.own = Arc::clone(own);
        self.members.values_mut().for_each(|it| {
            it.removed_at.get_or_insert(now);
        });
        let count = self.members.len();
        for name in listed {
            let new = Member { listed_at: now, removed_at: None };
            self.members.entry(Arc::clone(name)).or_insert(new).removed_at = None;
        }
        let mut has_changed = self.members.len() != count;
        self.members.retain(|_, it| {
            let stays = it.removed_at.is_none_or(|it| now.since(it) < SETTLING_TIME);
            has_changed |= !stays;
            stays
        });
        let own = self.members.get(own);
        let is_settled = own.is_some_and(|it| now.since(it.listed_at) >= SETTLING_TIME);
        if has_changed || is_settled != self.is_settled {
            self.is_settled = is_settled;
            self.changes += 1;
        }
    }

    pub(super) fn changes(&self) -> u64 {
        self.changes
    }

    pub(super) fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns how often this entry VM may send to a cold process of a server; `None` if never.
    pub(super) fn pace(&self, rule: &ColdRule, process: (&VmId, u64)) -> Option<Pace> {
        let count = self.members.len().max(1);
        let planned = rule.planned() as usize;
        if !self.is_settled {
            let factor = UNSETTLED_FACTOR * count as u32;
            return (planned > 0).then(|| Pace::Rare(PLANNED_SPAN * factor / planned as u32));
        }
        let (each, rest) = (planned / count, planned % count);
        let rank = if rest == 0 { 0 } else { self.rank(process) };
        let quota = each + usize::from(rank < rest);
        if quota == 0 {
            return rule.rare_interval(count - planned).map(Pace::Rare);
        }
        // One that knows of no other may be missing from the lists of the others.
        let quota = quota.min(planned.div_ceil(2));
        Some(Pace::Regular(PLANNED_SPAN / quota as u32))
    }

    /// Returns the number of entry VMs that come before this one in the order for a process, which is
    /// random but the same everywhere and changes little with the list.
    fn rank(&self, process: (&VmId, u64)) -> usize {
        let own = order(process, &self.own);
        self.members.keys().filter(|it| **it != self.own && order(process, it) < own).count()
    }
}

fn order((vm, born_unix_ms): (&VmId, u64), name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(vm.as_str().as_bytes());
    hasher.update(&born_unix_ms.to_le_bytes());
    hasher.update(name.as_bytes());
    hasher.finalize().into()
}
