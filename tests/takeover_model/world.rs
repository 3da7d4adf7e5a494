use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Config, Route, State};
use coriandernotch::clock::Instant;

use crate::action::Action;
use crate::answer::Answer;
use crate::audit::Audit;
use crate::content::Content;
use crate::event::Event;
use crate::fault::Fault;
use crate::instance::Instance;
use crate::key::Key;
use crate::process::Process;
use crate::queue::Queue;
use crate::random::Random;
use crate::request::Request;
use crate::scenario::{MAX_ATTEMPTS, Scenario};
use crate::store::Store;
use crate::store_call::StoreCall;
use crate::timer::Timer;
use crate::violation::Violation;
use crate::worker::Worker;
use crate::worker_answer::WorkerAnswer;
use crate::worker_call::WorkerCall;

/// Number of partitions of jobs.
pub(crate) const PARTITIONS: u8 = 2;

/// Wall-clock time at which each simulation begins, in milliseconds since 1970.
const START_MS: u64 = 1_700_000_000_000;

/// Time that a message takes, in milliseconds.
const TRANSMISSION_MS: std::ops::Range<u64> = 1..8;

/// Time after the last fault in which all jobs must end: the longest wait of a new leader for a
/// silent worker is 16.5 s, a takeover takes up to 3 s, and tasks run up to 5 s in two steps, with
/// two failures and a stop each.
const END_WITHIN: Duration = Duration::from_secs(60);

/// Time between two checks whether the simulation is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A simulation: instances, workers, the store and all that is on its way between them.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) scenario: Scenario,
    pub(crate) now: Instant,
    pub(crate) queue: Queue<Event>,
    pub(crate) random: Random,
    pub(crate) store: Store,
    pub(crate) instances: Vec<Instance>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) audit: Audit,
    pub(crate) config: Arc<Config>,
    start: Instant,
    /// When the last fault is over.
    calm_from: Instant,
    /// When the end of the simulation is next looked for.
    next_check: Instant,
    /// Number of steps since the first job was submitted; `None` before.
    steps: Option<u64>,
    /// Whether events are printed.
    traces: bool,
}

impl World {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let start = Instant::from_start(Duration::from_secs(1_000));
        let route = Route {
            name: "q".into(),
            service: "s".into(),
            max_attempts: MAX_ATTEMPTS,
            ..Route::default()
        };
        let config = Config {
            version: 1,
            routes: vec![route],
            ..Config::default()
        };
        let mut world = Self {
            now: start,
            queue: Queue::new(),
            random: Random::new(scenario.seed ^ 0x5eed),
            store: Store::default(),
            instances: Vec::new(),
            workers: Vec::new(),
            audit: Audit::default(),
            config: Arc::new(config),
            start,
            calm_from: start,
            next_check: start,
            steps: None,
            traces: std::env::var_os("TAKEOVER_TRACE").is_some(),
            scenario,
        };
        world.populate();
        world
    }

    fn populate(&mut self) {
        for instance in 0..self.scenario.instances {
            let entry = Instance::new(instance, self.scenario.workers);
            self.instances.push(entry);
            self.queue.push(self.start, Event::StartInstance(instance));
        }
        for worker in 0..self.scenario.workers {
            let slow = self.random.chance(50);
            let entry = Worker::new(
                worker,
                &format!("i-{worker}"),
                self.wall_ms(),
                slow,
                self.now,
            );
            let born_ms = entry.born_ms;
            self.workers.push(entry);
            self.queue
                .push(self.start, Event::Heartbeat { worker, born_ms });
        }
        for (index, job) in self.scenario.jobs.iter().enumerate() {
            self.queue.push(self.start + job.at, Event::Submit(index));
        }
        for (at, action) in &self.scenario.actions {
            self.queue.push(self.start + *at, Event::Act(*action));
        }
    }

    /// Runs until all jobs have ended after the last fault, and returns the number of steps.
    pub(crate) fn run(mut self) -> Result<u64, Violation> {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if self.traces {
                self.trace(&event);
            }
            self.count_step(&event);
            self.handle(event);
            if let Some(violation) = self.audit.violation.take() {
                return Err(violation);
            }
            if self.now >= self.next_check && self.is_over()? {
                break;
            }
        }
        Ok(self.steps.unwrap_or_default())
    }

    /// Returns whether all jobs have ended after the last fault. Fails if they take too long.
    fn is_over(&mut self) -> Result<bool, Violation> {
        self.next_check = self.now + CHECK_INTERVAL;
        let last_job = self.scenario.jobs.iter().map(|job| self.start + job.at);
        let calm_from = last_job.fold(self.calm_from, Instant::max);
        if self.now < calm_from {
            return Ok(false);
        }
        let unfinished = self.unfinished_jobs();
        if self.now > calm_from + END_WITHIN && !unfinished.is_empty() {
            return Err(Violation::Stuck(unfinished));
        }
        Ok(unfinished.is_empty())
    }

    fn trace(&self, event: &Event) {
        let quiet = matches!(event, Event::Timer(..) | Event::Heartbeat { .. });
        if !quiet {
            eprintln!("{:>7} {event:?}", self.now.since(self.start).as_millis());
        }
    }

    /// Counts the steps, and interrupts the one that the scenario names.
    fn count_step(&mut self, event: &Event) {
        let Some(steps) = self.steps.as_mut().filter(|_| event.is_step()) else {
            return;
        };
        *steps += 1;
        let steps = *steps;
        let interruptions = self.scenario.interruptions.iter();
        let due = interruptions.filter(|(at, _)| *at == steps);
        let due: Vec<Action> = due.map(|(_, action)| *action).collect();
        due.into_iter().for_each(|action| self.act(action));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Act(action) => self.act(action),
            Event::Submit(index) => self.submit(index),
            Event::StoreArrival(call, answered) => {
                let answer = self.store.execute(&call.request);
                if let (Answer::Applied(_), Request::Write(transaction)) = (&answer, &call.request)
                {
                    let puts = transaction.puts.clone();
                    self.audit_completions(&puts);
                }
                if answered {
                    let at = self.now + self.random.ms(TRANSMISSION_MS);
                    self.queue.push(at, Event::StoreReply(call, answer));
                }
            }
            Event::StoreReply(call, answer) => {
                if self.is_current(call.process) {
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
                if self.is_current(process) {
                    self.handle_timer(process.instance, timer);
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
                    process.end_run(&task, number, how, &mut self.audit);
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
            Timer::Flush(part) => self.flush(instance, part),
            Timer::FollowJobs(part) => self.follow_jobs(instance, part),
            Timer::FollowWorkers => self.follow_workers(instance),
        }
    }

    pub(crate) fn is_current(&self, process: Process) -> bool {
        let instance = &self.instances[process.instance];
        instance.up && instance.process == process
    }

    pub(crate) fn set_timer(&mut self, instance: usize, after: Duration, timer: Timer) {
        let process = self.instances[instance].process;
        self.queue
            .push(self.now + after, Event::Timer(process, timer));
    }

    /// Extends the time in which faults are expected by one that lasts for `duration`.
    pub(crate) fn expect_fault(&mut self, duration: Duration) {
        self.calm_from = self.calm_from.max(self.now + duration);
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        START_MS + self.now.since(self.start).as_millis() as u64
    }

    /// Sends a call to the store.
    pub(crate) fn call_store(&mut self, call: StoreCall) {
        let instance = &self.instances[call.process.instance];
        let is_read = !call.request.is_write();
        let outage = instance.store_outage;
        let fault = outage.and_then(|outage| outage.draw(is_read, self.now, &mut self.random));
        let arrival = self.now + self.random.ms(TRANSMISSION_MS);
        let timeout = self.now + call.timeout;
        let failed = |call| Event::StoreReply(call, Answer::Failed);
        match fault {
            None => self.queue.push(arrival, Event::StoreArrival(call, true)),
            Some(Fault::Refused) => self.queue.push(arrival, failed(call)),
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Lost) => {
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(arrival, Event::StoreArrival(call, false));
            }
            Some(Fault::Late(delay)) => {
                let late = arrival + delay;
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(late, Event::StoreArrival(call, false));
            }
        }
    }

    /// Sends a call to a worker, which must answer within `timeout`.
    pub(crate) fn call_worker(&mut self, call: WorkerCall, timeout: Duration) {
        let outage = self.instances[call.process.instance].worker_outages[call.worker];
        let fault = outage.and_then(|outage| outage.draw(false, self.now, &mut self.random));
        let arrival = self.now + self.random.ms(TRANSMISSION_MS);
        let timeout = self.now + timeout;
        let failed = |call| Event::WorkerReply(call, WorkerAnswer::None);
        match fault {
            None => self.queue.push(arrival, Event::WorkerArrival(call, true)),
            Some(Fault::Refused) => {
                let refused = Event::WorkerReply(call, WorkerAnswer::Unsent);
                self.queue.push(arrival, refused);
            }
            Some(Fault::Silent) => self.queue.push(timeout, failed(call)),
            Some(Fault::Lost) => {
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(arrival, Event::WorkerArrival(call, false));
            }
            Some(Fault::Late(delay)) => {
                let late = arrival + delay;
                self.queue.push(timeout, failed(call.clone()));
                self.queue.push(late, Event::WorkerArrival(call, false));
            }
        }
    }

    /// Sends the answer of a worker.
    pub(crate) fn answer_worker_call(&mut self, call: WorkerCall, answer: WorkerAnswer) {
        let at = self.now + self.random.ms(TRANSMISSION_MS);
        self.queue.push(at, Event::WorkerReply(call, answer));
    }

    fn submit(&mut self, index: usize) {
        self.steps.get_or_insert(0);
        let record = self.scenario.jobs[index].record(self.wall_ms());
        self.store.put(job_key(index), Content::Job(record));
    }

    /// Returns the jobs that the store does not show as ended.
    fn unfinished_jobs(&self) -> Vec<String> {
        let is_unfinished = |index: &usize| {
            let Key::Job(part, id) = job_key(*index) else {
                unreachable!("the key of a job")
            };
            !matches!(self.store.get(&Key::Progress(part, id)),
                Some(Content::Progress(progress)) if progress.state.is_final())
        };
        let indices = 0..self.scenario.jobs.len();
        indices
            .filter(is_unfinished)
            .map(|index| format!("{:?}", job_key(index)))
            .collect()
    }

    /// Records that callers are shown the progress in rows that are stored.
    pub(crate) fn audit_completions(&mut self, puts: &[(Key, Content)]) {
        for (key, content) in puts {
            if let (Key::Progress(_, id), Content::Progress(progress)) = (key, content)
                && progress.state == State::Completed
            {
                self.audit.record_completion(id, self.now);
            }
        }
    }

    pub(crate) fn store_call(
        &self,
        instance: usize,
        purpose: crate::purpose::Purpose,
        request: Request,
    ) -> StoreCall {
        StoreCall {
            process: self.instances[instance].process,
            purpose,
            request,
            timeout: Duration::from_millis(1_200),
            sent: self.now,
        }
    }
}

/// Returns the key of the job with an index.
fn job_key(index: usize) -> Key {
    let part = (index % usize::from(PARTITIONS)) as u8;
    Key::Job(part, format!("j{part}-{index}").into())
}

/// Returns the partition of a job.
pub(crate) fn partition_of(id: &str) -> u8 {
    u8::from(id.starts_with("j1"))
}
