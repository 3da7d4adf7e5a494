//! How a leader places tasks, sends orders and polls workers, as `schedule.rs`, `orders.rs`,
//! `poll.rs`, `follow_jobs.rs` and `follow_workers.rs` of `src/entry` do.

use std::collections::VecDeque;
use std::time::Duration;

use coriandernotch::batch::{Order, Reply, WorkerKey};

use crate::answer::Answer;
use crate::content::Content;
use crate::handle::Handle;
use crate::purpose::Purpose;
use crate::request::Request;
use crate::store_call::StoreCall;
use crate::table::Table;
use crate::timer::Timer;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::worker_request::WorkerRequest;
use crate::world::World;

/// Delay before a round that follows an event.
const ROUND_DELAY: Duration = Duration::from_millis(3);

/// Time that the answer to an order may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that the answer to a poll may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time until a poll that is not due is considered again.
const IDLE_DELAY: Duration = Duration::from_millis(150);

/// Delays after a poll: usually, while an end is not stored, and after a failure.
const BATCH_DELAY: Duration = Duration::from_millis(25);
const STORE_PAUSE: Duration = Duration::from_millis(50);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time until it is considered again whether a worker has answered, which a start order awaits.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Number of attempts to stop a run, and the delay between two of them.
const STOP_ATTEMPTS: u32 = 3;
const STOP_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time between two reads of the jobs, and of the registrations.
const JOBS_INTERVAL: Duration = Duration::from_millis(60);
const WORKERS_INTERVAL: Duration = Duration::from_millis(250);

/// Time that workers get to register again after a failure of the store.
const REREAD_DELAY: Duration = Duration::from_millis(2_500);

impl World {
    /// Places waiting tasks on workers and queues the resulting orders.
    pub(crate) fn schedule(&mut self, instance: usize) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let may_send = self.may_send_orders(instance);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        term.round_is_due = false;
        if !may_send {
            return;
        }
        term.engine.check_runs_and_workers(now);
        term.engine.place(now, wall_ms);
        self.update_handles(instance);
        self.dispatch(instance);
        self.plan_flushes(instance);
    }

    fn may_send_orders(&self, instance: usize) -> bool {
        let term = self.instances[instance].term.as_ref();
        self.is_leading(instance) && term.is_some_and(|term| term.stops_for.is_none())
    }

    fn wake_scheduler(&mut self, instance: usize) {
        if let Some(term) = &mut self.instances[instance].term
            && !std::mem::replace(&mut term.round_is_due, true)
        {
            self.set_timer(instance, ROUND_DELAY, Timer::EarlyRound);
        }
    }

    fn update_handles(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let addresses = term.engine.worker_addresses();
        let is_known = |key: &WorkerKey| addresses.iter().any(|(known, ..)| known == key);
        term.handles.retain(|key, _| is_known(key));
        let mut added = Vec::new();
        for (key, id, address) in addresses {
            if term.handles.contains_key(&key) {
                continue;
            }
            let worker = address.parse().expect("the address is an index");
            let handle = Handle {
                id,
                worker,
                orders: VecDeque::new(),
                is_sending: false,
            };
            term.handles.insert(key, handle);
            added.push(key);
        }
        for key in added {
            self.set_timer(instance, Duration::ZERO, Timer::Poll(key));
        }
    }

    fn dispatch(&mut self, instance: usize) {
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let mut woken = Vec::new();
        for (key, order) in term.engine.take_orders() {
            let Some(handle) = term.handles.get_mut(&key) else {
                continue;
            };
            handle.orders.push_back(order);
            if !std::mem::replace(&mut handle.is_sending, true) {
                woken.push(key);
            }
        }
        for key in woken {
            self.set_timer(instance, Duration::ZERO, Timer::Order(key));
        }
    }

    /// Sends the next order for a worker.
    pub(crate) fn send_order(&mut self, instance: usize, key: WorkerKey) {
        let now = self.now;
        let may_send = self.may_send_orders(instance);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let Some(handle) = term.handles.get_mut(&key) else {
            return;
        };
        let Some(order) = handle.orders.pop_front() else {
            handle.is_sending = false;
            return;
        };
        if may_send
            && matches!(order, Order::Start(_))
            && term.engine.must_answer_before_start(key, now)
        {
            handle.orders.push_front(order);
            return self.set_timer(instance, ANSWER_CHECK_INTERVAL, Timer::Order(key));
        }
        let request = match order {
            Order::Start(run) => {
                let launch = term.engine.launch(run, now).filter(|_| may_send);
                let deadline = launch.is_some().then(|| term.engine.grant_lease(key, now));
                match (launch, deadline.flatten()) {
                    (Some(launch), Some(deadline_ms)) => Some(WorkerRequest::Start {
                        run,
                        launch,
                        deadline_ms,
                    }),
                    _ => {
                        term.engine.record_start_not_sent(run, now);
                        self.wake_scheduler(instance);
                        None
                    }
                }
            }
            Order::Stop { task, number } => may_send.then_some(WorkerRequest::Stop {
                task,
                number,
                attempt: 0,
            }),
            Order::Pace { .. } => None,
        };
        match request {
            Some(request) => self.call(instance, key, request, RESPONSE_TIMEOUT),
            None => self.set_timer(instance, Duration::ZERO, Timer::Order(key)),
        }
    }

    fn call(&mut self, instance: usize, key: WorkerKey, request: WorkerRequest, timeout: Duration) {
        let entry = &self.instances[instance];
        let Some(term) = &entry.term else {
            return;
        };
        let Some(handle) = term.handles.get(&key) else {
            return;
        };
        let call = WorkerCall {
            process: entry.process,
            token: term.engine.token(),
            key,
            worker: handle.worker,
            id: handle.id.clone(),
            request,
            sent: self.now,
            sent_ms: self.wall_ms(),
        };
        self.call_worker(call, timeout);
    }

    /// Polls a worker if the engine needs it.
    pub(crate) fn poll(&mut self, instance: usize, key: WorkerKey) {
        let now = self.now;
        let may_send = self.may_send_orders(instance);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        if !term.handles.contains_key(&key) {
            return;
        }
        if !may_send || !term.engine.needs_poll(key) {
            return self.set_timer(instance, IDLE_DELAY, Timer::Poll(key));
        }
        let request = WorkerRequest::Poll {
            deadline_ms: term.engine.grant_lease(key, now),
            acknowledged: term.engine.acknowledged(key),
        };
        self.call(instance, key, request, POLL_TIMEOUT);
    }

    pub(crate) fn handle_worker_reply(&mut self, call: &WorkerCall, answer: &WorkerAnswer) {
        let instance = call.process.instance;
        match call.request.clone() {
            WorkerRequest::Poll { .. } => self.finish_poll(call, answer),
            WorkerRequest::Start { run, .. } => {
                let reply = answer.start_outcome();
                let clock_ms = match answer {
                    WorkerAnswer::Started(_, clock_ms) => Some(*clock_ms),
                    _ => None,
                };
                let now = self.now;
                if let Some(term) = &mut self.instances[instance].term {
                    let engine = &mut term.engine;
                    engine.record_start_outcome(run, &reply, clock_ms, now);
                }
                if reply == Reply::Fenced {
                    return self.end_term(instance);
                }
                if reply != Reply::Started {
                    self.wake_scheduler(instance);
                }
                self.set_timer(instance, Duration::ZERO, Timer::Order(call.key));
            }
            WorkerRequest::Stop {
                task,
                number,
                attempt,
            } => self.finish_stop(call, answer, task, number, attempt),
        }
    }

    fn finish_stop(
        &mut self,
        call: &WorkerCall,
        answer: &WorkerAnswer,
        task: coriandernotch::batch::TaskId,
        number: u64,
        attempt: u32,
    ) {
        let now = self.now;
        let instance = call.process.instance;
        let may_send = self.may_send_orders(instance);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        if matches!(answer, WorkerAnswer::Stopped) {
            (term.engine).record_stop_confirmation(call.key, &task, number, now);
        } else {
            term.engine.record_no_answer(call.key);
            if may_send && attempt + 1 < STOP_ATTEMPTS {
                let attempt = attempt + 1;
                let request = WorkerRequest::Stop {
                    task,
                    number,
                    attempt,
                };
                return self.call(instance, call.key, request, RESPONSE_TIMEOUT);
            }
        }
        self.set_timer(instance, STOP_RETRY_DELAY, Timer::Order(call.key));
    }

    fn finish_poll(&mut self, call: &WorkerCall, answer: &WorkerAnswer) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let (instance, key) = (call.process.instance, call.key);
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let engine = &mut term.engine;
        let pause = match answer {
            WorkerAnswer::Snapshot(snapshot) => {
                engine.process_poll(key, snapshot, call.sent, wall_ms, now);
                if engine.has_unstored_ends(key) {
                    STORE_PAUSE
                } else {
                    BATCH_DELAY
                }
            }
            WorkerAnswer::Fenced => return self.end_term(instance),
            WorkerAnswer::Missing => {
                engine.record_missing_process(key, call.sent, now);
                RETRY_DELAY
            }
            _ => {
                engine.record_no_answer(key);
                RETRY_DELAY
            }
        };
        self.wake_scheduler(instance);
        self.set_timer(instance, pause, Timer::Poll(key));
    }

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
                if let (crate::key::Key::Job(_, id), Content::Job(record)) = (row.key, row.content)
                {
                    term.engine.load_job(&id, record, None, wall_ms, now);
                }
            }
            self.wake_scheduler(instance);
        }
        self.set_timer(instance, JOBS_INTERVAL, Timer::FollowJobs(part));
    }

    pub(crate) fn follow_workers(&mut self, instance: usize) {
        let request = Request::Read(Table::Registrations);
        let call = self.store_call(instance, Purpose::FollowWorkers, request);
        self.call_store(call);
    }

    pub(crate) fn finish_workers(&mut self, instance: usize, answer: Answer) {
        let now = self.now;
        let Some(term) = &mut self.instances[instance].term else {
            return;
        };
        let Answer::Rows(rows) = answer else {
            term.workers_failed = true;
            return self.set_timer(instance, STOP_RETRY_DELAY, Timer::FollowWorkers);
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

    /// Passes the answer of the store to the task that waits for it.
    pub(crate) fn handle_store_reply(&mut self, call: &StoreCall, answer: Answer) {
        let instance = call.process.instance;
        match call.purpose.clone() {
            Purpose::Follow => self.finish_follow(instance, answer),
            Purpose::ReadHandover => self.finish_handover(instance, answer),
            Purpose::TakeOver(leader, _) => self.finish_take_over(call, leader, &answer),
            Purpose::Renew(leader, _) => self.finish_renewal(call, leader, &answer),
            Purpose::Resign(leader, _) => self.finish_resignation(call, &leader, &answer),
            Purpose::FollowJobs(part) => self.finish_jobs(instance, part, answer),
            Purpose::FollowWorkers => self.finish_workers(instance, answer),
            Purpose::ReadFence(_)
            | Purpose::RaiseFence(_)
            | Purpose::LoadJobs
            | Purpose::LoadProgress
            | Purpose::LoadWorkers
            | Purpose::LoadMembers => self.continue_load(instance, &call.purpose, answer),
            Purpose::PrepareFlush(_) | Purpose::Flush(_) | Purpose::ResolveFlush(_) => {
                self.continue_flush(instance, &call.purpose, &answer);
            }
        }
    }
}
