//! How a leader follows new jobs, as `src/entry/follow_jobs.rs` does.

use std::time::Duration;

use crate::answer::Answer;
use crate::content::Content;
use crate::key::Key;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::table::Table;
use crate::timer::Timer;
use crate::world::World;

/// Time between two reads of the jobs.
const JOBS_INTERVAL: Duration = Duration::from_millis(60);

impl World {
    pub(crate) fn follow_jobs(&mut self, instance: usize, part: u8) {
        let request = Request::Read(Table::Jobs(part));
        let call = self.store_call(instance, Purpose::FollowJobs(part), request);
        self.call_store(call);
    }

    pub(crate) fn finish_jobs(&mut self, instance: usize, part: u8, answer: Answer) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        if let Answer::Rows(rows) = answer {
            for row in rows {
                if let (Key::Job(_, id), Content::Job(record)) = (row.key, row.content) {
                    term.engine.load_job(&id, record, None, wall_ms, now);
                }
            }
            self.wake_scheduler(instance);
        }
        self.set_timer(instance, JOBS_INTERVAL, Timer::FollowJobs(part));
    }
}
