//! How a leader follows new jobs, as `src/entry/follow_jobs.rs` does.

use std::time::Duration;

use crate::answer::Answer;
use crate::content::Content;
use crate::feed::Feed;
use crate::key::Key;
use crate::loading::Loading;
use crate::partition::PARTITIONS;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::row::Row;
use crate::table::Table;
use crate::timer::Timer;
use crate::world::World;

/// Time between two requests for new jobs.
const JOBS_INTERVAL: Duration = Duration::from_millis(60);

/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl World {
    pub(crate) fn follow_jobs(&mut self, instance: usize) {
        let Some(term) = &self.instances[instance].term else {
            return;
        };
        let request = Request::Feed(term.jobs_version);
        let call = self.store_call(instance, Purpose::FollowJobs, request);
        self.call_store(call);
    }

    pub(crate) fn finish_jobs(&mut self, instance: usize, answer: Answer) {
        match answer {
            Answer::Feed(Feed::Changes(rows, version)) => {
                self.add_new_jobs(instance, rows, version);
                self.set_timer(instance, JOBS_INTERVAL, Timer::FollowJobs);
            }
            Answer::Feed(Feed::Gone) => self.reread_jobs(instance),
            _ => self.set_timer(instance, RETRY_DELAY, Timer::FollowJobs),
        }
    }

    fn add_new_jobs(&mut self, instance: usize, rows: Vec<Row>, version: u64) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        term.jobs_version = version;
        let is_unchanged = rows.is_empty();
        for row in rows {
            if let (Key::Job(_, id), Content::Job(record)) = (row.key, row.content) {
                term.engine.load_job(&id, record, None, wall_ms, now);
            }
        }
        term.engine.forget_deleted(version);
        if !is_unchanged {
            self.wake_scheduler(instance);
        }
    }

    /// Reads all jobs again.
    fn reread_jobs(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let reread = term.reread.insert(Loading::new());
        reread.outstanding = usize::from(PARTITIONS);
        term.reread_attempts += 1;
        let attempt = term.reread_attempts;
        for part in 0..PARTITIONS {
            let request = Request::Read(Table::Jobs(part), None);
            let call = self.store_call(instance, Purpose::RereadJobs(attempt), request);
            self.call_store(call);
        }
    }

    /// Handles the answer to the read of all jobs of a partition.
    pub(crate) fn continue_reread(&mut self, instance: usize, attempt: u32, answer: Answer) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let is_current = attempt == term.reread_attempts;
        let Some(reread) = term.reread.as_mut().filter(|_| is_current) else {
            return;
        };
        let Answer::Rows(page) = answer else {
            term.reread = None;
            return self.set_timer(instance, RETRY_DELAY, Timer::FollowJobs);
        };
        reread.outstanding -= 1;
        reread.add_jobs(page);
        if reread.outstanding > 0 {
            return;
        }
        if let Some(reread) = term.reread.take() {
            reread.load_jobs(&mut term.engine, wall_ms, now);
            term.jobs_version = reread.jobs_version;
        }
        self.wake_scheduler(instance);
        self.set_timer(instance, JOBS_INTERVAL, Timer::FollowJobs);
    }
}
