use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{MAX_LIST_BYTES, TaskId, row_bytes};

/// A worker that may have runs, as one leader hands it over to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Occupancy {
    /// Id of the worker.
    pub worker: Arc<str>,
    /// Service of the worker.
    pub service: Arc<str>,
    /// Machine on which the worker runs.
    pub machine: Arc<str>,
    /// Start time of the worker process in milliseconds since 1970.
    pub born_ms: u64,
    /// Whether the worker does not answer and therefore gets no further starts.
    pub silent: bool,
    /// Time in milliseconds after which its lease has certainly expired.
    pub lease_ms: u64,
    /// Tasks that may be running on the worker.
    pub tasks: Vec<TaskId>,
    /// Whether any task of the service may be running there, because the leader itself never got an
    /// answer from the worker.
    pub unknown: bool,
}

impl Occupancy {
    /// Returns the entry that a new leader stores when it takes over. Until it renews, it may start
    /// any task on the worker and renew its lease, so neither the tasks nor the lease hold.
    ///
    /// ```
    /// use coriandernotch::batch::Occupancy;
    ///
    /// let entry = Occupancy { worker: "i-1".into(), silent: true, ..Occupancy::default() };
    /// let outdated = entry.outdated();
    /// assert!(outdated.unknown && !outdated.silent);
    /// ```
    pub fn outdated(&self) -> Self {
        Self {
            silent: false,
            tasks: Vec::new(),
            unknown: true,
            ..self.clone()
        }
    }

    /// Reduces a list to `limit` bytes, as far as possible, by giving up lists of tasks: any task of
    /// the service may then be running on these workers. Workers that answer come first, since their
    /// lists are known again after one poll, then those with the longest lists. No worker is left out.
    /// An entry that is too large for a row always loses its tasks.
    ///
    /// ```
    /// use coriandernotch::batch::{Occupancy, TaskId};
    ///
    /// let task = |index| TaskId { job: "j".into(), occurrence: 0, step: 0, index };
    /// let worker = |tasks| Occupancy { tasks: (0..tasks).map(task).collect(), ..Occupancy::default() };
    /// let mut list = [worker(1), worker(30)];
    /// Occupancy::shrink(&mut list, 1_000);
    /// assert!(!list[0].unknown && list[1].unknown && list[1].tasks.is_empty());
    /// ```
    pub fn shrink(list: &mut [Self], limit: usize) {
        let is_too_large = |worker: &&mut Self| row_bytes(*worker) >= MAX_LIST_BYTES;
        list.iter_mut()
            .filter(is_too_large)
            .for_each(Self::give_up_tasks);
        let mut bytes: usize = list.iter().map(|worker| row_bytes(worker) + 1).sum();
        let mut order: Vec<usize> = (0..list.len()).collect();
        order.sort_by_key(|position| {
            let worker = &list[*position];
            (worker.silent, std::cmp::Reverse(worker.tasks.len()))
        });
        for position in order {
            let worker = &mut list[position];
            if bytes <= limit {
                return;
            }
            if worker.tasks.is_empty() {
                continue;
            }
            bytes -= row_bytes(worker);
            worker.give_up_tasks();
            bytes += row_bytes(worker);
        }
    }

    /// Replaces the list of tasks by the statement that any task of the service may be running.
    fn give_up_tasks(&mut self) {
        self.tasks.clear();
        self.unknown = true;
    }
}
