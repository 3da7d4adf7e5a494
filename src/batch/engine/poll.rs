use std::time::Duration;

use super::release::Release;
use super::{Engine, Worker};
use crate::batch::{Order, RunKey, Running, Snapshot, WorkerKey};
use crate::clock::Instant;
use crate::collections::Set;

/// Time for which another process must be found at the address of a worker before its process counts
/// as ended.
const CONFIRM_REPLACED_AFTER: Duration = Duration::from_millis(150);

impl Engine {
    /// Processes the answer of a worker to a poll sent at `sent`.
    pub fn process_poll(
        &mut self,
        key: WorkerKey,
        snapshot: &Snapshot,
        sent: Instant,
        wall_ms: u64,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let restarted = worker.born_ms != snapshot.born_ms && worker.answered_at.is_some();
        if restarted && worker.first_answered_at.is_some_and(|at| sent < at) {
            // An earlier process has answered, and its answer arrives late.
            return;
        }
        if restarted && self.sole_leader_until(now) < now {
            // A newer leader may have read the ends of the old process.
            return self.record_replaced_process(key, sent, now);
        }
        let longest_expiry = self.longest_lease_expiry();
        let worker = &mut self.workers[key];
        if restarted {
            // Calls on their way grant leases by the clock of the old process, which the new one
            // shortens to the longest lease.
            worker.lease_until = worker.lease_until.max(now + longest_expiry);
            (worker.last_end_position, worker.acknowledged_position) = (0, 0);
            worker.unstored_ends.clear();
            worker.born_ms = snapshot.born_ms;
            worker.first_answered_at = None;
            worker.polled_at = None;
            // Runs of the old process are missing from the answer and released below. A start order
            // in transit may reach the new process, so its run is kept.
            log::warn!(event = "worker-restarted", worker = worker.profile.id,
                runs = worker.runs.len(), listed = snapshot.running.len(); "");
        }
        // The connection may have taken long to open after the poll was planned.
        let sent_at = sent.max(worker.poll_sent_at);
        worker.polled_at = worker.polled_at.max(Some(sent_at));
        // Earlier leases were granted by the clock of this process, or its start was noticed above.
        worker.unverified_grant.take_if(|at| *at <= sent_at);
        worker.answered_poll_at = sent_at;
        worker.answered_early = now < sent_at + worker.poll_wait;
        self.record_answer(key, snapshot, now);
        for ended in &snapshot.ended {
            if ended.position > self.workers[key].last_end_position {
                self.workers[key].last_end_position = ended.position;
                self.process_end(key, ended, wall_ms, now);
            }
        }
        let mut present = Set::default();
        let mut unwanted = Vec::new();
        for running in &snapshot.running {
            if let Some(run) = self.find_running(key, running) {
                present.insert(run);
                self.update_run(run, running, now);
            } else if !self.adopt_run(key, running, now) {
                if !self.workers[key].unwanted.contains(&running.task) {
                    self.expect_longest_lease(key, now);
                }
                unwanted.push(running.task.clone());
            }
        }
        self.set_unwanted(key, unwanted);
        // A run that is not listed as running may have an end that is not listed yet.
        if !snapshot.has_more_ends {
            self.remove_missing_runs(key, &present, sent);
        }
        self.pace_best_effort(key, now);
    }

    /// Records for how long a worker may hold back its answer to the poll that is sent next.
    pub fn set_poll_wait(&mut self, key: WorkerKey, wait: Duration) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.poll_wait = wait;
        }
    }

    /// Records that a worker answered, and what the answer tells about its process.
    fn record_answer(&mut self, key: WorkerKey, snapshot: &Snapshot, now: Instant) {
        let worker = &mut self.workers[key];
        let id = worker.profile.id.clone();
        if worker.first_answered_at.is_none() {
            let inherited = self.uncontacted.contains_key(&id);
            log_first_answer(worker, inherited, snapshot);
        }
        worker.born_ms = snapshot.born_ms;
        worker.clock = Some((snapshot.clock_ms, now));
        worker.first_answered_at.get_or_insert(now);
        worker.answered_before = worker.answered_at;
        (worker.answered_at, worker.responded_at) = (Some(now), Some(now));
        worker.unreachable = false;
        worker.answered_address = Some(worker.profile.address.clone());
        worker.replaced_since = None;
        worker.lists_ends = !snapshot.ended.is_empty();
        worker.lists_runs = !snapshot.running.is_empty();
        // While there are more ends, a task may have ended there without being listed yet.
        if !snapshot.has_more_ends {
            self.uncontacted.remove(&id);
        }
    }

    fn find_running(&self, worker: WorkerKey, running: &Running) -> Option<RunKey> {
        let runs = &self.workers.get(worker)?.runs;
        let is_same_run = |run: &&RunKey| {
            let run = &self.runs[**run];
            run.number == running.number && run.task == running.task
        };
        runs.iter().find(is_same_run).copied()
    }

    fn update_run(&mut self, key: RunKey, running: &Running, now: Instant) {
        let run = &mut self.runs[key];
        run.confirmed_at.get_or_insert(now);
        run.uncertain_since = None;
        if run.percent != running.percent {
            (run.percent, run.progressed_at) = (running.percent, now);
        }
        run.load = running.load;
        let job = run.job;
        if !running.saved.is_empty() {
            run.saved = Some(running.saved.clone());
            let task = run.task.clone();
            if let Some(task) = self.task_mut(job, &task) {
                task.saved = Some(running.saved.clone());
            }
        }
        self.mark_started(job);
    }

    /// Releases runs that were confirmed, or confirmed as stopped, before the poll was sent and are
    /// missing from its answer.
    fn remove_missing_runs(&mut self, key: WorkerKey, present: &Set<RunKey>, sent: Instant) {
        let runs = self.workers[key].runs.clone();
        for key in runs {
            if present.contains(&key) {
                continue;
            }
            let run = &self.runs[key];
            let confirmed_at = run.stop_confirmed_at.or(run.confirmed_at);
            let is_missing = confirmed_at.is_some_and(|at| at < sent);
            if is_missing {
                if run.stop_confirmed_at.is_none() {
                    log::warn!(event = "run-missing", job = run.task.job, step = run.task.step,
                        index = run.task.index, run = run.number; "");
                }
                self.remove_run(key);
                continue;
            }
            // The start order may still be in transit: a stop makes the worker reject it on
            // arrival.
            if run.uncertain_since.is_some_and(|at| at < sent) && run.stopping_since.is_none() {
                let (job, task, worker) = (run.job, run.task.clone(), run.worker);
                let order = Order::Stop {
                    task: task.clone(),
                    number: run.number,
                };
                log::info!(event = "start-not-found", job = task.job, step = task.step,
                    index = task.index, run = run.number,
                    worker = self.workers[worker].profile.id; "");
                self.runs[key].stopping_since = Some(sent);
                self.orders.push((worker, order));
                if let Some(task) = self.task_mut(job, &task) {
                    task.avoid(worker);
                }
            }
        }
    }

    /// Records that a process that started at `born_ms` answered a poll of a worker sent at `sent`,
    /// whose answer is not processed further. Returns whether it is the one whose runs are known.
    pub fn verify_process(&mut self, key: WorkerKey, born_ms: u64, sent: Instant) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        let is_known = worker.answered_at.is_some() && worker.born_ms == born_ms;
        if is_known {
            worker.polled_at = worker.polled_at.max(Some(sent));
        } else {
            // A poll by which the engine learns of the new process follows.
            worker.set_unreachable();
            log::warn!(event = "worker-not-verified", worker = worker.profile.id, born_ms,
                known_born_ms = worker.born_ms; "");
        }
        is_known
    }

    /// Records that a call to a worker got no answer.
    pub fn record_no_answer(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.set_unreachable();
        }
    }

    /// Records that another process answered a call sent at `sent` to the address of a worker. The
    /// runs of the worker have ended with its process, so there is no need to wait for the lease to
    /// expire. A refused connection shows no such thing: the link to the worker may be cut off.
    ///
    /// A process that has answered since then is at another address, and the call went to that of
    /// its predecessor. An address at which none has answered proves nothing either, unless the
    /// previous leader has stored it as that of the process.
    pub fn record_replaced_process(&mut self, key: WorkerKey, sent: Instant, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.answered_at.is_some_and(|at| sent < at) {
            return;
        }
        worker.set_unreachable();
        let is_its_address = match worker.answered_address {
            Some(_) => worker.has_answered_at_its_address(),
            None => worker.is_member,
        };
        if !is_its_address {
            return;
        }
        let replaced_since = *worker.replaced_since.get_or_insert(now);
        let id = worker.profile.id.clone();
        if self.sole_leader_until(now).since(replaced_since) < CONFIRM_REPLACED_AFTER {
            return;
        }
        self.stop_awaiting(&id, Release::Replaced);
        self.lose_runs(key, "another process at its address");
    }
}

/// Logs what a worker lists in its first answer to this leader, if it lists anything or the
/// previous leader may have used it.
fn log_first_answer(worker: &Worker, inherited: bool, snapshot: &Snapshot) {
    let (running, ended) = (snapshot.running.len(), snapshot.ended.len());
    if inherited || running + ended > 0 {
        log::info!(event = "worker-answered", worker = worker.profile.id, inherited,
            listed = !worker.delisted, running, ended; "");
    }
}
