//! How a leader follows the registrations, as `src/entry/follow_workers.rs` does.

use std::time::Duration;

use crate::answer::Answer;
use crate::content::Content;
use crate::page::Page;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::table::Table;
use crate::timer::Timer;
use crate::world::World;

/// Time between two reads of the registrations.
const WORKERS_INTERVAL: Duration = Duration::from_millis(250);

/// Time that workers get to register again after a failure of the store.
const REREAD_DELAY: Duration = Duration::from_millis(2_500);

/// Delay after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

impl World {
    pub(crate) fn follow_workers(&mut self, instance: usize) {
        let request = Request::Read(Table::Registrations, None);
        let call = self.store_call(instance, Purpose::FollowWorkers, request);
        self.call_store(call);
    }

    pub(crate) fn finish_workers(&mut self, instance: usize, answer: Answer) {
        let now = self.now;
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let Answer::Rows(Page { rows, .. }) = answer else {
            term.workers_failed = true;
            return self.set_timer(instance, RETRY_DELAY, Timer::FollowWorkers);
        };
        if std::mem::take(&mut term.workers_failed) {
            term.replace_workers_at = now + REREAD_DELAY;
        }
        let profiles = rows.into_iter().filter_map(|row| match row.content {
            Content::Registration(profile) => Some(profile),
            _ => None,
        });
        if now >= term.replace_workers_at {
            term.engine.set_workers(profiles.collect());
        } else {
            for profile in profiles {
                term.engine.update_worker(profile);
            }
        }
        if term.engine.has_unstored_members() {
            self.renew(instance);
        }
        self.wake_scheduler(instance);
        self.set_timer(instance, WORKERS_INTERVAL, Timer::FollowWorkers);
    }
}
