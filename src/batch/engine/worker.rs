use std::sync::Arc;
use std::time::Duration;

use crate::batch::{JobKey, Profile, RunKey, TaskId};
use crate::clock::Instant;
use crate::jobs::Size;

/// Time after the shutdown of a machine from which its worker is polled if the store still lists it.
/// The platform accepts an order that was carried out earlier, and then the worker still runs. The
/// store lists a worker that has ended for 4 to 5 s.
const VERIFY_SHUTDOWN_AFTER: Duration = Duration::from_millis(4_500);

/// A worker and what this leader knows about it.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) profile: Profile,
    pub(super) used: Size,
    pub(super) runs: Vec<RunKey>,
    /// Tasks of the runs in its latest answer that this leader does not keep. They work until their
    /// stop is carried out.
    pub(super) unwanted: Vec<TaskId>,
    /// Clock of the worker in milliseconds, and when it was read.
    pub(super) clock: Option<(u64, Instant)>,
    /// Start time of the process whose ends were read, in milliseconds since 1970; 0 before the
    /// first poll.
    pub(super) born_ms: u64,
    /// When the granted leases have expired, unless [`Worker::unverified_grant`] is set.
    pub(super) lease_until: Instant,
    /// When a lease was last granted to a process that may be another one than the latest answer
    /// came from.
    pub(super) unverified_grant: Option<Instant>,
    /// When the latest poll was sent, and the latest one that its current process has answered.
    pub(super) poll_sent_at: Instant,
    pub(super) polled_at: Option<Instant>,
    /// When its current process first answered, and when it last did.
    pub(super) first_answered_at: Option<Instant>,
    pub(super) answered_at: Option<Instant>,
    /// When it answered the poll before the one that it last answered.
    pub(super) answered_before: Option<Instant>,
    /// Time for which it may hold back its answer to the latest poll until a run ends.
    pub(super) poll_wait: Duration,
    /// When the poll that it last answered was sent, and whether it answered before that time was
    /// over.
    pub(super) answered_poll_at: Instant,
    pub(super) answered_early: bool,
    /// When it last responded to a poll or a start order.
    pub(super) responded_at: Option<Instant>,
    /// Address that the registration had when it last answered.
    pub(super) answered_address: Option<Arc<str>>,
    /// Whether the last call got no answer.
    pub(super) unreachable: bool,
    /// When another process was first found at its address since the last answer.
    pub(super) replaced_since: Option<Instant>,
    /// Number of the latest list of silent workers that contains it; 0 if there is none.
    pub(super) silent_report: u64,
    /// Whether it counts as gone: the store no longer lists it, or its machine was shut down.
    pub(super) delisted: bool,
    /// When an order to shut down its machine was accepted, until the store or
    /// [`Worker::verify_shutdown`] tells whether its process has ended.
    pub(super) shut_down_at: Option<Instant>,
    /// Whether the store certainly holds its row for the next leader, with its current profile.
    pub(super) is_member: bool,
    /// Position of the latest end read, and for each end that is not acknowledged its position, the
    /// job and the change of the job that must be stored first.
    pub(super) last_end_position: u64,
    pub(super) unstored_ends: Vec<(u64, JobKey, u64)>,
    pub(super) acknowledged_position: u64,
    /// Whether the latest poll was answered and listed ends. Otherwise the next call may reach another
    /// process, whose ends have other positions.
    pub(super) lists_ends: bool,
    /// Whether the latest answer to a poll listed runs. Otherwise the worker may not have been
    /// polled since.
    pub(super) lists_runs: bool,
    /// Number of start orders in a row whose answer was late.
    pub(super) unanswered_starts: u32,
    /// Different jobs that failed on it in a row.
    pub(super) failed_jobs: Vec<JobKey>,
    /// Time before which it gets no starts.
    pub(super) shunned_until: Instant,
    /// Whether it is being emptied for maintenance.
    pub(super) cordoned: bool,
    /// Whether it is being emptied because its machine is needed in another pool.
    pub(super) relocating: bool,
}

impl Worker {
    pub(super) fn new(profile: Profile) -> Self {
        Self {
            profile,
            used: Size::ZERO,
            runs: Vec::new(),
            unwanted: Vec::new(),
            clock: None,
            born_ms: 0,
            lease_until: Instant::default(),
            unverified_grant: None,
            poll_sent_at: Instant::default(),
            polled_at: None,
            first_answered_at: None,
            answered_at: None,
            answered_before: None,
            poll_wait: Duration::ZERO,
            answered_poll_at: Instant::default(),
            answered_early: false,
            responded_at: None,
            answered_address: None,
            unreachable: false,
            silent_report: 0,
            replaced_since: None,
            delisted: false,
            shut_down_at: None,
            is_member: false,
            last_end_position: 0,
            unstored_ends: Vec::new(),
            acknowledged_position: 0,
            lists_ends: false,
            lists_runs: false,
            unanswered_starts: 0,
            failed_jobs: Vec::new(),
            shunned_until: Instant::default(),
            cordoned: false,
            relocating: false,
        }
    }

    /// Records whether the store no longer lists the worker, and logs a change.
    pub(super) fn set_delisted(&mut self, delisted: bool) {
        if self.shut_down_at.take().is_some() {
            self.set_unreachable();
        }
        if std::mem::replace(&mut self.delisted, delisted) != delisted {
            log::info!(event = "worker-listing-changed", worker = self.profile.id,
                listed = !delisted, runs = self.runs.len(); "");
        }
    }

    /// Records that an order to shut down its machine was accepted.
    pub(super) fn record_shutdown(&mut self, now: Instant) {
        if !self.delisted {
            self.delisted = true;
            self.shut_down_at = Some(now);
        }
    }

    /// Lists the worker again if the store still does [`VERIFY_SHUTDOWN_AFTER`] its machine was shut
    /// down. It gets no starts until it has answered a poll.
    pub(super) fn verify_shutdown(&mut self, now: Instant) {
        let is_overdue = |at: Instant| now.since(at) > VERIFY_SHUTDOWN_AFTER;
        if self.shut_down_at.is_some_and(is_overdue) {
            self.set_delisted(false);
        }
    }

    /// Records that a call got no answer.
    pub(super) fn set_unreachable(&mut self) {
        self.unreachable = true;
        self.lists_ends = false;
    }

    /// Returns whether the process that answered last had the registered address. Otherwise that may
    /// be the address of an earlier process, whose registration was stored late.
    pub(super) fn has_answered_at_its_address(&self) -> bool {
        let answered_address = self.answered_address.as_ref();
        answered_address.is_none_or(|address| *address == self.profile.address)
    }

    /// Returns the key by which the current process on a machine is the largest of those listed for
    /// it. A later start counts only among processes that have answered: an entry alone may come
    /// from another writer.
    pub(super) fn recency(&self) -> (bool, u64) {
        (self.answered_at.is_some(), self.profile.born_ms)
    }

    /// Returns whether a connection that was opened at a time reaches the process that answered the
    /// latest poll, or none. A later one may lead to another process with the same id.
    pub(super) fn is_reached_since(&self, opened_at: Instant) -> bool {
        self.polled_at.is_some_and(|sent| opened_at <= sent)
    }

    /// Returns the free resources.
    pub(super) fn free_capacity(&self) -> Size {
        self.profile.capacity - self.used
    }

    /// Returns whether the worker has a label.
    pub(super) fn has_label(&self, label: &Arc<str>) -> bool {
        self.profile.labels.contains(label)
    }

    /// Returns the clock of the worker at `now`, in milliseconds.
    pub(super) fn clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX / 2))
    }
}
