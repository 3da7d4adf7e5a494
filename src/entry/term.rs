use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{Notify, mpsc};

use super::signals::Signals;
use crate::batch::{AnswerTime, Engine, Lag, Leadership, Order, State, WorkerKey};
use crate::clock::{self, Instant};
use crate::collections::Map;
use crate::job_store::Deletions;

/// Connects the scheduler to the tasks of one worker.
pub(super) struct Handle {
    pub(super) orders: mpsc::UnboundedSender<Order>,
    /// Address to which the orders are sent.
    pub(super) address: Arc<str>,
    pub(super) signals: Arc<Signals>,
}

/// A term of leadership: the time from taking over until the leadership ends.
pub(super) struct Term {
    engine: Mutex<Engine>,
    /// Ended jobs whose rows are to be deleted; locked after the engine.
    deletions: Mutex<Deletions>,
    pub(super) token: u64,
    /// Version of the store up to which the jobs were loaded at the start of the term.
    pub(super) loaded_version: u64,
    pub(super) leadership: Mutex<Leadership>,
    pub(super) lag: Mutex<Lag>,
    /// Times that workers take to answer.
    answer_time: Mutex<AnswerTime>,
    pub(super) handles: Mutex<Map<WorkerKey, Handle>>,
    /// Notified when tasks may be placed on workers.
    pub(super) placement_wake: Notify,
    /// Notified when the leadership must be renewed at once, to store members.
    pub(super) renewal_wake: Notify,
    /// Notified when there are changes to store.
    pub(super) flush_wake: Notify,
    /// Whether the leader resigns: it stores its last changes before the term ends.
    resigning: AtomicBool,
    /// Whether the term has ended; it cannot resume.
    ended: AtomicBool,
    /// Notified when the term ends.
    pub(super) end_signal: Notify,
}

impl Term {
    pub(super) fn new(
        engine: Engine,
        deletions: Deletions,
        leadership: Leadership,
        loaded_version: u64,
    ) -> Self {
        Self {
            token: engine.token(),
            loaded_version,
            engine: Mutex::new(engine),
            deletions: Mutex::new(deletions),
            leadership: Mutex::new(leadership),
            lag: Mutex::default(),
            answer_time: Mutex::default(),
            handles: Mutex::default(),
            placement_wake: Notify::new(),
            renewal_wake: Notify::new(),
            flush_wake: Notify::new(),
            resigning: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            end_signal: Notify::new(),
        }
    }

    pub(super) fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().expect("engine lock")
    }

    pub(super) fn deletions(&self) -> MutexGuard<'_, Deletions> {
        self.deletions.lock().expect("deletion lock")
    }

    /// Returns whether a worker still has the handle with the given signals.
    pub(super) fn has_handle(&self, key: WorkerKey, signals: &Arc<Signals>) -> bool {
        let handles = self.handles.lock().expect("handle lock");
        handles
            .get(&key)
            .is_some_and(|handle| Arc::ptr_eq(&handle.signals, signals))
    }

    /// Returns the state of a job that the engine holds; `None` if it must be read from the store.
    pub(super) fn job_state(&self, job: &Arc<str>) -> Option<State> {
        self.engine().state(job)
    }

    /// Returns the number of waiting jobs of each queue.
    pub(super) fn pending_jobs(&self) -> Vec<(Arc<str>, u64)> {
        self.engine().unstarted_jobs().collect()
    }

    /// Ends the term and logs the reason.
    pub(super) fn end(&self, reason: &str) {
        if !self.ended.swap(true, Ordering::AcqRel) {
            log::warn!(event = "leadership-ended", token = self.token, reason; "");
        }
        self.end_signal.notify_waiters();
        self.end_signal.notify_one();
    }

    /// Begins the resignation of the leader, whose last changes are stored without further delay.
    pub(super) fn begin_resignation(&self) {
        self.resigning.store(true, Ordering::Release);
        self.flush_wake.notify_one();
    }

    pub(super) fn is_resigning(&self) -> bool {
        self.resigning.load(Ordering::Acquire)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    pub(super) fn answer_time(&self) -> MutexGuard<'_, AnswerTime> {
        self.answer_time.lock().expect("answer time lock")
    }

    /// Returns whether this leader cannot keep up with its work.
    pub(super) fn is_behind(&self, now: Instant) -> bool {
        self.lag.lock().expect("lag lock").is_behind(now)
    }

    /// Returns until when orders for machines may be sent, if they may be sent now.
    pub(super) fn machine_orders_until(&self, now: Instant) -> Option<Instant> {
        let leadership = self.leadership.lock().expect("leadership lock");
        let may_order = leadership.may_order_machines(now);
        may_order.then(|| leadership.machine_orders_until())
    }

    /// Returns whether orders for workers may be sent now.
    pub(super) fn may_send_orders(&self) -> bool {
        let leadership = self.leadership.lock().expect("leadership lock");
        !self.has_ended() && leadership.standing(clock::now()) == crate::batch::Role::Leader
    }
}
