//! Passes each event to the part of the model that it concerns.

use std::time::Duration;

use crate::answer::Answer;
use crate::event::Event;
use crate::purpose::Purpose;
use crate::store_call::StoreCall;
use crate::timer::Timer;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::worker_request::WorkerRequest;
use crate::world::World;

impl World {
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Act(action) => self.act(action),
            Event::Submit(index) => self.submit(index),
            Event::StoreArrival(call, answered) => self.deliver_to_store(*call, answered),
            Event::StoreReply(call, answer) => {
                let is_expected = self.is_current(call.process)
                    || (call.purpose.is_flush() && self.is_resigning(call.process));
                if is_expected && let Some(answer) = self.collect_pages(&call, answer) {
                    self.handle_store_reply(&call, answer);
                }
            }
            Event::WorkerArrival(call, answered) => self.deliver(call, answered),
            Event::PollAnswer { worker, poll } => self.answer_poll(worker, poll),
            Event::WorkerReply(call, answer) => {
                if self.is_current(call.process) {
                    self.handle_worker_reply(&call, &answer);
                }
            }
            Event::Timer(process, timer) => {
                let is_flush = matches!(timer, Timer::Flush(_));
                if self.is_current(process) || (is_flush && self.is_resigning(process)) {
                    self.handle_timer(process.instance, timer);
                }
            }
            Event::MachineList(process, machines) => {
                if self.is_current(process) {
                    self.set_machines(process.instance, machines);
                }
            }
            Event::StartInstance(instance) => self.start_instance(instance),
            Event::StartWorker { worker, keeps_id } => self.start_worker(worker, keeps_id),
            Event::RunEnd {
                worker,
                born_ms,
                task,
                number,
                how,
            } => {
                let process = &mut self.workers[worker];
                if process.born_ms == born_ms && process.up {
                    process.end_run(&task, number, how, self.now, &mut self.audit);
                    self.answer_polls(worker);
                }
            }
            Event::LeaseEnd { worker, born_ms } => {
                let process = &mut self.workers[worker];
                if process.born_ms == born_ms && process.up {
                    process.enforce_lease(self.now, &mut self.audit);
                    self.answer_polls(worker);
                }
            }
            Event::Heartbeat { worker, born_ms } => self.register(worker, born_ms),
            Event::Unlist { id, born_ms } => self.unlist(id, born_ms),
            Event::Kill(process, away) => {
                if self.is_current(process) {
                    self.crash(process.instance, away);
                }
            }
        }
    }

    fn handle_timer(&mut self, instance: usize, timer: Timer) {
        match timer {
            Timer::Follow => self.follow_leader(instance),
            Timer::TakeOver => self.take_over(instance),
            Timer::Load => self.load(instance),
            Timer::Renew => self.renew(instance),
            Timer::Round => {
                self.set_timer(instance, Duration::from_millis(100), Timer::Round);
                self.schedule(instance);
            }
            Timer::EarlyRound => self.schedule(instance),
            Timer::Poll(key) => self.poll(instance, key),
            Timer::Order(key) => self.send_order(instance, key),
            Timer::LateAnswer(run) => self.record_late_answer(instance, run),
            Timer::Flush(part) => self.flush(instance, part),
            Timer::FollowJobs => self.follow_jobs(instance),
            Timer::FollowWorkers => self.follow_workers(instance),
            Timer::ListMachines => self.list_machines(instance),
        }
    }

    /// Passes the answer of the store to the task that waits for it.
    fn handle_store_reply(&mut self, call: &StoreCall, answer: Answer) {
        let instance = call.process.instance;
        match call.purpose.clone() {
            Purpose::Follow => self.finish_follow(instance, answer),
            Purpose::ReadParts => self.finish_parts(instance, answer),
            Purpose::ReadHandover => self.finish_handover(instance, answer),
            Purpose::TakeOver(leader, _) => self.finish_take_over(call, leader, &answer),
            Purpose::Renew(leader, _) => self.finish_renewal(call, leader, &answer),
            Purpose::Resign(leader, _) => self.finish_resignation(call, &leader, &answer),
            Purpose::FollowJobs => self.finish_jobs(instance, answer),
            Purpose::RereadJobs(attempt) => self.continue_reread(instance, attempt, answer),
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

    fn handle_worker_reply(&mut self, call: &WorkerCall, answer: &WorkerAnswer) {
        if matches!(answer, WorkerAnswer::None | WorkerAnswer::Unsent) {
            self.disconnect(call);
        }
        match call.request.clone() {
            WorkerRequest::Poll(_) => self.finish_poll(call, answer),
            WorkerRequest::Start { run, .. } => self.finish_start(call, answer, run),
            WorkerRequest::Stop {
                task,
                number,
                attempt,
            } => self.finish_stop(call, answer, task, number, attempt),
        }
    }
}
