use std::ops::AddAssign;

/// Work of the jobs of one service and priority, in thousandths of a processor times milliseconds.
///
/// ```
/// use coriandernotch::batch::admission::Backlog;
///
/// let mut backlog = Backlog::default();
/// backlog.keep(10);
/// backlog.postpone(30);
/// assert_eq!((backlog.within_objective(), backlog.total()), (10, 40));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Jobs that have started.
    started: u64,
    /// Waiting jobs that are expected to meet their objective.
    kept: u64,
    /// Work of the largest of these.
    largest_kept: u64,
    /// Waiting jobs that are deferred or late.
    postponed: u64,
    /// Waiting jobs beyond the weight of their workspace.
    over_rate: u64,
}

impl Backlog {
    /// Adds the remaining work of a job that has started.
    pub fn start(&mut self, work: u64) {
        self.started = self.started.saturating_add(work);
    }

    /// Adds a waiting job that is expected to meet its objective.
    pub fn keep(&mut self, work: u64) {
        self.kept = self.kept.saturating_add(work);
        self.largest_kept = self.largest_kept.max(work);
    }

    /// Adds a waiting job that is deferred or late.
    pub fn postpone(&mut self, work: u64) {
        self.postponed = self.postponed.saturating_add(work);
    }

    /// Adds a waiting job beyond the weight of its workspace.
    pub fn exceed(&mut self, work: u64) {
        self.over_rate = self.over_rate.saturating_add(work);
    }

    /// Returns whether no work is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the work that goes before a new job which is to meet its objective.
    pub fn within_objective(&self) -> u64 {
        self.started.saturating_add(self.kept)
    }

    /// Returns the work that goes before a new job which may be late.
    pub fn total(&self) -> u64 {
        self.within_objective().saturating_add(self.postponed)
    }

    /// Returns the work of the waiting jobs beyond the weight of their workspace.
    pub fn over_rate(&self) -> u64 {
        self.over_rate
    }

    /// Returns the work of the largest waiting job that is expected to meet its objective, or `None`
    /// if no job had to be deferred for another. A smaller new job takes the place of that one.
    pub fn largest_kept(&self) -> Option<u64> {
        (self.postponed > 0).then_some(self.largest_kept)
    }
}

impl AddAssign for Backlog {
    fn add_assign(&mut self, other: Self) {
        self.started = self.started.saturating_add(other.started);
        self.kept = self.kept.saturating_add(other.kept);
        self.largest_kept = self.largest_kept.max(other.largest_kept);
        self.postponed = self.postponed.saturating_add(other.postponed);
        self.over_rate = self.over_rate.saturating_add(other.over_rate);
    }
}
