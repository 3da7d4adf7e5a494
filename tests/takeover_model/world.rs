use std::sync::Arc;
use std::time::Duration;

use coriandernotch::batch::{Config, Route, State};
use coriandernotch::clock::Instant;

use crate::action::Action;
use crate::audit::Audit;
use crate::content::Content;
use crate::event::Event;
use crate::idle_log;
use crate::instance::Instance;
use crate::key::Key;
use crate::kind::Kind;
use crate::partition::job_key;
use crate::process::Process;
use crate::queue::Queue;
use crate::random::Random;
use crate::scenario::{MAX_ATTEMPTS, Scenario};
use crate::store::Store;
use crate::timer::Timer;
use crate::violation::Violation;
use crate::worker::Worker;

/// Wall-clock time at which each simulation begins, in milliseconds since 1970.
const START_MS: u64 = 1_700_000_000_000;

/// Time after the last fault in which all jobs must end: the longest wait of a new leader for a
/// silent worker is 16.5 s, a takeover takes up to 3 s, and tasks run up to 5 s in two steps, with
/// two failures and a stop each.
const END_WITHIN: Duration = Duration::from_secs(60);

/// Time that the effects of a fault go on after its end: calls that are late, and timeouts.
const AFTERMATH: Duration = Duration::from_secs(6);

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
    pub(crate) start: Instant,
    /// When the last fault is over, and when its effects are.
    pub(crate) disturbed_until: Instant,
    calm_from: Instant,
    /// Since when workers have had room for further runs.
    pub(crate) room_since: Option<Instant>,
    /// When the end of the simulation is next looked for.
    next_check: Instant,
    /// Number of steps since the first job was submitted; `None` before.
    steps: Option<u64>,
    /// Whether events are printed.
    traces: bool,
}

impl World {
    pub(crate) fn new(scenario: Scenario) -> Self {
        idle_log::begin();
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
            disturbed_until: start,
            calm_from: start,
            room_since: None,
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
        let lasting_tasks_run = self.check_lasting_tasks()?;
        let last_job = self.scenario.jobs.iter().map(|job| self.start + job.at);
        let calm_from = last_job.fold(self.calm_from, Instant::max);
        if self.now < calm_from {
            return Ok(false);
        }
        let unfinished = self.unfinished_jobs();
        if self.now > calm_from + END_WITHIN && !unfinished.is_empty() {
            return Err(Violation::Stuck(unfinished));
        }
        Ok(unfinished.is_empty() && lasting_tasks_run)
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

    pub(crate) fn is_current(&self, process: Process) -> bool {
        let instance = &self.instances[process.instance];
        instance.up && instance.process == process
    }

    /// Returns whether the leader of a term resigns: its tasks were aborted, apart from the one that
    /// stores changes.
    pub(crate) fn is_resigning(&self, process: Process) -> bool {
        let term = self.instances[process.instance].term.as_ref();
        let resigns = term.is_some_and(|term| term.ending.is_some());
        resigns
            && self.is_current(Process {
                term: process.term + 1,
                ..process
            })
    }

    pub(crate) fn set_timer(&mut self, instance: usize, after: Duration, timer: Timer) {
        let process = self.instances[instance].process;
        self.queue
            .push(self.now + after, Event::Timer(process, timer));
    }

    /// Extends the time in which faults are expected by one that lasts for `duration`.
    pub(crate) fn expect_fault(&mut self, duration: Duration) {
        self.disturbed_until = self.disturbed_until.max(self.now + duration);
        self.calm_from = self.calm_from.max(self.now + duration + AFTERMATH);
    }

    /// Extends the time in which calls that a fault affects are carried out.
    pub(crate) fn expect_late_calls(&mut self, duration: Duration) {
        self.disturbed_until = self.disturbed_until.max(self.now + duration);
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        START_MS + self.now.since(self.start).as_millis() as u64
    }

    pub(crate) fn submit(&mut self, index: usize) {
        self.steps.get_or_insert(0);
        let job = self.scenario.jobs[index];
        let key = job_key(index);
        if let (Kind::Copied, Key::Job(_, id)) = (job.kind, &key) {
            self.audit.allow_copies(id);
        }
        self.store
            .put(key, Content::Job(job.record(self.wall_ms())));
    }

    /// Returns the jobs that the store does not show as ended.
    fn unfinished_jobs(&self) -> Vec<String> {
        let is_unfinished = |index: &usize| {
            let Key::Job(_, id) = job_key(*index) else {
                unreachable!("the key of a job")
            };
            !self.audit.has_ended(&id)
        };
        let indices = 0..self.scenario.jobs.len();
        indices
            .filter(|index| self.scenario.jobs[*index].kind != Kind::Lasting)
            .filter(is_unfinished)
            .map(|index| format!("{:?}", job_key(index)))
            .collect()
    }

    /// Records that callers are shown the progress in rows that are stored.
    pub(crate) fn audit_completions(&mut self, puts: &[(Key, Content)]) {
        for (key, content) in puts {
            let (Key::Progress(_, id), Content::Progress(progress)) = (key, content) else {
                continue;
            };
            if progress.state.is_final() {
                self.audit.record_job_end(id);
            }
            if progress.state == State::Completed {
                self.audit.record_completion(id, self.now);
            }
        }
    }
}
