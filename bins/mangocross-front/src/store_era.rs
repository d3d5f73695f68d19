//! Notices that the store came back from an older copy.

use mangocross_types::StoreRevision;

use crate::leases::PlannerTerm;
use crate::state::AppState;

impl AppState {
    /// Returns the term in which this VM is the planner; none outlives the era of the store in which
    /// it began.
    pub(crate) fn term(&self) -> Option<PlannerTerm> {
        self.planner_term.get().filter(|it| it.revision.era == self.store.era())
    }

    /// Records the revision of an answer, of the store or of a relay, before what it says is applied.
    ///
    /// In a new era all that is known is kept until others have had the time to write it again. A
    /// process that starts in a later era may have missed its beginning by moments.
    pub(crate) fn observe_revision(&self, revision: StoreRevision) {
        let now = self.now();
        let leave_within = self.bounds().leave_within;
        let mut view = self.view.borrow_mut();
        let former = view.latest_revision;
        view.latest_revision = former.max(Some(revision));
        let era = revision.era;
        let Some(former) = former else {
            if view.freshness.set_first_era(era, now) {
                self.store_view.borrow_mut().record_missed_return(now);
            }
            return;
        };
        if former.era >= era {
            return;
        }
        view.missing.record_new_era(now, leave_within);
        view.freshness.begin_era(era, now);
        drop(view);
        self.store_view.borrow_mut().begin_era(now);
        self.metrics.count_new_era();
        log::warn!(
            era = era.0, former_era = former.era.0,
            revision = revision.revision.0, former_revision = former.revision.0;
            "store era changed"
        );
        self.configuration_notice_changed.notify_one();
        self.lease_wakeup.notify_one();
        self.planner_inputs_changed.notify_one();
    }
}
