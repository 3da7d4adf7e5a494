//! How a leader sends orders to workers, as `src/entry/orders.rs` and
//! `src/entry/start_run.rs` do.

use std::time::Duration;

use coriandernotch::batch::{Grant, Order, Reply, RunKey, TaskId, WorkerKey};
use coriandernotch::clock::Instant;

use crate::timer::Timer;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;
use crate::worker_request::WorkerRequest;
use crate::world::World;

/// Time that the answer to an order may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time until it is considered again whether a worker has answered, which a start order awaits.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which an answer to a start order is late, and after which the next order is sent
/// without it.
const ALLOWANCE: Duration = Duration::from_millis(60);
const NEXT_ORDER_DELAY: Duration = Duration::from_millis(18);

/// Number of attempts to stop a run, and the delay between two of them.
const STOP_ATTEMPTS: u32 = 4;
const STOP_RETRY_DELAY: Duration = Duration::from_millis(150);

impl World {
    /// Sends the next order for a worker.
    pub(crate) fn send_order(&mut self, instance: usize, key: WorkerKey) {
        let now = self.now;
        let may_send = self.may_send_orders(instance);
        let Some(opened_at) = self.connect(instance, key, false) else {
            return;
        };
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
                match (launch, term.engine.grant_by_start(run, opened_at, now)) {
                    (Some(launch), Grant::Until(deadline_ms)) => Some(WorkerRequest::Start {
                        run,
                        launch,
                        deadline_ms,
                    }),
                    (Some(_), Grant::Unverified) => {
                        handle.orders.push_front(order);
                        return self.set_timer(instance, ANSWER_CHECK_INTERVAL, Timer::Order(key));
                    }
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
            Some(request) => {
                if let WorkerRequest::Start { run, .. } = request {
                    self.set_timer(instance, ALLOWANCE, Timer::LateAnswer(run));
                }
                self.set_timer(instance, NEXT_ORDER_DELAY, Timer::Order(key));
                self.call(instance, key, request, opened_at, RESPONSE_TIMEOUT);
            }
            None => self.set_timer(instance, Duration::ZERO, Timer::Order(key)),
        }
    }

    /// Returns when the connection was opened on which the next poll or order is sent to a worker. One
    /// whose end the instance has noticed is replaced. `None` if there is no such worker.
    pub(crate) fn connect(
        &mut self,
        instance: usize,
        key: WorkerKey,
        is_poll: bool,
    ) -> Option<Instant> {
        let term = self.instances[instance].term.as_mut()?;
        let handle = term.handles.get_mut(&key)?;
        let worker = &self.workers[handle.worker];
        let connection = handle.connection(is_poll);
        connection.take_if(|opened_at| worker.has_closed(*opened_at));
        Some(*connection.get_or_insert(self.now))
    }

    /// Drops the connection of a call that failed.
    pub(crate) fn disconnect(&mut self, call: &WorkerCall) {
        let is_poll = matches!(call.request, WorkerRequest::Poll(_));
        let term = self.instances[call.process.instance].term.as_mut();
        if let Some(handle) = term.and_then(|term| term.handles.get_mut(&call.key)) {
            let connection = handle.connection(is_poll);
            connection.take_if(|opened_at| *opened_at == call.opened_at);
        }
    }

    pub(crate) fn call(
        &mut self,
        instance: usize,
        key: WorkerKey,
        request: WorkerRequest,
        opened_at: Instant,
        timeout: Duration,
    ) {
        let entry = &self.instances[instance];
        let Some(term) = &entry.term else {
            return;
        };
        let Some(handle) = term.handles.get(&key) else {
            return;
        };
        // Several orders at once need more than one connection.
        let is_order = !matches!(request, WorkerRequest::Poll(_));
        let opens_another = is_order && self.random.chance(30);
        let call = WorkerCall {
            opened_at,
            opens: opened_at == self.now,
            process: entry.process,
            token: term.engine.token(),
            key,
            worker: handle.worker,
            id: handle.id.clone(),
            request,
            timeout,
            sent: self.now,
            sent_ms: self.wall_ms(),
        };
        if opens_another {
            self.disconnect(&call);
        }
        self.call_worker(call);
    }

    /// Records that a start order has no answer yet, unless it has one.
    pub(crate) fn record_late_answer(&mut self, instance: usize, run: RunKey) {
        let now = self.now;
        if let Some(term) = &mut self.instances[instance].term {
            term.engine.record_late_answer(run, now);
        }
    }

    /// Records the outcome of a start order.
    pub(crate) fn finish_start(&mut self, call: &WorkerCall, answer: &WorkerAnswer, run: RunKey) {
        let instance = call.process.instance;
        let reply = answer.start_outcome();
        let clock_ms = match answer {
            WorkerAnswer::Started(_, clock_ms) => Some(*clock_ms),
            _ => None,
        };
        let now = self.now;
        if let Some(term) = &mut self.instances[instance].term {
            (term.engine).record_start_outcome(run, &reply, clock_ms, now);
        }
        if reply == Reply::Fenced {
            return self.end_term(instance);
        }
        if reply != Reply::Started {
            self.wake_scheduler(instance);
        }
        self.set_timer(instance, Duration::ZERO, Timer::Order(call.key));
    }

    /// Records whether a run was told to stop, and repeats the order if not.
    pub(crate) fn finish_stop(
        &mut self,
        call: &WorkerCall,
        answer: &WorkerAnswer,
        task: TaskId,
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
            if may_send && attempt + 1 < STOP_ATTEMPTS {
                let attempt = attempt + 1;
                let request = WorkerRequest::Stop {
                    task,
                    number,
                    attempt,
                };
                let Some(opened_at) = self.connect(instance, call.key, false) else {
                    return;
                };
                return self.call(instance, call.key, request, opened_at, RESPONSE_TIMEOUT);
            }
        }
        self.set_timer(instance, STOP_RETRY_DELAY, Timer::Order(call.key));
    }
}
