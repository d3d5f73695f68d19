//! How much of the store's keys an entry VM knows, and since when that is proven.

use std::time::Duration;

use crate::Moment;
use crate::missing_servers::REAPPEARANCE_TIME;

/// Maximum age of the proof of a view that is planned from.
const PLANNING_AGE_MAX: Duration = Duration::from_millis(2500);
/// Maximum age of the proof of a view with which the planner's key is taken, or held for longer
/// than `TERM_WITHOUT_VIEW_MAX`.
const TERM_AGE_MAX: Duration = Duration::from_millis(4000);
/// Time in which the planner's lease is renewed although the view is older.
///
/// After an outage of the store the lease is renewed before all keys have been read again.
const TERM_WITHOUT_VIEW_MAX: Duration = Duration::from_millis(2000);

/// How much of the store's keys a VM knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ViewExtent {
    /// Some keys: those that a relay passes on, or that have been read so far.
    #[default]
    Part,
    /// All keys, except for changes that the store has told of and that have not been read yet.
    Behind,
    /// All keys.
    All,
}

impl ViewExtent {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Behind => "behind",
            Self::All => "all",
        }
    }
}

/// Proof that a VM knows all keys of the store as of a recent moment; only a [`StoreView`] makes it.
///
/// Planning and orders require it: to a VM that knows a part of the keys, groups look like ones
/// whose members have gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompleteView {
    proven_at: Moment,
}

impl CompleteView {
    /// Returns how long ago the store was asked for what the view shows.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.proven_at)
    }
}

/// What an entry VM's knowledge of the store is based on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mangocross_serving::Moment;
/// use mangocross_serving::StoreView;
///
/// let now = Moment::after_boot(Duration::from_secs(1));
/// let mut view = StoreView::default();
/// view.begin_reading();
/// view.record_all_keys(now);
/// assert!(view.complete(now).is_some());
/// view.record_relay();
/// assert!(view.complete(now).is_none());
/// ```
#[derive(Debug, Default)]
pub struct StoreView {
    extent: ViewExtent,
    /// When the store was asked for the newest changes that are known; kept while all keys are read
    /// again.
    proven_at: Option<Moment>,
    /// Until when others write again what the store lost when it came back from an older copy.
    settled_at: Option<Moment>,
}

impl StoreView {
    /// Records that the store came back from an older copy, as noticed at `now`: until others have
    /// had the time to write again what it lacks, nothing is planned from it.
    pub fn begin_era(&mut self, now: Moment) {
        *self = Self { settled_at: Some(now + REAPPEARANCE_TIME), ..Self::default() };
    }

    /// Records that this process started after the store came back from an older copy, and got its
    /// first answer at `now`.
    pub fn record_missed_return(&mut self, now: Moment) {
        self.settled_at = Some(now + REAPPEARANCE_TIME);
    }

    fn is_settled(&self, now: Moment) -> bool {
        self.settled_at.is_none_or(|it| now >= it)
    }

    /// Records that all keys are about to be read.
    pub fn begin_reading(&mut self) {
        self.extent = ViewExtent::Part;
    }

    /// Records that the history of a new store is about to be read from its beginning.
    pub fn begin_history(&mut self) {
        self.extent = ViewExtent::Behind;
    }

    /// Records that all keys have been read, with questions that began at a moment.
    pub fn record_all_keys(&mut self, asked_at: Moment) {
        self.extent = ViewExtent::All;
        self.proven_at = Some(asked_at);
    }

    /// Records the store's answer to a question for changes.
    pub fn record_changes(&mut self, asked_at: Moment, may_have_more: bool) {
        match self.extent {
            ViewExtent::Part => {}
            _ if may_have_more => self.extent = ViewExtent::Behind,
            _ => self.record_all_keys(asked_at),
        }
    }

    /// Records that the VM learns of changes from a relay, which passes on a part of the keys.
    pub fn record_relay(&mut self) {
        *self = Self { settled_at: self.settled_at, ..Self::default() };
    }

    /// Returns how much of the keys the VM knows.
    pub fn extent(&self) -> ViewExtent {
        self.extent
    }

    /// Returns whether the keys can be followed from the known changes on, without a part missing.
    pub fn has_all_until_now(&self) -> bool {
        self.extent != ViewExtent::Part
    }

    /// Returns the age of the newest proof, if the store has given any.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proven_at.map(|it| now.since(it))
    }

    /// Returns the proof with which plans are written and orders given.
    pub fn complete(&self, now: Moment) -> Option<CompleteView> {
        let is_complete = self.extent == ViewExtent::All && self.is_settled(now);
        let proven_at = self.proven_at.filter(|_| is_complete)?;
        (now.since(proven_at) < PLANNING_AGE_MAX).then_some(CompleteView { proven_at })
    }

    /// Returns whether the VM may become the planner.
    pub fn may_take_term(&self, now: Moment) -> bool {
        self.extent == ViewExtent::All && self.is_recent(now) && self.is_settled(now)
    }

    /// Returns whether the planner is to give up its key, so that a VM that follows the store plans.
    ///
    /// `renewed_since` is the moment from which each renewal of the lease succeeded; a lease that
    /// is not renewed ends by itself.
    pub fn must_give_up_term(&self, now: Moment, renewed_since: Option<Moment>) -> bool {
        let is_renewed = renewed_since.is_some_and(|it| now.since(it) > TERM_WITHOUT_VIEW_MAX);
        is_renewed && !self.is_recent(now)
    }

    fn is_recent(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|it| it < TERM_AGE_MAX)
    }
}
