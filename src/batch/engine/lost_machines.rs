//! Workers whose processes have ended with their machines, as the platform's list of machines shows.

use super::{Engine, Worker};
use crate::batch::{RunKey, WorkerKey};
use crate::clock::Instant;

impl Engine {
    /// Returns whether a list of machines could show that runs have ended whose worker does not
    /// answer. A machine that is only cut off is listed as running.
    pub fn awaits_machine_list(&self) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.unreachable && !worker.runs.is_empty())
    }

    /// Releases the runs of workers that do not answer and whose machine is not running, by the list
    /// of machines that was asked for at `sent`.
    ///
    /// A run whose start order may still be in transit is kept, because the order may reach the next
    /// process on the machine. While another instance may lead, it may have read the ends of the
    /// worker.
    pub fn release_runs_on_stopped_machines(&mut self, sent: Instant, now: Instant) {
        if !self.was_sole_leader(now) {
            return;
        }
        let has_ended = |worker: &&Worker| {
            let machine = self.pools.machines.get(&worker.profile.machine);
            worker.unreachable
                && worker.responded_at.is_some_and(|at| at < sent)
                && machine.is_some_and(|machine| !machine.up)
        };
        let ended = self.workers.iter().filter(|(_, worker)| has_ended(worker));
        let ended: Vec<WorkerKey> = ended.map(|(key, _)| key).collect();
        for key in ended {
            let worker = &self.workers[key];
            let was_started =
                |run: &RunKey| self.runs[*run].confirmed_at.is_some_and(|at| at < sent);
            let runs: Vec<RunKey> = worker.runs.iter().copied().filter(was_started).collect();
            if runs.is_empty() {
                continue;
            }
            log::warn!(event = "runs-released", worker = worker.profile.id, runs = runs.len(),
                reason = "machine not running"; "");
            for run in runs {
                self.remove_run(run);
            }
        }
    }
}
