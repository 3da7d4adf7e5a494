//! What happens to workers and their registrations, and how workers carry out calls.

use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{End, Launch, Profile, Reply};
use coriandernotch::jobs::Size;

use crate::content::Content;
use crate::event::Event;
use crate::key::Key;
use crate::kind::Kind;
use crate::worker::Worker;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::worker_request::WorkerRequest;
use crate::world::World;

/// Time between two registrations of a worker, in milliseconds.
const HEARTBEAT_MS: std::ops::Range<u64> = 400..700;

/// Time after the end of a process after which its registration expires.
const EXPIRY: Duration = Duration::from_millis(1_800);

/// Longest times for which a worker holds back the answer to a poll, in milliseconds.
const MAX_HOLD_MS: [u64; 2] = [20, 500];

/// Of the runs of a task that may be copied, one of so many is slow, and by this factor.
const SLOW_RUNS: u64 = 3;
const SLOW_FACTOR: u32 = 4;

/// Longest time that a stop takes, in milliseconds.
const MAX_STOP_MS: u64 = 300;

impl World {
    /// Registers a worker, unless it has ended or cannot register.
    pub(crate) fn register(&mut self, worker: usize, born_ms: u64) {
        let process = &self.workers[worker];
        if process.born_ms != born_ms || !process.up {
            return;
        }
        if process.unlisted_until <= self.now {
            let (key, profile) = registration(process);
            let is_new = !matches!(self.store.get(&key),
                Some(Content::Registration(known)) if *known == profile);
            if is_new {
                self.store.put(key, Content::Registration(profile));
            }
        }
        let at = self.now + self.random.ms(HEARTBEAT_MS);
        self.queue.push(at, Event::Heartbeat { worker, born_ms });
    }

    /// Removes the registration of a worker process, unless a newer one has registered.
    pub(crate) fn unlist(&mut self, id: Arc<str>, born_ms: u64) {
        let key = Key::Registration(id);
        if matches!(self.store.get(&key), Some(Content::Registration(p)) if p.born_ms == born_ms) {
            self.store.remove(&key);
        }
    }

    pub(crate) fn stop_worker(
        &mut self,
        worker: usize,
        down: Duration,
        keeps_id: bool,
        silent: bool,
    ) {
        let process = &mut self.workers[worker];
        if process.is_lost() {
            return;
        }
        process.crash(self.now, &mut self.audit);
        let held = process.release_all();
        let (id, born_ms) = (process.id.clone(), process.born_ms);
        process.silent = silent;
        for call in held {
            if silent {
                self.time_out_worker_call(call);
            } else {
                self.answer_worker_call(call, WorkerAnswer::None);
            }
        }
        let restart = Event::StartWorker { worker, keeps_id };
        self.queue.push(self.now + down, restart);
        self.queue
            .push(self.now + EXPIRY, Event::Unlist { id, born_ms });
    }

    /// Ends a worker for good, and lets its address be silent. The platform lists its machine until
    /// `listed_for` has passed, and the store its registration until `registered_for` has.
    pub(crate) fn lose_worker(
        &mut self,
        worker: usize,
        listed_for: Duration,
        registered_for: Duration,
    ) {
        let process = &mut self.workers[worker];
        if process.is_lost() {
            return;
        }
        process.crash(self.now, &mut self.audit);
        process.machine_listed_until = Some(self.now + listed_for);
        let held = process.release_all();
        let (id, born_ms) = (process.id.clone(), process.born_ms);
        for call in held {
            self.time_out_worker_call(call);
        }
        self.queue
            .push(self.now + registered_for, Event::Unlist { id, born_ms });
    }

    pub(crate) fn start_worker(&mut self, worker: usize, keeps_id: bool) {
        let born_ms = self.wall_ms();
        let old = &self.workers[worker];
        if old.up || old.is_lost() {
            return;
        }
        let id = if keeps_id {
            old.id.clone()
        } else {
            worker_id(worker, born_ms)
        };
        let (unlisted_until, began_silently) = (old.unlisted_until, old.silent);
        let slow = self.random.chance(50);
        self.workers[worker] = Worker::new(worker, &id, born_ms, slow, self.now);
        self.workers[worker].unlisted_until = unlisted_until;
        self.workers[worker].began_silently = began_silently;
        self.register(worker, born_ms);
    }

    /// Carries out a call at the moment at which it reaches its address.
    pub(crate) fn deliver(&mut self, call: WorkerCall, answered: bool) {
        let worker = &mut self.workers[call.worker];
        let born_after_call =
            self.now.since(call.sent) > Duration::from_millis(100) && worker.born_ms > call.sent_ms;
        // A call that is delayed inside a process ends with it.
        if born_after_call {
            return;
        }
        if worker.is_lost() || (!worker.up && worker.silent) {
            if answered {
                self.time_out_worker_call(call);
            }
            return;
        }
        if worker.up && !call.opens && worker.has_replaced(call.opened_at) {
            if answered {
                self.answer_worker_call(call, WorkerAnswer::None);
            }
            return;
        }
        if !worker.up {
            if answered {
                self.answer_worker_call(call, WorkerAnswer::Unsent);
            }
            return;
        }
        if worker.id != call.id {
            if answered {
                self.answer_worker_call(call, WorkerAnswer::Replaced);
            }
            return;
        }
        if !worker.accepts(call.token) {
            if answered {
                self.answer_worker_call(call, WorkerAnswer::Fenced);
            }
            return;
        }
        match call.request.clone() {
            WorkerRequest::Poll(renewal) => {
                worker.acknowledge(renewal.position, &mut self.audit);
                if let Some(deadline_ms) = renewal.deadline_ms {
                    worker.extend_lease(deadline_ms, self.now);
                }
                let holds = renewal.deadline_ms.is_some() && !worker.lists_ends();
                self.watch_lease(call.worker);
                if answered {
                    self.hold_poll(call, holds);
                }
            }
            WorkerRequest::Start {
                launch,
                deadline_ms,
                ..
            } => self.carry_out_start(call, launch, deadline_ms, answered),
            WorkerRequest::Stop { task, number, .. } => {
                worker.reject(&task, number);
                let end = Event::RunEnd {
                    worker: call.worker,
                    born_ms: worker.born_ms,
                    task,
                    number,
                    how: End::Stopped,
                };
                let delay = Duration::from_millis(self.random.below(MAX_STOP_MS));
                self.queue.push(self.now + delay, end);
                if answered {
                    self.answer_worker_call(call, WorkerAnswer::Stopped);
                }
            }
        }
    }

    fn carry_out_start(
        &mut self,
        call: WorkerCall,
        launch: Launch,
        deadline_ms: u64,
        answered: bool,
    ) {
        let run_time = self.run_time(&launch);
        let worker = &mut self.workers[call.worker];
        let (reply, is_new) = worker.start(&launch, deadline_ms, run_time, self.now);
        let clock_ms = worker.clock_ms(self.now);
        if is_new {
            let in_touch = self.instances[call.process.instance].is_in_touch(call.sent);
            let (task, number) = (&launch.task, launch.number);
            self.audit
                .record_start(call.worker, task, number, call.sent, in_touch);
            if let Some(run_time) = run_time {
                self.plan_end(call.worker, launch, run_time);
            }
        }
        self.watch_lease(call.worker);
        if answered {
            self.answer_worker_call(call, WorkerAnswer::Started(reply, clock_ms));
        }
    }

    /// Returns the time that a task runs; `None` if it is lasting.
    fn run_time(&self, launch: &Launch) -> Option<Duration> {
        let index = launch.task.job.rsplit('-').next();
        let index: usize = index.and_then(|n| n.parse().ok()).expect("a known job");
        let job = &self.scenario.jobs[index];
        match job.kind {
            Kind::Lasting => None,
            Kind::Copied if launch.number % SLOW_RUNS == 1 => Some(job.run_time * SLOW_FACTOR),
            Kind::Copied | Kind::Plain | Kind::Gang => Some(job.run_time),
        }
    }

    /// Plans the end of a new run.
    fn plan_end(&mut self, worker: usize, launch: Launch, run_time: Duration) {
        let how = if self.random.chance(self.scenario.failing_percent) {
            End::Failed
        } else {
            End::Done
        };
        let end = Event::RunEnd {
            worker,
            born_ms: self.workers[worker].born_ms,
            task: launch.task,
            number: launch.number,
            how,
        };
        self.queue.push(self.now + run_time, end);
    }

    /// Holds a poll back for a while, or until there is an end to list.
    fn hold_poll(&mut self, call: WorkerCall, holds: bool) {
        let max_hold_ms = self.random.pick(&MAX_HOLD_MS);
        let hold = Duration::from_millis(self.random.below(max_hold_ms));
        let hold = if holds { hold } else { Duration::ZERO };
        let worker = call.worker;
        let poll = self.workers[worker].hold(call);
        self.queue
            .push(self.now + hold, Event::PollAnswer { worker, poll });
    }

    /// Answers all polls that a worker holds back if there is an end to list.
    pub(crate) fn answer_polls(&mut self, worker: usize) {
        if self.workers[worker].lists_ends() {
            for call in self.workers[worker].release_all() {
                self.send_snapshot(call);
            }
        }
    }

    /// Answers a poll at the end of its wait.
    pub(crate) fn answer_poll(&mut self, worker: usize, poll: u64) {
        if let Some(call) = self.workers[worker].release(poll) {
            self.send_snapshot(call);
        }
    }

    fn send_snapshot(&mut self, call: WorkerCall) {
        let snapshot = self.workers[call.worker].snapshot(self.now);
        self.answer_worker_call(call, WorkerAnswer::Snapshot(snapshot));
    }

    fn watch_lease(&mut self, worker: usize) {
        let process = &self.workers[worker];
        let end = Event::LeaseEnd {
            worker,
            born_ms: process.born_ms,
        };
        self.queue.push(process.lease_expiry(self.now), end);
    }
}

impl WorkerAnswer {
    /// Returns the outcome of a start that got this answer.
    pub(crate) fn start_outcome(&self) -> Reply {
        match self {
            Self::Started(reply, _) => reply.clone(),
            Self::Unsent => Reply::Unsent,
            Self::Fenced => Reply::Fenced,
            Self::Replaced => Reply::Replaced,
            Self::None | Self::Snapshot(_) | Self::Stopped => Reply::Unknown,
        }
    }
}

fn worker_id(worker: usize, born_ms: u64) -> Arc<str> {
    format!("i-{worker}-{born_ms}").into()
}

/// Returns the name of the machine at an address.
pub(crate) fn machine_name(worker: usize) -> Arc<str> {
    format!("m-{worker}").into()
}

fn registration(worker: &Worker) -> (Key, Profile) {
    let profile = Profile {
        id: worker.id.clone(),
        born_ms: worker.born_ms,
        service: "s".into(),
        address: worker.address.to_string().into(),
        data_centre: "a".into(),
        machine: machine_name(worker.address),
        draining: false,
        capacity: Size::new(4_000, 8_000, 0),
        labels: vec!["k".into()],
    };
    (Key::Registration(worker.id.clone()), profile)
}
