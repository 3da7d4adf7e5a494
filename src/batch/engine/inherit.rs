use std::sync::Arc;
use std::time::Duration;

use super::inherited_worker::InheritedWorker;
use super::release::Release;
use super::{Engine, StageKey, Worker};
use crate::batch::leadership::LEADER_ACTIVE_FOR;
use crate::batch::{Occupancy, RunKey, TaskId, row_bytes};
use crate::clock::Instant;

/// Time that a new leader waits, beyond the duration of a stop, before it moves lasting tasks.
/// Stops ordered by the previous leader are over by then, so it knows which tasks are down.
const MOVE_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum number of uncontacted workers in the list for the next leader that it knows otherwise.
const MAX_KNOWN_LISTED: usize = 100;

impl Engine {
    /// Takes over from the previous leader; `begun` is the start of this leader's term.
    ///
    /// The list of a leader that resigned is complete. A leader that crashed may have started tasks
    /// after it wrote the list, but only on workers that it had stored as members before, and not on
    /// one that did not answer.
    pub fn inherit(&mut self, occupancies: &[Occupancy], resigned: bool, begun: Instant) {
        let latest_expiry = begun + LEADER_ACTIVE_FOR + self.longest_lease_expiry();
        for worker in occupancies {
            let can_be_polled = self.worker_ids.contains_key(&worker.worker);
            let complete = resigned || worker.silent || !can_be_polled;
            let lease_until = if resigned || worker.silent {
                begun + Duration::from_millis(worker.lease_ms)
            } else if can_be_polled {
                latest_expiry
            } else {
                begun + self.longest_lease_expiry()
            };
            let inherited = InheritedWorker {
                service: worker.service.clone(),
                machine: worker.machine.clone(),
                born_ms: worker.born_ms,
                lease_until,
                tasks: (complete && !worker.unknown).then(|| worker.tasks.clone()),
            };
            self.uncontacted.insert(worker.worker.clone(), inherited);
        }
        if !resigned {
            let members = &self.members;
            let workers = self.workers.values();
            for worker in workers.filter(|worker| members.has_row(&worker.profile.id)) {
                let inherited = || InheritedWorker {
                    service: worker.profile.service.clone(),
                    machine: worker.profile.machine.clone(),
                    born_ms: worker.profile.born_ms,
                    lease_until: latest_expiry,
                    tasks: None,
                };
                self.uncontacted
                    .entry(worker.profile.id.clone())
                    .or_insert_with(inherited);
            }
        }
        self.drop_uncontacted(begun);
        for job in self.jobs.values_mut() {
            job.inherited = true;
        }
        self.moves_from = begun + self.tuning.stop + MOVE_DELAY;
    }

    /// Removes inherited workers whose runs have certainly ended.
    pub(super) fn drop_uncontacted(&mut self, now: Instant) {
        let workers = self.uncontacted.iter();
        let released = workers.filter_map(|(id, inherited)| {
            let release = self.release_of(id, inherited, now)?;
            Some((id.clone(), release))
        });
        let released: Vec<(Arc<str>, Release)> = released.collect();
        for (id, release) in released {
            self.stop_awaiting(&id, release);
        }
    }

    /// Removes an inherited worker whose runs have certainly ended, and logs why.
    pub(super) fn stop_awaiting(&mut self, id: &Arc<str>, release: Release) {
        if self.uncontacted.remove(id).is_some() {
            let reason: &str = release.into();
            log::info!(event = "worker-not-awaited", worker = id, reason; "");
        }
    }

    /// Returns why the runs on an inherited worker have certainly ended, if they have.
    ///
    /// A newer process with the same id is no replacement: the previous leader may have started
    /// tasks on it before it read its registration. A newer process that is only listed may not
    /// exist.
    ///
    /// A worker that runs on without its machine being listed would renew its registration. While
    /// another instance may lead, it may have read the ends of a worker before it was lost.
    fn release_of(
        &self,
        id: &Arc<str>,
        inherited: &InheritedWorker,
        now: Instant,
    ) -> Option<Release> {
        if self.sole_leader_until(now) >= inherited.lease_until {
            return Some(Release::LeaseExpired);
        }
        if inherited.machine.is_empty() || !self.was_sole_leader(now) {
            return None;
        }
        let is_newer_worker = |worker: &Worker| {
            worker.profile.id != *id
                && worker.profile.machine == inherited.machine
                && worker.answered_at.is_some()
                && worker.born_ms > inherited.born_ms
        };
        if self.workers.values().any(is_newer_worker) {
            return Some(Release::Replaced);
        }
        match self.pools.machines.get(&inherited.machine) {
            Some(machine) if !machine.up => Some(Release::MachineDown),
            Some(machine) if machine.pool != inherited.service => Some(Release::MachineMoved),
            Some(_) => None,
            None => {
                let is_gone = self.pools.is_gone(&inherited.machine) && !self.is_listed(id);
                is_gone.then_some(Release::MachineGone)
            }
        }
    }

    fn is_listed(&self, id: &Arc<str>) -> bool {
        let worker = self.worker_ids.get(id).map(|key| &self.workers[*key]);
        worker.is_some_and(|worker| !worker.delisted)
    }

    /// Lists the workers with runs that do not answer or are no longer in the store, for a
    /// successor in case this leader crashes. The successor can poll all others.
    ///
    /// The successor treats the list of tasks on such a worker as complete and its lease as the last
    /// one, so nothing is started there and no lease is granted until a renewal without that worker
    /// has succeeded. A worker that answers is therefore not listed merely because the store no
    /// longer lists it: the successor knows it as a member.
    pub fn list_silent_workers(&mut self, now: Instant) -> Vec<Occupancy> {
        self.latest_report += 1;
        let silent = |worker: &Worker| worker.unreachable || (worker.delisted && !worker.is_member);
        let mut list = self.list_workers(|worker| silent(worker), now);
        // The successor assumes that any task may run on a worker that it knows, and waits for it as
        // long as after a crash. Most workers answer within a short time, so they are not listed.
        let is_settled = now >= self.moves_from;
        let is_needed_by_successor =
            |row: &Occupancy| !row.unknown || !self.worker_ids.contains_key(&row.worker);
        let (needed, known): (Vec<Occupancy>, Vec<Occupancy>) =
            self.list_uncontacted(now).partition(is_needed_by_successor);
        list.extend(needed);
        if is_settled {
            list.extend(known.into_iter().take(MAX_KNOWN_LISTED));
        }
        self.bound_silent(&mut list);
        for row in &list {
            if let Some(key) = self.worker_ids.get(&row.worker) {
                self.workers[*key].silent_report = self.latest_report;
            }
        }
        list
    }

    /// Reduces the list of silent workers to its largest size. If giving up the lists of tasks is not
    /// enough, it leaves out workers whose rows of members are stored: the successor takes them as
    /// ones that may have any runs, and waits as long as after a crash. The others come first, since
    /// no successor knows them otherwise.
    fn bound_silent(&self, list: &mut Vec<Occupancy>) {
        let limit = self.tuning.silent_list_bytes;
        Occupancy::shrink(list, limit);
        list.sort_by_key(|row| self.members.is_stored(&row.worker));
        let mut bytes = 0;
        let before = list.len();
        list.retain(|row| {
            bytes += row_bytes(row) + 1;
            bytes <= limit || !self.members.is_stored(&row.worker)
        });
        if list.len() < before {
            log::warn!(event = "silent-list-shortened", listed = list.len(),
                left_out = before - list.len(); "");
        }
    }

    /// Returns whether the stored list of silent workers contains a worker, or may contain it.
    pub(super) fn is_reported_silent(&self, worker: &Worker) -> bool {
        worker.silent_report > 0 && worker.silent_report >= self.stored_report
    }

    /// Lists all workers that have runs, for the next leader.
    pub fn list_busy_workers(&self, now: Instant) -> Vec<Occupancy> {
        let mut list = self.list_workers(|_| true, now);
        list.extend(self.list_uncontacted(now));
        list
    }

    /// Returns the number of workers that may have runs of the previous leader and have not
    /// answered this one.
    pub fn uncontacted_count(&self) -> usize {
        self.uncontacted.len()
    }

    /// Lists the inherited workers that have not answered this leader.
    fn list_uncontacted(&self, now: Instant) -> impl Iterator<Item = Occupancy> {
        let inherited = self.uncontacted.iter();
        let inherited = inherited.filter(move |(_, inherited)| now < inherited.lease_until);
        inherited.map(move |(worker, inherited)| Occupancy {
            worker: worker.clone(),
            service: inherited.service.clone(),
            machine: inherited.machine.clone(),
            born_ms: inherited.born_ms,
            silent: true,
            lease_ms: remaining_ms(inherited.lease_until, now),
            tasks: inherited.tasks.clone().unwrap_or_default(),
            unknown: inherited.tasks.is_none(),
        })
    }

    fn list_workers(&self, selected: impl Fn(&&Worker) -> bool, now: Instant) -> Vec<Occupancy> {
        let row = |worker: &Worker| {
            let task = |run: &RunKey| self.runs[*run].task.clone();
            Occupancy {
                worker: worker.profile.id.clone(),
                service: worker.profile.service.clone(),
                machine: worker.profile.machine.clone(),
                born_ms: worker.profile.born_ms,
                silent: worker.unreachable || worker.delisted,
                lease_ms: remaining_ms(self.last_lease_expiry(worker), now),
                tasks: worker.runs.iter().map(task).collect(),
                unknown: false,
            }
        };
        let busy = self.workers.values().filter(|w| !w.runs.is_empty());
        busy.filter(selected).map(row).collect()
    }

    /// Logs the workers for which a new leader still waits.
    pub(super) fn log_uncontacted(&mut self, now: Instant) {
        if self.uncontacted.is_empty() || now < self.moves_from || self.uncontacted_logged {
            return;
        }
        self.uncontacted_logged = true;
        for (id, inherited) in &self.uncontacted {
            log::warn!(event = "worker-not-answering", worker = id, service = inherited.service,
                machine = inherited.machine, exact = inherited.tasks.is_some(),
                listed = self.is_listed(id),
                machine_listed = self.pools.machines.contains_key(&inherited.machine),
                wait_ms = inherited.lease_until.since(now).as_millis(); "");
        }
    }

    /// Returns whether tasks of the previous leader may be running on a machine, because its worker
    /// has not answered this leader.
    pub(super) fn may_have_inherited_runs(&self, machine: &Arc<str>) -> bool {
        self.uncontacted.values().any(|inherited| {
            let tasks = inherited.tasks.as_ref();
            inherited.machine == *machine && tasks.is_none_or(|tasks| !tasks.is_empty())
        })
    }

    /// Returns whether a run of a task that this leader does not keep may still work: an unwanted one,
    /// or one on an inherited worker that has not answered.
    pub(super) fn may_have_other_run(&self, stage_key: StageKey, index: u32, now: Instant) -> bool {
        self.has_unwanted_run(stage_key, index)
            || self.may_run_on_uncontacted(stage_key, index, now)
    }

    /// Returns whether a task may still be running on an inherited worker that has not answered.
    pub(super) fn may_run_on_uncontacted(
        &self,
        stage_key: StageKey,
        index: u32,
        now: Instant,
    ) -> bool {
        let job = &self.jobs[stage_key.job];
        if !job.inherited || self.uncontacted.is_empty() {
            return false;
        }
        let same_task = |task: &TaskId| {
            task.index == index
                && task.step == stage_key.step
                && task.occurrence == stage_key.occurrence
                && task.job == job.id
        };
        let sole_leader_until = self.sole_leader_until(now);
        self.uncontacted.values().any(|inherited| {
            sole_leader_until < inherited.lease_until
                && match &inherited.tasks {
                    Some(tasks) => tasks.iter().any(same_task),
                    None => self.may_have_used(job, &inherited.service),
                }
        })
    }
}

fn remaining_ms(until: Instant, now: Instant) -> u64 {
    u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX)
}
