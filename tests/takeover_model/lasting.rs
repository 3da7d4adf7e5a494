//! Checks that each lasting task has a run while nothing disturbs the system and there is room.

use std::time::Duration;

use coriandernotch::batch::TaskId;
use coriandernotch::clock::Instant;

use crate::idle_log;
use crate::key::Key;
use crate::kind::Kind;
use crate::partition::job_key;
use crate::violation::Violation;
use crate::world::World;

/// Time without a fault from which each lasting task must have a run.
const CALM_TIME: Duration = Duration::from_secs(7);

/// Time after its last run in which a task must run again.
const RESTART_TIME: Duration = Duration::from_secs(9);

/// Time for which there must have been room, and the number of runs that it must suffice for.
const ROOM_TIME: Duration = Duration::from_secs(3);
const MIN_ROOM: usize = 2;

/// Time after the last fault for which lasting tasks are checked, longer than a new leader waits
/// for a silent worker.
const TAIL: Duration = Duration::from_secs(20);

impl World {
    /// Returns whether all lasting tasks run and were checked for long enough after the last fault.
    /// Fails if one must have a run and has none.
    pub(crate) fn check_lasting_tasks(&mut self) -> Result<bool, Violation> {
        let now = self.now;
        if self.free_room() < MIN_ROOM {
            self.room_since = None;
        }
        let room_since = *self.room_since.get_or_insert(now);
        let must_run = now >= self.disturbed_until + CALM_TIME && now >= room_since + ROOM_TIME;
        let tasks = self.lasting_tasks();
        let is_checked = tasks.is_empty() || now >= self.disturbed_until + TAIL;
        let mut all_run = true;
        for (task, submitted) in tasks {
            let Some(since) = self.audit.idle_since(&task, submitted) else {
                continue;
            };
            all_run = false;
            if must_run && now >= since + RESTART_TIME {
                let idle_ms = now.since(since).as_millis();
                let line = idle_log::latest_line(&task);
                return Err(Violation::Idle(task, idle_ms, line));
            }
        }
        Ok(is_checked && all_run)
    }

    fn free_room(&self) -> usize {
        let workers = self.workers.iter();
        workers.map(|worker| worker.free_room(self.now)).sum()
    }

    /// Returns the lasting tasks and the times of their submission.
    fn lasting_tasks(&self) -> Vec<(TaskId, Instant)> {
        let jobs = self.scenario.jobs.iter().enumerate();
        let lasting = jobs.filter(|(_, job)| job.kind == Kind::Lasting);
        let tasks = lasting.flat_map(|(index, job)| {
            let submitted = self.start + job.at;
            (0..job.tasks).map(move |task| (lasting_task(index, task), submitted))
        });
        tasks.collect()
    }
}

fn lasting_task(job: usize, index: u32) -> TaskId {
    let Key::Job(_, id) = job_key(job) else {
        unreachable!("the key of a job")
    };
    TaskId {
        job: id,
        occurrence: 0,
        step: 0,
        index,
    }
}
