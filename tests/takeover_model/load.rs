//! How a new leader fences the partitions and reads the state, as `src/entry/load.rs` does.

use std::time::Duration;

use coriandernotch::batch::{Engine, Fence, Tuning};

use crate::answer::Answer;
use crate::content::Content;
use crate::follow::RETRY_DELAY;
use crate::key::Key;
use crate::loading::Loading;
use crate::partition::PARTITIONS;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::table::Table;
use crate::term::Term;
use crate::timer::Timer;
use crate::transaction::Transaction;
use crate::world::World;

impl World {
    /// Begins to load the state, unless the leadership has expired.
    pub(crate) fn load(&mut self, instance: usize) {
        if !self.is_leading(instance) {
            return self.end_term(instance);
        }
        self.instances[instance].loading = Some(Loading::new());
        self.read_state(instance, Purpose::LoadWorkers, Table::Registrations);
        self.read_state(instance, Purpose::LoadMembers, Table::Members);
        for part in 0..PARTITIONS {
            self.read_state(instance, Purpose::ReadFence(part), Table::Fence(part));
        }
    }

    fn read_state(&mut self, instance: usize, purpose: Purpose, table: Table) {
        let call = self.store_call(instance, purpose, Request::Read(table, None));
        self.send_load_call(instance, call);
    }

    fn send_load_call(&mut self, instance: usize, call: crate::store_call::StoreCall) {
        if let Some(loading) = &mut self.instances[instance].loading {
            loading.outstanding += 1;
        }
        self.call_store(call);
    }

    /// Handles the answer to one call by which the state is loaded.
    pub(crate) fn continue_load(&mut self, instance: usize, purpose: &Purpose, answer: Answer) {
        let Some(loading) = &mut self.instances[instance].loading else {
            return;
        };
        loading.outstanding -= 1;
        match (purpose, answer) {
            (Purpose::ReadFence(part), Answer::Rows(page)) => {
                let row = page.rows.first();
                let stored = match row.map(|row| &row.content) {
                    Some(Content::Fence(fence)) => *fence,
                    _ => Fence::default(),
                };
                let version = row.map_or(0, |row| row.version);
                let Some(raised) = stored.raised(self.instances[instance].leader.token) else {
                    return self.end_term(instance);
                };
                let request = Request::Write(Transaction {
                    expected: (Key::Fence(*part), version),
                    puts: vec![(Key::Fence(*part), Content::Fence(raised))],
                    deletes: Vec::new(),
                });
                let call = self.store_call(instance, Purpose::RaiseFence(*part), request);
                self.send_load_call(instance, call);
            }
            (Purpose::RaiseFence(part), Answer::Applied(_)) => {
                self.read_state(instance, Purpose::LoadJobs, Table::Jobs(*part));
                self.read_state(instance, Purpose::LoadProgress, Table::Progress(*part));
            }
            (Purpose::RaiseFence(part), Answer::Conflict(_)) => {
                self.read_state(instance, Purpose::ReadFence(*part), Table::Fence(*part));
            }
            (Purpose::LoadJobs, Answer::Rows(page)) => loading.add_jobs(page),
            (_, Answer::Rows(page)) => loading.add(page),
            (_, Answer::Applied(_) | Answer::Conflict(_) | Answer::Feed(_) | Answer::Failed) => {
                self.instances[instance].abort_tasks();
                return self.set_timer(instance, RETRY_DELAY, Timer::Load);
            }
        }
        self.begin_term_if_loaded(instance);
    }

    fn begin_term_if_loaded(&mut self, instance: usize) {
        let is_loaded = |loading: &mut Loading| loading.outstanding == 0;
        let (now, wall_ms) = (self.now, self.wall_ms());
        let config = self.config.clone();
        let tuning = Tuning {
            retention: self.scenario.retention,
            silent_list_bytes: self.scenario.silent_list_bytes,
            ..Tuning::default()
        };
        let entry = &mut self.instances[instance];
        let Some(loading) = entry.loading.take_if(is_loaded) else {
            return;
        };
        let token = entry.leader.token;
        let mut engine = Engine::new(tuning, token, config);
        engine.record_renewal(entry.leadership.last_renewal());
        let jobs_version = loading.jobs_version;
        loading.load_jobs(&mut engine, wall_ms, now);
        engine.set_workers(loading.profiles);
        engine.restore_members(loading.members);
        engine.restore_queue_services(entry.leader.queue_services.clone());
        if token > 1 {
            engine.inherit(&entry.leader.busy, entry.resigned, entry.begun);
        }
        entry.term = Some(Term::new(engine, jobs_version));
        let timers = [
            Timer::Renew,
            Timer::Round,
            Timer::FollowWorkers,
            Timer::FollowJobs,
            Timer::ListMachines,
        ];
        for timer in timers {
            self.set_timer(instance, Duration::ZERO, timer);
        }
    }
}
